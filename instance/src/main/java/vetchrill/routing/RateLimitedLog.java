package vetchrill.routing;

import java.util.concurrent.atomic.AtomicInteger;
import vetchrill.transport.Limits;

/** Log lines on what peers do: so many between two summaries, the rest only counted, as peers must not fill the log. */
final class RateLimitedLog {
    private final Limits limits;
    private final AtomicInteger remaining;

    RateLimitedLog(Limits limits) {
        this.limits = limits;
        remaining = new AtomicInteger(limits.maxPeerLogLines);
    }

    /** On any thread. */
    void warn(System.Logger log, String format, Object value) {
        if (remaining.decrementAndGet() >= 0) {
            log.log(System.Logger.Level.WARNING, format, value);
        }
    }

    /** Starts anew; how many were left out. */
    int resetAndCountSuppressed() {
        return Math.max(0, -remaining.getAndSet(limits.maxPeerLogLines));
    }
}
