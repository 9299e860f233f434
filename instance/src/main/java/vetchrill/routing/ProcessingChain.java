package vetchrill.routing;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import vetchrill.control.EndpointGroup;
import vetchrill.protocol.DeploymentReader;
import vetchrill.protocol.FrameReader;
import vetchrill.protocol.InterpreterLines;
import vetchrill.protocol.HealthReportSink;
import vetchrill.transport.Connection;
import vetchrill.transport.InterpreterLink;
import vetchrill.transport.IoTask;
import vetchrill.transport.Limits;
import vetchrill.transport.DuplexChannel;
import vetchrill.transport.Resources;
import vetchrill.transport.WorkerPool;

/** Puts the units of the chain together, and tells them of links, notices and the end. */
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
    private final IoTask.Executor readers;
    private final IoTask.Executor writers;
    private InterpreterLink link;
    private final AtomicInteger openConnections = new AtomicInteger();
    private final AtomicLong unsentBytes = new AtomicLong();
    final AtomicLong openBodyBytes = new AtomicLong();
    private final RateLimitedLog peerLog;
    /** Null where nothing is recorded. */
    private final Recorder recorder;
    private long lastNoticeNumber;
    private long connectionsClosedAt;
    /** No more connections are wanted: whoever waits to let one in does not go on waiting. */
    private volatile boolean stopping;

    public ProcessingChain(DeploymentReader settings, long seed, Clock clock, DecisionThread thread,
            HealthReportSink membership, Limits limits, Recorder recorder) {
        this(settings, seed, clock, thread, membership, limits, recorder,
                new WorkerPool("reader", limits.minIdleReaders, limits),
                new WorkerPool("writer", limits.minIdleWriters, limits));
    }

    /** The same with whoever gives its jobs their threads. */
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
        IdempotencyCache idempotencyCache = new IdempotencyCache(limits, thread, registry, admission);
        admission.setIdempotencyCache(idempotencyCache);
        decisionExecutor = new DecisionExecutor(clock, thread, registry, interpreterClient, healthReporter,
                idempotencyCache);
    }

    public void start(InetSocketAddress interpreter) {
        prepare(interpreter, InterpreterLink.Dialer::dialSocket);
        healthReporter.start();
        link.start();
    }

    /** All of the start but its threads: who keeps the link and the reports going is up to the caller. */
    public InterpreterLink prepare(InetSocketAddress interpreter, InterpreterLink.Dialer dial) {
        link = new InterpreterLink(interpreter, limits, dial, readers, writers, connection -> {
            thread.post(() -> interpreterClient.onLinkOpened(connection, lastNoticeNumber));
            return new InterpreterLines(limits, new InterpreterMessageHandler(this, connection));
        });
        thread.post(() -> thread.schedule(clock.now() + limits.summaryIntervalTenthsMs, this::logSummary));
        return link;
    }

    /** Another configuration: both services are spoken to at other addresses, all that is open goes on. */
    public void updateAddresses(InetSocketAddress interpreter, InetSocketAddress membership) {
        link.move(interpreter);
        healthReporter.setAddress(membership);
    }

    /**
     * What arrives from one point on is decided by that version: by its groups, told anew. What came before
     * stays with the version of then. On any thread.
     */
    public void activateVersion(long version, DeploymentReader newSettings) {
        List<EndpointGroup> groups = settings.reloadedGroups(newSettings);
        thread.post(() -> admission.activateVersion(version, groups));
    }

    /**
     * Nothing of a version under the floor is begun any more, and nothing at all from {@code until} on, by the chain's
     * clock. On any thread.
     */
    public void updateLease(long minVersion, long until) {
        thread.post(() -> admission.updateLease(minVersion, until));
    }

    /** One report of health, for whoever simulates the chain; how long to pause after it. */
    public long reportHealth() {
        return healthReporter.reportNow();
    }

    public void executeDecisions() {
        admission.executeDecisions();
    }

    /** On the listener's thread. */
    public void onAccepted(DuplexChannel pipe) {
        for (int attempt = 0; isFull(attempt) && !stopping; attempt++) {
            // The next ones wait unaccepted, which costs nothing here, until what is idle has given way.
            thread.post(() -> registry.evictIdleConnections(openConnections.get()));
            Resources.sleep(limits.makeRoomPollTenthsMs);
        }
        int connectionCount = openConnections.incrementAndGet();
        Connection connection = new Connection(pipe, limits, readers, writers, unsentBytes,
                openConnections::decrementAndGet);
        StubConnection stub = new StubConnection(connection, clock.now());
        thread.post(() -> registry.onConnectionOpened(stub, connectionCount));
        StubFrameHandler frameHandler = new StubFrameHandler(settings, limits, thread, clock, stub, admission, registry,
                healthReporter, openBodyBytes, peerLog,
                recorder);
        connection.start(new FrameReader(limits, frameHandler), limits.maxBufferedFrameBytes);
    }

    /** Closing it would lose what it brings: after a while it is taken past the limit, where descriptors are left. */
    private boolean isFull(int attempt) {
        int connectionCount = openConnections.get();
        return connectionCount
                >= (attempt < limits.maxMakeRoomAttempts ? limits.maxConnections : limits.hardMaxConnections);
    }

    /** False for a notice that was read before, over this link or the one that it replaced. */
    boolean isNewNotice(long number) {
        if (number <= lastNoticeNumber) {
            return false;
        }
        if (number > lastNoticeNumber + 1) {
            LOG.log(System.Logger.Level.ERROR, "notices {0} to {1} never came", lastNoticeNumber + 1, number - 1);
        }
        lastNoticeNumber = number;
        return true;
    }

    void onBanner(Connection link, String state, long sinceStart) {
        if (!interpreterClient.isCurrentLink(link)) {
            return;
        }
        boolean first = !admission.isReady();
        LOG.log(System.Logger.Level.INFO, "the interpreter is up: {0}, started {1} ms ago; {2} exchanges open", state,
                sinceStart / 10, registry.openCount());
        if (first) {
            // It may have come up long after this process, and the cores warm up from its start on.
            settings.deployment.startsCold |= state.equals("new");
            admission.onInterpreterUp(decisionExecutor, clock.now() - sinceStart);
        }
        interpreterClient.onBanner(first);
    }

    void onLinkLost(Connection link, String reason) {
        if (interpreterClient.isCurrentLink(link)) {
            LOG.log(System.Logger.Level.WARNING, "link to the interpreter lost: {0}", reason);
            interpreterClient.onLinkLost();
        }
    }

    /** The notice to leave, which came at {@code leftAt}, or word of an earlier stop; on any thread. */
    public void beginDrain(long stopAt, long drainNoticeAt) {
        thread.post(() -> {
            LOG.log(System.Logger.Level.INFO, "drain: {0} exchanges open on {1} connections, stop in {2} ms",
                    registry.openCount(), registry.connectionCount(), (stopAt - clock.now()) / 10);
            admission.beginDrain(stopAt, drainNoticeAt);
        });
    }

    /** Whoever waits for room to let one more in lets it in or gives up: the listener is about to be closed. */
    public void stopWaitingForSlots() {
        stopping = true;
    }

    /** The listener is closed. */
    public void drainConnections() {
        healthReporter.stopAfterFinalReport();
        thread.post(registry::drainConnections);
    }

    public void closeAllConnections() {
        thread.post(() -> {
            // On a crowded core the look before the stop may come after this: what is still owed goes out first.
            admission.tick();
            admission.executeDecisions();
            LOG.log(System.Logger.Level.INFO, "drained: completed {0} denied {1} terminated {2}; {3} runs go on",
                    registry.completed, registry.denied, registry.terminated, registry.openCount());
            registry.closeAllConnections();
            connectionsClosedAt = clock.now();
        });
    }

    /** Runs {@code over}, on the decision thread, once all that was owed is written or no time is left for it. */
    public void finish(Runnable onFinished) {
        thread.post(() -> finishWhenFlushed(onFinished));
    }

    private void finishWhenFlushed(Runnable onFinished) {
        if (registry.isAllFlushed() || clock.now() >= connectionsClosedAt
                + (limits.stopReadingLeadTenthsMs - limits.exitLeadTenthsMs) / 2) {
            onFinished.run();
        } else {
            thread.schedule(clock.now() + limits.makeRoomPollTenthsMs, () -> finishWhenFlushed(onFinished));
        }
    }

    private void logSummary() {
        LOG.log(System.Logger.Level.INFO, "completed {0} denied {1} terminated {2}; open {3} on {4} connections, "
                + "{5} closed idle, {6} to make room, {7} lines left out; oldest arrival {8} ms, longest round {9} ms, "
                + "{10} inputs waiting, {11} looks without gauges",
                registry.completed, registry.denied, registry.terminated, registry.openCount(),
                registry.connectionCount(), registry.closedIdle,
                registry.evicted, peerLog.resetAndCountSuppressed(), admission.maxArrivalAge / 10,
                thread.longestIteration / 10, thread.maxQueueLength, interpreterClient.ticksWithoutGauges);
        admission.maxArrivalAge = 0;
        thread.longestIteration = 0;
        thread.maxQueueLength = 0;
        thread.schedule(clock.now() + limits.summaryIntervalTenthsMs, this::logSummary);
    }
}
