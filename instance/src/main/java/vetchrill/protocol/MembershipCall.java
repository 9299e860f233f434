package vetchrill.protocol;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import vetchrill.transport.Limits;
import vetchrill.transport.Resources;

/** Reports health to the membership service by HTTP, on a connection that is kept open between reports. */
public final class MembershipCall implements HealthReportSink {
    /** The status of a response, and whether the connection can be reused. */
    record Response(int status, boolean keepAlive) {
    }

    /** Limit for all headers and for one line; a response with a longer body closes the connection. */
    private static final int MAX_HEADER_BYTES = 8 << 10;

    private volatile InetSocketAddress address;
    private final String name;
    private final Limits limits;
    private Socket socket;
    private InetSocketAddress connectedAddress;
    private DeadlineInputStream in;

    /** Connects with the first report; {@code name} is the name of this instance at the membership service. */
    public MembershipCall(InetSocketAddress address, String name, Limits limits) {
        this.address = address;
        this.name = name;
        this.limits = limits;
    }

    @Override
    public void moveTo(InetSocketAddress newAddress) {
        address = newAddress;
    }

    @Override
    public int report(boolean healthy) throws IOException {
        InetSocketAddress target = address;
        if (target != connectedAddress) {
            close();
        }
        boolean reused = socket != null;
        try {
            return sendReport(healthy, target);
        } catch (IOException e) {
            close();
            // A report whose response timed out has probably arrived, so it is not sent again at once.
            if (!reused || e instanceof SocketTimeoutException) {
                throw e;
            }
        }
        // The service may have closed the idle connection; a report that arrives twice does no harm.
        try {
            return sendReport(healthy, target);
        } catch (IOException e) {
            close();
            throw e;
        }
    }

    private void close() {
        if (socket != null) {
            Resources.closeQuietly(socket);
            socket = null;
        }
    }

    private int sendReport(boolean healthy, InetSocketAddress target) throws IOException {
        // One deadline for the whole call: a response in pieces would otherwise delay the next report by a timeout for
        // each piece.
        long deadlineNanos = System.nanoTime() + limits.reportTimeoutTenthsMs * 100_000;
        if (socket == null) {
            Socket newSocket = new Socket();
            socket = newSocket;
            connectedAddress = target;
            newSocket.setTcpNoDelay(true);
            newSocket.connect(target, (int) (limits.reportTimeoutTenthsMs / 10));
            in = new DeadlineInputStream(newSocket);
        }
        in.deadlineNanos = deadlineNanos;
        String body = healthy ? "{\"phase\":\"UP\"}" : "{\"phase\":\"OUT\"}";
        String request = "PUT /members/" + name + " HTTP/1.1\r\nHost: " + target.getHostString() + ":"
                + target.getPort() + "\r\nContent-Type: application/json\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body;
        OutputStream out = socket.getOutputStream();
        out.write(request.getBytes(StandardCharsets.US_ASCII));
        Response response = readResponse(in);
        if (!response.keepAlive || in.position < in.filledBytes) {
            close();
        }
        return response.status;
    }

    /** Buffered input of a socket with one deadline for all reads. */
    private static final class DeadlineInputStream extends InputStream {
        private final Socket socket;
        private final InputStream in;
        private final byte[] buf = new byte[512];
        private long deadlineNanos;
        private int position;
        private int filledBytes;

        DeadlineInputStream(Socket socket) throws IOException {
            this.socket = socket;
            in = socket.getInputStream();
        }

        @Override
        public int read() throws IOException {
            if (position == filledBytes) {
                long remainingMs = (deadlineNanos - System.nanoTime()) / 1_000_000;
                if (remainingMs <= 0) {
                    throw new SocketTimeoutException("timed out waiting for the response");
                }
                socket.setSoTimeout((int) remainingMs);
                position = 0;
                filledBytes = Math.max(0, in.read(buf));
                if (filledBytes == 0) {
                    return -1;
                }
            }
            return buf[position++] & 0xff;
        }
    }

    /** Reads exactly one response; throws IOException if it is malformed or its header is too long. */
    static Response readResponse(InputStream in) throws IOException {
        String statusLine = readLine(in);
        String[] words = statusLine.split(" ");
        if (words.length < 2 || !words[0].startsWith("HTTP/1.") || words[1].length() != 3) {
            throw new IOException("not an HTTP/1.1 response: " + statusLine);
        }
        int status;
        try {
            status = Integer.parseInt(words[1]);
        } catch (NumberFormatException e) {
            throw new IOException("not an HTTP/1.1 response: " + statusLine);
        }
        boolean keepAlive = words[0].equals("HTTP/1.1");
        long length = status == 204 || status == 304 ? 0 : -1;
        int headerBytes = 0;
        for (String header = readLine(in); !header.isEmpty(); header = readLine(in)) {
            headerBytes += header.length();
            if (headerBytes > MAX_HEADER_BYTES) {
                throw new IOException("response headers exceed " + MAX_HEADER_BYTES + " bytes");
            }
            int colon = header.indexOf(':');
            String value = colon < 0 ? "" : header.substring(colon + 1).trim();
            if (header.regionMatches(true, 0, "content-length:", 0, 15) && length < 0) {
                try {
                    length = Long.parseLong(value);
                } catch (NumberFormatException e) {
                    keepAlive = false;
                }
            } else if (header.regionMatches(true, 0, "connection:", 0, 11) && value.equalsIgnoreCase("close")) {
                keepAlive = false;
            }
        }
        // A response without a plain Content-Length closes the connection; other ways to delimit it are not parsed.
        if (!keepAlive || length < 0 || length > MAX_HEADER_BYTES) {
            return new Response(status, false);
        }
        in.skipNBytes(length);
        return new Response(status, true);
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0 || line.length() > MAX_HEADER_BYTES) {
                throw new IOException("response is incomplete or has a line that is too long");
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return line.toString();
    }
}
