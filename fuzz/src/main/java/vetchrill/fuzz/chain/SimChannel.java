package vetchrill.fuzz.chain;

import java.io.IOException;
import java.util.Arrays;
import vetchrill.transport.IoTask;
import vetchrill.transport.DuplexChannel;

/** An in-memory connection between the processing chain and a simulated peer; to the chain it behaves like a socket. */
final class SimChannel implements DuplexChannel {
    /** Notified at once of what the chain does on its side; the peer itself simulates delays. */
    interface Peer {
        void onWritten(byte[] bytes);

        /** The chain has shut down its output; the peer may still send. */
        void onOutputShutdown();

        /** {@code unread}: bytes were left unread, so that a socket would have sent a reset. */
        void onClosed(boolean unread);
    }

    final Peer peer;
    /** The task that reads on the side of the chain; null once it has ended. */
    IoTask reader;
    /** Whether the chain has ever started to read it. */
    boolean accepted;
    private byte[] unread = new byte[0];
    private int position;
    /** Total of the bytes that the chain has read. */
    long bytesRead;
    private boolean inputEnded;
    private boolean reset;
    private boolean outputShutdown;
    boolean closed;
    /** Until this time the peer does not read, and writers of the chain are blocked. */
    long writesStalledUntil;

    SimChannel(Peer peer) {
        this.peer = peer;
    }

    static byte[] concatenate(byte[] first, byte[] second) {
        byte[] result = Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, result, first.length, second.length);
        return result;
    }

    /** Delivers bytes from the peer to the chain. */
    void receive(byte[] bytes) {
        if (!closed && !inputEnded && !reset) {
            unread = concatenate(Arrays.copyOfRange(unread, position, unread.length), bytes);
            position = 0;
        }
    }

    void endInput() {
        inputEnded = true;
    }

    /** Resets the connection: bytes not read yet are lost. */
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
                throw new IllegalStateException("a reader was scheduled although there is nothing to read");
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
