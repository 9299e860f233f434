package vetchrill.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.FileSystem;
import java.nio.file.FileSystems;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import vetchrill.audit.AuditSegments;
import vetchrill.files.Folders;
import vetchrill.peering.Program;
import vetchrill.peers.PeerClient;
import vetchrill.protocol.DeploymentReader;

/**
 * A fleet of real processes that agree on versions and keep a record, with a faulty way between each ordered pair of
 * them, under load. Interpreters and stubs count for themselves what was begun and answered, and when. Settings of
 * versions of an even number make each exchange late on arrival, as the stubs stamp them; so the answer shows by which
 * kind of version it was really decided.
 */
public final class AuditRig implements Closeable {
    public static final int LEASE_MS = 1_000;
    public static final int FLUSH_MS = 30;
    private static final int STAMPED_BEFORE_MS = 1_000;
    private static final int PATIENCE_S = 30;
    private static final String SETTINGS = "{\"categories\":["
            + "{\"name\":\"look\",\"effect\":\"free\",\"aimMs\":AIM,\"deadlineMs\":30000,\"gain\":GAIN},"
            + "{\"name\":\"note\",\"effect\":\"single_shot\",\"aimMs\":AIM,\"deadlineMs\":30000,\"gain\":3}],"
            + "\"customers\":[{\"name\":\"acme\",\"allowancePerS\":100}],\"servers\":1,"
            + "\"familyInfo\":{\"cores\":4,\"callers\":1,\"ramKb\":100000,\"runMemFactor\":2,\"idleMs\":15000,"
            + "\"listFollows\":true,\"meters\":[\"cpu_busy\",\"runnable\",\"mem_used\",\"sockets\"]},"
            + "\"guarantees\":{\"fallMultiple\":8,\"stopSendingWithinMs\":500},"
            + "\"limits\":{\"maxRetryAfterMs\":1000}}";

    /** What a stub saw of one exchange: the code of its answer, 0 where none came. */
    public record Answered(int place, long id, boolean mutating, int code, long atNanos) {
    }

    /** What an interpreter saw. */
    public record Applied(int place, long id, long atNanos) {
    }

    /** A floor that was confirmed to the one who ordered it, at the latest. */
    public record Confirmed(long floor, long atNanos) {
    }

    /** The process of one place went, without a word or in its order. */
    public record Gone(int place, long atNanos, boolean diskLost, boolean torn) {
    }

    private final int size;
    private final int keepers;
    private final Path folder;
    private final int[] ports;
    private final int[] peerPorts;
    private final Between[][] ways;
    private final Interpreter[] interpreters;
    private final Process[] processes;
    private final Membership membership;
    private final List<Closeable> open = new ArrayList<>();
    private final SplittableRandom chance;
    public final ConcurrentLinkedQueue<Answered> answered = new ConcurrentLinkedQueue<>();
    public final ConcurrentLinkedQueue<Applied> applied = new ConcurrentLinkedQueue<>();
    public final List<Confirmed> confirmed = new java.util.concurrent.CopyOnWriteArrayList<>();
    public final List<Gone> gone = new ArrayList<>();
    public final ConcurrentHashMap<Integer, Long> stopped = new ConcurrentHashMap<>();
    private final long[] clockOff;
    private final boolean[] diskFull;
    /** What each place runs: null for the program of this rig. */
    private final Path[] releases;
    private final int[] loseAt;
    private volatile boolean loading;
    private final List<Thread> stubs = new ArrayList<>();
    public long number;
    private int lost;
    public int faults;

