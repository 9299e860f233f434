package vetchrill.capture;

import java.nio.file.Path;
import java.util.HexFormat;
import vetchrill.hcl.ConfigBlock;

/** The block {@code capture} of an operator's configuration file, which enables recording. */
public final class CaptureConfig {
    private static final int KEY_DIGITS = 32;
    private static final int TENTHS_PER_MS = 10;

    final Path directory;
    /** Zone and machine kind of this instance, as the fleet file names them. */
    final String zone;
    final String kind;
    /** The key with which subjects are hashed. */
    final byte[] subjectKey;
    /** Rows that can wait for the writer. */
    final int ringRows;
    /** Limit on the size of the file. */
    final long maxBytes;
    /** Longest time until a recorded row is in the file, in tenths of a millisecond. */
    final long flushPeriod;

    private CaptureConfig(ConfigBlock block) {
        directory = block.path("directory");
        zone = block.text("zone");
        kind = block.text("kind");
        String digits = block.text("subject_key");
        if (!digits.matches("[0-9a-fA-F]{" + KEY_DIGITS + "}") && !digits.isEmpty()) {
            block.addError("subject_key", "should be " + KEY_DIGITS
                    + " hexadecimal digits, the same on every instance");
            digits = "";
        }
        subjectKey = digits.isEmpty() ? new byte[KEY_DIGITS / 2] : HexFormat.of().parseHex(digits);
        ringRows = block.integer("ring_rows", 64, 1 << 20, 8_192);
        maxBytes = (long) block.number("most_mb", 1, 1e6, 256) << 20;
        flushPeriod = Math.round(block.number("flush_ms", 10, 60_000, 500) * TENTHS_PER_MS);
    }

    /** Returns null if the file does not enable recording. Errors are reported by the check of the file. */
    public static CaptureConfig readFrom(ConfigBlock root) {
        if (!root.hasBlock("capture")) {
            return null;
        }
        CaptureConfig settings = new CaptureConfig(root.block("capture"));
        return root.block("capture").bool("on", true) ? settings : null;
    }
}
