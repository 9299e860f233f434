package vetchrill.model;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import vetchrill.control.EndpointGroup;
import vetchrill.control.Exchange;
import vetchrill.control.Exchange.Outcome;
import vetchrill.control.Host;
import vetchrill.control.OverloadController;
import vetchrill.fleet.DeploymentSettings;
import vetchrill.fleet.Fleet.MachineKind;
import vetchrill.model.ClientRequest.Answer;
import vetchrill.protocol.DeploymentReader;

/**
 * One instance in the simulation: a model of its machine and, behind {@link Host}, the real {@link OverloadController},
 * which makes all of its decisions.
 */
final class SimulatedInstance implements Host {
    /** Ticks for which the number of runs per core is stored. */
    private static final int RUN_SAMPLES = 64;
    /** Interval between two ticks, as the controller requests them. */
    private static final long TICK_INTERVAL_TENTHS_MS = 1000;
    private static final double MIN_READING_TENTHS_MS = 0.1;
    /** Descriptors of a process that are not connections to stubs. */
    private static final int OTHER_DESCRIPTORS = 24;
    /** In {@link #lastUsedByStub}: no connection. */
    private static final long NOT_CONNECTED = Long.MIN_VALUE;

    /** One attempt of a request, as its instance sees it. */
    static final class SimulatedExchange extends Exchange {
        final FleetSimulation.SimulatedRequest request;
        final SimulatedStub stub;
        /** Incarnation of the instance when the attempt was sent. */
        final int incarnation;
        /** Whether the stub has received the answer, or the attempt has timed out at the stub. */
        boolean answeredAtStub;
        /** Its index in {@link SimulatedInstance#open}; -1 once it is not open. */
        int openIndex = -1;
        long runStartedAt;
        /** Memory that is in use for it. */
        double bookedKb;
        boolean completed;
        /** Whether it was read, so that the controller knows it. */
        boolean read;
        /** Repeats that are answered when it ends. */
        List<SimulatedExchange> waitingRepeats;

        SimulatedExchange(FleetSimulation.SimulatedRequest request, SimulatedStub stub, int incarnation) {
            this.request = request;
            this.stub = stub;
            this.incarnation = incarnation;
        }
    }

    private enum WorkStep { READ_REQUEST, WHOLE_RUN, BEFORE_CALL, AFTER_CALL }

    /** One piece of work of an exchange that needs core time. */
    private static final class CoreTask extends SharedCores.Job {
        final SimulatedExchange ex;
        final WorkStep step;

        CoreTask(SimulatedExchange ex, WorkStep step) {
            this.ex = ex;
            this.step = step;
        }
    }

    final FleetSimulation simulation;
    final int number;
    final int zone;
    final MachineKind kind;
    /** Speed of this machine as a ratio to that of its kind. */
    private final double machineSpeedRatio;
    /** By stub: when its connection was last used. */
    private final long[] lastUsedByStub;
    private final List<SimulatedExchange> open = new ArrayList<>();
    /** The first attempt of each request whose key is stored. */
    private final Map<ClientRequest, SimulatedExchange> dedupOriginals = new IdentityHashMap<>();
    private double slowdownFactor = 1;
    boolean up;
    /** Its machine is lost: it does not restart until the fault ends. */
    boolean machineLost;
    boolean healthy;
    boolean draining;
    int incarnation;
    private boolean cold;
    private long startedAt;
    private SharedCores cores;
    private OverloadController controller;
    private List<EndpointGroup> groups;
    /** Time of the earliest scheduled {@link CoreCompletion} that is valid. */
    private long nextCoreEventAt = Long.MAX_VALUE;
    private double memoryKb;
    private int running;
    private int connections;
    private long idleTime;
    private double busyAtLastTick;
    private long lastTickAt;
    private double busyBeforeCounting;
    private final double[] runsPerCoreSamples = new double[RUN_SAMPLES];
    private int tickCount;
    private long drainStartedAt;
    long lastAnswerAt;
    private double readingTime;
    private double readingBeforeCounting;

