package vetchrill.audit;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/**
 * A hybrid logical clock (Kulkarni et al., 2014). A timestamp is milliseconds of Unix time and, in the low bits, a
 * counter. Timestamps of an instance never go back, even if its wall clock does, and an instance that received a
 * message gives all later events greater timestamps than its sender gave the events before the message.
 */
public final class HybridLogicalClock {
    /** The low bits of a timestamp, which count the events within one millisecond. */
    public static final int COUNTER_BITS = 16;

    private final LongSupplier wallClock;
    private final AtomicLong last = new AtomicLong();

    /** {@code wallClock} supplies milliseconds of Unix time, and may step. */
    public HybridLogicalClock(LongSupplier wallClock) {
        this.wallClock = wallClock;
    }

    /** Returns the next timestamp. Thread-safe. */
    public long next() {
        long physical = wallClock.getAsLong() << COUNTER_BITS;
        return last.updateAndGet(before -> Math.max(before + 1, physical));
    }

    /** Advances the clock to a timestamp that was received from another instance. Thread-safe. */
    public void observe(long received) {
        last.accumulateAndGet(received, Math::max);
    }

    /** Returns the milliseconds of Unix time of a timestamp. */
    public static long toMillis(long hybrid) {
        return hybrid >>> COUNTER_BITS;
    }
}
