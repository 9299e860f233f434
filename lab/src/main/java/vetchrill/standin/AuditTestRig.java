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
import vetchrill.peering.ProgramDigests;
import vetchrill.peers.PeerClient;
import vetchrill.protocol.DeploymentReader;

/**
 * A fleet of real processes that agree on versions and keep a record, with a faulty way between each ordered pair of
 * them, under load. Interpreters and stubs count for themselves what was begun and answered, and when. Settings of
 * versions of an even number make each exchange late on arrival, as the stubs stamp them; so the answer shows by which
 * kind of version it was really decided.
 */
public final class AuditTestRig implements Closeable {
    public static final int LEASE_MS = 1_000;
    public static final int AUDIT_FLUSH_MS = 30;
    private static final int ARRIVAL_STAMP_AGE_MS = 1_000;
    private static final int AWAIT_TIMEOUT_S = 30;
    private static final String SETTINGS_TEMPLATE = "{\"categories\":["
            + "{\"name\":\"look\",\"effect\":\"free\",\"aimMs\":AIM,\"deadlineMs\":30000,\"gain\":GAIN},"
            + "{\"name\":\"note\",\"effect\":\"single_shot\",\"aimMs\":AIM,\"deadlineMs\":30000,\"gain\":3}],"
            + "\"customers\":[{\"name\":\"acme\",\"allowancePerS\":100}],\"servers\":1,"
            + "\"familyInfo\":{\"cores\":4,\"callers\":1,\"ramKb\":100000,\"runMemFactor\":2,\"idleMs\":15000,"
            + "\"listFollows\":true,\"meters\":[\"cpu_busy\",\"runnable\",\"mem_used\",\"sockets\"]},"
            + "\"guarantees\":{\"fallMultiple\":8,\"stopSendingWithinMs\":500},"
            + "\"limits\":{\"maxRetryAfterMs\":1000}}";

    /** What a stub saw of one exchange: the code of its answer, 0 where none came. */
    public record ObservedAnswer(int instance, long id, boolean mutating, int code, long atNanos) {
    }

    /** What an interpreter saw. */
    public record ObservedApply(int instance, long id, long atNanos) {
    }

    /** A floor that was confirmed to the one who ordered it, at the latest. */
    public record ConfirmedMinVersion(long minVersion, long atNanos) {
    }

    /** The process of one place went, without a word or in its order. */
    public record ProcessDeath(int instance, long atNanos, boolean diskLost, boolean tailTorn) {
    }

    private final int size;
    private final int voters;
    private final Path folder;
    private final int[] ports;
    private final int[] peerPorts;
    private final LinkProxy[][] links;
    private final FakeInterpreter[] interpreters;
    private final Process[] processes;
    private final FakeMembershipService membership;
    private final List<Closeable> fakes = new ArrayList<>();
    private final SplittableRandom random;
    public final ConcurrentLinkedQueue<ObservedAnswer> answers = new ConcurrentLinkedQueue<>();
    public final ConcurrentLinkedQueue<ObservedApply> applies = new ConcurrentLinkedQueue<>();
    public final List<ConfirmedMinVersion> confirmedMinVersions = new java.util.concurrent.CopyOnWriteArrayList<>();
    public final List<ProcessDeath> deaths = new ArrayList<>();
    public final ConcurrentHashMap<Integer, Long> stoppedAt = new ConcurrentHashMap<>();
    private final long[] clockOffsetsMs;
    private final boolean[] diskFull;
    /** What each place runs: null for the program of this rig. */
    private final Path[] releases;
    private final int[] powerLossPoints;
    private volatile boolean loadRunning;
    private final List<Thread> backgroundThreads = new ArrayList<>();
    public long lastPublished;
    private int lostDisks;
    public int faults;