    SimulatedInstance(FleetSimulation simulation, int number, int zone, MachineKind kind, double machineSpeedRatio,
            int stubCount) {
        this.simulation = simulation;
        this.number = number;
        this.zone = zone;
        this.kind = kind;
        this.machineSpeedRatio = machineSpeedRatio;
        lastUsedByStub = new long[stubCount];
    }

    /** Starts a new incarnation without memory of the previous one. */
    void start(boolean cold, long now) {
        this.cold = cold;
        up = true;
        draining = false;
        healthy = true;
        incarnation++;
        startedAt = now;
        memoryKb = 0;
        running = 0;
        connections = 0;
        Arrays.fill(lastUsedByStub, NOT_CONNECTED);
        open.clear();
        dedupOriginals.clear();
        idleTime = simulation.fleet.rules.idleTime();
        cores = new SharedCores(kind.cores(), speed(now), kind.contentionThreshold(), kind.contentionLoss(), now);
        nextCoreEventAt = Long.MAX_VALUE;
        busyAtLastTick = 0;
        busyBeforeCounting = 0;
        lastTickAt = now;
        tickCount = 0;
        DeploymentReader reader = new DeploymentReader(DeploymentSettings.of(simulation.fleet, kind, cold));
        controller = new OverloadController(reader.deployment, simulation.seedOf(number, incarnation), now);
        groups = reader.deployment.groups;
        applyDecisions(now);
    }

    /** Returns the present speed of the cores: cold cores reach their full speed linearly. */
    private double speed(long now) {
        double warmRatio = !cold || kind.warmUpTime() <= 0 ? 1
                : Math.min(1, kind.coldSpeedRatio() + (1 - kind.coldSpeedRatio()) * (now - startedAt)
                / (double) kind.warmUpTime());
        return kind.speed() * machineSpeedRatio * warmRatio / slowdownFactor;
    }

    /** Divides the speed by a factor from now on. */
    void setSlowdown(double factor, long now) {
        slowdownFactor = factor;
        if (up) {
            cores.setSpeed(speed(now), now);
            schedule(now);
        }
    }

    /** Ends the process: all connections are reset and all exchanges are lost. */
    void crash(long now) {
        List<SimulatedExchange> dropped = new ArrayList<>(open);
        up = false;
        healthy = false;
        incarnation++;
        open.clear();
        for (SimulatedExchange each : dropped) {
            each.openIndex = -1;
            simulation.deliverAnswer(this, each, Answer.RESET, 0, false, now);
        }
    }

    /** Resets the connection of one stub, so that the callers of its open exchanges are disconnected. */
    void resetConnection(int stub, long now) {
        if (!up) {
            return;
        }
        for (SimulatedExchange each : List.copyOf(open)) {
            if (each.stub.number == stub) {
                answer(each, Answer.RESET, 0, false, now);
                if (each.read) {
                    controller.onCallerDisconnected(each, now);
                }
            }
        }
        if (lastUsedByStub[stub] != NOT_CONNECTED) {
            lastUsedByStub[stub] = NOT_CONNECTED;
            connections--;
        }
        applyDecisions(now);
    }

    /** Starts a drain; the process ends at {@code stopAt}, whether or not all exchanges are answered. */
    void startDrain(long stopAt, long now) {
        draining = true;
        drainStartedAt = now;
        lastAnswerAt = now;
        controller.startDrain(stopAt, now);
        applyDecisions(now);
    }

    /** Ends a drain and the process; returns the number of exchanges without an answer. */
    int stop(long now) {
        simulation.peakUsage.drainTime = Math.max(simulation.peakUsage.drainTime,
                (lastAnswerAt - drainStartedAt) / (double) simulation.fleet.rules.stopTimeout());
        int unanswered = 0;
        for (SimulatedExchange each : open) {
            unanswered += each.answeredAtStub ? 0 : 1;
        }
        crash(now);
        return unanswered;
    }

