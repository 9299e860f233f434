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
final class Repeats {
    /**
     * What tells two tries of one exchange from two exchanges. The body is part of it: whoever sends another under a
     * key that it has seen is neither answered with a result that is not its own nor in the way of the one whose key it
     * is.
     */
    record Key(int group, int customer, String token, long body) {
        Key(int group, int customer, String token, byte[] body) {
            this(group, customer, token, digest(body));
        }

        private static long digest(byte[] body) {
            long digest = body.length;
            for (byte octet : body) {
                digest = (digest ^ octet & 0xff) * 0x9E3779B97F4A7C15L;
                digest ^= digest >>> 29;
            }
            return digest;
        }
    }

    /** One exchange that may come again. */
    static final class Kept {
        private final long until;
        /** The try that stands for it; null once that is over. */
        private Open first;
        /** The whole answer; null while there is none, where there is none to be given, and where there was no room. */
        private byte[] answer;
        private final List<Open> waiting = new ArrayList<>(0);

        private Kept(Open first, long until) {
            this.first = first;
            this.until = until;
        }
    }

    private final Limits limits;
    private final DecisionThread thread;
    private final Book book;
    private final Admit admit;
    private final Map<Key, Kept> byKey = new HashMap<>();
    private final ArrayDeque<Kept> answered = new ArrayDeque<>();
    private long answerBytes;

    Repeats(Limits limits, DecisionThread thread, Book book, Admit admit) {
        this.limits = limits;
        this.thread = thread;
        this.book = book;
        this.admit = admit;
    }

    /** Tells the exchange what it repeats, if anything: by when it came, however late it was read. */
    void link(Open ex) {
        Kept kept = byKey.get(ex.key);
        if (kept != null && ex.arrived <= kept.until) {
            ex.repeat = true;
            ex.prior = kept.first;
        }
    }

    /** Whether one more could not be remembered; nothing that ran is forgotten for it. */
    boolean isFull() {
        return byKey.size() >= limits.keptKeys;
    }

    void remember(Open ex, long span) {
        Key key = ex.key;
        Kept kept = new Kept(ex, thread.now() + span + limits.crossing);
        ex.kept = kept;
        byKey.put(key, kept);
        // One that came in time may be read until its own due time, after which it is not run in any case.
        thread.at(kept.until + ex.group.asyncTimeout, () -> {
            byKey.remove(key, kept);
            drop(kept);
        });
    }

    /** Nothing of it has run: whoever waited for it is told so by an error, and the next try is a fresh one. */
    void forget(Open ex) {
        if (ex.kept != null && byKey.remove(ex.key, ex.kept)) {
            over(ex, null);
        }
    }

    void replay(Open ex) {
        Kept kept = byKey.get(ex.key);
        if (kept != null && kept.first != null) {
            kept.waiting.add(ex);
        } else {
            // Not at once, as the module is in the middle of its decision on it.
            thread.at(thread.now(), () -> answer(ex, kept == null ? null : kept.answer));
        }
    }

    /** The run of an exchange is over; {@code answer} is null where it has no result. */
    void over(Open ex, byte[] answer) {
        Kept kept = ex.kept;
        if (kept == null || kept.first != ex) {
            return;
        }
        kept.first = null;
        if (answer != null) {
            kept.answer = answer;
            answerBytes += answer.length;
            answered.add(kept);
            while (answerBytes > limits.keptAnswers) {
                drop(answered.poll());
            }
        }
        for (Open each : kept.waiting) {
            answer(each, answer);
        }
        kept.waiting.clear();
    }

    /** From now on its repeats get an error: they are not run again in any case. */
    private void drop(Kept kept) {
        if (kept.answer != null) {
            answerBytes -= kept.answer.length;
            kept.answer = null;
        }
        while (!answered.isEmpty() && answered.peek().answer == null) {
            answered.poll();
        }
    }

    private void answer(Open ex, byte[] answer) {
        if (ex.over()) {
            return;
        }
        admit.finished(ex, answer != null ? Outcome.COMPLETED : Outcome.ERRORED, 0);
        if (answer != null) {
            book.complete(ex, Frames.onStreamOf(answer, ex.stream), thread.now());
        } else {
            book.terminate(ex, thread.now());
        }
    }
}