    public AuditTestRig(int size, int voters, Path folder, long seed) throws IOException {
        this.size = size;
        this.voters = voters;
        this.folder = folder;
        random = new SplittableRandom(seed);
        ports = new int[size];
        peerPorts = new int[size];
        links = new LinkProxy[size][size];
        interpreters = new FakeInterpreter[size];
        processes = new Process[size];
        clockOffsetsMs = new long[size];
        diskFull = new boolean[size];
        releases = new Path[size];
        powerLossPoints = new int[size];
        membership = new FakeMembershipService((name, up, call) -> { });
        fakes.add(membership);
        for (int i = 0; i < size; i++) {
            ports[i] = Ports.findFree();
            peerPorts[i] = Ports.findFree();
        }
        for (int i = 0; i < size; i++) {
            for (int j = 0; j < size; j++) {
                if (i != j) {
                    links[i][j] = new LinkProxy(loopback(peerPorts[j]));
                    fakes.add(links[i][j]);
                }
            }
            int instance = i;
            interpreters[i] = new FakeInterpreter(new FakeInterpreter.CommandHandler() {
                @Override
                public void apply(String id, String group, byte[] body) {
                    applies.add(new ObservedApply(instance, Long.parseUnsignedLong(id, 16), System.nanoTime()));
                    interpreters[instance].sendValue(id, "good", 10, new byte[0]);
                }

                @Override
                public String gauges() {
                    return "0.2 1 0.1 1";
                }
            }, false);
            fakes.add(interpreters[i]);
        }
        for (int i = 0; i < size; i++) {
            start(i);
        }
    }

    private static InetSocketAddress loopback(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    public static String instanceName(int instance) {
        return "r" + instance;
    }

    private Path instanceFolder(int instance) {
        return folder.resolve(instanceName(instance));
    }

    /** Settings as a version of that number has them; {@code gain} makes two of one number differ. */
    public static String settingsOf(long number, int gain) {
        return SETTINGS_TEMPLATE.replace("AIM", expiresOnArrival(number) ? "100" : "15000")
                .replace("GAIN", Integer.toString(gain));
    }

    /** Whether by that version what the stubs send is late as it comes. */
    public static boolean expiresOnArrival(long number) {
        return number > 0 && number % 2 == 0;
    }

    public void start(int instance) throws IOException {
        Files.createDirectories(instanceFolder(instance));
        Path config = writeConfig(instance);
        StringBuilder operatorConfig = new StringBuilder("peers {\n  listen = \"127.0.0.1:" + peerPorts[instance]
                + "\"\n  zone = \"z" + instance % 3
                + "\"\n  period_ms = 200\n  answer_ms = 80\n  sync_ms = 400\n");
        for (int j = 0; j < size; j++) {
            if (j != instance) {
                operatorConfig.append("  peer \"").append(instanceName(j)).append("\" { address = \"127.0.0.1:")
                        .append(links[instance][j].address().getPort()).append("\" }\n");
            }
        }
        operatorConfig.append("}\nversions {\n  directory = \"").append(instanceFolder(instance).resolve("state"))
                .append("\"\n  keepers = [");
        for (int i = 0; i < voters; i++) {
            operatorConfig.append(i > 0 ? ", " : "").append('"').append(instanceName(i)).append('"');
        }
        operatorConfig.append("]\n  lease_ms = " + LEASE_MS + "\n  every_ms = 100\n  behind_ms = 3000\n}\n")
                .append("audit {\n  directory = \"").append(instanceFolder(instance).resolve("audit"))
                .append("\"\n  flush_ms = " + AUDIT_FLUSH_MS + "\n  segment_mb = 0.05\n  most_mb = 200\n}\n");
        Path operatorFile = instanceFolder(instance).resolve("operator.hcl");
        Files.writeString(operatorFile, operatorConfig);
        writeFaultFile(instance);
        ProcessBuilder builder = new ProcessBuilder(System.getProperty("java.home") + "/bin/java",
                "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xshare:auto", "-Xmx64m",
                "--add-opens=java.base/java.nio=ALL-UNNAMED", "-cp", classPath(instance), "vetchrill.tool.Vetchrill",
                "serve", "--operator", operatorFile.toString(), "--rigged",
                instanceFolder(instance).resolve("rigged").toString());
        builder.environment().put("GW_CONFIG", config.toString());
        builder.environment().remove("GW_NAME");
        builder.environment().remove("GW_LISTEN");
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(instanceFolder(instance).resolve("log").toFile()));
        processes[instance] = builder.start();
    }

