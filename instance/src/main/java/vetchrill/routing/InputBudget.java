package vetchrill.routing;

import java.util.concurrent.atomic.AtomicInteger;
import vetchrill.transport.Limits;

/**
 * Bounds what one connection may cost without carrying valid exchanges. Invalid frames of any type are charged by their
 * length, and health checks beyond a rate like invalid frames. Once the budget is used up, the stub is told to close,
 * and only as much is still read as a correct stub may have on its way by then.
 */
final class InputBudget {
    private final Limits limits;
    private final AtomicInteger charged = new AtomicInteger();
    /** Frames read since the budget was used up. On the reader's thread. */
    private int readAfterLimit;
    /** Health checks that may be answered at once. On the reader's thread. */
    private int healthChecksLeft;
    private long healthChecksRefilledAt;

    InputBudget(Limits limits, long now) {
        this.limits = limits;
        healthChecksLeft = limits.maxHealthCheckBurst;
        healthChecksRefilledAt = now;
    }

    /** Charges one invalid frame; true for the charge that uses up the budget. On any thread. */
    boolean chargeInvalidFrame() {
        return charge(1);
    }

    /** Charges an invalid frame by the length that has to be skipped; true if this uses up the budget. */
    boolean chargeSkippedFrame(int length) {
        return charge(costOf(length));
    }

    private boolean charge(int cost) {
        int before = charged.getAndAdd(cost);
        return before < limits.maxInvalidFrames && before + cost >= limits.maxInvalidFrames;
    }

    /** Whether the rate of health checks allows another one. On the reader's thread. */
    boolean takeHealthCheck(long now) {
        long refill = (now - healthChecksRefilledAt) / limits.healthCheckIntervalTenthsMs;
        if (refill > 0) {
            healthChecksLeft = (int) Math.min(limits.maxHealthCheckBurst, healthChecksLeft + refill);
            healthChecksRefilledAt += refill * limits.healthCheckIntervalTenthsMs;
        }
        if (healthChecksLeft == 0) {
            return false;
        }
        healthChecksLeft--;
        return true;
    }

    boolean isUntouched() {
        return charged.get() == 0;
    }

    /** Whether to read on after a frame that was buffered whole. On the reader's thread. */
    boolean mayReadOn() {
        return mayReadOn(1);
    }

    /** Whether to read on, past a frame that has to be skipped. On the reader's thread. */
    boolean mayReadOnPast(int length) {
        return mayReadOn(costOf(length));
    }

    private boolean mayReadOn(int cost) {
        if (charged.get() < limits.maxInvalidFrames) {
            return true;
        }
        int before = readAfterLimit;
        readAfterLimit += cost;
        return before < limits.maxExchangesPerConnection;
    }

    /** One for each part of the length that a buffered frame could have. */
    private int costOf(int length) {
        return 1 + length / limits.maxBufferedFrameBytes;
    }
}
