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
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import vetchrill.audit.AuditSegments;
import vetchrill.files.Folders;
import vetchrill.peering.ProgramDigests;
import vetchrill.peers.PeerClient;
import vetchrill.protocol.DeploymentReader;

/**
 * A fleet of real instance processes under load that agree on versions and write audit logs, with a {@link LinkProxy}
 * between each ordered pair of them. The fake interpreters and the stubs record on their own which exchanges were
 * started and answered, and when. Under the settings of an even version each exchange has already expired on arrival,
 * because the stubs stamp them with an earlier time; so the answer shows which kind of version really decided it.
 */
public final class AuditTestRig implements Closeable {
    public static final int LEASE_MS = 1_000;
    public static final int AUDIT_FLUSH_MS = 30;
    /** Above the target latency of even versions (100 ms), and far below that of the others (15 s). */
    private static final int ARRIVAL_STAMP_AGE_MS = 1_000;
    private static final int AWAIT_TIMEOUT_S = 30;
    private static final int POLL_MS = 5;
    private static final int VERSION_POLL_MS = 10;
    private static final int SERVING_POLL_MS = 50;
    private static final int CONNECT_TIMEOUT_MS = 500;
    private static final int ANSWER_TIMEOUT_MS = 3_000;
    private static final int RECONNECT_DELAY_MS = 20;
    private static final int THREAD_JOIN_MS = 5_000;
    private static final int TORN_TAIL_BYTES = 7;
    /** In the log of an instance for each reload of its configuration. */
    private static final String RELOAD_LOG_TEXT = "configuration read again";
    private static final String SETTINGS_TEMPLATE = "{\"categories\":["
            + "{\"name\":\"look\",\"effect\":\"free\",\"aimMs\":AIM,\"deadlineMs\":30000,\"gain\":GAIN},"
            + "{\"name\":\"note\",\"effect\":\"single_shot\",\"aimMs\":AIM,\"deadlineMs\":30000,\"gain\":3}],"
            + "\"customers\":[{\"name\":\"acme\",\"allowancePerS\":100}],\"servers\":1,"
            + "\"familyInfo\":{\"cores\":4,\"callers\":1,\"ramKb\":100000,\"runMemFactor\":2,\"idleMs\":15000,"
            + "\"listFollows\":true,\"meters\":[\"cpu_busy\",\"runnable\",\"mem_used\",\"sockets\"]},"
            + "\"guarantees\":{\"fallMultiple\":8,\"stopSendingWithinMs\":500},"
            + "\"limits\":{\"maxRetryAfterMs\":1000}}";

    /** The answer that a stub received for an exchange; {@code code} is 0 if there was none. */
    public record ObservedAnswer(int instance, long id, boolean mutating, int code, long atNanos) {
    }

    /** A command to start a run, as a fake interpreter received it. */
    public record ObservedApply(int instance, long id, long atNanos) {
    }

    /** A minimum version and the latest time at which it was confirmed to the one who ordered it. */
    public record ConfirmedMinVersion(long minVersion, long atNanos) {
    }

    /** The process of an instance was killed; afterwards its disk may have been lost or its audit log torn. */
    public record ProcessDeath(int instance, long atNanos, boolean diskLost, boolean tailTorn) {
    }

    private final int size;
    private final int voters;
    private final Path folder;
    private final int[] ports;
    private final int[] peerPorts;
    /** From each instance (first index) to each other. */
    private final LinkProxy[][] links;
    private final FakeInterpreter[] interpreters;
    private final Process[] processes;
    private final FakeMembershipService membership;
    private final List<Closeable> fakes = new ArrayList<>();
    private final SplittableRandom random;
    public final ConcurrentLinkedQueue<ObservedAnswer> answers = new ConcurrentLinkedQueue<>();
    public final ConcurrentLinkedQueue<ObservedApply> applies = new ConcurrentLinkedQueue<>();
    public final List<ConfirmedMinVersion> confirmedMinVersions = new CopyOnWriteArrayList<>();
    public final List<ProcessDeath> deaths = new ArrayList<>();
    /** When each instance that is stopped by SIGSTOP was stopped. */
    public final ConcurrentHashMap<Integer, Long> stoppedAt = new ConcurrentHashMap<>();
    private final long[] clockOffsetsMs;
    private final boolean[] diskFull;
    /** The release that each instance runs; null for the program of this rig. */
    private final Path[] releases;
    /** The write point at which each instance loses power; 0 for none. */
    private final int[] powerLossPoints;
    private volatile boolean loadRunning;
    private final List<Thread> backgroundThreads = new ArrayList<>();
    /** The highest version number that was ordered to be published. */
    public long lastPublished;
    private int lostDisks;
    /** The number of faults injected so far. */
    public int faults;

