package vetchrill;

import java.io.Closeable;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import vetchrill.standin.Ports;
import vetchrill.standin.StubFrames;

/**
 * Runs an instance as a separate process, with a fake interpreter, a fake membership service and client stubs on
 * loopback ports that the system chooses.
 */
public final class InstanceRig implements Closeable {
    private static final int TIMEOUT_S = 30;
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    /** The times are so long that no exchange is late on a slow machine; a test that needs a timeout shortens them. */
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
    /** Text replacements in the configuration, from key to value, made when it is written. */
    public final Map<String, String> replacements = new TreeMap<>();
    public int port;
    /** The least level of the log lines that the instance writes. */
    public String logLevel = "DEBUG";
    private final List<Closeable> openStubs = Collections.synchronizedList(new ArrayList<>());
    private Process process;
    private Path configFile;

    public InstanceRig() throws IOException {
        port = Ports.findFree();
    }

    /** Returns the next element of the queue, or fails after a timeout with the description in the message. */
    public static <T> T awaitNext(BlockingQueue<T> queue, String description) {
        try {
            T element = queue.poll(TIMEOUT_S, TimeUnit.SECONDS);
            if (element == null) {
                throw new AssertionError("timed out waiting for " + description);
            }
            return element;
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

    /** Replaces the configuration by one with these addresses and signals the process to reload it. */
    public void replaceConfiguration(FakeInterpreter interpreter, FakeMembership membership) throws IOException {
        replaceConfiguration(configuration(interpreter.port(), membership));
    }

    /** Replaces the configuration by one with this port of the interpreter and signals the process to reload it. */
    public void replaceConfiguration(int interpreterPort) throws IOException {
        replaceConfiguration(configuration(interpreterPort, membership));
    }

    /** Replaces the configuration file and signals the process to reload it. */
    public void replaceConfiguration(String text) throws IOException {
        Files.writeString(configFile, text);
        new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start();
    }

    /** Starts the instance as a process and returns at once. */
    public InstanceRig start() throws IOException {
        String path = System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
        // As in the deployed command: the result must not depend on whether the parent of the tests ignores SIGHUP.
        return start(new ProcessBuilder("env", "--default-signal=HUP,TERM",
                System.getProperty("java.home") + "/bin/java",
                "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx64m", "-cp", path, "vetchrill.Main", "serve"));
    }

    /** Starts the instance with the memory options of the deployed command and waits until it reports healthy. */
    public InstanceRig startHealthyWithDeployedMemory() throws IOException {
        String path = System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
        ProcessBuilder builder = new ProcessBuilder("env", "--default-signal=HUP,TERM", "MALLOC_ARENA_MAX=2",
                System.getProperty("java.home") + "/bin/java",
                "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xms16m", "-Xmx72m", "-XX:MaxMetaspaceSize=32m",
                "-XX:ReservedCodeCacheSize=16m", "-XX:-UsePerfData", "-cp", path, "vetchrill.Main", "serve");
        start(builder);
        return awaitHealthy();
    }

    /** Starts the instance with another command. */
    public InstanceRig start(ProcessBuilder builder) throws IOException {
        configFile = Files.createTempFile("vetchrill", ".json");
        Files.writeString(configFile, configuration(interpreter.port(), membership));
        builder.environment().put("GW_CONFIG", configFile.toString());
        builder.environment().put("VETCHRILL_LOG", logLevel);
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
                // The process has ended.
            }
        });
        reader.setDaemon(true);
        reader.start();
        return this;
    }

    /** Starts the instance and waits until it reports that it is healthy. */
    public InstanceRig startHealthy() throws IOException {
        start();
        return awaitHealthy();
    }

    private InstanceRig awaitHealthy() {
        if (!awaitNext(membership.phases, "a health report").equals("UP")) {
            throw new AssertionError("the first report is not healthy");
        }
        return this;
    }

    public long pid() {
        return process.pid();
    }

    /** Sends SIGTERM. */
    public void terminate() {
        process.toHandle().destroy();
    }

    /** Sends SIGKILL and waits for the end of the process. */
    public void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    /** Sends a signal by name, such as STOP or CONT. */
    public void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    /** Waits for the process to exit and returns its exit code. */
    public int awaitExit() throws InterruptedException {
        if (!process.waitFor(TIMEOUT_S, TimeUnit.SECONDS)) {
            throw new AssertionError("the process did not exit in time");
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

    /** Waits until the log contains the text. */
    public void awaitLog(String text) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        while (!logText().contains(text)) {
            if (System.nanoTime() > deadlineNanos) {
                throw new AssertionError("not logged in time: " + text + "\n" + logText());
            }
            Thread.sleep(20);
        }
    }

    /** Opens a connection to the instance, closed with the rig. */
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
        for (Closeable stub : openStubs) {
            stub.close();
        }
        interpreter.fake.close();
        membership.fake.close();
    }

    /** A fake interpreter whose runs the test ends. */
    public static final class FakeInterpreter {
        /** The APPLY and CONNECT commands received, with the body after the line. */
        public final BlockingQueue<String> commands = new LinkedBlockingQueue<>();
        public volatile boolean withholdsGauges;
        public volatile boolean withholdsBanner;
        public volatile String gauges = "0.5 1 0.1 1";
        final vetchrill.standin.FakeInterpreter fake;

        FakeInterpreter() throws IOException {
            fake = new vetchrill.standin.FakeInterpreter(commandHandler(), false);
        }

        private FakeInterpreter(vetchrill.standin.FakeInterpreter from) throws IOException {
            fake = from.copyAtNewPort(commandHandler());
        }

        private vetchrill.standin.FakeInterpreter.CommandHandler commandHandler() {
            return new vetchrill.standin.FakeInterpreter.CommandHandler() {
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
                public boolean onConnect(int lastRead) {
                    commands.add("CONNECT " + lastRead);
                    return !withholdsBanner;
                }
            };
        }

        /** Moves the interpreter to another port; its notices and their numbers are kept. */
        public FakeInterpreter moveToNewPort() throws IOException {
            return new FakeInterpreter(fake);
        }

        public int port() {
            return fake.port();
        }

        /** Sends a banner and the notices with numbers above {@code after}. */
        public void banner(int after) throws IOException {
            fake.sendBanner(after);
        }

        /** Ends a run with a result; the notice is kept while there is no link. */
        public void value(String id, String outcome, String result) {
            fake.sendValue(id, outcome, 125, result.getBytes(StandardCharsets.ISO_8859_1));
        }

        public void write(String text) throws IOException {
            fake.write(text);
        }

        public void disconnect() throws IOException {
            fake.closeLink();
        }
    }

    /** A fake membership service that records the reports it receives. */
    public static final class FakeMembership {
        /** The phases reported for this instance; a report under another name is recorded as the whole call. */
        public final BlockingQueue<String> phases = new LinkedBlockingQueue<>();
        public final vetchrill.standin.FakeMembershipService fake;

        public FakeMembership() throws IOException {
            fake = new vetchrill.standin.FakeMembershipService((name, up, call) ->
                    phases.add(!name.equals("n1") ? call : up ? "UP" : "OUT"));
        }

        int port() {
            return fake.port();
        }

        /** Skips reports until one with this phase arrives. */
        public void awaitPhase(String phase) {
            String received = awaitNext(phases, "a health report");
            while (!received.equals(phase)) {
                received = awaitNext(phases, "a health report " + phase);
            }
        }
    }

    /** A client stub with one connection. */
    public static final class StubClient implements Closeable {
        /** A received frame: the first byte of its payload as {@code code}, the others as {@code rest}. */
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

        /** Builds a payload from the body and fields, given as name, value, name, value. */
        public static byte[] payload(String body, String... fields) {
            return StubFrames.payload(body.getBytes(StandardCharsets.ISO_8859_1), fields);
        }

        /** Builds an exchange that arrives now. */
        public static byte[] exchange(int stream, String group, String id, String body) {
            return exchange(stream, group, id, body, System.currentTimeMillis());
        }

        /** Builds an exchange that arrived at the host at a time in Unix milliseconds. */
        public static byte[] exchange(int stream, String group, String id, String body, long arrivedAtMs) {
            return frame(2, stream, payload(body, "method", group, "rid", id, "t0", Long.toString(arrivedAtMs),
                    "peer", "4", "acct", "acme", "mem", "24.5", "prio", "0.6250"));
        }

        public void send(byte[] bytes) throws IOException {
            out.write(bytes);
        }

        public void sendExchange(int stream, String group, String id, String body) throws IOException {
            send(exchange(stream, group, id, body));
        }

        /** Sends a health check and returns the code of its answer, or -1 if another frame comes. */
        public int checkHealth() throws IOException {
            send(frame(16, 1, payload("")));
            Frame frame = read();
            return frame.type == 32 ? frame.code : -1;
        }

        /** Reads the next frame; null at the end of the connection. */
        public Frame read() throws IOException {
            int length;
            try {
                length = in.readInt();
            } catch (EOFException | SocketException e) {
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
