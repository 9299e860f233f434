package vetchrill;

import java.io.Closeable;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
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
import vetchrill.standin.Ports;
import vetchrill.standin.StubFrames;

/** The parties that an instance speaks to, on loopback ports that the system chooses, and the instance itself. */
public final class InstanceRig implements Closeable {
    private static final int TIMEOUT_S = 30;
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

    public final FakeInterpreter interpreter = new FakeInterpreter();
    public final FakeMembership membership = new FakeMembership();
    public final List<String> log = new ArrayList<>();
    /** Replaced in the configuration before the start. */
    public final Map<String, String> replacements = new TreeMap<>();
    public int port;
    private final List<Closeable> openStubs = new ArrayList<>();
    private Process process;
    private Path configFile;

    public InstanceRig() throws IOException {
        port = Ports.free();
    }

    public static <T> T awaitNext(BlockingQueue<T> queue, String what) {
        try {
            T got = queue.poll(TIMEOUT_S, TimeUnit.SECONDS);
            if (got == null) {
                throw new AssertionError("never came: " + what);
            }
            return got;
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    private String configuration(int interpreterPort, FakeMembership membership) {
        String text = "{\"name\":\"n1\",\"listen\":\"127.0.0.1:" + port + "\",\"vm\":\"127.0.0.1:" + interpreterPort
                + "\",\"members\":\"127.0.0.1:" + membership.port() + "\",\"seed\":\"8c1f30d27a5be964\","
                + "\"stop_ms\":5000,\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":64},\"settings\":"
                + SETTINGS + "}";
        for (Map.Entry<String, String> change : replacements.entrySet()) {
            text = text.replace(change.getKey(), change.getValue());
        }
        return text;
    }

    /** Replaces the configuration by one with these addresses, and says so to the process. */
    public void replaceConfiguration(FakeInterpreter interpreter, FakeMembership membership) throws IOException {
        replaceConfiguration(configuration(interpreter.port(), membership));
    }

    /** The same for an interpreter that is to be found at a port of the test's own. */
    public void replaceConfiguration(int interpreter) throws IOException {
        replaceConfiguration(configuration(interpreter, membership));
    }

    public void replaceConfiguration(String text) throws IOException {
        Files.writeString(configFile, text);
        new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start();
    }

    /** Starts the program as a process of its own and does not wait for it. */
    public InstanceRig start() throws IOException {
        String path = System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
        // As the deployed command does: whoever starts the tests may ignore SIGHUP, and their verdict is the same.
        return start(new ProcessBuilder("env", "--default-signal=HUP,TERM",
                System.getProperty("java.home") + "/bin/java",
                "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx64m", "-cp", path, "vetchrill.Main", "serve"));
    }

    /** The same by another command. */
    public InstanceRig start(ProcessBuilder builder) throws IOException {
        configFile = Files.createTempFile("vetchrill", ".json");
        Files.writeString(configFile, configuration(interpreter.port(), membership));
        builder.environment().put("GW_CONFIG", configFile.toString());
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
    public InstanceRig startHealthy() throws IOException {
        start();
        if (!awaitNext(membership.phases, "a report").equals("UP")) {
            throw new AssertionError("not well from the start");
        }
        return this;
    }

    public void terminate() {
        process.toHandle().destroy();
    }

    public void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    /** STOP and CONT, say. */
    public void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    public int awaitExit() throws InterruptedException {
        if (!process.waitFor(TIMEOUT_S, TimeUnit.SECONDS)) {
            throw new AssertionError("never ended");
        }
        return process.exitValue();
    }

    public boolean isAlive() {
        return process.isAlive();
    }

    public String logText() {
        synchronized (log) {
            return String.join("\n", log);
        }
    }

    public void awaitLog(String part) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        while (!logText().contains(part)) {
            if (System.nanoTime() > deadlineNanos) {
                throw new AssertionError("never logged: " + part + "\n" + logText());
            }
            Thread.sleep(20);
        }
    }

    public StubClient connectStub() throws IOException {
        StubClient stub = new StubClient(port);
        openStubs.add(stub);
        return stub;
    }

    @Override
    public void close() throws IOException {
        if (process != null) {
            process.destroyForcibly();
            Files.delete(configFile);
        }
        for (Closeable each : openStubs) {
            each.close();
        }
        interpreter.fake.close();
        membership.fake.close();
    }

    /** The lab's interpreter, whose runs are answered by the test. */
    public static final class FakeInterpreter {
        /** APPLY and CONNECT as they came, the body after the line. */
        public final BlockingQueue<String> commands = new LinkedBlockingQueue<>();
        public volatile boolean withholdsGauges;
        public volatile boolean withholdsBanner;
        public volatile String gauges = "0.5 1 0.1 1";
        final vetchrill.standin.Interpreter fake;

        FakeInterpreter() throws IOException {
            fake = new vetchrill.standin.Interpreter(work(), false);
        }

        private FakeInterpreter(vetchrill.standin.Interpreter from) throws IOException {
            fake = from.moved(work());
        }

        private vetchrill.standin.Interpreter.Work work() {
            return new vetchrill.standin.Interpreter.Work() {
                @Override
                public void apply(String id, String group, byte[] body) {
                    commands.add("APPLY " + id + " " + group + " " + body.length + "\n"
                            + new String(body, StandardCharsets.ISO_8859_1));
                }

                @Override
                public String gauges() {
                    return withholdsGauges ? null : gauges;
                }

                @Override
                public boolean connected(int lastRead) {
                    commands.add("CONNECT " + lastRead);
                    return !withholdsBanner;
                }
            };
        }

        /** The same interpreter at another address: its notices and their numbers carry on. */
        public FakeInterpreter moveToNewPort() throws IOException {
            return new FakeInterpreter(fake);
        }

        public int port() {
            return fake.port();
        }

        public void banner(int after) throws IOException {
            fake.banner(after);
        }

        /** Tells how a run ended; kept while there is no link. */
        public void value(String id, String outcome, String result) {
            fake.value(id, outcome, 125, result.getBytes(StandardCharsets.ISO_8859_1));
        }

        public void write(String text) throws IOException {
            fake.write(text);
        }

        public void disconnect() throws IOException {
            fake.cut();
        }
    }

    /** The lab's membership service, with what it was told as the tests want to read it. */
    public static final class FakeMembership {
        public final BlockingQueue<String> phases = new LinkedBlockingQueue<>();
        public final vetchrill.standin.Membership fake;

        public FakeMembership() throws IOException {
            fake = new vetchrill.standin.Membership((name, up, call) ->
                    phases.add(!name.equals("n1") ? call : up ? "UP" : "OUT"));
        }

        int port() {
            return fake.port();
        }

        /** Skips reports until one of this phase comes. */
        public void awaitPhase(String phase) {
            String received = awaitNext(phases, "a report");
            while (!received.equals(phase)) {
                received = awaitNext(phases, "a report " + phase);
            }
        }
    }

    /** One connection of a client stub. */
    public static final class StubClient implements Closeable {
        public record Frame(int type, int stream, int code, String rest) {
        }

        public final Socket socket;
        private final DataOutputStream out;
        private final DataInputStream in;

        StubClient(int port) throws IOException {
            socket = new Socket(LOOPBACK, port);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(TIMEOUT_S * 1000);
            out = new DataOutputStream(socket.getOutputStream());
            in = new DataInputStream(socket.getInputStream());
        }

        public static byte[] frame(int type, int stream, byte[] payload) {
            return StubFrames.frame(type, stream, payload);
        }

        /** Fields given as name, value, name, value. */
        public static byte[] payload(String body, String... fields) {
            return StubFrames.payload(body.getBytes(StandardCharsets.ISO_8859_1), fields);
        }

        public static byte[] exchange(int stream, String group, String id, String body) {
            return exchange(stream, group, id, body, System.currentTimeMillis());
        }

        /** The same that came to the machine at a time in Unix milliseconds. */
        public static byte[] exchange(int stream, String group, String id, String body, long arrivedAtMs) {
            return frame(2, stream, payload(body, "method", group, "rid", id, "t0", Long.toString(arrivedAtMs),
                    "peer", "4", "acct", "acme", "mem", "24.5",
                    "prio", "0.6250"));
        }

        public void send(byte[] bytes) throws IOException {
            out.write(bytes);
        }

        public void sendExchange(int stream, String group, String id, String body) throws IOException {
            send(exchange(stream, group, id, body));
        }

        public int checkHealth() throws IOException {
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

}
