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
import vetchrill.fleet.Briefing;
import vetchrill.fleet.Fleet.Kind;
import vetchrill.protocol.DeploymentReader;

/** One relay of the model: its machine, and the real module behind {@link Host}, which makes all of its decisions. */
final class SimRelay implements Host {
    private static final int CROWD_LOOKS = 64;

    /** One try as a relay has it. */
    static final class Try extends Exchange {
        final World.Drawn asking;
        final SimStub stub;
        final int life;
        /** Its stub has its answer, or has given it up. */
        boolean done;
        /** Where it stands among the open ones of its relay; -1 once it is not. */
        int at = -1;
        long begunAt;
        double booked;
        boolean completed;
        /** It was read, so that the module knows of it. */
        boolean heard;
        /** Repeats that wait for its end. */
        List<Try> repeats;

        Try(World.Drawn asking, SimStub stub, int life) {
            this.asking = asking;
            this.stub = stub;
            this.life = life;
        }
    }

    private enum Step { READ, WHOLE, BEFORE_CALL, AFTER_CALL }

    private static final class Task extends Cores.Job {
        final Try of;
        final Step step;

        Task(Try of, Step step) {
            this.of = of;
            this.step = step;
        }
    }

    final World world;
    final int number;
    final int zone;
    final Kind kind;
    /** Of this machine among those of its kind. */
    private final double ownSpeed;
    private final long[] lastUsed;
    private final List<Try> open = new ArrayList<>();
    private final Map<Asking, Try> known = new IdentityHashMap<>();
    private double slowed = 1;
    boolean up;
    /** Lost with its machine: nothing starts it before its zone is back. */
    boolean gone;
    boolean healthy;
    boolean leaving;
    int life;
    private boolean cold;
    private long born;
    private Cores cores;
    private OverloadController controller;
    private List<EndpointGroup> groups;
    private long coresAt = Long.MAX_VALUE;
    private double memoryKb;
    private int running;
    private int connections;
    private long idleTime;
    private double busyBefore;
    private long lookedAt;
    private double busyAtStart;
    private final double[] crowd = new double[CROWD_LOOKS];
    private int looks;
    private long drainFrom;
    long lastAnswer;
    private double readingWork;
    private double countedReading;

    SimRelay(World world, int number, int zone, Kind kind, double ownSpeed, int stubs) {
        this.world = world;
        this.number = number;
        this.zone = zone;
        this.kind = kind;
        this.ownSpeed = ownSpeed;
        lastUsed = new long[stubs];
    }

    void start(boolean cold, long now) {
        this.cold = cold;
        up = true;
        leaving = false;
        healthy = true;
        life++;
        born = now;
        memoryKb = 0;
        running = 0;
        connections = 0;
        java.util.Arrays.fill(lastUsed, Long.MIN_VALUE);
        open.clear();
        known.clear();
        idleTime = world.fleet.rules.idle();
        cores = new Cores(kind.cores(), speed(now), kind.crowdFrom(), kind.crowdLoss(), now);
        coresAt = Long.MAX_VALUE;
        busyBefore = 0;
        busyAtStart = 0;
        lookedAt = now;
        looks = 0;
        DeploymentReader facts = new DeploymentReader(Briefing.of(world.fleet, kind, cold));
        controller = new OverloadController(facts.deployment, world.seedOf(number, life), now);
        groups = facts.deployment.groups;
        decide(now);
    }

    private double speed(long now) {
        double warm = !cold || kind.warmUp() <= 0 ? 1
                : Math.min(1, kind.coldShare() + (1 - kind.coldShare()) * (now - born) / (double) kind.warmUp());
        return kind.speed() * ownSpeed * warm / slowed;
    }

    void slow(double factor, long now) {
        slowed = factor;
        if (up) {
            cores.pace(speed(now), now);
            schedule(now);
        }
    }

    /** All that it holds is gone, and its connections with it. */
    void die(long now) {
        List<Try> lost = new ArrayList<>(open);
        up = false;
        healthy = false;
        life++;
        open.clear();
        for (Try each : lost) {
            each.at = -1;
            world.answer(this, each, Asking.Answer.RESET, 0, false, now);
        }
    }

    /** What is open from one stub loses its connection, and its callers with it. */
    void reset(int stub, long now) {
        if (!up) {
            return;
        }
        for (Try each : List.copyOf(open)) {
            if (each.stub.number == stub) {
                answered(each, Asking.Answer.RESET, 0, false, now);
                if (each.heard) {
                    controller.onCallerDisconnected(each, now);
                }
            }
        }
        if (lastUsed[stub] != Long.MIN_VALUE) {
            lastUsed[stub] = Long.MIN_VALUE;
            connections--;
        }
        decide(now);
    }

    /** The notice to leave; the process ends {@code stop} later, answered or not. */
    void leave(long stopAt, long now) {
        leaving = true;
        drainFrom = now;
        lastAnswer = now;
        controller.startDrain(stopAt, now);
        decide(now);
    }

