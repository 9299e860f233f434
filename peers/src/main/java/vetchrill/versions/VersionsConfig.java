package vetchrill.versions;

import java.util.List;

/**
 * Configuration of the agreement on versions, the same on all instances. Times are tenths of a millisecond.
 *
 * @param otherInstances the names of all other instances
 * @param voters the names of the instances that vote on the minimum version and grant leases; an odd number
 * @param leaseDuration how long an instance may go on after the lease request that a majority of voters has granted
 * @param gossipPeriod time between two state messages of an instance
 * @param stragglerTimeout an instance that could have activated a version for this long and has not is reported as a
 *     straggler
 * @param serveWithoutQuorum whether an instance without a lease goes on serving; if so, the guarantee that nothing
 *     starts below the minimum version does not hold for it
 */
public record VersionsConfig(List<String> otherInstances, List<String> voters, long leaseDuration, long gossipPeriod,
        long stragglerTimeout, boolean serveWithoutQuorum) {
    public VersionsConfig {
        otherInstances = List.copyOf(otherInstances);
        voters = List.copyOf(voters);
        if (voters.isEmpty() || leaseDuration < 4 || gossipPeriod < 1 || stragglerTimeout < 1) {
            throw new IllegalArgumentException("invalid version configuration: no voters, or a lease duration, gossip"
                    + " period or straggler timeout that is too short");
        }
    }

    int majority() {
        return voters.size() / 2 + 1;
    }
}
