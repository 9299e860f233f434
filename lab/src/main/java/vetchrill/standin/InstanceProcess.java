package vetchrill.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.Closeable;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import vetchrill.fleet.DeploymentSettings;
import vetchrill.fleet.Fleet;
import vetchrill.fleet.Fleet.MachineKind;
import vetchrill.protocol.DeploymentReader;

/**
 * One instance of the fleet of a {@link FleetTestRig}: its emulated machine, its fake interpreter and the real instance
 * process, which can be restarted.
 */
final class InstanceProcess implements Closeable {
    /** What the fake interpreter has to know of an exchange that may be sent to it. */
    static final class ExpectedExchange {
        private final double coreTime;
        private final byte[] body;
        private final boolean mutating;
        /** The attempt has ended for its stub: no run is started for it any more. */
        volatile boolean attemptEnded;
        private boolean started;
        private boolean running;

        ExpectedExchange(double coreTime, byte[] body, boolean mutating) {
            this.coreTime = coreTime;
            this.body = body;
            this.mutating = mutating;
        }
    }

    private static final int EXIT_TIMEOUT_S = 5;
    private static final long SEED_STEP_PER_INCARNATION = 977;

    private final Fleet fleet;
    private final Path folder;
    private final int membershipPort;
    /** Flush interval of the capture; 0 to record none. */
    private final int captureFlushMs;
    final int number;
    final int zone;
    final MachineKind kind;
    final String name;
    final int port;
    final EmulatedMachine machine;
    /** The exchanges that were sent or are being sent to this instance, by id. */
    final ConcurrentHashMap<String, ExpectedExchange> expectedExchanges = new ConcurrentHashMap<>();
    volatile int duplicateRuns;
    volatile int corruptedBodies;
    private FakeInterpreter interpreter;
    volatile Process process;
    /** Counts the processes of this instance, so that events of an earlier one can be ignored. */
    volatile int incarnation;
    private final long seed;

    InstanceProcess(Fleet fleet, Path folder, int membershipPort, int captureFlushMs, int number, int zone,
            MachineKind kind, long seed) throws IOException {
        this.fleet = fleet;
        this.folder = folder;
        this.membershipPort = membershipPort;
        this.captureFlushMs = captureFlushMs;
        this.number = number;
        this.zone = zone;
        this.kind = kind;
        this.seed = seed;
        name = "r" + (number + 1);
        machine = new EmulatedMachine(kind);
        port = Ports.findFree();
    }

    /** Starts a process; its configuration and its log are left in the rig's folder. */
    synchronized void start(boolean cold) throws IOException {
        incarnation++;
        int thisIncarnation = incarnation;
        if (interpreter != null) {
            interpreter.close();
        }
        interpreter = new FakeInterpreter(new FakeInterpreter.CommandHandler() {
            private boolean connectedBefore;

            @Override
            public void apply(String id, String group, byte[] body) throws IOException {
                InstanceProcess.this.apply(thisIncarnation, id, body);
            }

            @Override
            public String gauges() {
                double[] gauges = machine.sampleGauges();
                return String.format(Locale.ROOT, "%.4f %.0f 0 0", gauges[0], gauges[1]);
            }

            @Override
            public boolean onConnect(int lastRead) {
                if (cold && !connectedBefore) {
                    machine.restart(true);
                }
                connectedBefore = true;
                return true;
            }
        }, cold);
        ObjectNode config = DeploymentReader.JSON.createObjectNode();
        config.put("name", name).put("listen", "127.0.0.1:" + port).put("vm", "127.0.0.1:" + interpreter.port())
                .put("members", "127.0.0.1:" + membershipPort)
                .put("seed", String.format("%016x", seed + SEED_STEP_PER_INCARNATION * incarnation))
                .put("stop_ms", fleet.rules.stopTimeout() / 10);
        config.putObject("limits").put("cores", 1.0).put("memory_mb", 192).put("sockets", kind.descriptors());
        config.set("settings", DeploymentSettings.of(fleet, kind, false));
        Path configFile = folder.resolve(name + "-" + incarnation + ".json");
        Files.writeString(configFile, config.toString());
        List<String> command = new ArrayList<>(List.of(System.getProperty("java.home") + "/bin/java",
                "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xshare:auto", "-Xms16m", "-Xmx96m",
                "--add-opens=java.base/java.nio=ALL-UNNAMED", "-cp", classPath()));
        if (captureFlushMs > 0) {
            Path operatorFile = folder.resolve(name + ".hcl");
            Files.writeString(operatorFile, "capture {\n  directory = \"" + folder.resolve("captures")
                    + "\"\n  zone = \"" + fleet.zones.get(zone).name() + "\"\n  kind = \"" + kind.name()
                    + "\"\n  subject_key = \"000102030405060708090a0b0c0d0e0f\"\n  flush_ms = " + captureFlushMs
                    + "\n}\n");
            command.addAll(List.of("vetchrill.tool.Vetchrill", "serve", "--operator", operatorFile.toString()));
        } else {
            command.addAll(List.of("vetchrill.Main", "serve"));
        }
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("GW_CONFIG", configFile.toString());
        builder.environment().remove("GW_NAME");
        builder.environment().remove("GW_LISTEN");
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        process = builder.start();
    }

