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
 * A TCP proxy with fault injection between two processes: it can drop the data of either direction, delay it, and
 * close all connections at any byte.
 */
public final class LinkProxy implements Closeable {
    private static final int CONNECT_TIMEOUT_MS = 2_000;
    private static final int BUFFER_BYTES = 4 << 10;

    private final ServerSocket server;
    private volatile InetSocketAddress target;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    /** Drops data on its way to the target without closing the connections, like a cut cable. */
    public volatile boolean dropsToTarget;
    /** The same for data that comes from the target. */
    public volatile boolean dropsFromTarget;
    /** Delay of each chunk of data in either direction, in milliseconds. */
    public volatile int delayMs;

    public LinkProxy(InetSocketAddress target) throws IOException {
        this.target = target;
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        LoopbackServers.acceptConnections(server, client -> {
            try (Socket upstream = new Socket()) {
                upstream.connect(this.target, CONNECT_TIMEOUT_MS);
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

    /** The address at which the proxy listens. */
    public InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
    }

    private void pump(Socket from, Socket to, boolean toTarget) {
        byte[] buffer = new byte[BUFFER_BYTES];
        boolean dropped = false;
        try {
            for (int count = from.getInputStream().read(buffer); count >= 0;
                    count = from.getInputStream().read(buffer)) {
                if (delayMs > 0) {
                    Thread.sleep(delayMs);
                }
                if (toTarget ? dropsToTarget : dropsFromTarget) {
                    dropped = true;
                } else if (dropped) {
                    // A stream with a gap would be another fault: close the connection, as after a long outage.
                    break;
                } else {
                    to.getOutputStream().write(buffer, 0, count);
                }
            }
        } catch (IOException e) {
            // If one of the two connections breaks, both are closed.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        close(from);
        close(to);
        sockets.remove(to);
    }

    /** Closes all connections and forwards new ones to another process. */
    public void redirectTo(InetSocketAddress newTarget) {
        target = newTarget;
        closeConnections();
    }

    /** Closes all current connections; new ones are accepted. */
    public void closeConnections() {
        sockets.forEach(LinkProxy::close);
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // A socket that can't be closed is of no further use.
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        closeConnections();
    }
}
