package vetchrill.versions;

import java.util.List;

/**
 * What an operator's file says, the same on all instances. Times are tenths of a millisecond.
 *
 * @param otherInstances the names of all other instances
 * @param voters the names of those who keep the floor, of which more than half must agree; an odd number
 * @param leaseDuration so long after the last word of the keepers an instance goes on
 * @param gossipPeriod between two words of an instance about what it knows
 * @param stragglerTimeout an instance that could have taken a version for so long is told of as a straggler
 * @param serveWithoutQuorum one that hears no keepers goes on serving: what a floor promises does not hold for it then
 */
public record VersionsConfig(List<String> otherInstances, List<String> voters, long leaseDuration, long gossipPeriod,
        long stragglerTimeout,
        boolean serveWithoutQuorum) {
    public VersionsConfig {
        otherInstances = List.copyOf(otherInstances);
        voters = List.copyOf(voters);
        if (voters.isEmpty() || leaseDuration < 4 || gossipPeriod < 1 || stragglerTimeout < 1) {
            throw new IllegalArgumentException("terms that can't be kept");
        }
    }

    int majority() {
        return voters.size() / 2 + 1;
    }
}
