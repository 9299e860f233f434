package vetchrill.fleet;

import java.util.Set;

/** What goes wrong in a run, and when; times in tenths of a millisecond from the start of the run. */
public sealed interface Trouble {
    long from();

    /** When its cause is gone; Long.MAX_VALUE where that is never. */
    long until();

    /** First tries come {@code size} times as often. */
    record Burst(long from, long until, double size) implements Trouble {
    }

    /** A part of the relays, drawn by the run's seed, is {@code size} times slower. */
    record Slow(long from, long until, double part, double size) implements Trouble {
    }

    /** A part of the relays dies at once and comes back cold at {@code until}. */
    record Crash(long from, long until, double part) implements Trouble {
    }

    /** All relays of some zones die at once and come back cold, together, at {@code until}. */
    record Lose(long from, long until, Set<String> zones) implements Trouble {
    }

    /** Every {@code every}, all connections between one stub and one relay, drawn by the seed, are reset. */
    record Reset(long from, long until, long every) implements Trouble {
    }

    /** A rolling deploy of the whole fleet begins; it lasts as long as its batches take. */
    record Roll(long from) implements Trouble {
        @Override
        public long until() {
            return Long.MAX_VALUE;
        }
    }
}
