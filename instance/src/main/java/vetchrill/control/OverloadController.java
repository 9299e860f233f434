package vetchrill.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import vetchrill.control.EndpointGroup.Effect;
import vetchrill.control.Exchange.Outcome;
import vetchrill.control.Exchange.Stage;

/**
 * Makes all overload decisions of one instance: which exchanges to start, reject, interrupt or replay, when to make
 * calls to a dependency, and what to report to callers and health checks.
 *
 * <p>The owner reports events through {@link #onArrival}, {@link #onRunEnded}, {@link #onRunDeclined},
 * {@link #onCallRequested}, {@link #onCallEnded}, {@link #onCallerDisconnected}, {@link #startDrain},
 * {@link #updateLease} and {@link #onTick}, which only record them. It then calls {@link #next} until that returns
 * false; each call takes at most one action through {@link Host}, the only outgoing interface. A single timer,
 * requested by {@link Host#scheduleTick} and answered by {@link #onTick}, drives all periodic work.
 *
 * <p>All times and durations are tenths of a millisecond on the owner's clock. Not thread-safe.
 */
public final class OverloadController {
    /** Interval between two samples of the gauges, and so the precision of every action that is bound to a time. */
    private static final long TICK_INTERVAL_TENTHS_MS = 1000;
    /** Exchanges are answered this long before their deadline; two ticks allow for a late timer. */
    private static final long DEADLINE_MARGIN_TENTHS_MS = 2 * TICK_INTERVAL_TENTHS_MS;
    /** Time for an answer to reach the client. */
    private static final long ANSWER_DELIVERY_TENTHS_MS = 100;

    /** Share of the memory up to which pending exchanges are started; set by the service design. */
    private static final double MEMORY_WATERMARK_RATIO = 0.85;
    /** Share of the memory past which pending exchanges are shed; the rest is for what is read within one tick. */
    private static final double PENDING_MEMORY_LIMIT_RATIO = 0.92;

    /** Longest time in the pending queue: wait estimates are inexact, and another instance may be free. */
    private static final double MAX_PENDING_SLO_RATIO = 0.6;
    /** Shorter on a backend tier: the callers have pending queues of their own and can often skip the call. */
    private static final double BACKEND_MAX_PENDING_SLO_RATIO = 0.15;

    /** The run limit grows only below this, and idle connections close sooner above it; set by the service design. */
    private static final double CPU_BUSY_RATIO = 0.9;
    /** Runnable tasks per core past which more runs do not raise the throughput. */
    private static final double SATURATED_RUNNABLE_PER_CORE = 1.3;
    /** Weight of a new sample in the average number of runnable tasks. */
    private static final double RUNNABLE_SMOOTHING_RATIO = 0.3;
    /** Share of the sustainable runs that is used. */
    private static final double SUSTAINABLE_RUNS_USED_RATIO = 0.8;
    /** Limit on running exchanges and those at calls, where runs that resume after a call can be preempted. */
    private static final int MAX_RUNS_AND_CALLS_PER_CORE = 12;

    /** An average read delay above the shortest SLO time divided by this lowers the run limit. */
    private static final double READ_DELAY_LIMIT_SLO_DIVISOR = 2;
    /** The read delay does not lower the run limit below this. */
    private static final double MIN_RUNS_PER_CORE = 0.5;
    /** Weight of a new arrival in the average read delay. */
    private static final double READ_DELAY_SMOOTHING_RATIO = 0.2;
    /** Applied to the average read delay at each tick: without arrivals no sample would ever lower it. */
    private static final double READ_DELAY_DECAY_RATIO = 0.98;

    /** More open connections for each configured caller than this make idle ones close sooner. */
    private static final int MAX_CONNECTIONS_PER_CALLER = 8;
    /** The same, by what the cores can have open at once: the limit where callers are very many. */
    private static final int MAX_CONNECTIONS_PER_CORE = 12;
    private static final long MIN_IDLE_TIME_TENTHS_MS = 100;
    /** Ticks in which the idle time returns from zero to that of the callers. */
    private static final int IDLE_TIME_RECOVERY_TICKS = 50;

    /** Runs are not stuck before this long without progress. */
    private static final long MIN_STUCK_TENTHS_MS = 5000;
    /** Runs are stuck after this many usual run times without progress, and more where few are running. */
    private static final double STUCK_RUN_TIME_RATIO = 2;
    /** Added to the above, divided by the number of runs: a few runs may well all be long ones. */
    private static final double STUCK_SINGLE_RUN_EXTRA_RATIO = 10;
    /** Weight of the assumed run time beside the measured ones, in runs. */
    private static final int ASSUMED_RUN_COUNT = 8;
    /** The run time assumed before any is measured is the SLO time divided by this. */
    private static final double ASSUMED_RUN_SLO_DIVISOR = 6.0;

    /** Unhealthy periods are limited and spaced apart, so that a fleet does not become unhealthy as a whole. */
    private static final long MAX_UNHEALTHY_TENTHS_MS = 50_000;
    /** Shortest time between two unhealthy periods. */
    private static final long MIN_HEALTHY_TENTHS_MS = 12_500;
    /** Arrivals above this multiple of this instance's part of all allowances: the other instances are full as well. */
    private static final double HIGH_ARRIVALS_RATIO = 1.3;
    /** With fewer completions per arrival, little is lost when an instance that reads too late becomes unhealthy. */
    private static final double MIN_COMPLETION_RATIO = 0.1;
    /** Below this cpu usage an unhealthy instance has caught up; staying out longer only overloads the others. */
    private static final double RECOVERED_CPU_RATIO = 0.6;
    /** Runs are failing when more than this many, and more than have completed, have failed recently. */
    private static final double FAILING_MIN_FAILED_RUNS = 3;
    /** Applied to the counts of completed and failed runs at each tick. */
    private static final double RUN_COUNT_DECAY_RATIO = 0.97;

