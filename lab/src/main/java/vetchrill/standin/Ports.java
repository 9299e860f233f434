package vetchrill.standin;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/** Finds loopback ports for servers that run as separate processes and may be restarted on the same port. */
public final class Ports {
    private static final int MIN_PORT = 16_000;
    private static final int MAX_PORT = 32_000;
    private static final int MAX_ATTEMPTS = 100;

    private Ports() {
    }

    /**
     * Returns a port on which nothing listens now. It lies outside the range of ephemeral ports: the system could give
     * one of those to an outgoing connection before the server listens on it, or while the server restarts.
     */
    public static int findFree() throws IOException {
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            int port = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
            try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return probe.getLocalPort();
            } catch (BindException e) {
                // The port is in use.
            }
        }
        throw new IOException("no free port from " + MIN_PORT + " to " + MAX_PORT);
    }
}
