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
 * Keys of deduplicated exchanges for their idempotency window, each with the attempt that runs for it, its result once
 * there is one, and the repeats that wait for the result. The controller decides which keys are stored, for how long,
 * and which exchanges are answered from here.
 */
final class IdempotencyCache {
    /**
     * Identifies the attempts of one exchange. The body is part of it: a client that sends another body with a known
     * token neither gets a result that is not its own nor blocks the exchange that the token belongs to.
     */
    record Key(int group, int customer, String token, long bodyDigest) {
        Key(int group, int customer, String token, byte[] body) {
            this(group, customer, token, digest(body));
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

    /** A stored key. */
    static final class Entry {
        private final long validUntil;
        /** The attempt that runs for this key; null once it has finished. */
        private OpenExchange original;
        /** The whole answer; null before there is one, if the run had no result, and if it was dropped for space. */
        private byte[] answerFrame;
        private final List<OpenExchange> waitingRepeats = new ArrayList<>(0);
        private DecisionThread.Timer expiry;

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
    /** Total size of the stored answers. */
    private long answerBytes;

    IdempotencyCache(Limits limits, DecisionThread thread, ExchangeRegistry registry, AdmissionStage admission) {
        this.limits = limits;
        this.thread = thread;
        this.registry = registry;
        this.admission = admission;
    }

    /** Links an exchange to the one that it repeats, if any. Its time of arrival counts, however late it is read. */
    void linkToOriginal(OpenExchange ex) {
        Entry entry = entriesByKey.get(ex.idempotencyKey);
        if (entry != null && ex.arrivedAt <= entry.validUntil) {
            ex.repeat = true;
            ex.original = entry.original;
        }
    }

    /** Whether no more keys can be stored; the key of an exchange that ran is never dropped to make room. */
    boolean isFull() {
        return entriesByKey.size() >= limits.maxStoredKeys;
    }

    int keyCount() {
        return entriesByKey.size();
    }

    /** Stores the key of an exchange for {@code ttl} from now. */
    void storeKey(OpenExchange ex, long ttl) {
        Key key = ex.idempotencyKey;
        Entry entry = new Entry(ex, thread.now() + ttl + limits.closeRaceWindowTenthsMs);
        ex.cacheEntry = entry;
        entriesByKey.put(key, entry);
        // A repeat that arrived in time may be read until its own deadline; after that it is not run in any case.
        entry.expiry = thread.schedule(entry.validUntil + ex.group.asyncTimeout, () -> {
            entriesByKey.remove(key, entry);
            dropAnswer(entry);
        });
    }

    /**
     * For an exchange that has not run: repeats waiting for it get an error, and the next attempt is a new exchange.
     */
    void dropKey(OpenExchange ex) {
        if (ex.cacheEntry != null) {
            entriesByKey.remove(ex.idempotencyKey, ex.cacheEntry);
            // Rejected exchanges come without a limit on their rate, so nothing of them may stay until the expiry.
            thread.cancel(ex.cacheEntry.expiry);
            onRunFinished(ex, null);
        }
    }

    /** Answers a repeat from the original, at once or when that has finished. */
    void replay(OpenExchange ex) {
        Entry entry = entriesByKey.get(ex.idempotencyKey);
        if (entry != null && entry.original != null) {
            entry.waitingRepeats.add(ex);
        } else {
            // Deferred, as the controller has not finished its decision on this exchange.
            thread.schedule(thread.now(), () -> answerRepeat(ex, entry == null ? null : entry.answerFrame));
        }
    }

    /**
     * Stores the result of an original and answers its waiting repeats; {@code answerFrame} is null without a result.
     */
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

    /** Drops a stored answer. Later repeats get an error; the exchange is not run again in any case. */
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
