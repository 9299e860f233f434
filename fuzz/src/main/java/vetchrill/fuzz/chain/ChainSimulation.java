package vetchrill.fuzz.chain;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import vetchrill.fuzz.FuzzedDataProvider;
import vetchrill.fuzz.InvariantViolation;
import vetchrill.model.Event;
import vetchrill.model.HeapEventQueue;
import vetchrill.program.DrainStep;
import vetchrill.protocol.DeploymentReader;
import vetchrill.protocol.HealthReportSink;
import vetchrill.routing.ProcessingChain;
import vetchrill.routing.Clock;
import vetchrill.routing.DecisionThread;
import vetchrill.routing.ProcessingChainState;
import vetchrill.standin.StubFrames;
import vetchrill.transport.InterpreterLink;
import vetchrill.transport.IoTask;
import vetchrill.transport.Limits;
import vetchrill.transport.DuplexChannel;

/**
 * A deterministic simulation of the whole processing chain of one instance, on one thread, with a virtual clock and
 * in-memory channels. The production code runs unchanged. The simulation schedules its reader and writer tasks, the
 * turns of its decision thread and the connection attempts of its interpreter link, in an order and at times that
 * depend on a seed, and it plays the client stubs, the interpreter and the membership service as a script orders.
 */
public final class ChainSimulation {
    static final String[] GROUP_NAMES = {"look", "note", "pay"};
    /** By group: the time from sending an exchange within which it must be answered. */
    static final long[] ANSWER_TIMEOUTS_TENTHS_MS = {10_000, 16_000, 16_000};
    private static final long DRAIN_DURATION_TENTHS_MS = 30_000;
    private static final long DRAIN_GRACE_TENTHS_MS = 10_000;
    private static final long EPOCH_TENTHS_MS = 17_645_760_000_000L;
    /** Time that the simulation runs without faults before it checks that everything was answered. */
    private static final long QUIESCENCE_TENTHS_MS = 60_000;
    private static final long MIN_CLOCK_STEP_INTERVAL_TENTHS_MS = 2_000;
    /** Exchanges sent at the end of a script until one is completed; if none is, the instance has stopped serving. */
    private static final int MAX_SERVICE_PROBES = 40;
    /** A script may retry an exchange for this long after it was sent. */
    private static final long RETRY_WINDOW_TENTHS_MS = 30_000;
    /** The keyTtlMs of the settings below: for this long a retry must not cause a second run. */
    static final long DEDUP_WINDOW_TENTHS_MS = 20_000;
    /** More events than this mean that the chain is in an endless loop. */
    private static final int MAX_EVENTS = 400_000;
    private static final int MAX_OPEN_PER_STUB = 32;
    /** Period at which the state of the link and of closing connections is checked. */
    private static final long POLL_INTERVAL_TENTHS_MS = 50;
    private static final String SETTINGS = "{\"categories\":["
            + "{\"name\":\"look\",\"effect\":\"free\",\"aimMs\":400,\"deadlineMs\":1000,\"gain\":1},"
            + "{\"name\":\"note\",\"effect\":\"single_shot\",\"aimMs\":600,\"deadlineMs\":1600,\"gain\":3},"
            + "{\"name\":\"pay\",\"effect\":\"guarded\",\"aimMs\":600,\"deadlineMs\":1600,\"gain\":2,"
            + "\"keyTtlMs\":2000}],"
            + "\"customers\":[{\"name\":\"acme\",\"allowancePerS\":100}],\"servers\":1,"
            + "\"familyInfo\":{\"cores\":2,\"callers\":2,\"ramKb\":4000,\"runMemFactor\":4,\"idleMs\":1500,"
            + "\"listFollows\":true,\"meters\":[\"cpu_busy\",\"runnable\",\"mem_used\",\"sockets\"]},"
            + "\"guarantees\":{\"fallMultiple\":8,\"stopSendingWithinMs\":1000,\"coldShare\":0.5,\"coldMs\":2000},"
            + "\"limits\":{\"maxRetryAfterMs\":500}}";

