package vetchrill.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;
import static vetchrill.StandIns.soon;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.testng.annotations.Test;
import vetchrill.StandIns;
import vetchrill.StandIns.Stub;

/** Stories of two events that cross at one instance: see the table of crossings in docs/network.md. */
@Test
public class CrossingsTest {
    private static final String A = "00000000000000aa";
    private static final String B = "00000000000000bb";

    private static String id(int number) {
        return String.format("%016x", number);
    }

    /** The address is held by another process, as by one that drains: the start waits, and hears signals meanwhile. */
    public void signalsBeforeTheListenerIsUpAreHeard() throws Exception {
        try (StandIns world = new StandIns()) {
            ServerSocket holder = new ServerSocket(world.port, 1, InetAddress.getLoopbackAddress());
            world.start();
            world.untilLogged("can't listen on");
            StandIns.Members members = new StandIns.Members();
            world.replace(world.interpreter, members);
            holder.close();
            assertEquals(soon(members.phases, "a report where the new configuration says"), "UP");
            try (Stub stub = world.stub()) {
                assertEquals(stub.check(), 79);
            }
        }
    }

    public void theNoticeToLeaveBeforeTheListenerIsUpEndsTheStart() throws Exception {
        try (StandIns world = new StandIns();
                ServerSocket holder = new ServerSocket(world.port, 1, InetAddress.getLoopbackAddress())) {
            world.start();
            world.untilLogged("can't listen on");
            world.terminate();
            assertEquals(world.exit(), 0);
            assertTrue(holder.isBound());
        }
    }

    /** Every cut of a frame: what came before the notice and what comes after it, within the grace and past it. */
    public void aRequestThatTheNoticeCutsBetweenAnyTwoBytesIsAnswered() throws Exception {
        for (boolean within : new boolean[] {true, false}) {
            try (StandIns world = new StandIns()) {
                world.instead.put("\"cores\":4", "\"cores\":64");
                world.instead.put("\"sockets\":64", "\"sockets\":1024");
                world.instead.put("\"stopSendingWithinMs\":500",
                        "\"stopSendingWithinMs\":" + (within ? 4_000 : 50));
                world.up();
                soon(world.interpreter.commands, "a link");
                byte[] frame = Stub.exchange(1, "look", id(0), "body");
                List<Stub> stubs = new ArrayList<>();
                List<byte[]> rests = new ArrayList<>();
                for (int cut = 1; cut < frame.length; cut += cut < 12 ? 1 : 9) {
                    // One that came past the grace is stamped so when it is written; a later stamp counts as now.
                    byte[] one = Stub.exchange(1, "look", id(cut), "body",
                            System.currentTimeMillis() + (within ? 0 : 60_000));
                    Stub stub = world.stub();
                    stub.send(Arrays.copyOf(one, cut));
                    stubs.add(stub);
                    rests.add(Arrays.copyOfRange(one, cut, one.length));
                }
                world.terminate();
                world.members.until("OUT");
                Thread.sleep(within ? 0 : 300);
                for (int i = 0; i < stubs.size(); i++) {
                    stubs.get(i).send(rests.get(i));
                    if (within) {
                        String run = soon(world.interpreter.commands, "a run");
                        world.interpreter.value(run.substring(6, 22), "good", "done");
                    }
                    assertEquals(stubs.get(i).read().code(), within ? 79 : 66, "stub " + i);
                }
                assertEquals(world.exit(), 0);
                for (Stub stub : stubs) {
                    assertEquals(stub.read(), new Stub.Frame(64, 0, 0, ""));
                    assertNull(stub.read());
                }
            }
        }
    }

    /** Whoever ends the process goes by what the configuration tells: an earlier stop holds, a later one does not. */
    public void anEarlierStopThatIsReadDuringTheDrainHolds() throws Exception {
        try (StandIns world = new StandIns()) {
            world.instead.put("\"stop_ms\":5000", "\"stop_ms\":25000");
            world.up();
            try (Stub stub = world.stub()) {
                soon(world.interpreter.commands, "a link");
                stub.ask(1, "note", A, "");
                soon(world.interpreter.commands, "a run");
                long since = System.nanoTime();
                world.terminate();
                world.untilLogged("drain: 1 exchanges open");
                world.instead.put("\"stop_ms\":5000", "\"stop_ms\":60000");
                world.replace(world.interpreter, world.members);
                world.untilLogged("configuration read again");
                world.instead.put("\"stop_ms\":5000", "\"stop_ms\":1500");
                world.replace(world.interpreter, world.members);
                assertEquals(stub.read(), new Stub.Frame(64, 0, 0, ""));
                assertEquals(stub.read(), new Stub.Frame(4, 1, 69, "\0"));
                assertNull(stub.read());
                assertEquals(world.exit(), 0);
                assertTrue(System.nanoTime() - since < 20_000_000_000L, "at the stop of the first configuration");
            }
        }
    }

    /** A service that takes a report and answers it byte by byte, each in time, all of them not. */
    public void aReportThatIsAnsweredInPiecesHoldsUpNoOther() throws Exception {
        try (StandIns world = new StandIns()) {
            world.members.it.slowly = 200;
            world.up();
            long since = System.nanoTime();
            world.terminate();
            world.members.until("OUT");
            assertTrue(System.nanoTime() - since < 2_000_000_000L, "the change waited behind a report in hand");
        }
    }

