package vetchrill.standin;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * The interpreter's side of its link: it takes commands, numbers notices and keeps the last of them for whoever
 * connects again. How work is done is left to whoever makes it.
 */
public final class FakeInterpreter implements Closeable {
    /** Called on the link's thread. */
    public interface CommandHandler {
        void apply(String id, String group, byte[] body) throws IOException;

        /** The gauges as words between blanks; null to leave the question unanswered. */
        String gauges();

        /**
         * A link was opened by someone who has read the notices up to {@code lastRead}; false to withhold the
         * banner.
         */
        default boolean onConnect(int lastRead) {
            return true;
        }
    }

    private static final int MAX_RETAINED_NOTICES = 4_000;

    private record Notice(int number, byte[] bytes) {
    }

    private final ServerSocket server;
    private final CommandHandler handler;
    /** A fresh one starts when it first speaks: until then it is not up. */
    private long startedNanos;
    private volatile boolean newlyStarted;
    private volatile Socket link;
    private int lastNoticeNumber;
    private final ArrayDeque<Notice> retainedNotices = new ArrayDeque<>();

    /** {@code fresh} is told as a start of just now, else it has run for a minute. */
    public FakeInterpreter(CommandHandler handler, boolean newlyStarted) throws IOException {
        this.handler = handler;
        this.newlyStarted = newlyStarted;
        startedNanos = newlyStarted ? 0 : System.nanoTime() - 60_000_000_000L;
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        LoopbackServers.acceptConnections(server, this::serveLink);
    }

    private void serveLink(Socket socket) throws IOException {
        Socket previous = link;
        link = socket;
        if (previous != null) {
            previous.close();
        }
        InputStream in = new BufferedInputStream(socket.getInputStream());
        for (String line = LoopbackServers.readLine(in); line != null; line = LoopbackServers.readLine(in)) {
            String[] words = line.split(" ");
            switch (words[0]) {
                case "APPLY" -> {
                    byte[] body = in.readNBytes(Integer.parseInt(words[3]) + 2);
                    handler.apply(words[1], words[2], java.util.Arrays.copyOf(body, body.length - 2));
                }
                case "TOP" -> {
                    String gauges = handler.gauges();
                    if (gauges != null) {
                        write("TOPS " + words[1] + " " + gauges + "\r\n");
                    }
                }
                case "CONNECT" -> {
                    int lastRead = Integer.parseInt(words[1]);
                    if (handler.onConnect(lastRead)) {
                        sendBanner(lastRead);
                    }
                }
                default -> {
                    return;
                }
            }
        }
    }

    public int port() {
        return server.getLocalPort();
    }

    /** The same interpreter at another address: its notices and their numbers carry on. */
    public synchronized FakeInterpreter copyAtNewPort(CommandHandler handler) throws IOException {
        FakeInterpreter copy = new FakeInterpreter(handler, newlyStarted);
        synchronized (copy) {
            copy.retainedNotices.addAll(retainedNotices);
            copy.lastNoticeNumber = lastNoticeNumber;
        }
        return copy;
    }

    public synchronized void sendBanner(int lastRead) throws IOException {
        startedNanos = startedNanos == 0 ? System.nanoTime() : startedNanos;
        write("BANNER " + (newlyStarted ? "new " : "old ") + (System.nanoTime() - startedNanos) / 1_000_000 + "\r\n");
        List<Notice> notices = new ArrayList<>(retainedNotices);
        for (Notice notice : notices) {
            if (notice.number > lastRead) {
                write(notice.bytes);
            }
        }
    }

    /** Tells how a run ended, after {@code took} tenths of a millisecond; kept while there is no link. */
    public synchronized void sendValue(String id, String status, long duration, byte[] result) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(result.length + 64);
        bytes.writeBytes(("VALUE " + ++lastNoticeNumber + " " + id + " " + status + " " + duration / 10 + "."
                + duration % 10 + " "
                + result.length + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        bytes.writeBytes(result);
        bytes.writeBytes(new byte[] {'\r', '\n'});
        retainedNotices.add(new Notice(lastNoticeNumber, bytes.toByteArray()));
        if (retainedNotices.size() > MAX_RETAINED_NOTICES) {
            retainedNotices.poll();
        }
        try {
            if (link != null && !link.isClosed()) {
                write(bytes.toByteArray());
            }
        } catch (IOException e) {
            // It is kept for the next link.
        }
    }

    public void write(String text) throws IOException {
        write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private synchronized void write(byte[] bytes) throws IOException {
        link.getOutputStream().write(bytes);
    }

    /** Closes the link of now; another may be opened. */
    public void closeLink() throws IOException {
        if (link != null) {
            link.close();
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        closeLink();
    }
}
