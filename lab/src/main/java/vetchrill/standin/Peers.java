package vetchrill.standin;

import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;

/** What all stand-ins do alike: take peers on loopback, a thread for each, and read lines. */
final class Peers {
    interface Talk {
        void with(Socket socket) throws IOException;
    }

    private Peers() {
    }

    static Thread daemon(String name, Runnable work) {
        Thread thread = new Thread(null, work, name, 256 << 10);
        thread.setDaemon(true);
        return thread;
    }

    static void accept(ServerSocket server, Talk talk) {
        daemon("stand-in", () -> {
            try {
                while (true) {
                    Socket socket = server.accept();
                    daemon("peer", () -> {
                        try (socket) {
                            socket.setTcpNoDelay(true);
                            talk.with(socket);
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
    static String line(InputStream in) throws IOException {
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
