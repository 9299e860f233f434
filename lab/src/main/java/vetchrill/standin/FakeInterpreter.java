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
import java.util.Arrays;
import java.util.List;

/**
 * A fake interpreter on a loopback port. It reads commands from its link, numbers its notices and retains the last of
 * them, so that it can resend them to an instance that reconnects. A {@link CommandHandler} runs the work.
 */
public final class FakeInterpreter implements Closeable {
    /** Handles the commands of the link, on the link's thread. */
    public interface CommandHandler {
        /** Starts a run; {@link #sendValue} reports its end. */
        void apply(String id, String group, byte[] body) throws IOException;

        /** Returns the gauges, separated by spaces, or null to send no reply. */
        String gauges();

        /**
         * Called when an instance that has read the notices up to {@code lastRead} opens a link. Returns false to send
         * no banner.
         */
        default boolean onConnect(int lastRead) {
            return true;
        }
    }

    private static final int MAX_RETAINED_NOTICES = 4_000;
    private static final long AGE_OF_OLD_INTERPRETER_NANOS = 60_000_000_000L;

    private record Notice(int number, byte[] bytes) {
    }

    private final ServerSocket server;
    private final CommandHandler handler;
    /** 0 for a newly started interpreter that has sent no banner yet: its uptime counts from the first banner. */
    private long startedNanos;
    private volatile boolean newlyStarted;
    private volatile Socket link;
    private int lastNoticeNumber;
    private final ArrayDeque<Notice> retainedNotices = new ArrayDeque<>();

    /** The banner reports a start of just now if {@code newlyStarted}, or else an uptime of one minute and more. */
    public FakeInterpreter(CommandHandler handler, boolean newlyStarted) throws IOException {
        this.handler = handler;
        this.newlyStarted = newlyStarted;
        startedNanos = newlyStarted ? 0 : System.nanoTime() - AGE_OF_OLD_INTERPRETER_NANOS;
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
                    handler.apply(words[1], words[2], Arrays.copyOf(body, body.length - 2));
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

    /** Returns an interpreter on another port that continues with the retained notices and numbers of this one. */
    public synchronized FakeInterpreter copyAtNewPort(CommandHandler handler) throws IOException {
        FakeInterpreter copy = new FakeInterpreter(handler, newlyStarted);
        synchronized (copy) {
            copy.retainedNotices.addAll(retainedNotices);
            copy.lastNoticeNumber = lastNoticeNumber;
        }
        return copy;
    }

    /** Sends the banner and all retained notices with a number above {@code lastRead}. */
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

    /**
     * Sends the notice that a run ended, and retains it for the next link.
     *
     * @param duration of the run, in tenths of a millisecond
     */
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
            // The notice is retained and sent on the next link.
        }
    }

    public void write(String text) throws IOException {
        write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private synchronized void write(byte[] bytes) throws IOException {
        link.getOutputStream().write(bytes);
    }

    /** Closes the current link; the instance may open another. */
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