    /** Nobody lists it, its link is gone and its table is full of those that rest: all of it comes back. */
    public void idleClientsTakeNoDescriptorFromTheLinkAndTheReports() throws Exception {
        try (StandIns world = new StandIns().up()) {
            soon(world.interpreter.commands, "a link");
            world.members.it.status = 0;
            world.untilLogged("reports to the membership service fail");
            List<Stub> idle = new ArrayList<>();
            for (int i = 0; i < 70; i++) {
                idle.add(world.stub());
                if (i % 2 == 0) {
                    assertEquals(idle.get(i).check(), 79);
                }
            }
            world.interpreter.cut();
            assertEquals(soon(world.interpreter.commands, "a link again"), "CONNECT 0");
            world.members.it.status = 204;
            world.untilLogged("reports to the membership service are taken again");
            try (Stub stub = world.stub()) {
                stub.ask(1, "look", A, "");
                soon(world.interpreter.commands, "a run");
                world.interpreter.value(A, "good", "");
                assertEquals(stub.read().code(), 79);
            }
        }
    }

    /** All connections have something open: the next one waits, and what it brings is not thrown away. */
    public void aConnectionPastTheLimitWaitsAndIsNotClosed() throws Exception {
        try (StandIns world = new StandIns()) {
            world.instead.put("\"cores\":4", "\"cores\":64");
            world.up();
            soon(world.interpreter.commands, "a link");
            List<Stub> busy = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                busy.add(world.stub());
                busy.get(i).ask(1, "look", id(i), "");
                soon(world.interpreter.commands, "run " + i);
            }
            Stub next = world.stub();
            next.ask(1, "look", A, "");
            // Longer than any wait for room: all others are still busy.
            Thread.sleep(1_000);
            world.interpreter.value(id(0), "good", "");
            assertEquals(busy.get(0).read().code(), 79);
            busy.get(0).close();
            assertEquals(soon(world.interpreter.commands, "the run that waited"), "APPLY " + A + " look 0\n");
            world.interpreter.value(A, "good", "late");
            assertEquals(next.read(), new Stub.Frame(4, 1, 79, "\0late"));
        }
    }

    /** Told that nothing new is taken, with half of a request on its way: it is whole a while later, and is run. */
    public void aRequestInPiecesIsNotCutByAnIdleClose() throws Exception {
        try (StandIns world = new StandIns().up(); Stub stub = world.stub()) {
            soon(world.interpreter.commands, "a link");
            stub.ask(1, "look", A, "");
            soon(world.interpreter.commands, "a run");
            world.interpreter.value(A, "good", "");
            assertEquals(stub.read().code(), 79);
            byte[] frame = Stub.exchange(2, "look", B, "");
            world.interpreter.gauges = "0.95 1 0.1 1";
            assertEquals(stub.read(), new Stub.Frame(64, 0, 0, ""));
            stub.send(Arrays.copyOf(frame, 30));
            // Past the time in which a stub that was told so has to close.
            Thread.sleep(1_300);
            stub.send(Arrays.copyOfRange(frame, 30, frame.length));
            assertEquals(soon(world.interpreter.commands, "a run"), "APPLY " + B + " look 0\n");
            world.interpreter.value(B, "good", "");
            assertEquals(stub.read(), new Stub.Frame(4, 2, 79, "\0"));
        }
    }

    /** The process stands still from before the last look until after the closing of all: it answers first. */
    public void whatIsOwedAtTheStopGoesOutBeforeTheEndThoughTheProcessWasLate() throws Exception {
        try (StandIns world = new StandIns()) {
            world.instead.put("\"stop_ms\":5000", "\"stop_ms\":1500");
            world.up();
            try (Stub stub = world.stub()) {
                soon(world.interpreter.commands, "a link");
                stub.ask(1, "note", A, "");
                soon(world.interpreter.commands, "a run");
                world.terminate();
                assertEquals(stub.read(), new Stub.Frame(64, 0, 0, ""));
                world.signal("STOP");
                Thread.sleep(800);
                world.signal("CONT");
                assertEquals(stub.read(), new Stub.Frame(4, 1, 69, "\0"));
                assertNull(stub.read());
                assertEquals(world.exit(), 0);
            }
        }
    }

    /** One id on two connections: while the first runs, after its connection was reset, and once its run is over. */
    public void theSameIdIsRunOnceWhileItIsOpenAndAskedAfterLater() throws Exception {
        try (StandIns world = new StandIns().up(); Stub first = world.stub(); Stub second = world.stub()) {
            soon(world.interpreter.commands, "a link");
            first.ask(1, "note", A, "");
            soon(world.interpreter.commands, "a run");
            second.ask(1, "note", A, "");
            assertEquals(second.read(), new Stub.Frame(4, 1, 69, "\0"));
            first.socket.setSoLinger(true, 0);
            first.close();
            world.untilLogged("reset with 1 exchanges open");
            second.ask(2, "note", A, "");
            assertEquals(second.read(), new Stub.Frame(4, 2, 69, "\0"), "its run goes on, though nobody waits for it");
            assertTrue(world.interpreter.commands.isEmpty(), "asked for twice");
        }
    }
}
