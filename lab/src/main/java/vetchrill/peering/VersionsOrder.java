package vetchrill.peering;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import vetchrill.audit.AuditConfig;
import vetchrill.hcl.Block;
import vetchrill.versions.VersionsConfig;

/** What an operator's file says of versions and of the record, in its blocks {@code versions} and {@code audit}. */
public final class VersionsOrder {
    private VersionsOrder() {
    }

    /** What is agreed on, where it is kept, and in how many octets at most. */
    public record Order(VersionsConfig terms, Path directory, long bound) {
    }

    /** Null where the file has no such block, or it is off. Mistakes are noted in the file and told by its check. */
    public static Order versions(Block root, PeersOrder peers, String name) {
        if (!root.hasBlock("versions")) {
            return null;
        }
        Block block = root.block("versions");
        boolean on = block.flag("on", true);
        Path directory = block.folder("directory");
        List<String> keepers = new ArrayList<>(block.words("keepers"));
        double lease = block.number("lease_ms", 100, 600_000, 3_000);
        double every = block.number("every_ms", 10, 60_000, 500);
        double behind = block.number("behind_ms", 100, 86_400_000, 30_000);
        double store = block.number("store_mb", 1, 1e5, 64);
        boolean serves = block.oneOf("alone", "deny", "serve").equals("serve");
        if (every * 2 > lease) {
            block.mistake("every_ms", "should be half of lease_ms or less");
            every = lease / 4;
        }
        if (peers == null) {
            if (on) {
                block.mistake("on", "is true, which needs a block peers that is on");
            }
            return null;
        }
        List<String> known = new ArrayList<>(peers.others.keySet());
        known.add(name);
        for (String each : keepers) {
            if (!known.contains(each)) {
                block.mistake("keepers", "names " + each + ", which is no peer and not this instance");
            }
        }
        if (keepers.size() % 2 == 0 || keepers.stream().distinct().count() < keepers.size()) {
            block.mistake("keepers", "should be the names of 1, 3, 5 or 7 instances, the same in every file");
            keepers = List.of(name);
        }
        return on
                ? new Order(new VersionsConfig(new ArrayList<>(peers.others.keySet()), keepers, Math.round(lease * 10),
                Math.round(every * 10), Math.round(behind * 10), serves), directory, (long) (store * (1 << 20))) : null;
    }

    /** Null where the file has no such block, or it is off. */
    public static AuditConfig audit(Block root) {
        if (!root.hasBlock("audit")) {
            return null;
        }
        Block block = root.block("audit");
        Path directory = block.folder("directory");
        int ring = block.whole("ring_rows", 64, 1 << 20, 8_192);
        double flush = block.number("flush_ms", 5, 60_000, 50);
        double segment = block.number("segment_mb", 0.01, 1e4, 16);
        double most = block.number("most_mb", 0.04, 1e6, 1_024);
        if (most < 2 * segment) {
            block.mistake("most_mb", "should be twice segment_mb or more");
        }
        return block.flag("on", true) ? new AuditConfig(directory, ring, Math.round(flush * 10),
                (long) (segment * (1 << 20)), (long) (most * (1 << 20))) : null;
    }
}
