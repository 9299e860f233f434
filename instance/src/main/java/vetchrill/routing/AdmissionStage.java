package vetchrill.routing;

import java.util.List;
import vetchrill.control.EndpointGroup;
import vetchrill.control.Exchange;
import vetchrill.control.OverloadController;
import vetchrill.protocol.DeploymentReader;
import vetchrill.protocol.Frames;
import vetchrill.transport.Limits;

/** Hands to the module what happened and pulls its decisions. */
final class AdmissionStage {
    private static final System.Logger LOG = System.getLogger("vetchrill.admit");

    private final DeploymentReader settings;
    private final long seed;
    private final Clock clock;
    private final ExchangeRegistry registry;
    private final Limits limits;
    private final RateLimitedLog peerLog;
    /** Null where nothing is recorded. */
    private final Recorder recorder;
    private DecisionExecutor decisionExecutor;
    private IdempotencyCache idempotencyCache;
    private OverloadController controller;
    /** When the process stops; 0 while nothing is known of that. */
    private long stopAt;
    /** When that was heard: the grace runs from then on, though the interpreter comes up later. */
    private long drainNoticeAt;
    private double[] lastGauges = new double[0];
    /** The version by which is decided what arrives, and its groups; null while that is what was told at start. */
    private long activeVersion;
    private List<EndpointGroup> activeGroups;
    private volatile long minVersion;
    private volatile long leaseUntil = Long.MAX_VALUE;
    /** Decided to be begun in time, and not asked for since the lease ran out in between. */
    int startsBlockedByLease;
    /** The oldest that an exchange was when it came to the decision thread, since the last summary. */
    long maxArrivalAge;

    AdmissionStage(DeploymentReader settings, long seed, Clock clock, ExchangeRegistry registry, Limits limits,
            RateLimitedLog peerLog, Recorder recorder) {
        this.settings = settings;
        this.seed = seed;
        this.clock = clock;
        this.registry = registry;
        this.limits = limits;
        this.peerLog = peerLog;
        this.recorder = recorder;
    }

    /** The interpreter is up: only now is there something to decide on, and known since when it warms up. */
    void onInterpreterUp(DecisionExecutor decisionExecutor, long interpreterStartedAt) {
        this.decisionExecutor = decisionExecutor;
        // Here the memory that is told is the interpreter's, which keeps neither keys nor results.
        settings.deployment.dedupKeyKb = 0;
        controller = new OverloadController(settings.deployment, seed, interpreterStartedAt);
        if (stopAt > 0) {
            controller.startDrain(stopAt, drainNoticeAt);
        }
        controller.updateLease(activeVersion, minVersion, leaseUntil, clock.now());
    }

    /** One point in the order of all that arrives: what came before is decided by the version of then. */
    void activateVersion(long version, List<EndpointGroup> groups) {
        this.activeVersion = version;
        this.activeGroups = groups;
        if (recorder != null) {
            recorder.versionActivated(version);
        }
        updateLease(minVersion, leaseUntil);
    }

    void updateLease(long minVersion, long until) {
        this.minVersion = minVersion;
        leaseUntil = until;
        if (controller != null) {
            controller.updateLease(activeVersion, minVersion, until, clock.now());
        }
    }

    /** Whether what is begun hangs on a word of others at all. */
    boolean updateLease() {
        return minVersion > 0 || leaseUntil != Long.MAX_VALUE;
    }

    /**
     * Looked at once more as a run is asked for, and as the command is written: the process may have stood still since
     * that was decided. On any thread.
     */
    boolean mayStart(OpenExchange ex) {
        return ex.version >= minVersion && (leaseUntil == Long.MAX_VALUE || clock.now() < leaseUntil);
    }

    /** The module holds it to be begun, and nothing of it was asked for. */
    void onStartBlocked(OpenExchange ex) {
        if (!ex.isFinished()) {
            startsBlockedByLease++;
            onRunFinished(ex, Exchange.Outcome.NOT_STARTED, 0);
            registry.deny(ex, settings.deployment.maxRetryAfter, false, clock.now());
            registry.removeIfOver(ex);
        }
    }

    boolean isReady() {
        return controller != null;
    }

