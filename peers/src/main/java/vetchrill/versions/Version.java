package vetchrill.versions;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * A version of the configuration. Version numbers only grow: a rollback is a higher number with older content. Written
 * to messages and to disk by reflection, hence the outer names in {@link JsonProperty}.
 *
 * @param number 1 or more; 0 stands for the configuration that an instance was started with
 * @param author the instance on which the version was published
 * @param digest SHA-256 of the content in hexadecimal digits
 * @param size of the content in bytes
 * @param programDigest digest of the only program that may activate the version; empty for any
 * @param stages the rollout stages, in the order in which they open
 * @param stageInterval tenths of a millisecond from one stage to the next
 */
public record Version(long number, String author, String digest, int size, @JsonProperty("text") String programDigest,
        List<Stage> stages, @JsonProperty("hold") long stageInterval) {
    /**
     * The instances to which a stage opens the version.
     *
     * @param zone empty for all zones
     * @param share the share of the zone's instances, from 0 to 1
     */
    public record Stage(String zone, double share) {
        public Stage {
            if (zone == null || !(share >= 0 && share <= 1)) {
                throw new IllegalArgumentException("rollout stage without a zone or a share from 0 to 1");
            }
        }
    }

    /** A publish request with content of this size still fits into one frame. */
    public static final int MAX_SIZE_BYTES = 128 << 10;
    private static final int MAX_STAGES = 32;

    public Version {
        if (number < 1 || author == null || digest == null || !digest.matches("[0-9a-f]{64}") || size < 0
                || size > MAX_SIZE_BYTES || programDigest == null || !programDigest.matches("([0-9a-f]{64})?")
                || stages == null || stages.isEmpty() || stages.size() > MAX_STAGES || stageInterval < 0) {
            throw new IllegalArgumentException("invalid version");
        }
        stages = List.copyOf(stages);
    }

    /**
     * Whether both are the same version, whoever published it. Two versions with one number that are not the same are a
     * fork.
     */
    boolean sameAs(Version other) {
        return number == other.number && digest.equals(other.digest) && programDigest.equals(other.programDigest)
                && stages.equals(other.stages) && stageInterval == other.stageInterval;
    }

    /** The index of the first stage that includes the instance, or the number of stages if none does. */
    int firstStageFor(String name, String zone) {
        for (int i = 0; i < stages.size(); i++) {
            Stage stage = stages.get(i);
            if ((stage.zone().isEmpty() || stage.zone().equals(zone)) && rolloutPosition(name) < stage.share()) {
                return i;
            }
        }
        return stages.size();
    }

    /**
     * Position of an instance in the rollout order, from 0 to 1. It is the same on every instance and differs from
     * version to version, so that an instance that is early in one rollout may be late in the next.
     */
    private double rolloutPosition(String name) {
        long hash = number * 0x9e3779b97f4a7c15L;
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * 0xbf58476d1ce4e5b9L;
            hash ^= hash >>> 29;
        }
        return (hash >>> 11) * 0x1.0p-53;
    }
}
