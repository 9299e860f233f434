package vetchrill.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import vetchrill.InstanceRig;
import vetchrill.InstanceRig.StubClient;

/**
 * Tests of clients that keep an instance busy without sending it useful work. A correct client beside them must get
 * its answers in time, and the instance must stay within its memory limit.
 */
@Test
public class HostileClientsTest {
    private static final int EXCHANGE = 2;
    private static final int ANSWER = 4;
    private static final int HEALTH_CHECK = 16;
    private static final int COMPLETED = 79;
    private static final int GO_AWAY = 64;
    private static final int MEMORY_MB = 192;
    private static final int DESCRIPTORS = 1024;
    private static final int MAX_OPEN = 32;
    private static final int MAX_FIELDS = 255;
    private static final int BUFFERED_FRAME_BYTES = 16 << 10;
    private static final int DEADLINE_MS = 3_700;
    /** What sockets add to each time limit, and the slack of the settings. */
    private static final int SLACK_MS = 150;
    private static final int ALLOWED_LOST_PER_1000 = 3;
    private static final int FLOOD_MS = 5_000;
    private static final int CROWD = 600;
    private static final String OWN_BODY = "own";

    private final AtomicLong lastId = new AtomicLong(1);

    /** What one hostile client writes next; called again and again. */
    private interface Flood {
        byte[] next() throws IOException;
    }

    /** What one client writes on one connection, at full speed. */
    @DataProvider
    Object[][] floods() {
        byte[] check = StubClient.frame(HEALTH_CHECK, 1, StubClient.payload(""));
        return new Object[][] {
            {"health checks", (Flood) () -> check},
            {"malformed frames", (Flood) () -> StubClient.frame(EXCHANGE, 1, new byte[] {9, 3, 'r'})},
            {"unknown groups under ever new names", (Flood) () -> exchange(newId(), "g" + newId(), "")},
            {"requests under ever new ids", (Flood) () -> exchange(newId(), "look", "foreign")},
            {"heads of very many short fields", (Flood) () -> manyFields()},
        };
    }

    /** Guards against one connection that takes the time of all others, and against memory that grows with it. */
    @Test(dataProvider = "floods")
    public void floodOnOneConnectionDelaysNoOtherClient(String name, Flood flood) throws Exception {
        try (InstanceRig rig = startInstance()) {
            keepOnOneCore(rig);
            Thread.sleep(1_000);
            long end = System.nanoTime() + FLOOD_MS * 1_000_000L;
            startFlood(rig, flood, end);
            CorrectClient client = new CorrectClient(rig);
            client.sendUntil(end);
            client.assertServed(name);
            assertMemory(rig, name);
        }
    }

    /** Guards against a client that sends each request anew as soon as it is answered, on all streams it may use. */
    public void requestsRepeatedAsSoonAsTheyAreAnsweredDelayNoOtherClient() throws Exception {
        try (InstanceRig rig = startInstance()) {
            keepOnOneCore(rig);
            Thread.sleep(1_000);
            long end = System.nanoTime() + FLOOD_MS * 1_000_000L;
            StubClient repeating = rig.connectStub();
            startDaemon(() -> {
                for (int i = 1; i <= MAX_OPEN; i++) {
                    repeating.sendExchange(i, "look", newId(), OWN_BODY);
                }
                for (StubClient.Frame frame = repeating.read(); frame != null && System.nanoTime() < end;
                        frame = repeating.read()) {
                    if (frame.type() == ANSWER) {
                        repeating.sendExchange(frame.stream(), "look", newId(), OWN_BODY);
                    }
                }
            });
            CorrectClient client = new CorrectClient(rig);
            client.sendUntil(end);
            client.assertServed("repeated requests");
            assertMemory(rig, "repeated requests");
        }
    }

