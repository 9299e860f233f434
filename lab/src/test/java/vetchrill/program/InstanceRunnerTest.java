package vetchrill.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static vetchrill.InstanceRig.awaitNext;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.testng.annotations.Test;
import vetchrill.InstanceRig;
import vetchrill.InstanceRig.StubClient;

/** Tests of one instance that runs as a process of its own and is reached over sockets. */
@Test
public class InstanceRunnerTest {
    private static final String A = "00000000000000aa";
    private static final String B = "00000000000000bb";
    private static final int VIOLATION_LIMIT = 8;
    private static final int MAX_OPEN = 32;

    public void exchangeIsRunAndItsResultIsReturnedUnchanged() throws Exception {
        try (InstanceRig rig = new InstanceRig().startHealthy(); StubClient stub = rig.connectStub()) {
            assertEquals(awaitNext(rig.interpreter.commands, "a link"), "CONNECT 0");
            assertEquals(stub.checkHealth(), 79);
            stub.sendExchange(7, "look", A, "APPLY x\r\n\0\u00ff");
            assertEquals(awaitNext(rig.interpreter.commands, "a run"),
                    "APPLY " + A + " look 11\nAPPLY x\r\n\0\u00ff");
            rig.interpreter.value(A, "good", "VALUE\r\n\0\u00fe");
            assertEquals(stub.read(), new StubClient.Frame(4, 7, 79, "\0VALUE\r\n\0\u00fe"));
        }
    }

    public void answersFollowTheOrderInWhichRunsEnd() throws Exception {
        try (InstanceRig rig = new InstanceRig().startHealthy(); StubClient stub = rig.connectStub()) {
            stub.sendExchange(1, "note", A, "");
            stub.sendExchange(2, "look", B, "");
            awaitNext(rig.interpreter.commands, "a link");
            awaitNext(rig.interpreter.commands, "a run");
            awaitNext(rig.interpreter.commands, "another run");
            rig.interpreter.value(B, "bad", "");
            rig.interpreter.value(A, "good", "kept");
            assertEquals(stub.read(), new StubClient.Frame(4, 2, 69, "\0"));
            assertEquals(stub.read(), new StubClient.Frame(4, 1, 79, "\0kept"));
        }
    }

    public void unhealthyAndUnreportedUntilTheInterpreterIsUp() throws Exception {
        try (InstanceRig rig = new InstanceRig()) {
            rig.interpreter.withholdsBanner = true;
            rig.start();
            awaitNext(rig.interpreter.commands, "a link");
            try (StubClient stub = rig.connectStub()) {
                assertEquals(stub.checkHealth(), 69);
                assertTrue(rig.membership.phases.isEmpty(), "reported before it can run anything");
                rig.interpreter.banner(0);
                assertEquals(awaitNext(rig.membership.phases, "a report"), "UP");
                assertEquals(stub.checkHealth(), 79);
            }
        }
    }

    /** Found by fuzzing: with an interpreter that came up after SIGTERM, the grace ran from its banner. */
    public void drainGraceRunsFromSigtermWhenTheInterpreterComesUpLater() throws Exception {
        try (InstanceRig rig = new InstanceRig()) {
            rig.interpreter.withholdsBanner = true;
            rig.start();
            awaitNext(rig.interpreter.commands, "a link");
            try (StubClient stub = rig.connectStub()) {
                rig.terminate();
                rig.awaitLog("drain: ");
                Thread.sleep(700);
                rig.interpreter.banner(0);
                rig.awaitLog("the interpreter is up");
                stub.sendExchange(1, "look", A, "");
                assertEquals(stub.read().code(), 66);
                assertTrue(rig.interpreter.commands.stream().noneMatch(each -> each.startsWith("APPLY")));
            }
        }
    }