    private Path writeConfig(int instance) throws IOException {
        Path config = instanceFolder(instance).resolve("config.json");
        Files.writeString(config, "{\"name\":\"" + instanceName(instance) + "\",\"listen\":\"127.0.0.1:"
                + ports[instance]
                + "\",\"vm\":\"127.0.0.1:" + interpreters[instance].port() + "\",\"members\":\"127.0.0.1:"
                + membership.port() + "\",\"seed\":\"8c1f30d27a5be964\",\"stop_ms\":1500,\"limits\":{\"cores\":1.0,"
                + "\"memory_mb\":192,\"sockets\":64},\"settings\":" + settingsOf(0, 1) + "}");
        return config;
    }

    private String classPath(int instance) throws IOException {
        return releases[instance] == null ? InstanceProcess.classPath()
                : InstanceProcess.classPath().replace(ProgramDigests.location().toString(),
                releases[instance].toString());
    }

    /** Another release of the program, which does the same and has another digest; where it lies. */
    public Path createRelease(String name) throws IOException {
        Path from = ProgramDigests.location();
        Path to = folder.resolve(name);
        if (Files.isRegularFile(from)) {
            Files.copy(from, to);
            try (FileSystem jar = FileSystems.newFileSystem(to)) {
                Files.writeString(jar.getPath("release"), name);
            }
        } else {
            Folders.copyRecursively(from, to);
            Files.writeString(to.resolve("release"), name);
        }
        return to;
    }

    /** What that place runs from its next start on. */
    public void install(int instance, Path release) {
        releases[instance] = release;
    }

    private void writeFaultFile(int instance) throws IOException {
        Files.writeString(instanceFolder(instance).resolve("rigged"), "clock_ms=" + clockOffsetsMs[instance] + " seed="
                + random.nextLong()
                + (powerLossPoints[instance] > 0 ? " lose_at=" + powerLossPoints[instance] : "")
                + (diskFull[instance] ? " disk=full" : ""));
    }

    /** From its next start on: the power of that place goes at that write point of its store; 0 for never. */
    public void setPowerLossPoint(int instance, int point) {
        powerLossPoints[instance] = point;
    }

    /** The power of all of them goes at once. */
    public void losePowerOfAll() throws InterruptedException {
        faults++;
        long at = System.nanoTime();
        for (int i = 0; i < size; i++) {
            processes[i].destroyForcibly();
            deaths.add(new ProcessDeath(i, at, false, false));
        }
        for (Process each : processes) {
            each.waitFor();
        }
    }

    /** What lies in a place's store now, to be put back on a later day. */
    public void saveDisk(int instance, String savedName) throws IOException {
        Folders.copyRecursively(instanceFolder(instance).resolve("state"), folder.resolve(savedName));
    }

    /** Of one that is down: the disk is of the day on which it was saved so. */
    public void restoreDisk(int instance, String savedName) throws IOException {
        faults++;
        Folders.deleteRecursively(instanceFolder(instance).resolve("state"));
        Folders.copyRecursively(folder.resolve(savedName), instanceFolder(instance).resolve("state"));
    }

    /** Of two that are down: each has the other's store. */
    public void swapDisks(int one, int other) throws IOException {
        faults++;
        Path aside = folder.resolve("swapping");
        Files.move(instanceFolder(one).resolve("state"), aside);
        Files.move(instanceFolder(other).resolve("state"), instanceFolder(one).resolve("state"));
        Files.move(aside, instanceFolder(other).resolve("state"));
    }

    /** Of one that is down: an octet in the middle of its longest log is another. */
    public void corruptDisk(int instance) throws IOException {
        faults++;
        Path longest = null;
        try (var files = Files.list(instanceFolder(instance).resolve("state"))) {
            for (Path each : files.filter(one -> one.toString().endsWith(".log")).sorted().toList()) {
                longest = longest == null || Files.size(each) > Files.size(longest) ? each : longest;
            }
        }
        byte[] bytes = Files.readAllBytes(longest);
        bytes[bytes.length / 3] ^= 0x41;
        Files.write(longest, bytes);
    }

    // What goes wrong.

    public void kill(int instance) throws InterruptedException {
        faults++;
        long at = System.nanoTime();
        processes[instance].destroyForcibly().waitFor();
        deaths.add(new ProcessDeath(instance, at, false, false));
    }