    public AuditRig(int size, int keepers, Path folder, long seed) throws IOException {
        this.size = size;
        this.keepers = keepers;
        this.folder = folder;
        chance = new SplittableRandom(seed);
        ports = new int[size];
        peerPorts = new int[size];
        ways = new Between[size][size];
        interpreters = new Interpreter[size];
        processes = new Process[size];
        clockOff = new long[size];
        diskFull = new boolean[size];
        releases = new Path[size];
        loseAt = new int[size];
        membership = new Membership((name, up, call) -> { });
        open.add(membership);
        for (int i = 0; i < size; i++) {
            ports[i] = Ports.free();
            peerPorts[i] = Ports.free();
        }
        for (int i = 0; i < size; i++) {
            for (int j = 0; j < size; j++) {
                if (i != j) {
                    ways[i][j] = new Between(loopback(peerPorts[j]));
                    open.add(ways[i][j]);
                }
            }
            int place = i;
            interpreters[i] = new Interpreter(new Interpreter.Work() {
                @Override
                public void apply(String id, String group, byte[] body) {
                    applied.add(new Applied(place, Long.parseUnsignedLong(id, 16), System.nanoTime()));
                    interpreters[place].value(id, "good", 10, new byte[0]);
                }

                @Override
                public String gauges() {
                    return "0.2 1 0.1 1";
                }
            }, false);
            open.add(interpreters[i]);
        }
        for (int i = 0; i < size; i++) {
            start(i);
        }
    }

    private static InetSocketAddress loopback(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    public static String name(int place) {
        return "r" + place;
    }

    private Path home(int place) {
        return folder.resolve(name(place));
    }

    /** Settings as a version of that number has them; {@code gain} makes two of one number differ. */
    public static String settings(long number, int gain) {
        return SETTINGS.replace("AIM", narrow(number) ? "100" : "15000").replace("GAIN", Integer.toString(gain));
    }

    /** Whether by that version what the stubs send is late as it comes. */
    public static boolean narrow(long number) {
        return number > 0 && number % 2 == 0;
    }

    public void start(int place) throws IOException {
        Files.createDirectories(home(place));
        Path config = writeConfig(place);
        StringBuilder file = new StringBuilder("peers {\n  listen = \"127.0.0.1:" + peerPorts[place]
                + "\"\n  zone = \"z" + place % 3
                + "\"\n  period_ms = 200\n  answer_ms = 80\n  sync_ms = 400\n");
        for (int j = 0; j < size; j++) {
            if (j != place) {
                file.append("  peer \"").append(name(j)).append("\" { address = \"127.0.0.1:")
                        .append(ways[place][j].address().getPort()).append("\" }\n");
            }
        }
        file.append("}\nversions {\n  directory = \"").append(home(place).resolve("state")).append("\"\n  keepers = [");
        for (int i = 0; i < keepers; i++) {
            file.append(i > 0 ? ", " : "").append('"').append(name(i)).append('"');
        }
        file.append("]\n  lease_ms = " + LEASE_MS + "\n  every_ms = 100\n  behind_ms = 3000\n}\n")
                .append("audit {\n  directory = \"").append(home(place).resolve("audit"))
                .append("\"\n  flush_ms = " + FLUSH_MS + "\n  segment_mb = 0.05\n  most_mb = 200\n}\n");
        Path operator = home(place).resolve("operator.hcl");
        Files.writeString(operator, file);
        rig(place);
        ProcessBuilder builder = new ProcessBuilder(System.getProperty("java.home") + "/bin/java",
                "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xshare:auto", "-Xmx64m",
                "--add-opens=java.base/java.nio=ALL-UNNAMED", "-cp", classPath(place), "vetchrill.tool.Vetchrill",
                "serve", "--operator", operator.toString(), "--rigged", home(place).resolve("rigged").toString());
        builder.environment().put("GW_CONFIG", config.toString());
        builder.environment().remove("GW_NAME");
        builder.environment().remove("GW_LISTEN");
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(home(place).resolve("log").toFile()));
        processes[place] = builder.start();
    }

