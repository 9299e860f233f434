package vetchrill.audit;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/**
 * Hybrid logical time (after Kulkarni and others, 2014): milliseconds of Unix time and behind them a counter, in one
 * number. It never goes back on one instance though its clock does, and what was heard of another is always later than
 * what that one had done before it spoke.
 */
public final class HybridLogicalClock {
    /** Of the number, those that count within one millisecond. */
    public static final int COUNTER_BITS = 16;

    private final LongSupplier wallClock;
    private final AtomicLong last = new AtomicLong();

    /** {@code wall} tells milliseconds of Unix time, and may step. */
    public HybridLogicalClock(LongSupplier wallClock) {
        this.wallClock = wallClock;
    }

    /** The next one, on any thread. */
    public long next() {
        long physical = wallClock.getAsLong() << COUNTER_BITS;
        return last.updateAndGet(before -> Math.max(before + 1, physical));
    }

    /** What another instance said of its own. */
    public void observe(long received) {
        last.accumulateAndGet(received, Math::max);
    }

    public static long toMillis(long hybrid) {
        return hybrid >>> COUNTER_BITS;
    }
}
