package vetchrill.routing;

import java.util.function.LongSupplier;

/**
 * Tenths of a millisecond of Unix time. The system's clock is read once at start and for the age of what arrives;
 * all else runs on from there, so that a step of the clock can't stop a timer or lose a due answer.
 */
public final class Clock {
    private static final long STEP = 200;

    private final LongSupplier wall;
    private final LongSupplier nanos;
    private final long origin;
    private final long started;

    /** The clocks of the system. */
    public Clock() {
        this(Clock::systemWall, System::nanoTime);
    }

    /** {@code wall} tells tenths of a millisecond of Unix time and may step; {@code nanos} never does. */
    public Clock(LongSupplier wall, LongSupplier nanos) {
        this.wall = wall;
        this.nanos = nanos;
        origin = wall.getAsLong();
        started = nanos.getAsLong();
    }

    public long now() {
        return origin + (nanos.getAsLong() - started) / 100_000;
    }

    /**
     * What another process stamped, in Unix milliseconds, on this clock. Two readings a moment apart would swap
     * exchanges that came together, so only a real step of the system's clock is taken off.
     */
    long stamped(long stamp, long oldest) {
        long now = now();
        long step = wall.getAsLong() - now;
        long at = stamp * 10 - (Math.abs(step) > STEP ? step : 0);
        return Math.max(now - oldest, Math.min(now, at));
    }

    private static long systemWall() {
        java.time.Instant at = java.time.Instant.now();
        return at.getEpochSecond() * 10_000 + at.getNano() / 100_000;
    }
}