    private Path writeConfig(int place) throws IOException {
        Path config = home(place).resolve("config.json");
        Files.writeString(config, "{\"name\":\"" + name(place) + "\",\"listen\":\"127.0.0.1:" + ports[place]
                + "\",\"vm\":\"127.0.0.1:" + interpreters[place].port() + "\",\"members\":\"127.0.0.1:"
                + membership.port() + "\",\"seed\":\"8c1f30d27a5be964\",\"stop_ms\":1500,\"limits\":{\"cores\":1.0,"
                + "\"memory_mb\":192,\"sockets\":64},\"settings\":" + settings(0, 1) + "}");
        return config;
    }

    private String classPath(int place) throws IOException {
        return releases[place] == null ? Seat.classPath()
                : Seat.classPath().replace(Program.at().toString(), releases[place].toString());
    }

    /** Another release of the program, which does the same and has another digest; where it lies. */
    public Path release(String name) throws IOException {
        Path from = Program.at();
        Path to = folder.resolve(name);
        if (Files.isRegularFile(from)) {
            Files.copy(from, to);
            try (FileSystem jar = FileSystems.newFileSystem(to)) {
                Files.writeString(jar.getPath("release"), name);
            }
        } else {
            Folders.copy(from, to);
            Files.writeString(to.resolve("release"), name);
        }
        return to;
    }

    /** What that place runs from its next start on. */
    public void install(int place, Path release) {
        releases[place] = release;
    }

    private void rig(int place) throws IOException {
        Files.writeString(home(place).resolve("rigged"), "clock_ms=" + clockOff[place] + " seed=" + chance.nextLong()
                + (loseAt[place] > 0 ? " lose_at=" + loseAt[place] : "") + (diskFull[place] ? " disk=full" : ""));
    }

    /** From its next start on: the power of that place goes at that write point of its store; 0 for never. */
    public void loseAt(int place, int point) {
        loseAt[place] = point;
    }

    /** The power of all of them goes at once. */
    public void powerLoss() throws InterruptedException {
        faults++;
        long at = System.nanoTime();
        for (int i = 0; i < size; i++) {
            processes[i].destroyForcibly();
            gone.add(new Gone(i, at, false, false));
        }
        for (Process each : processes) {
            each.waitFor();
        }
    }

    /** What lies in a place's store now, to be put back on a later day. */
    public void saveDisk(int place, String as) throws IOException {
        Folders.copy(home(place).resolve("state"), folder.resolve(as));
    }

    /** Of one that is down: the disk is of the day on which it was saved so. */
    public void restoreDisk(int place, String as) throws IOException {
        faults++;
        Folders.remove(home(place).resolve("state"));
        Folders.copy(folder.resolve(as), home(place).resolve("state"));
    }

    /** Of two that are down: each has the other's store. */
    public void swapDisks(int one, int other) throws IOException {
        faults++;
        Path aside = folder.resolve("swapping");
        Files.move(home(one).resolve("state"), aside);
        Files.move(home(other).resolve("state"), home(one).resolve("state"));
        Files.move(aside, home(other).resolve("state"));
    }

    /** Of one that is down: an octet in the middle of its longest log is another. */
    public void spoilDisk(int place) throws IOException {
        faults++;
        Path longest = null;
        try (var files = Files.list(home(place).resolve("state"))) {
            for (Path each : files.filter(one -> one.toString().endsWith(".log")).sorted().toList()) {
                longest = longest == null || Files.size(each) > Files.size(longest) ? each : longest;
            }
        }
        byte[] bytes = Files.readAllBytes(longest);
        bytes[bytes.length / 3] ^= 0x41;
        Files.write(longest, bytes);
    }

    // What goes wrong.

    public void kill(int place) throws InterruptedException {
        faults++;
        long at = System.nanoTime();
        processes[place].destroyForcibly().waitFor();
        gone.add(new Gone(place, at, false, false));
    }

    /** Of one that is killed: its disk is gone. What it held is put aside, as found on the old machine. */
    public void loseDisk(int place) throws IOException {
        faults++;
        Path aside = folder.resolve("lost-" + ++lost);
        Files.createDirectories(aside);
        Files.move(home(place).resolve("audit"), aside.resolve("audit"));
        Files.move(home(place).resolve("state"), aside.resolve("state"));
        last(place, true, false);
    }

