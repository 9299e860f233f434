package vetchrill.standin;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import vetchrill.transport.Resources;

/** The membership service: it takes reports and answers them with a status that may be changed; 0 for no answer. */
public final class Membership implements Closeable {
    /** Called on the thread of the connection; {@code up} is null for a call that is no report. */
    public interface Heard {
        void report(String name, Boolean up, String call);
    }

    private static final String CALL = "PUT /members/";

    private final ServerSocket server;
    public volatile int status = 204;
    /** Milliseconds between any two bytes of an answer; 0 for all at once. */
    public volatile int slowly;

    public Membership(Heard heard) throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Peers.accept(server, socket -> {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (String call = Peers.line(in); call != null; call = Peers.line(in)) {
                int length = 0;
                for (String line = Peers.line(in); line != null && !line.isEmpty(); line = Peers.line(in)) {
                    if (line.startsWith("Content-Length: ")) {
                        length = Integer.parseInt(line.substring(16));
                    }
                }
                String phase = new String(in.readNBytes(length), StandardCharsets.UTF_8).replaceAll("\\W|phase", "");
                boolean report = call.startsWith(CALL) && call.endsWith(" HTTP/1.1");
                heard.report(report ? call.substring(CALL.length(), call.length() - 9) : "",
                        !report ? null : Boolean.valueOf(phase.equals("UP")), call);
                if (status != 0) {
                    byte[] answer = ("HTTP/1.1 " + status + " Told\r\nContent-Length: 0\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII);
                    for (int from = 0; from < answer.length; from += slowly > 0 ? 1 : answer.length) {
                        socket.getOutputStream().write(answer, from, slowly > 0 ? 1 : answer.length);
                        Resources.sleep(10L * slowly);
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