    /** An attempt reaches the machine. It must be read before the controller can decide on it. */
    void onArrival(SimulatedExchange ex, long now) {
        ex.arrivedAt = now;
        ex.group = groups.get(ex.request.group);
        ex.customer = ex.request.customer;
        ex.sizeKb = ex.request.sizeKb;
        ex.openIndex = open.size();
        open.add(ex);
        double coreTime = kind.readingTime();
        int stub = ex.stub.number;
        if (lastUsedByStub[stub] == NOT_CONNECTED) {
            connections++;
            coreTime += kind.connectTime();
        }
        lastUsedByStub[stub] = now;
        if (connections >= kind.connectionTable()) {
            coreTime += kind.readingTime() * kind.fullTableReadingFactor();
        }
        readingTime += coreTime;
        cores.add(new CoreTask(ex, WorkStep.READ_REQUEST), Math.max(MIN_READING_TENTHS_MS, coreTime), now);
        schedule(now);
    }

    /** Schedules an event for the next end of a task, unless an earlier one is scheduled. */
    private void schedule(long now) {
        long next = cores.nextEnd(now);
        if (next < nextCoreEventAt) {
            nextCoreEventAt = next;
            simulation.events.add(next, new CoreCompletion(incarnation));
        }
    }

    /** The end of one or more tasks. It is ignored if an earlier event was scheduled after it. */
    private final class CoreCompletion extends Event {
        private final int ofIncarnation;

        CoreCompletion(int ofIncarnation) {
            this.ofIncarnation = ofIncarnation;
        }

        @Override
        public void execute(long now) {
            if (ofIncarnation != incarnation || now != nextCoreEventAt) {
                return;
            }
            nextCoreEventAt = Long.MAX_VALUE;
            for (SharedCores.Job job = cores.pollFinished(now); job != null; job = cores.pollFinished(now)) {
                onTaskEnded((CoreTask) job, now);
            }
            applyDecisions(now);
        }
    }

    private void onTaskEnded(CoreTask task, long now) {
        SimulatedExchange ex = task.ex;
        switch (task.step) {
            case READ_REQUEST -> onRead(ex, now);
            case BEFORE_CALL -> {
                running--;
                controller.onCallRequested(ex, now);
            }
            default -> {
                running--;
                ex.completed = true;
                memoryKb -= ex.bookedKb;
                ex.bookedKb = 0;
                controller.onRunEnded(ex, Outcome.COMPLETED, now - ex.runStartedAt, now);
                answer(ex, Answer.COMPLETED, 0, false, now);
            }
        }
    }

    /** An exchange was read; from now on it uses memory. */
    private void onRead(SimulatedExchange ex, long now) {
        if (ex.openIndex < 0) {
            // Its connection was reset while it was read: the data is discarded.
            return;
        }
        ex.read = true;
        ex.bookedKb = ex.sizeKb;
        memoryKb += ex.bookedKb;
        if (ex.group.effect == EndpointGroup.Effect.DEDUPLICATED) {
            SimulatedExchange original = dedupOriginals.get(ex.request);
            ex.repeat = original != null;
            ex.original = original;
        }
        controller.onArrival(ex, now);
    }

    /** Sends the answer of an exchange and removes it; has no effect if it is answered already. */
    private void answer(SimulatedExchange ex, Answer answer, long retryAfter, boolean doNotRetry,
            long now) {
        if (ex.openIndex >= 0) {
            SimulatedExchange last = open.remove(open.size() - 1);
            if (last != ex) {
                open.set(ex.openIndex, last);
                last.openIndex = ex.openIndex;
            }
            ex.openIndex = -1;
            lastAnswerAt = now;
            lastUsedByStub[ex.stub.number] = now;
            simulation.deliverAnswer(this, ex, answer, retryAfter, doNotRetry, now);
            if (ex.waitingRepeats != null) {
                List<SimulatedExchange> repeats = ex.waitingRepeats;
                ex.waitingRepeats = null;
                for (SimulatedExchange repeat : repeats) {
                    endReplay(repeat, answer == Answer.COMPLETED, now);
                }
            }
        }
    }

