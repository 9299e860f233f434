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
    public interface InputHandler {
        /** Takes whole messages from the slice; how many bytes it took, 0 to be called with more, -1 to stop. */
        int consume(byte[] buf, int from, int to);

        /** Nothing more will be read; {@code gone} where nothing that is sent would arrive any more. */
        void inputEnded(String reason, boolean disconnected);
    }

    private static final System.Logger LOG = System.getLogger("vetchrill.connection");
    private static final byte[] CLOSE_MARK = new byte[0];
    private static final int INITIAL_BATCH_BYTES = 2 << 10;
    private static final int MAX_BATCH_BYTES = 16 << 10;

    private final DuplexChannel channel;
    private final Limits limits;
    private final IoTask.Executor readers;
    private final IoTask.Executor writers;
    private final AtomicLong totalUnsentBytes;
    private final AtomicInteger unsentBytes = new AtomicInteger();
    /** Messages, or such that are looked at again before they go out. */
    private final LinkedBlockingQueue<Object> sendQueue = new LinkedBlockingQueue<>();
    private final AtomicBoolean writerActive = new AtomicBoolean();
    private final AtomicBoolean aborted = new AtomicBoolean();
    private final Runnable onClosed;
    /** The closing mark was given: what is given after it is not written. */
    private final AtomicBoolean closeRequested = new AtomicBoolean();
    /** All up to the closing mark is written, and the peer sees the end. */
    private volatile boolean halfClosed;
    /** The peer's end was read, or the connection failed: nothing can lie unread any more. */
    private volatile boolean inputEnded;
    /** The reader gave up on what the peer sends, of which any amount may lie unread. */
    private volatile boolean inputAbandoned;
    private final AtomicBoolean discardStarted = new AtomicBoolean();
    /** A part of a message has come, and the rest has not. */
    private volatile boolean partialMessage;

    /** {@code unsentInAll} counts for all connections together; {@code closed} is called once, on any thread. */
    public Connection(DuplexChannel channel, Limits limits, IoTask.Executor readers, IoTask.Executor writers,
            AtomicLong totalUnsentBytes,
            Runnable onClosed) {
        this.channel = channel;
        this.limits = limits;
        this.readers = readers;
        this.writers = writers;
        this.totalUnsentBytes = totalUnsentBytes;
        this.onClosed = onClosed;
    }

    /** Starts reading. */
    public void start(InputHandler handler, int maxMessageBytes) {
        readers.execute(new ReadTask(handler, maxMessageBytes));
    }

    /** Never waits. What waits for a peer that does not read is bounded: past it the connection is given up. */
    public void send(byte[] message) {
        send(message, message.length);
    }

    /**
     * The same for one that must not go out once {@code still} no longer holds: that is asked at the last moment, on
     * the writer's thread, since this process may have stood still after it was given; {@code dropped} is run instead.
     */
    public void send(byte[] message, BooleanSupplier stillValid, Runnable onDropped) {
        send(new ConditionalMessage(message, stillValid, onDropped), message.length);
    }

    private void send(Object message, int size) {
        if (aborted.get() || closeRequested.get()) {
            return;
        }
        int ownUnsent = unsentBytes.addAndGet(size);
        long totalUnsent = totalUnsentBytes.addAndGet(size);
        // The sum guards the heap against many slow peers at once; one that owes little is not made to pay for it.
        if (ownUnsent > limits.maxUnsentPerConnectionBytes || totalUnsent > limits.maxTotalUnsentBytes
                && ownUnsent > limits.maxBufferedFrameBytes) {
            abort();
        }
        if (aborted.get()) {
            deductUnsent(size);
        } else {
            enqueue(message);
        }
    }

    private record ConditionalMessage(byte[] message, BooleanSupplier stillValid, Runnable onDropped) {
    }

    /** Counted once, whichever of the writer and an abort beside it comes first. */
    private void deductUnsent(int bytes) {
        int before = unsentBytes.getAndUpdate(current -> Math.max(0, current - bytes));
        totalUnsentBytes.addAndGet(-Math.min(before, bytes));
    }

    private void enqueue(Object message) {
        sendQueue.add(message);
        if (!writerActive.getAndSet(true)) {
            writers.execute(new WriteTask());
        }
    }

    /**
     * A lingering close: once all that was given before is written the peer is shown the end, and what it still sends
     * is read and dropped until its own end. Closing over unread bytes would be a reset instead, which takes along the
     * answers that the kernel still holds. How long that may last is up to the owner, who ends it by {@link #abort}.
     */
    public void close() {
        if (!closeRequested.getAndSet(true) && !aborted.get()) {
            enqueue(CLOSE_MARK);
        }
    }

    private void halfClose() {
        halfClosed = true;
        // Whichever of the reader and this comes second sees the other's word.
        if (inputEnded) {
            abort();
            return;
        }
        channel.shutdownOutput();
        if (inputAbandoned) {
            startDiscarding();
        }
    }

    private void startDiscarding() {
        if (!discardStarted.getAndSet(true)) {
            readers.execute(new DiscardTask());
        }
    }

    /** Whether the peer has been shown the end. */
    public boolean isHalfClosed() {
        return halfClosed;
    }

    public boolean isClosed() {
        return aborted.get();
    }

    /** Whether a message has begun to come that is not whole, or bytes wait that the reader has not taken yet. */
    public boolean isReceiving() {
        return partialMessage || !aborted.get() && !inputEnded && !inputAbandoned && channel.hasUnread();
    }

    /** Closes at once; reader and writer end. */
    public void abort() {
        if (!aborted.getAndSet(true)) {
            channel.close();
            sendQueue.clear();
            deductUnsent(Integer.MAX_VALUE);
            onClosed.run();
        }
    }

    /** One step writes all that waits. */
    private final class WriteTask implements IoTask {
        /** Made where there is something to join: most answers go out alone. */
        private byte[] batch = CLOSE_MARK;

        @Override
        public DuplexChannel channel() {
            return channel;
        }

        @Override
        public boolean step() {
            try {
                Object next = sendQueue.poll();
                int batchedBytes = 0;
                int writtenBytes = 0;
                // What waits already goes out in one write, for each write costs a switch on a shared core.
                while (next != null && next != CLOSE_MARK) {
                    Object following = sendQueue.poll();
                    if (next instanceof ConditionalMessage conditional) {
                        write(batch, batchedBytes);
                        batchedBytes = 0;
                        writtenBytes += conditional.message.length;
                        if (conditional.stillValid.getAsBoolean()) {
                            write(conditional.message, conditional.message.length);
                        } else {
                            conditional.onDropped.run();
                        }
                        next = following;
                        continue;
                    }
                    byte[] message = (byte[]) next;
                    boolean writeDirectly = batchedBytes == 0 && (following == null || following == CLOSE_MARK);
                    if (writeDirectly || batchedBytes + message.length > MAX_BATCH_BYTES) {
                        write(batch, batchedBytes);
                        write(message, message.length);
                        batchedBytes = 0;
                    } else {
                        if (batchedBytes + message.length > batch.length) {
                            batch = Arrays.copyOf(batch, Math.max(INITIAL_BATCH_BYTES, batchedBytes + message.length));
                        }
                        System.arraycopy(message, 0, batch, batchedBytes, message.length);
                        batchedBytes += message.length;
                    }
                    writtenBytes += message.length;
                    next = following;
                }
                write(batch, batchedBytes);
                deductUnsent(writtenBytes);
                if (next == CLOSE_MARK) {
                    // The mark of a writer at work stays: nothing is written any more.
                    halfClose();
                    return false;
                }
                writerActive.set(false);
                return !sendQueue.isEmpty() && !writerActive.getAndSet(true);
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
            channel.write(bytes, 0, size);
        }
    }

    /** One step reads once, and takes what that made whole. */
    private final class ReadTask implements IoTask {
        private final InputHandler handler;
        private final int maxMessageBytes;
        private byte[] buf;
        private int from;
        private int to;
        private long droppedBytes;

        ReadTask(InputHandler handler, int maxMessageBytes) {
            this.handler = handler;
            this.maxMessageBytes = maxMessageBytes;
        }

        @Override
        public DuplexChannel channel() {
            return channel;
        }

        @Override
        public boolean step() {
            String endReason;
            boolean disconnected = false;
            try {
                endReason = read();
                if (endReason == null) {
                    partialMessage = to > from;
                    return true;
                }
            } catch (IOException e) {
                endReason = String.valueOf(e.getMessage());
                disconnected = true;
                inputEnded = true;
            } catch (RuntimeException | OutOfMemoryError e) {
                // Nothing that one peer sends may cost more than its own connection.
                LOG.log(System.Logger.Level.ERROR, "reading a connection failed", e);
                endReason = "failed";
            }
            partialMessage = false;
            inputAbandoned = !inputEnded;
            handler.inputEnded(endReason, disconnected);
            if (halfClosed && inputEnded) {
                abort();
            } else if (halfClosed) {
                startDiscarding();
            }
            return false;
        }

        /** Null where more may come, else why the reading ends. */
        private String read() throws IOException {
            if (buf == null) {
                buf = new byte[limits.initialBufferBytes];
            }
            if (to == buf.length) {
                if (from > 0) {
                    System.arraycopy(buf, from, buf, 0, to - from);
                } else if (buf.length >= maxMessageBytes) {
                    return "a message longer than " + maxMessageBytes + " bytes";
                } else {
                    buf = Arrays.copyOf(buf, Math.min(maxMessageBytes, 2 * buf.length));
                }
                to -= from;
                from = 0;
            }
            int readBytes = channel.read(buf, to, buf.length - to);
            if (readBytes < 0) {
                inputEnded = true;
                return "closed by the peer";
            }
            if (halfClosed) {
                // It can't be answered any more, and its stub sends it elsewhere: to run it here is once too often.
                from = 0;
                to = 0;
                droppedBytes += readBytes;
                return droppedBytes > limits.maxLingerBytes ? "more after the end than is read past" : null;
            }
            to += readBytes;
            while (from < to) {
                int consumedBytes = handler.consume(buf, from, to);
                if (consumedBytes < 0) {
                    return "input that can't be read";
                }
                if (consumedBytes == 0) {
                    break;
                }
                from += consumedBytes;
            }
            if (from == to) {
                from = 0;
                to = 0;
            }
            return null;
        }
    }

    /** Reads past what a peer sends that was given up on, until its end: one read a step, so much in all. */
    private final class DiscardTask implements IoTask {
        private final byte[] buf = new byte[limits.maxBufferedFrameBytes];
        private long droppedBytes;

        @Override
        public DuplexChannel channel() {
            return channel;
        }

        @Override
        public boolean step() {
            try {
                int readBytes = channel.read(buf, 0, buf.length);
                droppedBytes += readBytes;
                if (readBytes >= 0 && droppedBytes <= limits.maxLingerBytes) {
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
