package vetchrill.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;
import static vetchrill.InstanceRig.awaitNext;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.testng.annotations.Test;
import vetchrill.InstanceRig;
import vetchrill.InstanceRig.StubClient;

/** Tests of two events that coincide at one instance; see the table of crossings in docs/network.md. */
@Test
public class ConcurrentEventsTest {
    private static final String A = "00000000000000aa";
    private static final String B = "00000000000000bb";

    private static String id(int number) {
        return String.format("%016x", number);
    }

    /** While another process, such as one that drains, holds the address, the start waits and still handles signals. */
    public void signalsBeforeTheListenerIsUpAreHandled() throws Exception {
        try (InstanceRig rig = new InstanceRig()) {
            ServerSocket holder = new ServerSocket(rig.port, 1, InetAddress.getLoopbackAddress());
            rig.start();
            rig.awaitLog("can't listen on");
            InstanceRig.FakeMembership members = new InstanceRig.FakeMembership();
            rig.replaceConfiguration(rig.interpreter, members);
            holder.close();
            assertEquals(awaitNext(members.phases, "a report to the address of the new configuration"), "UP");
            try (StubClient stub = rig.connectStub()) {
                assertEquals(stub.checkHealth(), 79);
            }
        }
    }

    public void sigtermBeforeTheListenerIsUpEndsTheProcess() throws Exception {
        try (InstanceRig rig = new InstanceRig();
                ServerSocket holder = new ServerSocket(rig.port, 1, InetAddress.getLoopbackAddress())) {
            rig.start();
            rig.awaitLog("can't listen on");
            rig.terminate();
            assertEquals(rig.awaitExit(), 0);
            assertTrue(holder.isBound());
        }
    }

    /** Splits a frame at any byte, with SIGTERM between the parts; the request arrives within the grace or past it. */
    public void requestSplitAtAnyByteBySigtermIsAnswered() throws Exception {
        for (boolean within : new boolean[] {true, false}) {
            try (InstanceRig rig = new InstanceRig()) {
                rig.replacements.put("\"cores\":4", "\"cores\":64");
                rig.replacements.put("\"sockets\":64", "\"sockets\":1024");
                rig.replacements.put("\"stopSendingWithinMs\":500",
                        "\"stopSendingWithinMs\":" + (within ? 4_000 : 50));
                rig.startHealthy();
                awaitNext(rig.interpreter.commands, "a link");
                byte[] frame = StubClient.exchange(1, "look", id(0), "body");
                List<StubClient> stubs = new ArrayList<>();
                List<byte[]> remainders = new ArrayList<>();
                for (int cut = 1; cut < frame.length; cut += cut < 12 ? 1 : 9) {
                    // The timestamp is written with the frame, so for one past the grace it is set ahead; a time in the
                    // future counts as now.
                    byte[] one = StubClient.exchange(1, "look", id(cut), "body",
                            System.currentTimeMillis() + (within ? 0 : 60_000));
                    StubClient stub = rig.connectStub();
                    stub.send(Arrays.copyOf(one, cut));
                    stubs.add(stub);
                    remainders.add(Arrays.copyOfRange(one, cut, one.length));
                }
                rig.terminate();
                rig.membership.awaitPhase("OUT");
                Thread.sleep(within ? 0 : 300);
                for (int i = 0; i < stubs.size(); i++) {
                    stubs.get(i).send(remainders.get(i));
                    if (within) {
                        String run = awaitNext(rig.interpreter.commands, "a run");
                        rig.interpreter.value(run.substring(6, 22), "good", "done");
                    }
                    assertEquals(stubs.get(i).read().code(), within ? 79 : 66, "stub " + i);
                }
                assertEquals(rig.awaitExit(), 0);
                for (StubClient stub : stubs) {
                    assertEquals(stub.read(), new StubClient.Frame(64, 0, 0, ""));
                    assertNull(stub.read());
                }
            }
        }
    }

    /** Whoever ends the process goes by the configuration: an earlier stop applies, a later one is ignored. */
    public void shorterDrainTimeReloadedDuringTheDrainApplies() throws Exception {
        try (InstanceRig rig = new InstanceRig()) {
            rig.replacements.put("\"stop_ms\":5000", "\"stop_ms\":25000");
            rig.startHealthy();
            try (StubClient stub = rig.connectStub()) {
                awaitNext(rig.interpreter.commands, "a link");
                stub.sendExchange(1, "note", A, "");
                awaitNext(rig.interpreter.commands, "a run");
                long startNanos = System.nanoTime();
                rig.terminate();
                rig.awaitLog("drain: 1 exchanges open");
                rig.replacements.put("\"stop_ms\":5000", "\"stop_ms\":3000");
                rig.replaceConfiguration(rig.interpreter, rig.membership);
                rig.awaitLog("configuration read again");
                InstanceRig.FakeMembership members = new InstanceRig.FakeMembership();
                rig.replacements.put("\"stop_ms\":5000", "\"stop_ms\":60000");
                rig.replaceConfiguration(rig.interpreter, members);
                members.awaitPhase("OUT");
                assertEquals(stub.read(), new StubClient.Frame(64, 0, 0, ""));
                assertEquals(stub.read(), new StubClient.Frame(4, 1, 69, "\0"));
                assertNull(stub.read());
                assertEquals(rig.awaitExit(), 0);
                assertTrue(System.nanoTime() - startNanos < 20_000_000_000L,
                        "the process waited for the stop of the first configuration");
            }
        }
    }