    /** The circuit breaker for calls opens above this many recent failures. */
    private static final double CIRCUIT_MIN_FAILED_CALLS = 4;
    /** The circuit breaker for calls opens above this many failures for each success. */
    private static final double CIRCUIT_FAILURE_RATIO = 2;
    /** An open circuit breaker still lets through one in this many attempts. */
    private static final int CIRCUIT_PROBE_ONE_IN = 8;

    /** Quantile of measured over declared core time by which an exchange's own core time is predicted. */
    private static final double DECLARED_TIME_QUANTILE_RATIO = 0.25;
    /** Measured core time as a percentage of the declared one, before any is measured. */
    private static final double ASSUMED_PERCENT_OF_DECLARED = 150;

    /** Average cost of reading a rejected exchange at the next instances, in runs, at which retries are forbidden. */
    private static final double MAX_RETRY_READ_COST_RUN_RATIO = 0.5;
    /** Quantile of the read delay that stands for the cost of reading. */
    private static final double READ_COST_QUANTILE_RATIO = 0.25;
    /** Arrivals above the allowance raise the probability to forbid a retry, up to this multiple of the allowance. */
    private static final double MAX_ARRIVAL_INCREASE_RATIO = 2;
    private static final double ARRIVAL_INCREASE_EXPONENT = 4;
    /** Share of marked retries among recent arrivals at which all instances must be full. */
    private static final double ALL_FULL_RETRY_RATIO = 0.4;
    /** Weight of a new arrival in the share of retries. */
    private static final double RETRY_SMOOTHING_RATIO = 0.05;
    /** A full pending queue turns over in the shortest SLO time divided by this; a longer delay idles cores. */
    private static final int PENDING_TURNOVER_SLO_DIVISOR = 4;

    /** Token hint that limits no caller. */
    private static final double MAX_TOKENS = 1000;
    /** Growth of the token hint at each tick without shedding. */
    private static final double TOKEN_GROWTH_RATIO = 1.05;
    /** Rise of the minimum-rank hint at each tick with shedding. */
    private static final double MIN_RANK_STEP_UP = 0.02;
    /** Fall of the minimum-rank hint at each tick without shedding. */
    private static final double MIN_RANK_STEP_DOWN = 0.01;
    /** A higher minimum rank would leave only the exchanges of the highest ranks. */
    private static final double MAX_MIN_RANK = 0.5;
    /** A load hint is published when it has changed by more than this, plus the ratio below of its last value. */
    private static final double MIN_LOAD_HINT_CHANGE = 0.03;
    private static final double LOAD_HINT_CHANGE_RATIO = 0.05;

    private static final Comparator<Exchange> OLDEST_FIRST = Comparator.comparingLong(ex -> ex.arrivedAt);

    private final Deployment deployment;
    private final SplittableRandom random;
    private final long createdAt;
    private long now;

    private final List<Exchange> pending = new ArrayList<>();
    private final List<Exchange> running = new ArrayList<>();
    /** Exchanges whose run waits for a call, before and while it is made. */
    private final List<Exchange> atCalls = new ArrayList<>();
    private final List<Exchange> replaying = new ArrayList<>();
    /**
     * The pending queue sorted by age and by priority, cached until the next event: after a burst of arrivals, sorting
     * again for each rejection would block the decisions for too long.
     */
    private final List<Exchange> pendingByAge = new ArrayList<>();
    private final List<Exchange> pendingByPriority = new ArrayList<>();
    /** The one of the two in whose order exchanges are started. */
    private List<Exchange> runOrder = pendingByAge;
    private final ArrayDeque<Exchange> toDeduplicate = new ArrayDeque<>();
    private final ArrayDeque<Exchange> keysToDrop = new ArrayDeque<>();
    private final ArrayDeque<Exchange> toInterrupt = new ArrayDeque<>();
    /** The keys that take memory, in the order in which they were stored. */
    private final Set<StoredKey> storedKeys = new LinkedHashSet<>();

    private double memoryUsedKb;
    private double cpuUsage;
    private double averageRunnable;
    private double openConnections;
    /** How many exchanges may run at a time; changes by one a tick. */
    private double runLimit;
    private boolean tickPending = true;
    private boolean deadlineCheckPending;
    private boolean shedCheckPending;
    /** 1 for healthy, 0 for unhealthy, -1 before the first report. */
    private int reportedHealth = -1;
    private boolean draining;
    private long stopAt;
    private long drainGraceEndsAt;
    private long activeVersion;
    private long minVersion;
    private long leaseExpiresAt = Long.MAX_VALUE;