    /**
     * Guards against keys of requests that the interpreter rejects, which are kept for the window as if they had run
     * until there is no room for those of others.
     */
    public void rejectedKeyedRequestsLeaveRoomForTheKeysOfOthers() throws Exception {
        try (InstanceRig rig = new InstanceRig()) {
            rig.logLevel = "INFO";
            rig.replacements.put("\"effect\":\"single_shot\"", "\"effect\":\"guarded\",\"keyTtlMs\":600000");
            rig.replacements.put("\"memory_mb\":192", "\"memory_mb\":32");
            rig.startHealthyWithDeployedMemory();
            startDaemon(() -> runEverything(rig));
            long end = System.nanoTime() + FLOOD_MS * 1_000_000L;
            startFlood(rig, () -> keyedExchange(newId(), "foreign"), end);
            Thread.sleep(FLOOD_MS + 500);
            StubClient client = rig.connectStub();
            for (int i = 1; i <= MAX_OPEN; i++) {
                String id = newId();
                client.send(keyedExchange(id, OWN_BODY));
                assertEquals(client.read(), new StubClient.Frame(ANSWER, (int) Long.parseLong(id, 16), COMPLETED,
                        "\0done"), "request " + i);
            }
        }
    }

    /** What each of many clients writes of a frame: the frame, the bytes sent of it, and those sent at a time. */
    @DataProvider
    Object[][] crowds() {
        byte[] large = new byte[BUFFERED_FRAME_BYTES - 100];
        byte[] largest = new byte[200_000];
        byte[] slow = exchange(newId(), "look", "x".repeat(2048));
        return new Object[][] {
            {"half of a large request", StubClient.frame(EXCHANGE, 1, large), large.length - 100, 0},
            {"half of the largest frame", StubClient.frame(EXCHANGE, 1, largest), largest.length / 2, 0},
            {"slow writers", slow, slow.length, 40},
            {"heads of very many short fields", manyFields(), manyFields().length - 1, 0},
        };
    }

    /** Guards against hundreds of connections whose unfinished requests take more memory than the instance has. */
    @Test(dataProvider = "crowds")
    public void crowdOfUnfinishedRequestsStaysWithinTheMemory(String name, byte[] frame, int sentBytes,
            int pieceBytes) throws Exception {
        try (InstanceRig rig = startInstance()) {
            Thread.sleep(1_000);
            long end = System.nanoTime() + FLOOD_MS * 1_000_000L;
            for (int i = 0; i < CROWD; i++) {
                startDaemon(() -> {
                    while (System.nanoTime() < end) {
                        sendUnfinished(rig.connectStub(), Arrays.copyOf(frame, sentBytes), pieceBytes);
                    }
                });
            }
            CorrectClient client = new CorrectClient(rig);
            client.sendUntil(end);
            client.assertServed(name);
            assertMemory(rig, name);
        }
    }

    /** Sends the bytes at once, or a piece each 100 ms, and reads until the instance closes the connection. */
    private static void sendUnfinished(StubClient stub, byte[] bytes, int pieceBytes) throws Exception {
        int step = pieceBytes > 0 ? pieceBytes : bytes.length;
        try (stub) {
            for (int from = 0; from < bytes.length; from += step) {
                stub.send(Arrays.copyOfRange(bytes, from, Math.min(bytes.length, from + step)));
                Thread.sleep(pieceBytes > 0 ? 100 : 0);
            }
            while (stub.read() != null) {
                continue;
            }
        }
    }

    private InstanceRig startInstance() throws IOException {
        InstanceRig rig = new InstanceRig();
        rig.logLevel = "INFO";
        rig.replacements.put("\"sockets\":64", "\"sockets\":" + DESCRIPTORS);
        rig.replacements.put("\"aimMs\":15000,\"deadlineMs\":30000,\"gain\":1",
                "\"aimMs\":1500,\"deadlineMs\":" + DEADLINE_MS + ",\"gain\":1");
        rig.startHealthyWithDeployedMemory();
        startDaemon(() -> runEverything(rig));
        return rig;
    }

