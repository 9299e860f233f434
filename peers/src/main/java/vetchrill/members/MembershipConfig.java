package vetchrill.members;

/**
 * Timeouts and limits of the membership protocol, the same on all instances. Times are tenths of a millisecond.
 *
 * @param probePeriod time between two probes sent by an instance
 * @param ackTimeout time to wait for the acknowledgement of a direct probe before other members are asked to probe the
 *     target; the rest of the probe period is the time that they have
 * @param indirectProbes number of members that are asked to probe an unresponsive target
 * @param suspicionMultiplier suspicion timeout, in probe periods times the decimal logarithm of the fleet size, if
 *     enough members confirm the suspicion
 * @param maxSuspicionFactor the suspicion timeout is this many times longer if no other member confirms the suspicion
 * @param syncPeriod time between two full state exchanges (anti-entropy)
 */
public record MembershipConfig(long probePeriod, long ackTimeout, int indirectProbes, double suspicionMultiplier,
        double maxSuspicionFactor, long syncPeriod) {
    public static final MembershipConfig DEFAULT = new MembershipConfig(5_000, 1_500, 3, 4, 4, 100_000);

    public MembershipConfig {
        if (ackTimeout <= 0 || ackTimeout >= probePeriod || indirectProbes < 0 || suspicionMultiplier < 1
                || maxSuspicionFactor < 1 || syncPeriod < probePeriod) {
            throw new IllegalArgumentException("invalid membership configuration: the acknowledgement timeout must be"
                    + " above 0 and below the probe period, the sync period at least the probe period, the suspicion"
                    + " factors at least 1");
        }
    }
}