    /** The end of a drain: how many exchanges were still owed an answer. */
    int stop(long now) {
        world.peaks.drain = Math.max(world.peaks.drain, (lastAnswer - drainFrom) / (double) world.fleet.rules.stop());
        int owed = 0;
        for (Try each : open) {
            owed += each.done ? 0 : 1;
        }
        die(now);
        return owed;
    }

    /** A try reaches the machine: it is read before anything can be decided on it. */
    void arrive(Try ex, long now) {
        ex.arrivedAt = now;
        ex.group = groups.get(ex.asking.group);
        ex.customer = ex.asking.customer;
        ex.sizeKb = ex.asking.kb;
        ex.at = open.size();
        open.add(ex);
        double work = kind.reading();
        int stub = ex.stub.number;
        if (lastUsed[stub] == Long.MIN_VALUE) {
            connections++;
            work += kind.connect();
        }
        lastUsed[stub] = now;
        if (connections >= kind.table()) {
            work += kind.reading() * kind.tableTax();
        }
        readingWork += work;
        cores.add(new Task(ex, Step.READ), Math.max(0.1, work), now);
        schedule(now);
    }

    private void schedule(long now) {
        long next = cores.nextEnd(now);
        if (next < coresAt) {
            coresAt = next;
            world.events.add(next, new CoresDue(life));
        }
    }

    /** What is outdated by an earlier one that was put in since is passed over. */
    private final class CoresDue extends Event {
        private final int of;

        CoresDue(int of) {
            this.of = of;
        }

        @Override
        public void happen(long now) {
            if (of != life || now != coresAt) {
                return;
            }
            coresAt = Long.MAX_VALUE;
            for (Cores.Job job = cores.ended(now); job != null; job = cores.ended(now)) {
                over((Task) job, now);
            }
            decide(now);
        }
    }

    private void over(Task task, long now) {
        Try ex = task.of;
        switch (task.step) {
            case READ -> read(ex, now);
            case BEFORE_CALL -> {
                running--;
                controller.onCallRequested(ex, now);
            }
            default -> {
                running--;
                ex.completed = true;
                memoryKb -= ex.booked;
                ex.booked = 0;
                controller.onRunEnded(ex, Outcome.COMPLETED, now - ex.begunAt, now);
                answered(ex, Asking.Answer.COMPLETED, 0, false, now);
            }
        }
    }

    /** Only what has been read is held by the program, and booked. */
    private void read(Try ex, long now) {
        if (ex.at < 0) {
            // Its connection was reset while it was read: the bytes belong to nobody any more.
            return;
        }
        ex.heard = true;
        ex.booked = ex.sizeKb;
        memoryKb += ex.booked;
        if (ex.group.effect == EndpointGroup.Effect.DEDUPLICATED) {
            Try prior = known.get(ex.asking);
            ex.repeat = prior != null;
            ex.original = prior;
        }
        controller.onArrival(ex, now);
    }

    /** The answer goes out, once. What is over is no longer in the relay. */
    private void answered(Try ex, Asking.Answer answer, long away, boolean giveUp, long now) {
        if (ex.at >= 0) {
            Try last = open.remove(open.size() - 1);
            if (last != ex) {
                open.set(ex.at, last);
                last.at = ex.at;
            }
            ex.at = -1;
            lastAnswer = now;
            lastUsed[ex.stub.number] = now;
            world.answer(this, ex, answer, away, giveUp, now);
            if (ex.repeats != null) {
                List<Try> repeats = ex.repeats;
                ex.repeats = null;
                for (Try repeat : repeats) {
                    endReplay(repeat, answer == Asking.Answer.COMPLETED, now);
                }
            }
        }
    }

    private void decide(long now) {
        while (up && controller.next(this)) {
            continue;
        }
        if (up) {
            schedule(now);
        }
    }

    private final class Look extends Event {
        private final int of;

        Look(int of) {
            this.of = of;
        }

        @Override
        public void happen(long now) {
            if (of == life) {
                look(now);
            }
        }
    }

    private void look(long now) {
        cores.pace(speed(now), now);
        double busy = cores.busyTime(now);
        double cpu = now > lookedAt ? (busy - busyBefore) / (now - lookedAt) : 0;
        busyBefore = busy;
        lookedAt = now;
        closeIdle(now);
        count(now);
        if (!up) {
            return;
        }
        controller.onTick(cpu, cores.size(), connections, now);
        decide(now);
    }

    private void closeIdle(long now) {
        if (connections == 0) {
            return;
        }
        for (int i = 0; i < lastUsed.length; i++) {
            if (lastUsed[i] != Long.MIN_VALUE && now - lastUsed[i] > idleTime) {
                lastUsed[i] = Long.MIN_VALUE;
                connections--;
            }
        }
    }

