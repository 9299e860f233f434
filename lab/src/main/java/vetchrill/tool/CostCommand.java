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
import vetchrill.fleet.Briefing;
import vetchrill.fleet.Fleet;
import vetchrill.protocol.DeploymentReader;
import vetchrill.files.Folders;
import vetchrill.standin.Interpreter;
import vetchrill.standin.Membership;
import vetchrill.standin.Ports;
import vetchrill.standin.StubFrames;

/**
 * What one exchange costs an instance, of the text of an earlier commit against today's: each in turn, held to one
 * core, as many as it can do, runs that take no time.
 */
@Command(name = "cost", mixinStandardHelpOptions = true,
        description = "Flood an instance of each of two jars in turn, each held to one core; core time an exchange of "
                + "both, by connections.")
final class CostCommand implements Callable<Integer> {
    private static final int OPEN = 8;
    private static final int WARM_UP_MS = 2_000;

    @Parameters(index = "0", paramLabel = "THEN", description = "The instance's jar as it was.")
    private Path then;

    @Parameters(index = "1", paramLabel = "NOW", description = "And as it is.")
    private Path now;

    @Option(names = "--commit", defaultValue = "?",
            description = "What the first one was built from, for the last line.")
    private String commit;

    @Option(names = "--connections", split = ",", defaultValue = "1,4,16,40", description = "With "
            + OPEN + " exchanges open on each (${DEFAULT-VALUE}).")
    private List<Integer> connections;

    @Option(names = "--rounds", defaultValue = "5", description = "Of each jar (${DEFAULT-VALUE}).")
    private int rounds;

    @Option(names = "--seconds", defaultValue = "3", description = "Of each round that are counted (${DEFAULT-VALUE}).")
    private int seconds;

    @Option(names = "--java", paramLabel = "OPTION", description = "Further options of the instances' runtime.")
    private List<String> further = List.of();

    @Option(names = "--audit", description = "The second one with versions and a record, as an operator's file says, "
            + "and with peers that are not there.")
    private boolean audit;

    @Override
    public Integer call() throws IOException, InterruptedException {
        double[] sums = new double[2];
        System.out.println("core time an exchange in us: the least, the middle and the most of the rounds of each");
        for (int open : connections) {
            double[][] us = new double[2][rounds];
            for (int round = 0; round < rounds; round++) {
                // Whatever else the machine does falls on both, and neither is always the first.
                for (int i = 0; i < 2; i++) {
                    int which = (round + i) % 2;
                    us[which][round] = flood(which == 0 ? then : now, open, audit && which == 1);
                }
            }
            for (int i = 0; i < 2; i++) {
                Arrays.sort(us[i]);
                sums[i] += us[i][rounds / 2];
            }
            System.out.printf(Locale.ROOT,
                    "%3d connections: then %.2f %.2f %.2f, now %.2f %.2f %.2f, ratio %.3f%n", open, us[0][0],
                    us[0][rounds / 2], us[0][rounds - 1], us[1][0], us[1][rounds / 2], us[1][rounds - 1],
                    us[1][rounds / 2] / us[0][rounds / 2]);
        }
        System.out.printf(Locale.ROOT, "measure cost: commit=%s us_then=%.2f us_now=%.2f ratio=%.3f%n", commit,
                sums[0] / connections.size(), sums[1] / connections.size(), sums[1] / sums[0]);
        return 0;
    }

    private static Path operator() throws IOException {
        Path folder = Files.createTempDirectory("vetchrill-cost");
        Path file = folder.resolve("operator.hcl");
        Files.writeString(file, String.format("peers {%n  listen = \"127.0.0.1:%d\"%n}%nversions {%n"
                + "  directory = \"%s\"%n  keepers = [\"f\"]%n}%naudit {%n  directory = \"%s\"%n}%n", Ports.free(),
                folder.resolve("state"), folder.resolve("audit")));
        return file;
    }

