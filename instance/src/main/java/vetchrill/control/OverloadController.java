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
 * All decisions of one instance. The owner reports what happened through {@link #arrived}, {@link #finished},
 * {@link #wantsCall}, {@link #callEnded}, {@link #callerLeft}, {@link #leave} and {@link #gauges}, which only
 * note it, and then calls {@link #next} until it returns false; each call does at most one thing through
 * {@link Host}, the whole interface. Times are tenths of a millisecond on the owner's clock. One timer, asked
 * for by {@link Host#wakeIn} and answered by {@link #gauges}, drives all that is periodic.
 */
public final class OverloadController {
    /** Between two looks at the gauges, and so the coarseness of every duty that is bound to a time. */
    private static final long PERIOD = 1000;
    /** Duties are done this much ahead of their time: two periods, against a late timer. */
    private static final long AHEAD = 2 * PERIOD;
    /** An answer needs this long to get to the client. */
    private static final long WAY_BACK = 100;
    /** The design's watermark: part of the memory up to which held exchanges start. */
    private static final double WATERMARK = 0.85;
    /** Part of the memory past which the hold itself gives way; the rest is for what is read in one tick. */
    private static final double HOLD_MARK = 0.92;
    /** Running and at calls for each core, where returning calls can be taken off the cores again. */
    private static final int AT_CALLS_PER_CORE = 12;
    /** Part of the SLO time spent in the hold at most: waits are guessed, and the next server may be free. */
    private static final double PATIENCE = 0.6;
    /** The same where the callers are servers that have a hold of their own and can often do without. */
    private static final double PATIENCE_BELOW = 0.15;
    /** Part of the survivable crowd that is used. */
    private static final double CROWD_MARK = 0.8;
    /** The design's cpu share: under it the running bound grows, over it idle connections are cut. */
    private static final double CPU_BUSY = 0.9;
    /** Wanting a core, for each core, past which more running can't complete more. */
    private static final double CROWDED = 1.3;
    /** Connections for each caller told at start past which idle ones are cut. */
    private static final int CONNECTIONS_PER_CALLER = 8;
    /** The same by what could be out here at once, where callers are more than this server has use for. */
    private static final int CONNECTIONS_PER_CORE = 12;
    /** Shortest idle time, and the steps in which it returns to that of the callers. */
    private static final long SHORTEST_IDLE = 100;
    private static final int STEPS_BACK = 50;
    private static final double MANY = 1000;
    /** It hangs if no run got anywhere for this long and so many usual runs: a few may well all be long. */
    private static final long STUCK_LEAST = 5000;
    private static final double STUCK_RUNS = 2;
    private static final double STUCK_ALONE = 10;
    private static final int STUCK_KNOWN = 8;
    /** Bad health lasts no longer; so long passes before the next time, lest a fleet go dark together. */
    private static final long ILL = 50_000;
    private static final long ILL_GAP = 12_500;
    /** Arrivals this many times this server's part of all told shares: others are full as well. */
    private static final double ARRIVALS_UP = 1.3;
    /** Completions for each arrival under which a server that reads too late might as well be gone. */
    private static final double USELESS = 0.1;
    /** Cores this idle in bad health have caught up: staying away longer only crowds the others. */
    private static final double RECOVERED = 0.6;
    /** More failed runs than this, and than completed ones, of late: this server fails what it runs. */
    private static final double FAILURES = 3;
    private static final double RUNS_FADE = 0.97;
    /** The wait unread fades at each look: a server that gets nothing any more hears nothing better. */
    private static final double UNREAD_FADES = 0.98;
    /** Waiting unread for a half of the shortest SLO time lowers the bound, down to so many for each core. */
    private static final double JAM = 2;
    private static final double LEAST_RUNS = 0.5;
    /** Reading, in runs, that a denied exchange may cost the servers it goes on to, on average. */
    private static final double ROAMING_COST = 0.5;
    /** Part of further tries among as many arrivals as this fades over, at which all servers must be full. */
    private static final double TURNED_AWAY = 0.4;
    private static final double TRIES_FADE = 0.05;
    /** Part of the shortest SLO time in which a full hold turns over: to be away for longer idles cores. */
    private static final int TURNOVER = 4;
    /** Steps of the free value at each look; a least rank past the top leaves the dearest ranks alone. */
    private static final double TOKENS_GROW = 1.05;
    private static final double LEVEL_UP = 0.02;
    private static final double LEVEL_DOWN = 0.01;
    private static final double LEVEL_TOP = 0.5;

    private static final Comparator<Exchange> OLDEST = Comparator.comparingLong(ex -> ex.arrived);

    private final Deployment told;
    private final SplittableRandom chance;
    private final long born;
    private long now;

    private final List<Exchange> held = new ArrayList<>();
    private final List<Exchange> running = new ArrayList<>();
    private final List<Exchange> atCall = new ArrayList<>();
    private final List<Exchange> replaying = new ArrayList<>();
    /** The hold in its two orders, good until something happens: a crowd outlasts sorting for each denial. */
    private final List<Exchange> oldest = new ArrayList<>();
    private final List<Exchange> dearest = new ArrayList<>();
    /** The one of them in which it will be run. */
    private List<Exchange> line = oldest;
    private final ArrayDeque<Exchange> toRecognise = new ArrayDeque<>();
    private final ArrayDeque<Exchange> toForget = new ArrayDeque<>();
    private final ArrayDeque<Exchange> toInterrupt = new ArrayDeque<>();
    private final ArrayDeque<Exchange> remembered = new ArrayDeque<>();

    private double memory;
    private double cpu;
    private double runnable;
    private double connections;
    private double bound;
    private boolean ticked = true;
    private boolean sweep;
    private boolean judge;
    private int healthSaid = -1;
    private boolean leaving;
    private long stopAt;
    private long graceUntil;
    private long taken;
    private long floor;
    private long leasedUntil = Long.MAX_VALUE;

    private long idleTime;
    private long idleSaid;
    private final double[] customerRate;
    private double arrivalRate;
    private double furtherTries;
    private double completionRate;
    private final double allowancePerServer;
    private final ArrayDeque<Long> lingering = new ArrayDeque<>();
    private int callsInHand;
    private double callLoad;
    private double callsGood;
    private double callsBad;
    private boolean denied;
    private double level;
    private long lastTick;
    /** When a run last got anywhere, or the first of them began. */
    private long progressAt;
    private boolean stuck;
    private boolean failing;
    private double runsGood;
    private double runsBad;
    private final long shortestSlo;
    private double unread;
    private long illUntil = Long.MIN_VALUE;
    private double tokens = MANY;
    private double said;
    private final Histogram callTime = new Histogram();
    private final Histogram reading = new Histogram();
    private final Histogram onCore = new Histogram();
    /** Measured core time in hundredths of the time that the exchange was said to need. */
    private final Histogram pace = new Histogram();

    public OverloadController(Deployment told, long seed, long now) {
        this.told = told;
        this.now = now;
        chance = new SplittableRandom(seed);
        born = now;
        lastTick = now;
        bound = told.cores;
        idleTime = told.callerIdleTime;
        idleSaid = idleTime;
        said = told.say == Deployment.Say.TOKENS ? MANY : 0;
        customerRate = new double[told.allowance.length];
        allowancePerServer = Arrays.stream(told.allowance).sum() / told.servers;
        shortestSlo = told.groups.stream().mapToLong(group -> group.sloTime).min().orElse(Long.MAX_VALUE);
    }

    // What happened: noted here, decided on below.

    public void arrived(Exchange ex, long now) {
        note(now);
        EndpointGroup group = ex.group;
        ex.due = ex.callerLeaves > 0 ? ex.callerLeaves : ex.arrived + group.asyncTimeout;
        ex.startBy = ex.arrived + (long) ((told.below ? PATIENCE_BELOW : PATIENCE) * group.sloTime);
        long slo = group.sloTime + (long) (group.sloStretch * ex.work);
        ex.sloAt = ex.arrived + Math.min(group.asyncTimeout, slo);
        held.add(ex);
        toRecognise.add(ex);
        memory += ex.kb;
        // A repeat that comes just before the stop is not held, and the next look may be past it.
        sweep |= ex.due <= now + AHEAD || leaving && stopAt <= now + AHEAD;
        arrivalRate++;
        furtherTries += TRIES_FADE * ((ex.furtherTry ? 1 : 0) - furtherTries);
        reading.add(now - ex.arrived);
        unread += 0.2 * (now - ex.arrived - unread);
        if (ex.customer < customerRate.length) {
            customerRate[ex.customer]++;
        }
    }

    public void finished(Exchange ex, Outcome outcome, long took, long now) {
        note(now);
        progressAt = now;
        if (outcome == Outcome.ERRORED && ex.stage == Stage.RUNNING) {
            runsBad++;
        }
        if (outcome == Outcome.COMPLETED && ex.stage == Stage.RUNNING) {
            completionRate++;
            runsGood++;
            long onCore = Math.max(1, took - ex.atCalls);
            ex.group.onCore.add(onCore);
            this.onCore.add(onCore);
            ex.group.atCalls.add(ex.atCalls);
            if (ex.work > 0) {
                pace.add(onCore * 100 / ex.work);
                ex.group.said.add(ex.work);
            }
        }
        ex.stopping = false;
        boolean owed = outcome == Outcome.STOPPED && !ex.answered;
        release(ex);
        if (owed) {
            ex.stage = Stage.HELD;
            held.add(ex);
            ex.paused = told.preemption == Deployment.Preemption.PAUSE;
            memory += ex.paused ? ex.kb * told.runGrowth : ex.kb;
        }
    }

    public void wantsCall(Exchange ex, long now) {
        note(now);
        progressAt = now;
        running.remove(ex);
        atCall.add(ex);
        ex.stage = Stage.AT_CALL;
        ex.atCallSince = now;
        ex.callTries = 0;
        ex.stopping = false;
        ex.callUnproven = false;
        ex.callAgainAt = now;
    }

    public void callEnded(Exchange ex, Outcome outcome, long took, long now) {
        note(now);
        callOver(outcome == Outcome.GIVEN_UP);
        if (outcome == Outcome.COMPLETED) {
            callsGood++;
            callTime.add(took);
            backFromCall(ex);
        } else {
            callsBad++;
            ex.stage = Stage.AT_CALL;
            ex.callTries++;
            ex.callUnproven |= !outcome.provesUnrun;
            ex.callAgainAt = now + PERIOD + chance.nextLong(2 * PERIOD);
        }
    }

    public void callerLeft(Exchange ex, long now) {
        note(now);
        ex.answered = true;
        if (ex.stage == Stage.HELD || ex.stage == Stage.REPLAYING) {
            release(ex);
        } else if (ex.stage == Stage.RUNNING && ex.group.effect == Effect.REPEATABLE) {
            toInterrupt.add(ex);
        }
    }

    public void leave(long stopAt, long now) {
        note(now);
        this.stopAt = stopAt;
        leaving = true;
        graceUntil = now + told.drainGrace;
        sweep = true;
    }

    /**
     * Agreed with other instances: nothing of a version under the floor is begun any more, and nothing at all
     * from {@code until} on, as a higher floor may be in force by then that was not heard of. Without such a
     * word all goes on.
     */
    public void leased(long taken, long floor, long until, long now) {
        note(now);
        this.taken = taken;
        this.floor = floor;
        leasedUntil = until;
    }

    public void gauges(double cpu, double runnable, double connections, long now) {
        note(now);
        this.cpu = cpu;
        this.runnable += (runnable - this.runnable) * 0.3;
        this.connections = connections;
        // After a pause of the whole process the timer is late, and runs had no chance to get anywhere.
        progressAt += Math.max(0, now - lastTick - 2 * PERIOD);
        lastTick = now;
        ticked = true;
    }

    private void note(long now) {
        this.now = now;
        judge = true;
        oldest.clear();
        dearest.clear();
    }

    private void backFromCall(Exchange ex) {
        atCall.remove(ex);
        enter(ex);
        ex.stage = Stage.RUNNING;
        ex.atCalls += now - ex.atCallSince;
    }

    private void enter(Exchange ex) {
        if (running.isEmpty()) {
            progressAt = now;
        }
        running.add(ex);
    }

    /** Where no dependency is shared nothing would ever take the lingering ones off again. */
    private void callOver(boolean lingers) {
        callsInHand--;
        if (lingers && told.callsShared) {
            lingering.add(now + told.callLingers);
        }
    }

    private void unlist(Exchange ex) {
        for (List<Exchange> list : List.of(held, oldest, dearest, running, atCall, replaying)) {
            list.remove(ex);
        }
    }

    private void release(Exchange ex) {
        if (ex.stage != Stage.OVER) {
            boolean grown = ex.paused || ex.stage != Stage.HELD && ex.stage != Stage.REPLAYING;
            memory -= grown ? ex.kb * told.runGrowth : ex.kb;
            unlist(ex);
        }
        if (ex.stage == Stage.CALLING) {
            callOver(true);
        }
        ex.stage = Stage.OVER;
        if (ex.remembered && !ex.ran) {
            toForget.add(ex);
        }
    }

    // What to do about it.

    /** Does the next thing that is due, if any, through the host; false when there is nothing left to do. */
    public boolean next(Host host) {
        if (ticked) {
            ticked = false;
            sweep = true;
            steer();
            host.wakeIn(PERIOD);
            return true;
        }
        return recognise(host) || forget(host) || answerDue(host) || stopWork(host)
                || thin(host) || calls(host) || shed(host) || start(host) || advise(host);
    }

    private void steer() {
        // The design's bound: up while cores idle although work is held, down when runs only slow each other.
        // Where something else takes cores, cpu alone never gets busy: runs that already wait for one say so.
        boolean idle = cpu < CPU_BUSY && runnable < CROWDED * told.cores;
        if (idle && !held.isEmpty() && running.size() >= (int) bound) {
            bound++;
        } else if (runnable > CROWDED * told.cores + 1 && bound > told.cores) {
            bound--;
        }
        // Runs and reading share the cores: once exchanges wait long unread, callers time out and try again,
        // which ends in a server that only reads. Fewer runs let it deny in time.
        if (unread > shortestSlo / JAM) {
            bound = Math.max(LEAST_RUNS * told.cores, bound - 1);
        } else if (bound < told.cores && unread < shortestSlo / JAM / 2) {
            bound++;
        }
        bound = Math.min(bound, Math.max(1, crowd()));
        // A server that has seen few runs may have seen short ones only.
        double usual = (onCore.mean(0) * onCore.count() + shortestSlo / 6.0 * STUCK_KNOWN)
                / (onCore.count() + STUCK_KNOWN);
        stuck = !running.isEmpty() && now - progressAt
                > Math.max(STUCK_LEAST, (STUCK_RUNS + STUCK_ALONE / running.size()) * usual);
        // What is read is already too late, so that no denial reaches its caller in time. Either no more than
        // usual is read, and only this machine is slow; or next to nothing is completed, and none is lost.
        boolean swamped = unread > shortestSlo * warm() && (arrivalRate < ARRIVALS_UP * allowancePerServer
                || completionRate < USELESS * arrivalRate);
        // Runs that fail at once make room for more: such a server would draw what others could complete.
        failing = runsBad > FAILURES && runsBad > runsGood;
        if ((stuck || swamped || failing) && now >= illUntil + ILL_GAP) {
            illUntil = now + ILL;
        } else if (now < illUntil && cpu < RECOVERED && !stuck && !failing) {
            illUntil = now;
        }
        int useful = Math.min(CONNECTIONS_PER_CALLER * told.callers, CONNECTIONS_PER_CORE * told.cores);
        boolean over = connections > useful || cpu > CPU_BUSY;
        idleTime = over ? Math.max(SHORTEST_IDLE, idleTime / 2)
                : Math.min(told.callerIdleTime, idleTime + told.callerIdleTime / STEPS_BACK);
        // Callers that heed a least rank send nothing below it: it rises while work is denied and sinks.
        level = denied ? Math.min(LEVEL_TOP, level + LEVEL_UP) : Math.max(0, level - LEVEL_DOWN);
        // What is out here when work has to be denied is all that callers may have here; it grows back.
        double open = held.size() + running.size() + atCall.size();
        tokens = denied ? Math.max(1, Math.min(tokens, open / told.callers))
                : Math.min(MANY, tokens * TOKENS_GROW);
        denied = false;
        callLoad += (callsInHand + lingering.size() - callLoad) * PERIOD / Math.max(PERIOD, told.callsWindow);
        double fade = 0.9;
        arrivalRate *= fade;
        completionRate *= fade;
        unread *= UNREAD_FADES;
        runsGood *= RUNS_FADE;
        runsBad *= RUNS_FADE;
        callsGood *= fade;
        callsBad *= fade;
        for (int i = 0; i < customerRate.length; i++) {
            customerRate[i] *= fade;
        }
        while (!remembered.isEmpty() && remembered.peek().arrived + remembered.peek().group.window < now) {
            dropKey(remembered.poll());
        }
    }

    /** Part of the full speed that the cores have reached at least. */
    private double warm() {
        if (!told.cold || told.warmUp <= 0) {
            return 1;
        }
        return Math.min(1, told.coldShare + (1 - told.coldShare) * (now - born) / told.warmUp);
    }

    /** Runs that the cores survive: fewer while cold. */
    private double crowd() {
        return CROWD_MARK * (1 + (told.crowdPerCore - 1) * warm()) * told.cores;
    }

    /** No effect twice: a deduplicated exchange is known once read, its repeats are answered from it. */
    private boolean recognise(Host host) {
        while (!toRecognise.isEmpty()) {
            Exchange ex = toRecognise.poll();
            if (ex.group.effect != Effect.DEDUPLICATED || ex.stage != Stage.HELD) {
                continue;
            }
            if (ex.repeat && (ex.prior == null || ex.prior.ran || ex.prior.stage != Stage.OVER)) {
                unlist(ex);
                replaying.add(ex);
                ex.stage = Stage.REPLAYING;
                ex.ran = true;
                host.replay(ex);
                return true;
            }
            long span = ex.arrived + ex.group.window - now;
            if (span > 0) {
                ex.remembered = true;
                remembered.add(ex);
                memory += told.keyKb;
                host.remember(ex, span + told.tick);
                return true;
            }
        }
        return false;
    }

    /** What was denied before it ran leaves no trace, or its repeat would be answered with its failure. */
    private boolean forget(Host host) {
        while (!toForget.isEmpty()) {
            Exchange ex = toForget.poll();
            if (dropKey(ex)) {
                host.forget(ex);
                return true;
            }
        }
        return false;
    }

    private boolean dropKey(Exchange ex) {
        boolean was = ex.remembered;
        ex.remembered = false;
        memory -= was ? told.keyKb : 0;
        return was;
    }

    /** Every exchange has its answer by its due time, and all of them before the stop. */
    private boolean answerDue(Host host) {
        if (!sweep) {
            return false;
        }
        boolean stopping = leaving && stopAt <= now + AHEAD;
        for (List<Exchange> open : List.of(held, running, atCall, replaying)) {
            for (Exchange ex : open) {
                if (!ex.answered && (stopping || ex.due <= now + AHEAD)) {
                    giveUp(ex, host);
                    return true;
                }
            }
        }
        sweep = false;
        return false;
    }

    /** A denial promises that it never ran; what may not be denied may not be begun afresh either. */
    private static boolean mayBeDenied(Exchange ex) {
        return !ex.ran || ex.group.effect == Effect.REPEATABLE;
    }

    private void giveUp(Exchange ex, Host host) {
        ex.answered = true;
        if (ex.stage == Stage.HELD && mayBeDenied(ex)) {
            release(ex);
            host.deny(ex, told.longestAway, false);
            return;
        }
        if (ex.stage == Stage.HELD || ex.stage == Stage.REPLAYING) {
            release(ex);
        } else if (ex.stage == Stage.RUNNING) {
            toInterrupt.add(ex);
        }
        host.terminate(ex);
    }

    /** Work that nobody waits for gives its core back, where the host can stop it. */
    private boolean stopWork(Host host) {
        while (!toInterrupt.isEmpty()) {
            Exchange ex = toInterrupt.poll();
            if (told.preemption != Deployment.Preemption.NONE && ex.stage == Stage.RUNNING) {
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
    private boolean thin(Host host) {
        if (told.preemption == Deployment.Preemption.NONE || running.size() <= crowd()) {
            return false;
        }
        for (int i = running.size() - 1; i >= 0; i--) {
            Exchange ex = running.get(i);
            if (!ex.stopping && (told.preemption == Deployment.Preemption.PAUSE
                    || ex.group.effect == Effect.REPEATABLE)) {
                ex.stopping = true;
                host.interrupt(ex);
                return true;
            }
        }
        return false;
    }

    private boolean calls(Host host) {
        for (Exchange ex : atCall) {
            if (ex.stage != Stage.AT_CALL || ex.answered || ex.callAgainAt > now) {
                continue;
            }
            boolean optional = ex.group.benefitWithoutCall > 0;
            long latest = ex.sloAt - WAY_BACK - (optional ? (long) remaining(ex) : 0);
            boolean open = callsBad > 4 && callsBad > 2 * callsGood && chance.nextInt(8) > 0;
            if (optional && (ex.callTries > 0 || open || now + callTime.mean(0) > latest || !shareLeft())) {
                backFromCall(ex);
                host.leaveOut(ex);
                return true;
            }
            boolean mayRepeat = !ex.callUnproven || ex.group.effect == Effect.REPEATABLE;
            if (!mayRepeat || latest <= now && ex.group.lateShare == 0 || ex.due <= now + AHEAD) {
                giveUp(ex, host);
                return true;
            }
            if (!shareLeft()) {
                continue;
            }
            long until = latest > now ? latest : ex.due - AHEAD;
            ex.stage = Stage.CALLING;
            callsInHand++;
            host.call(ex, until);
            return true;
        }
        return false;
    }

    /** What all servers call together survives if each keeps to its own part, given-up calls included. */
    private boolean shareLeft() {
        if (!told.callsShared) {
            return true;
        }
        while (!lingering.isEmpty() && lingering.peek() <= now) {
            lingering.poll();
        }
        int inHand = callsInHand + lingering.size();
        return inHand + 1 <= told.callsOut || inHand == 0 && callLoad < told.callsOut / 2;
    }

    private double expect(Exchange ex) {
        // Waits for disk do not grow with the work: a plain ratio, ruled by small ones, condemns huge ones.
        if (ex.work > 0) {
            double slope = pace.quantile(0.25, 150) / 100;
            double rest = ex.group.onCore.mean(0) - slope * ex.group.said.mean(0);
            return ex.work * slope + Math.max(0, rest);
        }
        return ex.group.onCore.mean(ex.group.sloTime / 6.0);
    }

    /** Core time that a run still needs; one past what was expected needs a quarter of that once more. */
    private double remaining(Exchange ex) {
        double expected = expect(ex);
        return Math.max(expected / 4, expected - (now - ex.begun - ex.atCalls));
    }

    /** Benefit for the core time it takes; a customer beyond its share counts by the part that is within. */
    private double density(Exchange ex) {
        double benefit = ex.group.benefit;
        if (ex.customer < customerRate.length && told.allowance[ex.customer] > 0) {
            double usual = told.allowance[ex.customer] / told.servers;
            double seen = customerRate[ex.customer];
            if (seen > usual) {
                benefit *= (usual + (seen - usual) * told.benefitBeyondShare) / seen;
            }
        }
        return told.benefitByWork ? benefit : benefit / expect(ex);
    }

    /** Turns away, as early as it is known, what can't make its SLO time; and what the memory can't hold. */
    private boolean shed(Host host) {
        if (!judge) {
            return false;
        }
        line = order(held, oldest, OLDEST);
        Exchange hopeless = firstHopeless();
        if (hopeless != null) {
            line = order(oldest, dearest, Comparator.comparingDouble(ex -> -density(ex)));
            hopeless = firstHopeless();
        }
        if (hopeless == null && memory > HOLD_MARK * told.memoryKb && !line.isEmpty()) {
            hopeless = line.get(line.size() - 1);
        }
        if (hopeless == null) {
            judge = false;
            return false;
        }
        denied = true;
        hopeless.answered = true;
        release(hopeless);
        if (mayBeDenied(hopeless)) {
            boolean barred = barred(hopeless);
            boolean soon = !stuck && !failing && !leaving && !barred;
            boolean forGood = !stuck && !failing && !barred && shouldGiveUp();
            long away = (soon ? Math.min(told.longestAway, shortestSlo / TURNOVER) : told.longestAway) / 4;
            host.deny(hopeless, away + chance.nextLong(3 * away + 1), forGood);
        } else {
            host.terminate(hopeless);
        }
        return true;
    }

    private static List<Exchange> order(List<Exchange> from, List<Exchange> list, Comparator<Exchange> by) {
        if (list.isEmpty()) {
            list.addAll(from);
            list.sort(by);
        }
        return list;
    }

    /**
     * Marked further tries are few while only this server is short. Unmarked, what roams must not cost more
     * than it can bring: waits unread tell what reading costs, and traffic past the told that it brings less.
     */
    private boolean shouldGiveUp() {
        double part = furtherTries / TURNED_AWAY;
        if (!told.marksFurtherTries) {
            double up = Math.min(2, Math.max(1, arrivalRate / Math.max(1, allowancePerServer)));
            part = reading.quantile(0.25, 0) / onCore.mean(Double.MAX_VALUE) / ROAMING_COST * Math.pow(up, 4);
        }
        return chance.nextDouble() < part;
    }

    private boolean barred(Exchange ex) {
        return ex.version < floor || now >= leasedUntil;
    }

    private Exchange firstHopeless() {
        double ahead = 0;
        for (Exchange ex : running) {
            ahead += remaining(ex);
        }
        double slots = Math.max(1, Math.min(bound, crowd()));
        boolean roomy = running.size() + line.size() <= (int) bound;
        for (Exchange ex : line) {
            boolean probe = ex.group.effect == Effect.REPEATABLE && ex == line.get(0) && running.isEmpty();
            if (stuck || failing && !probe) {
                return ex;
            }
            if (barred(ex) || !mayBeDenied(ex) && !ex.paused || leaving && ex.arrived > graceUntil) {
                return ex;
            }
            double expected = expect(ex);
            double own = expected + ex.group.atCalls.mean(0);
            double startsAt = now + ahead / slots;
            double limit = leaving ? Math.min(ex.sloAt, stopAt - AHEAD) : ex.sloAt;
            boolean first = (roomy || running.isEmpty() && ex == line.get(0)) && ex.sloAt > now && !leaving;
            if (!first && (startsAt + own > limit - WAY_BACK || startsAt > ex.startBy)) {
                return ex;
            }
            ahead += expected;
        }
        return null;
    }

    private boolean start(Host host) {
        boolean canThin = told.preemption != Deployment.Preemption.NONE;
        if (line.isEmpty() || running.size() >= (int) bound
                || running.size() + atCall.size() >= (canThin ? AT_CALLS_PER_CORE * told.cores : crowd())) {
            return false;
        }
        Exchange ex = line.get(0);
        double growth = ex.paused ? 0 : ex.kb * (told.runGrowth - 1);
        if (memory + growth > WATERMARK * told.memoryKb) {
            return false;
        }
        unlist(ex);
        enter(ex);
        memory += growth;
        ex.stage = Stage.RUNNING;
        ex.paused = false;
        ex.ran = true;
        ex.begun = now;
        ex.atCalls = 0;
        host.begin(ex);
        return true;
    }

    private boolean advise(Host host) {
        boolean shutOut = taken < floor || now >= leasedUntil;
        int health = leaving || shutOut || told.listFollowsHealth && now < illUntil ? 0 : 1;
        if (health != healthSaid) {
            healthSaid = health;
            host.health(health == 1);
            return true;
        }
        double value = told.say == Deployment.Say.LEAST_RANK ? level : tokens;
        if (told.say != Deployment.Say.NOTHING && Math.abs(value - said) > 0.03 + 0.05 * said) {
            said = value;
            host.say(value);
            return true;
        }
        if (idleTime != idleSaid) {
            idleSaid = idleTime;
            host.idleTime(idleTime);
            return true;
        }
        return false;
    }
}