    /** How near to its limits it is; past those of memory and crowd it dies. */
    private void count(long now) {
        Peaks peaks = world.peaks;
        double perCore = running / (double) kind.cores();
        crowd[looks++ % CROWD_LOOKS] = perCore;
        int span = (int) Math.min(CROWD_LOOKS, Math.max(1, world.fleet.rules.crowdSpan() / 1000));
        double mean = 0;
        for (int i = 0; i < Math.min(looks, span); i++) {
            mean += crowd[(looks - 1 - i) % CROWD_LOOKS];
        }
        mean /= span;
        double warm = speed(now) * slowed / (kind.speed() * ownSpeed);
        double survives = 1 + (world.fleet.rules.crowdPerCore() - 1) * warm;
        if (world.counts(now)) {
            peaks.crowd = Math.max(peaks.crowd, mean / survives);
            peaks.memory = Math.max(peaks.memory, memoryKb / kind.memoryKb());
            peaks.connections = Math.max(peaks.connections, connections / (double) kind.table());
            peaks.descriptors = Math.max(peaks.descriptors, (connections + 24) / (double) kind.descriptors());
        }
        if (mean > survives || memoryKb > kind.memoryKb()) {
            peaks.fell++;
            world.fall(this, now);
        }
    }

    /** Busy core time and core time spent reading since the counting began. */
    double[] counted(long now) {
        return new double[] {up ? cores.busyTime(now) - busyAtStart : 0, readingWork - countedReading};
    }

    void countFromNow(long now) {
        busyAtStart = up ? cores.busyTime(now) : 0;
        countedReading = readingWork;
    }

    int queue() {
        return open.size();
    }

    // What the module asks for.

    private Try mine(Exchange ex) {
        return (Try) ex;
    }

    @Override
    public void begin(Exchange ex) {
        Try each = mine(ex);
        long now = world.events.now();
        running++;
        double growth = each.sizeKb * (world.fleet.rules.runGrowth() - 1);
        each.booked += growth;
        memoryKb += growth;
        each.begunAt = now;
        boolean calls = each.group.mayCall && each.asking.calls;
        cores.add(new Task(each, calls ? Step.BEFORE_CALL : Step.WHOLE), calls ? each.asking.work / 2
                : each.asking.work, now);
    }

    @Override
    public void reject(Exchange ex, long away, boolean giveUp) {
        Try each = mine(ex);
        memoryKb -= each.booked;
        each.booked = 0;
        if (world.counts(world.events.now())) {
            world.denied++;
        }
        answered(each, Asking.Answer.DENIED, away, giveUp, world.events.now());
    }

    @Override
    public void terminate(Exchange ex) {
        Try each = mine(ex);
        if (each.begunAt == 0) {
            memoryKb -= each.booked;
            each.booked = 0;
        }
        answered(each, Asking.Answer.TERMINATED, 0, false, world.events.now());
    }

    @Override
    public void interrupt(Exchange ex) {
        throw new IllegalStateException("running work can't be stopped in this fleet");
    }

    @Override
    public void call(Exchange ex, long until) {
        world.call(this, mine(ex), until);
    }

    /** The end of a call, told to the module; with its result the run goes on. */
    void callEnded(Try ex, Outcome outcome, long took, long now) {
        if (ex.life != life || ex.isFinished()) {
            return;
        }
        controller.onCallEnded(ex, outcome, took, now);
        if (outcome == Outcome.COMPLETED) {
            goOn(ex, now);
        }
        decide(now);
    }

    private void goOn(Try ex, long now) {
        running++;
        cores.add(new Task(ex, Step.AFTER_CALL), ex.asking.work / 2, now);
    }

    @Override
    public void skipCall(Exchange ex) {
        goOn(mine(ex), world.events.now());
    }

    @Override
    public void replay(Exchange ex) {
        Try each = mine(ex);
        Try prior = (Try) each.original;
        if (prior != null && prior.at >= 0) {
            prior.repeats = prior.repeats == null ? new ArrayList<>() : prior.repeats;
            prior.repeats.add(each);
        } else {
            endReplay(each, prior != null && prior.completed, world.events.now());
        }
    }

    private void endReplay(Try repeat, boolean completed, long now) {
        memoryKb -= repeat.booked;
        repeat.booked = 0;
        controller.onRunEnded(repeat, completed ? Outcome.COMPLETED : Outcome.ERRORED, 0, now);
        answered(repeat, completed ? Asking.Answer.COMPLETED : Asking.Answer.TERMINATED, 0, false, now);
    }

    @Override
    public void storeDedupKey(Exchange ex, long span) {
        known.put(mine(ex).asking, mine(ex));
    }

    @Override
    public void dropDedupKey(Exchange ex) {
        known.remove(mine(ex).asking, mine(ex));
    }

    @Override
    public void setHealth(boolean good) {
        healthy = good;
        world.health(this, good);
    }

    @Override
    public void publishLoadHint(double value) {
        throw new IllegalStateException("no free value is sent in this fleet");
    }

    @Override
    public void setIdleTime(long span) {
        idleTime = span;
    }

    @Override
    public void scheduleTick(long span) {
        world.events.add(world.events.now() + span, new Look(life));
    }
}
