package vetchrill.fleet;

import java.util.Set;

/** What goes wrong in a run, and when; times in tenths of a millisecond from the start of the run. */
public sealed interface Fault {
    long from();

    /** When its cause is gone; Long.MAX_VALUE where that is never. */
    long until();

    /** First tries come {@code size} times as often. */
    record Burst(long from, long until, double rateFactor) implements Fault {
    }

    /** A part of the relays, drawn by the run's seed, is {@code size} times slower. */
    record Slowdown(long from, long until, double instanceRatio, double slowdownFactor) implements Fault {
    }

    /** A part of the relays dies at once and comes back cold at {@code until}. */
    record Crash(long from, long until, double instanceRatio) implements Fault {
    }

    /** All relays of some zones die at once and come back cold, together, at {@code until}. */
    record ZoneLoss(long from, long until, Set<String> zones) implements Fault {
    }

    /** Every {@code every}, all connections between one stub and one relay, drawn by the seed, are reset. */
    record ConnectionReset(long from, long until, long period) implements Fault {
    }

    /** A rolling deploy of the whole fleet begins; it lasts as long as its batches take. */
    record RollingDeploy(long from) implements Fault {
        @Override
        public long until() {
            return Long.MAX_VALUE;
        }
    }
}
