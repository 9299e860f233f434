package vetchrill.standin;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import vetchrill.transport.Resources;

/** A fake membership service on a loopback port: it passes reports to a listener and answers with a set status. */
public final class FakeMembershipService implements Closeable {
    /** Receives each request on the thread of its connection; {@code up} is null if the request is no report. */
    public interface ReportListener {
        void onReport(String name, Boolean up, String requestLine);
    }

    private static final String REPORT_PREFIX = "PUT /members/";

    private final ServerSocket server;
    /** The HTTP status of the responses; 0 to send none. */
    public volatile int status = 204;
    /** Pause after each byte of a response, in milliseconds; 0 sends the whole response at once. */
    public volatile int byteDelayMs;

    public FakeMembershipService(ReportListener listener) throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        LoopbackServers.acceptConnections(server, socket -> {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (String requestLine = LoopbackServers.readLine(in); requestLine != null;
                    requestLine = LoopbackServers.readLine(in)) {
                int contentLength = 0;
                for (String header = LoopbackServers.readLine(in); header != null && !header.isEmpty();
                        header = LoopbackServers.readLine(in)) {
                    if (header.startsWith("Content-Length: ")) {
                        contentLength = Integer.parseInt(header.substring(16));
                    }
                }
                String phase = new String(in.readNBytes(contentLength), StandardCharsets.UTF_8)
                        .replaceAll("\\W|phase", "");
                boolean isReport = requestLine.startsWith(REPORT_PREFIX) && requestLine.endsWith(" HTTP/1.1");
                listener.onReport(
                        isReport ? requestLine.substring(REPORT_PREFIX.length(), requestLine.length() - 9) : "",
                        !isReport ? null : Boolean.valueOf(phase.equals("UP")), requestLine);
                if (status != 0) {
                    byte[] response = ("HTTP/1.1 " + status + " Told\r\nContent-Length: 0\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII);
                    for (int from = 0; from < response.length; from += byteDelayMs > 0 ? 1 : response.length) {
                        socket.getOutputStream().write(response, from, byteDelayMs > 0 ? 1 : response.length);
                        Resources.sleep(10L * byteDelayMs);
                    }
                }
            }
        });
    }

    public int port() {
        return server.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