    private long idleTime;
    private long reportedIdleTime;
    /** Counts that decay at each tick: under steady load, roughly the number in a second. */
    private final double[] arrivalRateByCustomer;
    private double arrivalRate;
    private double completionRate;
    /** Share of retries among recent arrivals. */
    private double retryRatio;
    /** This instance's part of the allowances of all customers, in exchanges a second. */
    private final double allowancePerInstance;
    /** When each abandoned call is expected to end at the shared dependency. */
    private final ArrayDeque<Long> abandonedCallsEndAt = new ArrayDeque<>();
    private int callsInFlight;
    private double averageCallsInFlight;
    private double callSuccesses;
    private double callFailures;
    private boolean shedSinceTick;
    /** Load hint for callers that send nothing below a minimum rank. */
    private double minRank;
    private long tickRequestedAt;
    /** When a run last ended or asked for a call, or the first of the present runs started. */
    private long lastProgressAt;
    private boolean runsStuck;
    private boolean runsFailing;
    private double runSuccesses;
    private double runFailures;
    private final long shortestSloTime;
    /** Average time for which exchanges have waited before they were read. */
    private double averageReadDelay;
    private long unhealthyUntil = Long.MIN_VALUE;
    /** Load hint for callers that limit what they have open here. */
    private double tokens = MAX_TOKENS;
    private double reportedLoadHint;
    private final Histogram callTime = new Histogram();
    private final Histogram readDelay = new Histogram();
    private final Histogram coreTime = new Histogram();
    /** Measured core time as a percentage of what the exchange declared. */
    private final Histogram coreTimePercentOfDeclared = new Histogram();

    /** {@code seed} makes all random choices reproducible; warm-up is counted from {@code now}. */
    public OverloadController(Deployment deployment, long seed, long now) {
        this.deployment = deployment;
        this.now = now;
        random = new SplittableRandom(seed);
        createdAt = now;
        runLimit = deployment.cores;
        idleTime = deployment.callerIdleTime;
        reportedIdleTime = idleTime;
        reportedLoadHint = deployment.loadHint == Deployment.LoadHint.TOKENS ? MAX_TOKENS : 0;
        arrivalRateByCustomer = new double[deployment.allowancePerSecond.length];
        allowancePerInstance = Arrays.stream(deployment.allowancePerSecond).sum() / deployment.instanceCount;
        shortestSloTime = deployment.groups.stream().mapToLong(group -> group.sloTime).min().orElse(Long.MAX_VALUE);
    }

    // Events. They are only recorded here; decisions are made in next().

    /** An exchange was read. Its caller has set the public fields. */
    public void onArrival(Exchange ex, long now) {
        markChanged(now);
        EndpointGroup group = ex.group;
        ex.deadline = ex.callerDeadline > 0 ? ex.callerDeadline : ex.arrivedAt + group.asyncTimeout;
        ex.startDeadline = ex.arrivedAt + (long) (
                (deployment.backendTier ? BACKEND_MAX_PENDING_SLO_RATIO : MAX_PENDING_SLO_RATIO) * group.sloTime);
        long sloTime = group.sloTime + (long) (group.sloWorkFactor * ex.declaredCoreTime);
        ex.sloDeadline = ex.arrivedAt + Math.min(group.asyncTimeout, sloTime);
        pending.add(ex);
        toDeduplicate.add(ex);
        memoryUsedKb += ex.sizeKb;
        // A repeat that arrives just before the stop does not stay pending, and the next tick may be too late for it.
        deadlineCheckPending |= ex.deadline <= now + DEADLINE_MARGIN_TENTHS_MS
                || draining && stopAt <= now + DEADLINE_MARGIN_TENTHS_MS;
        arrivalRate++;
        retryRatio += RETRY_SMOOTHING_RATIO * ((ex.retry ? 1 : 0) - retryRatio);
        readDelay.add(now - ex.arrivedAt);
        averageReadDelay += READ_DELAY_SMOOTHING_RATIO * (now - ex.arrivedAt - averageReadDelay);
        if (ex.customer < arrivalRateByCustomer.length) {
            arrivalRateByCustomer[ex.customer]++;
        }
    }

    /**
     * A run or a replay ended. A run that was preempted before it was answered becomes pending again.
     *
     * @param duration from the start of the run, calls included
     */
    public void onRunEnded(Exchange ex, Outcome outcome, long duration, long now) {
        markChanged(now);
        lastProgressAt = now;
        if (outcome == Outcome.ERRORED && ex.stage == Stage.RUNNING) {
            runFailures++;
        }
        if (outcome == Outcome.COMPLETED && ex.stage == Stage.RUNNING) {
            completionRate++;
            runSuccesses++;
            long runCoreTime = Math.max(1, duration - ex.timeAtCalls);
            ex.group.coreTime.add(runCoreTime);
            this.coreTime.add(runCoreTime);
            ex.group.timeAtCalls.add(ex.timeAtCalls);
            if (ex.declaredCoreTime > 0) {
                coreTimePercentOfDeclared.add(runCoreTime * 100 / ex.declaredCoreTime);
                ex.group.declaredCoreTime.add(ex.declaredCoreTime);
            }
        }
        ex.interrupting = false;
        boolean requeue = outcome == Outcome.PREEMPTED && !ex.answered;
        finish(ex);
        if (requeue) {
            ex.stage = Stage.PENDING;
            pending.add(ex);
            ex.paused = deployment.preemption == Deployment.Preemption.PAUSE;
            memoryUsedKb += ex.paused ? ex.sizeKb * deployment.runMemoryFactor : ex.sizeKb;
        }
    }

    /** A run has released its core and waits for a call. */
    public void onCallRequested(Exchange ex, long now) {
        markChanged(now);
        lastProgressAt = now;
        running.remove(ex);
        atCalls.add(ex);
        ex.stage = Stage.AWAITING_CALL;
        ex.callRequestedAt = now;
        ex.failedCallAttempts = 0;
        ex.interrupting = false;
        ex.callMayHaveRun = false;
        ex.nextCallAt = now;
    }

