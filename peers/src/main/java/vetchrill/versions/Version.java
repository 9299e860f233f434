package vetchrill.versions;

import com.fasterxml.jackson.annotation.JsonProperty;

import java.util.List;

/**
 * What the fleet is to act by, under a number that only grows; a rollback is a higher number with older content.
 *
 * @param number 1 or more; 0 is what an instance was started with
 * @param author the instance that was told to publish it
 * @param digest of the content, SHA-256 in hexadecimal digits
 * @param size of the content in bytes
 * @param programDigest digest of the program that may take it; empty for any
 * @param stages who may take it, one after the other
 * @param stageInterval tenths of a millisecond between two stages
 */
public record Version(long number, String author, String digest, int size, @JsonProperty("text") String programDigest,
        List<Stage> stages,
        @JsonProperty("hold") long stageInterval) {
    /** A part of a zone; an empty zone stands for all of them. */
    public record Stage(String zone, double share) {
        public Stage {
            if (zone == null || !(share >= 0 && share <= 1)) {
                throw new IllegalArgumentException("a stage without a zone or a share from 0 to 1");
            }
        }
    }

    /** So that an order with it fits into one frame. */
    public static final int MAX_SIZE_BYTES = 128 << 10;
    private static final int MAX_STAGES = 32;

    public Version {
        if (number < 1 || author == null || digest == null || !digest.matches("[0-9a-f]{64}") || size < 0
                || size > MAX_SIZE_BYTES || programDigest == null || !programDigest.matches("([0-9a-f]{64})?") || stages
                == null
                || stages.isEmpty() || stages.size() > MAX_STAGES || stageInterval < 0) {
            throw new IllegalArgumentException("no version");
        }
        stages = List.copyOf(stages);
    }

    /** Whether both are one, whoever published it: two with one number that are not are a fork. */
    boolean sameAs(Version other) {
        return number == other.number && digest.equals(other.digest) && programDigest.equals(other.programDigest)
                && stages.equals(other.stages) && stageInterval == other.stageInterval;
    }

    /** How many stages must be open until this instance may take it; more than there are where it never may. */
    int firstStageFor(String name, String zone) {
        for (int i = 0; i < stages.size(); i++) {
            Stage stage = stages.get(i);
            if ((stage.zone().isEmpty() || stage.zone().equals(zone)) && rolloutPosition(name) < stage.share()) {
                return i;
            }
        }
        return stages.size();
    }

    /** From 0 to 1, the same wherever it is asked for: who is early in one version may be late in the next. */
    private double rolloutPosition(String name) {
        long hash = number * 0x9e3779b97f4a7c15L;
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * 0xbf58476d1ce4e5b9L;
            hash ^= hash >>> 29;
        }
        return (hash >>> 11) * 0x1.0p-53;
    }
}
