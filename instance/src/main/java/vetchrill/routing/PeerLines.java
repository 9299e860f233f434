package vetchrill.routing;

import java.util.concurrent.atomic.AtomicInteger;
import vetchrill.transport.Limits;

/** Log lines on what peers do: so many between two summaries, the rest only counted, as peers must not fill the log. */
final class PeerLines {
    private final Limits limits;
    private final AtomicInteger left;

    PeerLines(Limits limits) {
        this.limits = limits;
        left = new AtomicInteger(limits.lines);
    }

    /** On any thread. */
    void tell(System.Logger log, String text, Object value) {
        if (left.decrementAndGet() >= 0) {
            log.log(System.Logger.Level.WARNING, text, value);
        }
    }

    /** Starts anew; how many were left out. */
    int leftOut() {
        return Math.max(0, -left.getAndSet(limits.lines));
    }
}