    /** A call made by {@link Host#call} ended; a failed one may be retried or skipped. */
    public void onCallEnded(Exchange ex, Outcome outcome, long duration, long now) {
        markChanged(now);
        endCallInFlight(outcome == Outcome.TIMED_OUT);
        if (outcome == Outcome.COMPLETED) {
            callSuccesses++;
            callTime.add(duration);
            resumeAfterCall(ex);
        } else {
            callFailures++;
            ex.stage = Stage.AWAITING_CALL;
            ex.failedCallAttempts++;
            ex.callMayHaveRun |= !outcome.provesNotRun;
            ex.nextCallAt = now + TICK_INTERVAL_TENTHS_MS + random.nextLong(2 * TICK_INTERVAL_TENTHS_MS);
        }
    }

    /** No run of a started exchange has ever begun: its key is dropped, and a later attempt may run. */
    public void onRunDeclined(Exchange ex, long now) {
        ex.everStarted = false;
        onRunEnded(ex, Outcome.NOT_STARTED, 0, now);
    }

    /** The caller no longer waits for its answer; only a repeatable run is stopped for that. */
    public void onCallerDisconnected(Exchange ex, long now) {
        markChanged(now);
        ex.answered = true;
        if (ex.stage == Stage.PENDING || ex.stage == Stage.REPLAYING) {
            finish(ex);
        } else if (ex.stage == Stage.RUNNING && ex.group.effect == Effect.REPEATABLE) {
            toInterrupt.add(ex);
        }
    }

    /**
     * The process stops at {@code stopAt}: everything is answered before that, exchanges that arrive after the drain
     * grace are not started, and health is reported as bad.
     */
    public void startDrain(long stopAt, long now) {
        markChanged(now);
        this.stopAt = stopAt;
        draining = true;
        drainGraceEndsAt = now + deployment.drainGrace;
        deadlineCheckPending = true;
    }

    /**
     * Updates the lease granted by the other instances. Nothing that arrived under a version below {@code minVersion}
     * is started any more, and nothing at all from {@code expiresAt} on: a higher minimum version that has not been
     * received here may be in force by then. Without any call of this method nothing is restricted.
     */
    public void updateLease(long activeVersion, long minVersion, long expiresAt, long now) {
        markChanged(now);
        this.activeVersion = activeVersion;
        this.minVersion = minVersion;
        leaseExpiresAt = expiresAt;
    }

    /**
     * Samples the gauges; the answer to {@link Host#scheduleTick}.
     *
     * @param cpuUsage from 0 to 1
     * @param runnable tasks that run or wait for a core
     */
    public void onTick(double cpuUsage, double runnable, double openConnections, long now) {
        markChanged(now);
        this.cpuUsage = cpuUsage;
        averageRunnable += (runnable - averageRunnable) * RUNNABLE_SMOOTHING_RATIO;
        this.openConnections = openConnections;
        // After a pause of the whole process the timer is late, and runs had no chance to make progress.
        lastProgressAt += Math.max(0, now - tickRequestedAt - 2 * TICK_INTERVAL_TENTHS_MS);
        tickPending = true;
    }

    /** Starts an event: what was decided or cached before may no longer hold. */
    private void markChanged(long now) {
        this.now = now;
        shedCheckPending = true;
        pendingByAge.clear();
        pendingByPriority.clear();
    }

    private void resumeAfterCall(Exchange ex) {
        atCalls.remove(ex);
        addRunning(ex);
        ex.stage = Stage.RUNNING;
        ex.timeAtCalls += now - ex.callRequestedAt;
    }

    private void addRunning(Exchange ex) {
        if (running.isEmpty()) {
            lastProgressAt = now;
        }
        running.add(ex);
    }

    /**
     * An abandoned call still loads a shared dependency for a while. Without one they are not counted, as only
     * {@link #callQuotaLeft} removes them again.
     */
    private void endCallInFlight(boolean abandoned) {
        callsInFlight--;
        if (abandoned && deployment.sharedDependency) {
            abandonedCallsEndAt.add(now + deployment.abandonedCallLinger);
        }
    }

    private void removeFromAllLists(Exchange ex) {
        for (List<Exchange> list : List.of(pending, pendingByAge, pendingByPriority, running, atCalls, replaying)) {
            list.remove(ex);
        }
    }

    /** Removes an exchange from all lists and frees its memory; its key is dropped too if it never ran. */
    private void finish(Exchange ex) {
        if (ex.stage != Stage.FINISHED) {
            boolean runMemoryInUse = ex.paused || ex.stage != Stage.PENDING && ex.stage != Stage.REPLAYING;
            memoryUsedKb -= runMemoryInUse ? ex.sizeKb * deployment.runMemoryFactor : ex.sizeKb;
            removeFromAllLists(ex);
        }
        if (ex.stage == Stage.CALLING) {
            endCallInFlight(true);
        }
        ex.stage = Stage.FINISHED;
        if (ex.storedKey != null && !ex.everStarted) {
            keysToDrop.add(ex);
        }
    }

    // Decisions.

    /** Takes the next action that is due, if any, through the host; returns false when nothing is left to do. */
    public boolean next(Host host) {
        if (tickPending) {
            tickPending = false;
            tickRequestedAt = now;
            deadlineCheckPending = true;
            updateLimitsAndHealth();
            host.scheduleTick(TICK_INTERVAL_TENTHS_MS);
            return true;
        }
        return deduplicateArrivals(host) || dropUnusedKeys(host) || answerBeforeDeadline(host)
                || interruptAbandonedRuns(host) || preemptExcessRuns(host) || advanceCalls(host)
                || shedPending(host) || startNextRun(host) || reportState(host);
    }

