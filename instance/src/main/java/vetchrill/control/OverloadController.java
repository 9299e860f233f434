package vetchrill.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import vetchrill.control.EndpointGroup.Effect;
import vetchrill.control.Exchange.Outcome;
import vetchrill.control.Exchange.Stage;

/**
 * All decisions of one instance. The owner reports what happened through {@link #onArrival}, {@link #onRunEnded},
 * {@link #onCallRequested}, {@link #onCallEnded}, {@link #onCallerDisconnected}, {@link #startDrain} and {@link
 * #onTick}, which only
 * note it, and then calls {@link #next} until it returns false; each call does at most one thing through
 * {@link Host}, the whole interface. Times are tenths of a millisecond on the owner's clock. One timer, asked
 * for by {@link Host#scheduleTick} and answered by {@link #onTick}, drives all that is periodic.
 */
public final class OverloadController {
    /** Between two looks at the gauges, and so the coarseness of every duty that is bound to a time. */
    private static final long TICK_INTERVAL_TENTHS_MS = 1000;
    /** Duties are done this much ahead of their time: two periods, against a late timer. */
    private static final long DEADLINE_MARGIN_TENTHS_MS = 2 * TICK_INTERVAL_TENTHS_MS;
    /** An answer needs this long to get to the client. */
    private static final long ANSWER_DELIVERY_TENTHS_MS = 100;
    /** The design's watermark: part of the memory up to which held exchanges start. */
    private static final double MEMORY_WATERMARK_RATIO = 0.85;
    /** Part of the memory past which the hold itself gives way; the rest is for what is read in one tick. */
    private static final double PENDING_MEMORY_LIMIT_RATIO = 0.92;
    /** Running and at calls for each core, where returning calls can be taken off the cores again. */
    private static final int MAX_RUNS_AND_CALLS_PER_CORE = 12;
    /** Part of the SLO time spent in the hold at most: waits are guessed, and the next server may be free. */
    private static final double MAX_PENDING_SLO_RATIO = 0.6;
    /** The same where the callers are servers that have a hold of their own and can often do without. */
    private static final double BACKEND_MAX_PENDING_SLO_RATIO = 0.15;
    /** Part of the survivable crowd that is used. */
    private static final double SUSTAINABLE_RUNS_USED_RATIO = 0.8;
    /** The design's cpu share: under it the running bound grows, over it idle connections are cut. */
    private static final double CPU_BUSY_RATIO = 0.9;
    /** Wanting a core, for each core, past which more running can't complete more. */
    private static final double SATURATED_RUNNABLE_PER_CORE = 1.3;
    /** Connections for each caller told at start past which idle ones are cut. */
    private static final int MAX_CONNECTIONS_PER_CALLER = 8;
    /** The same by what could be out here at once, where callers are more than this server has use for. */
    private static final int MAX_CONNECTIONS_PER_CORE = 12;
    /** Shortest idle time, and the steps in which it returns to that of the callers. */
    private static final long MIN_IDLE_TIME_TENTHS_MS = 100;
    private static final int IDLE_TIME_RECOVERY_TICKS = 50;
    private static final double MAX_TOKENS = 1000;
    /** It hangs if no run got anywhere for this long and so many usual runs: a few may well all be long. */
    private static final long MIN_STUCK_TENTHS_MS = 5000;
    private static final double STUCK_RUN_TIMES_RATIO = 2;
    private static final double STUCK_SINGLE_RUN_EXTRA_RATIO = 10;
    private static final int ASSUMED_RUN_COUNT = 8;
    /** Bad health lasts no longer; so long passes before the next time, lest a fleet go dark together. */
    private static final long MAX_UNHEALTHY_TENTHS_MS = 50_000;
    private static final long MIN_HEALTHY_TENTHS_MS = 12_500;
    /** Arrivals this many times this server's part of all told shares: others are full as well. */
    private static final double HIGH_ARRIVALS_RATIO = 1.3;
    /** Completions for each arrival under which a server that reads too late might as well be gone. */
    private static final double MIN_COMPLETION_RATIO = 0.1;
    /** Cores this idle in bad health have caught up: staying away longer only crowds the others. */
    private static final double RECOVERED_CPU_RATIO = 0.6;
    /** More failed runs than this, and than completed ones, of late: this server fails what it runs. */
    private static final double FAILING_MIN_FAILED_RUNS = 3;
    private static final double RUN_COUNT_DECAY_RATIO = 0.97;
    /** The wait unread fades at each look: a server that gets nothing any more hears nothing better. */
    private static final double READ_DELAY_DECAY_RATIO = 0.98;
    /** Waiting unread for a half of the shortest SLO time lowers the bound, down to so many for each core. */
    private static final double READ_DELAY_LIMIT_SLO_DIVISOR = 2;
    private static final double MIN_RUNS_PER_CORE = 0.5;
    /** Reading, in runs, that a denied exchange may cost the servers it goes on to, on average. */
    private static final double MAX_RETRY_READ_COST_RUN_RATIO = 0.5;
    /** Part of further tries among as many arrivals as this fades over, at which all servers must be full. */
    private static final double ALL_FULL_RETRY_RATIO = 0.4;
    private static final double RETRY_SMOOTHING_RATIO = 0.05;
    /** Part of the shortest SLO time in which a full hold turns over: to be away for longer idles cores. */
    private static final int PENDING_TURNOVER_SLO_DIVISOR = 4;
    /** Steps of the free value at each look; a least rank past the top leaves the dearest ranks alone. */
    private static final double TOKEN_GROWTH_RATIO = 1.05;
    private static final double MIN_RANK_STEP_UP = 0.02;
    private static final double MIN_RANK_STEP_DOWN = 0.01;
    private static final double MAX_MIN_RANK = 0.5;