    /** Of one that is killed: the last octets of its record never came to the disk. */
    public void tear(int place) throws IOException {
        faults++;
        List<Path> files = AuditSegments.filesIn(home(place).resolve("audit"));
        if (!files.isEmpty()) {
            try (FileChannel channel = FileChannel.open(files.get(files.size() - 1), StandardOpenOption.WRITE)) {
                channel.truncate(Math.max(0, channel.size() - 7));
            }
        }
        last(place, false, true);
    }

    private void last(int place, boolean diskLost, boolean torn) {
        for (int i = gone.size() - 1; i >= 0; i--) {
            if (gone.get(i).place() == place) {
                gone.set(i, new Gone(place, gone.get(i).atNanos(), diskLost, torn));
                return;
            }
        }
    }

    public void signal(int place, String name) throws IOException, InterruptedException {
        faults += name.equals("STOP") ? 1 : 0;
        if (name.equals("STOP")) {
            stopped.put(place, System.nanoTime());
        } else {
            stopped.remove(place);
        }
        new ProcessBuilder("kill", "-" + name, Long.toString(processes[place].pid())).start().waitFor();
    }

    /** Two parts that hear each other no more, or hear all again. */
    public void part(int bits, boolean is) {
        faults += is ? 1 : 0;
        for (int i = 0; i < size; i++) {
            for (int j = 0; j < size; j++) {
                if (i != j && (bits >> i & 1) != (bits >> j & 1)) {
                    swallow(i, j, is);
                }
            }
        }
    }

    /** One hears and is not heard, or the reverse. */
    public void mute(int place, boolean there, boolean is) {
        faults += is ? 1 : 0;
        for (int j = 0; j < size; j++) {
            if (j != place) {
                swallow(there ? place : j, there ? j : place, is);
            }
        }
    }

    private void swallow(int i, int j, boolean is) {
        ways[i][j].swallowsThere = is;
        ways[i][j].swallowsBack = is;
    }

    public void delay(int place, int ms) {
        faults += ms > 0 ? 1 : 0;
        for (int j = 0; j < size; j++) {
            if (j != place) {
                ways[place][j].delay = ms;
                ways[j][place].delay = ms;
            }
        }
    }

    public void cut(int place) {
        faults++;
        for (int j = 0; j < size; j++) {
            if (j != place) {
                ways[place][j].cut();
            }
        }
    }

    public void stepClock(int place, long ms) throws IOException {
        faults += ms != 0 ? 1 : 0;
        clockOff[place] = ms;
        rig(place);
    }

    public void fill(int place, boolean is) throws IOException {
        faults += is ? 1 : 0;
        diskFull[place] = is;
        rig(place);
    }

    // What is ordered and asked.

    public JsonNode order(int place, ObjectNode order) throws IOException {
        return DeploymentReader.JSON.readTree(PeerClient.sendOrder(loopback(peerPorts[place]),
                order.toString().getBytes(StandardCharsets.UTF_8)));
    }

    private static ObjectNode fresh(String what) {
        return DeploymentReader.JSON.createObjectNode().put("order", what);
    }

    public JsonNode status(int place) throws IOException {
        return order(place, fresh("status"));
    }

    /** False where it was refused or nobody answers. */
    public boolean publish(int place, long number, int gain) {
        return publish(place, number, gain, "");
    }

    /** The same for one program alone, by its digest. */
    public boolean publish(int place, long number, int gain, String text) {
        try {
            JsonNode answer = order(place, fresh("publish").put("number", number).put("text", text).put("content",
                    settings(number, gain).getBytes(StandardCharsets.UTF_8)));
            this.number = Math.max(this.number, number);
            return !answer.has("error");
        } catch (IOException e) {
            return false;
        }
    }

