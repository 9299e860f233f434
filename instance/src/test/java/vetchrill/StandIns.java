package vetchrill;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** The parties that an instance speaks to, on loopback ports that the system chooses, and the instance itself. */
public final class StandIns implements Closeable {
    private static final int PATIENCE_S = 30;
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    /** Times long enough that a slow machine makes no exchange late; a story that waits for one shortens them. */
    private static final String SETTINGS = "{\"categories\":["
            + "{\"name\":\"look\",\"effect\":\"free\",\"aimMs\":15000,\"deadlineMs\":30000,\"gain\":1},"
            + "{\"name\":\"note\",\"effect\":\"single_shot\",\"aimMs\":15000,\"deadlineMs\":30000,\"gain\":3}],"
            + "\"customers\":[{\"name\":\"acme\",\"allowancePerS\":100}],\"servers\":1,"
            + "\"familyInfo\":{\"cores\":4,\"callers\":1,\"ramKb\":100000,\"runMemFactor\":2,\"idleMs\":15000,"
            + "\"listFollows\":true,\"meters\":[\"cpu_busy\",\"runnable\",\"mem_used\",\"sockets\"]},"
            + "\"guarantees\":{\"fallMultiple\":8,\"stopSendingWithinMs\":500},"
            + "\"limits\":{\"maxRetryAfterMs\":1000}}";

    public final Interpreter interpreter = new Interpreter();
    public final Members members = new Members();
    public final List<String> log = new ArrayList<>();
    /** Replaced in the configuration before the start. */
    public final Map<String, String> instead = new TreeMap<>();
    public int port;
    private final List<Closeable> open = new ArrayList<>();
    private Process process;
    private Path file;