    public void reloadChangesServiceAddressesAndKeepsOpenExchanges() throws Exception {
        try (InstanceRig rig = new InstanceRig().startHealthy(); StubClient stub = rig.connectStub()) {
            awaitNext(rig.interpreter.commands, "a link");
            stub.sendExchange(1, "note", A, "");
            awaitNext(rig.interpreter.commands, "a run");
            stub.sendExchange(2, "look", B, "");
            awaitNext(rig.interpreter.commands, "another run");
            rig.interpreter.value(B, "good", "early");
            assertEquals(stub.read(), new StubClient.Frame(4, 2, 79, "\0early"));
            rig.replaceConfiguration("{ no configuration");
            rig.awaitLog("configuration rejected");
            InstanceRig.FakeInterpreter moved = rig.interpreter.moveToNewPort();
            InstanceRig.FakeMembership members = new InstanceRig.FakeMembership();
            rig.replaceConfiguration(moved, members);
            assertEquals(awaitNext(moved.commands, "a link to the new address"), "CONNECT 1");
            assertEquals(awaitNext(members.phases, "a report to the new address"), "UP");
            moved.value(A, "good", "late");
            assertEquals(stub.read(), new StubClient.Frame(4, 1, 79, "\0late"));
            stub.sendExchange(3, "look", "00000000000000cc", "");
            assertEquals(awaitNext(moved.commands, "a run"), "APPLY 00000000000000cc look 0\n");
            assertTrue(rig.interpreter.commands.isEmpty(), "a command was sent to the old address");
            // A repeated notice has no effect, and later changes of health are reported to the new address too.
            moved.write("VALUE 3 00000000000000cc good 1 0\r\n\r\nVALUE 3 00000000000000cc good 1 0\r\n\r\n");
            assertEquals(stub.read(), new StubClient.Frame(4, 3, 79, "\0"));
            rig.terminate();
            members.awaitPhase("OUT");
        }
    }