    /** Of one that is killed: its disk is gone. What it held is put aside, as found on the old machine. */
    public void loseDisk(int instance) throws IOException {
        faults++;
        Path aside = folder.resolve("lost-" + ++lostDisks);
        Files.createDirectories(aside);
        Files.move(instanceFolder(instance).resolve("audit"), aside.resolve("audit"));
        Files.move(instanceFolder(instance).resolve("state"), aside.resolve("state"));
        updateLastDeath(instance, true, false);
    }

    /** Of one that is killed: the last octets of its record never came to the disk. */
    public void tearAuditLog(int instance) throws IOException {
        faults++;
        List<Path> files = AuditSegments.filesIn(instanceFolder(instance).resolve("audit"));
        if (!files.isEmpty()) {
            try (FileChannel channel = FileChannel.open(files.get(files.size() - 1), StandardOpenOption.WRITE)) {
                channel.truncate(Math.max(0, channel.size() - 7));
            }
        }
        updateLastDeath(instance, false, true);
    }

    private void updateLastDeath(int instance, boolean diskLost, boolean torn) {
        for (int i = deaths.size() - 1; i >= 0; i--) {
            if (deaths.get(i).instance() == instance) {
                deaths.set(i, new ProcessDeath(instance, deaths.get(i).atNanos(), diskLost, torn));
                return;
            }
        }
    }

    public void signal(int instance, String name) throws IOException, InterruptedException {
        faults += name.equals("STOP") ? 1 : 0;
        if (name.equals("STOP")) {
            stoppedAt.put(instance, System.nanoTime());
        } else {
            stoppedAt.remove(instance);
        }
        new ProcessBuilder("kill", "-" + name, Long.toString(processes[instance].pid())).start().waitFor();
    }

    /** Two parts that hear each other no more, or hear all again. */
    public void setPartition(int members, boolean enabled) {
        faults += enabled ? 1 : 0;
        for (int i = 0; i < size; i++) {
            for (int j = 0; j < size; j++) {
                if (i != j && (members >> i & 1) != (members >> j & 1)) {
                    setDropping(i, j, enabled);
                }
            }
        }
    }

    /** One hears and is not heard, or the reverse. */
    public void setOneWayDrop(int instance, boolean outgoing, boolean enabled) {
        faults += enabled ? 1 : 0;
        for (int j = 0; j < size; j++) {
            if (j != instance) {
                setDropping(outgoing ? instance : j, outgoing ? j : instance, enabled);
            }
        }
    }

    private void setDropping(int i, int j, boolean enabled) {
        links[i][j].dropsToTarget = enabled;
        links[i][j].dropsFromTarget = enabled;
    }

    public void setLinkDelay(int instance, int ms) {
        faults += ms > 0 ? 1 : 0;
        for (int j = 0; j < size; j++) {
            if (j != instance) {
                links[instance][j].delayMs = ms;
                links[j][instance].delayMs = ms;
            }
        }
    }

    public void closeConnections(int instance) {
        faults++;
        for (int j = 0; j < size; j++) {
            if (j != instance) {
                links[instance][j].closeConnections();
            }
        }
    }

    public void stepClock(int instance, long ms) throws IOException {
        faults += ms != 0 ? 1 : 0;
        clockOffsetsMs[instance] = ms;
        writeFaultFile(instance);
    }

    public void setDiskFull(int instance, boolean full) throws IOException {
        faults += full ? 1 : 0;
        diskFull[instance] = full;
        writeFaultFile(instance);
    }

    // What is ordered and asked.

    public JsonNode sendOrder(int instance, ObjectNode order) throws IOException {
        return DeploymentReader.JSON.readTree(PeerClient.sendOrder(loopback(peerPorts[instance]),
                order.toString().getBytes(StandardCharsets.UTF_8)));
    }

    private static ObjectNode newOrder(String name) {
        return DeploymentReader.JSON.createObjectNode().put("order", name);
    }

    public JsonNode status(int instance) throws IOException {
        return sendOrder(instance, newOrder("status"));
    }

    /** False where it was refused or nobody answers. */
    public boolean publish(int instance, long number, int gain) {
        return publish(instance, number, gain, "");
    }

