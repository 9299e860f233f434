package vetchrill.tool;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import vetchrill.fleet.DeploymentSettings;
import vetchrill.fleet.Fleet;
import vetchrill.protocol.DeploymentReader;
import vetchrill.files.Folders;
import vetchrill.standin.FakeInterpreter;
import vetchrill.standin.FakeMembershipService;
import vetchrill.standin.Ports;
import vetchrill.standin.StubFrames;

/**
 * Compares the core time per exchange of an instance between two builds. Both run in turn, pinned to one core, at their
 * maximum throughput, with runs that take no time.
 */
@Command(name = "cost", mixinStandardHelpOptions = true,
        description = "Measure the core time per exchange of two jars, by number of connections: an instance of each "
                + "in turn, pinned to one core and saturated.")
final class CostCommand implements Callable<Integer> {
    private static final int EXCHANGES_PER_CONNECTION = 8;
    private static final int WARM_UP_MS = 2_000;

    @Parameters(index = "0", paramLabel = "THEN", description = "The jar of the old instance.")
    private Path oldJar;

    @Parameters(index = "1", paramLabel = "NOW", description = "The jar of the new instance.")
    private Path newJar;

    @Option(names = "--commit", defaultValue = "?",
            description = "The commit of the old jar, for the last line.")
    private String commit;

    @Option(names = "--connections", split = ",", defaultValue = "1,4,16,40", description = "Numbers of "
            + "connections, with " + EXCHANGES_PER_CONNECTION + " open exchanges each (${DEFAULT-VALUE}).")
    private List<Integer> connections;

    @Option(names = "--rounds", defaultValue = "5", description = "Rounds per jar (${DEFAULT-VALUE}).")
    private int rounds;

    @Option(names = "--seconds", defaultValue = "3",
            description = "Measured seconds of each round (${DEFAULT-VALUE}).")
    private int seconds;

    @Option(names = "--java", paramLabel = "OPTION", description = "Additional JVM options of the instances.")
    private List<String> javaOptions = List.of();

    @Option(names = "--audit", description = "Run the new jar with versions and an audit log, as configured in an "
            + "operator file, and with unreachable peers.")
    private boolean audit;

    @Override
    public Integer call() throws IOException, InterruptedException {
        double[] medianSums = new double[2];
        System.out.println("core time per exchange in us: minimum, median and maximum over the rounds of each jar");
        for (int connectionCount : connections) {
            double[][] coreTimesUs = new double[2][rounds];
            for (int round = 0; round < rounds; round++) {
                // The jars alternate, so that other load on the machine affects both and neither is always first.
                for (int i = 0; i < 2; i++) {
                    int jarIndex = (round + i) % 2;
                    coreTimesUs[jarIndex][round] = measureCoreTimeUs(jarIndex == 0 ? oldJar : newJar, connectionCount,
                            audit && jarIndex == 1);
                }
            }
            for (int i = 0; i < 2; i++) {
                Arrays.sort(coreTimesUs[i]);
                medianSums[i] += coreTimesUs[i][rounds / 2];
            }
            System.out.printf(Locale.ROOT,
                    "%3d connections: then %.2f %.2f %.2f, now %.2f %.2f %.2f, ratio %.3f%n", connectionCount,
                    coreTimesUs[0][0], coreTimesUs[0][rounds / 2], coreTimesUs[0][rounds - 1],
                    coreTimesUs[1][0], coreTimesUs[1][rounds / 2], coreTimesUs[1][rounds - 1],
                    coreTimesUs[1][rounds / 2] / coreTimesUs[0][rounds / 2]);
        }
        System.out.printf(Locale.ROOT, "measure cost: commit=%s us_then=%.2f us_now=%.2f ratio=%.3f%n", commit,
                medianSums[0] / connections.size(), medianSums[1] / connections.size(), medianSums[1] / medianSums[0]);
        return 0;
    }

    private static Path writeOperatorFile() throws IOException {
        Path folder = Files.createTempDirectory("vetchrill-cost");
        Path file = folder.resolve("operator.hcl");
        Files.writeString(file, String.format("peers {%n  listen = \"127.0.0.1:%d\"%n}%nversions {%n"
                + "  directory = \"%s\"%n  keepers = [\"f\"]%n}%naudit {%n  directory = \"%s\"%n}%n", Ports.findFree(),
                folder.resolve("state"), folder.resolve("audit")));
        return file;
    }

