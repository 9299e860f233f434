package vetchrill.wire;

import java.io.IOException;
import java.io.OutputStream;

/** Builds the reply of one batch in memory and sends it whole. */
final class LineWriter {
    private byte[] buf = new byte[1 << 14];
    private int size;

    LineWriter line(String name) {
        return raw(name);
    }

    LineWriter field(String key, long value) {
        return key(key).raw(Long.toString(value));
    }

    LineWriter field(String key, boolean value) {
        return key(key).raw(value ? "1" : "0");
    }

    LineWriter field(String key, double value) {
        return key(key).raw(Double.toString(value));
    }

    LineWriter field(String key, String text) {
        return key(key).raw(text);
    }

    LineWriter millis(String key, long tenths) {
        key(key);
        if (tenths < 0) {
            raw("-");
        }
        long size = Math.abs(tenths);
        return raw(Long.toString(size / 10)).raw(".").raw(Long.toString(size % 10));
    }

    void endLine() {
        raw("\n");
    }

    void sendTo(OutputStream out) throws IOException {
        out.write(buf, 0, size);
        out.flush();
        size = 0;
    }

    private LineWriter key(String key) {
        return raw(" ").raw(key).raw("=");
    }

    private LineWriter raw(String text) {
        byte[] bytes = text.getBytes(java.nio.charset.StandardCharsets.UTF_8);
        if (size + bytes.length > buf.length) {
            buf = java.util.Arrays.copyOf(buf, Math.max(buf.length * 2, size + bytes.length));
        }
        System.arraycopy(bytes, 0, buf, size, bytes.length);
        size += bytes.length;
        return this;
    }
}
