package vetchrill.fleet;

import java.util.Set;

/** A fault injected into a run. Times are tenths of a millisecond from the start of the run. */
public sealed interface Fault {
    /** When the fault begins. */
    long from();

    /** When its cause is removed; Long.MAX_VALUE if never. */
    long until();

    /** First attempts arrive at {@code rateFactor} times their rate. */
    record Burst(long from, long until, double rateFactor) implements Fault {
    }

    /** A share of the instances, chosen by the seed of the run, is {@code slowdownFactor} times slower. */
    record Slowdown(long from, long until, double instanceRatio, double slowdownFactor) implements Fault {
    }

    /** A share of the instances, chosen by the seed of the run, crashes at once and restarts cold at {@code until}. */
    record Crash(long from, long until, double instanceRatio) implements Fault {
    }

    /** All instances of the zones crash at once and restart cold, together, at {@code until}. */
    record ZoneLoss(long from, long until, Set<String> zones) implements Fault {
    }

    /** Every {@code period}, all connections between one stub and one instance, chosen by the seed, are reset. */
    record ConnectionReset(long from, long until, long period) implements Fault {
    }

    /** A rolling deploy of the whole fleet begins; it lasts until its last batch is replaced. */
    record RollingDeploy(long from) implements Fault {
        @Override
        public long until() {
            return Long.MAX_VALUE;
        }
    }
}