    /** Surefire starts tests with a jar that refers to the real class path; its property holds the latter. */
    static String classPath() {
        return System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
    }

    private void apply(int ofIncarnation, String id, byte[] body) throws IOException {
        ExpectedExchange exchange = expectedExchanges.get(id);
        FakeInterpreter linkedInterpreter = interpreter;
        if (exchange == null || ofIncarnation != incarnation) {
            linkedInterpreter.write("ERROR APPLY " + id + "\r\n");
            return;
        }
        if (!Arrays.equals(body, exchange.body)) {
            corruptedBodies++;
        }
        synchronized (exchange) {
            if (exchange.running) {
                return;
            }
            if (exchange.attemptEnded) {
                linkedInterpreter.sendValue(id, "gone", 0, new byte[0]);
                return;
            }
            if (exchange.started && exchange.mutating) {
                duplicateRuns++;
                return;
            }
            exchange.started = true;
            exchange.running = true;
        }
        long startNanos = System.nanoTime();
        machine.execute(exchange.coreTime, () -> {
            if (ofIncarnation == incarnation) {
                synchronized (exchange) {
                    exchange.running = false;
                }
                linkedInterpreter.sendValue(id, "good", (System.nanoTime() - startNanos) / 100_000, resultOf(id));
            }
        });
    }

    /** The result that the fake interpreter sends for an exchange. */
    static byte[] resultOf(String id) {
        return ("result of " + id).getBytes(StandardCharsets.US_ASCII);
    }

    boolean isUp() {
        Process current = process;
        return current != null && current.isAlive();
    }

    /** Kills the process and its interpreter without a shutdown, as when the machine fails. */
    synchronized void kill() throws IOException {
        incarnation++;
        if (process != null) {
            process.destroyForcibly();
        }
        if (interpreter != null) {
            interpreter.close();
        }
        machine.restart(false);
    }

    /** Closes the link to the interpreter; the instance opens it again. */
    void closeInterpreterLink() throws IOException {
        interpreter.closeLink();
    }

    /** Sends SIGTERM, on which the instance drains and exits. */
    void drain() {
        process.toHandle().destroy();
    }

    @Override
    public void close() throws IOException {
        incarnation++;
        machine.close();
        if (process != null) {
            process.destroyForcibly();
            try {
                process.waitFor(EXIT_TIMEOUT_S, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (interpreter != null) {
            interpreter.close();
        }
    }

    /** Drains the process if it runs, so that its capture is complete. */
    void shutDown() {
        if (process != null && process.isAlive()) {
            drain();
        }
    }
}
