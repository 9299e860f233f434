package vetchrill.wire;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Builds the reply to a batch in memory and sends it as a whole. */
final class LineWriter {
    private byte[] buffer = new byte[1 << 14];
    private int size;

    LineWriter startLine(String name) {
        return append(name);
    }

    LineWriter field(String key, long value) {
        return key(key).append(Long.toString(value));
    }

    LineWriter field(String key, boolean value) {
        return key(key).append(value ? "1" : "0");
    }

    LineWriter field(String key, double value) {
        return key(key).append(Double.toString(value));
    }

    LineWriter field(String key, String text) {
        return key(key).append(text);
    }

    /** Writes a time or duration in tenths of a millisecond as milliseconds with one decimal. */
    LineWriter millis(String key, long tenths) {
        key(key);
        if (tenths < 0) {
            append("-");
        }
        long magnitude = Math.abs(tenths);
        return append(Long.toString(magnitude / 10)).append(".").append(Long.toString(magnitude % 10));
    }

    void endLine() {
        append("\n");
    }

    void sendTo(OutputStream out) throws IOException {
        out.write(buffer, 0, size);
        out.flush();
        size = 0;
    }

    private LineWriter key(String key) {
        return append(" ").append(key).append("=");
    }

    private LineWriter append(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        if (size + bytes.length > buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.max(buffer.length * 2, size + bytes.length));
        }
        System.arraycopy(bytes, 0, buffer, size, bytes.length);
        size += bytes.length;
        return this;
    }
}
