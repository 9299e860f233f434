package review2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;

/**
 * The stand-ins of review part 2: the platform around one real instance process. It has an interpreter, a membership
 * service and client stubs, all on loopback, written from PROTOCOL.md, and starts the instance by the run line of the
 * deploy file. Everything that is sent, answered and run goes to record.txt.
 */
final class Rig implements AutoCloseable {
    static final int SERVED = 79;
    static final int REFUSED = 66;
    static final int FAILED = 69;

    /** One try of a client: what was sent, and what became of it. */
    static final class Try {
        String rid;
        String group;
        String token;
        byte[] body;
        long t0;
        double workMs;
        volatile long writtenAt;
        volatile boolean over;
        volatile boolean running;
        final List<Long> runStarts = new CopyOnWriteArrayList<>();
        final List<Long> runEnds = new CopyOnWriteArrayList<>();
        final List<Answer> answers = new CopyOnWriteArrayList<>();
        /** When its connection ended without an answer to it; 0 if that has not happened. */
        volatile long connectionEndedAt;
        /** It crossed the close of its connection and was sent again. */
        volatile boolean sentAgain;

        String result() {
            return "result of " + rid;
        }
    }

    /** An answer as the client stub read it. */
    record Answer(int code, long at, Map<String, String> fields, byte[] body) {
    }

    final Path root;
    final Path caseFolder;
    final Path temp;
    final boolean trouble;
    private final PrintWriter record;
    private final long startedAt = System.currentTimeMillis();
    final Map<String, Try> tries = new ConcurrentHashMap<>();
    final ScheduledExecutorService timer = Executors.newScheduledThreadPool(4, work -> {
        Thread thread = new Thread(work, "timer");
        thread.setDaemon(true);
        return thread;
    });
    private final List<AutoCloseable> resources = new CopyOnWriteArrayList<>();
    private final List<Process> processes = new CopyOnWriteArrayList<>();
    private final AtomicLong nextRid = new AtomicLong(new java.util.Random().nextLong() & 0x7fffffffffff0000L);
    final String runLine;