    private double flood(Path jar, int connections, boolean audited) throws IOException, InterruptedException {
        Fleet fleet = TryCommand.small();
        CountDownLatch up = new CountDownLatch(1);
        Interpreter[] interpreter = new Interpreter[1];
        interpreter[0] = new Interpreter(new Interpreter.Work() {
            @Override
            public void apply(String id, String group, byte[] body) {
                interpreter[0].value(id, "good", 1, body);
            }

            @Override
            public String gauges() {
                return "0.1 0 0 0";
            }
        }, false);
        int port = Ports.free();
        Path file = Files.createTempFile("vetchrill-flood", ".json");
        Membership membership = new Membership((name, is, call) -> up.countDown());
        ObjectNode told = DeploymentReader.JSON.createObjectNode();
        told.put("name", "f").put("listen", "127.0.0.1:" + port).put("vm", "127.0.0.1:" + interpreter[0].port())
                .put("members", "127.0.0.1:" + membership.port()).put("seed", "1").put("stop_ms", 1_000);
        told.putObject("limits").put("cores", 1.0).put("memory_mb", 192).put("sockets", 512);
        told.set("settings", Briefing.of(fleet, fleet.kinds.get(0), false));
        Files.writeString(file, told.toString());
        List<String> command = new ArrayList<>(List.of("taskset", "-c", "0",
                System.getProperty("java.home") + "/bin/java", "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1", "-Xms16m", "-Xmx72m", "-XX:StackShadowPages=10",
                "-XX:-UsePerfData"));
        command.addAll(further);
        Path operator = audited ? operator() : null;
        if (operator == null) {
            command.addAll(List.of("-jar", jar.toString(), "serve"));
        } else {
            command.addAll(List.of("--add-opens=java.base/java.nio=ALL-UNNAMED", "-cp",
                    System.getProperty("java.class.path"), "vetchrill.tool.Vetchrill", "serve", "--operator",
                    operator.toString()));
        }
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("GW_CONFIG", file.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.DISCARD);
        Process process = builder.start();
        List<Socket> sockets = new ArrayList<>();
        try {
            if (!up.await(20, TimeUnit.SECONDS)) {
                throw new IOException(jar + " does not come up");
            }
            AtomicLong answered = new AtomicLong();
            AtomicLong ids = new AtomicLong();
            for (int i = 0; i < connections; i++) {
                Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                Thread thread = new Thread(() -> talk(socket, fleet, ids, answered));
                thread.setDaemon(true);
                thread.start();
            }
            Thread.sleep(WARM_UP_MS);
            long before = answered.get();
            long cpuBefore = cpuNanos(process);
            Thread.sleep(seconds * 1_000L);
            long done = answered.get() - before;
            return (cpuNanos(process) - cpuBefore) / 1e3 / Math.max(1, done);
        } finally {
            process.destroyForcibly().waitFor();
            for (Socket socket : sockets) {
                socket.close();
            }
            interpreter[0].close();
            membership.close();
            Files.delete(file);
            if (operator != null) {
                Folders.remove(operator.getParent());
            }
        }
    }

    private static long cpuNanos(Process process) {
        return process.info().totalCpuDuration().orElseThrow().toNanos();
    }

    private static void talk(Socket socket, Fleet fleet, AtomicLong ids, AtomicLong answered) {
        try (DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()))) {
            int stream = 0;
            for (int i = 0; i < OPEN; i++) {
                ask(socket, fleet, ids, ++stream);
            }
            for (StubFrames.Frame frame = StubFrames.read(in); frame != null; frame = StubFrames.read(in)) {
                if (frame.type() == StubFrames.ANSWER) {
                    answered.incrementAndGet();
                    ask(socket, fleet, ids, ++stream);
                }
            }
        } catch (IOException e) {
            // The round is over.
        }
    }

    private static void ask(Socket socket, Fleet fleet, AtomicLong ids, int stream) throws IOException {
        socket.getOutputStream().write(StubFrames.frame(StubFrames.EXCHANGE, stream, StubFrames.payload(new byte[200],
                "method", fleet.groups.get(0).name(), "rid", String.format("%016x", ids.incrementAndGet()), "t0",
                Long.toString(System.currentTimeMillis()), "peer", "1", "acct", fleet.customers.get(0).name(), "mem",
                "0.1", "prio", "0.5")));
    }
}
