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
public final class MembershipCall implements Reports {
    /** What a service answers: its status, and whether the connection may be used again. */
    record Answer(int code, boolean lasts) {
    }

    private static final int LONGEST_HEAD = 8 << 10;

    private volatile InetSocketAddress address;
    private final String name;
    private final Limits limits;
    private Socket socket;
    private InetSocketAddress socketTo;
    private Timed in;

    public MembershipCall(InetSocketAddress address, String name, Limits limits) {
        this.address = address;
        this.name = name;
        this.limits = limits;
    }

    @Override
    public void move(InetSocketAddress to) {
        address = to;
    }

    @Override
    public int report(boolean up) throws IOException {
        InetSocketAddress to = address;
        if (to != socketTo) {
            close();
        }
        boolean kept = socket != null;
        try {
            return once(up, to);
        } catch (IOException e) {
            close();
            // One without an answer has arrived all the same: it is not sent twice.
            if (!kept || e instanceof SocketTimeoutException) {
                throw e;
            }
        }
        // The kept connection may have been closed meanwhile; a report may arrive twice without harm.
        try {
            return once(up, to);
        } catch (IOException e) {
            close();
            throw e;
        }
    }

    private void close() {
        if (socket != null) {
            Resources.close(socket);
            socket = null;
        }
    }

    private int once(boolean up, InetSocketAddress to) throws IOException {
        // For all of the call: one that comes in pieces would else hold up the next report for as many waits.
        long until = System.nanoTime() + limits.reportWait * 100_000;
        if (socket == null) {
            Socket fresh = new Socket();
            socket = fresh;
            socketTo = to;
            fresh.setTcpNoDelay(true);
            fresh.connect(to, (int) (limits.reportWait / 10));
            in = new Timed(fresh);
        }
        in.until = until;
        String body = up ? "{\"phase\":\"UP\"}" : "{\"phase\":\"OUT\"}";
        String call = "PUT /members/" + name + " HTTP/1.1\r\nHost: " + to.getHostString() + ":"
                + to.getPort() + "\r\nContent-Type: application/json\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body;
        OutputStream out = socket.getOutputStream();
        out.write(call.getBytes(StandardCharsets.US_ASCII));
        Answer answer = read(in);
        if (!answer.lasts || in.at < in.filled) {
            close();
        }
        return answer.code;
    }

    /** What a socket gives until a time, read in pieces as large as they come. */
    private static final class Timed extends InputStream {
        private final Socket socket;
        private final InputStream in;
        private final byte[] buf = new byte[512];
        private long until;
        private int at;
        private int filled;

        Timed(Socket socket) throws IOException {
            this.socket = socket;
            in = socket.getInputStream();
        }

        @Override
        public int read() throws IOException {
            if (at == filled) {
                long left = (until - System.nanoTime()) / 1_000_000;
                if (left <= 0) {
                    throw new SocketTimeoutException("no whole answer in time");
                }
                socket.setSoTimeout((int) left);
                at = 0;
                filled = Math.max(0, in.read(buf));
                if (filled == 0) {
                    return -1;
                }
            }
            return buf[at++] & 0xff;
        }
    }

    /** One answer and no byte past it; throws IOException for what is none, or has no end in sight. */
    static Answer read(InputStream in) throws IOException {
        String status = line(in);
        String[] words = status.split(" ");
        if (words.length < 2 || !words[0].startsWith("HTTP/1.") || words[1].length() != 3) {
            throw new IOException("no answer of HTTP/1.1: " + status);
        }
        int code;
        try {
            code = Integer.parseInt(words[1]);
        } catch (NumberFormatException e) {
            throw new IOException("no answer of HTTP/1.1: " + status);
        }
        boolean lasts = words[0].equals("HTTP/1.1");
        long length = code == 204 || code == 304 ? 0 : -1;
        int head = 0;
        for (String header = line(in); !header.isEmpty(); header = line(in)) {
            head += header.length();
            if (head > LONGEST_HEAD) {
                throw new IOException("a head without an end");
            }
            int colon = header.indexOf(':');
            String value = colon < 0 ? "" : header.substring(colon + 1).trim();
            if (header.regionMatches(true, 0, "content-length:", 0, 15) && length < 0) {
                try {
                    length = Long.parseLong(value);
                } catch (NumberFormatException e) {
                    lasts = false;
                }
            } else if (header.regionMatches(true, 0, "connection:", 0, 11) && value.equalsIgnoreCase("close")) {
                lasts = false;
            }
        }
        // An answer whose end isn't told plainly costs the connection, not a parser for every way to tell it.
        if (!lasts || length < 0 || length > LONGEST_HEAD) {
            return new Answer(code, false);
        }
        in.skipNBytes(length);
        return new Answer(code, true);
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0 || line.length() > LONGEST_HEAD) {
                throw new IOException("the answer ends early");
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return line.toString();
    }
}