    /** Recomputes at each tick the limits, the health, the load hints and the averages that they follow from. */
    private void updateLimitsAndHealth() {
        // As in the service design, the run limit rises while cores are idle although work is pending, and falls when
        // runs only slow each other down. Where another process takes cores, the cpu usage alone never reaches
        // CPU_BUSY_RATIO, but the number of runnable tasks shows that the cores are saturated.
        boolean coresIdle = cpuUsage < CPU_BUSY_RATIO
                && averageRunnable < SATURATED_RUNNABLE_PER_CORE * deployment.cores;
        if (coresIdle && !pending.isEmpty() && running.size() >= (int) runLimit) {
            runLimit++;
        } else if (averageRunnable > SATURATED_RUNNABLE_PER_CORE * deployment.cores + 1
                && runLimit > deployment.cores) {
            runLimit--;
        }
        // Runs and reading share the cores. Once exchanges wait long before they are read, callers time out and retry,
        // until the instance does nothing but read. With fewer runs it can reject in time.
        if (averageReadDelay > shortestSloTime / READ_DELAY_LIMIT_SLO_DIVISOR) {
            runLimit = Math.max(MIN_RUNS_PER_CORE * deployment.cores, runLimit - 1);
        } else if (runLimit < deployment.cores
                && averageReadDelay < shortestSloTime / READ_DELAY_LIMIT_SLO_DIVISOR / 2) {
            runLimit++;
        }
        runLimit = Math.min(runLimit, Math.max(1, maxSustainableRuns()));
        // An assumed run time is mixed in, as an instance that has seen few runs may have seen only short ones.
        double usualRunTime = (coreTime.mean(0) * coreTime.count()
                + shortestSloTime / ASSUMED_RUN_SLO_DIVISOR * ASSUMED_RUN_COUNT)
                / (coreTime.count() + ASSUMED_RUN_COUNT);
        runsStuck = !running.isEmpty() && now - lastProgressAt > Math.max(MIN_STUCK_TENTHS_MS,
                (STUCK_RUN_TIME_RATIO + STUCK_SINGLE_RUN_EXTRA_RATIO / running.size()) * usualRunTime);
        // Exchanges are already late when they are read, so that no rejection reaches its caller in time. That makes
        // the instance unhealthy in two cases: the arrivals are as usual, so that only this machine is slow; or almost
        // nothing completes, so that almost nothing is lost while it is out.
        boolean readingTooLate = averageReadDelay > shortestSloTime * coreSpeedRatio()
                && (arrivalRate < HIGH_ARRIVALS_RATIO * allowancePerInstance
                || completionRate < MIN_COMPLETION_RATIO * arrivalRate);
        // Runs that fail at once free their slots at once: such an instance would attract exchanges that others could
        // complete.
        runsFailing = runFailures > FAILING_MIN_FAILED_RUNS && runFailures > runSuccesses;
        if ((runsStuck || readingTooLate || runsFailing) && now >= unhealthyUntil + MIN_HEALTHY_TENTHS_MS) {
            unhealthyUntil = now + MAX_UNHEALTHY_TENTHS_MS;
        } else if (now < unhealthyUntil && cpuUsage < RECOVERED_CPU_RATIO && !runsStuck && !runsFailing) {
            unhealthyUntil = now;
        }
        int usefulConnections = Math.min(MAX_CONNECTIONS_PER_CALLER * deployment.callerCount,
                MAX_CONNECTIONS_PER_CORE * deployment.cores);
        boolean closeIdleSooner = openConnections > usefulConnections || cpuUsage > CPU_BUSY_RATIO;
        idleTime = closeIdleSooner ? Math.max(MIN_IDLE_TIME_TENTHS_MS, idleTime / 2)
                : Math.min(deployment.callerIdleTime, idleTime + deployment.callerIdleTime / IDLE_TIME_RECOVERY_TICKS);
        // Callers that follow a minimum rank send nothing below it: it rises while work is shed, and else falls.
        minRank = shedSinceTick ? Math.min(MAX_MIN_RANK, minRank + MIN_RANK_STEP_UP)
                : Math.max(0, minRank - MIN_RANK_STEP_DOWN);
        // What is open here when work has to be shed is all that the callers may have open here; it grows back.
        double openExchanges = pending.size() + running.size() + atCalls.size();
        tokens = shedSinceTick ? Math.max(1, Math.min(tokens, openExchanges / deployment.callerCount))
                : Math.min(MAX_TOKENS, tokens * TOKEN_GROWTH_RATIO);
        shedSinceTick = false;
        averageCallsInFlight += (callsInFlight + abandonedCallsEndAt.size() - averageCallsInFlight)
                * TICK_INTERVAL_TENTHS_MS / Math.max(TICK_INTERVAL_TENTHS_MS, deployment.callQuotaWindow);
        // At ten ticks a second, a count that decays by this stays near the number of events in a second.
        double decayRatio = 0.9;
        arrivalRate *= decayRatio;
        completionRate *= decayRatio;
        averageReadDelay *= READ_DELAY_DECAY_RATIO;
        runSuccesses *= RUN_COUNT_DECAY_RATIO;
        runFailures *= RUN_COUNT_DECAY_RATIO;
        callSuccesses *= decayRatio;
        callFailures *= decayRatio;
        for (int i = 0; i < arrivalRateByCustomer.length; i++) {
            arrivalRateByCustomer[i] *= decayRatio;
        }
        while (!storedKeys.isEmpty() && storedKeys.iterator().next().expiresAt < now) {
            releaseKeyMemory(storedKeys.iterator().next());
        }
    }

