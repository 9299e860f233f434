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

/** Stories of two events that cross at one instance: see the table of crossings in docs/network.md. */
@Test
public class ConcurrentEventsTest {
    private static final String A = "00000000000000aa";
    private static final String B = "00000000000000bb";

    private static String id(int number) {
        return String.format("%016x", number);
    }

    /** The address is held by another process, as by one that drains: the start waits, and hears signals meanwhile. */
    public void signalsBeforeTheListenerIsUpAreHandled() throws Exception {
        try (InstanceRig world = new InstanceRig()) {
            ServerSocket holder = new ServerSocket(world.port, 1, InetAddress.getLoopbackAddress());
            world.start();
            world.awaitLog("can't listen on");
            InstanceRig.FakeMembership members = new InstanceRig.FakeMembership();
            world.replaceConfiguration(world.interpreter, members);
            holder.close();
            assertEquals(awaitNext(members.phases, "a report where the new configuration says"), "UP");
            try (StubClient stub = world.connectStub()) {
                assertEquals(stub.checkHealth(), 79);
            }
        }
    }

    public void sigtermBeforeTheListenerIsUpEndsTheProcess() throws Exception {
        try (InstanceRig world = new InstanceRig();
                ServerSocket holder = new ServerSocket(world.port, 1, InetAddress.getLoopbackAddress())) {
            world.start();
            world.awaitLog("can't listen on");
            world.terminate();
            assertEquals(world.awaitExit(), 0);
            assertTrue(holder.isBound());
        }
    }

    /** Every cut of a frame: what came before the notice and what comes after it, within the grace and past it. */
    public void requestSplitAtAnyByteBySigtermIsAnswered() throws Exception {
        for (boolean within : new boolean[] {true, false}) {
            try (InstanceRig world = new InstanceRig()) {
                world.replacements.put("\"cores\":4", "\"cores\":64");
                world.replacements.put("\"sockets\":64", "\"sockets\":1024");
                world.replacements.put("\"stopSendingWithinMs\":500",
                        "\"stopSendingWithinMs\":" + (within ? 4_000 : 50));
                world.startHealthy();
                awaitNext(world.interpreter.commands, "a link");
                byte[] frame = StubClient.exchange(1, "look", id(0), "body");
                List<StubClient> stubs = new ArrayList<>();
                List<byte[]> rests = new ArrayList<>();
                for (int cut = 1; cut < frame.length; cut += cut < 12 ? 1 : 9) {
                    // One that came past the grace is stamped so when it is written; a later stamp counts as now.
                    byte[] one = StubClient.exchange(1, "look", id(cut), "body",
                            System.currentTimeMillis() + (within ? 0 : 60_000));
                    StubClient stub = world.connectStub();
                    stub.send(Arrays.copyOf(one, cut));
                    stubs.add(stub);
                    rests.add(Arrays.copyOfRange(one, cut, one.length));
                }
                world.terminate();
                world.membership.awaitPhase("OUT");
                Thread.sleep(within ? 0 : 300);
                for (int i = 0; i < stubs.size(); i++) {
                    stubs.get(i).send(rests.get(i));
                    if (within) {
                        String run = awaitNext(world.interpreter.commands, "a run");
                        world.interpreter.value(run.substring(6, 22), "good", "done");
                    }
                    assertEquals(stubs.get(i).read().code(), within ? 79 : 66, "stub " + i);
                }
                assertEquals(world.awaitExit(), 0);
                for (StubClient stub : stubs) {
                    assertEquals(stub.read(), new StubClient.Frame(64, 0, 0, ""));
                    assertNull(stub.read());
                }
            }
        }
    }

    /** Whoever ends the process goes by what the configuration tells: an earlier stop holds, a later one does not. */
    public void shorterDrainTimeReloadedDuringTheDrainApplies() throws Exception {
        try (InstanceRig world = new InstanceRig()) {
            world.replacements.put("\"stop_ms\":5000", "\"stop_ms\":25000");
            world.startHealthy();
            try (StubClient stub = world.connectStub()) {
                awaitNext(world.interpreter.commands, "a link");
                stub.sendExchange(1, "note", A, "");
                awaitNext(world.interpreter.commands, "a run");
                long since = System.nanoTime();
                world.terminate();
                world.awaitLog("drain: 1 exchanges open");
                world.replacements.put("\"stop_ms\":5000", "\"stop_ms\":3000");
                world.replaceConfiguration(world.interpreter, world.membership);
                world.awaitLog("configuration read again");
                InstanceRig.FakeMembership members = new InstanceRig.FakeMembership();
                world.replacements.put("\"stop_ms\":5000", "\"stop_ms\":60000");
                world.replaceConfiguration(world.interpreter, members);
                members.awaitPhase("OUT");
                assertEquals(stub.read(), new StubClient.Frame(64, 0, 0, ""));
                assertEquals(stub.read(), new StubClient.Frame(4, 1, 69, "\0"));
                assertNull(stub.read());
                assertEquals(world.awaitExit(), 0);
                assertTrue(System.nanoTime() - since < 20_000_000_000L, "at the stop of the first configuration");
            }
        }
    }

    /** A service that takes a report and answers it byte by byte, each in time, all of them not. */
    public void slowResponseToAHealthReportDelaysNoOtherReport() throws Exception {
        try (InstanceRig world = new InstanceRig()) {
            world.membership.fake.slowly = 200;
            world.startHealthy();
            long since = System.nanoTime();
            world.terminate();
            world.membership.awaitPhase("OUT");
            assertTrue(System.nanoTime() - since < 2_000_000_000L, "the change waited behind a report in hand");
        }
    }