    private static final Comparator<Exchange> OLDEST_FIRST = Comparator.comparingLong(ex -> ex.arrivedAt);

    private final Deployment deployment;
    private final SplittableRandom random;
    private final long createdAt;
    private long now;

    private final List<Exchange> pending = new ArrayList<>();
    private final List<Exchange> running = new ArrayList<>();
    private final List<Exchange> atCalls = new ArrayList<>();
    private final List<Exchange> replaying = new ArrayList<>();
    /** The hold in its two orders, good until something happens: a crowd outlasts sorting for each denial. */
    private final List<Exchange> pendingByAge = new ArrayList<>();
    private final List<Exchange> pendingByPriority = new ArrayList<>();
    /** The one of them in which it will be run. */
    private List<Exchange> runOrder = pendingByAge;
    private final ArrayDeque<Exchange> toDeduplicate = new ArrayDeque<>();
    private final ArrayDeque<Exchange> keysToDrop = new ArrayDeque<>();
    private final ArrayDeque<Exchange> toInterrupt = new ArrayDeque<>();
    private final ArrayDeque<Exchange> storedKeys = new ArrayDeque<>();

    private double memoryUsedKb;
    private double cpuUsage;
    private double averageRunnable;
    private double openConnections;
    private double runLimit;
    private boolean tickPending = true;
    private boolean deadlineCheckPending;
    private boolean shedCheckPending;
    private int reportedHealth = -1;
    private boolean draining;
    private long stopAt;
    private long drainGraceEndsAt;
    private long activeVersion;
    private long minVersion;
    private long leaseExpiresAt = Long.MAX_VALUE;

