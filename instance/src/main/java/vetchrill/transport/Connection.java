package vetchrill.transport;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Arrays;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A blocking socket with a reader for as long as it lives, and a writer while there is something to write: so a peer
 * that does not read, or reads a byte at a time, holds up only its own writer, and whoever sends never waits.
 */
public final class Connection {
    /** Who takes what is read. Called on the reader's thread. */
    public interface Input {
        /** Takes whole messages from the slice; how many bytes it took, 0 to be called with more, -1 to stop. */
        int take(byte[] buf, int from, int to);

        /** Nothing more will be read; {@code gone} where nothing that is sent would arrive any more. */
        void ended(String why, boolean gone);
    }

    private static final System.Logger LOG = System.getLogger("vetchrill.connection");
    private static final byte[] END = new byte[0];
    private static final int TOGETHER = 16 << 10;

    private final Socket socket;
    private final Limits limits;
    private final Workers readers;
    private final Workers writers;
    private final AtomicLong unsentInAll;
    private final AtomicInteger unsent = new AtomicInteger();
    private final LinkedBlockingQueue<byte[]> toSend = new LinkedBlockingQueue<>();
    private final AtomicBoolean writing = new AtomicBoolean();
    private final AtomicBoolean gone = new AtomicBoolean();
    private final Runnable closed;

    /** {@code unsentInAll} counts for all connections together; {@code closed} is called once, on any thread. */
    public Connection(Socket socket, Limits limits, Workers readers, Workers writers, AtomicLong unsentInAll,
            Runnable closed) throws IOException {
        this.socket = socket;
        this.limits = limits;
        this.readers = readers;
        this.writers = writers;
        this.unsentInAll = unsentInAll;
        this.closed = closed;
        socket.setTcpNoDelay(true);
    }

    /** Starts reading. */
    public void start(Input input, int longestMessage) {
        readers.give(() -> read(input, longestMessage));
    }

    /** Never waits. What waits for a peer that does not read is bounded: past it the connection is given up. */
    public void send(byte[] message) {
        if (gone.get()) {
            return;
        }
        int mine = unsent.addAndGet(message.length);
        long all = unsentInAll.addAndGet(message.length);
        // The sum guards the heap against many slow peers at once; one that owes little is not made to pay for it.
        if (mine > limits.unsentPerConnection || all > limits.unsentInAll && mine > limits.frame) {
            abort();
        }
        if (gone.get()) {
            sent(message.length);
        } else {
            give(message);
        }
    }

    /** Counted once, whichever of the writer and an abort beside it comes first. */
    private void sent(int bytes) {
        int before = unsent.getAndUpdate(all -> Math.max(0, all - bytes));
        unsentInAll.addAndGet(-Math.min(before, bytes));
    }

    private void give(byte[] message) {
        toSend.add(message);
        if (!writing.getAndSet(true)) {
            writers.give(this::write);
        }
    }

    /** Closes once all that was given before is written; at once where nothing is. */
    public void closeWhenSent() {
        if (toSend.isEmpty() && !writing.get()) {
            abort();
        } else if (!gone.get()) {
            give(END);
        }
    }

    /** Closes at once; reader and writer end. */
    public void abort() {
        if (!gone.getAndSet(true)) {
            Resources.close(socket);
            toSend.clear();
            sent(Integer.MAX_VALUE);
            closed.run();
        }
    }

    private void write() {
        byte[] together = new byte[2 << 10];
        try {
            OutputStream out = socket.getOutputStream();
            do {
                byte[] message = toSend.poll();
                int filled = 0;
                int left = 0;
                // What waits already goes out in one write, for each write costs a switch on a shared core.
                while (message != null && message != END) {
                    if (filled + message.length > together.length) {
                        if (filled + message.length > TOGETHER) {
                            out.write(together, 0, filled);
                            out.write(message);
                            left += message.length;
                            filled = 0;
                            message = toSend.poll();
                            continue;
                        }
                        together = Arrays.copyOf(together, filled + message.length);
                    }
                    System.arraycopy(message, 0, together, filled, message.length);
                    filled += message.length;
                    left += message.length;
                    message = toSend.poll();
                }
                out.write(together, 0, filled);
                sent(left);
                if (message == END) {
                    abort();
                    return;
                }
                writing.set(false);
            } while (!toSend.isEmpty() && !writing.getAndSet(true));
        } catch (IOException e) {
            // The reader meets the same end and tells of it.
            abort();
        } catch (OutOfMemoryError e) {
            LOG.log(System.Logger.Level.ERROR, "writing a connection failed", e);
            abort();
        }
    }

    private void read(Input input, int longestMessage) {
        String why = "closed by the peer";
        boolean lost = false;
        try {
            InputStream in = socket.getInputStream();
            byte[] buf = new byte[limits.firstBuffer];
            int from = 0;
            int to = 0;
            reading:
            while (true) {
                if (to == buf.length) {
                    if (from > 0) {
                        System.arraycopy(buf, from, buf, 0, to - from);
                    } else if (buf.length >= longestMessage) {
                        why = "a message longer than " + longestMessage + " bytes";
                        break;
                    } else {
                        buf = Arrays.copyOf(buf, Math.min(longestMessage, 2 * buf.length));
                    }
                    to -= from;
                    from = 0;
                }
                int got = in.read(buf, to, buf.length - to);
                if (got < 0) {
                    break;
                }
                to += got;
                while (from < to) {
                    int took = input.take(buf, from, to);
                    if (took < 0) {
                        why = "input that can't be read";
                        break reading;
                    }
                    if (took == 0) {
                        break;
                    }
                    from += took;
                }
                if (from == to) {
                    from = 0;
                    to = 0;
                }
            }
        } catch (IOException e) {
            why = String.valueOf(e.getMessage());
            lost = true;
        } catch (RuntimeException | OutOfMemoryError e) {
            // Nothing that one peer sends may cost more than its own connection.
            LOG.log(System.Logger.Level.ERROR, "reading a connection failed", e);
            why = "failed";
        } finally {
            input.ended(why, lost);
        }
    }
}
