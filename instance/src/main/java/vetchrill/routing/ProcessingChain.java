package vetchrill.routing;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import vetchrill.control.EndpointGroup;
import vetchrill.protocol.DeploymentReader;
import vetchrill.protocol.FrameReader;
import vetchrill.protocol.HealthReportSink;
import vetchrill.protocol.InterpreterLines;
import vetchrill.transport.Connection;
import vetchrill.transport.DuplexChannel;
import vetchrill.transport.InterpreterLink;
import vetchrill.transport.IoTask;
import vetchrill.transport.Limits;
import vetchrill.transport.Resources;
import vetchrill.transport.WorkerPool;

/**
 * Assembles the stages that an exchange passes: {@link StubFrameHandler} reads it, {@link AdmissionStage} hands it to
 * the controller, {@link DecisionExecutor} carries out the decision, {@link InterpreterClient} requests the run,
 * {@link InterpreterMessageHandler} relays the result and {@link ExchangeRegistry} tracks all that is open. Notifies
 * the stages of new links, interpreter notices and the drain.
 */
public final class ProcessingChain {
    private static final System.Logger LOG = System.getLogger("vetchrill.chain");

    final DecisionThread thread;
    final Clock clock;
    final ExchangeRegistry registry;
    final AdmissionStage admission;
    final InterpreterClient interpreterClient;
    private final DeploymentReader settings;
    private final Limits limits;
    private final HealthReporter healthReporter;
    private final DecisionExecutor decisionExecutor;
    private final IdempotencyCache idempotencyCache;
    private final IoTask.Executor readers;
    private final IoTask.Executor writers;
    private InterpreterLink link;
    private final AtomicInteger openConnections = new AtomicInteger();
    private final AtomicLong unsentBytes = new AtomicLong();
    final AtomicLong openBodyBytes = new AtomicLong();
    private final RateLimitedLog peerLog;
    /** Null when recording is off. */
    private final Recorder recorder;
    private long lastNoticeNumber;
    private long connectionsClosedAt;
    /** The listener is about to close, so accepting does not wait for a free slot any more. */
    private volatile boolean stopping;

    public ProcessingChain(DeploymentReader settings, long seed, Clock clock, DecisionThread thread,
            HealthReportSink membership, Limits limits, Recorder recorder) {
        this(settings, seed, clock, thread, membership, limits, recorder,
                new WorkerPool("reader", limits.minIdleReaders, limits),
                new WorkerPool("writer", limits.minIdleWriters, limits));
    }

    /** The same with other executors for its I/O tasks. */
    public ProcessingChain(DeploymentReader settings, long seed, Clock clock, DecisionThread thread,
            HealthReportSink membership, Limits limits, Recorder recorder, IoTask.Executor readers,
            IoTask.Executor writers) {
        this.recorder = recorder;
        this.settings = settings;
        this.limits = limits;
        this.clock = clock;
        this.thread = thread;
        peerLog = new RateLimitedLog(limits);
        this.readers = readers;
        this.writers = writers;
        registry = new ExchangeRegistry(limits, thread, openBodyBytes, settings.deployment.callerIdleTime, recorder);
        admission = new AdmissionStage(settings, seed, clock, registry, limits, peerLog, recorder);
        interpreterClient = new InterpreterClient(limits, thread, clock, registry, admission, recorder);
        healthReporter = new HealthReporter(membership, limits);
        idempotencyCache = new IdempotencyCache(limits, thread, registry, admission);
        admission.setIdempotencyCache(idempotencyCache);
        decisionExecutor = new DecisionExecutor(clock, thread, registry, interpreterClient, healthReporter,
                idempotencyCache);
    }

    /** Connects to the interpreter and starts the health reports. */
    public void start(InetSocketAddress interpreter) {
        prepare(interpreter, InterpreterLink.Dialer::dialSocket);
        healthReporter.start();
        link.start();
    }

