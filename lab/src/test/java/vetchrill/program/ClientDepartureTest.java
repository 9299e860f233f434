package vetchrill.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static vetchrill.InstanceRig.awaitNext;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import vetchrill.InstanceRig;
import vetchrill.InstanceRig.StubClient;

/** Tests of clients that close their connection while requests of theirs are unread, pending or running. */
@Test(timeOut = ClientDepartureTest.TEST_TIMEOUT_MS)
public class ClientDepartureTest {
    static final int TEST_TIMEOUT_MS = 60_000;
    private static final int REQUESTS = 10;
    private static final int TERMINATED = 69;
    /** The peer of a closed connection is known to have left after this time. */
    private static final int DETECTION_MS = 500;
    /** Longer than the instance takes for any of its decisions here. */
    private static final int QUIET_MS = 500;
    private static final long ANSWERS_TIMEOUT_NANOS = 20_000_000_000L;

    /** How the client leaves: with a reset, or with an orderly close that may also be a half-close. */
    @DataProvider
    Object[][] departures() {
        return new Object[][] {{true}, {false}};
    }

    /**
     * Guards against requests that are run for a client that has left, as its connection is known to have ended only
     * by a failed write, and against a second run of an id that comes again after that.
     */
    @Test(dataProvider = "departures", timeOut = TEST_TIMEOUT_MS)
    public void pendingRequestsOfAClientThatLeftAreNotRun(boolean reset) throws Exception {
        try (InstanceRig rig = startInstance()) {
            StubClient leaving = rig.connectStub();
            leaving.send(requests("note"));
            Set<String> started = new HashSet<>(takeRuns(rig));
            assertTrue(!started.isEmpty() && started.size() < REQUESTS, started.size() + " runs at first");
            leave(leaving, reset);
            Thread.sleep(DETECTION_MS);
            for (String id : started) {
                rig.interpreter.value(id, "good", "");
            }
            assertEquals(takeRuns(rig), List.of(), "runs for a client that has left");
            sendAgain(rig, started);
        }
    }

    /** The same with all requests unread, as the process was suspended when they were sent and their client left. */
    public void unreadRequestsOfAClientThatLeftAreRunOnceAtMost() throws Exception {
        try (InstanceRig rig = startInstance()) {
            StubClient leaving = rig.connectStub();
            assertEquals(leaving.checkHealth(), 79);
            rig.signal("STOP");
            leaving.send(requests("note"));
            leave(leaving, true);
            rig.signal("CONT");
            Set<String> started = new HashSet<>(takeRuns(rig));
            System.out.println("unread requests of a client that left: " + started.size() + " run");
            for (String id : started) {
                rig.interpreter.value(id, "good", "");
            }
            assertEquals(takeRuns(rig), List.of(), "runs for a client that has left");
            sendAgain(rig, started);
        }
    }

    /** Guards against connections that stay registered, and in memory, for clients that have left. */
    @Test(dataProvider = "departures", timeOut = TEST_TIMEOUT_MS)
    public void connectionOfAClientThatLeftIsReleased(boolean reset) throws Exception {
        try (InstanceRig rig = startInstance()) {
            StubClient leaving = rig.connectStub();
            leaving.send(requests("note"));
            List<String> started = takeRuns(rig);
            leave(leaving, reset);
            Thread.sleep(DETECTION_MS);
            for (String id : started) {
                rig.interpreter.value(id, "good", "");
            }
            Thread.sleep(DETECTION_MS);
            rig.terminate();
            rig.awaitLog("drain: 0 exchanges open on 0 connections");
        }
    }

    /** A half-close is no departure: its client reads on, and all its requests are answered. */
    public void requestsOfAHalfClosedConnectionAreAnswered() throws Exception {
        try (InstanceRig rig = startInstance(); StubClient stub = rig.connectStub()) {
            stub.send(requests("note"));
            stub.socket.shutdownOutput();
            Thread.sleep(DETECTION_MS);
            int answers = 0;
            while (answers < REQUESTS) {
                String run = awaitNext(rig.interpreter.commands, "a run");
                rig.interpreter.value(run.substring(6, 22), "good", "");
                StubClient.Frame frame = stub.read();
                while (frame.type() != 4) {
                    frame = stub.read();
                }
                assertEquals(frame.code(), 79);
                answers++;
            }
        }
    }

    /** Its gauges show a busy interpreter, so that some requests run and the others are pending. */
    private static InstanceRig startInstance() throws Exception {
        InstanceRig rig = new InstanceRig();
        rig.interpreter.gauges = "1 9 0.1 1";
        rig.startHealthy();
        awaitNext(rig.interpreter.commands, "a link");
        return rig;
    }

    private static void leave(StubClient stub, boolean reset) throws Exception {
        if (reset) {
            stub.socket.setSoLinger(true, 0);
        }
        stub.close();
    }

    /** Sends all requests again; none that ran may run again, and each other one runs once at most. */
    private static void sendAgain(InstanceRig rig, Set<String> started) throws Exception {
        StubClient stub = rig.connectStub();
        stub.send(requests("note"));
        Set<String> seen = new HashSet<>(started);
        int answers = 0;
        long deadlineNanos = System.nanoTime() + ANSWERS_TIMEOUT_NANOS;
        while (answers < REQUESTS) {
            assertTrue(System.nanoTime() < deadlineNanos, "only " + answers + " requests are answered");
            for (String id : takeRuns(rig)) {
                assertTrue(seen.add(id), id + " is run twice");
                rig.interpreter.value(id, "good", "");
            }
            answers += readAnswers(stub, started);
        }
        assertEquals(seen.size(), REQUESTS);
    }

    private static int readAnswers(StubClient stub, Set<String> started) throws Exception {
        int answers = 0;
        while (stub.socket.getInputStream().available() > 0) {
            StubClient.Frame frame = stub.read();
            if (started.contains(id(frame.stream()))) {
                assertEquals(frame.code(), TERMINATED, "the second answer for an id that ran");
            }
            answers += frame.type() == 4 ? 1 : 0;
        }
        return answers;
    }

    private static String id(int number) {
        return String.format("%016x", number);
    }

    private static byte[] requests(String group) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int i = 1; i <= REQUESTS; i++) {
            bytes.writeBytes(StubClient.exchange(i, group, id(i), ""));
        }
        return bytes.toByteArray();
    }

    /** The ids of the runs that are requested until none comes for a while. */
    private static List<String> takeRuns(InstanceRig rig) throws InterruptedException {
        List<String> ids = new ArrayList<>();
        String command = rig.interpreter.commands.poll(QUIET_MS, TimeUnit.MILLISECONDS);
        while (command != null) {
            ids.add(command.substring(6, 22));
            command = rig.interpreter.commands.poll(QUIET_MS, TimeUnit.MILLISECONDS);
        }
        return ids;
    }
}