    void onArrival(OpenExchange ex) {
        long now = clock.now();
        ex.stub.queuedArrivals.decrementAndGet();
        ex.version = activeVersion;
        if (activeGroups != null) {
            ex.group = activeGroups.get(ex.groupIndex);
        }
        if (ex.stub.closed) {
            registry.closeUnregistered(ex, Recorder.DISCONNECTED);
            return;
        }
        if (ex.stub.openByStream.containsKey(ex.stream)) {
            // An answer on its stream would be taken for that of the exchange which has it.
            countViolation(ex, "a stream used while it is open");
            rejectUnregistered(ex, Frames.terminated(0), Recorder.TERMINATED);
            return;
        }
        if (registry.isRegistered(ex.id)) {
            countViolation(ex, "a rid used while it is open");
            rejectUnregistered(ex, Frames.terminated(ex.stream), Recorder.TERMINATED);
            return;
        }
        if (ex.stub.openByStream.size() >= limits.maxExchangesPerConnection) {
            countViolation(ex, "more open than a connection carries");
            if (ex.idempotencyKey == null) {
                rejectUnregistered(ex, Frames.denied(ex.stream, 0, false), Recorder.DENIED);
            } else {
                // An earlier try of it may have run, which a denial would say is not so.
                rejectUnregistered(ex, Frames.terminated(ex.stream), Recorder.TERMINATED);
            }
            return;
        }
        if (ex.idempotencyKey != null) {
            idempotencyCache.linkToOriginal(ex);
        }
        if (controller == null || ex.idempotencyKey != null && !ex.repeat && idempotencyCache.isFull()) {
            rejectUnregistered(ex, Frames.denied(ex.stream, 0, false), Recorder.DENIED);
            return;
        }
        maxArrivalAge = Math.max(maxArrivalAge, now - ex.arrivedAt);
        ex.dequeuedAt = now;
        registry.register(ex);
        controller.onArrival(ex, now);
        if (ex.idempotencyKey != null) {
            // A further try that waits behind it in the queue is to find it remembered, or denied and forgotten.
            executeDecisions();
        }
    }

    /** For what no stub does; see {@link StubFrameHandler} for where it ends. */
    void countViolation(OpenExchange ex, String violation) {
        ex.stub.violations.incrementAndGet();
        peerLog.warn(LOG, "bad input: {0}", violation);
    }

    private void rejectUnregistered(OpenExchange ex, byte[] frame, byte answerKind) {
        ex.stub.connection.send(frame);
        registry.closeUnregistered(ex, answerKind);
    }

    /** A connection that was reset takes its answers with it: its callers have left, whoever they were. */
    void onConnectionReset(StubConnection stub) {
        LOG.log(System.Logger.Level.DEBUG, "a connection was reset with {0} exchanges open", stub.openByStream.size());
        for (OpenExchange ex : registry.abandonExchanges(stub)) {
            controller.onCallerDisconnected(ex, clock.now());
            registry.removeIfOver(ex);
            decisionExecutor.onCallerDisconnected(ex);
        }
    }

    void setIdempotencyCache(IdempotencyCache idempotencyCache) {
        this.idempotencyCache = idempotencyCache;
    }

    void onRunFinished(OpenExchange ex, Exchange.Outcome outcome, long runDuration) {
        onRunFinished(ex, outcome, runDuration, null);
    }

    /** {@code answer} is null where there is no result. */
    void onRunFinished(OpenExchange ex, Exchange.Outcome outcome, long runDuration, byte[] answer) {
        ex.runDuration = runDuration;
        controller.onRunEnded(ex, outcome, runDuration, clock.now());
        if (ex.isFinished()) {
            idempotencyCache.onRunFinished(ex, answer);
        }
        registry.removeIfOver(ex);
    }

    void updateGauges(double[] values) {
        lastGauges = values;
    }

    /**
     * One look, with the last gauges known. Connections are counted here: the interpreter does not see those that
     * are held open and carry nothing, which fill the table all the same.
     */
    void tick() {
        if (controller == null) {
            return;
        }
        controller.onTick(gauge(settings.cpuIndex), gauge(settings.runnableIndex), registry.connectionsInUse(),
                clock.now());
        if (recorder != null) {
            recordGauges();
        }
    }

    private void recordGauges() {
        Recorder.GaugeRow row = recorder.claimGaugeRow();
        if (row != null) {
            row.sampledAt = clock.now();
            row.cpu = (float) gauge(settings.cpuIndex);
            row.runnable = (float) gauge(settings.runnableIndex);
            row.memory = (float) gauge(settings.memoryIndex);
            row.connections = registry.connectionsInUse();
            row.open = registry.openCount();
            row.running = registry.runningCount();
            recorder.put(row);
        }
    }

    private double gauge(int index) {
        return index >= 0 && index < lastGauges.length ? lastGauges[index] : 0;
    }

    /** The grace runs from {@code leftAt}, however late this is told or told again. */
    void beginDrain(long stopAt, long drainNoticeAt) {
        this.drainNoticeAt = drainNoticeAt;
        this.stopAt = stopAt;
        if (controller != null) {
            controller.startDrain(stopAt, drainNoticeAt);
            controller.updateLease(activeVersion, minVersion, leaseUntil, clock.now());
        }
    }

    void executeDecisions() {
        while (controller != null && controller.next(decisionExecutor)) {
            continue;
        }
    }
}
