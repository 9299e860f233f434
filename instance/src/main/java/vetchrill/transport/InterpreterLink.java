package vetchrill.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;

/**
 * Keeps one connection to an address: again at once when it is lost, then with growing pauses. A thread of its own
 * does the waiting; what is tried when, and what comes of it, is in methods that wait for nothing but the try itself.
 */
public final class InterpreterLink {
    /** How an address is reached. */
    public interface Dialer {
        /** Tries for {@code wait} at most, in tenths of a millisecond. */
        DuplexChannel dial(InetSocketAddress address, long timeoutTenthsMs) throws IOException;

        /** As it is on this machine's network. */
        static DuplexChannel dialSocket(InetSocketAddress address, long timeoutTenthsMs) throws IOException {
            Socket socket = new Socket();
            try {
                // A peer whose backlog is full for a moment hears of the same try again only after a second.
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
    /** Counted down when the connection of now is lost or no longer the one to keep. */
    private volatile CountDownLatch reconnectNeeded = new CountDownLatch(0);
    private InetSocketAddress connectedAddress;
    private long retryPause;
    private long connectTimeout;
    private boolean failureLogged;

    /** {@code opened} is called with each new connection before anything is read from it. */
    public InterpreterLink(InetSocketAddress address, Limits limits, Dialer dialer, IoTask.Executor readers,
            IoTask.Executor writers,
            Function<Connection, Connection.InputHandler> onOpened) {
        this.address = address;
        this.limits = limits;
        this.dialer = dialer;
        this.readers = readers;
        this.writers = writers;
        this.onOpened = onOpened;
        connectTimeout = limits.initialConnectTimeoutTenthsMs;
    }

    public void start() {
        Resources.newDaemonThread("link", this::maintain, limits.threadStackBytes).start();
    }

    /**
     * From now on the link is kept to another address. What there is to the old one is used until the new one is
     * open, and whoever took it closes it then: so no moment passes without a link.
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

    /** How long to wait before the next try; a connection that was up for no time at all counts as a failed one. */
    public long nextRetryPause() {
        long currentPause = retryPause;
        retryPause = Math.min(limits.maxRetryPauseTenthsMs, Math.max(limits.initialRetryPauseTenthsMs, 2 * retryPause));
        return currentPause;
    }

    /** One try; whether a connection was opened, which is to be kept until {@link #isReconnectNeeded}. */
    public boolean attemptConnect() {
        InetSocketAddress target = address;
        CountDownLatch connectionOver = new CountDownLatch(1);
        reconnectNeeded = connectionOver;
        connectedAddress = target;
        try {
            Connection connection = new Connection(dialer.dial(target, connectTimeout), limits, readers, writers,
                    new AtomicLong(),
                    () -> { });
            connectTimeout = limits.initialConnectTimeoutTenthsMs;
            Connection.InputHandler handler = onOpened.apply(connection);
            connection.start(new Connection.InputHandler() {
                @Override
                public int consume(byte[] buf, int from, int target) {
                    return handler.consume(buf, from, target);
                }

                @Override
                public void inputEnded(String why, boolean gone) {
                    connection.abort();
                    handler.inputEnded(why, gone);
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
                LOG.log(System.Logger.Level.WARNING, "no link to the interpreter yet: {0}", e.getMessage());
            }
            failureLogged = true;
            return false;
        }
    }

    /** Whether the connection of now is lost or no longer the one to keep. */
    public boolean isReconnectNeeded() {
        return reconnectNeeded.getCount() == 0;
    }

    /** The connection of now is over after so long; the next try is made at once if it was worth something. */
    public void connectionEnded(long uptime) {
        if (connectedAddress != address || uptime > limits.maxRetryPauseTenthsMs) {
            retryPause = 0;
        }
    }
}