    /** An instance has one core; where the tool is missing the test runs on all cores, and says so. */
    private static void keepOnOneCore(InstanceRig rig) throws IOException {
        String allowed = Files.readAllLines(Path.of("/proc/self/status")).stream()
                .filter(line -> line.startsWith("Cpus_allowed_list:")).findFirst().orElseThrow();
        String core = allowed.replaceAll("^[^0-9]*([0-9]+).*$", "$1");
        try {
            new ProcessBuilder("taskset", "-a", "-cp", core, Long.toString(rig.pid()))
                    .redirectOutput(ProcessBuilder.Redirect.DISCARD).redirectErrorStream(true).start().waitFor();
        } catch (IOException e) {
            System.out.println("taskset is missing, so the instance runs on all cores");
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    /** Answers each run at once; one with a foreign body is rejected, as the id is that of no request. */
    private static void runEverything(InstanceRig rig) throws Exception {
        while (true) {
            String[] lines = rig.interpreter.commands.take().split("\n", 2);
            String[] words = lines[0].split(" ");
            if (words[0].equals("APPLY") && lines[1].equals(OWN_BODY)) {
                rig.interpreter.value(words[1], "good", "done");
            } else if (words[0].equals("APPLY")) {
                rig.interpreter.write("ERROR APPLY " + words[1] + "\r\n");
            }
        }
    }

    /** Writes at full speed and reads whatever comes; connects again when the instance closes the connection. */
    private static void startFlood(InstanceRig rig, Flood flood, long end) {
        startDaemon(() -> {
            while (System.nanoTime() < end) {
                StubClient stub = rig.connectStub();
                startDaemon(() -> {
                    byte[] buffer = new byte[BUFFERED_FRAME_BYTES];
                    while (stub.socket.getInputStream().read(buffer) >= 0) {
                        continue;
                    }
                    stub.close();
                });
                try {
                    while (System.nanoTime() < end) {
                        stub.send(flood.next());
                    }
                } catch (IOException e) {
                    // Closed by the instance.
                }
                stub.close();
            }
        });
    }

    /** A request of the correct client that has no answer yet. */
    private static final class OpenRequest {
        final String id;
        final long firstSentNanos = System.nanoTime();
        StubClient connection;
        long writtenNanos;
        boolean sentAgain;

        OpenRequest(String id) {
            this.id = id;
        }
    }

    /**
     * Sends a request each 50 ms and records how long each answer takes. It opens a new connection when told to, and
     * sends a request that crossed the close of its connection once more.
     */
    private final class CorrectClient {
        private static final int SEND_INTERVAL_MS = 50;
        private static final long CLOSE_RACE_NANOS = 50_000_000;
        private final InstanceRig rig;
        private final Map<Integer, OpenRequest> openByStream = new HashMap<>();
        private final List<Long> answerMillis = new ArrayList<>();
        private StubClient usable;
        private int connections;
        private int sent;

        CorrectClient(InstanceRig rig) {
            this.rig = rig;
        }

        void sendUntil(long end) throws Exception {
            while (System.nanoTime() < end) {
                Thread.sleep(SEND_INTERVAL_MS);
                send(++sent, new OpenRequest(newId()));
            }
            for (int waited = 0; hasOpenRequests() && waited < DEADLINE_MS + SLACK_MS; waited += SEND_INTERVAL_MS) {
                Thread.sleep(SEND_INTERVAL_MS);
            }
        }

        private synchronized boolean hasOpenRequests() {
            return !openByStream.isEmpty();
        }

        private synchronized void send(int stream, OpenRequest request) throws IOException {
            if (usable == null) {
                StubClient opened = rig.connectStub();
                usable = opened;
                connections++;
                startDaemon(() -> readAnswers(opened));
            }
            openByStream.put(stream, request);
            request.connection = usable;
            request.writtenNanos = System.nanoTime();
            try {
                usable.sendExchange(stream, "look", request.id, OWN_BODY);
            } catch (IOException e) {
                // The connection has ended, which its reader notices as well.
            }
        }

        private void readAnswers(StubClient connection) throws IOException {
            for (StubClient.Frame frame = connection.read(); frame != null; frame = connection.read()) {
                if (frame.type() == GO_AWAY) {
                    stopUsing(connection);
                } else if (frame.type() == ANSWER) {
                    onAnswer(frame.stream());
                }
            }
            stopUsing(connection);
            onConnectionEnded(connection, System.nanoTime());
        }

        private synchronized void stopUsing(StubClient connection) {
            usable = usable == connection ? null : usable;
        }

        private synchronized void onAnswer(int stream) {
            OpenRequest request = openByStream.remove(stream);
            if (request != null) {
                answerMillis.add((System.nanoTime() - request.firstSentNanos) / 1_000_000);
            }
        }

        private synchronized void onConnectionEnded(StubClient connection, long endedNanos) throws IOException {
            for (Map.Entry<Integer, OpenRequest> entry : Map.copyOf(openByStream).entrySet()) {
                OpenRequest request = entry.getValue();
                long writtenBefore = endedNanos - request.writtenNanos;
                if (request.connection == connection && !request.sentAgain && writtenBefore <= CLOSE_RACE_NANOS) {
                    request.sentAgain = true;
                    send(entry.getKey(), request);
                } else if (request.connection == connection) {
                    System.out.println("request " + request.id + " was written " + writtenBefore / 1_000_000
                            + " ms before its connection ended without an answer");
                }
            }
        }

        synchronized void assertServed(String name) {
            long inTime = answerMillis.stream().filter(millis -> millis <= DEADLINE_MS + SLACK_MS).count();
            long slowest = answerMillis.stream().mapToLong(Long::longValue).max().orElse(-1);
            System.out.println(name + ": " + inTime + " of " + sent + " answered in time, slowest " + slowest
                    + " ms, " + connections + " connections");
            assertTrue((sent - inTime) * 1000 <= ALLOWED_LOST_PER_1000 * sent, name + ": " + (sent - inTime)
                    + " of " + sent + " have no answer in time");
        }
    }

    /** The most memory that the process had in use, mapped files included, as the system counts it. */
    private static void assertMemory(InstanceRig rig, String name) throws IOException {
        assertTrue(rig.isAlive(), name + ": the process has ended:\n" + rig.logText());
        String peak = Files.readAllLines(Path.of("/proc/" + rig.pid() + "/status")).stream()
                .filter(line -> line.startsWith("VmHWM:")).findFirst().orElseThrow();
        long peakKb = Long.parseLong(peak.replaceAll("[^0-9]", ""));
        System.out.println(name + ": peak memory " + peakKb + " kB");
        assertTrue(peakKb <= MEMORY_MB * 1024L, name + ": " + peak);
    }

    private String newId() {
        return String.format("%016x", lastId.incrementAndGet());
    }

    private byte[] exchange(String id, String group, String body) {
        return StubClient.exchange((int) Long.parseLong(id, 16), group, id, body);
    }

    private static byte[] keyedExchange(String id, String body) {
        return StubClient.frame(EXCHANGE, (int) Long.parseLong(id, 16), StubClient.payload(body, "method", "note",
                "rid", id, "t0", Long.toString(System.currentTimeMillis()), "peer", "4", "acct", "acme", "mem", "24.5",
                "prio", "0.6250", "token", id));
    }

    /** A valid request with as many fields as a frame can have, most of them unknown and short. */
    private byte[] manyFields() {
        String id = newId();
        List<String> fields = new ArrayList<>(List.of("method", "look", "rid", id, "t0",
                Long.toString(System.currentTimeMillis()), "peer", "4", "acct", "acme", "mem", "24.5", "prio", "0.5"));
        for (int i = 0; fields.size() < 2 * MAX_FIELDS; i++) {
            fields.addAll(List.of(String.valueOf(new char[] {(char) ('a' + i / 20), (char) ('a' + i % 20)}), ""));
        }
        return StubClient.frame(EXCHANGE, (int) Long.parseLong(id, 16),
                StubClient.payload("foreign", fields.toArray(new String[0])));
    }

    private interface ThrowingTask {
        void run() throws Exception;
    }

    private static void startDaemon(ThrowingTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // The connection or the test has ended.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }
}
