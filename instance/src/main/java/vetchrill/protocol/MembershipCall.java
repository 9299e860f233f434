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

/** One report to the membership service, on a connection that is kept between reports while it lasts. */
public final class MembershipCall implements HealthReportSink {
    /** What a service answers: its status, and whether the connection may be used again. */
    record Response(int status, boolean keepAlive) {
    }

    private static final int MAX_HEADER_BYTES = 8 << 10;

    private volatile InetSocketAddress address;
    private final String name;
    private final Limits limits;
    private Socket socket;
    private InetSocketAddress connectedAddress;
    private DeadlineInputStream in;

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
            // One without an answer has arrived all the same: it is not sent twice.
            if (!reused || e instanceof SocketTimeoutException) {
                throw e;
            }
        }
        // The kept connection may have been closed meanwhile; a report may arrive twice without harm.
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
        // For all of the call: one that comes in pieces would else hold up the next report for as many waits.
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

    /** What a socket gives until a time, read in pieces as large as they come. */
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
                    throw new SocketTimeoutException("no whole answer in time");
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

    /** One answer and no byte past it; throws IOException for what is none, or has no end in sight. */
    static Response readResponse(InputStream in) throws IOException {
        String statusLine = readLine(in);
        String[] words = statusLine.split(" ");
        if (words.length < 2 || !words[0].startsWith("HTTP/1.") || words[1].length() != 3) {
            throw new IOException("no answer of HTTP/1.1: " + statusLine);
        }
        int status;
        try {
            status = Integer.parseInt(words[1]);
        } catch (NumberFormatException e) {
            throw new IOException("no answer of HTTP/1.1: " + statusLine);
        }
        boolean keepAlive = words[0].equals("HTTP/1.1");
        long length = status == 204 || status == 304 ? 0 : -1;
        int headerBytes = 0;
        for (String header = readLine(in); !header.isEmpty(); header = readLine(in)) {
            headerBytes += header.length();
            if (headerBytes > MAX_HEADER_BYTES) {
                throw new IOException("a head without an end");
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
        // An answer whose end isn't told plainly costs the connection, not a parser for every way to tell it.
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
                throw new IOException("the answer ends early");
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return line.toString();
    }
}
