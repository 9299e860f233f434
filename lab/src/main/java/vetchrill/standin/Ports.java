package vetchrill.standin;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/** Finds loopback ports for servers that run as separate processes and may be restarted on the same port. */
public final class Ports {
    private static final int MIN_PORT = 16_000;
    private static final int MAX_PORT = 32_000;
    private static final int BLOCK_PORTS = 100;
    private static final int MAX_ATTEMPTS = 1_000;

    /** Listens on the first port of each block that this process has, which keeps other processes out of the block. */
    private static final List<ServerSocket> RESERVATIONS = new ArrayList<>();
    private static int nextPort;
    private static int blockEnd;

    private Ports() {
    }

    /**
     * Returns a port on which nothing listens now, and never the same one twice. Until a server listens on its port,
     * two that got the same one would not notice, and one of them would answer for the other. The ports lie outside the
     * range of ephemeral ports: the system could give one of those to an outgoing connection before the server listens
     * on it, or while the server restarts.
     */
    public static synchronized int findFree() throws IOException {
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            if (nextPort == blockEnd) {
                reserveBlock();
            } else {
                int port = nextPort++;
                try (ServerSocket probe = listen(port)) {
                    return probe.getLocalPort();
                } catch (BindException e) {
                    // The port is in use.
                }
            }
        }
        throw new IOException("no free port from " + MIN_PORT + " to " + MAX_PORT);
    }

    /** Takes a block of ports for this process, unless another process has it. */
    private static void reserveBlock() throws IOException {
        int block = ThreadLocalRandom.current().nextInt((MAX_PORT - MIN_PORT) / BLOCK_PORTS);
        int first = MIN_PORT + block * BLOCK_PORTS;
        try {
            RESERVATIONS.add(listen(first));
            nextPort = first + 1;
            blockEnd = first + BLOCK_PORTS;
        } catch (BindException e) {
            // Another process has this block.
        }
    }

    private static ServerSocket listen(int port) throws IOException {
        return new ServerSocket(port, 1, InetAddress.getLoopbackAddress());
    }
}
