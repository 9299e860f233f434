package vetchrill.fuzz.chain;

import java.io.IOException;
import java.util.Arrays;
import vetchrill.transport.IoTask;
import vetchrill.transport.DuplexChannel;

/** One connection in memory. What its peer does to it is up to the peer; the chain sees what a socket would show. */
final class SimChannel implements DuplexChannel {
    /** What the peer hears of the other side, at once; it passes it on in its own time. */
    interface Peer {
        void onWritten(byte[] bytes);

        /** Nothing more comes; the peer may still send. */
        void onOutputShutdown();

        /** {@code unread}: over bytes that the chain had not read, which is a reset. */
        void onClosed(boolean unread);
    }

    final Peer peer;
    /** Whoever reads this side; null once it has ended. */
    IoTask reader;
    /** The chain has had it. */
    boolean accepted;
    private byte[] unread = new byte[0];
    private int position;
    /** Bytes that the chain has read in all. */
    long bytesRead;
    private boolean inputEnded;
    private boolean reset;
    private boolean outputShutdown;
    boolean closed;
    /** Its peer takes nothing until then. */
    long writesStalledUntil;

    SimChannel(Peer peer) {
        this.peer = peer;
    }

    static byte[] concatenate(byte[] first, byte[] second) {
        byte[] result = Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, result, first.length, second.length);
        return result;
    }

    /** Bytes arrive from the peer. */
    void receive(byte[] bytes) {
        if (!closed && !inputEnded && !reset) {
            unread = concatenate(Arrays.copyOfRange(unread, position, unread.length), bytes);
            position = 0;
        }
    }

    void endInput() {
        inputEnded = true;
    }

    /** As a connection is torn down: what was not read yet is gone. */
    void reset() {
        reset = true;
        unread = new byte[0];
        position = 0;
    }

    boolean readable() {
        return position < unread.length || inputEnded || reset || closed;
    }

    @Override
    public int read(byte[] buf, int from, int size) throws IOException {
        if (closed) {
            throw new IOException("Socket closed");
        }
        if (reset) {
            throw new IOException("Connection reset");
        }
        if (position == unread.length) {
            if (!inputEnded) {
                throw new IllegalStateException("the rig steps a reader that has nothing to read");
            }
            return -1;
        }
        int count = Math.min(size, unread.length - position);
        System.arraycopy(unread, position, buf, from, count);
        position += count;
        bytesRead += count;
        return count;
    }

    @Override
    public void write(byte[] buf, int from, int size) throws IOException {
        if (closed || reset || outputShutdown) {
            throw new IOException("Broken pipe");
        }
        if (size > 0) {
            peer.onWritten(Arrays.copyOfRange(buf, from, from + size));
        }
    }

    @Override
    public boolean hasUnread() {
        return !closed && position < unread.length;
    }

    @Override
    public void shutdownOutput() {
        if (!outputShutdown && !closed && !reset) {
            outputShutdown = true;
            peer.onOutputShutdown();
        }
    }

    @Override
    public void close() {
        if (!closed) {
            closed = true;
            peer.onClosed(!reset && position < unread.length);
        }
    }
}
