package vetchrill.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;

/**
 * Maintains one connection to the interpreter's address. Reconnects at once when the connection is lost, then with
 * growing pauses between attempts. A dedicated thread does the waiting; the methods that decide when to connect and
 * handle the outcome block only for the connect attempt itself, so that a simulation can call them directly.
 */
public final class InterpreterLink {
    /** Opens a channel to an address. */
    public interface Dialer {
        /** Connects within {@code timeoutTenthsMs} or throws. */
        DuplexChannel dial(InetSocketAddress address, long timeoutTenthsMs) throws IOException;

        /** Connects over a TCP socket. */
        static DuplexChannel dialSocket(InetSocketAddress address, long timeoutTenthsMs) throws IOException {
            Socket socket = new Socket();
            try {
                // The timeout is short at first: if the peer's backlog is full, the kernel retransmits the SYN only
                // after one second, and a new attempt connects sooner.
                socket.connect(address, (int) (timeoutTenthsMs / 10));
                return DuplexChannel.of(socket);
            } catch (IOException e) {
                socket.close();
                throw e;
            }
        }
    }

    private static final System.Logger LOG = System.getLogger("vetchrill.link");

    private final Limits limits;
    private final Dialer dialer;
    private final IoTask.Executor readers;
    private final IoTask.Executor writers;
    private final Function<Connection, Connection.InputHandler> onOpened;
    private volatile InetSocketAddress address;
    /** Counted down when the current connection is lost or the address has changed. */
    private volatile CountDownLatch reconnectNeeded = new CountDownLatch(0);
    private InetSocketAddress connectedAddress;
    private long retryPause;
    private long connectTimeout;
    private boolean failureLogged;

    /** {@code onOpened} is called with each new connection before reading starts and returns its input handler. */
    public InterpreterLink(InetSocketAddress address, Limits limits, Dialer dialer, IoTask.Executor readers,
            IoTask.Executor writers, Function<Connection, Connection.InputHandler> onOpened) {
        this.address = address;
        this.limits = limits;
        this.dialer = dialer;
        this.readers = readers;
        this.writers = writers;
        this.onOpened = onOpened;
        connectTimeout = limits.initialConnectTimeoutTenthsMs;
    }

    /** Starts the thread that connects and reconnects. */
    public void start() {
        Resources.newDaemonThread("link", this::maintain, limits.threadStackBytes).start();
    }

    /**
     * Switches the link to another address. The old connection stays in use until the new one is open, and the owner
     * closes it then, so that there is always a connection.
     */
    public void move(InetSocketAddress newAddress) {
        address = newAddress;
        reconnectNeeded.countDown();
    }

    private void maintain() {
        while (true) {
            try {
                long currentPause = nextRetryPause();
                if (currentPause > 0) {
                    Thread.sleep(currentPause / 10);
                }
                if (attemptConnect()) {
                    long openedNanos = System.nanoTime();
                    reconnectNeeded.await();
                    connectionEnded((System.nanoTime() - openedNanos) / 100_000);
                }
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /**
     * Returns the pause before the next attempt and doubles the one after it. A connection that is lost right away
     * counts as a failed attempt.
     */
    public long nextRetryPause() {
        long currentPause = retryPause;
        retryPause = Math.min(limits.maxRetryPauseTenthsMs, Math.max(limits.initialRetryPauseTenthsMs, 2 * retryPause));
        return currentPause;
    }

    /** Makes one attempt; true if a connection was opened, which is kept until {@link #isReconnectNeeded}. */
    public boolean attemptConnect() {
        InetSocketAddress target = address;
        CountDownLatch connectionOver = new CountDownLatch(1);
        reconnectNeeded = connectionOver;
        connectedAddress = target;
        try {
            Connection connection = new Connection(dialer.dial(target, connectTimeout), limits, readers, writers,
                    new AtomicLong(), () -> { });
            connectTimeout = limits.initialConnectTimeoutTenthsMs;
            Connection.InputHandler handler = onOpened.apply(connection);
            connection.start(new Connection.InputHandler() {
                @Override
                public int consume(byte[] buf, int from, int to) {
                    return handler.consume(buf, from, to);
                }

                @Override
                public void inputEnded(String reason, boolean disconnected) {
                    connection.abort();
                    handler.inputEnded(reason, disconnected);
                    connectionOver.countDown();
                }
            }, limits.maxLineBytes);
            failureLogged = false;
            if (target != address) {
                connectionOver.countDown();
            }
            return true;
        } catch (IOException e) {
            connectTimeout = Math.min(limits.maxConnectTimeoutTenthsMs, 2 * connectTimeout);
            if (!failureLogged) {
                LOG.log(System.Logger.Level.WARNING, "cannot connect to the interpreter, retrying: {0}",
                        e.getMessage());
            }
            failureLogged = true;
            return false;
        }
    }

    /** Whether the current connection is lost or the address has changed. */
    public boolean isReconnectNeeded() {
        return reconnectNeeded.getCount() == 0;
    }

    /** Ends the current connection: the next attempt follows at once if it lasted or the address has changed. */
    public void connectionEnded(long uptime) {
        if (connectedAddress != address || uptime > limits.maxRetryPauseTenthsMs) {
            retryPause = 0;
        }
    }
}
