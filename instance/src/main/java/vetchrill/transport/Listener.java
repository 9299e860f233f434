package vetchrill.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.function.Consumer;

/** Accepts connections on one address until it is closed. */
public final class Listener {
    private static final System.Logger LOG = System.getLogger("vetchrill.listener");

    private final ServerSocket socket;
    private final Thread thread;
    private volatile boolean closing;

    public Listener(InetSocketAddress address, Limits limits, Consumer<Pipe> taken) throws IOException {
        socket = new ServerSocket();
        // A restart under the same name must not wait for what is left of the connections of its last life.
        socket.setReuseAddress(true);
        socket.bind(address, limits.backlog);
        thread = Resources.daemon("listener", () -> accept(taken), limits.threadStack);
    }

    public void start() {
        thread.start();
    }

    public void close() {
        closing = true;
        try {
            socket.close();
        } catch (IOException e) {
            LOG.log(System.Logger.Level.DEBUG, "closing the listener: {0}", e.getMessage());
        }
    }

    private void accept(Consumer<Pipe> taken) {
        boolean failing = false;
        while (!closing) {
            try {
                Socket accepted = socket.accept();
                try {
                    taken.accept(Pipe.of(accepted));
                } catch (IOException e) {
                    // Gone before it was anything; the next one is not kept waiting for it.
                    Resources.close(accepted);
                }
                failing = false;
            } catch (IOException | OutOfMemoryError e) {
                if (closing) {
                    return;
                }
                // Out of descriptors or threads: what waits in the backlog may be taken when some are free again.
                if (!failing) {
                    LOG.log(System.Logger.Level.WARNING, "can''t accept: {0}", e.getMessage());
                }
                failing = true;
                Resources.pause(500);
            }
        }
    }
}
