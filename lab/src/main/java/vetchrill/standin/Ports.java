package vetchrill.standin;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/** Ports of loopback for whatever is started as a process of its own, and may be started there again. */
public final class Ports {
    private static final int LEAST = 16_000;
    private static final int MOST = 32_000;
    private static final int TRIES = 100;

    private Ports() {
    }

    /**
     * One on which nothing listens now. None of those that the system hands out: some connection would have it by the
     * time that it is listened on, or between two processes.
     */
    public static int free() throws IOException {
        for (int i = 0; i < TRIES; i++) {
            int port = ThreadLocalRandom.current().nextInt(LEAST, MOST);
            try (ServerSocket free = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return free.getLocalPort();
            } catch (BindException e) {
                // Somebody has it.
            }
        }
        throw new IOException("no free port from " + LEAST + " to " + MOST);
    }
}
