package vetchrill.protocol;

import vetchrill.transport.Connection;
import vetchrill.transport.Limits;

/** Splits the input of a client stub into frames; {@link Frames} describes their format. */
public final class FrameReader implements Connection.InputHandler {
    /** Receives the frames of one connection, on the reader's thread. */
    public interface Handler {
        /** Handles a frame; its payload is a slice of the buffer, valid during the call. False stops reading. */
        boolean onFrame(int type, int stream, byte[] buf, int from, int to);

        /** Handles a frame that is longer than any exchange needs; its payload is skipped. False stops reading. */
        boolean onOversizedFrame(int type, int stream, int length);

        /** Called when the input is not a sequence of valid frames; reading stops. */
        void onMalformedInput(String reason);

        /** Called once when reading ends; {@code disconnected} means that no answer can reach the stub either. */
        void onInputEnded(boolean disconnected);

        /** Called when no answer can reach the stub any more, on the writer's thread. */
        default void onOutputFailed() {
        }
    }

    private static final int HEADER_BYTES = Frames.HEADER_BYTES;

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
        if (available < Frames.LENGTH_BYTES) {
            return 0;
        }
        long length = Frames.readInt(buf, from) & 0xffffffffL;
        if (length < Frames.MIN_LENGTH || length > limits.maxFrameLengthBytes) {
            handler.onMalformedInput("invalid frame length " + length);
            return -1;
        }
        if (available < HEADER_BYTES) {
            return 0;
        }
        int type = buf[from + Frames.TYPE_OFFSET] & 0xff;
        if (type != Frames.EXCHANGE && type != Frames.HEALTH_CHECK) {
            handler.onMalformedInput("unexpected frame type " + type);
            return -1;
        }
        int stream = Frames.readInt(buf, from + Frames.STREAM_OFFSET);
        if (length > limits.maxBufferedFrameBytes - Frames.LENGTH_BYTES) {
            bytesToSkip = (int) length - Frames.MIN_LENGTH;
            return handler.onOversizedFrame(type, stream, (int) length) ? HEADER_BYTES : -1;
        }
        if (available < Frames.LENGTH_BYTES + length) {
            return 0;
        }
        boolean keepReading = handler.onFrame(type, stream, buf,
                from + HEADER_BYTES, from + Frames.LENGTH_BYTES + (int) length);
        return keepReading ? Frames.LENGTH_BYTES + (int) length : -1;
    }

    @Override
    public void inputEnded(String reason, boolean disconnected) {
        handler.onInputEnded(disconnected);
    }

    @Override
    public void outputFailed() {
        handler.onOutputFailed();
    }
}
