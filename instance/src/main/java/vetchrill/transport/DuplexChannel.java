package vetchrill.transport;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;

/**
 * Bytes both ways, as a blocking socket gives them; whoever simulates the chain puts streams in memory in its place.
 */
public interface DuplexChannel {
    /** Waits for at least one byte; how many were read, -1 at the end. */
    int read(byte[] buf, int from, int size) throws IOException;

    void write(byte[] buf, int from, int size) throws IOException;

    /** Whether bytes wait to be read; false as well where that can't be told. */
    default boolean hasUnread() {
        return false;
    }

    /** Half-close: the peer reads what was written and then the end, and may go on writing. Never fails or waits. */
    void shutdownOutput();

    /** Ends both ways; whoever reads or writes is released. Never fails. */
    void close();

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
                    // Reset by the peer, which the reader meets as well, or closed by this side.
                }
            }

            @Override
            public void close() {
                Resources.closeQuietly(socket);
            }
        };
    }
}
