package vetchrill.standin;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/** Ports of loopback for whatever is started as a process of its own, and may be started there again. */
public final class Ports {
    private static final int MIN_PORT = 16_000;
    private static final int MAX_PORT = 32_000;
    private static final int MAX_ATTEMPTS = 100;

    private Ports() {
    }

    /**
     * One on which nothing listens now. None of those that the system hands out: some connection would have it by the
     * time that it is listened on, or between two processes.
     */
    public static int findFree() throws IOException {
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            int port = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
            try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return probe.getLocalPort();
            } catch (BindException e) {
                // Somebody has it.
            }
        }
        throw new IOException("no free port from " + MIN_PORT + " to " + MAX_PORT);
    }
}
