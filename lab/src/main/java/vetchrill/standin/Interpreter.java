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
public final class Interpreter implements Closeable {
    /** Called on the link's thread. */
    public interface Work {
        void apply(String id, String group, byte[] body) throws IOException;

        /** The gauges as words between blanks; null to leave the question unanswered. */
        String gauges();

        /**
         * A link was opened by someone who has read the notices up to {@code lastRead}; false to withhold the
         * banner.
         */
        default boolean connected(int lastRead) {
            return true;
        }
    }

    private static final int KEPT = 4_000;

    private record Notice(int number, byte[] bytes) {
    }

    private final ServerSocket server;
    private final Work work;
    /** A fresh one starts when it first speaks: until then it is not up. */
    private long started;
    private volatile boolean fresh;
    private volatile Socket link;
    private int numbered;
    private final ArrayDeque<Notice> kept = new ArrayDeque<>();

    /** {@code fresh} is told as a start of just now, else it has run for a minute. */
    public Interpreter(Work work, boolean fresh) throws IOException {
        this.work = work;
        this.fresh = fresh;
        started = fresh ? 0 : System.nanoTime() - 60_000_000_000L;
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Peers.accept(server, this::talk);
    }

    private void talk(Socket socket) throws IOException {
        Socket before = link;
        link = socket;
        if (before != null) {
            before.close();
        }
        InputStream in = new BufferedInputStream(socket.getInputStream());
        for (String line = Peers.line(in); line != null; line = Peers.line(in)) {
            String[] words = line.split(" ");
            switch (words[0]) {
                case "APPLY" -> {
                    byte[] body = in.readNBytes(Integer.parseInt(words[3]) + 2);
                    work.apply(words[1], words[2], java.util.Arrays.copyOf(body, body.length - 2));
                }
                case "TOP" -> {
                    String gauges = work.gauges();
                    if (gauges != null) {
                        write("TOPS " + words[1] + " " + gauges + "\r\n");
                    }
                }
                case "CONNECT" -> {
                    int lastRead = Integer.parseInt(words[1]);
                    if (work.connected(lastRead)) {
                        banner(lastRead);
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
    public synchronized Interpreter moved(Work work) throws IOException {
        Interpreter to = new Interpreter(work, fresh);
        synchronized (to) {
            to.kept.addAll(kept);
            to.numbered = numbered;
        }
        return to;
    }

    public synchronized void banner(int after) throws IOException {
        started = started == 0 ? System.nanoTime() : started;
        write("BANNER " + (fresh ? "new " : "old ") + (System.nanoTime() - started) / 1_000_000 + "\r\n");
        List<Notice> all = new ArrayList<>(kept);
        for (Notice notice : all) {
            if (notice.number > after) {
                write(notice.bytes);
            }
        }
    }

    /** Tells how a run ended, after {@code took} tenths of a millisecond; kept while there is no link. */
    public synchronized void value(String id, String end, long took, byte[] result) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(result.length + 64);
        bytes.writeBytes(("VALUE " + ++numbered + " " + id + " " + end + " " + took / 10 + "." + took % 10 + " "
                + result.length + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        bytes.writeBytes(result);
        bytes.writeBytes(new byte[] {'\r', '\n'});
        kept.add(new Notice(numbered, bytes.toByteArray()));
        if (kept.size() > KEPT) {
            kept.poll();
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
    public void cut() throws IOException {
        if (link != null) {
            link.close();
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        cut();
    }
}