    /** Orders a floor and does not wait for it; false where it was refused or nobody answers. */
    public boolean orderFloor(int place, long floor) {
        try {
            return !order(place, fresh("floor").put("number", floor)).has("error");
        } catch (IOException e) {
            return false;
        }
    }

    /** Orders a floor, and notes when it is confirmed to whomever answers first; false where it is not in that time. */
    public boolean floor(int place, long floor, int patienceMs) throws InterruptedException {
        long end = System.nanoTime() + patienceMs * 1_000_000L;
        try {
            JsonNode answer = order(place, fresh("floor").put("number", floor));
            while (!answer.has("error") && System.nanoTime() < end) {
                if (answer.path("confirmed").asLong() >= floor) {
                    confirmed.add(new Confirmed(floor, System.nanoTime()));
                    return true;
                }
                Thread.sleep(5);
                answer = status(place);
            }
        } catch (IOException e) {
            // It died under the order, which others may know of.
        }
        return false;
    }

    /** Milliseconds until all of them decide by it and are not shut out; throws where that does not come. */
    public long untilAll(long version) throws InterruptedException {
        long began = System.nanoTime();
        long end = began + TimeUnit.SECONDS.toNanos(PATIENCE_S);
        for (int i = 0; i < size; i++) {
            String last = "nothing";
            while (true) {
                try {
                    JsonNode told = status(i);
                    last = told.toString();
                    if (told.path("taken").asLong() == version && !told.path("barred").asBoolean()) {
                        break;
                    }
                } catch (IOException e) {
                    last = String.valueOf(e.getMessage());
                }
                if (System.nanoTime() > end) {
                    throw new IllegalStateException(name(i) + " does not come to version " + version + ": " + last);
                }
                Thread.sleep(10);
            }
        }
        return (System.nanoTime() - began) / 1_000_000;
    }

    /**
     * A change by a file on each machine and SIGHUP, as without any of this: staff's tool stands at the first place
     * and reaches what that reaches. Milliseconds until each has read it; -1 for whom it never came to.
     */
    public long[] byFile(int patienceMs) throws IOException, InterruptedException {
        long[] took = new long[size];
        int[] before = new int[size];
        Arrays.fill(took, -1);
        for (int i = 0; i < size; i++) {
            before[i] = rereads(i);
        }
        long began = System.nanoTime();
        for (int i = 0; i < size; i++) {
            if (processes[i].isAlive() && (i == 0 || !ways[0][i].swallowsThere)) {
                writeConfig(i);
                new ProcessBuilder("kill", "-HUP", Long.toString(processes[i].pid())).start().waitFor();
            }
        }
        long end = began + patienceMs * 1_000_000L;
        while (System.nanoTime() < end && Arrays.stream(took).anyMatch(each -> each < 0)) {
            for (int i = 0; i < size; i++) {
                if (took[i] < 0 && rereads(i) > before[i]) {
                    took[i] = (System.nanoTime() - began) / 1_000_000;
                }
            }
            Thread.sleep(5);
        }
        return took;
    }

    /** Milliseconds until each decides by that version; -1 for whom it did not come to in time. */
    public long[] taken(long version, int patienceMs) throws InterruptedException {
        long[] took = new long[size];
        Arrays.fill(took, -1);
        long began = System.nanoTime();
        long end = began + patienceMs * 1_000_000L;
        while (System.nanoTime() < end && Arrays.stream(took).anyMatch(each -> each < 0)) {
            for (int i = 0; i < size; i++) {
                try {
                    // One that stands still would not answer either.
                    if (took[i] < 0 && !stopped.containsKey(i) && status(i).path("taken").asLong() >= version) {
                        took[i] = (System.nanoTime() - began) / 1_000_000;
                    }
                } catch (IOException e) {
                    // It is not up.
                }
            }
            Thread.sleep(5);
        }
        return took;
    }

    private int rereads(int place) throws IOException {
        return log(place).split("configuration read again", -1).length - 1;
    }

