package vetchrill.standin;

import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;

/** Shared parts of the fakes: accepting connections with one daemon thread each, and reading lines. */
final class LoopbackServers {
    /** Serves one connection until its end; the caller closes the socket. */
    interface ConnectionHandler {
        void handle(Socket socket) throws IOException;
    }

    /** A fleet needs many of these threads, and none of them has deep stacks. */
    private static final int STACK_BYTES = 256 << 10;

    private LoopbackServers() {
    }

    static Thread daemonThread(String name, Runnable work) {
        Thread thread = new Thread(null, work, name, STACK_BYTES);
        thread.setDaemon(true);
        return thread;
    }

    /** Starts a thread that accepts connections until the server socket is closed. */
    static void acceptConnections(ServerSocket server, ConnectionHandler handler) {
        daemonThread("stand-in", () -> {
            try {
                while (true) {
                    Socket socket = server.accept();
                    daemonThread("peer", () -> {
                        try (socket) {
                            socket.setTcpNoDelay(true);
                            handler.handle(socket);
                        } catch (IOException e) {
                            // Closed by the peer or by the fake itself.
                        }
                    }).start();
                }
            } catch (IOException e) {
                // The server socket was closed.
            }
        }).start();
    }

    /** Reads a line and returns it without its line end, or null at the end of the input. */
    static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                return null;
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return line.toString();
    }
}
