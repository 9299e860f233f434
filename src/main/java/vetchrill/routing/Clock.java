package vetchrill.routing;

/**
 * Tenths of a millisecond of Unix time. The system's clock is read once at start and for the age of what arrives;
 * all else runs on from there, so that a step of the clock can't stop a timer or lose a due answer.
 */
public final class Clock {
    private final long origin = wall();
    private final long started = System.nanoTime();

    public long now() {
        return origin + (System.nanoTime() - started) / 100_000;
    }

    /** How long ago something happened that another process stamped, in Unix milliseconds. */
    long age(long stamp, long oldest) {
        return Math.max(0, Math.min(oldest, wall() - stamp * 10));
    }

    private static long wall() {
        java.time.Instant at = java.time.Instant.now();
        return at.getEpochSecond() * 10_000 + at.getNano() / 100_000;
    }
}
