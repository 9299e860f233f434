package vetchrill.model;

import java.util.ArrayList;
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
import vetchrill.protocol.DeploymentReader;

/** One relay of the model: its machine, and the real module behind {@link Host}, which makes all of its decisions. */
final class SimulatedInstance implements Host {
    private static final int RUN_SAMPLES = 64;

    /** One try as a relay has it. */
    static final class SimulatedExchange extends Exchange {
        final FleetSimulation.SimulatedRequest request;
        final SimulatedStub stub;
        final int incarnation;
        /** Its stub has its answer, or has given it up. */
        boolean answeredAtStub;
        /** Where it stands among the open ones of its relay; -1 once it is not. */
        int openIndex = -1;
        long runStartedAt;
        double bookedKb;
        boolean completed;
        /** It was read, so that the module knows of it. */
        boolean read;
        /** Repeats that wait for its end. */
        List<SimulatedExchange> waitingRepeats;

        SimulatedExchange(FleetSimulation.SimulatedRequest request, SimulatedStub stub, int incarnation) {
            this.request = request;
            this.stub = stub;
            this.incarnation = incarnation;
        }
    }

    private enum WorkStep { READ_REQUEST, WHOLE_RUN, BEFORE_CALL, AFTER_CALL }

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
    /** Of this machine among those of its kind. */
    private final double machineSpeedRatio;
    private final long[] lastUsedByStub;
    private final List<SimulatedExchange> open = new ArrayList<>();
    private final Map<ClientRequest, SimulatedExchange> dedupOriginals = new IdentityHashMap<>();
    private double slowdownFactor = 1;
    boolean up;
    /** Lost with its machine: nothing starts it before its zone is back. */
    boolean machineLost;
    boolean healthy;
    boolean draining;
    int incarnation;
    private boolean cold;
    private long startedAt;
    private SharedCores cores;
    private OverloadController controller;
    private List<EndpointGroup> groups;
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
        java.util.Arrays.fill(lastUsedByStub, Long.MIN_VALUE);
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

    private double speed(long now) {
        double warmRatio = !cold || kind.warmUpTime() <= 0 ? 1
                : Math.min(1, kind.coldSpeedRatio() + (1 - kind.coldSpeedRatio()) * (now - startedAt)
                / (double) kind.warmUpTime());
        return kind.speed() * machineSpeedRatio * warmRatio / slowdownFactor;
    }

    void setSlowdown(double factor, long now) {
        slowdownFactor = factor;
        if (up) {
            cores.setSpeed(speed(now), now);
            schedule(now);
        }
    }

    /** All that it holds is gone, and its connections with it. */
    void crash(long now) {
        List<SimulatedExchange> dropped = new ArrayList<>(open);
        up = false;
        healthy = false;
        incarnation++;
        open.clear();
        for (SimulatedExchange each : dropped) {
            each.openIndex = -1;
            simulation.deliverAnswer(this, each, ClientRequest.Answer.RESET, 0, false, now);
        }
    }

    /** What is open from one stub loses its connection, and its callers with it. */
    void resetConnection(int stub, long now) {
        if (!up) {
            return;
        }
        for (SimulatedExchange each : List.copyOf(open)) {
            if (each.stub.number == stub) {
                answer(each, ClientRequest.Answer.RESET, 0, false, now);
                if (each.read) {
                    controller.onCallerDisconnected(each, now);
                }
            }
        }
        if (lastUsedByStub[stub] != Long.MIN_VALUE) {
            lastUsedByStub[stub] = Long.MIN_VALUE;
            connections--;
        }
        applyDecisions(now);
    }

    /** The notice to leave; the process ends {@code stop} later, answered or not. */
    void startDrain(long stopAt, long now) {
        draining = true;
        drainStartedAt = now;
        lastAnswerAt = now;
        controller.startDrain(stopAt, now);
        applyDecisions(now);
    }

    /** The end of a drain: how many exchanges were still owed an answer. */
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

    /** A try reaches the machine: it is read before anything can be decided on it. */
    void onArrival(SimulatedExchange ex, long now) {
        ex.arrivedAt = now;
        ex.group = groups.get(ex.request.group);
        ex.customer = ex.request.customer;
        ex.sizeKb = ex.request.sizeKb;
        ex.openIndex = open.size();
        open.add(ex);
        double coreTime = kind.readingTime();
        int stub = ex.stub.number;
        if (lastUsedByStub[stub] == Long.MIN_VALUE) {
            connections++;
            coreTime += kind.connectTime();
        }
        lastUsedByStub[stub] = now;
        if (connections >= kind.connectionTable()) {
            coreTime += kind.readingTime() * kind.fullTableReadingFactor();
        }
        readingTime += coreTime;
        cores.add(new CoreTask(ex, WorkStep.READ_REQUEST), Math.max(0.1, coreTime), now);
        schedule(now);
    }