    private final boolean instantaneous;
    private final SplittableRandom random;
    private final HeapEventQueue eventQueue = new HeapEventQueue();
    final ExchangeOracle oracle = new ExchangeOracle();
    private final Limits limits = new Limits(64L << 20, 256);
    private final ProcessingChain chain;
    private final DecisionThread decisionThread;
    private final InterpreterLink link;
    final SimInterpreter interpreter;
    private final List<SimStub> stubs = new ArrayList<>();
    private final Map<Integer, SimStub> stubBySlot = new TreeMap<>();
    private long wallClockOffset;
    private long lastClockStepAt;
    private long nextTurnAt = Long.MAX_VALUE;
    long connectRefusedUntil;
    private int failingReportsLeft;
    private long stopAt = -1;
    boolean finished;
    private long lastId;
    /** Makes the bodies of exchanges with a reused id differ, since only the body identifies them to the oracle. */
    private int duplicateCount;
    private int processedEvents;
    boolean linkOpen;

    ChainSimulation(long seed) {
        this(seed, false);
    }

    /**
     * @param instantaneous whether nothing takes time and no message is split, so that only the order of events matters
     */
    ChainSimulation(long seed, boolean instantaneous) {
        this.instantaneous = instantaneous;
        random = new SplittableRandom(seed);
        oracle.drainGrace = DRAIN_GRACE_TENTHS_MS;
        interpreter = new SimInterpreter(this);
        Clock clock = new Clock(() -> EPOCH_TENTHS_MS + now() + wallClockOffset, () -> now() * 100_000);
        decisionThread = new DecisionThread(clock, limits);
        HealthReportSink reports = new HealthReportSink() {
            @Override
            public int report(boolean up) throws IOException {
                if (failingReportsLeft > 0 && failingReportsLeft-- % 2 == 0) {
                    throw new IOException("no response");
                }
                return failingReportsLeft > 0 ? 503 : 204;
            }

            @Override
            public void moveTo(InetSocketAddress to) {
                // The simulated membership service is the same at every address.
            }
        };
        chain = new ProcessingChain(new DeploymentReader(SETTINGS), 7, clock, decisionThread, reports, limits, null,
                this::startReader, this::startWriter);
        link = chain.prepare(address(1), this::openLink);
        maintainLink();
        schedule(1_000, this::reportHealth);
    }

