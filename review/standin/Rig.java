import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
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
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Small stand-ins of a platform, after PROTOCOL.md: an interpreter, a membership service and client stubs. */
final class Rig implements Closeable {
    static final int REQUEST = 2;
    static final int ANSWER = 4;
    static final int CHECK = 16;
    static final int CHECK_ANSWER = 32;
    static final int NOTHING_NEW = 64;
    static final int SERVED = 79;
    static final int REFUSED = 66;
    static final int FAILED = 69;

    final Path temp;
    final File root;
    final long begun = System.currentTimeMillis();
    private final PrintWriter record;
    private final List<Process> processes = new CopyOnWriteArrayList<>();
    private final Random random = new Random(42);

    Rig(String recordFile) throws IOException {
        root = new File(System.getProperty("repository")).getCanonicalFile();
        temp = Files.createTempDirectory("review");
        record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)));
    }

    /** Plays a case; returns 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
    interface Case {
        int play(Rig rig, boolean trouble) throws Exception;
    }

    /** Ends this process with the result of the case, after all that it has started has been ended. */
    static void run(String recordFile, Case each) {
        int result = 2;
        try (Rig rig = new Rig(recordFile)) {
            Runtime.getRuntime().addShutdownHook(new Thread(() -> rig.processes.forEach(Process::destroyForcibly)));
            result = each.play(rig, !"0".equals(System.getenv("TROUBLE")));
        } catch (Exception e) {
            e.printStackTrace();
            result = 2;
        }
        System.exit(result);
    }

    /** Adds a line to record.txt, with the milliseconds since the start. */
    synchronized void note(String text) {
        record.println((System.currentTimeMillis() - begun) + " " + text);
    }

    synchronized void say(String text) {
        note(text);
        System.out.println(text);
        record.flush();
    }

    synchronized String newId() {
        return String.format("%016x", random.nextLong());
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    /** Starts an instance with the line {@code run} of the deploy file, as the platform does. */
    Process startInstance(String name, Path config) throws IOException {
        String run = null;
        for (String line : Files.readAllLines(root.toPath().resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                run = line.substring(7, line.lastIndexOf('"'));
            }
        }
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run);
        builder.directory(root);
        builder.environment().put("GW_CONFIG", config.toString());
        builder.environment().remove("GW_NAME");
        builder.environment().remove("GW_LISTEN");
        builder.environment().put("TMPDIR", temp.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(temp.resolve(name + ".log").toFile()));
        Process process = builder.start();
        processes.add(process);
        note("started " + name + " with the run line of deploy/balancer.toml");
        return process;
    }

    /** The last lines of the log of an instance go into the record, without those on single requests. */
    void noteLog(String name, int lines) throws IOException {
        List<String> log = new ArrayList<>(Files.readAllLines(temp.resolve(name + ".log")));
        log.removeIf(line -> line.contains("invalid input from a stub"));
        for (String line : log.subList(Math.max(0, log.size() - lines), log.size())) {
            note("log of " + name + ": " + line);
        }
    }

    static void signal(Process process, String signal) throws IOException {
        try {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Resident memory of a process in MB, now and at its peak; 0 if it has ended. */
    static double[] memoryMb(Process process) {
        double now = 0;
        double peak = 0;
        try {
            for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
                if (line.startsWith("VmRSS:")) {
                    now = Double.parseDouble(line.replaceAll("\\D", "")) / 1024;
                } else if (line.startsWith("VmHWM:")) {
                    peak = Double.parseDouble(line.replaceAll("\\D", "")) / 1024;
                }
            }
        } catch (IOException e) {
            return new double[] {0, 0};
        }
        return new double[] {now, peak};
    }

    @Override
    public void close() throws IOException {
        for (Process process : processes) {
            process.destroyForcibly();
        }
        for (Process process : processes) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        synchronized (this) {
            record.close();
        }
        try (var files = Files.walk(temp)) {
            files.sorted((a, b) -> b.compareTo(a)).forEach(file -> file.toFile().delete());
        }
    }

    static Thread daemon(String name, Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException e) {
                // The connection has ended.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    interface Work {
        void run() throws IOException, InterruptedException;
    }

    static String readLine(InputStream in) throws IOException {
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

    /** A membership service: takes every report and answers 204. */
    static final class Membership implements Closeable {
        final ServerSocket server;
        volatile String lastPhase = "";

        Membership(Rig rig) throws IOException {
            server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
            daemon("membership", () -> {
                while (true) {
                    Socket socket = server.accept();
                    daemon("report", () -> {
                        InputStream in = new BufferedInputStream(socket.getInputStream());
                        for (String line = readLine(in); line != null; line = readLine(in)) {
                            int length = 0;
                            for (String header = readLine(in); header != null && !header.isEmpty();
                                    header = readLine(in)) {
                                if (header.toLowerCase().startsWith("content-length:")) {
                                    length = Integer.parseInt(header.substring(15).trim());
                                }
                            }
                            String body = new String(in.readNBytes(length), StandardCharsets.UTF_8);
                            if (!body.equals(lastPhase)) {
                                rig.note("report " + line + " " + body);
                            }
                            lastPhase = body;
                            socket.getOutputStream().write("HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n"
                                    .getBytes(StandardCharsets.US_ASCII));
                        }
                    });
                }
            });
        }

        int port() {
            return server.getLocalPort();
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    /** A request, as the platform knows it. */
    static final class Request {
        final String id;
        final String method;
        final byte[] body;
        final long t0;
        /** Key of a request of a guarded class; null for other classes. */
        final String token;
        volatile long writtenAt;
        volatile boolean over;
        volatile int answers;
        volatile int code;
        volatile long answeredAt;
        volatile byte[] result;
        volatile boolean connectionEnded;
        volatile boolean resetByStub;
        volatile int runs;
        volatile long runAt;
        volatile byte[] made;
        boolean running;

        Request(String id, String method, byte[] body, long t0, String token) {
            this.id = id;
            this.method = method;
            this.body = body;
            this.t0 = t0;
            this.token = token;
        }
    }

    /** An interpreter: knows the requests that came to the machine, and runs each for a fixed time. */
    static final class Interpreter implements Closeable {
        private volatile ServerSocket server;
        final Rig rig;
        final int cores;
        /** Commands are carried out so long after they were read; a break of the link loses those not carried out. */
        volatile int commandDelayMs;
        final long started = System.currentTimeMillis() - 60_000;
        final Map<String, Request> known = new ConcurrentHashMap<>();
        final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2, work -> {
            Thread thread = new Thread(work, "runs");
            thread.setDaemon(true);
            return thread;
        });
        final AtomicInteger running = new AtomicInteger();
        final AtomicLong errors = new AtomicLong();
        volatile long runMs = 50;
        /** While set, runs that are due to end go on. */
        volatile boolean hung;
        volatile int changed;
        private final ArrayDeque<Object[]> notices = new ArrayDeque<>();
        private int number;
        private Socket link;

        Interpreter(Rig rig, int cores) throws IOException {
            this.rig = rig;
            this.cores = cores;
            server = listen();
        }

        private ServerSocket listen() throws IOException {
            ServerSocket address = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
            daemon("interpreter", () -> {
                while (true) {
                    Socket socket = address.accept();
                    socket.setTcpNoDelay(true);
                    daemon("link", () -> serve(socket));
                }
            });
            return address;
        }

        int port() {
            return server.getLocalPort();
        }

        /** A new address: the old one takes nothing new, and open connections to it close after 1.5 s. */
        int move() throws IOException {
            ServerSocket old = server;
            Socket oldLink = link;
            server = listen();
            old.close();
            timer.schedule(() -> {
                try {
                    oldLink.close();
                } catch (IOException e) {
                    // It is closed.
                }
            }, 1500, TimeUnit.MILLISECONDS);
            return server.getLocalPort();
        }

        private void serve(Socket socket) throws IOException {
            InputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
            for (String line = readLine(in); line != null; line = readLine(in)) {
                String[] words = line.split(" ");
                switch (words[0]) {
                    case "CONNECT" -> connect(socket, Integer.parseInt(words[1]));
                    case "TOP" -> {
                        int now = running.get();
                        write(socket, ("TOPS " + words[1] + " " + Math.min(1.0, (double) now / cores) + " " + now
                                + " 0.1 0\r\n").getBytes(StandardCharsets.US_ASCII));
                    }
                    case "APPLY" -> {
                        byte[] body = in.readNBytes(Integer.parseInt(words[3]));
                        in.readNBytes(2);
                        if (commandDelayMs == 0) {
                            apply(socket, words[1], words[2], body);
                        } else {
                            timer.schedule(() -> {
                                try {
                                    if (socket == link && !socket.isClosed()) {
                                        apply(socket, words[1], words[2], body);
                                    } else {
                                        rig.note("interpreter: lost APPLY " + words[1] + " with its link");
                                    }
                                } catch (IOException e) {
                                    // The link is gone.
                                }
                            }, commandDelayMs, TimeUnit.MILLISECONDS);
                        }
                    }
                    default -> {
                        socket.close();
                        return;
                    }
                }
            }
        }

        private synchronized void connect(Socket socket, int lastRead) throws IOException {
            if (link != null) {
                link.close();
            }
            link = socket;
            rig.note("interpreter: link opened, CONNECT " + lastRead);
            write(socket, ("BANNER old " + (System.currentTimeMillis() - started) + "\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
            for (Object[] notice : notices) {
                if ((Integer) notice[0] > lastRead) {
                    write(socket, (byte[]) notice[1]);
                }
            }
        }

        private synchronized void write(Socket socket, byte[] bytes) throws IOException {
            socket.getOutputStream().write(bytes);
        }

        private void apply(Socket socket, String id, String method, byte[] body) throws IOException {
            Request request = known.get(id);
            if (request == null || !request.method.equals(method) || !Arrays.equals(request.body, body)) {
                if (request != null) {
                    changed++;
                }
                errors.incrementAndGet();
                write(socket, ("ERROR APPLY " + id + "\r\n").getBytes(StandardCharsets.US_ASCII));
                return;
            }
            synchronized (request) {
                if (request.running) {
                    return;
                }
                if (request.over) {
                    value(id, "gone", 0, new byte[0]);
                    return;
                }
                request.running = true;
                request.runs++;
                request.runAt = System.currentTimeMillis();
            }
            rig.note("run " + id + " " + method + (request.token == null ? "" : " key " + request.token));
            running.incrementAndGet();
            timer.schedule(() -> end(request), runMs, TimeUnit.MILLISECONDS);
        }

        private void end(Request request) {
            if (hung) {
                timer.schedule(() -> end(request), 20, TimeUnit.MILLISECONDS);
                return;
            }
            byte[] result = ("result of " + request.id).getBytes(StandardCharsets.US_ASCII);
            synchronized (request) {
                request.running = false;
                request.made = result;
            }
            running.decrementAndGet();
            value(request.id, "good", System.currentTimeMillis() - request.runAt, result);
        }

        private synchronized void value(String id, String end, long ms, byte[] result) {
            number++;
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            bytes.writeBytes(("VALUE " + number + " " + id + " " + end + " " + ms + " " + result.length + "\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
            bytes.writeBytes(result);
            bytes.writeBytes(new byte[] {'\r', '\n'});
            notices.add(new Object[] {number, bytes.toByteArray()});
            if (notices.size() > 4000) {
                notices.poll();
            }
            try {
                if (link != null) {
                    write(link, bytes.toByteArray());
                }
            } catch (IOException e) {
                // It is kept for the next link.
            }
        }

        /** Breaks the link; with {@code within}, in the middle of a notice that comes again over the next link. */
        synchronized void breakLink(boolean within) throws IOException {
            if (link != null) {
                if (within && !notices.isEmpty()) {
                    byte[] notice = (byte[]) notices.peekLast()[1];
                    try {
                        link.getOutputStream().write(notice, 0, notice.length / 2);
                    } catch (IOException e) {
                        // It is gone already.
                    }
                }
                link.close();
            }
        }

        @Override
        public void close() throws IOException {
            server.close();
            timer.shutdownNow();
        }
    }

    static byte[] frame(int type, int stream, byte[] body, String... fields) {
        ByteArrayOutputStream payload = new ByteArrayOutputStream();
        payload.write(fields.length / 2);
        for (int i = 0; i < fields.length; i += 2) {
            byte[] name = fields[i].getBytes(StandardCharsets.UTF_8);
            byte[] value = fields[i + 1].getBytes(StandardCharsets.UTF_8);
            payload.write(name.length);
            payload.writeBytes(name);
            payload.write(value.length >> 8);
            payload.write(value.length);
            payload.writeBytes(value);
        }
        payload.writeBytes(body);
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeInt(5 + payload.size());
            out.writeByte(type);
            out.writeInt(stream);
            out.write(payload.toByteArray());
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return bytes.toByteArray();
    }

    static byte[] requestFrame(int stream, Request request, int peer, double mem, double prio) {
        List<String> fields = new ArrayList<>(List.of("method", request.method, "rid", request.id,
                "t0", Long.toString(request.t0), "peer", Integer.toString(peer), "acct", "acme",
                "mem", Double.toString(mem), "prio", Double.toString(prio)));
        if (request.token != null) {
            fields.addAll(List.of("token", request.token));
        }
        return frame(REQUEST, stream, request.body, fields.toArray(new String[0]));
    }

    /** One connection of a client stub. */
    static final class Line implements Closeable {
        final Rig rig;
        final Socket socket;
        final Map<Integer, Request> open = new HashMap<>();
        final Interpreter interpreter;
        /** Told that nothing new is taken. */
        volatile boolean closing;
        volatile boolean ended;
        volatile long endedAt;
        volatile int checkCode = -1;
        volatile int answersWithoutRequest;
        /** The stub has reset it. */
        volatile boolean reset;
        private int lastStream;

        Line(Rig rig, Interpreter interpreter, int port) throws IOException {
            this.rig = rig;
            this.interpreter = interpreter;
            socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 2000);
            daemon("line", this::read);
        }

        private void read() {
            try {
                DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
                while (true) {
                    int length = in.readInt();
                    int type = in.readUnsignedByte();
                    int stream = in.readInt();
                    byte[] payload = in.readNBytes(length - 5);
                    if (payload.length < length - 5) {
                        throw new IOException("cut off");
                    }
                    if (type == NOTHING_NEW) {
                        closing = true;
                        closeIfDone();
                    } else if (type == CHECK_ANSWER) {
                        checkCode = payload[0] & 0xff;
                    } else if (type == ANSWER) {
                        answered(stream, payload);
                    }
                }
            } catch (IOException e) {
                end(String.valueOf(e.getMessage()));
            }
        }

        private synchronized void answered(int stream, byte[] payload) throws IOException {
            Request request = open.remove(stream);
            if (request == null) {
                answersWithoutRequest++;
                rig.note("answer on stream " + stream + " code " + (payload[0] & 0xff) + " for no open request");
                return;
            }
            request.answers++;
            request.code = payload[0] & 0xff;
            int offset = 2;
            for (int i = 0; i < (payload[1] & 0xff); i++) {
                offset += 1 + (payload[offset] & 0xff);
                offset += 2 + ((payload[offset] & 0xff) << 8 | payload[offset + 1] & 0xff);
            }
            request.result = Arrays.copyOfRange(payload, offset, payload.length);
            request.answeredAt = System.currentTimeMillis();
            request.over = true;
            rig.note("answer " + request.id + " " + (request.code == SERVED ? "served" : request.code == REFUSED
                    ? "refused" : "failed") + " after " + (request.answeredAt - request.t0) + " ms");
            closeIfDone();
        }

        private void closeIfDone() throws IOException {
            synchronized (this) {
                if (closing && open.isEmpty()) {
                    socket.close();
                }
            }
        }

        private synchronized void end(String reason) {
            ended = true;
            endedAt = System.currentTimeMillis();
            for (Request request : open.values()) {
                request.connectionEnded = !reset;
                request.resetByStub = reset;
                request.over = true;
                rig.note("connection of " + request.id + " ended without an answer: " + (reset ? "reset by the stub" : reason));
            }
            open.clear();
            try {
                socket.close();
            } catch (IOException e) {
                // It is closed.
            }
        }

        synchronized int openCount() {
            return open.size();
        }

        synchronized boolean usable() {
            return !closing && !ended && open.size() < 32;
        }

        /** Writes a request on a new stream. */
        void send(Request request, int peer, double mem, double prio) throws IOException {
            byte[] bytes;
            synchronized (this) {
                int stream = ++lastStream;
                open.put(stream, request);
                bytes = requestFrame(stream, request, peer, mem, prio);
            }
            interpreter.known.put(request.id, request);
            synchronized (socket) {
                request.writtenAt = System.currentTimeMillis();
                try {
                    socket.getOutputStream().write(bytes);
                } catch (IOException e) {
                    request.writtenAt = 0;
                    synchronized (this) {
                        open.values().remove(request);
                    }
                    throw e;
                }
            }
            rig.note("sent " + request.id + " " + request.method + (request.token == null ? ""
                    : " key " + request.token));
        }

        void check() throws IOException {
            checkCode = -1;
            synchronized (socket) {
                socket.getOutputStream().write(frame(CHECK, 1, new byte[0], "peer", "1"));
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** Waits until the instance answers a health check with good; false if it does not within 30 s. */
    boolean awaitReady(Interpreter interpreter, int port, Process process) throws IOException, InterruptedException {
        long deadline = System.currentTimeMillis() + 30_000;
        while (System.currentTimeMillis() < deadline && process.isAlive()) {
            try (Line line = new Line(this, interpreter, port)) {
                line.check();
                for (int i = 0; i < 20 && line.checkCode < 0; i++) {
                    Thread.sleep(10);
                }
                if (line.checkCode == SERVED) {
                    return true;
                }
            } catch (IOException e) {
                // Not up yet.
            }
            Thread.sleep(50);
        }
        return false;
    }
}
