package vetchrill.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;
import static vetchrill.InstanceRig.awaitNext;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.testng.annotations.Test;
import vetchrill.InstanceRig;
import vetchrill.InstanceRig.StubClient;

/** Tests of what one connection may cost an instance without carrying valid exchanges. */
@Test
public class ConnectionCostTest {
    private static final int EXCHANGE = 2;
    private static final int HEALTH_CHECK = 16;
    private static final int HEALTH_CHECK_ANSWER = 32;
    private static final int GO_AWAY = 64;
    private static final int MAX_FRAME_BYTES = 262_144;
    private static final int FRAME_HEADER_BYTES = 9;
    /** Far more than an instance reads of one connection, with what the system buffers. */
    private static final int ENDLESS_BYTES = 100 << 20;
    private static final long REPLY_TIMEOUT_NANOS = 3_000_000_000L;

    /** Guards against endless messages that are read without end and without a reply as their type is no request's. */
    public void endlessMessagesOfAnyTypeAreAnsweredAndEndTheConnection() throws Exception {
        try (InstanceRig rig = new InstanceRig().startHealthy(); StubClient other = rig.connectStub()) {
            awaitNext(rig.interpreter.commands, "a link");
            for (int type : new int[] {EXCHANGE, HEALTH_CHECK, HEALTH_CHECK_ANSWER, 255}) {
                StubClient endless = rig.connectStub();
                long connectedNanos = System.nanoTime();
                AtomicBoolean ended = sendEndlessly(endless, StubClient.frame(type, 1,
                        new byte[MAX_FRAME_BYTES + 4 - FRAME_HEADER_BYTES]));
                assertNotNull(endless.read(), "a reply to messages of type " + type);
                assertTrue(System.nanoTime() - connectedNanos < REPLY_TIMEOUT_NANOS, "the reply is in time");
                awaitEnd(endless);
                assertTrue(ended.get(), "messages of type " + type + " are read without end");
                assertEquals(other.checkHealth(), 79);
            }
        }
    }

    /** Guards against health checks that are answered as fast as one connection can send them. */
    public void endlessHealthChecksEndTheConnection() throws Exception {
        try (InstanceRig rig = new InstanceRig().startHealthy(); StubClient other = rig.connectStub()) {
            awaitNext(rig.interpreter.commands, "a link");
            StubClient endless = rig.connectStub();
            sendEndlessly(endless, StubClient.frame(HEALTH_CHECK, 1, StubClient.payload("")));
            boolean toldToClose = false;
            for (StubClient.Frame frame = endless.read(); frame != null; frame = endless.read()) {
                toldToClose |= frame.type() == GO_AWAY;
            }
            assertTrue(toldToClose);
            assertEquals(other.checkHealth(), 79);
        }
    }

    /** Health checks at a usual rate are never charged, however many come. */
    public void regularHealthChecksKeepTheirConnection() throws Exception {
        try (InstanceRig rig = new InstanceRig().startHealthy(); StubClient checks = rig.connectStub()) {
            for (int i = 0; i < 60; i++) {
                assertEquals(checks.checkHealth(), 79);
                Thread.sleep(50);
            }
            for (int i = 0; i < 40; i++) {
                assertEquals(checks.checkHealth(), 79, "in a burst");
            }
        }
    }

    /** Sends the frame again and again, on a thread of its own; the result is set once the connection has ended. */
    private static AtomicBoolean sendEndlessly(StubClient stub, byte[] frame) {
        AtomicBoolean ended = new AtomicBoolean();
        Thread sender = new Thread(() -> {
            try {
                for (int i = 0; i < ENDLESS_BYTES / frame.length; i++) {
                    stub.send(frame);
                }
            } catch (IOException e) {
                ended.set(true);
            }
        });
        sender.setDaemon(true);
        sender.start();
        return ended;
    }

    private static void awaitEnd(StubClient stub) throws Exception {
        for (StubClient.Frame frame = stub.read(); frame != null; frame = stub.read()) {
            continue;
        }
        // The sender notices the end on its next write.
        Thread.sleep(300);
    }
}