    private static InetSocketAddress address(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    // Virtual time and scheduling.

    long now() {
        return eventQueue.now();
    }

    void schedule(long time, Runnable action) {
        eventQueue.add(time, new Event() {
            @Override
            public void execute(long now) {
                action.run();
            }
        });
    }

    int nextInt(int bound) {
        return random.nextInt(bound);
    }

    /** A random delay: mostly zero, rarely up to 30 ms as on a bad network. */
    long randomDelay() {
        if (instantaneous) {
            return 0;
        }
        int selector = random.nextInt(20);
        return selector < 12 ? 0 : selector < 19 ? random.nextInt(20) : random.nextInt(300);
    }

    int randomPieceSize(int available) {
        if (instantaneous) {
            return available;
        }
        int selector = random.nextInt(4);
        return selector == 0 ? 1 + random.nextInt(Math.min(available, 7)) : selector == 1 ? 1
                + random.nextInt(available) : available;
    }

    /** One direction of a connection: delivers bytes in order, in pieces of random size and with random delays. */
    final class DelayedStream {
        private long lastArrivalAt;

        void send(byte[] bytes, Consumer<byte[]> arrives) {
            int from = 0;
            while (from < bytes.length) {
                byte[] piece = Arrays.copyOfRange(bytes, from, from + randomPieceSize(bytes.length - from));
                from += piece.length;
                runAfterPending(() -> arrives.accept(piece));
            }
        }

        /** Runs an action after all bytes sent so far have been delivered. */
        void runAfterPending(Runnable action) {
            lastArrivalAt = Math.max(lastArrivalAt, now() + randomDelay());
            schedule(lastArrivalAt, action);
        }
    }

    /** Advances the virtual clock to {@code time} and runs all events that are due by then. */
    void runUntil(long time) {
        boolean[] reached = {false};
        schedule(time, () -> reached[0] = true);
        while (!reached[0] && !finished) {
            scheduleTurn();
            Event event = eventQueue.poll();
            event.execute(eventQueue.now());
            if (++processedEvents > MAX_EVENTS) {
                throw new InvariantViolation("the chain is in an endless loop and never becomes idle");
            }
        }
    }

    private void scheduleTurn() {
        long turnDueAt = decisionThread.hasQueuedTasks() ? now()
                + (!instantaneous && random.nextInt(8) == 0 ? random.nextInt(30) : 0)
                : decisionThread.nextTimerDueAt() == Long.MAX_VALUE ? Long.MAX_VALUE
                : Math.max(now(), decisionThread.nextTimerDueAt() - EPOCH_TENTHS_MS);
        if (turnDueAt < nextTurnAt) {
            nextTurnAt = turnDueAt;
            schedule(turnDueAt, () -> {
                if (now() >= nextTurnAt && !finished) {
                    nextTurnAt = Long.MAX_VALUE;
                    decisionThread.runOnce(chain::executeDecisions);
                }
            });
        }
    }

    // Services that the chain needs.

    /** Starts a reader task, which gets a step whenever there is something to read, until it ends. */
    private void startReader(IoTask task) {
        SimChannel channel = (SimChannel) task.channel();
        channel.reader = task;
        channel.accepted = true;
        scheduleRead(channel);
    }

    /** Schedules a step of the reader of a channel that has become readable. */
    void scheduleRead(SimChannel channel) {
        if (channel.reader != null) {
            schedule(now() + randomDelay() / 4, () -> runReader(channel));
        }
    }

    private void runReader(SimChannel channel) {
        if (finished || channel.reader == null || !channel.readable()) {
            return;
        }
        if (!channel.reader.step()) {
            channel.reader = null;
        } else if (channel.readable()) {
            scheduleRead(channel);
        }
        if (channel.peer instanceof SimStub stub) {
            stub.recordConsumed(now());
        }
    }

    /** Starts a writer task, which gets its steps one after the other, with a pause while the peer does not read. */
    private void startWriter(IoTask task) {
        schedule(now() + randomDelay() / 4, () -> runWriter(task));
    }

    private void runWriter(IoTask task) {
        SimChannel channel = (SimChannel) task.channel();
        if (finished) {
            return;
        }
        if (now() < channel.writesStalledUntil && !channel.closed) {
            schedule(channel.writesStalledUntil, () -> runWriter(task));
        } else if (task.step()) {
            startWriter(task);
        }
    }

    private DuplexChannel openLink(InetSocketAddress address, long timeout) throws IOException {
        if (now() < connectRefusedUntil) {
            throw new IOException("refused");
        }
        return interpreter.openLink().channel;
    }

    /**
     * Does what the link's own thread does: pause, attempt to connect, and start again when the connection has ended.
     */
    private void maintainLink() {
        schedule(now() + link.nextRetryPause(), () -> {
            if (finished) {
                return;
            }
            if (link.attemptConnect()) {
                linkOpen = true;
                watchLink(now());
            } else {
                maintainLink();
            }
        });
    }

    private void watchLink(long connectedAt) {
        if (finished) {
            return;
        }
        if (link.isReconnectNeeded()) {
            linkOpen = false;
            link.connectionEnded(now() - connectedAt);
            maintainLink();
        } else {
            schedule(now() + POLL_INTERVAL_TENTHS_MS, () -> watchLink(connectedAt));
        }
    }

    private void reportHealth() {
        if (!finished) {
            long pause = chain.reportHealth();
            schedule(now() + Math.max(500, pause), this::reportHealth);
        }
    }

    // The steps of a script.

    /** Plays a script to its end, then lets the chain become idle and checks the final state. */
    void play(FuzzedDataProvider script) {
        runUntil(500);
        while (!script.isExhausted() && !finished) {
            applyStep(script.nextInt(32), script.nextUnsignedByte(), script.nextUnsignedByte(),
                    script.nextUnsignedByte());
            oracle.checkDeadlines(now());
        }
        settle();
    }

    private void applyStep(int kind, int a, int b, int c) {
        SimStub stub = stubAt(a % 4);
        switch (kind) {
            case 0, 1, 2, 3, 4, 5 -> sendExchange(stub, b, c);
            case 6 -> {
                for (int i = 0; i < 2 + c % 40; i++) {
                    sendExchange(stubAt(i % 4), b + i, i);
                }
            }
            case 7 -> sendHealthCheck(stub);
            case 8 -> sendInvalidFrame(stub, StubFrames.frame(b, c, new byte[c % 50]));
            case 9 -> sendInvalidFrame(stub, new byte[] {0, (byte) (b % 5), (byte) c, 7, 2, 0, 0, 0, 1, 3});
            case 10 -> sendInvalidFrame(stub, new byte[] {(byte) b, (byte) c, 0, 0, 0});
            case 11 -> stub.halfClose();
            case 12 -> {
                stub.reset();
                stubBySlot.remove(a % 4);
            }
            case 13 -> {
                stub.channel.writesStalledUntil = Math.max(stub.channel.writesStalledUntil, now() + 50L * b);
                oracle.exchanges.stream().filter(ex -> ex.stub == stub).forEach(ex -> ex.exempt |= b > 20);
                stub.stalled |= b > 20;
            }
            case 14, 15 -> {
                if (interpreter.link() != null) {
                    interpreter.link().disconnect();
                }
            }
            case 16 -> connectRefusedUntil = now() + 30L * b;
            case 17 -> interpreter.duplicatesNotices = !interpreter.duplicatesNotices;
            case 18 -> interpreter.sendTrace();
            case 19 -> interpreter.restart();
            case 20 -> chain.updateAddresses(address(1 + b % 3), address(9));
            case 21 -> {
                if (b < 60) {
                    startDrain();
                }
            }
            case 22 -> {
                // With steps closer together, the oracle could not tell which clock setting a time stamp came from.
                if (now() >= lastClockStepAt + MIN_CLOCK_STEP_INTERVAL_TENTHS_MS) {
                    lastClockStepAt = now();
                    wallClockOffset += (c - 128L) * 200;
                }
            }
            case 23 -> failingReportsLeft = b % 12;
            case 24 -> interpreter.maxRunMs = 5 + 8 * (b % 120);
            case 25 -> interpreter.failureOdds = b % 4;
            case 26 -> {
                interpreter.answersGauges = false;
                schedule(now() + 20L * b, () -> interpreter.answersGauges = true);
            }
            case 27 -> {
                interpreter.bannerWithheld = true;
                schedule(now() + 40L * b, () -> {
                    interpreter.bannerWithheld = false;
                    interpreter.sendBanner();
                });
            }
            case 28 -> sendDuplicateId(stub, b);
            case 29 -> {
                if (b < 64) {
                    interpreter.dropsNextApply = true;
                } else {
                    sendRetry(stub, b);
                }
            }
            default -> runUntil(now() + 1 + 2L * b + (kind == 31 ? 20L * c : 0));
        }
        if (kind < 29 && c % 3 == 0) {
            runUntil(now() + c / 4);
        }
    }

    /** The stub connection in a slot; opens a new one if there is none that accepts exchanges. */
    SimStub stubAt(int slot) {
        SimStub stub = stubBySlot.get(slot);
        if (stub == null || stub.disconnected || stub.halfClosed || stub.goAwayReceived || stub.channel.closed) {
            stub = new SimStub(this);
            stubBySlot.put(slot, stub);
            stubs.add(stub);
            if (stopAt >= 0 && now() >= stopAt - limits.stopAcceptingLeadTenthsMs) {
                stub.disconnected = true;
            } else {
                chain.onAccepted(stub.channel);
            }
        }
        return stub;
    }

    ExchangeOracle.TrackedExchange sendExchange(SimStub stub, int kind, int size) {
        if (stub.disconnected || stub.exchangesByStream.values().stream().filter(ex -> ex.answerCount == 0).count()
                >= MAX_OPEN_PER_STUB) {
            return null;
        }
        byte[] body = new byte[size % 60];
        for (int i = 0; i < body.length; i++) {
            body[i] = (byte) (kind + i * 31 + lastId);
        }
        return sendExchange(stub, kind % GROUP_NAMES.length, body, null);
    }

    /** Sends an exchange; {@code firstAttempt} is null unless it is a retry of that one. */
    private ExchangeOracle.TrackedExchange sendExchange(SimStub stub, int group, byte[] body,
            ExchangeOracle.TrackedExchange firstAttempt) {
        ExchangeOracle.TrackedExchange ex = new ExchangeOracle.TrackedExchange(String.format("%016x", ++lastId), group,
                body, stub, ++stub.lastStream, now(), ANSWER_TIMEOUTS_TENTHS_MS[group]);
        ex.exempt = stub.stalled;
        ex.token = firstAttempt == null ? ex.id : firstAttempt.token;
        stub.sendExchange(ex, exchangeFrame(ex, group));
        return ex;
    }

    private byte[] exchangeFrame(ExchangeOracle.TrackedExchange ex, int group) {
        return StubFrames.frame(StubFrames.EXCHANGE, ex.stream, StubFrames.payload(ex.body, "method",
                GROUP_NAMES[group], "rid", ex.id, "t0",
                Long.toString((EPOCH_TENTHS_MS + now() + wallClockOffset) / 10), "peer", "4", "acct", "acme", "mem",
                "24.5", "prio", "0.5", "token", ex.token));
    }

    /** Sends a retry of a deduplicated exchange that was sent recently, mostly while that one is still open. */
    private void sendRetry(SimStub stub, int b) {
        List<ExchangeOracle.TrackedExchange> retryable = oracle.exchanges.stream()
                .filter(ex -> ex.deduplicated() && !ex.invalid && ex.sentAt > now() - RETRY_WINDOW_TENTHS_MS)
                .toList();
        if (!retryable.isEmpty() && !stub.disconnected
                && stub.exchangesByStream.values().stream().filter(ex -> ex.answerCount == 0).count()
                < MAX_OPEN_PER_STUB) {
            ExchangeOracle.TrackedExchange firstAttempt = retryable.get(b % retryable.size());
            sendExchange(stub, firstAttempt.group, firstAttempt.body, firstAttempt);
        }
    }

    private void sendHealthCheck(SimStub stub) {
        if (!stub.disconnected) {
            int stream = 1_000_000 + ++stub.lastStream;
            stub.openHealthChecks.merge(stream, 1, Integer::sum);
            stub.send(StubFrames.frame(StubFrames.CHECK, stream, StubFrames.payload(new byte[0])));
        }
    }

    /**
     * Sends bytes that violate the protocol: from now on the instance may close the connection, but not before the
     * exchanges open on it are answered.
     */
    private void sendInvalidFrame(SimStub stub, byte[] bytes) {
        stub.sentInvalid = true;
        if (!stub.disconnected) {
            stub.send(bytes);
        }
    }

    /** Sends another exchange with the id of an open one, on another connection and with another body. */
    private void sendDuplicateId(SimStub stub, int b) {
        List<ExchangeOracle.TrackedExchange> open = oracle.exchanges.stream()
                .filter(ex -> ex.answerCount == 0 && !ex.exempt && !ex.invalid && !ex.afterInvalidFrame
                        && ex.stub != stub && ex.consumedAt >= 0).toList();
        if (!open.isEmpty() && !stub.disconnected) {
            ExchangeOracle.TrackedExchange original = open.get(b % open.size());
            stub.sentInvalid = true;
            ExchangeOracle.TrackedExchange duplicate = new ExchangeOracle.TrackedExchange(original.id, original.group,
                    new byte[] {1, 2, 3, (byte) (++duplicateCount >> 8), (byte) duplicateCount}, stub,
                    ++stub.lastStream, now(), original.timeout);
            duplicate.duplicateOf = original;
            duplicate.invalid = true;
            duplicate.token = duplicate.id + " of another";
            stub.sendExchange(duplicate, exchangeFrame(duplicate, duplicate.group));
        }
    }

    void onGoAway(SimStub stub) {
        stub.goAwayReceived = true;
        closeOnceAnswered(stub);
    }

    /** After a go-away frame, a stub closes its connection as soon as all exchanges on it are answered. */
    private void closeOnceAnswered(SimStub stub) {
        if (stub.disconnected || finished) {
            return;
        }
        if (stub.exchangesByStream.values().stream().allMatch(ex -> ex.answerCount > 0)) {
            stub.halfClose();
        } else {
            schedule(now() + POLL_INTERVAL_TENTHS_MS, () -> closeOnceAnswered(stub));
        }
    }

    /** Changes the configured address of the interpreter and of the membership service. */
    void moveInterpreter(int port) {
        chain.updateAddresses(address(1 + port % 3), address(9));
    }

    /** Starts the drain of the instance; the simulation is finished when it ends. */
    void startDrain() {
        if (stopAt >= 0) {
            return;
        }
        stopAt = now() + DRAIN_DURATION_TENTHS_MS;
        oracle.drainStartedAt = now();
        long wallStopAt = EPOCH_TENTHS_MS + stopAt;
        for (DrainStep step : DrainStep.steps(limits, chain, wallStopAt - DRAIN_DURATION_TENTHS_MS, wallStopAt,
                () -> { },
                () -> {
                    oracle.checkAllAnswered(true, stopAt);
                    finished = true;
                })) {
            schedule(Math.max(now(), step.at() - EPOCH_TENTHS_MS), step.action());
        }
    }

    /**
     * Ends all faults and checks that every exchange gets an answer, that nothing stays open or in memory, and that a
     * new exchange is served.
     */
    void settle() {
        connectRefusedUntil = 0;
        interpreter.manualCompletion = false;
        interpreter.dropsNextApply = false;
        interpreter.completeAll();
        interpreter.answersGauges = true;
        interpreter.bannerWithheld = false;
        interpreter.sendBanner();
        interpreter.maxRunMs = 20;
        interpreter.failureOdds = 0;
        interpreter.duplicatesNotices = false;
        failingReportsLeft = 0;
        if (stopAt >= 0) {
            runUntil(stopAt);
            return;
        }
        long settledAt = now() + QUIESCENCE_TENTHS_MS;
        while (now() < settledAt) {
            runUntil(now() + 2_000);
            oracle.checkDeadlines(now());
        }
        oracle.checkAllAnswered(false, 0);
        checkServed();
        runUntil(now() + 20_000);
        for (SimStub stub : stubs) {
            if (!stub.disconnected) {
                stub.reset();
            }
        }
        runUntil(now() + 20_000);
        if (ProcessingChainState.openExchangeCount(chain) != 0) {
            throw new InvariantViolation("an exchange is never released");
        }
        if (ProcessingChainState.bodyBytes(chain) != 0) {
            throw new InvariantViolation("bytes of request bodies are never released");
        }
        if (ProcessingChainState.connectionCount(chain) != 0) {
            throw new InvariantViolation("a connection is never released");
        }
        if (stubs.stream().anyMatch(stub -> !stub.channel.closed && stub.channel.accepted)) {
            throw new InvariantViolation("a socket is never closed");
        }
    }

    /** The decision module may reject some exchanges, but without any fault it must complete one at last. */
    private void checkServed() {
        for (int i = 0; i < MAX_SERVICE_PROBES; i++) {
            ExchangeOracle.TrackedExchange probe = sendExchange(stubAt(4 + i), 0, 5);
            runUntil(now() + 5_000);
            if (probe != null && probe.answerCode == StubFrames.COMPLETED) {
                return;
            }
        }
        throw new InvariantViolation("no exchange is served after all faults have ended");
    }
}
