package vetchrill.routing;

import java.util.concurrent.atomic.AtomicInteger;
import vetchrill.transport.Limits;

/**
 * Logs what peers do wrong, with a bounded number of lines between two summaries so that peers can't fill the log;
 * further lines are only counted.
 */
final class RateLimitedLog {
    private final Limits limits;
    private final AtomicInteger remaining;

    RateLimitedLog(Limits limits) {
        this.limits = limits;
        remaining = new AtomicInteger(limits.maxPeerLogLines);
    }

    /** Logs a warning or counts it as suppressed. On any thread. */
    void warn(System.Logger log, String format, Object value) {
        if (remaining.decrementAndGet() >= 0) {
            log.log(System.Logger.Level.WARNING, format, value);
        }
    }

    /** Allows the full number of lines again; returns how many were suppressed since the last call. */
    int resetAndCountSuppressed() {
        return Math.max(0, -remaining.getAndSet(limits.maxPeerLogLines));
    }
}
