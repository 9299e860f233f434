package vetchrill.routing;

import java.util.List;
import vetchrill.control.EndpointGroup;
import vetchrill.control.Exchange;
import vetchrill.control.OverloadController;
import vetchrill.protocol.DeploymentReader;
import vetchrill.protocol.Frames;
import vetchrill.transport.Limits;

/**
 * Passes events (arrivals, ends of runs, gauges, leases, the drain) to the {@link OverloadController} and has its
 * decisions executed. All methods run on the decision thread unless they say otherwise.
 */
final class AdmissionStage {
    private static final System.Logger LOG = System.getLogger("vetchrill.admit");

    private final DeploymentReader settings;
    private final long seed;
    private final Clock clock;
    private final ExchangeRegistry registry;
    private final Limits limits;
    private final RateLimitedLog peerLog;
    /** Null when recording is off. */
    private final Recorder recorder;
    private DecisionExecutor decisionExecutor;
    private IdempotencyCache idempotencyCache;
    private OverloadController controller;
    /** When the process exits; 0 while it is not draining. */
    private long stopAt;
    /** When the drain was requested: its grace period runs from here even if the interpreter comes up later. */
    private long drainNoticeAt;
    private double[] lastGauges = new double[0];
    /** The version that applies to new arrivals, and its groups; null while the start configuration applies. */
    private long activeVersion;
    private List<EndpointGroup> activeGroups;
    private volatile long minVersion;
    private volatile long leaseUntil = Long.MAX_VALUE;
    /** Starts that were decided in time but not requested, since the lease had expired by then. */
    int startsBlockedByLease;
    /** Maximum age of an exchange when it reached the decision thread, since the last summary. */
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

    /**
     * Creates the controller: before the first banner nothing can run, and it is not known since when the interpreter
     * has been warming up.
     */
    void onInterpreterUp(DecisionExecutor decisionExecutor, long interpreterStartedAt) {
        this.decisionExecutor = decisionExecutor;
        // The memory in the settings is the interpreter's, which stores neither idempotency keys nor results.
        settings.deployment.dedupKeyKb = 0;
        controller = new OverloadController(settings.deployment, seed, interpreterStartedAt);
        if (stopAt > 0) {
            controller.startDrain(stopAt, drainNoticeAt);
        }
        controller.updateLease(activeVersion, minVersion, leaseUntil, clock.now());
    }

    /** Exchanges that arrived before this call keep the version that was active on their arrival. */
    void activateVersion(long version, List<EndpointGroup> groups) {
        activeVersion = version;
        activeGroups = groups;
        if (recorder != null) {
            recorder.versionActivated(version);
        }
        updateLease(minVersion, leaseUntil);
    }

    /** Refuses to start versions below {@code minVersion}, and all versions from {@code leaseUntil} on. */
    void updateLease(long minVersion, long leaseUntil) {
        this.minVersion = minVersion;
        this.leaseUntil = leaseUntil;
        if (controller != null) {
            controller.updateLease(activeVersion, minVersion, leaseUntil, clock.now());
        }
    }

    /** Whether starts depend on a lease or on a minimum version agreed with other instances. */
    boolean isLeaseRequired() {
        return minVersion > 0 || leaseUntil != Long.MAX_VALUE;
    }

    /**
     * Whether lease and minimum version still allow a start. Checked again when a run is requested and when its command
     * is written, since the process may have been suspended after the decision. On any thread.
     */
    boolean mayStart(OpenExchange ex) {
        return ex.version >= minVersion && (leaseUntil == Long.MAX_VALUE || clock.now() < leaseUntil);
    }

    /** Denies an exchange that the controller has started but whose run was never requested. */
    void onStartBlocked(OpenExchange ex) {
        if (!ex.isFinished()) {
            startsBlockedByLease++;
            onRunFinished(ex, Exchange.Outcome.NOT_STARTED, 0);
            registry.deny(ex, settings.deployment.maxRetryAfter, false, clock.now());
            registry.removeIfFinished(ex);
        }
    }

    /** Whether the interpreter has come up, so that decisions can be made. */
    boolean isReady() {
        return controller != null;
    }