    /** The service sends its response byte by byte: no single read times out, but the whole response takes too long. */
    public void slowResponseToAHealthReportDelaysNoOtherReport() throws Exception {
        try (InstanceRig rig = new InstanceRig()) {
            rig.membership.fake.byteDelayMs = 200;
            rig.startHealthy();
            long startNanos = System.nanoTime();
            rig.terminate();
            rig.membership.awaitPhase("OUT");
            assertTrue(System.nanoTime() - startNanos < 2_000_000_000L, "the change waited for the report in progress");
        }
    }

    /** With failing reports, a lost link and a table full of idle connections, the link and the reports recover. */
    public void idleClientsLeaveDescriptorsForTheLinkAndTheReports() throws Exception {
        try (InstanceRig rig = new InstanceRig().startHealthy()) {
            awaitNext(rig.interpreter.commands, "a link");
            rig.membership.fake.status = 0;
            rig.awaitLog("health reports to the membership service fail");
            List<StubClient> idle = new ArrayList<>();
            for (int i = 0; i < 70; i++) {
                idle.add(rig.connectStub());
                if (i % 2 == 0) {
                    assertEquals(idle.get(i).checkHealth(), 79);
                }
            }
            rig.interpreter.disconnect();
            assertEquals(awaitNext(rig.interpreter.commands, "a reconnect"), "CONNECT 0");
            rig.membership.fake.status = 204;
            rig.awaitLog("health reports to the membership service succeed again");
            try (StubClient stub = rig.connectStub()) {
                stub.sendExchange(1, "look", A, "");
                awaitNext(rig.interpreter.commands, "a run");
                rig.interpreter.value(A, "good", "");
                assertEquals(stub.read().code(), 79);
            }
        }
    }

