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
public final class Between implements Closeable {
    private final ServerSocket server;
    private volatile InetSocketAddress target;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    /** Nothing arrives this way any more, and nobody is told: as it is with a cut cable. */
    public volatile boolean swallowsThere;
    public volatile boolean swallowsBack;
    /** Milliseconds that each piece is held up, in either direction. */
    public volatile int delay;

    public Between(InetSocketAddress target) throws IOException {
        this.target = target;
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Peers.accept(server, from -> {
            try (Socket to = new Socket()) {
                to.connect(this.target, 2_000);
                to.setTcpNoDelay(true);
                sockets.add(from);
                sockets.add(to);
                Thread back = Peers.daemon("back", () -> pump(to, from, false));
                back.start();
                pump(from, to, true);
            } finally {
                sockets.remove(from);
            }
        });
    }

    public InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
    }

    private void pump(Socket from, Socket to, boolean there) {
        byte[] buf = new byte[4 << 10];
        boolean swallowed = false;
        try {
            for (int got = from.getInputStream().read(buf); got >= 0; got = from.getInputStream().read(buf)) {
                if (delay > 0) {
                    Thread.sleep(delay);
                }
                if (there ? swallowsThere : swallowsBack) {
                    swallowed = true;
                } else if (swallowed) {
                    // A stream with a hole in it would be another fault: it starts anew, as after a long cut.
                    break;
                } else {
                    to.getOutputStream().write(buf, 0, got);
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
    public void leadsTo(InetSocketAddress other) {
        target = other;
        cut();
    }

    /** All connections of now; others may be opened. */
    public void cut() {
        sockets.forEach(Between::close);
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
        cut();
    }
}
