package vetchrill.protocol;

import java.nio.charset.StandardCharsets;

/**
 * The frames between client stubs and instances. A frame is a length of four bytes, which counts the bytes after it, a
 * type of one byte, a stream number of four bytes and the payload, all in network byte order. The payload of an answer
 * is a byte with the outcome, the fields and the body.
 *
 * @see Fields
 */
public final class Frames {
    public static final int EXCHANGE = 2;
    public static final int ANSWER = 4;
    public static final int HEALTH_CHECK = 16;
    public static final int HEALTH_CHECK_ANSWER = 32;
    /** Sent to a stub when the instance accepts nothing new on the connection. */
    public static final int GO_AWAY = 64;

    /** Outcomes of an exchange; the first byte of an answer's payload. */
    public static final int COMPLETED = 79;
    public static final int DENIED = 66;
    public static final int TERMINATED = 69;

    /** Size of the length, which does not count itself. */
    static final int LENGTH_BYTES = 4;
    static final int TYPE_OFFSET = LENGTH_BYTES;
    static final int STREAM_OFFSET = TYPE_OFFSET + 1;
    static final int HEADER_BYTES = STREAM_OFFSET + 4;
    /** Length of a frame with an empty payload: its type and stream. */
    static final int MIN_LENGTH = HEADER_BYTES - LENGTH_BYTES;
    private static final int OUTCOME_OFFSET = HEADER_BYTES;
    private static final int FIELD_COUNT_OFFSET = OUTCOME_OFFSET + 1;
    private static final int FIELDS_OFFSET = FIELD_COUNT_OFFSET + 1;

    private static final byte[] BACKOFF_FIELD = "backoff".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] FINAL_FIELD = "final".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] NO_BYTES = new byte[0];

    private Frames() {
    }

    static int readInt(byte[] buf, int offset) {
        return (buf[offset] & 0xff) << 24 | (buf[offset + 1] & 0xff) << 16 | (buf[offset + 2] & 0xff) << 8
                | buf[offset + 3] & 0xff;
    }

    /** Answers with a result, which is copied from the slice because the answer may be queued until its peer reads. */
    public static byte[] completed(int stream, byte[] buf, int from, int to) {
        byte[] frame = newFrame(ANSWER, stream, 2 + to - from);
        frame[OUTCOME_OFFSET] = COMPLETED;
        System.arraycopy(buf, from, frame, FIELDS_OFFSET, to - from);
        return frame;
    }

    /** Sets the stream of a frame that was built before its stream was known. */
    public static void setStream(byte[] frame, int stream) {
        writeInt(frame, STREAM_OFFSET, stream);
    }

    /** Copies an answer for another exchange; the original may still be queued for sending. */
    public static byte[] copyForStream(byte[] frame, int stream) {
        byte[] copy = frame.clone();
        setStream(copy, stream);
        return copy;
    }

    /** Answers an exchange that may have run, without a result. */
    public static byte[] terminated(int stream) {
        byte[] frame = newFrame(ANSWER, stream, 2);
        frame[OUTCOME_OFFSET] = TERMINATED;
        return frame;
    }

    /**
     * Answers an exchange that was rejected before it ran.
     *
     * @param retryAfterMs retry-after delay for the stub, 0 for none
     * @param finalDenial whether the stub must not retry
     */
    public static byte[] denied(int stream, long retryAfterMs, boolean finalDenial) {
        byte[] delayText = retryAfterMs > 0 ? Long.toString(retryAfterMs).getBytes(StandardCharsets.US_ASCII)
                : NO_BYTES;
        int payloadBytes = 2 + (retryAfterMs > 0 ? 3 + BACKOFF_FIELD.length + delayText.length : 0)
                + (finalDenial ? 4 + FINAL_FIELD.length : 0);
        byte[] frame = newFrame(ANSWER, stream, payloadBytes);
        frame[OUTCOME_OFFSET] = DENIED;
        frame[FIELD_COUNT_OFFSET] = (byte) ((retryAfterMs > 0 ? 1 : 0) + (finalDenial ? 1 : 0));
        int offset = FIELDS_OFFSET;
        if (retryAfterMs > 0) {
            offset = writeField(frame, offset, BACKOFF_FIELD, delayText);
        }
        if (finalDenial) {
            writeField(frame, offset, FINAL_FIELD, new byte[] {'1'});
        }
        return frame;
    }

    /** Answers a health check. */
    public static byte[] healthCheckAnswer(int stream, boolean healthy) {
        byte[] frame = newFrame(HEALTH_CHECK_ANSWER, stream, 2);
        frame[OUTCOME_OFFSET] = (byte) (healthy ? COMPLETED : TERMINATED);
        return frame;
    }

    /** Announces that nothing new is accepted on the connection. */
    public static byte[] goAway() {
        return newFrame(GO_AWAY, 0, 0);
    }

    private static int writeField(byte[] frame, int offset, byte[] name, byte[] value) {
        frame[offset] = (byte) name.length;
        System.arraycopy(name, 0, frame, offset + 1, name.length);
        int valueOffset = offset + 1 + name.length;
        frame[valueOffset] = (byte) (value.length >> 8);
        frame[valueOffset + 1] = (byte) value.length;
        System.arraycopy(value, 0, frame, valueOffset + 2, value.length);
        return valueOffset + 2 + value.length;
    }

    private static byte[] newFrame(int type, int stream, int payloadBytes) {
        byte[] frame = new byte[HEADER_BYTES + payloadBytes];
        writeInt(frame, 0, MIN_LENGTH + payloadBytes);
        frame[TYPE_OFFSET] = (byte) type;
        writeInt(frame, STREAM_OFFSET, stream);
        return frame;
    }

    private static void writeInt(byte[] frame, int offset, int value) {
        frame[offset] = (byte) (value >> 24);
        frame[offset + 1] = (byte) (value >> 16);
        frame[offset + 2] = (byte) (value >> 8);
        frame[offset + 3] = (byte) value;
    }
}