    /** While all connections have an open exchange, the next connection waits, and its request is not lost. */
    public void connectionPastTheLimitWaitsAndIsNotClosed() throws Exception {
        try (InstanceRig rig = new InstanceRig()) {
            rig.replacements.put("\"cores\":4", "\"cores\":64");
            rig.startHealthy();
            awaitNext(rig.interpreter.commands, "a link");
            List<StubClient> busy = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                busy.add(rig.connectStub());
                busy.get(i).sendExchange(1, "look", id(i), "");
                awaitNext(rig.interpreter.commands, "run " + i);
            }
            StubClient next = rig.connectStub();
            next.sendExchange(1, "look", A, "");
            // Longer than any wait for a free slot; all other connections are still busy.
            Thread.sleep(1_000);
            rig.interpreter.value(id(0), "good", "");
            assertEquals(busy.get(0).read().code(), 79);
            busy.get(0).close();
            assertEquals(awaitNext(rig.interpreter.commands, "the run that waited"), "APPLY " + A + " look 0\n");
            rig.interpreter.value(A, "good", "late");
            assertEquals(next.read(), new StubClient.Frame(4, 1, 79, "\0late"));
        }
    }

    /** The stub is asked to close while half of its request is on the way; the other half comes later, and it runs. */
    public void partialRequestIsNotCutByAnIdleClose() throws Exception {
        try (InstanceRig rig = new InstanceRig().startHealthy(); StubClient stub = rig.connectStub()) {
            awaitNext(rig.interpreter.commands, "a link");
            stub.sendExchange(1, "look", A, "");
            awaitNext(rig.interpreter.commands, "a run");
            rig.interpreter.value(A, "good", "");
            assertEquals(stub.read().code(), 79);
            byte[] frame = StubClient.exchange(2, "look", B, "");
            rig.interpreter.gauges = "0.95 1 0.1 1";
            assertEquals(stub.read(), new StubClient.Frame(64, 0, 0, ""));
            stub.send(Arrays.copyOf(frame, 30));
            // Past the time that a stub has to close its connection.
            Thread.sleep(1_300);
            stub.send(Arrays.copyOfRange(frame, 30, frame.length));
            assertEquals(awaitNext(rig.interpreter.commands, "a run"), "APPLY " + B + " look 0\n");
            rig.interpreter.value(B, "good", "");
            assertEquals(stub.read(), new StubClient.Frame(4, 2, 79, "\0"));
        }
    }

    /** The process is suspended from before its last tick until after it should close all connections. */
    public void pendingAnswersAreSentBeforeTheStopWhenTheProcessWasSuspended() throws Exception {
        try (InstanceRig rig = new InstanceRig()) {
            rig.replacements.put("\"stop_ms\":5000", "\"stop_ms\":1500");
            rig.startHealthy();
            try (StubClient stub = rig.connectStub()) {
                awaitNext(rig.interpreter.commands, "a link");
                stub.sendExchange(1, "note", A, "");
                awaitNext(rig.interpreter.commands, "a run");
                rig.terminate();
                assertEquals(stub.read(), new StubClient.Frame(64, 0, 0, ""));
                rig.signal("STOP");
                Thread.sleep(800);
                rig.signal("CONT");
                assertEquals(stub.read(), new StubClient.Frame(4, 1, 69, "\0"));
                assertNull(stub.read());
                assertEquals(rig.awaitExit(), 0);
            }
        }
    }

    /** One id on two connections: while the first runs, and after the connection of the first was reset. */
    public void duplicateIdIsNotRunWhileTheFirstRunGoesOn() throws Exception {
        try (InstanceRig rig = new InstanceRig().startHealthy();
                StubClient first = rig.connectStub();
                StubClient second = rig.connectStub()) {
            awaitNext(rig.interpreter.commands, "a link");
            first.sendExchange(1, "note", A, "");
            awaitNext(rig.interpreter.commands, "a run");
            second.sendExchange(1, "note", A, "");
            assertEquals(second.read(), new StubClient.Frame(4, 1, 69, "\0"));
            first.socket.setSoLinger(true, 0);
            first.close();
            rig.awaitLog("reset with 1 exchanges open");
            second.sendExchange(2, "note", A, "");
            assertEquals(second.read(), new StubClient.Frame(4, 2, 69, "\0"),
                    "its run goes on, though no caller waits for it");
            assertTrue(rig.interpreter.commands.isEmpty(), "the run was requested twice");
        }
    }

    /** Guards against a late notice of a run that was requested twice, taken for the run of another with its id. */
    public void noticeOfASecondRunCompletesNoOtherExchangeWithTheId() throws Exception {
        try (InstanceRig rig = new InstanceRig().startHealthy();
                StubClient stub = rig.connectStub();
                StubClient other = rig.connectStub()) {
            awaitNext(rig.interpreter.commands, "a link");
            stub.sendExchange(1, "look", A, "own");
            awaitNext(rig.interpreter.commands, "a run");
            rig.interpreter.disconnect();
            assertEquals(awaitNext(rig.interpreter.commands, "a reconnect"), "CONNECT 0");
            assertEquals(awaitNext(rig.interpreter.commands, "the run again"), "APPLY " + A + " look 3\nown");
            rig.interpreter.value(A, "good", "first");
            assertEquals(stub.read(), new StubClient.Frame(4, 1, 79, "\0first"));
            other.sendExchange(1, "look", A, "foreign");
            assertEquals(other.read(), new StubClient.Frame(4, 1, 69, "\0"));
            rig.interpreter.value(A, "good", "second");
            other.sendExchange(2, "look", B, "");
            assertEquals(awaitNext(rig.interpreter.commands, "a run"), "APPLY " + B + " look 0\n");
        }
    }

    /** Guards against a second run of an exchange that comes again after its client has left. */
    public void idThatComesAgainAfterItsClientHasLeftIsNotRunTwice() throws Exception {
        try (InstanceRig rig = new InstanceRig().startHealthy();
                StubClient first = rig.connectStub();
                StubClient second = rig.connectStub()) {
            awaitNext(rig.interpreter.commands, "a link");
            first.sendExchange(1, "note", A, "");
            awaitNext(rig.interpreter.commands, "a run");
            first.socket.setSoLinger(true, 0);
            first.close();
            rig.awaitLog("reset with 1 exchanges open");
            rig.interpreter.value(A, "good", "to nobody");
            rig.awaitLog("run ended: status good");
            second.sendExchange(1, "note", A, "");
            assertEquals(second.read(), new StubClient.Frame(4, 1, 69, "\0"));
            assertTrue(rig.interpreter.commands.isEmpty(), "the run was requested twice");
        }
    }

    /** An id that another client sent first, and whose run the interpreter rejected, is free for its own client. */
    public void idWhoseRunWasRejectedIsRunForItsOwnClient() throws Exception {
        try (InstanceRig rig = new InstanceRig().startHealthy();
                StubClient thief = rig.connectStub();
                StubClient stub = rig.connectStub()) {
            awaitNext(rig.interpreter.commands, "a link");
            thief.sendExchange(1, "note", A, "foreign");
            awaitNext(rig.interpreter.commands, "a run");
            rig.interpreter.write("ERROR APPLY " + A + "\r\n");
            assertEquals(thief.read(), new StubClient.Frame(4, 1, 69, "\0"));
            stub.sendExchange(1, "note", A, "own");
            assertEquals(awaitNext(rig.interpreter.commands, "a run"), "APPLY " + A + " note 3\nown");
            rig.interpreter.value(A, "good", "done");
            assertEquals(stub.read(), new StubClient.Frame(4, 1, 79, "\0done"));
        }
    }
}