    /** The same for one program alone, by its digest. */
    public boolean publish(int instance, long number, int gain, String text) {
        try {
            JsonNode answer = sendOrder(instance, newOrder("publish").put("number", number).put("text", text)
                    .put("content",
                    settingsOf(number, gain).getBytes(StandardCharsets.UTF_8)));
            this.lastPublished = Math.max(this.lastPublished, number);
            return !answer.has("error");
        } catch (IOException e) {
            return false;
        }
    }

    /** Orders a floor and does not wait for it; false where it was refused or nobody answers. */
    public boolean orderMinVersion(int instance, long minVersion) {
        try {
            return !sendOrder(instance, newOrder("floor").put("number", minVersion)).has("error");
        } catch (IOException e) {
            return false;
        }
    }

    /** Orders a floor, and notes when it is confirmed to whomever answers first; false where it is not in that time. */
    public boolean awaitMinVersion(int instance, long minVersion, int timeoutMs) throws InterruptedException {
        long end = System.nanoTime() + timeoutMs * 1_000_000L;
        try {
            JsonNode status = sendOrder(instance, newOrder("floor").put("number", minVersion));
            while (!status.has("error") && System.nanoTime() < end) {
                if (status.path("confirmed").asLong() >= minVersion) {
                    confirmedMinVersions.add(new ConfirmedMinVersion(minVersion, System.nanoTime()));
                    return true;
                }
                Thread.sleep(5);
                status = status(instance);
            }
        } catch (IOException e) {
            // It died under the order, which others may know of.
        }
        return false;
    }