    public StandIns() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, LOOPBACK)) {
            port = free.getLocalPort();
        }
    }

    public static <T> T soon(BlockingQueue<T> queue, String what) {
        try {
            T got = queue.poll(PATIENCE_S, TimeUnit.SECONDS);
            if (got == null) {
                throw new AssertionError("never came: " + what);
            }
            return got;
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    private String configuration(int interpreter, Members members) {
        String text = "{\"name\":\"n1\",\"listen\":\"127.0.0.1:" + port + "\",\"vm\":\"127.0.0.1:" + interpreter
                + "\",\"members\":\"127.0.0.1:" + members.port() + "\",\"seed\":\"8c1f30d27a5be964\","
                + "\"stop_ms\":5000,\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":64},\"settings\":"
                + SETTINGS + "}";
        for (Map.Entry<String, String> change : instead.entrySet()) {
            text = text.replace(change.getKey(), change.getValue());
        }
        return text;
    }

    /** Replaces the configuration by one with these addresses, and says so to the process. */
    public void replace(Interpreter interpreter, Members members) throws IOException {
        replace(configuration(interpreter.port(), members));
    }

    /** The same for an interpreter that is to be found at a port of the test's own. */
    public void replace(int interpreter) throws IOException {
        replace(configuration(interpreter, members));
    }

    public void replace(String text) throws IOException {
        Files.writeString(file, text);
        new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start();
    }

    /** Starts the program as a process of its own and does not wait for it. */
    public StandIns start() throws IOException {
        file = Files.createTempFile("vetchrill", ".json");
        Files.writeString(file, configuration(interpreter.port(), members));
        String path = System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
        ProcessBuilder builder = new ProcessBuilder(System.getProperty("java.home") + "/bin/java",
                "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx64m", "-cp", path, "vetchrill.Main", "serve");
        builder.environment().put("GW_CONFIG", file.toString());
        builder.environment().put("VETCHRILL_LOG", "DEBUG");
        builder.environment().remove("GW_NAME");
        builder.environment().remove("GW_LISTEN");
        builder.redirectErrorStream(true);
        process = builder.start();
        Thread reader = new Thread(() -> {
            try (var lines = process.inputReader()) {
                for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                    synchronized (log) {
                        log.add(line);
                    }
                }
            } catch (IOException e) {
                // The process is gone.
            }
        });
        reader.setDaemon(true);
        reader.start();
        return this;
    }

    /** Starts it and waits until it reports that it is well. */
    public StandIns up() throws IOException {
        start();
        if (!soon(members.phases, "a report").equals("UP")) {
            throw new AssertionError("not well from the start");
        }
        return this;
    }

    public void terminate() {
        process.toHandle().destroy();
    }

    public int exit() throws InterruptedException {
        if (!process.waitFor(PATIENCE_S, TimeUnit.SECONDS)) {
            throw new AssertionError("never ended");
        }
        return process.exitValue();
    }

    public boolean alive() {
        return process.isAlive();
    }

    public String logged() {
        synchronized (log) {
            return String.join("\n", log);
        }
    }

    public void untilLogged(String part) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
        while (!logged().contains(part)) {
            if (System.nanoTime() > end) {
                throw new AssertionError("never logged: " + part + "\n" + logged());
            }
            Thread.sleep(20);
        }
    }

    public Stub stub() throws IOException {
        Stub stub = new Stub(port);
        open.add(stub);
        return stub;
    }

    @Override
    public void close() throws IOException {
        if (process != null) {
            process.destroyForcibly();
            Files.delete(file);
        }
        for (Closeable each : open) {
            each.close();
        }
        interpreter.server.close();
        members.server.close();
    }

    /** Answers CONNECT and TOP by itself, unless told not to; runs are answered by the test. */
    public static final class Interpreter {
        final ServerSocket server;
        /** APPLY and CONNECT as they came, the body after the line. */
        public final BlockingQueue<String> commands = new LinkedBlockingQueue<>();
        public volatile boolean silent;
        public volatile boolean withholdsBanner;
        public volatile String gauges = "0.5 1 0.1 1";
        private volatile Socket link;
        private int numbered;
        private final List<String> kept = new ArrayList<>();

        Interpreter() throws IOException {
            server = new ServerSocket(0, 50, LOOPBACK);
            accepting(server, socket -> {
                link = socket;
                InputStream in = socket.getInputStream();
                for (String line = line(in); line != null; line = line(in)) {
                    String[] words = line.split(" ");
                    if (words[0].equals("APPLY")) {
                        byte[] body = in.readNBytes(Integer.parseInt(words[3]) + 2);
                        commands.add(line + "\n" + new String(body, 0, body.length - 2, StandardCharsets.ISO_8859_1));
                    } else if (words[0].equals("TOP") && !silent) {
                        write("TOPS " + words[1] + " " + gauges + "\r\n");
                    } else if (words[0].equals("CONNECT")) {
                        commands.add(line);
                        if (!withholdsBanner) {
                            banner(Integer.parseInt(words[1]));
                        }
                    }
                }
            });
        }

        /** The same interpreter at another address: its notices and their numbers carry on. */
        public synchronized Interpreter moved() throws IOException {
            Interpreter to = new Interpreter();
            to.kept.addAll(kept);
            to.numbered = numbered;
            return to;
        }

        public int port() {
            return server.getLocalPort();
        }

        public synchronized void banner(int after) throws IOException {
            write("BANNER old 5000\r\n");
            for (String notice : kept.subList(after, kept.size())) {
                write(notice);
            }
        }

        /** Tells how a run ended; kept while there is no link. */
        public synchronized void value(String id, String end, String result) throws IOException {
            String notice = "VALUE " + ++numbered + " " + id + " " + end + " 12.5 " + result.length() + "\r\n" + result
                    + "\r\n";
            kept.add(notice);
            if (link != null && !link.isClosed()) {
                write(notice);
            }
        }

        public synchronized void write(String text) throws IOException {
            link.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        public void cut() throws IOException {
            link.close();
        }
    }

    /** Takes reports, and answers them with a status that the test may change; 0 for no answer. */
    public static final class Members {
        final ServerSocket server;
        public final BlockingQueue<String> phases = new LinkedBlockingQueue<>();
        public volatile int status = 204;

        public Members() throws IOException {
            server = new ServerSocket(0, 50, LOOPBACK);
            accepting(server, socket -> {
                InputStream in = socket.getInputStream();
                for (String line = line(in); line != null; line = line(in)) {
                    String call = line;
                    int length = 0;
                    for (line = line(in); line != null && !line.isEmpty(); line = line(in)) {
                        if (line.startsWith("Content-Length: ")) {
                            length = Integer.parseInt(line.substring(16));
                        }
                    }
                    String body = new String(in.readNBytes(length), StandardCharsets.UTF_8);
                    phases.add(call.equals("PUT /members/n1 HTTP/1.1") ? body.replaceAll("\\W|phase", "") : call);
                    if (status == 0) {
                        continue;
                    }
                    socket.getOutputStream().write(("HTTP/1.1 " + status + " Told\r\nContent-Length: 0\r\n\r\n")
                            .getBytes(StandardCharsets.UTF_8));
                }
            });
        }

        int port() {
            return server.getLocalPort();
        }

        /** Skips reports until one of this phase comes. */
        public void until(String phase) {
            String got = soon(phases, "a report");
            while (!got.equals(phase)) {
                got = soon(phases, "a report " + phase);
            }
        }
    }

    /** One connection of a client stub. */
    public static final class Stub implements Closeable {
        public record Frame(int type, int stream, int code, String rest) {
        }

        public final Socket socket;
        private final DataOutputStream out;
        private final DataInputStream in;

        Stub(int port) throws IOException {
            socket = new Socket(LOOPBACK, port);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(PATIENCE_S * 1000);
            out = new DataOutputStream(socket.getOutputStream());
            in = new DataInputStream(socket.getInputStream());
        }

        public static byte[] frame(int type, int stream, byte[] payload) throws IOException {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            DataOutputStream data = new DataOutputStream(bytes);
            data.writeInt(5 + payload.length);
            data.writeByte(type);
            data.writeInt(stream);
            data.write(payload);
            return bytes.toByteArray();
        }

        /** Fields given as name, value, name, value. */
        public static byte[] payload(String body, String... fields) throws IOException {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            DataOutputStream data = new DataOutputStream(bytes);
            data.writeByte(fields.length / 2);
            for (int i = 0; i < fields.length; i += 2) {
                data.writeByte(fields[i].length());
                data.writeBytes(fields[i]);
                data.writeShort(fields[i + 1].length());
                data.writeBytes(fields[i + 1]);
            }
            data.write(body.getBytes(StandardCharsets.ISO_8859_1));
            return bytes.toByteArray();
        }

        public static byte[] exchange(int stream, String group, String id, String body) throws IOException {
            return frame(2, stream, payload(body, "method", group, "rid", id, "t0",
                    Long.toString(System.currentTimeMillis()), "peer", "4", "acct", "acme", "mem", "24.5",
                    "prio", "0.6250"));
        }

        public void send(byte[] bytes) throws IOException {
            out.write(bytes);
        }

        public void ask(int stream, String group, String id, String body) throws IOException {
            send(exchange(stream, group, id, body));
        }

        public int check() throws IOException {
            send(frame(16, 1, payload("")));
            Frame frame = read();
            return frame.type == 32 ? frame.code : -1;
        }

        /** The next frame, or null at the end of the connection. */
        public Frame read() throws IOException {
            int length;
            try {
                length = in.readInt();
            } catch (java.io.EOFException | java.net.SocketException e) {
                return null;
            }
            int type = in.readUnsignedByte();
            int stream = in.readInt();
            byte[] rest = in.readNBytes(length - 5);
            int code = rest.length == 0 ? 0 : rest[0] & 0xff;
            return new Frame(type, stream, code, rest.length < 2 ? ""
                    : new String(rest, 1, rest.length - 1, StandardCharsets.ISO_8859_1));
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private interface Talk {
        void with(Socket socket) throws IOException;
    }

    private static void accepting(ServerSocket server, Talk talk) {
        Thread thread = new Thread(() -> {
            try {
                while (true) {
                    Socket socket = server.accept();
                    Thread each = new Thread(() -> {
                        try (socket) {
                            talk.with(socket);
                        } catch (IOException e) {
                            // The instance or the test has closed it.
                        }
                    });
                    each.setDaemon(true);
                    each.start();
                }
            } catch (IOException e) {
                // Closed at the end of the test.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                return null;
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return line.toString();
    }
}