    /** Prepares the start without starting threads: the caller runs the link and the health reports. */
    public InterpreterLink prepare(InetSocketAddress interpreter, InterpreterLink.Dialer dialer) {
        link = new InterpreterLink(interpreter, limits, dialer, readers, writers, connection -> {
            thread.post(() -> interpreterClient.onLinkOpened(connection, lastNoticeNumber));
            return new InterpreterLines(limits, new InterpreterMessageHandler(this, connection));
        });
        thread.post(() -> thread.schedule(clock.now() + limits.summaryIntervalTenthsMs, this::logSummary));
        return link;
    }

    /** Applies the service addresses of a reloaded configuration; open exchanges are not affected. */
    public void updateAddresses(InetSocketAddress interpreter, InetSocketAddress membership) {
        link.move(interpreter);
        healthReporter.setAddress(membership);
    }

    /**
     * Applies a version, with its settings of the endpoint groups, to all exchanges that arrive from now on; earlier
     * ones keep the version of their arrival. On any thread.
     */
    public void activateVersion(long version, DeploymentReader newSettings) {
        List<EndpointGroup> groups = settings.reloadedGroups(newSettings);
        thread.post(() -> admission.activateVersion(version, groups));
    }

    /**
     * Starts no exchange of a version below {@code minVersion} any more, and none at all from {@code leaseUntil} on, by
     * the chain's clock. On any thread.
     */
    public void updateLease(long minVersion, long leaseUntil) {
        thread.post(() -> admission.updateLease(minVersion, leaseUntil));
    }

    /** Sends one health report, for a simulation of the chain; returns how long to pause after it. */
    public long reportHealth() {
        return healthReporter.reportNow();
    }

    /** Executes all decisions that are due; on the decision thread. */
    public void executeDecisions() {
        admission.executeDecisions();
    }

    /** Takes over an accepted connection, after waiting for a free slot; on the listener's thread. */
    public void onAccepted(DuplexChannel channel) {
        for (int attempt = 0; isFull(attempt) && !stopping; attempt++) {
            // Further connections wait in the backlog, which costs nothing here, until idle ones have been evicted.
            thread.post(() -> registry.evictIdleConnections(openConnections.get()));
            Resources.sleep(limits.makeRoomPollTenthsMs);
        }
        int connectionCount = openConnections.incrementAndGet();
        Connection connection = new Connection(channel, limits, readers, writers, unsentBytes,
                openConnections::decrementAndGet);
        StubConnection stub = new StubConnection(connection, limits, clock.now());
        thread.post(() -> registry.onConnectionOpened(stub, connectionCount));
        StubFrameHandler frameHandler = new StubFrameHandler(settings, limits, thread, clock, stub, admission, registry,
                healthReporter, openBodyBytes, peerLog, recorder);
        connection.start(new FrameReader(limits, frameHandler), limits.maxBufferedFrameBytes);
    }

    /**
     * Whether the connection table is full. Closing the connection would lose its request, so after some attempts it is
     * accepted beyond the limit, as far as descriptors are left.
     */
    private boolean isFull(int attempt) {
        int connectionCount = openConnections.get();
        return connectionCount
                >= (attempt < limits.maxMakeRoomAttempts ? limits.maxConnections : limits.hardMaxConnections);
    }

    /** Records the notice number; false if it was read before, over this link or the one that it replaced. */
    boolean isNewNotice(long number) {
        if (number <= lastNoticeNumber) {
            return false;
        }
        if (number > lastNoticeNumber + 1) {
            LOG.log(System.Logger.Level.ERROR, "interpreter notices {0} to {1} were not received",
                    lastNoticeNumber + 1, number - 1);
        }
        lastNoticeNumber = number;
        return true;
    }