    /** Milliseconds until all of them decide by it and are not shut out; throws where that does not come. */
    public long awaitVersionOnAll(long version) throws InterruptedException {
        long began = System.nanoTime();
        long end = began + TimeUnit.SECONDS.toNanos(AWAIT_TIMEOUT_S);
        for (int i = 0; i < size; i++) {
            String lastReply = "nothing";
            while (true) {
                try {
                    JsonNode status = status(i);
                    lastReply = status.toString();
                    if (status.path("taken").asLong() == version && !status.path("barred").asBoolean()) {
                        break;
                    }
                } catch (IOException e) {
                    lastReply = String.valueOf(e.getMessage());
                }
                if (System.nanoTime() > end) {
                    throw new IllegalStateException(instanceName(i) + " does not come to version " + version + ": "
                            + lastReply);
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
    public long[] measureFileRollout(int timeoutMs) throws IOException, InterruptedException {
        long[] durationsMs = new long[size];
        int[] reloadsBefore = new int[size];
        Arrays.fill(durationsMs, -1);
        for (int i = 0; i < size; i++) {
            reloadsBefore[i] = countReloads(i);
        }
        long began = System.nanoTime();
        for (int i = 0; i < size; i++) {
            if (processes[i].isAlive() && (i == 0 || !links[0][i].dropsToTarget)) {
                writeConfig(i);
                new ProcessBuilder("kill", "-HUP", Long.toString(processes[i].pid())).start().waitFor();
            }
        }
        long end = began + timeoutMs * 1_000_000L;
        while (System.nanoTime() < end && Arrays.stream(durationsMs).anyMatch(each -> each < 0)) {
            for (int i = 0; i < size; i++) {
                if (durationsMs[i] < 0 && countReloads(i) > reloadsBefore[i]) {
                    durationsMs[i] = (System.nanoTime() - began) / 1_000_000;
                }
            }
            Thread.sleep(5);
        }
        return durationsMs;
    }

    /** Milliseconds until each decides by that version; -1 for whom it did not come to in time. */
    public long[] measureVersionRollout(long version, int timeoutMs) throws InterruptedException {
        long[] durationsMs = new long[size];
        Arrays.fill(durationsMs, -1);
        long began = System.nanoTime();
        long end = began + timeoutMs * 1_000_000L;
        while (System.nanoTime() < end && Arrays.stream(durationsMs).anyMatch(each -> each < 0)) {
            for (int i = 0; i < size; i++) {
                try {
                    // One that stands still would not answer either.
                    if (durationsMs[i] < 0 && !stoppedAt.containsKey(i) && status(i).path("taken").asLong()
                            >= version) {
                        durationsMs[i] = (System.nanoTime() - began) / 1_000_000;
                    }
                } catch (IOException e) {
                    // It is not up.
                }
            }
            Thread.sleep(5);
        }
        return durationsMs;
    }

    private int countReloads(int instance) throws IOException {
        return readLog(instance).split("configuration read again", -1).length - 1;
    }

    /** Until all of them are up and not shut out; throws where that does not come. */
    public void awaitServing() throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(AWAIT_TIMEOUT_S);
        String notServing = "";
        while (System.nanoTime() < end) {
            notServing = "";
            for (int i = 0; i < size; i++) {
                try {
                    JsonNode status = status(i);
                    notServing += status.path("barred").asBoolean() ? " " + status : "";
                } catch (IOException e) {
                    notServing += " " + instanceName(i) + " does not answer";
                }
            }
            if (notServing.isEmpty()) {
                return;
            }
            Thread.sleep(50);
        }
        throw new IllegalStateException("not all serve again:" + notServing);
    }

    /** Something that is waited for while the play goes on; over when the rig ends. */
    void runInBackground(BackgroundTask task) {
        Thread thread = LoopbackServers.daemonThread("beside", () -> {
            try {
                task.run(this);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        backgroundThreads.add(thread);
        thread.start();
    }

    interface BackgroundTask {
        void run(AuditTestRig rig) throws InterruptedException;
    }

    // Load.

    /** One stub for each instance, one exchange after the other, so many a second. */
    public void startLoad(int perSecond) {
        loadRunning = true;
        for (int i = 0; i < size; i++) {
            int instance = i;
            long seed = random.nextLong();
            Thread stub = LoopbackServers.daemonThread("stub-" + i,
                    () -> runStub(instance, perSecond, new SplittableRandom(seed)));
            backgroundThreads.add(stub);
            stub.start();
        }
    }

    private void runStub(int instance, int perSecond, SplittableRandom stubRandom) {
        int stream = 0;
        while (loadRunning) {
            try (Socket socket = new Socket()) {
                socket.connect(loopback(ports[instance]), 500);
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(3_000);
                DataInputStream in = new DataInputStream(socket.getInputStream());
                while (loadRunning) {
                    long id = stubRandom.nextLong();
                    boolean mutating = (stream & 3) == 0;
                    socket.getOutputStream().write(StubFrames.frame(StubFrames.EXCHANGE, ++stream,
                            StubFrames.payload(new byte[] {1}, "method", mutating ? "note" : "look", "rid",
                            String.format("%016x", id), "t0", Long.toString(System.currentTimeMillis()
                            + clockOffsetsMs[instance] - ARRIVAL_STAMP_AGE_MS), "peer", Integer.toString(instance),
                            "acct", "acme",
                            "mem", "1.0", "prio", "0.5")));
                    StubFrames.Frame frame = StubFrames.read(in);
                    while (frame != null && frame.type() == StubFrames.GO_AWAY) {
                        frame = StubFrames.read(in);
                    }
                    answers.add(new ObservedAnswer(instance, id, mutating, frame == null ? 0 : frame.code(),
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
    public int[] shutDownAll() throws InterruptedException {
        loadRunning = false;
        for (Thread each : backgroundThreads) {
            each.join(5_000);
        }
        int[] codes = new int[size];
        for (Process each : processes) {
            each.toHandle().destroy();
        }
        for (int i = 0; i < size; i++) {
            codes[i] = processes[i].waitFor(AWAIT_TIMEOUT_S, TimeUnit.SECONDS) ? processes[i].exitValue() : -1;
        }
        return codes;
    }

    public boolean isUp(int instance) {
        return processes[instance].isAlive();
    }

    public String readLog(int instance) throws IOException {
        return Files.readString(instanceFolder(instance).resolve("log"));
    }

    /** Where the records are, those of lost disks too. */
    public List<Path> auditFolders() {
        return List.of(folder);
    }

    @Override
    public void close() throws IOException {
        loadRunning = false;
        for (Process each : processes) {
            if (each != null) {
                each.destroyForcibly();
            }
        }
        for (Closeable each : fakes) {
            each.close();
        }
    }

    @Override
    public String toString() {
        return "rig of " + size + ", " + Arrays.toString(clockOffsetsMs);
    }
}
