package vetchrill.routing;

import java.time.Instant;
import java.util.function.LongSupplier;

/**
 * Unix time in tenths of a millisecond, advanced by a monotonic clock. The system clock is read only at the start and
 * to convert the arrival times of exchanges, so that a step of it can't stop a timer or lose an answer that is due.
 */
public final class Clock {
    private static final int NANOS_PER_TENTH_MS = 100_000;
    private static final int TENTHS_MS_PER_SECOND = 10_000;
    /** A smaller deviation of the system clock is not taken for a step. */
    private static final long MIN_STEP_TENTHS_MS = 200;

    private final LongSupplier wall;
    /** Null for {@link System#nanoTime}: it is read several times an exchange, and interface calls are not inlined. */
    private final LongSupplier nanos;
    private final long wallAtStart;
    private final long nanosAtStart;
    /** How far the system clock is ahead of this one, how far it was before its last step, and when that was seen. */
    private record WallOffset(long current, long previous, long changedAt) {
    }

    private volatile WallOffset wallOffset = new WallOffset(0, 0, Long.MIN_VALUE / 2);

    /** Uses the clocks of the system. */
    public Clock() {
        this(Clock::systemWallTime, null);
    }

    /** {@code wall} is Unix time in tenths of a millisecond and may step; {@code nanos} is monotonic. */
    public Clock(LongSupplier wall, LongSupplier nanos) {
        this.wall = wall;
        this.nanos = nanos;
        wallAtStart = wall.getAsLong();
        nanosAtStart = nanos();
    }

    /** Unix time in tenths of a millisecond; never steps. */
    public long now() {
        return wallAtStart + (nanos() - nanosAtStart) / NANOS_PER_TENTH_MS;
    }

    private long nanos() {
        return nanos == null ? System.nanoTime() : nanos.getAsLong();
    }

    /**
     * Converts a timestamp that another process took from the system clock, in Unix milliseconds, to this clock; at
     * most {@code maxAge} in the past and never in the future. The offset changes only on a real step of the system
     * clock, since two readings a moment apart would reorder exchanges that arrived together. A timestamp taken just
     * before a step but read after it would appear too old by the step, or would appear to be within the grace period
     * of a drain when it is not. So after a step both offsets are tried, and the later time that is not in the future
     * is used.
     */
    long fromWallMillis(long wallMillis, long maxAge) {
        long now = now();
        WallOffset offset = detectStep(now);
        long time = wallMillis * 10 - offset.current;
        long byPreviousOffset = wallMillis * 10 - offset.previous;
        if (now - offset.changedAt <= maxAge && byPreviousOffset <= now + MIN_STEP_TENTHS_MS
                && (byPreviousOffset > time || time > now + MIN_STEP_TENTHS_MS)) {
            time = byPreviousOffset;
        }
        return Math.max(now - maxAge, Math.min(now, time));
    }

    /** Checks for a step of the system clock; called on each tick so that no step is missed. */
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
        Instant instant = Instant.now();
        return instant.getEpochSecond() * TENTHS_MS_PER_SECOND + instant.getNano() / NANOS_PER_TENTH_MS;
    }
}