    private long idleTime;
    private long reportedIdleTime;
    private final double[] arrivalRateByCustomer;
    private double arrivalRate;
    private double retryRatio;
    private double completionRate;
    private final double allowancePerServer;
    private final ArrayDeque<Long> abandonedCallsEndAt = new ArrayDeque<>();
    private int callsInFlight;
    private double averageCallsInFlight;
    private double callSuccesses;
    private double callFailures;
    private boolean shedSinceTick;
    private double minRank;
    private long lastTickAt;
    /** When a run last got anywhere, or the first of them began. */
    private long lastProgressAt;
    private boolean runsStuck;
    private boolean runsFailing;
    private double runSuccesses;
    private double runFailures;
    private final long shortestSloTime;
    private double averageReadDelay;
    private long unhealthyUntil = Long.MIN_VALUE;
    private double tokens = MAX_TOKENS;
    private double reportedLoadHint;
    private final Histogram callTime = new Histogram();
    private final Histogram readDelay = new Histogram();
    private final Histogram coreTime = new Histogram();
    /** Measured core time in hundredths of the time that the exchange was said to need. */
    private final Histogram coreTimePercentOfDeclared = new Histogram();

    public OverloadController(Deployment deployment, long seed, long now) {
        this.deployment = deployment;
        this.now = now;
        random = new SplittableRandom(seed);
        createdAt = now;
        lastTickAt = now;
        runLimit = deployment.cores;
        idleTime = deployment.callerIdleTime;
        reportedIdleTime = idleTime;
        reportedLoadHint = deployment.loadHint == Deployment.LoadHint.TOKENS ? MAX_TOKENS : 0;
        arrivalRateByCustomer = new double[deployment.allowancePerSecond.length];
        allowancePerServer = Arrays.stream(deployment.allowancePerSecond).sum() / deployment.serverCount;
        shortestSloTime = deployment.groups.stream().mapToLong(group -> group.sloTime).min().orElse(Long.MAX_VALUE);
    }

    // What happened: noted here, decided on below.

    public void onArrival(Exchange ex, long now) {
        markChanged(now);
        EndpointGroup group = ex.group;
        ex.deadline = ex.callerDeadline > 0 ? ex.callerDeadline : ex.arrivedAt + group.asyncTimeout;
        ex.startDeadline = ex.arrivedAt
                + (long) ((deployment.backendTier ? BACKEND_MAX_PENDING_SLO_RATIO : MAX_PENDING_SLO_RATIO)
                * group.sloTime);
        long sloTime = group.sloTime + (long) (group.sloWorkFactor * ex.declaredCoreTime);
        ex.sloDeadline = ex.arrivedAt + Math.min(group.asyncTimeout, sloTime);
        pending.add(ex);
        toDeduplicate.add(ex);
        memoryUsedKb += ex.sizeKb;
        // A repeat that comes just before the stop is not held, and the next look may be past it.
        deadlineCheckPending |= ex.deadline <= now + DEADLINE_MARGIN_TENTHS_MS || draining && stopAt <= now
                + DEADLINE_MARGIN_TENTHS_MS;
        arrivalRate++;
        retryRatio += RETRY_SMOOTHING_RATIO * ((ex.retry ? 1 : 0) - retryRatio);
        readDelay.add(now - ex.arrivedAt);
        averageReadDelay += 0.2 * (now - ex.arrivedAt - averageReadDelay);
        if (ex.customer < arrivalRateByCustomer.length) {
            arrivalRateByCustomer[ex.customer]++;
        }
    }

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

    public void onCallerDisconnected(Exchange ex, long now) {
        markChanged(now);
        ex.answered = true;
        if (ex.stage == Stage.PENDING || ex.stage == Stage.REPLAYING) {
            finish(ex);
        } else if (ex.stage == Stage.RUNNING && ex.group.effect == Effect.REPEATABLE) {
            toInterrupt.add(ex);
        }
    }

    public void startDrain(long stopAt, long now) {
        markChanged(now);
        this.stopAt = stopAt;
        draining = true;
        drainGraceEndsAt = now + deployment.drainGrace;
        deadlineCheckPending = true;
    }

    /**
     * Agreed with other instances: nothing of a version under the floor is begun any more, and nothing at all
     * from {@code until} on, as a higher floor may be in force by then that was not heard of. Without such a
     * word all goes on.
     */
    public void updateLease(long activeVersion, long minVersion, long expiresAt, long now) {
        markChanged(now);
        this.activeVersion = activeVersion;
        this.minVersion = minVersion;
        leaseExpiresAt = expiresAt;
    }

