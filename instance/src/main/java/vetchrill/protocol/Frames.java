package vetchrill.protocol;

import java.nio.charset.StandardCharsets;

/** Frames as client stubs and instances write them. */
public final class Frames {
    public static final int EXCHANGE = 2;
    public static final int ANSWER = 4;
    public static final int HEALTH_CHECK = 16;
    public static final int HEALTH_CHECK_ANSWER = 32;
    public static final int GO_AWAY = 64;

    public static final int COMPLETED = 79;
    public static final int DENIED = 66;
    public static final int TERMINATED = 69;

    private static final byte[] BACKOFF_FIELD = "backoff".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] FINAL_FIELD = "final".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] NO_BYTES = new byte[0];

    private Frames() {
    }

    static int readInt(byte[] buf, int at) {
        return (buf[at] & 0xff) << 24 | (buf[at + 1] & 0xff) << 16 | (buf[at + 2] & 0xff) << 8 | buf[at + 3] & 0xff;
    }

    /** The result is a slice; it is copied here, since the answer may wait for its peer to read. */
    public static byte[] completed(int stream, byte[] buf, int from, int to) {
        byte[] frame = newFrame(ANSWER, stream, 2 + to - from);
        frame[9] = COMPLETED;
        System.arraycopy(buf, from, frame, 11, to - from);
        return frame;
    }

    /** For a frame made where its stream was not known yet. */
    public static void setStream(byte[] frame, int stream) {
        writeInt(frame, 5, stream);
    }

    /** The same answer for another exchange; the one that it is made of may be on its way. */
    public static byte[] copyForStream(byte[] frame, int stream) {
        byte[] copy = frame.clone();
        setStream(copy, stream);
        return copy;
    }

    public static byte[] terminated(int stream) {
        byte[] frame = newFrame(ANSWER, stream, 2);
        frame[9] = TERMINATED;
        return frame;
    }

    /** {@code away} in milliseconds, 0 for no advice. */
    public static byte[] denied(int stream, long retryAfterMs, boolean finalDenial) {
        byte[] delayText = retryAfterMs > 0 ? Long.toString(retryAfterMs).getBytes(StandardCharsets.US_ASCII)
                : NO_BYTES;
        int payloadBytes = 2 + (retryAfterMs > 0 ? 3 + BACKOFF_FIELD.length + delayText.length : 0)
                + (finalDenial ? 4 + FINAL_FIELD.length : 0);
        byte[] frame = newFrame(ANSWER, stream, payloadBytes);
        frame[9] = DENIED;
        frame[10] = (byte) ((retryAfterMs > 0 ? 1 : 0) + (finalDenial ? 1 : 0));
        int at = 11;
        if (retryAfterMs > 0) {
            at = writeField(frame, at, BACKOFF_FIELD, delayText);
        }
        if (finalDenial) {
            writeField(frame, at, FINAL_FIELD, new byte[] {'1'});
        }
        return frame;
    }

    public static byte[] healthCheckAnswer(int stream, boolean healthy) {
        byte[] frame = newFrame(HEALTH_CHECK_ANSWER, stream, 2);
        frame[9] = (byte) (healthy ? COMPLETED : TERMINATED);
        return frame;
    }

    public static byte[] goAway() {
        return newFrame(GO_AWAY, 0, 0);
    }

    private static int writeField(byte[] frame, int at, byte[] name, byte[] value) {
        frame[at] = (byte) name.length;
        System.arraycopy(name, 0, frame, at + 1, name.length);
        int valueAt = at + 1 + name.length;
        frame[valueAt] = (byte) (value.length >> 8);
        frame[valueAt + 1] = (byte) value.length;
        System.arraycopy(value, 0, frame, valueAt + 2, value.length);
        return valueAt + 2 + value.length;
    }

    private static byte[] newFrame(int type, int stream, int payloadBytes) {
        byte[] frame = new byte[9 + payloadBytes];
        writeInt(frame, 0, 5 + payloadBytes);
        frame[4] = (byte) type;
        writeInt(frame, 5, stream);
        return frame;
    }

    private static void writeInt(byte[] frame, int at, int value) {
        frame[at] = (byte) (value >> 24);
        frame[at + 1] = (byte) (value >> 16);
        frame[at + 2] = (byte) (value >> 8);
        frame[at + 3] = (byte) value;
    }
}