    private double measureCoreTimeUs(Path jar, int connections, boolean audited) throws IOException,
            InterruptedException {
        Fleet fleet = TryCommand.smallFleet();
        CountDownLatch started = new CountDownLatch(1);
        FakeInterpreter[] interpreter = new FakeInterpreter[1];
        interpreter[0] = new FakeInterpreter(new FakeInterpreter.CommandHandler() {
            @Override
            public void apply(String id, String group, byte[] body) {
                interpreter[0].sendValue(id, "good", 1, body);
            }

            @Override
            public String gauges() {
                return "0.1 0 0 0";
            }
        }, false);
        int port = Ports.findFree();
        Path file = Files.createTempFile("vetchrill-flood", ".json");
        FakeMembershipService membership = new FakeMembershipService((name, state, call) -> started.countDown());
        ObjectNode config = DeploymentReader.JSON.createObjectNode();
        config.put("name", "f").put("listen", "127.0.0.1:" + port).put("vm", "127.0.0.1:" + interpreter[0].port())
                .put("members", "127.0.0.1:" + membership.port()).put("seed", "1").put("stop_ms", 1_000);
        config.putObject("limits").put("cores", 1.0).put("memory_mb", 192).put("sockets", 512);
        config.set("settings", DeploymentSettings.of(fleet, fleet.kinds.get(0), false));
        Files.writeString(file, config.toString());
        List<String> command = new ArrayList<>(List.of("taskset", "-c", "0",
                System.getProperty("java.home") + "/bin/java", "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1", "-Xms16m", "-Xmx72m", "-XX:StackShadowPages=10",
                "-XX:-UsePerfData"));
        command.addAll(javaOptions);
        Path operatorFile = audited ? writeOperatorFile() : null;
        if (operatorFile == null) {
            command.addAll(List.of("-jar", jar.toString(), "serve"));
        } else {
            command.addAll(List.of("--add-opens=java.base/java.nio=ALL-UNNAMED", "-cp",
                    System.getProperty("java.class.path"), "vetchrill.tool.Vetchrill", "serve", "--operator",
                    operatorFile.toString()));
        }
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("GW_CONFIG", file.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.DISCARD);
        Process process = builder.start();
        List<Socket> sockets = new ArrayList<>();
        try {
            if (!started.await(20, TimeUnit.SECONDS)) {
                throw new IOException(jar + " did not start in time");
            }
            AtomicLong answered = new AtomicLong();
            AtomicLong ids = new AtomicLong();
            for (int i = 0; i < connections; i++) {
                Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                Thread thread = new Thread(() -> runConnection(socket, fleet, ids, answered));
                thread.setDaemon(true);
                thread.start();
            }
            Thread.sleep(WARM_UP_MS);
            long answeredBefore = answered.get();
            long cpuBefore = cpuNanos(process);
            Thread.sleep(seconds * 1_000L);
            long completed = answered.get() - answeredBefore;
            return (cpuNanos(process) - cpuBefore) / 1e3 / Math.max(1, completed);
        } finally {
            process.destroyForcibly().waitFor();
            for (Socket socket : sockets) {
                socket.close();
            }
            interpreter[0].close();
            membership.close();
            Files.delete(file);
            if (operatorFile != null) {
                Folders.deleteRecursively(operatorFile.getParent());
            }
        }
    }

    private static long cpuNanos(Process process) {
        return process.info().totalCpuDuration().orElseThrow().toNanos();
    }

    private static void runConnection(Socket socket, Fleet fleet, AtomicLong ids, AtomicLong answered) {
        try (DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()))) {
            int stream = 0;
            for (int i = 0; i < EXCHANGES_PER_CONNECTION; i++) {
                sendExchange(socket, fleet, ids, ++stream);
            }
            for (StubFrames.Frame frame = StubFrames.read(in); frame != null; frame = StubFrames.read(in)) {
                if (frame.type() == StubFrames.ANSWER) {
                    answered.incrementAndGet();
                    sendExchange(socket, fleet, ids, ++stream);
                }
            }
        } catch (IOException e) {
            // The socket is closed at the end of the round.
        }
    }

    private static void sendExchange(Socket socket, Fleet fleet, AtomicLong ids, int stream) throws IOException {
        socket.getOutputStream().write(StubFrames.frame(StubFrames.EXCHANGE, stream, StubFrames.payload(new byte[200],
                "method", fleet.groups.get(0).name(), "rid", String.format("%016x", ids.incrementAndGet()), "t0",
                Long.toString(System.currentTimeMillis()), "peer", "1", "acct", fleet.customers.get(0).name(), "mem",
                "0.1", "prio", "0.5")));
    }
}