    public void onTick(double cpuUsage, double runnable, double openConnections, long now) {
        markChanged(now);
        this.cpuUsage = cpuUsage;
        this.averageRunnable += (runnable - this.averageRunnable) * 0.3;
        this.openConnections = openConnections;
        // After a pause of the whole process the timer is late, and runs had no chance to get anywhere.
        lastProgressAt += Math.max(0, now - lastTickAt - 2 * TICK_INTERVAL_TENTHS_MS);
        lastTickAt = now;
        tickPending = true;
    }

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

    /** Where no dependency is shared nothing would ever take the lingering ones off again. */
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
        if (ex.keyStored && !ex.everStarted) {
            keysToDrop.add(ex);
        }
    }

    // What to do about it.

    /** Does the next thing that is due, if any, through the host; false when there is nothing left to do. */
    public boolean next(Host host) {
        if (tickPending) {
            tickPending = false;
            deadlineCheckPending = true;
            updateLimits();
            host.scheduleTick(TICK_INTERVAL_TENTHS_MS);
            return true;
        }
        return deduplicateArrivals(host) || dropUnusedKeys(host) || answerBeforeDeadline(host)
                || interruptAbandonedRuns(host)
                || preemptExcessRuns(host) || advanceCalls(host) || shedPending(host) || startNextRun(host)
                || reportState(host);
    }

    private void updateLimits() {
        // The design's bound: up while cores idle although work is held, down when runs only slow each other.
        // Where something else takes cores, cpu alone never gets busy: runs that already wait for one say so.
        boolean coresIdle = cpuUsage < CPU_BUSY_RATIO && averageRunnable < SATURATED_RUNNABLE_PER_CORE
                * deployment.cores;
        if (coresIdle && !pending.isEmpty() && running.size() >= (int) runLimit) {
            runLimit++;
        } else if (averageRunnable > SATURATED_RUNNABLE_PER_CORE * deployment.cores + 1
                && runLimit > deployment.cores) {
            runLimit--;
        }
        // Runs and reading share the cores: once exchanges wait long unread, callers time out and try again,
        // which ends in a server that only reads. Fewer runs let it deny in time.
        if (averageReadDelay > shortestSloTime / READ_DELAY_LIMIT_SLO_DIVISOR) {
            runLimit = Math.max(MIN_RUNS_PER_CORE * deployment.cores, runLimit - 1);
        } else if (runLimit < deployment.cores && averageReadDelay < shortestSloTime / READ_DELAY_LIMIT_SLO_DIVISOR
                / 2) {
            runLimit++;
        }
        runLimit = Math.min(runLimit, Math.max(1, maxSustainableRuns()));
        // A server that has seen few runs may have seen short ones only.
        double usualRunTime = (coreTime.mean(0) * coreTime.count() + shortestSloTime / 6.0 * ASSUMED_RUN_COUNT)
                / (coreTime.count() + ASSUMED_RUN_COUNT);
        runsStuck = !running.isEmpty() && now - lastProgressAt
                > Math.max(MIN_STUCK_TENTHS_MS, (STUCK_RUN_TIMES_RATIO + STUCK_SINGLE_RUN_EXTRA_RATIO / running.size())
                * usualRunTime);
        // What is read is already too late, so that no denial reaches its caller in time. Either no more than
        // usual is read, and only this machine is slow; or next to nothing is completed, and none is lost.
        boolean readingTooLate = averageReadDelay > shortestSloTime * warmUpRatio()
                && (arrivalRate < HIGH_ARRIVALS_RATIO * allowancePerServer
                || completionRate < MIN_COMPLETION_RATIO * arrivalRate);
        // Runs that fail at once make room for more: such a server would draw what others could complete.
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
        // Callers that heed a least rank send nothing below it: it rises while work is denied and sinks.
        minRank = shedSinceTick ? Math.min(MAX_MIN_RANK, minRank + MIN_RANK_STEP_UP)
                : Math.max(0, minRank - MIN_RANK_STEP_DOWN);
        // What is out here when work has to be denied is all that callers may have here; it grows back.
        double openExchanges = pending.size() + running.size() + atCalls.size();
        tokens = shedSinceTick ? Math.max(1, Math.min(tokens, openExchanges / deployment.callerCount))
                : Math.min(MAX_TOKENS, tokens * TOKEN_GROWTH_RATIO);
        shedSinceTick = false;
        averageCallsInFlight += (callsInFlight + abandonedCallsEndAt.size() - averageCallsInFlight)
                * TICK_INTERVAL_TENTHS_MS / Math.max(TICK_INTERVAL_TENTHS_MS, deployment.callQuotaWindow);
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
        while (!storedKeys.isEmpty() && storedKeys.peek().arrivedAt + storedKeys.peek().group.dedupWindow < now) {
            releaseKeyMemory(storedKeys.poll());
        }
    }

    /** Part of the full speed that the cores have reached at least. */
    private double warmUpRatio() {
        if (!deployment.startsCold || deployment.warmUpTime <= 0) {
            return 1;
        }
        return Math.min(1, deployment.coldSpeedRatio + (1 - deployment.coldSpeedRatio) * (now - createdAt)
                / deployment.warmUpTime);
    }

    /** Runs that the cores survive: fewer while cold. */
    private double maxSustainableRuns() {
        return SUSTAINABLE_RUNS_USED_RATIO * (1 + (deployment.sustainableRunsPerCore - 1) * warmUpRatio())
                * deployment.cores;
    }

    /** No effect twice: a deduplicated exchange is known once read, its repeats are answered from it. */
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
                ex.keyStored = true;
                storedKeys.add(ex);
                memoryUsedKb += deployment.dedupKeyKb;
                host.storeDedupKey(ex, ttl + deployment.hostQuantum);
                return true;
            }
        }
        return false;
    }

    /** What was denied before it ran leaves no trace, or its repeat would be answered with its failure. */
    private boolean dropUnusedKeys(Host host) {
        while (!keysToDrop.isEmpty()) {
            Exchange ex = keysToDrop.poll();
            if (releaseKeyMemory(ex)) {
                host.dropDedupKey(ex);
                return true;
            }
        }
        return false;
    }

    private boolean releaseKeyMemory(Exchange ex) {
        boolean wasStored = ex.keyStored;
        ex.keyStored = false;
        memoryUsedKb -= wasStored ? deployment.dedupKeyKb : 0;
        return wasStored;
    }

    /** Every exchange has its answer by its due time, and all of them before the stop. */
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

    /** A denial promises that it never ran; what may not be denied may not be begun afresh either. */
    private static boolean mayBeRejected(Exchange ex) {
        return !ex.everStarted || ex.group.effect == Effect.REPEATABLE;
    }

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

    /** Work that nobody waits for gives its core back, where the host can stop it. */
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
     * Calls that come back together could crowd the cores past what they survive, whatever held them up:
     * the latest begun go back to the hold. With DROP this costs their work.
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

    private boolean advanceCalls(Host host) {
        for (Exchange ex : atCalls) {
            if (ex.stage != Stage.AWAITING_CALL || ex.answered || ex.nextCallAt > now) {
                continue;
            }
            boolean callOptional = ex.group.benefitWithoutCall > 0;
            long latestCallEnd = ex.sloDeadline - ANSWER_DELIVERY_TENTHS_MS
                    - (callOptional ? (long) remainingCoreTime(ex) : 0);
            boolean circuitOpen = callFailures > 4 && callFailures > 2 * callSuccesses && random.nextInt(8) > 0;
            if (callOptional && (ex.failedCallAttempts > 0 || circuitOpen || now + callTime.mean(0) > latestCallEnd
                    || !callQuotaLeft())) {
                resumeAfterCall(ex);
                host.skipCall(ex);
                return true;
            }
            boolean mayRetryCall = !ex.callMayHaveRun || ex.group.effect == Effect.REPEATABLE;
            if (!mayRetryCall || latestCallEnd <= now && ex.group.lateBenefitShare == 0 || ex.deadline <= now
                    + DEADLINE_MARGIN_TENTHS_MS) {
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

    /** What all servers call together survives if each keeps to its own part, given-up calls included. */
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

    private double expectedCoreTime(Exchange ex) {
        // Waits for disk do not grow with the work: a plain ratio, ruled by small ones, condemns huge ones.
        if (ex.declaredCoreTime > 0) {
            double coreTimePerDeclared = coreTimePercentOfDeclared.quantile(0.25, 150) / 100;
            double fixedTime = ex.group.coreTime.mean(0) - coreTimePerDeclared * ex.group.declaredCoreTime.mean(0);
            return ex.declaredCoreTime * coreTimePerDeclared + Math.max(0, fixedTime);
        }
        return ex.group.coreTime.mean(ex.group.sloTime / 6.0);
    }

    /** Core time that a run still needs; one past what was expected needs a quarter of that once more. */
    private double remainingCoreTime(Exchange ex) {
        double expected = expectedCoreTime(ex);
        return Math.max(expected / 4, expected - (now - ex.startedAt - ex.timeAtCalls));
    }

    /** Benefit for the core time it takes; a customer beyond its share counts by the part that is within. */
    private double priorityWeight(Exchange ex) {
        double benefit = ex.group.benefit;
        if (ex.customer < arrivalRateByCustomer.length && deployment.allowancePerSecond[ex.customer] > 0) {
            double rateWithinShare = deployment.allowancePerSecond[ex.customer] / deployment.serverCount;
            double customerArrivalRate = arrivalRateByCustomer[ex.customer];
            if (customerArrivalRate > rateWithinShare) {
                benefit *= (rateWithinShare + (customerArrivalRate - rateWithinShare) * deployment.benefitBeyondShare)
                        / customerArrivalRate;
            }
        }
        return deployment.benefitScalesWithWork ? benefit : benefit / expectedCoreTime(ex);
    }

    /** Turns away, as early as it is known, what can't make its SLO time; and what the memory can't hold. */
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

    private static List<Exchange> sortedOnce(List<Exchange> source, List<Exchange> sorted,
            Comparator<Exchange> comparator) {
        if (sorted.isEmpty()) {
            sorted.addAll(source);
            sorted.sort(comparator);
        }
        return sorted;
    }

    /**
     * Marked further tries are few while only this server is short. Unmarked, what roams must not cost more
     * than it can bring: waits unread tell what reading costs, and traffic past the told that it brings less.
     */
    private boolean shouldForbidRetry() {
        double probability = retryRatio / ALL_FULL_RETRY_RATIO;
        if (!deployment.callersMarkRetries) {
            double arrivalIncrease = Math.min(2, Math.max(1, arrivalRate / Math.max(1, allowancePerServer)));
            probability = readDelay.quantile(0.25, 0) / coreTime.mean(Double.MAX_VALUE) / MAX_RETRY_READ_COST_RUN_RATIO
                    * Math.pow(arrivalIncrease, 4);
        }
        return random.nextDouble() < probability;
    }

    private boolean notLeased(Exchange ex) {
        return ex.version < minVersion || now >= leaseExpiresAt;
    }

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

    private boolean reportState(Host host) {
        boolean withoutLease = activeVersion < minVersion || now >= leaseExpiresAt;
        int health = draining || withoutLease || deployment.discoveryFollowsHealth && now < unhealthyUntil ? 0 : 1;
        if (health != reportedHealth) {
            reportedHealth = health;
            host.setHealth(health == 1);
            return true;
        }
        double loadHint = deployment.loadHint == Deployment.LoadHint.MIN_RANK ? minRank : tokens;
        if (deployment.loadHint != Deployment.LoadHint.NONE && Math.abs(loadHint - reportedLoadHint) > 0.03 + 0.05
                * reportedLoadHint) {
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
