package vetchrill.transport;

import java.io.IOException;
import java.util.Arrays;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;

/**
 * A connection over a blocking channel, with a reader task for its whole lifetime and a writer task while messages are
 * queued. A peer that does not read, or reads one byte at a time, blocks only its own writer; {@link #send} never
 * blocks.
 */
public final class Connection {
    /** Receives the input of a connection; called on the reader's thread. */
    public interface InputHandler {
        /**
         * Consumes complete messages from the slice. Returns the number of bytes consumed, 0 if more input is needed,
         * or -1 to stop reading.
         */
        int consume(byte[] buf, int from, int to);

        /** Called once when reading ends; {@code disconnected} means that nothing sent can reach the peer either. */
        void inputEnded(String reason, boolean disconnected);

        /**
         * Called when a write has failed, so that nothing sent can reach the peer, also where the reading has ended
         * before. On the writer's thread.
         */
        default void outputFailed() {
        }
    }

    private static final System.Logger LOG = System.getLogger("vetchrill.connection");
    /** Queued by {@link #close} behind the last message to write; compared by identity. */
    private static final byte[] CLOSE_MARK = new byte[0];
    private static final int INITIAL_BATCH_BYTES = 2 << 10;
    private static final int MAX_BATCH_BYTES = 16 << 10;

    private final DuplexChannel channel;
    private final Limits limits;
    private final IoTask.Executor readers;
    private final IoTask.Executor writers;
    private final AtomicLong totalUnsentBytes;
    private final AtomicInteger unsentBytes = new AtomicInteger();
    /** Holds {@code byte[]} messages, {@link ConditionalMessage}s and {@link #CLOSE_MARK}. */
    private final LinkedBlockingQueue<Object> sendQueue = new LinkedBlockingQueue<>();
    private final AtomicBoolean writerActive = new AtomicBoolean();
    private final AtomicBoolean aborted = new AtomicBoolean();
    private final Runnable onClosed;
    /** {@link #CLOSE_MARK} is queued; messages sent after that are not written. */
    private final AtomicBoolean closeRequested = new AtomicBoolean();
    /** Everything before {@link #CLOSE_MARK} is written and the output is shut down. */
    private volatile boolean halfClosed;
    /** The end of the peer's output was read, or the connection failed; no unread input remains. */
    private volatile boolean inputEnded;
    /** The reader stopped before the end of the peer's output; any amount of input may be unread. */
    private volatile boolean inputAbandoned;
    private final AtomicBoolean discardStarted = new AtomicBoolean();
    private volatile InputHandler inputHandler;
    /** The read buffer ends with an incomplete message. */
    private volatile boolean partialMessage;

    /**
     * Reads nothing before {@link #start}.
     *
     * @param totalUnsentBytes shared by all connections that count against the same total
     * @param onClosed called once, on any thread
     */
    public Connection(DuplexChannel channel, Limits limits, IoTask.Executor readers, IoTask.Executor writers,
            AtomicLong totalUnsentBytes, Runnable onClosed) {
        this.channel = channel;
        this.limits = limits;
        this.readers = readers;
        this.writers = writers;
        this.totalUnsentBytes = totalUnsentBytes;
        this.onClosed = onClosed;
    }

    /** Starts reading; a message longer than {@code maxMessageBytes} ends the reading. */
    public void start(InputHandler handler, int maxMessageBytes) {
        inputHandler = handler;
        readers.execute(new ReadTask(handler, maxMessageBytes));
    }

    /**
     * Queues a message; never blocks. The unsent bytes are bounded: the connection is aborted when a peer that does
     * not read lets them grow past the limit.
     */
    public void send(byte[] message) {
        send(message, message.length);
    }

    /**
     * Queues a message that is written only if {@code stillValid} holds at that time; otherwise {@code onDropped} runs.
     * The condition is checked on the writer's thread immediately before the write, because the process may have been
     * paused after the message was queued.
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
        // The total protects the heap from many slow peers at once; it aborts no connection with little unsent.
        if (ownUnsent > limits.maxUnsentPerConnectionBytes
                || totalUnsent > limits.maxTotalUnsentBytes && ownUnsent > limits.maxBufferedFrameBytes) {
            abort();
        }
        if (aborted.get()) {
            deductUnsent(size);
        } else {
            enqueue(message);
        }
    }

    /** A message with a condition that is checked before it is written. */
    private record ConditionalMessage(byte[] message, BooleanSupplier stillValid, Runnable onDropped) {
    }

