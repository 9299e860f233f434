package vetchrill.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.Closeable;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import vetchrill.fleet.Briefing;
import vetchrill.fleet.Fleet;
import vetchrill.fleet.Fleet.Kind;
import vetchrill.protocol.DeploymentReader;

/**
 * Where one relay stands: its machine, its interpreter, and the real instance, which may be started again and again.
 */
final class Seat implements Closeable {
    /** What the interpreter needs to know of an exchange that may come to it. */
    static final class Due {
        private final double work;
        private final byte[] body;
        private final boolean mutating;
        /** Its try has ended for its stub: nothing is started for it any more. */
        volatile boolean over;
        private boolean begun;
        private boolean running;

        Due(double work, byte[] body, boolean mutating) {
            this.work = work;
            this.body = body;
            this.mutating = mutating;
        }
    }

    private final Fleet fleet;
    private final Path folder;
    private final int membership;
    /** Milliseconds until what an instance records is in its file; 0 where nothing is recorded. */
    private final int flush;
    final int number;
    final int zone;
    final Kind kind;
    final String name;
    final int port;
    final Machine machine;
    /** By id, what came or is on its way to this relay. */
    final ConcurrentHashMap<String, Due> due = new ConcurrentHashMap<>();
    volatile int doubleRuns;
    volatile int changedBodies;
    private Interpreter interpreter;
    volatile Process process;
    /** Counts its processes; what belongs to an earlier one is over. */
    volatile int life;
    private final long seed;

    Seat(Fleet fleet, Path folder, int membership, int flush, int number, int zone, Kind kind, long seed)
            throws IOException {
        this.fleet = fleet;
        this.folder = folder;
        this.membership = membership;
        this.flush = flush;
        this.number = number;
        this.zone = zone;
        this.kind = kind;
        this.seed = seed;
        name = "r" + (number + 1);
        machine = new Machine(kind);
        port = Ports.free();
    }

    /** Starts a process; what it is told and what it logs stay in the rig's folder. */
    synchronized void start(boolean cold) throws IOException {
        life++;
        int of = life;
        if (interpreter != null) {
            interpreter.close();
        }
        interpreter = new Interpreter(new Interpreter.Work() {
            private boolean asked;

            @Override
            public void apply(String id, String group, byte[] body) throws IOException {
                Seat.this.apply(of, id, body);
            }

            @Override
            public String gauges() {
                double[] now = machine.gauges();
                return String.format(Locale.ROOT, "%.4f %.0f 0 0", now[0], now[1]);
            }

            @Override
            public boolean connected(int lastRead) {
                if (cold && !asked) {
                    machine.start(true);
                }
                asked = true;
                return true;
            }
        }, cold);
        ObjectNode told = DeploymentReader.JSON.createObjectNode();
        told.put("name", name).put("listen", "127.0.0.1:" + port).put("vm", "127.0.0.1:" + interpreter.port())
                .put("members", "127.0.0.1:" + membership).put("seed", String.format("%016x", seed + 977L * life))
                .put("stop_ms", fleet.rules.stop() / 10);
        told.putObject("limits").put("cores", 1.0).put("memory_mb", 192).put("sockets", kind.descriptors());
        told.set("settings", Briefing.of(fleet, kind, false));
        Path file = folder.resolve(name + "-" + life + ".json");
        Files.writeString(file, told.toString());
        List<String> command = new ArrayList<>(List.of(System.getProperty("java.home") + "/bin/java",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1", "-Xshare:auto", "-Xms16m", "-Xmx96m",
                "--add-opens=java.base/java.nio=ALL-UNNAMED", "-cp", classPath()));
        if (flush > 0) {
            Path operator = folder.resolve(name + ".hcl");
            Files.writeString(operator, "capture {\n  directory = \"" + folder.resolve("captures") + "\"\n  zone = \""
                    + fleet.zones.get(zone).name() + "\"\n  kind = \"" + kind.name()
                    + "\"\n  subject_key = \"000102030405060708090a0b0c0d0e0f\"\n  flush_ms = " + flush + "\n}\n");
            command.addAll(List.of("vetchrill.tool.Vetchrill", "serve", "--operator", operator.toString()));
        } else {
            command.addAll(List.of("vetchrill.Main", "serve"));
        }
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("GW_CONFIG", file.toString());
        builder.environment().remove("GW_NAME");
        builder.environment().remove("GW_LISTEN");
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        process = builder.start();
    }

    /** Tests run on the class path of their runner's own, which hides it behind a jar. */
    static String classPath() {
        return System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
    }

    private void apply(int of, String id, byte[] body) throws IOException {
        Due each = due.get(id);
        Interpreter to = interpreter;
        if (each == null || of != life) {
            to.write("ERROR APPLY " + id + "\r\n");
            return;
        }
        if (!java.util.Arrays.equals(body, each.body)) {
            changedBodies++;
        }
        synchronized (each) {
            if (each.running) {
                return;
            }
            if (each.over) {
                to.value(id, "gone", 0, new byte[0]);
                return;
            }
            if (each.begun && each.mutating) {
                doubleRuns++;
                return;
            }
            each.begun = true;
            each.running = true;
        }
        long began = System.nanoTime();
        machine.work(each.work, () -> {
            if (of == life) {
                synchronized (each) {
                    each.running = false;
                }
                to.value(id, "good", (System.nanoTime() - began) / 100_000, result(id));
            }
        });
    }

    static byte[] result(String id) {
        return ("result of " + id).getBytes(StandardCharsets.US_ASCII);
    }

    boolean up() {
        Process now = process;
        return now != null && now.isAlive();
    }

    /** As its machine goes: with no word to anybody. */
    synchronized void kill() throws IOException {
        life++;
        if (process != null) {
            process.destroyForcibly();
        }
        if (interpreter != null) {
            interpreter.close();
        }
        machine.start(false);
    }

    /** The interpreter's link, which the instance opens again. */
    void cutLink() throws IOException {
        interpreter.cut();
    }

    void drain() {
        process.toHandle().destroy();
    }

    @Override
    public void close() throws IOException {
        life++;
        machine.close();
        if (process != null) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (interpreter != null) {
            interpreter.close();
        }
    }

    /** Ends it in its order, so that what it recorded is whole. */
    void end() {
        if (process != null && process.isAlive()) {
            drain();
        }
    }
}
