package vetchrill.transport;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;

/**
 * Bytes both ways, as a blocking socket gives them; whoever simulates the chain puts streams in memory in its place.
 */
public interface Pipe {
    /** Waits for at least one byte; how many were read, -1 at the end. */
    int read(byte[] buf, int from, int size) throws IOException;

    void write(byte[] buf, int from, int size) throws IOException;

    /** Ends both ways; whoever reads or writes is released. Never fails. */
    void close();

    static Pipe of(Socket socket) throws IOException {
        socket.setTcpNoDelay(true);
        InputStream in = socket.getInputStream();
        OutputStream out = socket.getOutputStream();
        return new Pipe() {
            @Override
            public int read(byte[] buf, int from, int size) throws IOException {
                return in.read(buf, from, size);
            }

            @Override
            public void write(byte[] buf, int from, int size) throws IOException {
                out.write(buf, from, size);
            }

            @Override
            public void close() {
                Resources.close(socket);
            }
        };
    }
}
