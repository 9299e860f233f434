package vetchrill.versions;

import java.util.List;

/**
 * What an operator's file says, the same on all instances. Times are tenths of a millisecond.
 *
 * @param others the names of all other instances
 * @param keepers the names of those who keep the floor, of which more than half must agree; an odd number
 * @param lease so long after the last word of the keepers an instance goes on
 * @param every between two words of an instance about what it knows
 * @param behind an instance that could have taken a version for so long is told of as a straggler
 * @param serveAlone one that hears no keepers goes on serving: what a floor promises does not hold for it then
 */
public record Terms(List<String> others, List<String> keepers, long lease, long every, long behind,
        boolean serveAlone) {
    public Terms {
        others = List.copyOf(others);
        keepers = List.copyOf(keepers);
        if (keepers.isEmpty() || lease < 4 || every < 1 || behind < 1) {
            throw new IllegalArgumentException("terms that can't be kept");
        }
    }

    int majority() {
        return keepers.size() / 2 + 1;
    }
}