    void onBanner(Connection link, String state, long interpreterAge) {
        if (!interpreterClient.isCurrentLink(link)) {
            return;
        }
        boolean firstBanner = !admission.isReady();
        LOG.log(System.Logger.Level.INFO, "the interpreter is up: state {0}, started {1} ms ago; {2} exchanges open",
                state, interpreterAge / 10, registry.openCount());
        if (firstBanner) {
            // Warm-up counts from the interpreter's start, which may be long after that of this process.
            settings.deployment.startsCold |= state.equals("new");
            admission.onInterpreterUp(decisionExecutor, clock.now() - interpreterAge);
        }
        interpreterClient.onBanner(firstBanner);
    }

    void onLinkLost(Connection link, String reason) {
        if (interpreterClient.isCurrentLink(link)) {
            LOG.log(System.Logger.Level.WARNING, "link to the interpreter lost: {0}", reason);
            interpreterClient.onLinkLost();
        }
    }

    /** Starts the drain that was requested at {@code drainNoticeAt}, or sets an earlier stop; on any thread. */
    public void startDrain(long stopAt, long drainNoticeAt) {
        thread.post(() -> {
            LOG.log(System.Logger.Level.INFO, "drain: {0} exchanges open on {1} connections, stop in {2} ms",
                    registry.openCount(), registry.connectionCount(), (stopAt - clock.now()) / 10);
            admission.startDrain(stopAt, drainNoticeAt);
        });
    }

    /** Ends the wait for a free slot in {@link #onAccepted}, as the listener is about to be closed. */
    public void stopWaitingForSlots() {
        stopping = true;
    }

    /** After the listener has closed: tells all stubs that no new exchange is accepted. */
    public void drainConnections() {
        healthReporter.stopAfterFinalReport();
        thread.post(registry::drainConnections);
    }

    /** Sends the answers that are due and closes all connections; at the stop. */
    public void closeAllConnections() {
        thread.post(() -> {
            // On a busy core the last tick before the stop may run after this, so the answers due are sent first.
            admission.tick();
            admission.executeDecisions();
            LOG.log(System.Logger.Level.INFO, "drained: completed {0} denied {1} terminated {2}; {3} runs unfinished",
                    registry.completed, registry.denied, registry.terminated, registry.openCount());
            registry.closeAllConnections();
            connectionsClosedAt = clock.now();
        });
    }

    /** Runs {@code onFinished}, on the decision thread, once all answers are written or no time is left for them. */
    public void finish(Runnable onFinished) {
        thread.post(() -> finishWhenFlushed(onFinished));
    }

    private void finishWhenFlushed(Runnable onFinished) {
        if (registry.isAllFlushed()
                || clock.now() >= connectionsClosedAt
                        + (limits.stopReadingLeadTenthsMs - limits.exitLeadTenthsMs) / 2) {
            onFinished.run();
        } else {
            thread.schedule(clock.now() + limits.makeRoomPollTenthsMs, () -> finishWhenFlushed(onFinished));
        }
    }

    private void logSummary() {
        LOG.log(System.Logger.Level.INFO, "summary: completed {0} denied {1} terminated {2}; {3} exchanges open "
                + "on {4} connections; {5} connections closed idle, {6} evicted; {7} log lines suppressed; "
                + "oldest arrival {8} ms, longest iteration {9} ms, longest queue {10}, {11} ticks without gauges; "
                + "{12} keys stored, {13} timers",
                registry.completed, registry.denied, registry.terminated, registry.openCount(),
                registry.connectionCount(), registry.closedIdle, registry.evicted,
                peerLog.resetAndCountSuppressed(), admission.maxArrivalAge / 10,
                thread.longestIteration / 10, thread.maxQueueLength, interpreterClient.ticksWithoutGauges,
                idempotencyCache.keyCount(), thread.timerCount());
        admission.maxArrivalAge = 0;
        thread.longestIteration = 0;
        thread.maxQueueLength = 0;
        thread.schedule(clock.now() + limits.summaryIntervalTenthsMs, this::logSummary);
    }
}