    /**
     * Registers an exchange read from a stub, or answers it at once where its stream or id is in use, a limit is
     * reached or the interpreter has not come up yet.
     */
    void onArrival(OpenExchange ex) {
        long now = clock.now();
        ex.stub.queuedArrivals.decrementAndGet();
        ex.version = activeVersion;
        if (activeGroups != null) {
            ex.group = activeGroups.get(ex.groupIndex);
        }
        if (ex.stub.closed) {
            LOG.log(System.Logger.Level.DEBUG, "exchange {0} arrived on a closed connection, closed {1} ms ago", ex.id,
                    (now - ex.stub.closedAt) / 10);
            registry.closeUnregistered(ex, Recorder.DISCONNECTED);
            return;
        }
        if (ex.stub.openByStream.containsKey(ex.stream)) {
            // An answer on this stream would be taken for that of the exchange which is open on it.
            countViolation(ex, "stream id is in use by an open exchange");
            rejectUnregistered(ex, Frames.terminated(0), Recorder.TERMINATED);
            return;
        }
        OpenExchange holder = registry.find(ex.id);
        if (holder != null) {
            if (holder.stub == ex.stub) {
                countViolation(ex, "rid is in use by an open exchange");
            } else {
                // Either of the two may be the one that took an id which is not its own.
                peerLog.warn(LOG, "rid {0} is in use by an open exchange of another connection", ex.id);
            }
            rejectUnregistered(ex, Frames.terminated(ex.stream), Recorder.TERMINATED);
            return;
        }
        if (ex.stub.openByStream.size() >= limits.maxExchangesPerConnection) {
            countViolation(ex, "too many open exchanges on one connection");
            if (ex.idempotencyKey == null) {
                rejectUnregistered(ex, Frames.denied(ex.stream, 0, false), Recorder.DENIED);
            } else {
                // An earlier attempt may have run, and a denial would promise that none did.
                rejectUnregistered(ex, Frames.terminated(ex.stream), Recorder.TERMINATED);
            }
            return;
        }
        if (ex.idempotencyKey != null) {
            idempotencyCache.linkToOriginal(ex);
        }
        if (!ex.repeat && registry.hasRecentRun(ex.id)) {
            peerLog.warn(LOG, "rid {0} has been used by an exchange that ran", ex.id);
            rejectUnregistered(ex, Frames.terminated(ex.stream), Recorder.TERMINATED);
            return;
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
            // A retry queued right behind this exchange must find its key stored, or find it denied and dropped.
            executeDecisions();
        }
    }

    /** Logs input that no correct stub sends, and counts it against the connection that it came from. */
    void countViolation(OpenExchange ex, String violation) {
        peerLog.warn(LOG, "invalid input from a stub: {0}", violation);
        if (ex.stub.inputBudget.chargeInvalidFrame()) {
            onViolationLimit(ex.stub);
        }
    }

    /**
     * Has a connection that used up its {@link InputBudget} closed. Its stub is told first, and
     * {@link StubFrameHandler} reads on for what it has already sent: valid exchanges among that must not be lost.
     */
    void onViolationLimit(StubConnection stub) {
        peerLog.warn(LOG, "closing a connection over its invalid input, violation limit {0}", limits.maxInvalidFrames);
        registry.drainAndClose(stub);
    }

    /** Answers an exchange that never became open. */
    private void rejectUnregistered(OpenExchange ex, byte[] frame, byte answerKind) {
        ex.stub.connection.send(frame);
        registry.closeUnregistered(ex, answerKind);
    }

    /** After a reset no answer can reach the callers, so all open exchanges of the connection are abandoned. */
    void onConnectionReset(StubConnection stub) {
        LOG.log(System.Logger.Level.DEBUG, "connection reset with {0} exchanges open", stub.openByStream.size());
        for (OpenExchange ex : registry.abandonExchanges(stub)) {
            controller.onCallerDisconnected(ex, clock.now());
            registry.removeIfFinished(ex);
            decisionExecutor.onCallerDisconnected(ex);
        }
    }

    /** Set after construction, as each of the two needs the other. */
    void setIdempotencyCache(IdempotencyCache idempotencyCache) {
        this.idempotencyCache = idempotencyCache;
    }

    void onRunFinished(OpenExchange ex, Exchange.Outcome outcome, long runDuration) {
        onRunFinished(ex, outcome, runDuration, null);
    }

    /** {@code answerFrame} is null if the run has no result. */
    void onRunFinished(OpenExchange ex, Exchange.Outcome outcome, long runDuration, byte[] answerFrame) {
        ex.runDuration = runDuration;
        ex.runDeclined = outcome == Exchange.Outcome.NOT_STARTED;
        if (ex.runDeclined && !ex.mayHaveRun()) {
            controller.onRunDeclined(ex, clock.now());
        } else {
            controller.onRunEnded(ex, outcome, runDuration, clock.now());
        }
        if (ex.isFinished()) {
            idempotencyCache.onRunFinished(ex, answerFrame);
        }
        registry.removeIfFinished(ex);
    }

    void updateGauges(double[] values) {
        lastGauges = values;
    }

    /**
     * Runs one controller tick with the last known gauges. Connections are counted here, since the interpreter does not
     * see those that are open and unused, though they fill the connection table as well.
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

    /** The gauge at that position of the last row; 0 if the interpreter does not send it. */
    private double gauge(int index) {
        return index >= 0 && index < lastGauges.length ? lastGauges[index] : 0;
    }

    /** Starts the drain, or sets an earlier stop; the grace period runs from {@code drainNoticeAt} in any case. */
    void startDrain(long stopAt, long drainNoticeAt) {
        this.drainNoticeAt = drainNoticeAt;
        this.stopAt = stopAt;
        if (controller != null) {
            controller.startDrain(stopAt, drainNoticeAt);
            controller.updateLease(activeVersion, minVersion, leaseUntil, clock.now());
        }
    }

    /** Executes decisions until the controller has no further one. */
    void executeDecisions() {
        while (controller != null && controller.next(decisionExecutor)) {
            continue;
        }
    }
}