    /** Deducts bytes from both counters, once only when the writer and a concurrent abort deduct the same bytes. */
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
     * Starts a lingering close: writes all queued messages, shuts down the output, then reads and discards input until
     * the peer closes its side. Closing the socket while input is unread would send a reset, which destroys the answers
     * still in the kernel's send buffer. There is no timeout here; the owner ends the close by {@link #abort}.
     */
    public void close() {
        if (!closeRequested.getAndSet(true) && !aborted.get()) {
            enqueue(CLOSE_MARK);
        }
    }

    private void halfClose() {
        halfClosed = true;
        // The reader sets inputEnded and then tests halfClosed; so at least one side calls abort().
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

    /** Whether all messages up to {@link #close} are written and the output is shut down. */
    public boolean isHalfClosed() {
        return halfClosed;
    }

    /** Whether the channel is closed in both directions. */
    public boolean isClosed() {
        return aborted.get();
    }

    /** Whether the peer has shut down its output, or the connection has failed. */
    public boolean isInputEnded() {
        return inputEnded;
    }

    /** Whether there is input that does not belong to a message which was passed on. */
    public boolean isReceiving() {
        return hasPartialMessage() || hasUnreadInput();
    }

    /** Whether a message has been read only in part. */
    public boolean hasPartialMessage() {
        return partialMessage;
    }

    /** Whether the channel has input that the reader has not read yet and is going to read. */
    public boolean hasUnreadInput() {
        return !aborted.get() && !inputEnded && !inputAbandoned && channel.hasUnread();
    }

    /** Closes the channel immediately and discards unsent messages; reader and writer end. */
    public void abort() {
        if (!aborted.getAndSet(true)) {
            channel.close();
            sendQueue.clear();
            deductUnsent(Integer.MAX_VALUE);
            onClosed.run();
        }
    }

    private void reportOutputFailed() {
        if (inputHandler != null) {
            inputHandler.outputFailed();
        }
    }

    /** Each step writes all queued messages. */
    private final class WriteTask implements IoTask {
        /** Allocated when messages are first combined; most answers are written alone. */
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
                // Queued messages are combined, because each write costs a context switch on a shared core.
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
                    // writerActive stays set, so no further writer starts.
                    halfClose();
                    return false;
                }
                writerActive.set(false);
                return !sendQueue.isEmpty() && !writerActive.getAndSet(true);
            } catch (IOException e) {
                // The reader fails in the same way and reports the reason, unless it has ended before.
                abort();
                reportOutputFailed();
            } catch (OutOfMemoryError e) {
                LOG.log(System.Logger.Level.ERROR, "unexpected error while writing to a connection", e);
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

    /** Each step reads once and passes the complete messages on. */
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
                // Input of one peer must not affect more than its own connection.
                LOG.log(System.Logger.Level.ERROR, "unexpected error while reading from a connection", e);
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

        /** Reads once; returns null if reading goes on, otherwise the reason why it ends. */
        private String read() throws IOException {
            if (buf == null) {
                buf = new byte[limits.initialBufferBytes];
            }
            if (to == buf.length) {
                if (from > 0) {
                    System.arraycopy(buf, from, buf, 0, to - from);
                } else if (buf.length >= maxMessageBytes) {
                    return "message exceeds " + maxMessageBytes + " bytes";
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
                // Input after the half-close cannot be answered, and the stub sends it to another instance: running
                // it here as well would run it twice.
                from = 0;
                to = 0;
                droppedBytes += readBytes;
                return droppedBytes > limits.maxLingerBytes ? "too much input after the half-close" : null;
            }
            to += readBytes;
            while (from < to) {
                int consumedBytes = handler.consume(buf, from, to);
                if (consumedBytes < 0) {
                    return "malformed input";
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

    /**
     * Reads and discards the input after the reader stopped early, until the peer closes its side or the limit on
     * lingering bytes is exceeded. Each step reads once.
     */
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
                // The peer or the owner has closed the connection.
            }
            abort();
            return false;
        }
    }
}