    /** Carries out all actions that the controller decides on now. */
    private void applyDecisions(long now) {
        while (up && controller.next(this)) {
            continue;
        }
        if (up) {
            schedule(now);
        }
    }

    /** A tick that the controller requested. */
    private final class TickEvent extends Event {
        private final int ofIncarnation;

        TickEvent(int ofIncarnation) {
            this.ofIncarnation = ofIncarnation;
        }

        @Override
        public void execute(long now) {
            if (ofIncarnation == incarnation) {
                onTick(now);
            }
        }
    }

    private void onTick(long now) {
        cores.setSpeed(speed(now), now);
        double busy = cores.busyTime(now);
        double cpu = now > lastTickAt ? (busy - busyAtLastTick) / (now - lastTickAt) : 0;
        busyAtLastTick = busy;
        lastTickAt = now;
        closeIdle(now);
        checkLimits(now);
        if (!up) {
            return;
        }
        controller.onTick(cpu, cores.size(), connections, now);
        applyDecisions(now);
    }

    /** Closes connections that were idle for longer than {@link #idleTime}. */
    private void closeIdle(long now) {
        if (connections == 0) {
            return;
        }
        for (int i = 0; i < lastUsedByStub.length; i++) {
            if (lastUsedByStub[i] != NOT_CONNECTED && now - lastUsedByStub[i] > idleTime) {
                lastUsedByStub[i] = NOT_CONNECTED;
                connections--;
            }
        }
    }

    /** Records how close the instance is to its limits. It crashes past those of memory and of runs per core. */
    private void checkLimits(long now) {
        PeakUsage peaks = simulation.peakUsage;
        double perCore = running / (double) kind.cores();
        runsPerCoreSamples[tickCount++ % RUN_SAMPLES] = perCore;
        int sampleCount = (int) Math.min(RUN_SAMPLES,
                Math.max(1, simulation.fleet.rules.overcommitTolerance() / TICK_INTERVAL_TENTHS_MS));
        double meanPerCore = 0;
        for (int i = 0; i < Math.min(tickCount, sampleCount); i++) {
            meanPerCore += runsPerCoreSamples[(tickCount - 1 - i) % RUN_SAMPLES];
        }
        meanPerCore /= sampleCount;
        double warmRatio = speed(now) * slowdownFactor / (kind.speed() * machineSpeedRatio);
        double sustainablePerCore = 1 + (simulation.fleet.rules.sustainableRunsPerCore() - 1) * warmRatio;
        if (simulation.isCounting(now)) {
            peaks.runsPerCore = Math.max(peaks.runsPerCore, meanPerCore / sustainablePerCore);
            peaks.memory = Math.max(peaks.memory, memoryKb / kind.memoryKb());
            peaks.connections = Math.max(peaks.connections, connections / (double) kind.connectionTable());
            peaks.descriptors = Math.max(peaks.descriptors,
                    (connections + OTHER_DESCRIPTORS) / (double) kind.descriptors());
        }
        if (meanPerCore > sustainablePerCore || memoryKb > kind.memoryKb()) {
            peaks.crashes++;
            simulation.crashFromOverload(this, now);
        }
    }

    /** Returns the busy time of the cores and the core time spent on reading since the counting began. */
    double[] countedUsage(long now) {
        return new double[] {up ? cores.busyTime(now) - busyBeforeCounting : 0, readingTime - readingBeforeCounting};
    }

    /** Begins the time that {@link #countedUsage} covers. */
    void startCounting(long now) {
        busyBeforeCounting = up ? cores.busyTime(now) : 0;
        readingBeforeCounting = readingTime;
    }

    /** Returns the number of exchanges without an answer. */
    int openCount() {
        return open.size();
    }

    // The actions of the controller.

    private SimulatedExchange simulated(Exchange ex) {
        return (SimulatedExchange) ex;
    }