    /** Share of their full speed that the cores have reached at least: below 1 while a cold instance warms up. */
    private double coreSpeedRatio() {
        if (!deployment.startsCold || deployment.warmUpTime <= 0) {
            return 1;
        }
        return Math.min(1, deployment.coldSpeedRatio + (1 - deployment.coldSpeedRatio) * (now - createdAt)
                / deployment.warmUpTime);
    }

    /** Runs that the cores sustain at a time without a collapse of the throughput: fewer while cold. */
    private double maxSustainableRuns() {
        return SUSTAINABLE_RUNS_USED_RATIO * (1 + (deployment.sustainableRunsPerCore - 1) * coreSpeedRatio())
                * deployment.cores;
    }

    /** Stores the key of each deduplicated exchange as soon as it is read, and answers its repeats from it. */
    private boolean deduplicateArrivals(Host host) {
        while (!toDeduplicate.isEmpty()) {
            Exchange ex = toDeduplicate.poll();
            if (ex.group.effect != Effect.DEDUPLICATED || ex.stage != Stage.PENDING) {
                continue;
            }
            if (ex.repeat && (ex.original == null || ex.original.everStarted || ex.original.stage != Stage.FINISHED)) {
                removeFromAllLists(ex);
                replaying.add(ex);
                ex.stage = Stage.REPLAYING;
                ex.everStarted = true;
                host.replay(ex);
                return true;
            }
            long ttl = ex.arrivedAt + ex.group.dedupWindow - now;
            if (ttl > 0) {
                ex.storedKey = new StoredKey(now + ttl);
                storedKeys.add(ex.storedKey);
                memoryUsedKb += deployment.dedupKeyKb;
                host.storeDedupKey(ex, ttl + deployment.hostQuantum);
                return true;
            }
        }
        return false;
    }

    /**
     * Drops the keys of exchanges that were rejected before they ran: a repeat would otherwise be answered with the
     * failure of the original.
     */
    private boolean dropUnusedKeys(Host host) {
        while (!keysToDrop.isEmpty()) {
            Exchange ex = keysToDrop.poll();
            if (releaseKeyMemory(ex.storedKey)) {
                host.dropDedupKey(ex);
                return true;
            }
        }
        return false;
    }

    /** Returns whether the key was still stored. */
    private boolean releaseKeyMemory(StoredKey key) {
        boolean wasStored = storedKeys.remove(key);
        memoryUsedKb -= wasStored ? deployment.dedupKeyKb : 0;
        return wasStored;
    }

    /** Answers every exchange before its deadline, and all of them before the stop. */
    private boolean answerBeforeDeadline(Host host) {
        if (!deadlineCheckPending) {
            return false;
        }
        boolean stopping = draining && stopAt <= now + DEADLINE_MARGIN_TENTHS_MS;
        for (List<Exchange> stageList : List.of(pending, running, atCalls, replaying)) {
            for (Exchange ex : stageList) {
                if (!ex.answered && (stopping || ex.deadline <= now + DEADLINE_MARGIN_TENTHS_MS)) {
                    abandon(ex, host);
                    return true;
                }
            }
        }
        deadlineCheckPending = false;
        return false;
    }

    /**
     * Whether the exchange may be rejected, which promises that it never took effect. One that may not be rejected may
     * not be started from the beginning again either.
     */
    private static boolean mayBeRejected(Exchange ex) {
        return !ex.everStarted || ex.group.effect == Effect.REPEATABLE;
    }

    /** Gives the final answer without a result; a run goes on until the host can interrupt it. */
    private void abandon(Exchange ex, Host host) {
        ex.answered = true;
        if (ex.stage == Stage.PENDING && mayBeRejected(ex)) {
            finish(ex);
            host.reject(ex, deployment.maxRetryAfter, false);
            return;
        }
        if (ex.stage == Stage.PENDING || ex.stage == Stage.REPLAYING) {
            finish(ex);
        } else if (ex.stage == Stage.RUNNING) {
            toInterrupt.add(ex);
        }
        host.terminate(ex);
    }

    /** Frees the cores from runs whose answer nobody waits for, where the host can interrupt them. */
    private boolean interruptAbandonedRuns(Host host) {
        while (!toInterrupt.isEmpty()) {
            Exchange ex = toInterrupt.poll();
            if (deployment.preemption != Deployment.Preemption.NONE && ex.stage == Stage.RUNNING) {
                host.interrupt(ex);
                return true;
            }
        }
        return false;
    }

    /**
     * Moves the latest runs back to the pending queue when more are running than the cores sustain, which happens when
     * many calls return together, whatever delayed them. With {@link Deployment.Preemption#DROP} their work is lost.
     */
    private boolean preemptExcessRuns(Host host) {
        if (deployment.preemption == Deployment.Preemption.NONE || running.size() <= maxSustainableRuns()) {
            return false;
        }
        for (int i = running.size() - 1; i >= 0; i--) {
            Exchange ex = running.get(i);
            if (!ex.interrupting && (deployment.preemption == Deployment.Preemption.PAUSE
                    || ex.group.effect == Effect.REPEATABLE)) {
                ex.interrupting = true;
                host.interrupt(ex);
                return true;
            }
        }
        return false;
    }