    /** Nobody lists it, its link is gone and its table is full of those that rest: all of it comes back. */
    public void idleClientsLeaveDescriptorsForTheLinkAndTheReports() throws Exception {
        try (InstanceRig world = new InstanceRig().startHealthy()) {
            awaitNext(world.interpreter.commands, "a link");
            world.membership.fake.status = 0;
            world.awaitLog("health reports to the membership service fail");
            List<StubClient> idle = new ArrayList<>();
            for (int i = 0; i < 70; i++) {
                idle.add(world.connectStub());
                if (i % 2 == 0) {
                    assertEquals(idle.get(i).checkHealth(), 79);
                }
            }
            world.interpreter.disconnect();
            assertEquals(awaitNext(world.interpreter.commands, "a link again"), "CONNECT 0");
            world.membership.fake.status = 204;
            world.awaitLog("health reports to the membership service succeed again");
            try (StubClient stub = world.connectStub()) {
                stub.sendExchange(1, "look", A, "");
                awaitNext(world.interpreter.commands, "a run");
                world.interpreter.value(A, "good", "");
                assertEquals(stub.read().code(), 79);
            }
        }
    }

    /** All connections have something open: the next one waits, and what it brings is not thrown away. */
    public void connectionPastTheLimitWaitsAndIsNotClosed() throws Exception {
        try (InstanceRig world = new InstanceRig()) {
            world.replacements.put("\"cores\":4", "\"cores\":64");
            world.startHealthy();
            awaitNext(world.interpreter.commands, "a link");
            List<StubClient> busy = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                busy.add(world.connectStub());
                busy.get(i).sendExchange(1, "look", id(i), "");
                awaitNext(world.interpreter.commands, "run " + i);
            }
            StubClient next = world.connectStub();
            next.sendExchange(1, "look", A, "");
            // Longer than any wait for room: all others are still busy.
            Thread.sleep(1_000);
            world.interpreter.value(id(0), "good", "");
            assertEquals(busy.get(0).read().code(), 79);
            busy.get(0).close();
            assertEquals(awaitNext(world.interpreter.commands, "the run that waited"), "APPLY " + A + " look 0\n");
            world.interpreter.value(A, "good", "late");
            assertEquals(next.read(), new StubClient.Frame(4, 1, 79, "\0late"));
        }
    }

    /** Told that nothing new is taken, with half of a request on its way: it is whole a while later, and is run. */
    public void partialRequestIsNotCutByAnIdleClose() throws Exception {
        try (InstanceRig world = new InstanceRig().startHealthy(); StubClient stub = world.connectStub()) {
            awaitNext(world.interpreter.commands, "a link");
            stub.sendExchange(1, "look", A, "");
            awaitNext(world.interpreter.commands, "a run");
            world.interpreter.value(A, "good", "");
            assertEquals(stub.read().code(), 79);
            byte[] frame = StubClient.exchange(2, "look", B, "");
            world.interpreter.gauges = "0.95 1 0.1 1";
            assertEquals(stub.read(), new StubClient.Frame(64, 0, 0, ""));
            stub.send(Arrays.copyOf(frame, 30));
            // Past the time in which a stub that was told so has to close.
            Thread.sleep(1_300);
            stub.send(Arrays.copyOfRange(frame, 30, frame.length));
            assertEquals(awaitNext(world.interpreter.commands, "a run"), "APPLY " + B + " look 0\n");
            world.interpreter.value(B, "good", "");
            assertEquals(stub.read(), new StubClient.Frame(4, 2, 79, "\0"));
        }
    }

    /** The process stands still from before the last look until after the closing of all: it answers first. */
    public void pendingAnswersAreSentBeforeTheStopWhenTheProcessWasSuspended() throws Exception {
        try (InstanceRig world = new InstanceRig()) {
            world.replacements.put("\"stop_ms\":5000", "\"stop_ms\":1500");
            world.startHealthy();
            try (StubClient stub = world.connectStub()) {
                awaitNext(world.interpreter.commands, "a link");
                stub.sendExchange(1, "note", A, "");
                awaitNext(world.interpreter.commands, "a run");
                world.terminate();
                assertEquals(stub.read(), new StubClient.Frame(64, 0, 0, ""));
                world.signal("STOP");
                Thread.sleep(800);
                world.signal("CONT");
                assertEquals(stub.read(), new StubClient.Frame(4, 1, 69, "\0"));
                assertNull(stub.read());
                assertEquals(world.awaitExit(), 0);
            }
        }
    }

    /** One id on two connections: while the first runs, after its connection was reset, and once its run is over. */
    public void duplicateIdIsNotRunWhileTheFirstRunGoesOn() throws Exception {
        try (InstanceRig world = new InstanceRig()
                .startHealthy(); StubClient first = world.connectStub(); StubClient second = world.connectStub()) {
            awaitNext(world.interpreter.commands, "a link");
            first.sendExchange(1, "note", A, "");
            awaitNext(world.interpreter.commands, "a run");
            second.sendExchange(1, "note", A, "");
            assertEquals(second.read(), new StubClient.Frame(4, 1, 69, "\0"));
            first.socket.setSoLinger(true, 0);
            first.close();
            world.awaitLog("reset with 1 exchanges open");
            second.sendExchange(2, "note", A, "");
            assertEquals(second.read(), new StubClient.Frame(4, 2, 69, "\0"),
                    "its run goes on, though nobody waits for it");
            assertTrue(world.interpreter.commands.isEmpty(), "asked for twice");
        }
    }
}