    /**
     * Found by a fleet trial that was started with nohup: the runtime installs no handler for a signal that was ignored
     * at its start, so all instances kept the addresses of an outdated configuration.
     */
    public void deployedCommandReloadsThoughItsParentIgnoresSighup() throws Exception {
        Path root = Path.of(System.getProperty("maven.multiModuleProjectDirectory", "..")).toAbsolutePath();
        String run = Files.readAllLines(root.resolve("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("run = ")).findFirst().orElseThrow().replaceAll("^run = \"|\"$", "");
        try (InstanceRig rig = new InstanceRig()) {
            rig.start(new ProcessBuilder("/bin/sh", "-c", "trap '' HUP TERM; exec /bin/sh -c \"$0\"", run)
                    .directory(root.toFile()));
            assertEquals(awaitNext(rig.membership.phases, "a report"), "UP");
            InstanceRig.FakeMembership members = new InstanceRig.FakeMembership();
            rig.replaceConfiguration(rig.interpreter, members);
            assertEquals(awaitNext(members.phases, "a report to the new address"), "UP");
            rig.terminate();
            members.awaitPhase("OUT");
        }
    }

    /** If the parent leaves the signal ignored, a log line is the only hint of it. */
    public void ignoredSignalIsLogged() throws Exception {
        try (InstanceRig rig = new InstanceRig()) {
            rig.start(new ProcessBuilder("/bin/sh", "-c", "trap '' HUP; exec \"$0\" \"$@\"",
                    System.getProperty("java.home") + "/bin/java", "-cp", System.getProperty("surefire.test.class.path",
                    System.getProperty("java.class.path")), "vetchrill.Main", "serve"));
            rig.awaitLog("SIGHUP was ignored by the parent of this process");
        }
    }

    /** Found by a fleet trial: a connection made at the end of a drain was closed without an answer to its request. */
    public void connectionsAreRefusedAtTheEndOfADrain() throws Exception {
        try (InstanceRig rig = new InstanceRig()) {
            rig.replacements.put("\"stop_ms\":5000", "\"stop_ms\":1500");
            rig.startHealthy();
            rig.terminate();
            rig.awaitLog("drain: ");
            try (StubClient stub = rig.connectStub()) {
                stub.sendExchange(1, "look", A, "");
                assertEquals(stub.read().code() > 0, true, "accepted and answered while connections are accepted");
                assertEquals(stub.read().type(), 64);
                assertThrows(ConnectException.class, rig::connectStub);
                assertTrue(rig.isAlive());
            }
        }
    }

    public void linkWithoutAnAnswerIsRetriedSoon() throws Exception {
        try (InstanceRig rig = new InstanceRig().startHealthy();
                ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                Socket one = new Socket(full.getInetAddress(), full.getLocalPort());
                Socket two = new Socket(full.getInetAddress(), full.getLocalPort())) {
            rig.replaceConfiguration(full.getLocalPort());
            rig.awaitLog("configuration read again");
            Thread.sleep(150);
            full.accept();
            full.accept();
            full.setSoTimeout(600);
            full.accept();
        }
    }

    /**
     * Found by fuzzing: the query that reconciles a new link was sent only once, and without its reply nothing ran any
     * more.
     */
    public void reconciliationIsRetriedWhenTheInterpreterDoesNotAnswer() throws Exception {
        try (InstanceRig rig = new InstanceRig().startHealthy(); StubClient stub = rig.connectStub()) {
            awaitNext(rig.interpreter.commands, "a link");
            rig.interpreter.withholdsGauges = true;
            rig.interpreter.disconnect();
            awaitNext(rig.interpreter.commands, "a reconnect");
            Thread.sleep(200);
            rig.interpreter.withholdsGauges = false;
            stub.sendExchange(1, "look", A, "");
            assertEquals(awaitNext(rig.interpreter.commands, "a run"), "APPLY " + A + " look 0\n");
        }
    }

    /** Found by fuzzing: a run lost with its link held its slot forever if its stub was disconnected as well. */
    public void runOfUnknownStateIsQueriedAfterItsStubWasReset() throws Exception {
        try (InstanceRig rig = new InstanceRig().startHealthy();
                StubClient stub = rig.connectStub();
                StubClient other = rig.connectStub()) {
            awaitNext(rig.interpreter.commands, "a link");
            stub.sendExchange(1, "note", A, "");
            awaitNext(rig.interpreter.commands, "a run");
            rig.interpreter.disconnect();
            awaitNext(rig.interpreter.commands, "a reconnect");
            other.sendExchange(1, "look", B, "");
            assertEquals(awaitNext(rig.interpreter.commands, "another run"), "APPLY " + B + " look 0\n");
            stub.socket.setSoLinger(true, 0);
            stub.socket.close();
            assertEquals(awaitNext(rig.interpreter.commands, "a query of the run"), "APPLY " + A + " note 0\n");
        }
    }

    public void unansweredHealthReportsDelayNoOtherReport() throws Exception {
        try (InstanceRig rig = new InstanceRig()) {
            rig.membership.fake.status = 0;
            rig.startHealthy();
            Thread.sleep(100);
            long startNanos = System.nanoTime();
            rig.terminate();
            rig.membership.awaitPhase("OUT");
            assertTrue(System.nanoTime() - startNanos < 1_000_000_000L, "the change waited for the report in progress");
        }
    }

    public void slowSenderOrReaderDelaysNoOtherStub() throws Exception {
        try (InstanceRig rig = new InstanceRig().startHealthy();
                StubClient slow = rig.connectStub();
                StubClient nonReader = rig.connectStub();
                StubClient quick = rig.connectStub()) {
            awaitNext(rig.interpreter.commands, "a link");
            byte[] frame = StubClient.exchange(1, "look", A, "slow");
            slow.send(Arrays.copyOf(frame, 20));
            // All checks are answered, but no answer is read.
            byte[] checks = new byte[0];
            for (int i = 0; i < 1000; i++) {
                byte[] check = StubClient.frame(16, i, StubClient.payload(""));
                checks = Arrays.copyOf(checks, checks.length + check.length);
                System.arraycopy(check, 0, checks, checks.length - check.length, check.length);
            }
            byte[] thousand = checks;
            assertThrows(IOException.class, () -> {
                for (int i = 0; i < 5000; i++) {
                    nonReader.send(thousand);
                }
            });
            quick.sendExchange(1, "look", B, "quick");
            assertEquals(awaitNext(rig.interpreter.commands, "the quick run"), "APPLY " + B + " look 5\nquick");
            rig.interpreter.value(B, "good", "done");
            assertEquals(quick.read().code(), 79);
            for (int i = 20; i < frame.length; i++) {
                slow.send(new byte[] {frame[i]});
            }
            assertEquals(awaitNext(rig.interpreter.commands, "the slow run"), "APPLY " + A + " look 4\nslow");
            assertTrue(rig.isAlive());
        }
    }

    public void pendingExchangeOfAResetConnectionIsNotRun() throws Exception {
        try (InstanceRig rig = new InstanceRig()) {
            rig.interpreter.gauges = "1 9 0.1 1";
            rig.startHealthy();
            try (StubClient stub = rig.connectStub(); StubClient other = rig.connectStub()) {
                awaitNext(rig.interpreter.commands, "a link");
                for (int i = 1; i <= 4; i++) {
                    stub.sendExchange(i, "look", "000000000000000" + i, "");
                    awaitNext(rig.interpreter.commands, "a run");
                }
                other.sendExchange(1, "look", A, "");
                assertEquals(other.checkHealth(), 79);
                other.socket.setSoLinger(true, 0);
                other.close();
                rig.awaitLog("reset with 1 exchanges open");
                stub.sendExchange(5, "look", B, "");
                assertEquals(stub.checkHealth(), 79);
                rig.interpreter.value("0000000000000001", "good", "");
                assertEquals(awaitNext(rig.interpreter.commands, "a run"), "APPLY " + B + " look 0\n");
            }
        }
    }

    public void malformedExchangeIsAnsweredOnItsStreamAndTheConnectionStaysOpen() throws Exception {
        try (InstanceRig rig = new InstanceRig().startHealthy(); StubClient stub = rig.connectStub()) {
            String t0 = Long.toString(System.currentTimeMillis());
            String[] right = {"method", "look", "rid", A, "t0", t0, "peer", "4", "acct", "acme", "mem", "1", "prio",
                "0.5"};
            String[][] wrongs = {{"method", "dance"}, {"rid", "xx"},
                {"rid", "\u00ef\u00bc\u0091".repeat(16)}, {"t0", "soon"}, {"peer", "-1"}, {"acct", "nobody"},
                {"mem", "-1"}, {"mem", "NaN"}, {"mem", "2000"}, {"prio", "1"}, {"prio", "high"}};
            List<byte[]> payloads = new ArrayList<>();
            for (String[] wrong : wrongs) {
                String[] fields = right.clone();
                fields[Arrays.asList(right).indexOf(wrong[0]) + 1] = wrong[1];
                payloads.add(StubClient.payload("", fields));
            }
            for (int missing = 0; missing < right.length; missing += 2) {
                List<String> fields = new ArrayList<>(Arrays.asList(right));
                fields.subList(missing, missing + 2).clear();
                payloads.add(StubClient.payload("", fields.toArray(new String[0])));
            }
            String[] twice = Arrays.copyOf(right, right.length + 2);
            twice[right.length] = "rid";
            twice[right.length + 1] = B;
            payloads.add(StubClient.payload("", twice));
            payloads.add(StubClient.payload("x".repeat(2049), right));
            payloads.add(new byte[] {9, 3, 'r'});
            payloads.add(new byte[0]);
            payloads.add(new byte[200_000]);
            List<StubClient> stubs = new ArrayList<>();
            for (int i = 0; i < payloads.size(); i++) {
                if (i % 6 == 0) {
                    stubs.add(rig.connectStub());
                }
                StubClient wrong = stubs.get(i / 6);
                wrong.send(StubClient.frame(2, i + 1, payloads.get(i)));
                assertEquals(wrong.read(), new StubClient.Frame(4, i + 1, 69, "\0"), "payload " + i);
            }
            assertEquals(stubs.get(0).checkHealth(), 79);
            stub.sendExchange(50, "look", A, "");
            awaitNext(rig.interpreter.commands, "a link");
            assertEquals(awaitNext(rig.interpreter.commands, "a run"), "APPLY " + A + " look 0\n");
            stub.sendExchange(50, "look", B, "");
            assertEquals(stub.read(), new StubClient.Frame(4, 0, 69, "\0"), "a stream id in use");
            stub.sendExchange(51, "look", A, "");
            assertEquals(stub.read(), new StubClient.Frame(4, 51, 69, "\0"), "a rid in use");
        }
    }

    /** Nothing past the violation limit and the frames that may cross the go-away frame is read, however many come. */
    public void stubThatSendsOnlyMalformedFramesIsClosedOnceItsExchangesAreAnswered() throws Exception {
        try (InstanceRig rig = new InstanceRig().startHealthy();
                StubClient stub = rig.connectStub();
                StubClient other = rig.connectStub()) {
            awaitNext(rig.interpreter.commands, "a link");
            stub.sendExchange(1, "look", A, "");
            awaitNext(rig.interpreter.commands, "a run");
            for (int i = 2; i < 100; i++) {
                stub.sendExchange(i, "dance", B, "");
            }
            List<StubClient.Frame> frames = new ArrayList<>();
            for (int i = 2; i < 2 + VIOLATION_LIMIT + MAX_OPEN + 1; i++) {
                frames.add(stub.read());
            }
            assertTrue(frames.remove(new StubClient.Frame(64, 0, 0, "")), "it is told to close");
            for (int i = 0; i < VIOLATION_LIMIT + MAX_OPEN; i++) {
                assertEquals(frames.get(i), new StubClient.Frame(4, i + 2, 69, "\0"));
            }
            rig.interpreter.value(A, "good", "");
            assertEquals(stub.read(), new StubClient.Frame(4, 1, 79, "\0"));
            assertNull(stub.read());
            assertEquals(other.checkHealth(), 79);
        }
    }

    /** Guards against requests that are lost as the connection of a stub with a few bad frames is read no further. */
    public void validExchangesThatCrossTheGoAwayOfAnInvalidStubAreRun() throws Exception {
        try (InstanceRig rig = new InstanceRig()) {
            rig.replacements.put("\"cores\":4", "\"cores\":64");
            rig.startHealthy();
            StubClient stub = rig.connectStub();
            awaitNext(rig.interpreter.commands, "a link");
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            for (int i = 1; i <= VIOLATION_LIMIT; i++) {
                bytes.writeBytes(StubClient.exchange(i, "dance", B, ""));
            }
            for (int i = 1; i <= MAX_OPEN; i++) {
                bytes.writeBytes(StubClient.exchange(100 + i, "look", String.format("%016x", i), ""));
            }
            stub.send(bytes.toByteArray());
            for (int i = 1; i <= MAX_OPEN; i++) {
                String id = awaitNext(rig.interpreter.commands, "run " + i).substring(6, 22);
                rig.interpreter.value(id, "good", id);
            }
            List<StubClient.Frame> frames = new ArrayList<>();
            for (StubClient.Frame frame = stub.read(); frame != null; frame = stub.read()) {
                frames.add(frame);
            }
            assertEquals(frames.stream().filter(each -> each.type() == 4 && each.code() == 79).count(), MAX_OPEN);
            assertEquals(frames.stream().filter(each -> each.type() == 64).count(), 1);
            assertEquals(frames.size(), VIOLATION_LIMIT + MAX_OPEN + 1);
        }
    }

    /** Guards against a stub losing its connection over ids that another client has sent before it. */
    public void idsThatAnotherClientHasTakenAreNoViolationOfTheStub() throws Exception {
        try (InstanceRig rig = new InstanceRig()) {
            rig.replacements.put("\"cores\":4", "\"cores\":64");
            rig.startHealthy();
            StubClient stub = rig.connectStub();
            StubClient other = rig.connectStub();
            awaitNext(rig.interpreter.commands, "a link");
            for (int i = 1; i <= 3 * VIOLATION_LIMIT; i++) {
                String id = String.format("%016x", i);
                other.sendExchange(i, "look", id, "taken");
                awaitNext(rig.interpreter.commands, "run " + i);
                stub.sendExchange(i, "look", id, "own");
                assertEquals(stub.read(), new StubClient.Frame(4, i, 69, "\0"));
            }
            stub.sendExchange(100, "look", A, "own");
            assertEquals(awaitNext(rig.interpreter.commands, "a run"), "APPLY " + A + " look 3\nown");
            rig.interpreter.value(A, "good", "done");
            assertEquals(stub.read(), new StubClient.Frame(4, 100, 79, "\0done"));
        }
    }

    public void brokenFramingEndsTheConnectionOnceItsExchangesAreAnswered() throws Exception {
        try (InstanceRig rig = new InstanceRig().startHealthy(); StubClient other = rig.connectStub()) {
            awaitNext(rig.interpreter.commands, "a link");
            int number = 0;
            for (byte[] malformed : List.of(new byte[] {0, 0, 0, 4, 2, 0, 0, 0, 9}, "GET / HTTP/1.1\r\n\r\n".getBytes(),
                    StubClient.frame(3, 1, new byte[0]))) {
                try (StubClient stub = rig.connectStub()) {
                    String id = String.format("%016x", ++number);
                    stub.sendExchange(1, "look", id, "");
                    awaitNext(rig.interpreter.commands, "a run");
                    stub.send(malformed);
                    assertEquals(stub.read(), new StubClient.Frame(4, 0, 69, "\0"));
                    rig.interpreter.value(id, "good", "");
                    assertEquals(stub.read(), new StubClient.Frame(4, 1, 79, "\0"));
                    assertNull(stub.read());
                }
            }
            assertEquals(other.checkHealth(), 79);
        }
    }

    public void afterALinkFailureNoMutatingRunStartsTwiceAndNoneIsLost() throws Exception {
        InstanceRig shortDeadlineRig = new InstanceRig();
        shortDeadlineRig.replacements.put("\"deadlineMs\":30000", "\"deadlineMs\":5000");
        try (InstanceRig rig = shortDeadlineRig.startHealthy(); StubClient stub = rig.connectStub()) {
            awaitNext(rig.interpreter.commands, "a link");
            stub.sendExchange(1, "look", A, "");
            stub.sendExchange(2, "note", B, "");
            stub.sendExchange(3, "look", "00000000000000cc", "");
            for (int i = 0; i < 3; i++) {
                awaitNext(rig.interpreter.commands, "a run");
            }
            rig.interpreter.value("00000000000000cc", "good", "first");
            assertEquals(stub.read().stream(), 3);
            rig.interpreter.disconnect();
            rig.interpreter.value("00000000000000dd", "good", "of no exchange");
            assertEquals(awaitNext(rig.interpreter.commands, "a link"), "CONNECT 1");
            assertEquals(awaitNext(rig.interpreter.commands, "a run"), "APPLY " + A + " look 0\n");
            // The mutating run may have started: it gets its error in time, and only then its state is queried.
            List<Integer> failed = new ArrayList<>();
            for (int i = 0; i < 2; i++) {
                StubClient.Frame frame = stub.read();
                assertEquals(frame.code(), 69);
                failed.add(frame.stream());
            }
            assertTrue(failed.containsAll(List.of(1, 2)), failed.toString());
            assertTrue(rig.interpreter.commands.isEmpty(), "the run was requested again before its answer");
            assertEquals(awaitNext(rig.interpreter.commands, "a query of the run"), "APPLY " + B + " note 0\n");
            rig.interpreter.value(B, "gone", "");
            stub.sendExchange(4, "note", "00000000000000ee", "");
            assertEquals(awaitNext(rig.interpreter.commands, "a run"), "APPLY 00000000000000ee note 0\n");
        }
    }

    public void resultReportedWhileTheLinkWasDownIsRelayedAfterReconnect() throws Exception {
        try (InstanceRig rig = new InstanceRig().startHealthy(); StubClient stub = rig.connectStub()) {
            awaitNext(rig.interpreter.commands, "a link");
            stub.sendExchange(1, "note", A, "");
            awaitNext(rig.interpreter.commands, "a run");
            rig.interpreter.disconnect();
            rig.interpreter.value(A, "good", "late");
            assertEquals(stub.read(), new StubClient.Frame(4, 1, 79, "\0late"));
        }
    }

    public void deadlinesAreMetWhileTheInterpreterIsSilent() throws Exception {
        try (InstanceRig rig = new InstanceRig()) {
            rig.replacements.put("\"deadlineMs\":30000", "\"deadlineMs\":2000");
            rig.startHealthy();
            try (StubClient stub = rig.connectStub()) {
                rig.interpreter.withholdsGauges = true;
                stub.sendExchange(1, "note", A, "");
                assertEquals(stub.read(), new StubClient.Frame(4, 1, 69, "\0"));
            }
        }
    }

    public void idleConnectionIsDrainedButOneForHealthChecksIsNot() throws Exception {
        try (InstanceRig rig = new InstanceRig().startHealthy();
                StubClient stub = rig.connectStub();
                StubClient checks = rig.connectStub()) {
            awaitNext(rig.interpreter.commands, "a link");
            assertEquals(checks.checkHealth(), 79);
            stub.sendExchange(1, "look", A, "");
            awaitNext(rig.interpreter.commands, "a run");
            rig.interpreter.gauges = "0.95 1 0.1 1";
            rig.interpreter.value(A, "good", "");
            assertEquals(stub.read().code(), 79);
            assertEquals(stub.read(), new StubClient.Frame(64, 0, 0, ""));
            // A request that crosses the message is answered like any other.
            stub.sendExchange(2, "look", B, "");
            awaitNext(rig.interpreter.commands, "a run");
            rig.interpreter.value(B, "good", "");
            assertEquals(stub.read(), new StubClient.Frame(4, 2, 79, "\0"));
            assertEquals(checks.checkHealth(), 79);
        }
    }

    public void drainAnswersAllDeniesArrivalsPastTheGraceAndExitsWithZero() throws Exception {
        try (InstanceRig rig = new InstanceRig().startHealthy(); StubClient stub = rig.connectStub()) {
            awaitNext(rig.interpreter.commands, "a link");
            stub.sendExchange(1, "look", A, "");
            awaitNext(rig.interpreter.commands, "a run");
            stub.sendExchange(2, "note", B, "");
            awaitNext(rig.interpreter.commands, "a run");
            rig.terminate();
            rig.awaitLog("drain: 2 exchanges open");
            rig.terminate();
            rig.membership.awaitPhase("OUT");
            assertEquals(stub.checkHealth(), 69);
            rig.interpreter.value(A, "good", "");
            assertEquals(stub.read().code(), 79);
            Thread.sleep(800);
            stub.sendExchange(3, "look", "00000000000000cc", "");
            assertEquals(stub.read().code(), 66, "arrived past the grace");
            assertEquals(stub.read(), new StubClient.Frame(64, 0, 0, ""), "no new exchange on this connection");
            assertEquals(stub.read(), new StubClient.Frame(4, 2, 69, "\0"), "the run that never ended");
            assertNull(stub.read());
            assertEquals(rig.awaitExit(), 0);
            assertTrue(rig.logText().contains("drained"), rig.logText());
        }
    }

    public void failingMembershipServiceIsLoggedOnce() throws Exception {
        try (InstanceRig rig = new InstanceRig()) {
            rig.membership.fake.status = 503;
            rig.startHealthy();
            try (StubClient stub = rig.connectStub()) {
                assertEquals(stub.checkHealth(), 79);
                for (int i = 0; i < 3; i++) {
                    awaitNext(rig.membership.phases, "a report");
                }
                rig.membership.fake.status = 204;
                rig.awaitLog("succeed again");
                assertEquals(rig.logText().split("answered 503").length, 2, "logged once for a series of failures");
            }
        }
    }

    public void openExchangesAreBoundedPerConnectionAndInTotal() throws Exception {
        try (InstanceRig rig = new InstanceRig()) {
            rig.replacements.put("\"memory_mb\":192", "\"memory_mb\":1");
            rig.replacements.put("\"cores\":4", "\"cores\":64");
            rig.startHealthy();
            awaitNext(rig.interpreter.commands, "a link");
            String body = "x".repeat(2048);
            List<StubClient> stubs = List.of(rig.connectStub(), rig.connectStub(), rig.connectStub());
            for (int i = 0; i < 64; i++) {
                stubs.get(i / 32).sendExchange(i + 1, "note", String.format("%016x", i), body);
                awaitNext(rig.interpreter.commands, "run " + i);
            }
            stubs.get(0).sendExchange(99, "note", A, "");
            assertEquals(stubs.get(0).read(), new StubClient.Frame(4, 99, 66, "\0"), "the 33rd on one connection");
            stubs.get(2).sendExchange(1, "note", A, body);
            assertEquals(stubs.get(2).read(), new StubClient.Frame(4, 1, 66, "\0"),
                    "bodies take at most an eighth of the memory");
            rig.interpreter.value("0000000000000001", "good", "");
            assertEquals(stubs.get(0).read().code(), 79);
            stubs.get(2).sendExchange(2, "note", A, body);
            awaitNext(rig.interpreter.commands, "a run after one has ended");
        }
    }

    public void longestIdleConnectionIsEvictedWhenTheTableIsFull() throws Exception {
        try (InstanceRig rig = new InstanceRig().startHealthy(); StubClient busy = rig.connectStub()) {
            awaitNext(rig.interpreter.commands, "a link");
            busy.sendExchange(1, "look", A, "");
            awaitNext(rig.interpreter.commands, "a run");
            List<StubClient> many = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                many.add(rig.connectStub());
                assertEquals(many.get(i).checkHealth(), 79, "connection " + i);
            }
            assertEquals(many.get(0).read(), new StubClient.Frame(64, 0, 0, ""), "the longest idle, asked to close");
            assertNull(many.get(0).read(), "and is closed, though it does not comply");
            assertEquals(many.get(55).checkHealth(), 79);
            rig.interpreter.value(A, "good", "");
            assertEquals(busy.read().code(), 79);
        }
    }