    private void schedule(long now) {
        long next = cores.nextEnd(now);
        if (next < nextCoreEventAt) {
            nextCoreEventAt = next;
            simulation.events.add(next, new CoreCompletion(incarnation));
        }
    }

    /** What is outdated by an earlier one that was put in since is passed over. */
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
                answer(ex, ClientRequest.Answer.COMPLETED, 0, false, now);
            }
        }
    }

    /** Only what has been read is held by the program, and booked. */
    private void onRead(SimulatedExchange ex, long now) {
        if (ex.openIndex < 0) {
            // Its connection was reset while it was read: the bytes belong to nobody any more.
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

    /** The answer goes out, once. What is over is no longer in the relay. */
    private void answer(SimulatedExchange ex, ClientRequest.Answer answer, long retryAfter, boolean doNotRetry,
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
                    endReplay(repeat, answer == ClientRequest.Answer.COMPLETED, now);
                }
            }
        }
    }

    private void applyDecisions(long now) {
        while (up && controller.next(this)) {
            continue;
        }
        if (up) {
            schedule(now);
        }
    }

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

    private void closeIdle(long now) {
        if (connections == 0) {
            return;
        }
        for (int i = 0; i < lastUsedByStub.length; i++) {
            if (lastUsedByStub[i] != Long.MIN_VALUE && now - lastUsedByStub[i] > idleTime) {
                lastUsedByStub[i] = Long.MIN_VALUE;
                connections--;
            }
        }
    }

    /** How near to its limits it is; past those of memory and crowd it dies. */
    private void checkLimits(long now) {
        PeakUsage peaks = simulation.peakUsage;
        double perCore = running / (double) kind.cores();
        runsPerCoreSamples[tickCount++ % RUN_SAMPLES] = perCore;
        int sampleCount = (int) Math.min(RUN_SAMPLES, Math.max(1, simulation.fleet.rules.overcommitTolerance() / 1000));
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
            peaks.descriptors = Math.max(peaks.descriptors, (connections + 24) / (double) kind.descriptors());
        }
        if (meanPerCore > sustainablePerCore || memoryKb > kind.memoryKb()) {
            peaks.crashes++;
            simulation.crashFromOverload(this, now);
        }
    }

    /** Busy core time and core time spent reading since the counting began. */
    double[] countedUsage(long now) {
        return new double[] {up ? cores.busyTime(now) - busyBeforeCounting : 0, readingTime - readingBeforeCounting};
    }

    void startCounting(long now) {
        busyBeforeCounting = up ? cores.busyTime(now) : 0;
        readingBeforeCounting = readingTime;
    }

    int openCount() {
        return open.size();
    }

    // What the module asks for.

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
                calls ? attempt.request.coreTime / 2
                : attempt.request.coreTime, now);
    }

    @Override
    public void reject(Exchange ex, long retryAfter, boolean noRetry) {
        SimulatedExchange attempt = simulated(ex);
        memoryKb -= attempt.bookedKb;
        attempt.bookedKb = 0;
        if (simulation.isCounting(simulation.events.now())) {
            simulation.deniedAttempts++;
        }
        answer(attempt, ClientRequest.Answer.DENIED, retryAfter, noRetry, simulation.events.now());
    }

    @Override
    public void terminate(Exchange ex) {
        SimulatedExchange attempt = simulated(ex);
        if (attempt.runStartedAt == 0) {
            memoryKb -= attempt.bookedKb;
            attempt.bookedKb = 0;
        }
        answer(attempt, ClientRequest.Answer.TERMINATED, 0, false, simulation.events.now());
    }

    @Override
    public void interrupt(Exchange ex) {
        throw new IllegalStateException("running work can't be stopped in this fleet");
    }

    @Override
    public void call(Exchange ex, long deadline) {
        simulation.callTier(this, simulated(ex), deadline);
    }

    /** The end of a call, told to the module; with its result the run goes on. */
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

    private void endReplay(SimulatedExchange repeat, boolean completed, long now) {
        memoryKb -= repeat.bookedKb;
        repeat.bookedKb = 0;
        controller.onRunEnded(repeat, completed ? Outcome.COMPLETED : Outcome.ERRORED, 0, now);
        answer(repeat, completed ? ClientRequest.Answer.COMPLETED : ClientRequest.Answer.TERMINATED, 0, false, now);
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
        throw new IllegalStateException("no free value is sent in this fleet");
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
