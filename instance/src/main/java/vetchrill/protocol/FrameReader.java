package vetchrill.protocol;

import vetchrill.transport.Connection;
import vetchrill.transport.Limits;

/** Splits what a client stub sends into frames. */
public final class FrameReader implements Connection.InputHandler {
    /**
     * Who takes the frames; the payload is a slice of the buffer, good for the call only. False where nothing more
     * is to be read.
     */
    public interface Handler {
        boolean onFrame(int type, int stream, byte[] buf, int from, int to);

        /** A frame whose length is allowed but of which no exchange has need; it is read past. */
        boolean onOversizedFrame(int type, int stream);

        /** The frames can't be told apart any more. */
        void onMalformedInput(String reason);

        /** Nothing more comes; {@code gone} where no answer would arrive either. */
        void onInputEnded(boolean disconnected);
    }

    private static final int HEADER_BYTES = 9;

    private final Limits limits;
    private final Handler handler;
    private int bytesToSkip;

    public FrameReader(Limits limits, Handler handler) {
        this.limits = limits;
        this.handler = handler;
    }

    @Override
    public int consume(byte[] buf, int from, int to) {
        int available = to - from;
        if (bytesToSkip > 0) {
            int skipped = Math.min(bytesToSkip, available);
            bytesToSkip -= skipped;
            return skipped;
        }
        if (available < 4) {
            return 0;
        }
        long length = Frames.readInt(buf, from) & 0xffffffffL;
        if (length < 5 || length > limits.maxFrameLengthBytes) {
            handler.onMalformedInput("a frame of length " + length);
            return -1;
        }
        if (available < HEADER_BYTES) {
            return 0;
        }
        int type = buf[from + 4] & 0xff;
        int stream = Frames.readInt(buf, from + 5);
        if (length > limits.maxBufferedFrameBytes - 4) {
            bytesToSkip = (int) length - 5;
            return handler.onOversizedFrame(type, stream) ? HEADER_BYTES : -1;
        }
        if (available < 4 + length) {
            return 0;
        }
        if (type != Frames.EXCHANGE && type != Frames.HEALTH_CHECK) {
            handler.onMalformedInput("a frame of type " + type);
            return -1;
        }
        boolean keepReading = handler.onFrame(type, stream, buf, from + HEADER_BYTES, from + 4 + (int) length);
        return keepReading ? 4 + (int) length : -1;
    }

    @Override
    public void inputEnded(String reason, boolean disconnected) {
        handler.onInputEnded(disconnected);
    }
}