    public void idleAndSilentConnectionsAreClosed() throws Exception {
        try (InstanceRig rig = new InstanceRig()) {
            rig.replacements.put("\"idleMs\":15000", "\"idleMs\":1500");
            rig.startHealthy();
            try (StubClient unused = rig.connectStub();
                    StubClient silent = rig.connectStub();
                    StubClient half = rig.connectStub();
                    StubClient busy = rig.connectStub()) {
                awaitNext(rig.interpreter.commands, "a link");
                half.send(Arrays.copyOf(StubClient.exchange(1, "look", B, ""), 30));
                busy.sendExchange(1, "look", A, "");
                awaitNext(rig.interpreter.commands, "a run");
                unused.checkHealth();
                long startNanos = System.nanoTime();
                assertNull(silent.read());
                assertNull(half.read());
                assertTrue(System.nanoTime() - startNanos < 2_900_000_000L, "must be closed within three seconds");
                assertEquals(unused.read(), new StubClient.Frame(64, 0, 0, ""), "asked to close first");
                assertNull(unused.read());
                rig.interpreter.value(A, "good", "");
                assertEquals(busy.read().code(), 79, "open for longer than any idle time");
            }
        }
    }

    public void invalidConfigurationIsReportedInOneLine() throws Exception {
        String[][] wrongs = {
            {"\"name\":\"n1\"", "\"name\":\"\"", "name"},
            {"\"stop_ms\":5000,", "", "stop_ms"},
            {"\"vm\":\"127.0.0.1:", "\"vm\":\"nowhere:", "vm"},
            {"\"seed\":\"", "\"seed\":\"x", "seed"},
            {"\"listFollows\":true", "\"callsByClass\":[true]", "look makes calls"},
            {"\"listFollows\":true", "\"preemption\":\"drop\"", "preemption is on"},
            {"\"listFollows\":true", "\"say\":\"tokens\"", "load hints are on"},
            {"\"settings\":{", "\"settings\":{{", "GW_CONFIG"},
        };
        for (String[] wrong : wrongs) {
            try (InstanceRig rig = new InstanceRig()) {
                rig.replacements.put(wrong[0], wrong[1]);
                assertEquals(rig.start().awaitExit(), 2, wrong[2]);
                rig.awaitLog("vetchrill: ");
                assertTrue(rig.logText().contains(wrong[2]), rig.logText());
                assertFalse(rig.logText().contains("\n"), rig.logText());
            }
        }
    }
}