    Rig(String[] args) throws IOException {
        root = Path.of(args[0]).toAbsolutePath();
        caseFolder = Path.of(args[1]).toAbsolutePath();
        trouble = !"0".equals(System.getenv("TROUBLE"));
        temp = Files.createTempDirectory("review2-");
        record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
        runLine = readRunLine();
        note("TROUBLE=%s", trouble ? "1" : "0");
        note("run line: %s", runLine);
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    /** Now, in Unix milliseconds. */
    static long now() {
        return System.currentTimeMillis();
    }

    synchronized void note(String format, Object... values) {
        record.println(String.format(Locale.ROOT, "%8d ms  ", now() - startedAt)
                + (values.length == 0 ? format : String.format(Locale.ROOT, format, values)));
    }

    private String readRunLine() throws IOException {
        String line = null;
        for (String candidate : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (candidate.startsWith("run = \"")) {
                line = candidate.substring(7, candidate.lastIndexOf('"'));
            }
        }
        if (line == null) {
            throw new IOException("deploy/balancer.toml has no run line");
        }
        // Some JVMs refuse this option, and end at once; asked once, and left out only where it is refused.
        String option = " -XX:StackShadowPages=10";
        if (line.contains(option)) {
            try {
                Process probe = new ProcessBuilder("java", option.trim(), "-version").redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
                if (probe.waitFor() != 0) {
                    line = line.replace(option, "");
                }
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }
        return line;
    }

    /** A port on which nothing listens, outside the range from which the system takes ports for outgoing links. */
    static int freePort() throws IOException {
        java.util.Random random = new java.util.Random();
        for (int i = 0; i < 200; i++) {
            try (ServerSocket probe = new ServerSocket(16_000 + random.nextInt(16_000), 1,
                    InetAddress.getLoopbackAddress())) {
                return probe.getLocalPort();
            } catch (java.net.BindException e) {
                // In use.
            }
        }
        throw new IOException("no free port");
    }

    void closeLater(AutoCloseable resource) {
        resources.add(resource);
    }

    static Thread daemon(String name, ThrowingTask work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (Exception e) {
                // The peer closed the connection, or the case is over.
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    interface ThrowingTask {
        void run() throws Exception;
    }

    // The instance.

    /** A real instance process and its configuration. */
    final class Instance {
        final String name;
        final int port;
        final Path config;
        Process process;
        /** The descriptor limit in its configuration. */
        int sockets = 1024;
        /** The memory limit in its configuration. */
        int memoryMb = 192;

        Instance(String name) throws IOException {
            this.name = name;
            port = freePort();
            config = temp.resolve(name + ".json");
        }

        void writeConfig(int interpreterPort, int membersPort, int stopMs, String settings) throws IOException {
            Path next = temp.resolve(name + ".json.new");
            Files.writeString(next, "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port
                    + "\",\"vm\":\"127.0.0.1:" + interpreterPort + "\",\"members\":\"127.0.0.1:" + membersPort
                    + "\",\"seed\":\"8c1f30d27a5be964\",\"stop_ms\":" + stopMs
                    + ",\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb + ",\"sockets\":" + sockets + "},\"settings\":" + settings + "}");
            Files.move(next, config, java.nio.file.StandardCopyOption.REPLACE_EXISTING,
                    java.nio.file.StandardCopyOption.ATOMIC_MOVE);
        }

        void start() throws IOException {
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runLine);
            builder.directory(root.toFile());
            builder.environment().put("GW_CONFIG", config.toString());
            builder.environment().put("TMPDIR", temp.toString());
            builder.environment().remove("GW_NAME");
            builder.environment().remove("GW_LISTEN");
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(temp.resolve(name + ".log").toFile()));
            process = builder.start();
            processes.add(process);
            note("started %s as process %d", name, process.pid());
        }

        /** Waits until a health check is answered good. */
        void awaitHealthy() throws IOException, InterruptedException {
            long deadline = now() + 30_000;
            while (now() < deadline) {
                if (!process.isAlive()) {
                    throw new IOException("the instance ended with exit code " + process.exitValue() + ":\n" + log());
                }
                try (Socket socket = new Socket()) {
                    socket.connect(new InetSocketAddress("127.0.0.1", port), 500);
                    socket.setSoTimeout(1000);
                    socket.getOutputStream().write(frame(16, 1, payload(new byte[0])));
                    byte[] answer = frameFrom(new DataInputStream(socket.getInputStream()));
                    if (answer != null && answer[0] == 32 && answer[5] == SERVED) {
                        note("%s answers a health check: good", name);
                        return;
                    }
                } catch (IOException e) {
                    // Not listening yet.
                }
                Thread.sleep(50);
            }
            throw new IOException("the instance was not healthy within 30 s:\n" + log());
        }

        /** Gives the process one core, as DEPLOY.md does. */
        void keepOnOneCore() throws IOException, InterruptedException {
            String core = "0";
            for (String line : Files.readAllLines(Path.of("/proc/self/status"))) {
                if (line.startsWith("Cpus_allowed_list:")) {
                    core = line.substring(18).trim().split("[-,]")[0];
                }
            }
            int code = new ProcessBuilder("taskset", "-a", "-cp", core, Long.toString(process.pid()))
                    .redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.DISCARD).start().waitFor();
            if (code != 0) {
                throw new IOException("taskset gave " + code);
            }
            note("%s runs on one core", name);
        }

        String log() throws IOException {
            return Files.readString(temp.resolve(name + ".log"));
        }

        void signal(String signal) throws IOException, InterruptedException {
            note("signal %s to %s", signal, name);
            int code = new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
            if (code != 0) {
                note("kill -%s gave %d", signal, code);
            }
        }
    }

    // The interpreter.

    /** Runs the work of one instance: runs share its cores evenly, and it follows PROTOCOL.md. */
    final class Interpreter {
        private final int cores;
        volatile double slowdown = 1;
        private final boolean fresh;
        private final long upSince = System.nanoTime();
        private final ArrayDeque<Map.Entry<Integer, byte[]>> notices = new ArrayDeque<>();
        private int lastNotice;
        private volatile Socket link;
        private ServerSocket server;
        private int running;
        private final Map<Try, Double> remaining = new HashMap<>();
        private long advancedAt = System.nanoTime();
        volatile int errors;
        private volatile boolean dropsCommands;
        private volatile boolean cutNextNotice;
        /** Notices come in pieces, with remarks between them, and some come twice under one number. */
        volatile boolean garbles;
        /** Runs and errors are not noted any more. */
        volatile boolean quiet;

        Interpreter(int cores, boolean fresh) throws IOException {
            this.cores = cores;
            this.fresh = fresh;
            server = listen();
            timer.scheduleAtFixedRate(this::advance, 2, 2, TimeUnit.MILLISECONDS);
        }

        private ServerSocket listen() throws IOException {
            ServerSocket socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
            closeLater(socket);
            daemon("interpreter", () -> {
                while (true) {
                    Socket accepted = socket.accept();
                    accepted.setTcpNoDelay(true);
                    daemon("link", () -> serve(accepted));
                }
            });
            return socket;
        }

        int port() {
            return server.getLocalPort();
        }

        /** Moves to a new address; the old one takes nothing new, and its open link closes after 1.5 s. */
        void move() throws IOException {
            ServerSocket old = server;
            Socket oldLink = link;
            server = listen();
            old.close();
            timer.schedule(() -> {
                if (oldLink != null) {
                    oldLink.close();
                }
                return null;
            }, 1500, TimeUnit.MILLISECONDS);
        }

        void breakLink() throws IOException {
            Socket current = link;
            if (current != null) {
                current.close();
            }
        }

        /** Breaks the link with the commands of the last 50 ms, or else in the middle of the next notice. */
        void breakWithLoss(boolean midNotice) throws IOException, InterruptedException {
            if (midNotice) {
                cutNextNotice = true;
                return;
            }
            dropsCommands = true;
            Thread.sleep(50);
            breakLink();
            dropsCommands = false;
        }

        private void serve(Socket socket) throws IOException {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (String line = readLine(in); line != null; line = readLine(in)) {
                String[] words = line.split(" ");
                switch (words[0]) {
                    case "CONNECT" -> connect(socket, Integer.parseInt(words[1]));
                    case "APPLY" -> {
                        byte[] body = in.readNBytes(Integer.parseInt(words[3]) + 2);
                        if (socket == link && !dropsCommands) {
                            apply(words[1], words[2], Arrays.copyOf(body, body.length - 2));
                        }
                    }
                    case "TOP" -> {
                        String gauges;
                        synchronized (this) {
                            gauges = String.format(Locale.ROOT, "%.3f %d 0 0", Math.min(1.0, running / (double) cores),
                                    running);
                        }
                        write(socket, ("TOPS " + words[1] + " " + gauges + "\r\n").getBytes(StandardCharsets.UTF_8));
                    }
                    default -> {
                        note("interpreter read what is no command: %s", line);
                        socket.close();
                        return;
                    }
                }
            }
        }

        private synchronized void connect(Socket socket, int lastRead) throws IOException {
            Socket previous = link;
            link = socket;
            if (previous != null && previous != socket) {
                previous.close();
            }
            note("interpreter: CONNECT %d", lastRead);
            write(socket, ("BANNER " + (fresh ? "new " : "old ")
                    + ((System.nanoTime() - upSince) / 1_000_000 + (fresh ? 0 : 60_000)) + "\r\n")
                    .getBytes(StandardCharsets.UTF_8));
            for (Map.Entry<Integer, byte[]> notice : notices) {
                if (notice.getKey() > lastRead) {
                    write(socket, notice.getValue());
                }
            }
        }

        private synchronized void write(Socket socket, byte[] bytes) throws IOException {
            if (pieceDelayMs == 0) {
                socket.getOutputStream().write(bytes);
            } else {
                outgoing.add(new Outgoing(socket, bytes, System.nanoTime() + pieceDelayMs * 1_000_000L));
            }
        }

        private record Outgoing(Socket socket, byte[] bytes, long dueNanos) {
        }

        private final java.util.concurrent.LinkedBlockingQueue<Outgoing> outgoing =
                new java.util.concurrent.LinkedBlockingQueue<>();

        /** From now on what it sends comes in two pieces, the second of them this much later. */
        void sendInPieces(int delayMs) {
            pieceDelayMs = delayMs;
            daemon("pieces", () -> {
                while (true) {
                    Outgoing message = outgoing.take();
                    int first = message.bytes.length / 2;
                    try {
                        message.socket.getOutputStream().write(message.bytes, 0, first);
                        long wait = message.dueNanos - System.nanoTime();
                        if (wait > 0) {
                            Thread.sleep(wait / 1_000_000, (int) (wait % 1_000_000));
                        }
                        message.socket.getOutputStream().write(message.bytes, first, message.bytes.length - first);
                    } catch (IOException e) {
                        // The link broke. Notices are kept, and sent on the next one.
                    }
                }
            });
        }

        private volatile int pieceDelayMs;

        private synchronized void apply(String rid, String group, byte[] body) throws IOException {
            Try attempt = tries.get(rid);
            if (attempt == null || !attempt.group.equals(group) || !Arrays.equals(attempt.body, body)) {
                errors++;
                if (!quiet) {
                    note("interpreter: ERROR APPLY %s", rid);
                }
                write(link, ("ERROR APPLY " + rid + "\r\n").getBytes(StandardCharsets.UTF_8));
            } else if (remaining.containsKey(attempt)) {
                note("interpreter: APPLY %s, which runs already", rid);
            } else if (attempt.over) {
                note("interpreter: APPLY %s, which is over: gone", rid);
                value(attempt, "gone", 0, new byte[0]);
            } else {
                advance();
                attempt.runStarts.add(now());
                running++;
                remaining.put(attempt, attempt.workMs);
                if (!quiet) {
                    note("interpreter: run of %s (%s%s) starts, its number %d", rid, group,
                            attempt.token == null ? "" : ", token " + attempt.token, attempt.runStarts.size());
                }
            }
        }

        private synchronized void advance() {
            long nanos = System.nanoTime();
            double elapsedMs = (nanos - advancedAt) / 1e6;
            advancedAt = nanos;
            if (running == 0) {
                return;
            }
            double share = elapsedMs / slowdown * Math.min(1.0, cores / (double) running);
            List<Try> finished = new ArrayList<>();
            for (Map.Entry<Try, Double> entry : remaining.entrySet()) {
                entry.setValue(entry.getValue() - share);
                if (entry.getValue() <= 0) {
                    finished.add(entry.getKey());
                }
            }
            for (Try attempt : finished) {
                remaining.remove(attempt);
                running--;
                attempt.runEnds.add(now());
                long started = attempt.runStarts.get(attempt.runStarts.size() - 1);
                if (!quiet) {
                    note("interpreter: run of %s ends", attempt.rid);
                }
                value(attempt, "good", now() - started, attempt.result().getBytes(StandardCharsets.UTF_8));
            }
        }

        private synchronized void value(Try attempt, String end, long ms, byte[] result) {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            bytes.writeBytes(("VALUE " + ++lastNotice + " " + attempt.rid + " " + end + " " + ms + " " + result.length
                    + "\r\n").getBytes(StandardCharsets.UTF_8));
            bytes.writeBytes(result);
            bytes.writeBytes(new byte[] {'\r', '\n'});
            notices.add(Map.entry(lastNotice, bytes.toByteArray()));
            if (notices.size() > 4000) {
                notices.poll();
            }
            try {
                if (link != null && cutNextNotice) {
                    cutNextNotice = false;
                    write(link, Arrays.copyOf(bytes.toByteArray(), bytes.size() * 2 / 3));
                    link.close();
                } else if (link != null && garbles) {
                    byte[] all = bytes.toByteArray();
                    write(link, Arrays.copyOf(all, 9));
                    Thread.yield();
                    write(link, Arrays.copyOfRange(all, 9, all.length));
                    if (lastNotice % 3 == 0) {
                        write(link, all);
                    }
                    if (lastNotice % 5 == 0) {
                        byte[] remark = ("TRACE " + ++lastNotice + " a remark\r\n").getBytes(StandardCharsets.UTF_8);
                        notices.add(Map.entry(lastNotice, remark));
                        write(link, remark);
                    }
                } else if (link != null) {
                    write(link, bytes.toByteArray());
                }
            } catch (IOException e) {
                // Kept, and sent on the next link.
            }
        }
    }

    // The membership service.

    /** Answers each report with 204 and notes what was reported. */
    final class Members {
        private final ServerSocket server;
        final Map<String, String> phases = new ConcurrentHashMap<>();
        volatile boolean silent;

        Members() throws IOException {
            server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
            closeLater(server);
            daemon("members", () -> {
                while (true) {
                    Socket socket = server.accept();
                    daemon("members", () -> serve(socket));
                }
            });
        }

        int port() {
            return server.getLocalPort();
        }

        private void serve(Socket socket) throws IOException {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (String request = readLine(in); request != null; request = readLine(in)) {
                int length = 0;
                for (String header = readLine(in); header != null && !header.isEmpty(); header = readLine(in)) {
                    if (header.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                        length = Integer.parseInt(header.substring(15).trim());
                    }
                }
                String body = new String(in.readNBytes(length), StandardCharsets.UTF_8);
                String name = request.split(" ")[1].replace("/members/", "");
                String phase = body.contains("UP") ? "UP" : "OUT";
                if (!phase.equals(phases.put(name, phase))) {
                    note("members: %s reports %s", name, phase);
                }
                if (!silent) {
                    socket.getOutputStream().write("HTTP/1.1 204 No Content\r\n\r\n".getBytes(StandardCharsets.UTF_8));
                }
            }
        }
    }

    // Client stubs.

    String newRid() {
        return String.format("%016x", nextRid.incrementAndGet());
    }

    Try newTry(String group, String token, double workMs, byte[] body) {
        Try attempt = new Try();
        attempt.rid = newRid();
        attempt.group = group;
        attempt.token = token;
        attempt.workMs = workMs;
        attempt.body = body;
        attempt.t0 = now();
        return attempt;
    }

    static byte[] requestFrame(Try attempt, int stream, int peer, String tenant, double memKb, double prio) {
        List<String> fields = new ArrayList<>(List.of("method", attempt.group, "rid", attempt.rid, "t0",
                Long.toString(attempt.t0), "peer", Integer.toString(peer), "acct", tenant, "mem",
                String.format(Locale.ROOT, "%.1f", memKb), "prio", String.format(Locale.ROOT, "%.4f", prio)));
        if (attempt.token != null) {
            fields.addAll(List.of("token", attempt.token));
        }
        return frame(2, stream, payload(attempt.body, fields.toArray(new String[0])));
    }

    /** One connection of a client stub, as PROTOCOL.md describes it. */
    final class Stub implements AutoCloseable {
        final Socket socket = new Socket();
        final int peer;
        private final String tenant;
        private final Map<Integer, Try> open = new ConcurrentHashMap<>();
        private int lastStream;
        private final int port;
        volatile boolean toldToClose;
        volatile long endedAt;
        private volatile boolean wasReset;

        Stub(int port, int peer, String tenant) throws IOException {
            this.port = port;
            this.peer = peer;
            this.tenant = tenant;
            socket.connect(new InetSocketAddress("127.0.0.1", port), 2000);
            socket.setTcpNoDelay(true);
            closeLater(this);
            daemon("stub", this::read);
        }

        int openCount() {
            return open.size();
        }

        boolean usable() {
            return !toldToClose && endedAt == 0 && open.size() < 32;
        }

        /** Writes the request; the try is known to the interpreter from then on. */
        synchronized void send(Try attempt) throws IOException {
            if (!usable()) {
                throw new IOException("no new request on this connection");
            }
            int stream = ++lastStream;
            open.put(stream, attempt);
            tries.put(attempt.rid, attempt);
            attempt.writtenAt = now();
            socket.getOutputStream().write(requestFrame(attempt, stream, peer, tenant, 24.5, 0.5));
            note("stub %d: sends %s (%s%s) on stream %d, t0 %d ms ago", peer, attempt.rid, attempt.group,
                    attempt.token == null ? "" : ", token " + attempt.token, stream, now() - attempt.t0);
        }

        private void read() throws IOException {
            try {
                DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
                for (byte[] frame = frameFrom(in); frame != null; frame = frameFrom(in)) {
                    onFrame(frame);
                }
            } catch (IOException e) {
                note("stub %d: connection failed: %s", peer, e.getMessage());
            }
            List<Try> again = new ArrayList<>();
            synchronized (this) {
                endedAt = now();
                for (Try attempt : open.values()) {
                    if (wasReset) {
                        attempt.over = true;
                    } else if (endedAt - attempt.writtenAt <= 50 && !attempt.sentAgain) {
                        attempt.sentAgain = true;
                        again.add(attempt);
                    } else {
                        attempt.over = true;
                        attempt.connectionEndedAt = endedAt;
                        note("stub %d: connection ended with %s open, written %d ms before", peer, attempt.rid,
                                endedAt - attempt.writtenAt);
                    }
                }
            }
            socket.close();
            for (Try attempt : again) {
                // It crossed the close: it goes again on a new connection, once.
                note("stub %d: %s crossed the close of its connection", peer, attempt.rid);
                new Stub(port, peer, tenant).send(attempt);
            }
        }

        private void onFrame(byte[] frame) throws IOException {
            int type = frame[0] & 0xff;
            int stream = intAt(frame, 1);
            if (type == 64) {
                toldToClose = true;
            } else if (type == 4) {
                int code = frame[5] & 0xff;
                Map<String, String> fields = new HashMap<>();
                int offset = 7;
                for (int i = 0; i < (frame[6] & 0xff); i++) {
                    int nameSize = frame[offset] & 0xff;
                    String name = new String(frame, offset + 1, nameSize, StandardCharsets.UTF_8);
                    offset += 1 + nameSize;
                    int valueSize = (frame[offset] & 0xff) << 8 | frame[offset + 1] & 0xff;
                    fields.put(name, new String(frame, offset + 2, valueSize, StandardCharsets.UTF_8));
                    offset += 2 + valueSize;
                }
                Try attempt = open.remove(stream);
                byte[] body = Arrays.copyOfRange(frame, offset, frame.length);
                if (attempt == null) {
                    note("stub %d: an answer %s on stream %d, on which nothing is open", peer, codeName(code), stream);
                } else {
                    attempt.over = true;
                    attempt.answers.add(new Answer(code, now(), fields, body));
                    note("stub %d: %s is answered %s after %d ms%s", peer, attempt.rid, codeName(code),
                            now() - attempt.t0, code == SERVED ? ": " + new String(body, StandardCharsets.UTF_8)
                                    : fields.isEmpty() ? "" : " " + fields);
                }
            }
            synchronized (this) {
                if (toldToClose && open.isEmpty()) {
                    endedAt = now();
                    socket.close();
                }
            }
        }

        /** The connection is reset: everything open on it is lost, which breaks no rule. */
        void reset() throws IOException {
            note("stub %d: its connection is reset with %d open", peer, open.size());
            wasReset = true;
            for (Try attempt : open.values()) {
                attempt.over = true;
            }
            socket.setSoLinger(true, 0);
            socket.close();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    static String codeName(int code) {
        return code == SERVED ? "served" : code == REFUSED ? "refused" : code == FAILED ? "failed" : "code " + code;
    }

    // Frames.

    static byte[] frame(int type, int stream, byte[] payload) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream data = new DataOutputStream(bytes);
        try {
            data.writeInt(5 + payload.length);
            data.writeByte(type);
            data.writeInt(stream);
            data.write(payload);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return bytes.toByteArray();
    }

    static byte[] payload(byte[] body, String... fields) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.write(fields.length / 2);
        for (int i = 0; i < fields.length; i += 2) {
            byte[] name = fields[i].getBytes(StandardCharsets.UTF_8);
            byte[] value = fields[i + 1].getBytes(StandardCharsets.UTF_8);
            bytes.write(name.length);
            bytes.writeBytes(name);
            bytes.write(value.length >> 8);
            bytes.write(value.length);
            bytes.writeBytes(value);
        }
        bytes.writeBytes(body);
        return bytes.toByteArray();
    }

    /** The next frame without its length; null at the end. */
    static byte[] frameFrom(DataInputStream in) throws IOException {
        int length;
        try {
            length = in.readInt();
        } catch (java.io.EOFException e) {
            return null;
        }
        byte[] frame = in.readNBytes(length);
        return frame.length < length ? null : frame;
    }

    static int intAt(byte[] bytes, int offset) {
        return (bytes[offset] & 0xff) << 24 | (bytes[offset + 1] & 0xff) << 16 | (bytes[offset + 2] & 0xff) << 8
                | bytes[offset + 3] & 0xff;
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                return null;
            }
            if (c != '\r') {
                line.write(c);
            }
        }
        return line.toString(StandardCharsets.UTF_8);
    }

