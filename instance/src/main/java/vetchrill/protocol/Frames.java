package vetchrill.protocol;

import java.nio.charset.StandardCharsets;

/** Frames as client stubs and instances write them. */
public final class Frames {
    public static final int EXCHANGE = 2;
    public static final int ANSWER = 4;
    public static final int CHECK = 16;
    public static final int CHECKED = 32;
    public static final int NOTHING_NEW = 64;

    public static final int COMPLETED = 79;
    public static final int DENIED = 66;
    public static final int TERMINATED = 69;

    private static final byte[] BACKOFF = "backoff".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] FINAL = "final".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] NONE = new byte[0];

    private Frames() {
    }

    static int number(byte[] buf, int at) {
        return (buf[at] & 0xff) << 24 | (buf[at + 1] & 0xff) << 16 | (buf[at + 2] & 0xff) << 8 | buf[at + 3] & 0xff;
    }

    /** The result is a slice; it is copied here, since the answer may wait for its peer to read. */
    public static byte[] completed(int stream, byte[] buf, int from, int to) {
        byte[] frame = head(ANSWER, stream, 2 + to - from);
        frame[9] = COMPLETED;
        System.arraycopy(buf, from, frame, 11, to - from);
        return frame;
    }

    /** For a frame made where its stream was not known yet. */
    public static void onStream(byte[] frame, int stream) {
        put(frame, 5, stream);
    }

    /** The same answer for another exchange; the one that it is made of may be on its way. */
    public static byte[] onStreamOf(byte[] frame, int stream) {
        byte[] copy = frame.clone();
        onStream(copy, stream);
        return copy;
    }

    public static byte[] terminated(int stream) {
        byte[] frame = head(ANSWER, stream, 2);
        frame[9] = TERMINATED;
        return frame;
    }

    /** {@code away} in milliseconds, 0 for no advice. */
    public static byte[] denied(int stream, long away, boolean giveUp) {
        byte[] wait = away > 0 ? Long.toString(away).getBytes(StandardCharsets.US_ASCII) : NONE;
        int size = 2 + (away > 0 ? 3 + BACKOFF.length + wait.length : 0) + (giveUp ? 4 + FINAL.length : 0);
        byte[] frame = head(ANSWER, stream, size);
        frame[9] = DENIED;
        frame[10] = (byte) ((away > 0 ? 1 : 0) + (giveUp ? 1 : 0));
        int at = 11;
        if (away > 0) {
            at = field(frame, at, BACKOFF, wait);
        }
        if (giveUp) {
            field(frame, at, FINAL, new byte[] {'1'});
        }
        return frame;
    }

    public static byte[] checked(int stream, boolean good) {
        byte[] frame = head(CHECKED, stream, 2);
        frame[9] = (byte) (good ? COMPLETED : TERMINATED);
        return frame;
    }

    public static byte[] nothingNew() {
        return head(NOTHING_NEW, 0, 0);
    }

    private static int field(byte[] frame, int at, byte[] name, byte[] value) {
        frame[at] = (byte) name.length;
        System.arraycopy(name, 0, frame, at + 1, name.length);
        int then = at + 1 + name.length;
        frame[then] = (byte) (value.length >> 8);
        frame[then + 1] = (byte) value.length;
        System.arraycopy(value, 0, frame, then + 2, value.length);
        return then + 2 + value.length;
    }

    private static byte[] head(int type, int stream, int payload) {
        byte[] frame = new byte[9 + payload];
        put(frame, 0, 5 + payload);
        frame[4] = (byte) type;
        put(frame, 5, stream);
        return frame;
    }

    private static void put(byte[] frame, int at, int value) {
        frame[at] = (byte) (value >> 24);
        frame[at + 1] = (byte) (value >> 16);
        frame[at + 2] = (byte) (value >> 8);
        frame[at + 3] = (byte) value;
    }
}
