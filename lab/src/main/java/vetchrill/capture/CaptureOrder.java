package vetchrill.capture;

import java.nio.file.Path;
import vetchrill.hcl.Block;

/** What an operator's file says of recording, in its block {@code capture}. */
public final class CaptureOrder {
    private static final int KEY_DIGITS = 32;

    final Path directory;
    /** Where this instance stands and what machine it is, by the names of the fleet file. */
    final String zone;
    final String kind;
    final byte[] key;
    final int ring;
    final long mostBytes;
    /** Tenths of a millisecond: what is recorded is in the file so long after at most. */
    final long flushEvery;

    private CaptureOrder(Block block) {
        directory = block.folder("directory");
        zone = block.word("zone");
        kind = block.word("kind");
        String digits = block.word("subject_key");
        if (!digits.matches("[0-9a-fA-F]{" + KEY_DIGITS + "}") && !digits.isEmpty()) {
            block.mistake("subject_key", "should be " + KEY_DIGITS + " hexadecimal digits, the same on every relay");
            digits = "";
        }
        key = digits.isEmpty() ? new byte[KEY_DIGITS / 2] : java.util.HexFormat.of().parseHex(digits);
        ring = block.whole("ring_rows", 64, 1 << 20, 8_192);
        mostBytes = (long) block.number("most_mb", 1, 1e6, 256) << 20;
        flushEvery = Math.round(block.number("flush_ms", 10, 60_000, 500) * 10);
    }

    /** Null where the file orders no recording. Mistakes are noted in the file and told by its check. */
    public static CaptureOrder in(Block root) {
        if (!root.hasBlock("capture")) {
            return null;
        }
        CaptureOrder order = new CaptureOrder(root.block("capture"));
        return root.block("capture").flag("on", true) ? order : null;
    }
}
