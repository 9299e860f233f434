package vetchrill.members;

/**
 * How often, how long and how many, the same on all instances. Times are tenths of a millisecond.
 *
 * @param probePeriod between two probes of an instance
 * @param ackTimeout how long one is waited for, before others are asked for it; the rest of the period is theirs
 * @param indirectProbes that are asked to probe what does not answer
 * @param suspicionMultiplier in periods, times the tenfold logarithm of the fleet: how long a suspicion that enough
 * others share
 *     waits for an answer from its subject
 * @param maxSuspicionFactor so many times as long waits a suspicion that nobody shares
 * @param syncPeriod between two exchanges of all that is held
 */
public record MembershipConfig(long probePeriod, long ackTimeout, int indirectProbes, double suspicionMultiplier,
        double maxSuspicionFactor, long syncPeriod) {
    public static final MembershipConfig DEFAULT = new MembershipConfig(5_000, 1_500, 3, 4, 4, 100_000);

    public MembershipConfig {
        if (ackTimeout <= 0 || ackTimeout >= probePeriod || indirectProbes < 0 || suspicionMultiplier < 1
                || maxSuspicionFactor < 1 || syncPeriod < probePeriod) {
            throw new IllegalArgumentException("a pace that can't be kept");
        }
    }
}
