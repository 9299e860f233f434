package vetchrill.routing;

import java.util.function.LongSupplier;

/**
 * Tenths of a millisecond of Unix time. The system's clock is read once at start and for the age of what arrives;
 * all else runs on from there, so that a step of the clock can't stop a timer or lose a due answer.
 */
public final class Clock {
    private static final long MIN_STEP_TENTHS_MS = 200;

    private final LongSupplier wall;
    /** Null for the system's: read several times an exchange, and a call through an interface is never inlined. */
    private final LongSupplier nanos;
    private final long wallAtStart;
    private final long nanosAtStart;
    /** By how much the system's clock is off this one, and was before that changed last. */
    private record WallOffset(long current, long previous, long changedAt) {
    }

    private volatile WallOffset wallOffset = new WallOffset(0, 0, Long.MIN_VALUE / 2);

    /** The clocks of the system. */
    public Clock() {
        this(Clock::systemWallTime, null);
    }

    /** {@code wall} tells tenths of a millisecond of Unix time and may step; {@code nanos} never does. */
    public Clock(LongSupplier wall, LongSupplier nanos) {
        this.wall = wall;
        this.nanos = nanos;
        wallAtStart = wall.getAsLong();
        nanosAtStart = nanos();
    }

    public long now() {
        return wallAtStart + (nanos() - nanosAtStart) / 100_000;
    }

    private long nanos() {
        return nanos == null ? System.nanoTime() : nanos.getAsLong();
    }

    /**
     * What another process stamped, in Unix milliseconds, on this clock. Two readings a moment apart would swap
     * exchanges that came together, so only a real step of the system's clock is taken off. What was on its way as the
     * clock was stepped was stamped before that, and read by the new clock would be as much too old, or not be past the
     * grace of a drain though it is: of the two it is taken for the later one that is not yet to come.
     */
    long fromWallMillis(long wallMillis, long maxAge) {
        long now = now();
        WallOffset offset = detectStep(now);
        long byCurrentOffset = wallMillis * 10 - offset.current;
        long byPreviousOffset = wallMillis * 10 - offset.previous;
        if (now - offset.changedAt <= maxAge && byPreviousOffset <= now + MIN_STEP_TENTHS_MS
                && (byPreviousOffset > byCurrentOffset || byCurrentOffset > now + MIN_STEP_TENTHS_MS)) {
            byCurrentOffset = byPreviousOffset;
        }
        return Math.max(now - maxAge, Math.min(now, byCurrentOffset));
    }

    /** Looks whether the system's clock has stepped: often enough that none of its steps is passed over. */
    void detectStep() {
        detectStep(now());
    }

    private WallOffset detectStep(long now) {
        long currentOffset = wall.getAsLong() - now;
        WallOffset offset = wallOffset;
        if (Math.abs(currentOffset - offset.current) > MIN_STEP_TENTHS_MS) {
            offset = new WallOffset(currentOffset, offset.current, now);
            wallOffset = offset;
        }
        return offset;
    }

    private static long systemWallTime() {
        java.time.Instant instant = java.time.Instant.now();
        return instant.getEpochSecond() * 10_000 + instant.getNano() / 100_000;
    }
}