    @Override
    public void begin(Exchange ex) {
        SimulatedExchange attempt = simulated(ex);
        long now = simulation.events.now();
        running++;
        double growth = attempt.sizeKb * (simulation.fleet.rules.runMemoryFactor() - 1);
        attempt.bookedKb += growth;
        memoryKb += growth;
        attempt.runStartedAt = now;
        boolean calls = attempt.group.mayCall && attempt.request.callsTier;
        cores.add(new CoreTask(attempt, calls ? WorkStep.BEFORE_CALL : WorkStep.WHOLE_RUN),
                calls ? attempt.request.coreTime / 2 : attempt.request.coreTime, now);
    }

    @Override
    public void reject(Exchange ex, long retryAfter, boolean noRetry) {
        SimulatedExchange attempt = simulated(ex);
        memoryKb -= attempt.bookedKb;
        attempt.bookedKb = 0;
        if (simulation.isCounting(simulation.events.now())) {
            simulation.deniedAttempts++;
        }
        answer(attempt, Answer.DENIED, retryAfter, noRetry, simulation.events.now());
    }

    @Override
    public void terminate(Exchange ex) {
        SimulatedExchange attempt = simulated(ex);
        if (attempt.runStartedAt == 0) {
            memoryKb -= attempt.bookedKb;
            attempt.bookedKb = 0;
        }
        answer(attempt, Answer.TERMINATED, 0, false, simulation.events.now());
    }

    @Override
    public void interrupt(Exchange ex) {
        throw new IllegalStateException("simulated instances do not support the interruption of runs");
    }

    @Override
    public void call(Exchange ex, long deadline) {
        simulation.callTier(this, simulated(ex), deadline);
    }

    /** Reports the end of a call to the controller; if it has completed, the run continues. */
    void onCallEnded(SimulatedExchange ex, Outcome outcome, long duration, long now) {
        if (ex.incarnation != incarnation || ex.isFinished()) {
            return;
        }
        controller.onCallEnded(ex, outcome, duration, now);
        if (outcome == Outcome.COMPLETED) {
            resumeAfterCall(ex, now);
        }
        applyDecisions(now);
    }

    private void resumeAfterCall(SimulatedExchange ex, long now) {
        running++;
        cores.add(new CoreTask(ex, WorkStep.AFTER_CALL), ex.request.coreTime / 2, now);
    }

    @Override
    public void skipCall(Exchange ex) {
        resumeAfterCall(simulated(ex), simulation.events.now());
    }

    @Override
    public void replay(Exchange ex) {
        SimulatedExchange attempt = simulated(ex);
        SimulatedExchange original = (SimulatedExchange) attempt.original;
        if (original != null && original.openIndex >= 0) {
            original.waitingRepeats = original.waitingRepeats == null ? new ArrayList<>() : original.waitingRepeats;
            original.waitingRepeats.add(attempt);
        } else {
            endReplay(attempt, original != null && original.completed, simulation.events.now());
        }
    }

    /** Answers a repeat with the outcome of its original. */
    private void endReplay(SimulatedExchange repeat, boolean completed, long now) {
        memoryKb -= repeat.bookedKb;
        repeat.bookedKb = 0;
        controller.onRunEnded(repeat, completed ? Outcome.COMPLETED : Outcome.ERRORED, 0, now);
        answer(repeat, completed ? Answer.COMPLETED : Answer.TERMINATED, 0, false, now);
    }

    @Override
    public void storeDedupKey(Exchange ex, long ttl) {
        dedupOriginals.put(simulated(ex).request, simulated(ex));
    }

    @Override
    public void dropDedupKey(Exchange ex) {
        dedupOriginals.remove(simulated(ex).request, simulated(ex));
    }

    @Override
    public void setHealth(boolean isHealthy) {
        healthy = isHealthy;
        simulation.onHealthReport(this, isHealthy);
    }

    @Override
    public void publishLoadHint(double hint) {
        throw new IllegalStateException("simulated instances do not support load hints");
    }

    @Override
    public void setIdleTime(long time) {
        idleTime = time;
    }

    @Override
    public void scheduleTick(long delay) {
        simulation.events.add(simulation.events.now() + delay, new TickEvent(incarnation));
    }
}
