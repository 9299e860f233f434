package vetchrill.standin;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The way from one process to another, which can go wrong: what goes there, what comes back, each swallowed or held up
 * for a while, and all connections cut between any two bytes.
 */
public final class LinkProxy implements Closeable {
    private final ServerSocket server;
    private volatile InetSocketAddress target;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    /** Nothing arrives this way any more, and nobody is told: as it is with a cut cable. */
    public volatile boolean dropsToTarget;
    public volatile boolean dropsFromTarget;
    /** Milliseconds that each piece is held up, in either direction. */
    public volatile int delayMs;

    public LinkProxy(InetSocketAddress target) throws IOException {
        this.target = target;
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        LoopbackServers.acceptConnections(server, client -> {
            try (Socket upstream = new Socket()) {
                upstream.connect(this.target, 2_000);
                upstream.setTcpNoDelay(true);
                sockets.add(client);
                sockets.add(upstream);
                Thread returnPump = LoopbackServers.daemonThread("back", () -> pump(upstream, client, false));
                returnPump.start();
                pump(client, upstream, true);
            } finally {
                sockets.remove(client);
            }
        });
    }

    public InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
    }

    private void pump(Socket from, Socket to, boolean toTarget) {
        byte[] buffer = new byte[4 << 10];
        boolean dropped = false;
        try {
            for (int count = from.getInputStream().read(buffer); count >= 0; count = from.getInputStream()
                    .read(buffer)) {
                if (delayMs > 0) {
                    Thread.sleep(delayMs);
                }
                if (toTarget ? dropsToTarget : dropsFromTarget) {
                    dropped = true;
                } else if (dropped) {
                    // A stream with a hole in it would be another fault: it starts anew, as after a long cut.
                    break;
                } else {
                    to.getOutputStream().write(buffer, 0, count);
                }
            }
        } catch (IOException e) {
            // One of the two is gone, and so is the other.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        close(from);
        close(to);
        sockets.remove(to);
    }

    /** From now on it leads to another process. */
    public void redirectTo(InetSocketAddress newTarget) {
        target = newTarget;
        closeConnections();
    }

    /** All connections of now; others may be opened. */
    public void closeConnections() {
        sockets.forEach(LinkProxy::close);
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // Closing was all that was wanted.
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        closeConnections();
    }
}
