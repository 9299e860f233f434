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
    private volatile boolean closing;

    public Listener(InetSocketAddress address, Limits limits, Consumer<Pipe> taken) throws IOException {
        this.limits = limits;
        socket = new ServerSocket();
        try {
            // A restart under the same name must not wait for what is left of the connections of its last life.
            socket.setReuseAddress(true);
            socket.bind(address, limits.backlog);
        } catch (IOException e) {
            Resources.close(socket);
            throw e;
        }
        thread = Resources.daemon("listener", () -> accept(taken), limits.threadStack);
    }

    public void start() {
        thread.start();
    }

    /** Accepts what waits by now, then closes; waits for that, though no longer than is left for it. */
    public void close() {
        closing = true;
        try {
            thread.join(limits.backlogWait / 10);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void accept(Consumer<Pipe> taken) {
        boolean failing = false;
        long closeBy = Long.MAX_VALUE;
        while (true) {
            if (closing && closeBy == Long.MAX_VALUE) {
                closeBy = System.nanoTime() + limits.backlogWait * 100_000;
            }
            try {
                if (closeBy != Long.MAX_VALUE && System.nanoTime() - closeBy >= 0) {
                    break;
                }
                socket.setSoTimeout(closing ? 1 : (int) (limits.acceptWait / 10));
                Socket accepted = socket.accept();
                try {
                    taken.accept(Pipe.of(accepted));
                } catch (IOException e) {
                    // Gone before it was anything; the next one is not kept waiting for it.
                    Resources.close(accepted);
                }
                failing = false;
            } catch (SocketTimeoutException e) {
                if (closeBy != Long.MAX_VALUE) {
                    break;
                }
            } catch (IOException | OutOfMemoryError e) {
                // Out of descriptors or threads: what waits in the backlog may be taken when some are free again.
                if (!failing) {
                    LOG.log(System.Logger.Level.WARNING, "can''t accept: {0}", e.getMessage());
                }
                failing = true;
                Resources.pause(500);
            }
        }
        Resources.close(socket);
    }
}