    /** Makes or skips the calls that runs wait for, or abandons the exchange if neither is possible. */
    private boolean advanceCalls(Host host) {
        for (Exchange ex : atCalls) {
            if (ex.stage != Stage.AWAITING_CALL || ex.answered || ex.nextCallAt > now) {
                continue;
            }
            boolean callOptional = ex.group.benefitWithoutCall > 0;
            long latestCallEnd = ex.sloDeadline - ANSWER_DELIVERY_TENTHS_MS
                    - (callOptional ? (long) remainingCoreTime(ex) : 0);
            boolean circuitOpen = callFailures > CIRCUIT_MIN_FAILED_CALLS
                    && callFailures > CIRCUIT_FAILURE_RATIO * callSuccesses && random.nextInt(CIRCUIT_PROBE_ONE_IN) > 0;
            if (callOptional && (ex.failedCallAttempts > 0 || circuitOpen || now + callTime.mean(0) > latestCallEnd
                    || !callQuotaLeft())) {
                resumeAfterCall(ex);
                host.skipCall(ex);
                return true;
            }
            boolean mayRetryCall = !ex.callMayHaveRun || ex.group.effect == Effect.REPEATABLE;
            if (!mayRetryCall || latestCallEnd <= now && ex.group.lateBenefitShare == 0
                    || ex.deadline <= now + DEADLINE_MARGIN_TENTHS_MS) {
                abandon(ex, host);
                return true;
            }
            if (!callQuotaLeft()) {
                continue;
            }
            long callDeadline = latestCallEnd > now ? latestCallEnd : ex.deadline - DEADLINE_MARGIN_TENTHS_MS;
            ex.stage = Stage.CALLING;
            callsInFlight++;
            host.call(ex, callDeadline);
            return true;
        }
        return false;
    }

    /**
     * Whether one more call keeps within this instance's quota, abandoned calls included. A shared dependency
     * withstands all instances together only if each keeps to its own quota.
     */
    private boolean callQuotaLeft() {
        if (!deployment.sharedDependency) {
            return true;
        }
        while (!abandonedCallsEndAt.isEmpty() && abandonedCallsEndAt.peek() <= now) {
            abandonedCallsEndAt.poll();
        }
        int inFlight = callsInFlight + abandonedCallsEndAt.size();
        return inFlight + 1 <= deployment.callQuota || inFlight == 0 && averageCallsInFlight < deployment.callQuota / 2;
    }

    /** Core time that the whole run is expected to take. */
    private double expectedCoreTime(Exchange ex) {
        // Waits for the disk do not grow with the declared time. A plain ratio of measured to declared time, dominated
        // by small exchanges, would overestimate huge ones, so that they would always be rejected.
        if (ex.declaredCoreTime > 0) {
            double coreTimePerDeclared = coreTimePercentOfDeclared.quantile(DECLARED_TIME_QUANTILE_RATIO,
                    ASSUMED_PERCENT_OF_DECLARED) / 100;
            double fixedTime = ex.group.coreTime.mean(0) - coreTimePerDeclared * ex.group.declaredCoreTime.mean(0);
            return ex.declaredCoreTime * coreTimePerDeclared + Math.max(0, fixedTime);
        }
        return ex.group.coreTime.mean(ex.group.sloTime / ASSUMED_RUN_SLO_DIVISOR);
    }

    /** Core time that a run still needs: at least a quarter of the expected time, even if it is overdue. */
    private double remainingCoreTime(Exchange ex) {
        double expected = expectedCoreTime(ex);
        return Math.max(expected / 4, expected - (now - ex.startedAt - ex.timeAtCalls));
    }

    /** Benefit per core time; the traffic of a customer beyond its share counts less on average. */
    private double priorityWeight(Exchange ex) {
        double benefit = ex.group.benefit;
        if (ex.customer < arrivalRateByCustomer.length && deployment.allowancePerSecond[ex.customer] > 0) {
            double rateWithinShare = deployment.allowancePerSecond[ex.customer] / deployment.instanceCount;
            double customerArrivalRate = arrivalRateByCustomer[ex.customer];
            if (customerArrivalRate > rateWithinShare) {
                benefit *= (rateWithinShare + (customerArrivalRate - rateWithinShare) * deployment.benefitBeyondShare)
                        / customerArrivalRate;
            }
        }
        return deployment.benefitScalesWithWork ? benefit : benefit / expectedCoreTime(ex);
    }

    /**
     * Rejects exchanges that cannot be answered within their SLO time, as early as that is known, and those that the
     * memory has no room for. The oldest run first while all can be answered in time; otherwise the order is by
     * priority, and those that come too late in it are shed.
     */
    private boolean shedPending(Host host) {
        if (!shedCheckPending) {
            return false;
        }
        runOrder = sortedOnce(pending, pendingByAge, OLDEST_FIRST);
        Exchange toShed = firstToShed();
        if (toShed != null) {
            runOrder = sortedOnce(pendingByAge, pendingByPriority,
                    Comparator.comparingDouble(ex -> -priorityWeight(ex)));
            toShed = firstToShed();
        }
        if (toShed == null && memoryUsedKb > PENDING_MEMORY_LIMIT_RATIO * deployment.memoryKb && !runOrder.isEmpty()) {
            toShed = runOrder.get(runOrder.size() - 1);
        }
        if (toShed == null) {
            shedCheckPending = false;
            return false;
        }
        shedSinceTick = true;
        toShed.answered = true;
        finish(toShed);
        if (mayBeRejected(toShed)) {
            boolean unleased = notLeased(toShed);
            boolean freeSoon = !runsStuck && !runsFailing && !draining && !unleased;
            boolean noRetry = !runsStuck && !runsFailing && !unleased && shouldForbidRetry();
            long minRetryAfter = (freeSoon ? Math.min(deployment.maxRetryAfter,
                    shortestSloTime / PENDING_TURNOVER_SLO_DIVISOR) : deployment.maxRetryAfter) / 4;
            host.reject(toShed, minRetryAfter + random.nextLong(3 * minRetryAfter + 1), noRetry);
        } else {
            host.terminate(toShed);
        }
        return true;
    }

