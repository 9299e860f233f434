package vetchrill.transport;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;

/** A blocking byte channel in both directions: a socket, or an in-memory channel in a simulation. */
public interface DuplexChannel {
    /** Blocks until at least one byte is available; returns the number of bytes read, or -1 at the end of input. */
    int read(byte[] buf, int from, int size) throws IOException;

    /** Blocks until all bytes are written. */
    void write(byte[] buf, int from, int size) throws IOException;

    /** Whether input is available without blocking; false if that is unknown. */
    default boolean hasUnread() {
        return false;
    }

    /**
     * Half-closes the channel: the peer reads what was written, then the end of input, and may continue to write.
     * Never throws or blocks.
     */
    void shutdownOutput();

    /** Closes both directions and unblocks pending reads and writes. Never throws. */
    void close();

    /** Wraps a connected socket, with Nagle's algorithm off. */
    static DuplexChannel of(Socket socket) throws IOException {
        socket.setTcpNoDelay(true);
        InputStream in = socket.getInputStream();
        OutputStream out = socket.getOutputStream();
        return new DuplexChannel() {
            @Override
            public int read(byte[] buf, int from, int size) throws IOException {
                return in.read(buf, from, size);
            }

            @Override
            public void write(byte[] buf, int from, int size) throws IOException {
                out.write(buf, from, size);
            }

            @Override
            public boolean hasUnread() {
                try {
                    return in.available() > 0;
                } catch (IOException e) {
                    return false;
                }
            }

            @Override
            public void shutdownOutput() {
                try {
                    socket.shutdownOutput();
                } catch (IOException e) {
                    // Reset by the peer, which the reader detects as well, or closed by this side.
                }
            }

            @Override
            public void close() {
                Resources.closeQuietly(socket);
            }
        };
    }
}
