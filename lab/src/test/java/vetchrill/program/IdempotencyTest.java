package vetchrill.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static vetchrill.InstanceRig.awaitNext;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;
import vetchrill.InstanceRig;
import vetchrill.InstanceRig.StubClient;

/**
 * Tests of a deduplicated endpoint group: a retry has an id of its own and the token of the first attempt, and the
 * exchange must not run twice.
 */
@Test
public class IdempotencyTest {
    private static final int WINDOW_MS = 12_000;
    private int ids;

    private static InstanceRig rig() throws Exception {
        InstanceRig rig = new InstanceRig();
        rig.replacements.put("\"effect\":\"single_shot\"", "\"effect\":\"guarded\",\"keyTtlMs\":" + WINDOW_MS);
        return rig;
    }

    private String id() {
        return String.format("%016x", ++ids);
    }

    private static byte[] pay(int stream, String id, String token, String body, long arrivalMs) {
        return StubClient.frame(2, stream,
                StubClient.payload(body, "method", "note", "rid", id, "t0", Long.toString(arrivalMs),
                "peer", "4", "acct", "acme", "mem", "24.5", "prio", "0.6250", "token", token));
    }

    private String pay(StubClient stub, int stream, String token, String body) throws Exception {
        String id = id();
        stub.send(pay(stream, id, token, body, System.currentTimeMillis()));
        return id;
    }

    private static String applyCommand(String id, String body) {
        return "APPLY " + id + " note " + body.length() + "\n" + body;
    }

    public void retryIsAnsweredFromTheOriginalAndNotRun() throws Exception {
        try (InstanceRig rig = rig().startHealthy();
                StubClient stub = rig.connectStub();
                StubClient other = rig.connectStub()) {
            awaitNext(rig.interpreter.commands, "a link");
            String first = pay(stub, 1, "t1", "one");
            assertEquals(awaitNext(rig.interpreter.commands, "a run"), applyCommand(first, "one"));
            pay(other, 9, "t1", "one");
            assertEquals(other.checkHealth(), 79, "the retry was read, and waits");
            rig.interpreter.value(first, "good", "done");
            assertEquals(stub.read(), new StubClient.Frame(4, 1, 79, "\0done"));
            assertEquals(other.read(), new StubClient.Frame(4, 9, 79, "\0done"));
            pay(other, 10, "t1", "one");
            assertEquals(other.read(), new StubClient.Frame(4, 10, 79, "\0done"), "from the stored answer");
            assertTrue(rig.interpreter.commands.isEmpty(), "the exchange was run again");
        }
    }

    public void runGoesOnForARetryAfterTheFirstConnectionIsReset() throws Exception {
        try (InstanceRig rig = rig().startHealthy();
                StubClient stub = rig.connectStub();
                StubClient other = rig.connectStub()) {
            awaitNext(rig.interpreter.commands, "a link");
            String first = pay(stub, 1, "t1", "one");
            awaitNext(rig.interpreter.commands, "a run");
            stub.socket.setSoLinger(true, 0);
            stub.close();
            rig.awaitLog("reset with 1 exchanges open");
            pay(other, 1, "t1", "one");
            assertEquals(other.checkHealth(), 79);
            rig.interpreter.value(first, "good", "done");
            assertEquals(other.read(), new StubClient.Frame(4, 1, 79, "\0done"));
            assertTrue(rig.interpreter.commands.isEmpty(), "the exchange was run again");
        }
    }

    public void failedExchangeIsNotRunAgainAndNeverDenied() throws Exception {
        try (InstanceRig rig = rig().startHealthy(); StubClient stub = rig.connectStub()) {
            awaitNext(rig.interpreter.commands, "a link");
            String first = pay(stub, 1, "t1", "one");
            awaitNext(rig.interpreter.commands, "a run");
            rig.interpreter.value(first, "bad", "");
            assertEquals(stub.read().code(), 69);
            pay(stub, 2, "t1", "one");
            assertEquals(stub.read(), new StubClient.Frame(4, 2, 69, "\0"));
            assertTrue(rig.interpreter.commands.isEmpty(), "the exchange was run again");
        }
    }

    public void otherBodyOrTokenIsAnotherExchangeAndAMissingTokenIsBadInput() throws Exception {
        try (InstanceRig rig = rig().startHealthy(); StubClient stub = rig.connectStub()) {
            awaitNext(rig.interpreter.commands, "a link");
            for (String[] each : new String[][] {{"t1", "one"}, {"t1", "two"}, {"t2", "one"}}) {
                String id = pay(stub, ids + 1, each[0], each[1]);
                assertEquals(awaitNext(rig.interpreter.commands, "a run"), applyCommand(id, each[1]));
                rig.interpreter.value(id, "good", each[0] + each[1]);
                assertEquals(stub.read(), new StubClient.Frame(4, ids, 79, "\0" + each[0] + each[1]));
            }
            stub.sendExchange(50, "note", id(), "one");
            assertEquals(stub.read(), new StubClient.Frame(4, 50, 69, "\0"));
        }
    }

    /**
     * The window starts when the first attempt arrives; a retry counts by its time of arrival, however late it is read.
     */
    public void onlyARetryThatArrivesAfterTheWindowIsRunAgain() throws Exception {
        try (InstanceRig rig = rig().startHealthy(); StubClient stub = rig.connectStub()) {
            awaitNext(rig.interpreter.commands, "a link");
            long now = System.currentTimeMillis();
            String first = id();
            stub.send(pay(1, first, "t1", "one", now - WINDOW_MS + 3_000));
            awaitNext(rig.interpreter.commands, "a run");
            rig.interpreter.value(first, "good", "done");
            assertEquals(stub.read().code(), 79);
            while (System.currentTimeMillis() < now + 3_300) {
                Thread.sleep(20);
            }
            stub.send(pay(2, id(), "t1", "one", now + 2_900));
            assertEquals(stub.read(), new StubClient.Frame(4, 2, 79, "\0done"), "it arrived within the window");
            String again = pay(stub, 3, "t1", "one");
            assertEquals(awaitNext(rig.interpreter.commands, "a run"), applyCommand(again, "one"));
        }
    }

    /** Without space, stored results are dropped and their retries fail; keys stay, and new exchanges are denied. */
    public void memoryPressureCausesNoSecondRun() throws Exception {
        try (InstanceRig rig = rig()) {
            rig.replacements.put("\"memory_mb\":192", "\"memory_mb\":1");
            rig.replacements.put("\"cores\":4", "\"cores\":64");
            rig.startHealthy();
            StubClient stub = rig.connectStub();
            awaitNext(rig.interpreter.commands, "a link");
            List<Integer> codes = new ArrayList<>();
            for (int i = 1; i <= 140; i++) {
                String id = pay(stub, i, "t" + i, "one");
                Thread.onSpinWait();
                if (i <= 136) {
                    assertEquals(awaitNext(rig.interpreter.commands, "a run"), applyCommand(id, "one"));
                    rig.interpreter.value(id, "good", "x".repeat(4_000));
                }
                codes.add(stub.read().code());
            }
            assertEquals(codes.stream().filter(code -> code == 79).count(), 136, "as many as keys fit");
            assertEquals(codes.subList(136, 140), List.of(66, 66, 66, 66));
            pay(stub, 200, "t1", "one");
            assertEquals(stub.read(), new StubClient.Frame(4, 200, 69, "\0"), "its result was dropped");
            pay(stub, 201, "t136", "one");
            assertEquals(stub.read().code(), 79, "the last result is still stored");
            assertTrue(rig.interpreter.commands.isEmpty(), "the exchange was run again");
        }
    }
}
