package vetchrill.protocol;

import vetchrill.transport.Connection;
import vetchrill.transport.Limits;

/** Splits what a client stub sends into frames. */
public final class FrameReader implements Connection.Input {
    /**
     * Who takes the frames; the payload is a slice of the buffer, good for the call only. False where nothing more
     * is to be read.
     */
    public interface Taker {
        boolean frame(int type, int stream, byte[] buf, int from, int to);

        /** A frame whose length is allowed but of which no exchange has need; it is read past. */
        boolean oversized(int type, int stream);

        /** The frames can't be told apart any more. */
        void broken(String reason);

        /** Nothing more comes; {@code gone} where no answer would arrive either. */
        void ended(boolean gone);
    }

    private static final int HEAD = 9;

    private final Limits limits;
    private final Taker taker;
    private int toSkip;

    public FrameReader(Limits limits, Taker taker) {
        this.limits = limits;
        this.taker = taker;
    }

    @Override
    public int take(byte[] buf, int from, int to) {
        int has = to - from;
        if (toSkip > 0) {
            int skipped = Math.min(toSkip, has);
            toSkip -= skipped;
            return skipped;
        }
        if (has < 4) {
            return 0;
        }
        long length = Frames.number(buf, from) & 0xffffffffL;
        if (length < 5 || length > limits.longestFrame) {
            taker.broken("a frame of length " + length);
            return -1;
        }
        if (has < HEAD) {
            return 0;
        }
        int type = buf[from + 4] & 0xff;
        int stream = Frames.number(buf, from + 5);
        if (length > limits.frame - 4) {
            toSkip = (int) length - 5;
            return taker.oversized(type, stream) ? HEAD : -1;
        }
        if (has < 4 + length) {
            return 0;
        }
        if (type != Frames.EXCHANGE && type != Frames.CHECK) {
            taker.broken("a frame of type " + type);
            return -1;
        }
        boolean goesOn = taker.frame(type, stream, buf, from + HEAD, from + 4 + (int) length);
        return goesOn ? 4 + (int) length : -1;
    }

    @Override
    public void ended(String why, boolean gone) {
        taker.ended(gone);
    }
}
