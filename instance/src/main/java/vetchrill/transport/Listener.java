package vetchrill.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.function.Consumer;

/**
 * Accepts connections on one address until it is closed. Connections in the kernel's backlog at that time are
 * established for their clients and may already hold a request; closing the listening socket would reset them, so the
 * backlog is drained first.
 */
public final class Listener {
    private static final System.Logger LOG = System.getLogger("vetchrill.listener");

    private final ServerSocket socket;
    private final Limits limits;
    private final Thread thread;
    private volatile boolean closeRequested;

    /**
     * Binds the address; connections wait in the backlog until {@link #start}.
     *
     * @param onAccepted called on the listener's thread, which accepts no other connection meanwhile
     */
    public Listener(InetSocketAddress address, Limits limits, Consumer<DuplexChannel> onAccepted) throws IOException {
        this.limits = limits;
        socket = new ServerSocket();
        try {
            // A restart on the same address must not wait for connections of the previous process in TIME_WAIT.
            socket.setReuseAddress(true);
            socket.bind(address, limits.backlog);
        } catch (IOException e) {
            Resources.closeQuietly(socket);
            throw e;
        }
        thread = Resources.newDaemonThread("listener", () -> acceptLoop(onAccepted), limits.threadStackBytes);
    }

    /** Starts accepting. */
    public void start() {
        thread.start();
    }

    /** Accepts the connections in the backlog, then closes the socket; blocks until done or the timeout is over. */
    public void close() {
        closeRequested = true;
        try {
            thread.join(limits.backlogDrainTimeoutTenthsMs / 10);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void acceptLoop(Consumer<DuplexChannel> onAccepted) {
        boolean failureLogged = false;
        long closeDeadlineNanos = Long.MAX_VALUE;
        while (true) {
            if (closeRequested && closeDeadlineNanos == Long.MAX_VALUE) {
                closeDeadlineNanos = System.nanoTime() + limits.backlogDrainTimeoutTenthsMs * 100_000;
            }
            try {
                if (closeDeadlineNanos != Long.MAX_VALUE && System.nanoTime() - closeDeadlineNanos >= 0) {
                    break;
                }
                socket.setSoTimeout(closeRequested ? 1 : (int) (limits.acceptPollTenthsMs / 10));
                Socket accepted = socket.accept();
                try {
                    onAccepted.accept(DuplexChannel.of(accepted));
                } catch (IOException e) {
                    // The connection failed before it was set up; continue with the next one.
                    Resources.closeQuietly(accepted);
                }
                failureLogged = false;
            } catch (SocketTimeoutException e) {
                if (closeDeadlineNanos != Long.MAX_VALUE) {
                    break;
                }
            } catch (IOException | OutOfMemoryError e) {
                // Out of descriptors or threads: the backlog is accepted once some are free again.
                if (!failureLogged) {
                    LOG.log(System.Logger.Level.WARNING, "cannot accept a connection, retrying: {0}", e.getMessage());
                }
                failureLogged = true;
                Resources.sleep(500);
            }
        }
        Resources.closeQuietly(socket);
    }
}
