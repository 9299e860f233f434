package vetchrill.capture;

import java.nio.file.Path;
import vetchrill.hcl.ConfigBlock;

/** What an operator's file says of recording, in its block {@code capture}. */
public final class CaptureConfig {
    private static final int KEY_DIGITS = 32;

    final Path directory;
    /** Where this instance stands and what machine it is, by the names of the fleet file. */
    final String zone;
    final String kind;
    final byte[] subjectKey;
    final int ringRows;
    final long maxBytes;
    /** Tenths of a millisecond: what is recorded is in the file so long after at most. */
    final long flushPeriod;

    private CaptureConfig(ConfigBlock block) {
        directory = block.path("directory");
        zone = block.text("zone");
        kind = block.text("kind");
        String digits = block.text("subject_key");
        if (!digits.matches("[0-9a-fA-F]{" + KEY_DIGITS + "}") && !digits.isEmpty()) {
            block.addError("subject_key", "should be " + KEY_DIGITS + " hexadecimal digits, the same on every relay");
            digits = "";
        }
        subjectKey = digits.isEmpty() ? new byte[KEY_DIGITS / 2] : java.util.HexFormat.of().parseHex(digits);
        ringRows = block.integer("ring_rows", 64, 1 << 20, 8_192);
        maxBytes = (long) block.number("most_mb", 1, 1e6, 256) << 20;
        flushPeriod = Math.round(block.number("flush_ms", 10, 60_000, 500) * 10);
    }

    /** Null where the file orders no recording. Mistakes are noted in the file and told by its check. */
    public static CaptureConfig readFrom(ConfigBlock root) {
        if (!root.hasBlock("capture")) {
            return null;
        }
        CaptureConfig settings = new CaptureConfig(root.block("capture"));
        return root.block("capture").bool("on", true) ? settings : null;
    }
}
