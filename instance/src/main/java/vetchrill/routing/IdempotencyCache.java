package vetchrill.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import vetchrill.control.Exchange.Outcome;
import vetchrill.protocol.Frames;
import vetchrill.transport.Limits;

/**
 * Deduplicated exchanges that the module remembers, for their idempotency window: which try stands for each, its result
 * once there is one, and the repeats that wait for it. What is remembered, for how long, and which exchange is answered
 * from it the module decides.
 */
final class IdempotencyCache {
    /**
     * What tells two tries of one exchange from two exchanges. The body is part of it: whoever sends another under a
     * key that it has seen is neither answered with a result that is not its own nor in the way of the one whose key it
     * is.
     */
    record Key(int group, int customer, String token, long bodyDigest) {
        Key(int group, int customer, String token, byte[] bodyDigest) {
            this(group, customer, token, digest(bodyDigest));
        }

        private static long digest(byte[] body) {
            long digest = body.length;
            for (byte bodyByte : body) {
                digest = (digest ^ bodyByte & 0xff) * 0x9E3779B97F4A7C15L;
                digest ^= digest >>> 29;
            }
            return digest;
        }
    }

    /** One exchange that may come again. */
    static final class Entry {
        private final long validUntil;
        /** The try that stands for it; null once that is over. */
        private OpenExchange original;
        /** The whole answer; null while there is none, where there is none to be given, and where there was no room. */
        private byte[] answerFrame;
        private final List<OpenExchange> waitingRepeats = new ArrayList<>(0);

        private Entry(OpenExchange original, long validUntil) {
            this.original = original;
            this.validUntil = validUntil;
        }
    }

    private final Limits limits;
    private final DecisionThread thread;
    private final ExchangeRegistry registry;
    private final AdmissionStage admission;
    private final Map<Key, Entry> entriesByKey = new HashMap<>();
    private final ArrayDeque<Entry> entriesWithAnswer = new ArrayDeque<>();
    private long answerBytes;

    IdempotencyCache(Limits limits, DecisionThread thread, ExchangeRegistry registry, AdmissionStage admission) {
        this.limits = limits;
        this.thread = thread;
        this.registry = registry;
        this.admission = admission;
    }

    /** Tells the exchange what it repeats, if anything: by when it came, however late it was read. */
    void linkToOriginal(OpenExchange ex) {
        Entry entry = entriesByKey.get(ex.idempotencyKey);
        if (entry != null && ex.arrivedAt <= entry.validUntil) {
            ex.repeat = true;
            ex.original = entry.original;
        }
    }

    /** Whether one more could not be remembered; nothing that ran is forgotten for it. */
    boolean isFull() {
        return entriesByKey.size() >= limits.maxStoredKeys;
    }

    void remember(OpenExchange ex, long timeToLive) {
        Key key = ex.idempotencyKey;
        Entry entry = new Entry(ex, thread.now() + timeToLive + limits.closeRaceWindowTenthsMs);
        ex.cacheEntry = entry;
        entriesByKey.put(key, entry);
        // One that came in time may be read until its own due time, after which it is not run in any case.
        thread.schedule(entry.validUntil + ex.group.asyncTimeout, () -> {
            entriesByKey.remove(key, entry);
            dropAnswer(entry);
        });
    }

    /** Nothing of it has run: whoever waited for it is told so by an error, and the next try is a fresh one. */
    void forget(OpenExchange ex) {
        if (ex.cacheEntry != null && entriesByKey.remove(ex.idempotencyKey, ex.cacheEntry)) {
            onRunFinished(ex, null);
        }
    }

    void replay(OpenExchange ex) {
        Entry entry = entriesByKey.get(ex.idempotencyKey);
        if (entry != null && entry.original != null) {
            entry.waitingRepeats.add(ex);
        } else {
            // Not at once, as the module is in the middle of its decision on it.
            thread.schedule(thread.now(), () -> answerRepeat(ex, entry == null ? null : entry.answerFrame));
        }
    }

    /** The run of an exchange is over; {@code answer} is null where it has no result. */
    void onRunFinished(OpenExchange ex, byte[] answerFrame) {
        Entry entry = ex.cacheEntry;
        if (entry == null || entry.original != ex) {
            return;
        }
        entry.original = null;
        if (answerFrame != null) {
            entry.answerFrame = answerFrame;
            answerBytes += answerFrame.length;
            entriesWithAnswer.add(entry);
            while (answerBytes > limits.maxStoredAnswerBytes) {
                dropAnswer(entriesWithAnswer.poll());
            }
        }
        for (OpenExchange repeat : entry.waitingRepeats) {
            answerRepeat(repeat, answerFrame);
        }
        entry.waitingRepeats.clear();
    }

    /** From now on its repeats get an error: they are not run again in any case. */
    private void dropAnswer(Entry entry) {
        if (entry.answerFrame != null) {
            answerBytes -= entry.answerFrame.length;
            entry.answerFrame = null;
        }
        while (!entriesWithAnswer.isEmpty() && entriesWithAnswer.peek().answerFrame == null) {
            entriesWithAnswer.poll();
        }
    }

    private void answerRepeat(OpenExchange ex, byte[] answerFrame) {
        if (ex.isFinished()) {
            return;
        }
        admission.onRunFinished(ex, answerFrame != null ? Outcome.COMPLETED : Outcome.ERRORED, 0);
        if (answerFrame != null) {
            registry.complete(ex, Frames.copyForStream(answerFrame, ex.stream), thread.now());
        } else {
            registry.terminate(ex, thread.now());
        }
    }
}
