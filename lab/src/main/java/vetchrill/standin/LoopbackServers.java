package vetchrill.standin;

import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;

/** What all stand-ins do alike: take peers on loopback, a thread for each, and read lines. */
final class LoopbackServers {
    interface ConnectionHandler {
        void handle(Socket socket) throws IOException;
    }

    private LoopbackServers() {
    }

    static Thread daemonThread(String name, Runnable work) {
        Thread thread = new Thread(null, work, name, 256 << 10);
        thread.setDaemon(true);
        return thread;
    }

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
                            // The other side has closed it, or the stand-in has.
                        }
                    }).start();
                }
            } catch (IOException e) {
                // Closed at the end.
            }
        }).start();
    }

    /** Without its end; null at the end of the input. */
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