    /** Until all of them are up and not shut out; throws where that does not come. */
    public void serving() throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
        String not = "";
        while (System.nanoTime() < end) {
            not = "";
            for (int i = 0; i < size; i++) {
                try {
                    JsonNode told = status(i);
                    not += told.path("barred").asBoolean() ? " " + told : "";
                } catch (IOException e) {
                    not += " " + name(i) + " does not answer";
                }
            }
            if (not.isEmpty()) {
                return;
            }
            Thread.sleep(50);
        }
        throw new IllegalStateException("not all serve again:" + not);
    }

    /** Something that is waited for while the play goes on; over when the rig ends. */
    void beside(Waiting act) {
        Thread thread = Peers.daemon("beside", () -> {
            try {
                act.on(this);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        stubs.add(thread);
        thread.start();
    }

    interface Waiting {
        void on(AuditRig rig) throws InterruptedException;
    }

    // Load.

    /** One stub for each instance, one exchange after the other, so many a second. */
    public void load(int perSecond) {
        loading = true;
        for (int i = 0; i < size; i++) {
            int place = i;
            long seed = chance.nextLong();
            Thread stub = Peers.daemon("stub-" + i, () -> ask(place, perSecond, new SplittableRandom(seed)));
            stubs.add(stub);
            stub.start();
        }
    }

    private void ask(int place, int perSecond, SplittableRandom draws) {
        int stream = 0;
        while (loading) {
            try (Socket socket = new Socket()) {
                socket.connect(loopback(ports[place]), 500);
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(3_000);
                DataInputStream in = new DataInputStream(socket.getInputStream());
                while (loading) {
                    long id = draws.nextLong();
                    boolean mutating = (stream & 3) == 0;
                    socket.getOutputStream().write(StubFrames.frame(StubFrames.EXCHANGE, ++stream,
                            StubFrames.payload(new byte[] {1}, "method", mutating ? "note" : "look", "rid",
                            String.format("%016x", id), "t0", Long.toString(System.currentTimeMillis()
                            + clockOff[place] - STAMPED_BEFORE_MS), "peer", Integer.toString(place), "acct", "acme",
                            "mem", "1.0", "prio", "0.5")));
                    StubFrames.Frame frame = StubFrames.read(in);
                    while (frame != null && frame.type() == StubFrames.NOTHING_NEW) {
                        frame = StubFrames.read(in);
                    }
                    answered.add(new Answered(place, id, mutating, frame == null ? 0 : frame.code(),
                            System.nanoTime()));
                    if (frame == null) {
                        break;
                    }
                    Thread.sleep(1_000 / perSecond);
                }
            } catch (IOException e) {
                // The instance is gone, or stands still: another connection is tried.
                try {
                    Thread.sleep(20);
                } catch (InterruptedException again) {
                    return;
                }
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** The stubs stop, then all instances end in their order; 0 for each where all is well. */
    public int[] end() throws InterruptedException {
        loading = false;
        for (Thread each : stubs) {
            each.join(5_000);
        }
        int[] codes = new int[size];
        for (Process each : processes) {
            each.toHandle().destroy();
        }
        for (int i = 0; i < size; i++) {
            codes[i] = processes[i].waitFor(PATIENCE_S, TimeUnit.SECONDS) ? processes[i].exitValue() : -1;
        }
        return codes;
    }

    public boolean up(int place) {
        return processes[place].isAlive();
    }

    public String log(int place) throws IOException {
        return Files.readString(home(place).resolve("log"));
    }

    /** Where the records are, those of lost disks too. */
    public List<Path> records() {
        return List.of(folder);
    }

    @Override
    public void close() throws IOException {
        loading = false;
        for (Process each : processes) {
            if (each != null) {
                each.destroyForcibly();
            }
        }
        for (Closeable each : open) {
            each.close();
        }
    }

    @Override
    public String toString() {
        return "rig of " + size + ", " + Arrays.toString(clockOff);
    }
}