    // Settings.

    /** One endpoint group of the settings. */
    static String group(String name, String effect, int aimMs, int deadlineMs, int windowMs, int gain) {
        return "{\"name\":\"" + name + "\",\"effect\":\"" + effect + "\",\"aimMs\":" + aimMs + ",\"deadlineMs\":"
                + deadlineMs + ",\"keyTtlMs\":" + windowMs + ",\"gain\":" + gain + ",\"lateShare\":0.2}";
    }

    static String settings(int cores, int graceMs, String... groups) {
        return "{\"categories\":[" + Arrays.stream(groups).collect(Collectors.joining(",")) + "],"
                + "\"customers\":[{\"name\":\"flaedivakt\",\"allowancePerS\":100}],\"servers\":1,"
                + "\"familyInfo\":{\"cores\":" + cores + ",\"callers\":3,\"ramKb\":9738,\"runMemFactor\":4,"
                + "\"idleMs\":15000,\"listFollows\":true,\"keyKb\":70.45,"
                + "\"meters\":[\"cpu_busy\",\"runnable\",\"mem_used\",\"sockets\"]},"
                + "\"guarantees\":{\"answerSlackMs\":100,\"fallMultiple\":8,\"stopSendingWithinMs\":" + graceMs
                + ",\"coldMs\":16000,\"coldShare\":0.2,\"tipAfterMs\":1500},"
                + "\"limits\":{\"maxRetryAfterMs\":1000,\"retryAfter\":true},\"quantumMs\":5}";
    }

    private void killAll() {
        for (Process process : processes) {
            process.destroyForcibly();
        }
    }

    @Override
    public void close() throws IOException, InterruptedException {
        for (AutoCloseable resource : resources) {
            try {
                resource.close();
            } catch (Exception e) {
                // It is closed already.
            }
        }
        killAll();
        for (Process process : processes) {
            process.waitFor(5, TimeUnit.SECONDS);
        }
        timer.shutdownNow();
        try (var files = Files.list(temp)) {
            for (Path file : files.toList()) {
                Files.deleteIfExists(file);
            }
        }
        Files.deleteIfExists(temp);
        record.flush();
    }

    /** The body of a case: returns 0 if the rule held, 1 if it was broken. */
    interface Body {
        int run(Rig rig) throws Exception;
    }

    /** Runs a case and ends the process with its exit code; 2 if it could not run. */
    static void main(String[] args, Body body) {
        int code = 2;
        try (Rig rig = new Rig(args)) {
            try {
                code = body.run(rig);
                rig.note(code == 0 ? "RULE HELD" : code == 1 ? "RULE BROKEN" : "could not run");
            } catch (Exception e) {
                rig.note("could not run: %s", e);
                e.printStackTrace();
            }
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }
}