    /** Starts {@code size} instances, of which the first {@code voters} are the quorum; the folder must be empty. */
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

    /** The settings of the version with that number; with another {@code gain} their content differs. */
    public static String settingsOf(long number, int gain) {
        return SETTINGS_TEMPLATE.replace("AIM", expiresOnArrival(number) ? "100" : "15000")
                .replace("GAIN", Integer.toString(gain));
    }

    /** Whether the exchanges of the stubs have expired on arrival under that version. */
    public static boolean expiresOnArrival(long number) {
        return number > 0 && number % 2 == 0;
    }

    /** Writes the files of the instance and starts its process. */
    public void start(int instance) throws IOException {
        Files.createDirectories(instanceFolder(instance));
        Path config = writeConfig(instance);
        StringBuilder operatorConfig = new StringBuilder("peers {\n  listen = \"127.0.0.1:" + peerPorts[instance]
                + "\"\n  zone = \"z" + instance % 3 + "\"\n  period_ms = 200\n  answer_ms = 80\n  sync_ms = 400\n");
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
                + ports[instance] + "\",\"vm\":\"127.0.0.1:" + interpreters[instance].port()
                + "\",\"members\":\"127.0.0.1:" + membership.port() + "\",\"seed\":\"8c1f30d27a5be964\","
                + "\"stop_ms\":1500,\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":64},"
                + "\"settings\":" + settingsOf(0, 1) + "}");
        return config;
    }

    private String classPath(int instance) throws IOException {
        return releases[instance] == null ? InstanceProcess.classPath()
                : InstanceProcess.classPath()
                        .replace(ProgramDigests.location().toString(), releases[instance].toString());
    }

    /** Creates a release that behaves like the program of this rig but has another digest, and returns its path. */
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

    /** Sets the release that the instance runs from its next start on. */
    public void install(int instance, Path release) {
        releases[instance] = release;
    }

    /** Writes the file of injected faults, which the process reads while it runs. */
    private void writeFaultFile(int instance) throws IOException {
        Files.writeString(instanceFolder(instance).resolve("rigged"), "clock_ms=" + clockOffsetsMs[instance]
                + " seed=" + random.nextLong()
                + (powerLossPoints[instance] > 0 ? " lose_at=" + powerLossPoints[instance] : "")
                + (diskFull[instance] ? " disk=full" : ""));
    }

    /** From its next start on, the instance loses power at that write point of its store; 0 for never. */
    public void setPowerLossPoint(int instance, int point) {
        powerLossPoints[instance] = point;
    }

    /** All instances lose power at once. */
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

    /** Copies the current store of the instance, so that {@link #restoreDisk} can bring back this old state. */
    public void saveDisk(int instance, String savedName) throws IOException {
        Folders.copyRecursively(instanceFolder(instance).resolve("state"), folder.resolve(savedName));
    }

    /** Replaces the store of an instance that is down by the copy saved under that name. */
    public void restoreDisk(int instance, String savedName) throws IOException {
        faults++;
        Folders.deleteRecursively(instanceFolder(instance).resolve("state"));
        Folders.copyRecursively(folder.resolve(savedName), instanceFolder(instance).resolve("state"));
    }

    /** Exchanges the stores of two instances that are down. */
    public void swapDisks(int one, int other) throws IOException {
        faults++;
        Path aside = folder.resolve("swapping");
        Files.move(instanceFolder(one).resolve("state"), aside);
        Files.move(instanceFolder(other).resolve("state"), instanceFolder(one).resolve("state"));
        Files.move(aside, instanceFolder(other).resolve("state"));
    }

    /** Changes one byte within the longest log of the store of an instance that is down. */
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

    // Fault injection.

    /** Kills the process and waits for its end. */
    public void kill(int instance) throws InterruptedException {
        faults++;
        long at = System.nanoTime();
        processes[instance].destroyForcibly().waitFor();
        deaths.add(new ProcessDeath(instance, at, false, false));
    }

    /** A killed instance loses its disk. The content is moved to another folder, where verification still finds it. */
    public void loseDisk(int instance) throws IOException {
        faults++;
        Path aside = folder.resolve("lost-" + ++lostDisks);
        Files.createDirectories(aside);
        Files.move(instanceFolder(instance).resolve("audit"), aside.resolve("audit"));
        Files.move(instanceFolder(instance).resolve("state"), aside.resolve("state"));
        updateLastDeath(instance, true, false);
    }

    /** Cuts the last bytes from the audit log of a killed instance, as if they had never reached the disk. */
    public void tearAuditLog(int instance) throws IOException {
        faults++;
        List<Path> files = AuditSegments.filesIn(instanceFolder(instance).resolve("audit"));
        if (!files.isEmpty()) {
            try (FileChannel channel = FileChannel.open(files.get(files.size() - 1), StandardOpenOption.WRITE)) {
                channel.truncate(Math.max(0, channel.size() - TORN_TAIL_BYTES));
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

    /** Sends a signal to the process; STOP and CONT suspend and resume it. */
    public void signal(int instance, String name) throws IOException, InterruptedException {
        faults += name.equals("STOP") ? 1 : 0;
        if (name.equals("STOP")) {
            stoppedAt.put(instance, System.nanoTime());
        } else {
            stoppedAt.remove(instance);
        }
        new ProcessBuilder("kill", "-" + name, Long.toString(processes[instance].pid())).start().waitFor();
    }

    /** Separates the instances of the bit mask {@code members} from all others, or connects them again. */
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

    /**
     * Drops the data on the connections that the instance opened to its peers ({@code outgoing}), or that the peers
     * opened to it.
     */
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

    /** Delays all data to and from the instance; 0 removes the delay. */
    public void setLinkDelay(int instance, int ms) {
        faults += ms > 0 ? 1 : 0;
        for (int j = 0; j < size; j++) {
            if (j != instance) {
                links[instance][j].delayMs = ms;
                links[j][instance].delayMs = ms;
            }
        }
    }

    /** Closes the connections that the instance opened to its peers. */
    public void closeConnections(int instance) {
        faults++;
        for (int j = 0; j < size; j++) {
            if (j != instance) {
                links[instance][j].closeConnections();
            }
        }
    }

    /** Sets the offset of the instance's wall clock from the real one. */
    public void stepClock(int instance, long ms) throws IOException {
        faults += ms != 0 ? 1 : 0;
        clockOffsetsMs[instance] = ms;
        writeFaultFile(instance);
    }

    /** Makes the writes of the instance fail as on a full disk, or succeed again. */
    public void setDiskFull(int instance, boolean full) throws IOException {
        faults += full ? 1 : 0;
        diskFull[instance] = full;
        writeFaultFile(instance);
    }

    // Orders and queries.

    /** Sends an order to the peer port of the instance and returns the reply. */
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

    /** Publishes a version; returns false if it is rejected or the instance does not answer. */
    public boolean publish(int instance, long number, int gain) {
        return publish(instance, number, gain, "");
    }

    /** The same with a text, which restricts the version to one program by its digest. */
    public boolean publish(int instance, long number, int gain, String text) {
        try {
            JsonNode answer = sendOrder(instance, newOrder("publish").put("number", number).put("text", text)
                    .put("content", settingsOf(number, gain).getBytes(StandardCharsets.UTF_8)));
            lastPublished = Math.max(lastPublished, number);
            return !answer.has("error");
        } catch (IOException e) {
            return false;
        }
    }

    /** Orders a minimum version without waiting; returns false if it is rejected or the instance does not answer. */
    public boolean orderMinVersion(int instance, long minVersion) {
        try {
            return !sendOrder(instance, newOrder("floor").put("number", minVersion)).has("error");
        } catch (IOException e) {
            return false;
        }
    }

    /** Orders a minimum version and records when it is confirmed; returns false if that takes longer or fails. */
    public boolean awaitMinVersion(int instance, long minVersion, int timeoutMs) throws InterruptedException {
        long end = System.nanoTime() + timeoutMs * 1_000_000L;
        try {
            JsonNode status = sendOrder(instance, newOrder("floor").put("number", minVersion));
            while (!status.has("error") && System.nanoTime() < end) {
                if (status.path("confirmed").asLong() >= minVersion) {
                    confirmedMinVersions.add(new ConfirmedMinVersion(minVersion, System.nanoTime()));
                    return true;
                }
                Thread.sleep(POLL_MS);
                status = status(instance);
            }
        } catch (IOException e) {
            // The instance died during the order; others may already have received it.
        }
        return false;
    }

    /**
     * Waits until the version is active on all instances and none is fenced, and returns how many milliseconds that
     * took. Throws if it takes longer than the timeout.
     */
    public long awaitVersionOnAll(long version) throws InterruptedException {
        long startNanos = System.nanoTime();
        long end = startNanos + TimeUnit.SECONDS.toNanos(AWAIT_TIMEOUT_S);
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
                    throw new IllegalStateException(instanceName(i) + " did not reach version " + version + ": "
                            + lastReply);
                }
                Thread.sleep(VERSION_POLL_MS);
            }
        }
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    /**
     * Rolls out a change as a file on each machine and a SIGHUP, without versions. The operators' tool runs beside the
     * first instance and reaches the machines that this one reaches.
     *
     * @return for each instance the milliseconds until it had read the file; -1 if it did not within the timeout
     */
    public long[] measureFileRollout(int timeoutMs) throws IOException, InterruptedException {
        long[] durationsMs = new long[size];
        int[] reloadsBefore = new int[size];
        Arrays.fill(durationsMs, -1);
        for (int i = 0; i < size; i++) {
            reloadsBefore[i] = countReloads(i);
        }
        long startNanos = System.nanoTime();
        for (int i = 0; i < size; i++) {
            if (processes[i].isAlive() && (i == 0 || !links[0][i].dropsToTarget)) {
                writeConfig(i);
                new ProcessBuilder("kill", "-HUP", Long.toString(processes[i].pid())).start().waitFor();
            }
        }
        long end = startNanos + timeoutMs * 1_000_000L;
        while (System.nanoTime() < end && Arrays.stream(durationsMs).anyMatch(each -> each < 0)) {
            for (int i = 0; i < size; i++) {
                if (durationsMs[i] < 0 && countReloads(i) > reloadsBefore[i]) {
                    durationsMs[i] = (System.nanoTime() - startNanos) / 1_000_000;
                }
            }
            Thread.sleep(POLL_MS);
        }
        return durationsMs;
    }

    /** Returns for each instance the milliseconds until the version was active; -1 if it was not within the timeout. */
    public long[] measureVersionRollout(long version, int timeoutMs) throws InterruptedException {
        long[] durationsMs = new long[size];
        Arrays.fill(durationsMs, -1);
        long startNanos = System.nanoTime();
        long end = startNanos + timeoutMs * 1_000_000L;
        while (System.nanoTime() < end && Arrays.stream(durationsMs).anyMatch(each -> each < 0)) {
            for (int i = 0; i < size; i++) {
                try {
                    // A stopped process would not answer either.
                    if (durationsMs[i] < 0 && !stoppedAt.containsKey(i)
                            && status(i).path("taken").asLong() >= version) {
                        durationsMs[i] = (System.nanoTime() - startNanos) / 1_000_000;
                    }
                } catch (IOException e) {
                    // The instance is not up.
                }
            }
            Thread.sleep(POLL_MS);
        }
        return durationsMs;
    }

    /** Counts the reloads of the configuration in the log of the instance. */
    private int countReloads(int instance) throws IOException {
        return readLog(instance).split(RELOAD_LOG_TEXT, -1).length - 1;
    }

    /** Waits until all instances are up and none is fenced. Throws if it takes longer than the timeout. */
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
            Thread.sleep(SERVING_POLL_MS);
        }
        throw new IllegalStateException("not all instances serve again:" + notServing);
    }

    /** Runs a task that waits for something while the scenario goes on; it is awaited when the rig shuts down. */
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

    // Load generation.

    /** Starts one stub for each instance, which sends one exchange after the other at that rate at most. */
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
                socket.connect(loopback(ports[instance]), CONNECT_TIMEOUT_MS);
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(ANSWER_TIMEOUT_MS);
                DataInputStream in = new DataInputStream(socket.getInputStream());
                while (loadRunning) {
                    long id = stubRandom.nextLong();
                    boolean mutating = (stream & 3) == 0;
                    socket.getOutputStream().write(StubFrames.frame(StubFrames.EXCHANGE, ++stream,
                            StubFrames.payload(new byte[] {1}, "method", mutating ? "note" : "look", "rid",
                            String.format("%016x", id), "t0", Long.toString(System.currentTimeMillis()
                            + clockOffsetsMs[instance] - ARRIVAL_STAMP_AGE_MS), "peer", Integer.toString(instance),
                            "acct", "acme", "mem", "1.0", "prio", "0.5")));
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
                // The instance is down or stopped: retry with a new connection.
                try {
                    Thread.sleep(RECONNECT_DELAY_MS);
                } catch (InterruptedException again) {
                    return;
                }
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Stops the load, drains all instances and returns their exit codes; -1 for one that did not exit in time. */
    public int[] shutDownAll() throws InterruptedException {
        loadRunning = false;
        for (Thread each : backgroundThreads) {
            each.join(THREAD_JOIN_MS);
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

    /** The folders with the audit logs, including those of lost disks. */
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
