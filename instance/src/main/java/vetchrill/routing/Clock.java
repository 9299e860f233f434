package vetchrill.routing;

import java.util.function.LongSupplier;

/**
 * Tenths of a millisecond of Unix time. The system's clock is read once at start and for the age of what arrives;
 * all else runs on from there, so that a step of the clock can't stop a timer or lose a due answer.
 */
public final class Clock {
    private static final long STEP = 200;

    private final LongSupplier wall;
    /** Null for the system's: read several times an exchange, and a call through an interface is never inlined. */
    private final LongSupplier nanos;
    private final long origin;
    private final long started;
    /** By how much the system's clock is off this one, and was before that changed last. */
    private record Steps(long now, long before, long changed) {
    }

    private volatile Steps steps = new Steps(0, 0, Long.MIN_VALUE / 2);

    /** The clocks of the system. */
    public Clock() {
        this(Clock::systemWall, null);
    }

    /** {@code wall} tells tenths of a millisecond of Unix time and may step; {@code nanos} never does. */
    public Clock(LongSupplier wall, LongSupplier nanos) {
        this.wall = wall;
        this.nanos = nanos;
        origin = wall.getAsLong();
        started = nanos();
    }

    public long now() {
        return origin + (nanos() - started) / 100_000;
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
    long stamped(long stamp, long oldest) {
        long now = now();
        Steps seen = watch(now);
        long at = stamp * 10 - seen.now;
        long before = stamp * 10 - seen.before;
        if (now - seen.changed <= oldest && before <= now + STEP && (before > at || at > now + STEP)) {
            at = before;
        }
        return Math.max(now - oldest, Math.min(now, at));
    }

    /** Looks whether the system's clock has stepped: often enough that none of its steps is passed over. */
    void watch() {
        watch(now());
    }

    private Steps watch(long now) {
        long off = wall.getAsLong() - now;
        Steps seen = steps;
        if (Math.abs(off - seen.now) > STEP) {
            seen = new Steps(off, seen.now, now);
            steps = seen;
        }
        return seen;
    }

    private static long systemWall() {
        java.time.Instant at = java.time.Instant.now();
        return at.getEpochSecond() * 10_000 + at.getNano() / 100_000;
    }
}
