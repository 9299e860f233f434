package vetchrill.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.function.Consumer;

/**
 * Accepts connections on one address until it is closed. What the system has accepted by then is a connection like any
 * other, with a whole request in it perhaps, and closing the socket would reset it: the backlog is emptied first.
 */
public final class Listener {
    private static final System.Logger LOG = System.getLogger("vetchrill.listener");

    private final ServerSocket socket;
    private final Limits limits;
    private final Thread thread;
    private volatile boolean closeRequested;

    public Listener(InetSocketAddress address, Limits limits, Consumer<DuplexChannel> onAccepted) throws IOException {
        this.limits = limits;
        socket = new ServerSocket();
        try {
            // A restart under the same name must not wait for what is left of the connections of its last life.
            socket.setReuseAddress(true);
            socket.bind(address, limits.backlog);
        } catch (IOException e) {
            Resources.closeQuietly(socket);
            throw e;
        }
        thread = Resources.newDaemonThread("listener", () -> acceptLoop(onAccepted), limits.threadStackBytes);
    }

    public void start() {
        thread.start();
    }

    /** Accepts what waits by now, then closes; waits for that, though no longer than is left for it. */
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
                    // Gone before it was anything; the next one is not kept waiting for it.
                    Resources.closeQuietly(accepted);
                }
                failureLogged = false;
            } catch (SocketTimeoutException e) {
                if (closeDeadlineNanos != Long.MAX_VALUE) {
                    break;
                }
            } catch (IOException | OutOfMemoryError e) {
                // Out of descriptors or threads: what waits in the backlog may be taken when some are free again.
                if (!failureLogged) {
                    LOG.log(System.Logger.Level.WARNING, "can''t accept: {0}", e.getMessage());
                }
                failureLogged = true;
                Resources.sleep(500);
            }
        }
        Resources.closeQuietly(socket);
    }
}
