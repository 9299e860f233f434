package vetchrill.peering;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import vetchrill.audit.AuditConfig;
import vetchrill.hcl.ConfigBlock;
import vetchrill.versions.VersionsConfig;

/** Reads the blocks {@code versions} and {@code audit} of the operator's file. */
public final class OperatorConfigReader {
    private OperatorConfigReader() {
    }

    /**
     * The block {@code versions}.
     *
     * @param directory of the durable store
     * @param maxStoreBytes capacity of the durable store
     */
    public record VersionsBlock(VersionsConfig config, Path directory, long maxStoreBytes) {
    }

    /**
     * Reads the block {@code versions}; null if there is none or it is off. Mistakes are collected in the block and
     * reported when the file is checked.
     *
     * @param peers null if the file has no block {@code peers} that is on
     * @param name of this instance
     */
    public static VersionsBlock readVersions(ConfigBlock root, PeersConfig peers, String name) {
        if (!root.hasBlock("versions")) {
            return null;
        }
        ConfigBlock block = root.block("versions");
        boolean on = block.bool("on", true);
        Path directory = block.path("directory");
        List<String> voters = new ArrayList<>(block.texts("keepers"));
        double leaseMs = block.number("lease_ms", 100, 600_000, 3_000);
        double gossipPeriodMs = block.number("every_ms", 10, 60_000, 500);
        double stragglerTimeoutMs = block.number("behind_ms", 100, 86_400_000, 30_000);
        double storeMb = block.number("store_mb", 1, 1e5, 64);
        boolean serveWithoutQuorum = block.oneOf("alone", "deny", "serve").equals("serve");
        if (gossipPeriodMs * 2 > leaseMs) {
            block.addError("every_ms", "should be half of lease_ms or less");
            gossipPeriodMs = leaseMs / 4;
        }
        if (peers == null) {
            if (on) {
                block.addError("on", "is true, which requires a block peers that is on");
            }
            return null;
        }
        List<String> knownInstances = new ArrayList<>(peers.peerAddresses.keySet());
        knownInstances.add(name);
        for (String each : voters) {
            if (!knownInstances.contains(each)) {
                block.addError("keepers", "names " + each + ", which is neither a peer nor this instance");
            }
        }
        if (voters.size() % 2 == 0 || voters.stream().distinct().count() < voters.size()) {
            block.addError("keepers", "should be the names of 1, 3, 5 or 7 instances, the same in every file");
            voters = List.of(name);
        }
        return on
                ? new VersionsBlock(new VersionsConfig(new ArrayList<>(peers.peerAddresses.keySet()), voters,
                Math.round(leaseMs * 10), Math.round(gossipPeriodMs * 10), Math.round(stragglerTimeoutMs * 10),
                serveWithoutQuorum), directory, (long) (storeMb * (1 << 20))) : null;
    }

    /** Reads the block {@code audit}; null if there is none or it is off. */
    public static AuditConfig readAudit(ConfigBlock root) {
        if (!root.hasBlock("audit")) {
            return null;
        }
        ConfigBlock block = root.block("audit");
        Path directory = block.path("directory");
        int ringRows = block.integer("ring_rows", 64, 1 << 20, 8_192);
        double flushMs = block.number("flush_ms", 5, 60_000, 50);
        double segmentMb = block.number("segment_mb", 0.01, 1e4, 16);
        double maxMb = block.number("most_mb", 0.04, 1e6, 1_024);
        if (maxMb < 2 * segmentMb) {
            block.addError("most_mb", "should be twice segment_mb or more");
        }
        return block.bool("on", true) ? new AuditConfig(directory, ringRows, Math.round(flushMs * 10),
                (long) (segmentMb * (1 << 20)), (long) (maxMb * (1 << 20))) : null;
    }
}
