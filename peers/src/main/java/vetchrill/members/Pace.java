package vetchrill.members;

/**
 * How often, how long and how many, the same on all instances. Times are tenths of a millisecond.
 *
 * @param period between two probes of an instance
 * @param answer how long one is waited for, before others are asked for it; the rest of the period is theirs
 * @param helpers that are asked to probe what does not answer
 * @param patience in periods, times the tenfold logarithm of the fleet: how long a suspicion that enough others share
 *     waits for an answer from its subject
 * @param alone so many times as long waits a suspicion that nobody shares
 * @param sync between two exchanges of all that is held
 */
public record Pace(long period, long answer, int helpers, double patience, double alone, long sync) {
    public static final Pace USUAL = new Pace(5_000, 1_500, 3, 4, 4, 100_000);

    public Pace {
        if (answer <= 0 || answer >= period || helpers < 0 || patience < 1 || alone < 1 || sync < period) {
            throw new IllegalArgumentException("a pace that can't be kept");
        }
    }
}