    /** Fills and sorts {@code sorted} from {@code source} if it is empty, and returns it. */
    private static List<Exchange> sortedOnce(List<Exchange> source, List<Exchange> sorted,
            Comparator<Exchange> comparator) {
        if (sorted.isEmpty()) {
            sorted.addAll(source);
            sorted.sort(comparator);
        }
        return sorted;
    }

    /**
     * Whether the caller of a rejected exchange is asked not to retry it at another instance; random, with a
     * probability that grows with the load of the fleet. Where callers mark retries, these are few as long as only this
     * instance is overloaded. Where they don't, the cost of reading a retry is weighed against its chance of success:
     * the read delay shows the cost, and arrivals above the configured allowance show that the chance is low.
     */
    private boolean shouldForbidRetry() {
        double probability = retryRatio / ALL_FULL_RETRY_RATIO;
        if (!deployment.callersMarkRetries) {
            double arrivalIncrease = Math.min(MAX_ARRIVAL_INCREASE_RATIO,
                    Math.max(1, arrivalRate / Math.max(1, allowancePerInstance)));
            probability = readDelay.quantile(READ_COST_QUANTILE_RATIO, 0) / coreTime.mean(Double.MAX_VALUE)
                    / MAX_RETRY_READ_COST_RUN_RATIO * Math.pow(arrivalIncrease, ARRIVAL_INCREASE_EXPONENT);
        }
        return random.nextDouble() < probability;
    }

    /** Whether the lease or the minimum version keeps the exchange from being started. */
    private boolean notLeased(Exchange ex) {
        return ex.version < minVersion || now >= leaseExpiresAt;
    }

    /** The first exchange in run order that cannot be answered in time or may not be started; null if there is none. */
    private Exchange firstToShed() {
        double coreTimeAhead = 0;
        for (Exchange ex : running) {
            coreTimeAhead += remainingCoreTime(ex);
        }
        double parallelRuns = Math.max(1, Math.min(runLimit, maxSustainableRuns()));
        boolean allFit = running.size() + runOrder.size() <= (int) runLimit;
        for (Exchange ex : runOrder) {
            boolean probe = ex.group.effect == Effect.REPEATABLE && ex == runOrder.get(0) && running.isEmpty();
            if (runsStuck || runsFailing && !probe) {
                return ex;
            }
            if (notLeased(ex) || !mayBeRejected(ex) && !ex.paused || draining && ex.arrivedAt > drainGraceEndsAt) {
                return ex;
            }
            double expected = expectedCoreTime(ex);
            double ownTime = expected + ex.group.timeAtCalls.mean(0);
            double expectedStart = now + coreTimeAhead / parallelRuns;
            double endBy = draining ? Math.min(ex.sloDeadline, stopAt - DEADLINE_MARGIN_TENTHS_MS) : ex.sloDeadline;
            boolean startsAtOnce = (allFit || running.isEmpty() && ex == runOrder.get(0)) && ex.sloDeadline > now
                    && !draining;
            if (!startsAtOnce
                    && (expectedStart + ownTime > endBy - ANSWER_DELIVERY_TENTHS_MS
                    || expectedStart > ex.startDeadline)) {
                return ex;
            }
            coreTimeAhead += expected;
        }
        return null;
    }

    /** Starts the next pending exchange, if the limits on runs and memory allow it. */
    private boolean startNextRun(Host host) {
        boolean canPreempt = deployment.preemption != Deployment.Preemption.NONE;
        if (runOrder.isEmpty() || running.size() >= (int) runLimit
                || running.size() + atCalls.size()
                        >= (canPreempt ? MAX_RUNS_AND_CALLS_PER_CORE * deployment.cores : maxSustainableRuns())) {
            return false;
        }
        Exchange ex = runOrder.get(0);
        double extraMemoryKb = ex.paused ? 0 : ex.sizeKb * (deployment.runMemoryFactor - 1);
        if (memoryUsedKb + extraMemoryKb > MEMORY_WATERMARK_RATIO * deployment.memoryKb) {
            return false;
        }
        removeFromAllLists(ex);
        addRunning(ex);
        memoryUsedKb += extraMemoryKb;
        ex.stage = Stage.RUNNING;
        ex.paused = false;
        ex.everStarted = true;
        ex.startedAt = now;
        ex.timeAtCalls = 0;
        host.begin(ex);
        return true;
    }

    /** Reports health, load hint or idle time, whichever has changed. */
    private boolean reportState(Host host) {
        boolean withoutLease = activeVersion < minVersion || now >= leaseExpiresAt;
        int health = draining || withoutLease || deployment.discoveryFollowsHealth && now < unhealthyUntil ? 0 : 1;
        if (health != reportedHealth) {
            reportedHealth = health;
            host.setHealth(health == 1);
            return true;
        }
        double loadHint = deployment.loadHint == Deployment.LoadHint.MIN_RANK ? minRank : tokens;
        if (deployment.loadHint != Deployment.LoadHint.NONE
                && Math.abs(loadHint - reportedLoadHint)
                        > MIN_LOAD_HINT_CHANGE + LOAD_HINT_CHANGE_RATIO * reportedLoadHint) {
            reportedLoadHint = loadHint;
            host.publishLoadHint(loadHint);
            return true;
        }
        if (idleTime != reportedIdleTime) {
            reportedIdleTime = idleTime;
            host.setIdleTime(idleTime);
            return true;
        }
        return false;
    }
}
