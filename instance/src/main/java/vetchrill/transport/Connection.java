package vetchrill.transport;

import java.io.IOException;
import java.util.Arrays;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;

/**
 * A blocking pipe with a reader for as long as it lives, and a writer while there is something to write: so a peer
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
    private static final int FIRST_TOGETHER = 2 << 10;
    private static final int TOGETHER = 16 << 10;

    private final Pipe pipe;
    private final Limits limits;
    private final Job.Runner readers;
    private final Job.Runner writers;
    private final AtomicLong unsentInAll;
    private final AtomicInteger unsent = new AtomicInteger();
    /** Messages, or such that are looked at again before they go out. */
    private final LinkedBlockingQueue<Object> toSend = new LinkedBlockingQueue<>();
    private final AtomicBoolean writing = new AtomicBoolean();
    private final AtomicBoolean gone = new AtomicBoolean();
    private final Runnable closed;
    /** The closing mark was given: what is given after it is not written. */
    private final AtomicBoolean closing = new AtomicBoolean();
    /** All up to the closing mark is written, and the peer sees the end. */
    private volatile boolean halfClosed;
    /** The peer's end was read, or the connection failed: nothing can lie unread any more. */
    private volatile boolean inputEnded;
    /** The reader gave up on what the peer sends, of which any amount may lie unread. */
    private volatile boolean inputGivenUp;
    private final AtomicBoolean discarding = new AtomicBoolean();
    /** A part of a message has come, and the rest has not. */
    private volatile boolean partial;

    /** {@code unsentInAll} counts for all connections together; {@code closed} is called once, on any thread. */
    public Connection(Pipe pipe, Limits limits, Job.Runner readers, Job.Runner writers, AtomicLong unsentInAll,
            Runnable closed) {
        this.pipe = pipe;
        this.limits = limits;
        this.readers = readers;
        this.writers = writers;
        this.unsentInAll = unsentInAll;
        this.closed = closed;
    }

    /** Starts reading. */
    public void start(Input input, int longestMessage) {
        readers.give(new Reading(input, longestMessage));
    }

    /** Never waits. What waits for a peer that does not read is bounded: past it the connection is given up. */
    public void send(byte[] message) {
        send(message, message.length);
    }

    /**
     * The same for one that must not go out once {@code still} no longer holds: that is asked at the last moment, on
     * the writer's thread, since this process may have stood still after it was given; {@code dropped} is run instead.
     */
    public void send(byte[] message, BooleanSupplier still, Runnable dropped) {
        send(new Guarded(message, still, dropped), message.length);
    }

    private void send(Object message, int size) {
        if (gone.get() || closing.get()) {
            return;
        }
        int mine = unsent.addAndGet(size);
        long all = unsentInAll.addAndGet(size);
        // The sum guards the heap against many slow peers at once; one that owes little is not made to pay for it.
        if (mine > limits.unsentPerConnection || all > limits.unsentInAll && mine > limits.frame) {
            abort();
        }
        if (gone.get()) {
            sent(size);
        } else {
            give(message);
        }
    }

    private record Guarded(byte[] message, BooleanSupplier still, Runnable dropped) {
    }

    /** Counted once, whichever of the writer and an abort beside it comes first. */
    private void sent(int bytes) {
        int before = unsent.getAndUpdate(all -> Math.max(0, all - bytes));
        unsentInAll.addAndGet(-Math.min(before, bytes));
    }

    private void give(Object message) {
        toSend.add(message);
        if (!writing.getAndSet(true)) {
            writers.give(new Writing());
        }
    }

    /**
     * A lingering close: once all that was given before is written the peer is shown the end, and what it still sends
     * is read and dropped until its own end. Closing over unread bytes would be a reset instead, which takes along the
     * answers that the kernel still holds. How long that may last is up to the owner, who ends it by {@link #abort}.
     */
    public void close() {
        if (!closing.getAndSet(true) && !gone.get()) {
            give(END);
        }
    }

    private void halfClose() {
        halfClosed = true;
        // Whichever of the reader and this comes second sees the other's word.
        if (inputEnded) {
            abort();
            return;
        }
        pipe.shutdownOutput();
        if (inputGivenUp) {
            discard();
        }
    }

    private void discard() {
        if (!discarding.getAndSet(true)) {
            readers.give(new Discarding());
        }
    }

    /** Whether the peer has been shown the end. */
    public boolean isHalfClosed() {
        return halfClosed;
    }

    public boolean isClosed() {
        return gone.get();
    }

    /** Whether a message has begun to come that is not whole, or bytes wait that the reader has not taken yet. */
    public boolean isReceiving() {
        return partial || !gone.get() && !inputEnded && !inputGivenUp && pipe.hasUnread();
    }

    /** Closes at once; reader and writer end. */
    public void abort() {
        if (!gone.getAndSet(true)) {
            pipe.close();
            toSend.clear();
            sent(Integer.MAX_VALUE);
            closed.run();
        }
    }

    /** One step writes all that waits. */
    private final class Writing implements Job {
        /** Made where there is something to join: most answers go out alone. */
        private byte[] together = END;

        @Override
        public Pipe pipe() {
            return pipe;
        }

        @Override
        public boolean step() {
            try {
                Object next = toSend.poll();
                int filled = 0;
                int left = 0;
                // What waits already goes out in one write, for each write costs a switch on a shared core.
                while (next != null && next != END) {
                    Object after = toSend.poll();
                    if (next instanceof Guarded guarded) {
                        write(together, filled);
                        filled = 0;
                        left += guarded.message.length;
                        if (guarded.still.getAsBoolean()) {
                            write(guarded.message, guarded.message.length);
                        } else {
                            guarded.dropped.run();
                        }
                        next = after;
                        continue;
                    }
                    byte[] message = (byte[]) next;
                    boolean alone = filled == 0 && (after == null || after == END);
                    if (alone || filled + message.length > TOGETHER) {
                        write(together, filled);
                        write(message, message.length);
                        filled = 0;
                    } else {
                        if (filled + message.length > together.length) {
                            together = Arrays.copyOf(together, Math.max(FIRST_TOGETHER, filled + message.length));
                        }
                        System.arraycopy(message, 0, together, filled, message.length);
                        filled += message.length;
                    }
                    left += message.length;
                    next = after;
                }
                write(together, filled);
                sent(left);
                if (next == END) {
                    // The mark of a writer at work stays: nothing is written any more.
                    halfClose();
                    return false;
                }
                writing.set(false);
                return !toSend.isEmpty() && !writing.getAndSet(true);
            } catch (IOException e) {
                // The reader meets the same end and tells of it.
                abort();
            } catch (OutOfMemoryError e) {
                LOG.log(System.Logger.Level.ERROR, "writing a connection failed", e);
                abort();
            }
            return false;
        }
    }

    private void write(byte[] bytes, int size) throws IOException {
        if (size > 0) {
            pipe.write(bytes, 0, size);
        }
    }

    /** One step reads once, and takes what that made whole. */
    private final class Reading implements Job {
        private final Input input;
        private final int longestMessage;
        private byte[] buf;
        private int from;
        private int to;
        private long dropped;

        Reading(Input input, int longestMessage) {
            this.input = input;
            this.longestMessage = longestMessage;
        }

        @Override
        public Pipe pipe() {
            return pipe;
        }

        @Override
        public boolean step() {
            String why;
            boolean lost = false;
            try {
                why = read();
                if (why == null) {
                    partial = to > from;
                    return true;
                }
            } catch (IOException e) {
                why = String.valueOf(e.getMessage());
                lost = true;
                inputEnded = true;
            } catch (RuntimeException | OutOfMemoryError e) {
                // Nothing that one peer sends may cost more than its own connection.
                LOG.log(System.Logger.Level.ERROR, "reading a connection failed", e);
                why = "failed";
            }
            partial = false;
            inputGivenUp = !inputEnded;
            input.ended(why, lost);
            if (halfClosed && inputEnded) {
                abort();
            } else if (halfClosed) {
                discard();
            }
            return false;
        }

        /** Null where more may come, else why the reading ends. */
        private String read() throws IOException {
            if (buf == null) {
                buf = new byte[limits.firstBuffer];
            }
            if (to == buf.length) {
                if (from > 0) {
                    System.arraycopy(buf, from, buf, 0, to - from);
                } else if (buf.length >= longestMessage) {
                    return "a message longer than " + longestMessage + " bytes";
                } else {
                    buf = Arrays.copyOf(buf, Math.min(longestMessage, 2 * buf.length));
                }
                to -= from;
                from = 0;
            }
            int got = pipe.read(buf, to, buf.length - to);
            if (got < 0) {
                inputEnded = true;
                return "closed by the peer";
            }
            if (halfClosed) {
                // It can't be answered any more, and its stub sends it elsewhere: to run it here is once too often.
                from = 0;
                to = 0;
                dropped += got;
                return dropped > limits.lingerBytes ? "more after the end than is read past" : null;
            }
            to += got;
            while (from < to) {
                int took = input.take(buf, from, to);
                if (took < 0) {
                    return "input that can't be read";
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
            return null;
        }
    }

    /** Reads past what a peer sends that was given up on, until its end: one read a step, so much in all. */
    private final class Discarding implements Job {
        private final byte[] buf = new byte[limits.frame];
        private long dropped;

        @Override
        public Pipe pipe() {
            return pipe;
        }

        @Override
        public boolean step() {
            try {
                int got = pipe.read(buf, 0, buf.length);
                dropped += got;
                if (got >= 0 && dropped <= limits.lingerBytes) {
                    return true;
                }
            } catch (IOException e) {
                // Its peer, or the owner, has ended it.
            }
            abort();
            return false;
        }
    }
}
