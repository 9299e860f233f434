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
import vetchrill.standin.Interpreter;
import vetchrill.standin.Membership;
import vetchrill.standin.Ports;
import vetchrill.standin.StubFrames;

/** What one exchange costs an instance, of one text against another: as many as it can do, runs that take no time. */
@Command(name = "flood", mixinStandardHelpOptions = true, hidden = true,
        description = "Flood an instance of each jar in turn; completed a second, and CPU for each.")
final class FloodCommand implements Callable<Integer> {
    private static final int CONNECTIONS = 8;
    private static final int OPEN = 8;

    @Parameters(arity = "1..*", paramLabel = "JAR", description = "Jars of the instance.")
    private List<Path> jars;

    @Option(names = "--rounds", defaultValue = "4", description = "Of each jar (${DEFAULT-VALUE}).")
    private int rounds;

    @Option(names = "--seconds", defaultValue = "5", description = "Of each round that are counted (${DEFAULT-VALUE}).")
    private int seconds;

    @Override
    public Integer call() throws IOException, InterruptedException {
        double[][] perS = new double[jars.size()][rounds];
        double[][] cpu = new double[jars.size()][rounds];
        for (int round = 0; round < rounds; round++) {
            for (int i = 0; i < jars.size(); i++) {
                double[] one = flood(jars.get(i));
                perS[i][round] = one[0];
                cpu[i][round] = one[1];
            }
        }
        for (int i = 0; i < jars.size(); i++) {
            Arrays.sort(perS[i]);
            Arrays.sort(cpu[i]);
            System.out.printf(Locale.ROOT,
                    "%s: %.0f completed a second (%.0f to %.0f), %.1f us of CPU each (%.1f to %.1f)%n",
                    jars.get(i), perS[i][rounds / 2], perS[i][0], perS[i][rounds - 1], cpu[i][rounds / 2], cpu[i][0],
                    cpu[i][rounds - 1]);
        }
        return 0;
    }

    private double[] flood(Path jar) throws IOException, InterruptedException {
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
        ProcessBuilder builder = new ProcessBuilder(System.getProperty("java.home") + "/bin/java", "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1", "-Xms16m", "-Xmx72m", "-XX:StackShadowPages=10", "-XX:-UsePerfData", "-jar",
                jar.toString(), "serve");
        builder.environment().put("GW_CONFIG", file.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.DISCARD);
        Process process = builder.start();
        List<Socket> sockets = new ArrayList<>();
        try {
            if (!up.await(20, TimeUnit.SECONDS)) {
                throw new IOException(jar + " does not come up");
            }
            AtomicLong completed = new AtomicLong();
            AtomicLong ids = new AtomicLong();
            for (int i = 0; i < CONNECTIONS; i++) {
                Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                Thread thread = new Thread(() -> talk(socket, fleet, ids, completed));
                thread.setDaemon(true);
                thread.start();
            }
            Thread.sleep(2_000);
            long before = completed.get();
            long cpuBefore = cpuNanos(process);
            Thread.sleep(seconds * 1_000L);
            long done = completed.get() - before;
            return new double[] {done / (double) seconds, (cpuNanos(process) - cpuBefore) / 1e3 / Math.max(1, done)};
        } finally {
            process.destroyForcibly().waitFor();
            for (Socket socket : sockets) {
                socket.close();
            }
            interpreter[0].close();
            membership.close();
            Files.delete(file);
        }
    }

    private static long cpuNanos(Process process) {
        return process.info().totalCpuDuration().orElseThrow().toNanos();
    }

    private static void talk(Socket socket, Fleet fleet, AtomicLong ids, AtomicLong completed) {
        try (DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()))) {
            int stream = 0;
            for (int i = 0; i < OPEN; i++) {
                ask(socket, fleet, ids, ++stream);
            }
            for (StubFrames.Frame frame = StubFrames.read(in); frame != null; frame = StubFrames.read(in)) {
                if (frame.type() == StubFrames.ANSWER) {
                    if (frame.code() == StubFrames.COMPLETED) {
                        completed.incrementAndGet();
                    }
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
