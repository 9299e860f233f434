package vetchrill.fuzz.chain;

import java.io.IOException;
import java.util.Arrays;
import vetchrill.transport.IoTask;
import vetchrill.transport.DuplexChannel;

/** One connection in memory. What its peer does to it is up to the peer; the chain sees what a socket would show. */
final class SimPipe implements DuplexChannel {
    /** What the peer hears of the other side, at once; it passes it on in its own time. */
    interface Peer {
        void written(byte[] bytes);

        /** Nothing more comes; the peer may still send. */
        void ended();

        /** {@code unread}: over bytes that the chain had not read, which is a reset. */
        void closed(boolean unread);
    }

    final Peer peer;
    /** Whoever reads this side; null once it has ended. */
    IoTask reader;
    /** The chain has had it. */
    boolean taken;
    private byte[] in = new byte[0];
    private int at;
    /** Bytes that the chain has read in all. */
    long consumed;
    private boolean ended;
    private boolean reset;
    private boolean shutOutput;
    boolean closed;
    /** Its peer takes nothing until then. */
    long stalledUntil;

    SimPipe(Peer peer) {
        this.peer = peer;
    }

    static byte[] joined(byte[] one, byte[] two) {
        byte[] both = Arrays.copyOf(one, one.length + two.length);
        System.arraycopy(two, 0, both, one.length, two.length);
        return both;
    }

    /** Bytes arrive from the peer. */
    void arrive(byte[] bytes) {
        if (!closed && !ended && !reset) {
            in = joined(Arrays.copyOfRange(in, at, in.length), bytes);
            at = 0;
        }
    }

    void end() {
        ended = true;
    }

    /** As a connection is torn down: what was not read yet is gone. */
    void reset() {
        reset = true;
        in = new byte[0];
        at = 0;
    }

    boolean readable() {
        return at < in.length || ended || reset || closed;
    }

    @Override
    public int read(byte[] buf, int from, int size) throws IOException {
        if (closed) {
            throw new IOException("Socket closed");
        }
        if (reset) {
            throw new IOException("Connection reset");
        }
        if (at == in.length) {
            if (!ended) {
                throw new IllegalStateException("the rig steps a reader that has nothing to read");
            }
            return -1;
        }
        int got = Math.min(size, in.length - at);
        System.arraycopy(in, at, buf, from, got);
        at += got;
        consumed += got;
        return got;
    }

    @Override
    public void write(byte[] buf, int from, int size) throws IOException {
        if (closed || reset || shutOutput) {
            throw new IOException("Broken pipe");
        }
        if (size > 0) {
            peer.written(Arrays.copyOfRange(buf, from, from + size));
        }
    }

    @Override
    public boolean hasUnread() {
        return !closed && at < in.length;
    }

    @Override
    public void shutdownOutput() {
        if (!shutOutput && !closed && !reset) {
            shutOutput = true;
            peer.ended();
        }
    }

    @Override
    public void close() {
        if (!closed) {
            closed = true;
            peer.closed(!reset && at < in.length);
        }
    }
}
