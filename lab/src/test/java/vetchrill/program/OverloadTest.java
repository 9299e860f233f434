package vetchrill.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static vetchrill.InstanceRig.awaitNext;

import org.testng.annotations.Test;
import vetchrill.InstanceRig;
import vetchrill.InstanceRig.StubClient;

/** Tests of an instance that is sent more than it can hold. */
@Test
public class OverloadTest {
    private static final int OPEN_PER_CONNECTION = 32;
    private static final int REJECTIONS = 45_000;
    private static final int DENIED = 66;
    private static final String RUNNING_ID = "ffffffffffffffff";

    /**
     * Guards against an instance that keeps the bodies of rejected exchanges for as long as their keys would be valid:
     * those sent here are larger in sum than its heap.
     */
    public void rejectedDeduplicatedExchangesDoNotFillTheHeap() throws Exception {
        try (InstanceRig rig = new InstanceRig()) {
            rig.replacements.put("\"effect\":\"single_shot\"", "\"effect\":\"guarded\",\"keyTtlMs\":600000");
            // Runs count as stuck after some 500 ms, and then every exchange is rejected at once.
            rig.replacements.put("\"aimMs\":15000", "\"aimMs\":600");
            rig.logLevel = "INFO";
            rig.startHealthy();
            try (StubClient stub = rig.connectStub(); StubClient other = rig.connectStub()) {
                awaitNext(rig.interpreter.commands, "a link");
                other.sendExchange(1, "look", RUNNING_ID, "");
                awaitNext(rig.interpreter.commands, "a run that never ends");
                rig.awaitLog("health is bad");
                int rejected = 0;
                byte[] body = new byte[2048];
                int stream = 0;
                while (rejected < REJECTIONS) {
                    for (int i = 0; i < OPEN_PER_CONNECTION; i++) {
                        stub.send(keyedExchange(++stream, body));
                    }
                    for (int i = 0; i < OPEN_PER_CONNECTION; i++) {
                        StubClient.Frame frame = stub.read();
                        assertTrue(frame != null, "the connection ended after " + rejected + " rejections");
                        assertEquals(frame.code(), DENIED, "after " + rejected + " rejections");
                        rejected++;
                    }
                }
                rig.interpreter.value(RUNNING_ID, "good", "done");
                assertEquals(other.read(), new StubClient.Frame(4, 1, 79, "\0done"));
                assertTrue(rig.isAlive(), rig.logText());
            }
        }
    }

    private static byte[] keyedExchange(int number, byte[] body) {
        String digits = String.format("%016x", number);
        return StubClient.frame(2, number, StubClient.payload(new String(body), "method", "note", "rid", digits, "t0",
                Long.toString(System.currentTimeMillis()), "peer", "4", "acct", "acme", "mem", "24.5", "prio",
                "0.6250", "token", digits));
    }
}
