package vetchrill.transport;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Arrays;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A blocking socket with a reader and a writer thread of its own, so that a peer that does not read, or reads a
 * byte at a time, holds up only its own writer, and whoever sends never waits.
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
    private final AtomicLong unsentInAll;
    private final AtomicInteger unsent = new AtomicInteger();
    private final LinkedBlockingQueue<byte[]> toSend = new LinkedBlockingQueue<>();
    private final String name;
    private final AtomicBoolean writing = new AtomicBoolean();
    private volatile boolean gone;

    /** {@code unsentInAll} counts for all connections together. */
    public Connection(Socket socket, String name, Limits limits, AtomicLong unsentInAll) throws IOException {
        this.socket = socket;
        this.limits = limits;
        this.unsentInAll = unsentInAll;
        socket.setTcpNoDelay(true);
        this.name = name;
    }

    /** Starts reading; false where the machine has no more threads to give. */
    public boolean start(Input input, int longestMessage) {
        return started(() -> read(input, longestMessage), "-reader");
    }

    private boolean started(Runnable work, String what) {
        try {
            Resources.daemon(name + what, work, limits.threadStack).start();
            return true;
        } catch (OutOfMemoryError noThread) {
            LOG.log(System.Logger.Level.ERROR, "no thread for a connection: it is closed");
            abort();
            return false;
        }
    }

    /** Never waits. What waits for a peer that does not read is bounded: past it the connection is given up. */
    public void send(byte[] message) {
        if (gone) {
            return;
        }
        int mine = unsent.addAndGet(message.length);
        long all = unsentInAll.addAndGet(message.length);
        // The sum guards the heap against many slow peers at once; one that owes little is not made to pay for it.
        if (mine > limits.unsentPerConnection || all > limits.unsentInAll && mine > limits.frame) {
            abort();
        }
        give(message);
    }

    private void give(byte[] message) {
        toSend.add(message);
        if (!writing.getAndSet(true) && !started(this::write, "-writer")) {
            letGo();
        }
    }

    /** Closes once all that was given before is written. */
    public void closeWhenSent() {
        if (!gone) {
            give(END);
        }
    }

    /** Closes at once; both threads end. */
    public void abort() {
        gone = true;
        Resources.close(socket);
        if (writing.get()) {
            toSend.add(END);
        }
    }

    private void write() {
        byte[] together = new byte[2 << 10];
        try {
            OutputStream out = socket.getOutputStream();
            while (true) {
                // A thread costs fifty kilobytes of touched stack: one that only waits is let go after a while.
                byte[] message = toSend.poll(limits.writerWaits / 10, TimeUnit.MILLISECONDS);
                if (message == null) {
                    writing.set(false);
                    if (toSend.isEmpty() || writing.getAndSet(true)) {
                        return;
                    }
                    continue;
                }
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
                unsent.addAndGet(-left);
                unsentInAll.addAndGet(-left);
                if (message == END) {
                    break;
                }
            }
        } catch (IOException | InterruptedException e) {
            // The reader meets the same end and tells of it.
        } catch (OutOfMemoryError e) {
            LOG.log(System.Logger.Level.ERROR, "writing a connection failed", e);
        }
        letGo();
    }

    private void letGo() {
        abort();
        toSend.clear();
        unsentInAll.addAndGet(-unsent.getAndSet(0));
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
