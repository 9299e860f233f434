package vetchrill.fuzz.targets;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import vetchrill.control.Deployment;
import vetchrill.control.EndpointGroup;
import vetchrill.control.EndpointGroup.Effect;
import vetchrill.control.Exchange;
import vetchrill.control.Exchange.Outcome;
import vetchrill.control.Host;
import vetchrill.control.OverloadController;
import vetchrill.fuzz.Draws;
import vetchrill.fuzz.Finding;
import vetchrill.fuzz.Target;

/**
 * The decision module under any legal order of inputs for any deployment, watched by the four rules and by the
 * contract of its host. The watch knows exchanges by what was said of them alone and shares no code with the module.
 */
public final class ModuleTarget implements Target {
    private static final int MS = 10;
    /** Decisions after one input past which the module is taken to go round in circles. */
    private static final int MOST_DECISIONS = 20_000;
    private static final int MOST_OPEN = 400;

    @Override
    public String name() {
        return "module";
    }

    @Override
    public List<Class<?>> covers() {
        return List.of(OverloadController.class);
    }

    @Override
    public List<byte[]> seeds() {
        List<byte[]> seeds = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            byte[] seed = new byte[200];
            SplittableRandom chance = new SplittableRandom(i);
            for (int j = 0; j < seed.length; j++) {
                seed[j] = (byte) chance.nextInt();
            }
            seeds.add(seed);
        }
        return seeds;
    }

    /** Steps are of five octets: one is dropped, doubled, or put elsewhere. */
    @Override
    public byte[] mutate(byte[] input, SplittableRandom chance) {
        int steps = (input.length - Watch.HEAD) / Watch.STEP;
        if (steps < 2) {
            return null;
        }
        byte[] out = input.clone();
        int from = Watch.HEAD + Watch.STEP * chance.nextInt(steps);
        int to = Watch.HEAD + Watch.STEP * chance.nextInt(steps);
        System.arraycopy(input, from, out, to, Watch.STEP);
        if (chance.nextInt(3) == 0) {
            out[to] = (byte) chance.nextInt();
        }
        return out;
    }

    @Override
    public void run(byte[] input) {
        new Watch(new Draws(input)).play();
    }

    private static final class Seen extends Exchange {
        int answers;
        int begun;
        boolean running;
        boolean interrupted;
        boolean atCall;
        boolean calling;
        boolean left;
        boolean replaying;
        boolean remembered;
        boolean paused;
        boolean ended;
        long due;
        boolean ranBefore;
    }

    private static final class Watch implements Host {
        static final int HEAD = 24;
        static final int STEP = 5;
        private final Draws draws;
        private final Deployment told = new Deployment();
        private final List<Seen> all = new ArrayList<>();
        private OverloadController module;
        private long now = 1_000_000;
        private long timerAt = Long.MAX_VALUE;
        private long leftAt;
        private long stopAt;
        private int inHand;

        Watch(Draws draws) {
            this.draws = draws;
        }

        void play() {
            long seed = deployment();
            module = new OverloadController(told, seed, now);
            decide();
            while (!draws.over() && (stopAt == 0 || now < stopAt)) {
                step();
                decide();
                check();
            }
            settle();
        }

        private long deployment() {
            long seed = draws.octet();
            told.groups = new ArrayList<>();
            int groups = 1 + draws.below(3);
            told.cores = 1 + draws.below(4);
            told.callerCount = 1 + draws.below(20);
            told.serverCount = 1 + draws.below(30);
            told.memoryKb = draws.span(200, 50_000);
            told.runMemoryFactor = 1 + draws.below(6);
            told.dedupKeyKb = draws.below(20);
            told.callerIdleTime = draws.span(100 * MS, 20_000 * MS);
            told.hostQuantum = 5 * MS;
            told.preemption = Deployment.Preemption.values()[draws.below(3)];
            told.loadHint = Deployment.LoadHint.values()[draws.below(3)];
            int flags = draws.octet();
            told.sharedDependency = (flags & 1) == 1;
            told.discoveryFollowsHealth = (flags & 2) == 2;
            told.startsCold = (flags & 4) == 4;
            told.backendTier = (flags & 8) == 8;
            told.callersMarkRetries = (flags & 16) == 16;
            told.benefitScalesWithWork = (flags & 32) == 32;
            told.callQuota = draws.below(8) / 2.0;
            told.callQuotaWindow = draws.span(0, 2_000 * MS);
            told.abandonedCallLinger = draws.span(0, 1_000 * MS);
            told.coldSpeedRatio = 0.2 + draws.below(9) / 10.0;
            told.warmUpTime = draws.span(0, 10_000 * MS);
            told.sustainableRunsPerCore = 2 + draws.below(9);
            told.drainGrace = draws.span(0, 3_000 * MS);
            told.maxRetryAfter = draws.span(0, 5_000 * MS);
            told.allowancePerSecond = new double[] {draws.below(200), 20};
            told.benefitBeyondShare = 0.1;
            for (int i = 0; i < groups; i++) {
                EndpointGroup group = new EndpointGroup();
                group.effect = Effect.values()[(int) (seed + i) % 3];
                group.sloTime = (300 + 400L * i) * MS;
                group.asyncTimeout = group.sloTime * 2 + 600 * MS;
                group.benefit = 1 + i;
                group.lateBenefitShare = i * 0.2;
                group.dedupWindow = 5_000 * MS;
                group.mayCall = i != 1;
                group.benefitWithoutCall = i == 2 ? 0.5 : 0;
                told.groups.add(group);
            }
            return seed;
        }

        private void step() {
            int what = draws.below(16);
            int which = draws.octet();
            switch (what) {
                case 0, 1, 2, 3 -> arrive(which);
                case 4, 5, 6 -> end(which);
                case 7 -> wantCall(which);
                case 8 -> endCall(which);
                case 9 -> leave(which);
                case 10 -> {
                    if (leftAt == 0 && which % 4 == 0) {
                        leftAt = now;
                        stopAt = now + told.drainGrace + draws.span(400 * MS, 6_000 * MS);
                        module.startDrain(stopAt, now);
                        return;
                    }
                    pass(which);
                }
                default -> pass(which);
            }
            draws.octet();
        }

        private List<Seen> those(java.util.function.Predicate<Seen> which) {
            return all.stream().filter(which).toList();
        }

        private Seen one(int which, java.util.function.Predicate<Seen> of) {
            List<Seen> found = those(of);
            return found.isEmpty() ? null : found.get(which % found.size());
        }

        private void arrive(int which) {
            if (those(ex -> !ex.ended).size() > MOST_OPEN) {
                return;
            }
            int many = which % 7 == 0 ? 12 : 1;
            for (int i = 0; i < many; i++) {
                Seen ex = new Seen();
                ex.group = told.groups.get(which % told.groups.size());
                ex.customer = which % 3;
                ex.arrivedAt = now - (which > 200 ? (which - 200L) * 20 * MS : 0);
                ex.sizeKb = 1 + which % 40;
                ex.declaredCoreTime = which % 5 == 0 ? 100L * MS : 0;
                ex.retry = told.callersMarkRetries && which % 2 == 0;
                ex.callerDeadline = which % 11 == 0 ? ex.arrivedAt + 700 * MS : 0;
                ex.due = ex.callerDeadline > 0 ? ex.callerDeadline : ex.arrivedAt + ex.group.asyncTimeout;
                if (ex.group.effect == Effect.DEDUPLICATED && which % 3 == 0) {
                    Seen prior = one(which, each -> each.remembered && each.group == ex.group);
                    if (prior != null) {
                        ex.repeat = true;
                        ex.original = prior;
                        ex.ranBefore = prior.begun > 0 || prior.ranBefore;
                    }
                }
                all.add(ex);
                module.onArrival(ex, now);
            }
        }

        private void end(int which) {
            Seen ex = one(which, each -> !each.ended && (each.running || each.replaying));
            if (ex == null) {
                return;
            }
            Outcome outcome = switch (which % 8) {
                case 0 -> Outcome.ERRORED;
                case 1 -> Outcome.CONNECTION_LOST;
                case 2 -> ex.interrupted ? Outcome.PREEMPTED : Outcome.COMPLETED;
                case 3 -> ex.answers > 0 || ex.left ? Outcome.NOT_STARTED : Outcome.COMPLETED;
                default -> ex.interrupted ? Outcome.PREEMPTED : Outcome.COMPLETED;
            };
            over(ex, outcome, 1 + which * MS);
        }

        private void over(Seen ex, Outcome outcome, long took) {
            ex.running = false;
            ex.replaying = false;
            boolean stopped = outcome == Outcome.PREEMPTED;
            boolean owed = ex.answers == 0 && !ex.left;
            ex.interrupted = false;
            ex.paused = stopped && owed && told.preemption == Deployment.Preemption.PAUSE;
            ex.ended = !(stopped && owed);
            module.onRunEnded(ex, outcome, took, now);
            if (!stopped && owed) {
                // The owner answers with what the run came to.
                ex.answers++;
            }
        }

        private void wantCall(int which) {
            Seen ex = one(which, each -> each.running && !each.interrupted && each.group.mayCall);
            if (ex != null) {
                ex.running = false;
                ex.atCall = true;
                module.onCallRequested(ex, now);
            }
        }

        private void endCall(int which) {
            Seen ex = one(which, each -> each.calling);
            if (ex == null) {
                return;
            }
            Outcome[] ways = {Outcome.COMPLETED, Outcome.COMPLETED, Outcome.CALLEE_SATURATED, Outcome.TIMED_OUT,
                    Outcome.CONNECTION_REFUSED,
                Outcome.ERRORED, Outcome.CONNECTION_LOST};
            Outcome outcome = ways[which % ways.length];
            ex.calling = false;
            inHand--;
            ex.running = outcome == Outcome.COMPLETED;
            ex.atCall = !ex.running;
            module.onCallEnded(ex, outcome, which * MS, now);
        }

        private void leave(int which) {
            Seen ex = one(which, each -> !each.ended && each.answers == 0 && !each.left);
            if (ex != null) {
                ex.left = true;
                if (!ex.running && !ex.atCall && !ex.calling) {
                    ex.ended = true;
                    ex.replaying = false;
                }
                module.onCallerDisconnected(ex, now);
            }
        }

        /** Time passes to the next look at the most, which comes a little late at times. */
        private void pass(int which) {
            long next = now + 1 + which * (long) which / 8;
            if (timerAt <= next) {
                now = Math.max(now, timerAt + (which % 9 == 0 ? 80 * MS : 0));
                timerAt = Long.MAX_VALUE;
                double load = draws.octet() / 128.0;
                module.onTick(Math.min(1, load), load * told.cores * 2, draws.octet(), now);
            } else {
                now = next;
            }
        }

        private void decide() {
            int decisions = 0;
            while (module.next(this)) {
                if (++decisions > MOST_DECISIONS) {
                    throw new Finding("decisions go on without an end");
                }
            }
        }

        private void check() {
            if (timerAt == Long.MAX_VALUE) {
                throw new Finding("no look is asked for any more");
            }
            for (Seen ex : all) {
                boolean owed = ex.answers == 0 && !ex.left;
                if (owed && now > ex.due && now > ex.arrivedAt) {
                    throw new Finding("an exchange is past its due time without an answer");
                }
                if (owed && stopAt > 0 && now >= stopAt) {
                    throw new Finding("an exchange has no answer at the stop");
                }
            }
        }

        /** All that runs ends, time goes on: nothing may be left. */
        private void settle() {
            for (int i = 0; i < 200 && !those(ex -> !ex.ended).isEmpty(); i++) {
                if (stopAt > 0 && now >= stopAt) {
                    return;
                }
                for (Seen ex : those(each -> each.calling)) {
                    ex.calling = false;
                    inHand--;
                    ex.running = true;
                    module.onCallEnded(ex, Outcome.COMPLETED, MS, now);
                    decide();
                }
                for (Seen ex : those(each -> each.running || each.replaying)) {
                    over(ex, ex.interrupted ? Outcome.PREEMPTED : Outcome.COMPLETED, MS);
                    decide();
                }
                for (Seen ex : those(each -> each.atCall && (each.answers > 0 || each.left))) {
                    ex.atCall = false;
                    over(ex, Outcome.CONNECTION_LOST, MS);
                    decide();
                }
                now = Math.max(now, timerAt);
                timerAt = Long.MAX_VALUE;
                module.onTick(0.1, 0, 0, now);
                decide();
                check();
            }
            if (!those(ex -> !ex.ended).isEmpty()) {
                throw new Finding("an exchange never comes to its end");
            }
        }

        private Seen of(Exchange ex) {
            return (Seen) ex;
        }

        private void answer(Seen ex, String how) {
            if (ex.left) {
                throw new Finding(how + " after its caller had left");
            }
            if (ex.answers++ > 0) {
                throw new Finding(how + " after an answer");
            }
        }

        private int running() {
            return those(ex -> ex.running).size();
        }

        @Override
        public void begin(Exchange exchange) {
            Seen ex = of(exchange);
            if (ex.running || ex.atCall || ex.calling || ex.replaying || ex.ended) {
                throw new Finding("something is begun that is not held");
            }
            if (ex.answers > 0 || ex.left) {
                throw new Finding("something is begun that is answered");
            }
            if (ex.group.effect != Effect.REPEATABLE && ex.begun > 0 && !ex.paused) {
                throw new Finding("an effect happens twice");
            }
            if (ex.repeat && ex.ranBefore) {
                throw new Finding("a repeat is run");
            }
            if (leftAt > 0 && ex.arrivedAt > leftAt + told.drainGrace) {
                throw new Finding("something is begun that arrived past the grace");
            }
            if (running() + 1 > Math.max(1, told.sustainableRunsPerCore * told.cores)) {
                throw new Finding("more is begun than the cores survive");
            }
            ex.begun++;
            ex.running = true;
            ex.paused = false;
            double memory = 0;
            for (Seen each : all) {
                boolean grown = each.running || each.atCall || each.calling || each.paused;
                memory += each.ended ? 0 : grown ? each.sizeKb * told.runMemoryFactor : each.sizeKb;
            }
            if (memory > told.memoryKb) {
                throw new Finding("more is begun than the memory holds");
            }
        }

        @Override
        public void reject(Exchange exchange, long away, boolean giveUp) {
            Seen ex = of(exchange);
            if (ex.running || ex.atCall || ex.calling) {
                throw new Finding("something is denied that runs");
            }
            if (ex.begun > 0 && ex.group.effect != Effect.REPEATABLE) {
                throw new Finding("something is denied that has run");
            }
            if (away < 0 || away > told.maxRetryAfter) {
                throw new Finding("advice beyond what is allowed");
            }
            answer(ex, "a denial");
            ex.ended = true;
        }

        @Override
        public void terminate(Exchange exchange) {
            Seen ex = of(exchange);
            answer(ex, "an error");
            ex.ended = !ex.running && !ex.atCall && !ex.calling;
            ex.replaying = false;
        }

        @Override
        public void interrupt(Exchange exchange) {
            Seen ex = of(exchange);
            if (told.preemption == Deployment.Preemption.NONE || !ex.running) {
                throw new Finding("something is interrupted that can't be");
            }
            ex.interrupted = true;
        }

        @Override
        public void call(Exchange exchange, long until) {
            Seen ex = of(exchange);
            if (!ex.atCall || ex.calling) {
                throw new Finding("a call is made that nobody wants");
            }
            if (ex.answers > 0 || ex.left) {
                throw new Finding("a call is made for what is answered");
            }
            ex.atCall = false;
            ex.calling = true;
            inHand++;
            if (told.sharedDependency && inHand > Math.max(1, told.callQuota)) {
                throw new Finding("more calls than this server's part");
            }
        }

        @Override
        public void skipCall(Exchange exchange) {
            Seen ex = of(exchange);
            if (!ex.atCall || ex.group.benefitWithoutCall <= 0) {
                throw new Finding("a call is left out that can't be");
            }
            ex.atCall = false;
            ex.running = true;
        }

        @Override
        public void replay(Exchange exchange) {
            Seen ex = of(exchange);
            if (!ex.repeat || ex.begun > 0) {
                throw new Finding("something is replayed that repeats nothing");
            }
            ex.replaying = true;
        }

        @Override
        public void storeDedupKey(Exchange exchange, long span) {
            Seen ex = of(exchange);
            if (ex.group.effect != Effect.DEDUPLICATED || ex.remembered || span <= 0) {
                throw new Finding("something is remembered that needs it not");
            }
            ex.remembered = true;
        }

        @Override
        public void dropDedupKey(Exchange exchange) {
            Seen ex = of(exchange);
            if (!ex.remembered || ex.begun > 0) {
                throw new Finding("something is forgotten that must be known");
            }
            ex.remembered = false;
        }

        @Override
        public void setHealth(boolean good) {
            if (good && leftAt > 0) {
                throw new Finding("health is good on the way out");
            }
        }

        @Override
        public void publishLoadHint(double value) {
            if (told.loadHint == Deployment.LoadHint.NONE || !(value >= 0 && value < 1e9)) {
                throw new Finding("a free value that means nothing");
            }
        }

        @Override
        public void setIdleTime(long span) {
            if (span < Math.min(100, told.callerIdleTime) || span > told.callerIdleTime) {
                throw new Finding("an idle time out of its range");
            }
        }

        @Override
        public void scheduleTick(long span) {
            if (timerAt != Long.MAX_VALUE || span <= 0) {
                throw new Finding("two timers run");
            }
            timerAt = now + span;
        }
    }
}
