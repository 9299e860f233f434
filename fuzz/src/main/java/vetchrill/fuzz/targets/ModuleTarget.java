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
import vetchrill.fuzz.FuzzedDataProvider;
import vetchrill.fuzz.InvariantViolation;
import vetchrill.fuzz.Target;

/**
 * The decision module, for any deployment and any legal order of inputs, checked against the four rules and the
 * contract of its host. The checking host knows only the inputs and the decisions and shares no code with the module.
 */
public final class ModuleTarget implements Target {
    private static final int TENTHS_PER_MS = 10;
    /** More decisions than this after one input mean that the module is in an endless loop. */
    private static final int MAX_DECISIONS = 20_000;
    private static final int MAX_OPEN_EXCHANGES = 400;

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
            SplittableRandom random = new SplittableRandom(i);
            for (int j = 0; j < seed.length; j++) {
                seed[j] = (byte) random.nextInt();
            }
            seeds.add(seed);
        }
        return seeds;
    }

    /** Copies one 5-byte step over another, sometimes with a random kind. */
    @Override
    public byte[] mutate(byte[] input, SplittableRandom random) {
        int stepCount = (input.length - OracleHost.HEADER_BYTES) / OracleHost.STEP_BYTES;
        if (stepCount < 2) {
            return null;
        }
        byte[] out = input.clone();
        int from = OracleHost.HEADER_BYTES + OracleHost.STEP_BYTES * random.nextInt(stepCount);
        int to = OracleHost.HEADER_BYTES + OracleHost.STEP_BYTES * random.nextInt(stepCount);
        System.arraycopy(input, from, out, to, OracleHost.STEP_BYTES);
        if (random.nextInt(3) == 0) {
            out[to] = (byte) random.nextInt();
        }
        return out;
    }

    @Override
    public void run(byte[] input) {
        new OracleHost(new FuzzedDataProvider(input)).run();
    }

    /** An exchange with the state that the inputs and decisions have given it. */
    private static final class TrackedExchange extends Exchange {
        int answerCount;
        int runCount;
        boolean running;
        boolean interrupted;
        /** Whether a call was requested and not yet started or skipped. */
        boolean awaitingCall;
        boolean callInProgress;
        boolean callerDisconnected;
        boolean replaying;
        boolean keyStored;
        boolean paused;
        boolean finished;
        long answerDeadline;
        /** Whether the exchange that this one repeats has run before. */
        boolean originalRan;
    }

    /** Plays the inputs and checks every decision. */
    private static final class OracleHost implements Host {
        static final int HEADER_BYTES = 24;
        static final int STEP_BYTES = 5;
        private final FuzzedDataProvider data;
        private final Deployment deployment = new Deployment();
        private final List<TrackedExchange> exchanges = new ArrayList<>();
        private OverloadController controller;
        private long now = 1_000_000;
        private long nextTickAt = Long.MAX_VALUE;
        private long drainStartedAt;
        private long stopAt;
        private int callsInProgress;

        OracleHost(FuzzedDataProvider data) {
            this.data = data;
        }

        void run() {
            long seed = decodeDeployment();
            controller = new OverloadController(deployment, seed, now);
            runDecisions();
            while (!data.isExhausted() && (stopAt == 0 || now < stopAt)) {
                applyStep();
                runDecisions();
                checkDeadlines();
            }
            finishAll();
        }

        private long decodeDeployment() {
            long seed = data.nextUnsignedByte();
            deployment.groups = new ArrayList<>();
            int groups = 1 + data.nextInt(3);
            deployment.cores = 1 + data.nextInt(4);
            deployment.callerCount = 1 + data.nextInt(20);
            deployment.instanceCount = 1 + data.nextInt(30);
            deployment.memoryKb = data.nextLong(200, 50_000);
            deployment.runMemoryFactor = 1 + data.nextInt(6);
            deployment.dedupKeyKb = data.nextInt(20);
            deployment.callerIdleTime = data.nextLong(100 * TENTHS_PER_MS, 20_000 * TENTHS_PER_MS);
            deployment.hostQuantum = 5 * TENTHS_PER_MS;
            deployment.preemption = Deployment.Preemption.values()[data.nextInt(3)];
            deployment.loadHint = Deployment.LoadHint.values()[data.nextInt(3)];
            int flags = data.nextUnsignedByte();
            deployment.sharedDependency = (flags & 1) == 1;
            deployment.discoveryFollowsHealth = (flags & 2) == 2;
            deployment.startsCold = (flags & 4) == 4;
            deployment.backendTier = (flags & 8) == 8;
            deployment.callersMarkRetries = (flags & 16) == 16;
            deployment.benefitScalesWithWork = (flags & 32) == 32;
            deployment.callQuota = data.nextInt(8) / 2.0;
            deployment.callQuotaWindow = data.nextLong(0, 2_000 * TENTHS_PER_MS);
            deployment.abandonedCallLinger = data.nextLong(0, 1_000 * TENTHS_PER_MS);
            deployment.coldSpeedRatio = 0.2 + data.nextInt(9) / 10.0;
            deployment.warmUpTime = data.nextLong(0, 10_000 * TENTHS_PER_MS);
            deployment.sustainableRunsPerCore = 2 + data.nextInt(9);
            deployment.drainGrace = data.nextLong(0, 3_000 * TENTHS_PER_MS);
            deployment.maxRetryAfter = data.nextLong(0, 5_000 * TENTHS_PER_MS);
            deployment.allowancePerSecond = new double[] {data.nextInt(200), 20};
            deployment.benefitBeyondShare = 0.1;
            for (int i = 0; i < groups; i++) {
                EndpointGroup group = new EndpointGroup();
                group.effect = Effect.values()[(int) (seed + i) % 3];
                group.sloTime = (300 + 400L * i) * TENTHS_PER_MS;
                group.asyncTimeout = group.sloTime * 2 + 600 * TENTHS_PER_MS;
                group.benefit = 1 + i;
                group.lateBenefitShare = i * 0.2;
                group.dedupWindow = 5_000 * TENTHS_PER_MS;
                group.mayCall = i != 1;
                group.benefitWithoutCall = i == 2 ? 0.5 : 0;
                deployment.groups.add(group);
            }
            return seed;
        }

        private void applyStep() {
            int kind = data.nextInt(16);
            int selector = data.nextUnsignedByte();
            switch (kind) {
                case 0, 1, 2, 3 -> arrive(selector);
                case 4, 5, 6 -> endRun(selector);
                case 7 -> requestCall(selector);
                case 8 -> endCall(selector);
                case 9 -> disconnectCaller(selector);
                case 10 -> {
                    if (drainStartedAt == 0 && selector % 4 == 0) {
                        drainStartedAt = now;
                        stopAt = now + deployment.drainGrace + data.nextLong(400 * TENTHS_PER_MS,
                                6_000 * TENTHS_PER_MS);
                        controller.startDrain(stopAt, now);
                        return;
                    }
                    advanceTime(selector);
                }
                default -> advanceTime(selector);
            }
            data.nextUnsignedByte();
        }

        private List<TrackedExchange> matching(java.util.function.Predicate<TrackedExchange> condition) {
            return exchanges.stream().filter(condition).toList();
        }

        private TrackedExchange pickMatching(int selector, java.util.function.Predicate<TrackedExchange> condition) {
            List<TrackedExchange> candidates = matching(condition);
            return candidates.isEmpty() ? null : candidates.get(selector % candidates.size());
        }

        private void arrive(int selector) {
            if (matching(ex -> !ex.finished).size() > MAX_OPEN_EXCHANGES) {
                return;
            }
            int count = selector % 7 == 0 ? 12 : 1;
            for (int i = 0; i < count; i++) {
                TrackedExchange ex = new TrackedExchange();
                ex.group = deployment.groups.get(selector % deployment.groups.size());
                ex.customer = selector % 3;
                ex.arrivedAt = now - (selector > 200 ? (selector - 200L) * 20 * TENTHS_PER_MS : 0);
                ex.sizeKb = 1 + selector % 40;
                ex.declaredCoreTime = selector % 5 == 0 ? 100L * TENTHS_PER_MS : 0;
                ex.retry = deployment.callersMarkRetries && selector % 2 == 0;
                ex.callerDeadline = selector % 11 == 0 ? ex.arrivedAt + 700 * TENTHS_PER_MS : 0;
                ex.answerDeadline = ex.callerDeadline > 0 ? ex.callerDeadline : ex.arrivedAt + ex.group.asyncTimeout;
                if (ex.group.effect == Effect.DEDUPLICATED && selector % 3 == 0) {
                    TrackedExchange original = pickMatching(selector, each -> each.keyStored && each.group == ex.group);
                    if (original != null) {
                        ex.repeat = true;
                        ex.original = original;
                        ex.originalRan = original.runCount > 0 || original.originalRan;
                    }
                }
                exchanges.add(ex);
                controller.onArrival(ex, now);
            }
        }

        private void endRun(int selector) {
            TrackedExchange ex = pickMatching(selector, each -> !each.finished && (each.running || each.replaying));
            if (ex == null) {
                return;
            }
            Outcome outcome = switch (selector % 8) {
                case 0 -> Outcome.ERRORED;
                case 1 -> Outcome.CONNECTION_LOST;
                case 2 -> ex.interrupted ? Outcome.PREEMPTED : Outcome.COMPLETED;
                case 3 -> ex.answerCount > 0 || ex.callerDisconnected ? Outcome.NOT_STARTED : Outcome.COMPLETED;
                default -> ex.interrupted ? Outcome.PREEMPTED : Outcome.COMPLETED;
            };
            reportRunEnd(ex, outcome, 1 + selector * TENTHS_PER_MS);
        }

        private void reportRunEnd(TrackedExchange ex, Outcome outcome, long duration) {
            ex.running = false;
            ex.replaying = false;
            boolean preempted = outcome == Outcome.PREEMPTED;
            boolean unanswered = ex.answerCount == 0 && !ex.callerDisconnected;
            ex.interrupted = false;
            ex.paused = preempted && unanswered && deployment.preemption == Deployment.Preemption.PAUSE;
            ex.finished = !(preempted && unanswered);
            controller.onRunEnded(ex, outcome, duration, now);
            if (!preempted && unanswered) {
                // The owner of the exchange answers it with the outcome of the run.
                ex.answerCount++;
            }
        }

        private void requestCall(int selector) {
            TrackedExchange ex = pickMatching(selector,
                    each -> each.running && !each.interrupted && each.group.mayCall);
            if (ex != null) {
                ex.running = false;
                ex.awaitingCall = true;
                controller.onCallRequested(ex, now);
            }
        }

        private void endCall(int selector) {
            TrackedExchange ex = pickMatching(selector, each -> each.callInProgress);
            if (ex == null) {
                return;
            }
            Outcome[] outcomes = {Outcome.COMPLETED, Outcome.COMPLETED, Outcome.CALLEE_SATURATED, Outcome.TIMED_OUT,
                    Outcome.CONNECTION_REFUSED,
                Outcome.ERRORED, Outcome.CONNECTION_LOST};
            Outcome outcome = outcomes[selector % outcomes.length];
            ex.callInProgress = false;
            callsInProgress--;
            ex.running = outcome == Outcome.COMPLETED;
            ex.awaitingCall = !ex.running;
            controller.onCallEnded(ex, outcome, selector * TENTHS_PER_MS, now);
        }

        private void disconnectCaller(int selector) {
            TrackedExchange ex = pickMatching(selector,
                    each -> !each.finished && each.answerCount == 0 && !each.callerDisconnected);
            if (ex != null) {
                ex.callerDisconnected = true;
                if (!ex.running && !ex.awaitingCall && !ex.callInProgress) {
                    ex.finished = true;
                    ex.replaying = false;
                }
                controller.onCallerDisconnected(ex, now);
            }
        }

        /** Advances the time, at most to the next tick, which is sometimes late. */
        private void advanceTime(int selector) {
            long later = now + 1 + selector * (long) selector / 8;
            if (nextTickAt <= later) {
                now = Math.max(now, nextTickAt + (selector % 9 == 0 ? 80 * TENTHS_PER_MS : 0));
                nextTickAt = Long.MAX_VALUE;
                double load = data.nextUnsignedByte() / 128.0;
                controller.onTick(Math.min(1, load), load * deployment.cores * 2, data.nextUnsignedByte(), now);
            } else {
                now = later;
            }
        }

        private void runDecisions() {
            int decisions = 0;
            while (controller.next(this)) {
                if (++decisions > MAX_DECISIONS) {
                    throw new InvariantViolation("decisions do not end");
                }
            }
        }

        private void checkDeadlines() {
            if (nextTickAt == Long.MAX_VALUE) {
                throw new InvariantViolation("no tick is scheduled any more");
            }
            for (TrackedExchange ex : exchanges) {
                boolean unanswered = ex.answerCount == 0 && !ex.callerDisconnected;
                if (unanswered && now > ex.answerDeadline && now > ex.arrivedAt) {
                    throw new InvariantViolation("an exchange is past its deadline without an answer");
                }
                if (unanswered && stopAt > 0 && now >= stopAt) {
                    throw new InvariantViolation("an exchange has no answer at the end of the drain");
                }
            }
        }

        /** Ends all runs and calls and advances the time until every exchange is finished. */
        private void finishAll() {
            for (int i = 0; i < 200 && !matching(ex -> !ex.finished).isEmpty(); i++) {
                if (stopAt > 0 && now >= stopAt) {
                    return;
                }
                for (TrackedExchange ex : matching(each -> each.callInProgress)) {
                    ex.callInProgress = false;
                    callsInProgress--;
                    ex.running = true;
                    controller.onCallEnded(ex, Outcome.COMPLETED, TENTHS_PER_MS, now);
                    runDecisions();
                }
                for (TrackedExchange ex : matching(each -> each.running || each.replaying)) {
                    reportRunEnd(ex, ex.interrupted ? Outcome.PREEMPTED : Outcome.COMPLETED, TENTHS_PER_MS);
                    runDecisions();
                }
                for (TrackedExchange ex
                        : matching(each -> each.awaitingCall && (each.answerCount > 0 || each.callerDisconnected))) {
                    ex.awaitingCall = false;
                    reportRunEnd(ex, Outcome.CONNECTION_LOST, TENTHS_PER_MS);
                    runDecisions();
                }
                now = Math.max(now, nextTickAt);
                nextTickAt = Long.MAX_VALUE;
                controller.onTick(0.1, 0, 0, now);
                runDecisions();
                checkDeadlines();
            }
            if (!matching(ex -> !ex.finished).isEmpty()) {
                throw new InvariantViolation("an exchange never ends");
            }
        }

        private TrackedExchange tracked(Exchange ex) {
            return (TrackedExchange) ex;
        }

        private void recordAnswer(TrackedExchange ex, String answerName) {
            if (ex.callerDisconnected) {
                throw new InvariantViolation(answerName + " after its caller has disconnected");
            }
            if (ex.answerCount++ > 0) {
                throw new InvariantViolation(answerName + " after an answer");
            }
        }

        private int runningCount() {
            return matching(ex -> ex.running).size();
        }

        @Override
        public void begin(Exchange exchange) {
            TrackedExchange ex = tracked(exchange);
            if (ex.running || ex.awaitingCall || ex.callInProgress || ex.replaying || ex.finished) {
                throw new InvariantViolation("an exchange is started that is not pending");
            }
            if (ex.answerCount > 0 || ex.callerDisconnected) {
                throw new InvariantViolation("an exchange is started that has an answer");
            }
            if (ex.group.effect != Effect.REPEATABLE && ex.runCount > 0 && !ex.paused) {
                throw new InvariantViolation("an effect happens twice");
            }
            if (ex.repeat && ex.originalRan) {
                throw new InvariantViolation("a repeated exchange is run again");
            }
            if (drainStartedAt > 0 && ex.arrivedAt > drainStartedAt + deployment.drainGrace) {
                throw new InvariantViolation("an exchange that arrived after the drain grace period is started");
            }
            if (runningCount() + 1 > Math.max(1, deployment.sustainableRunsPerCore * deployment.cores)) {
                throw new InvariantViolation("more runs are started than the cores can sustain");
            }
            ex.runCount++;
            ex.running = true;
            ex.paused = false;
            double usedKb = 0;
            for (TrackedExchange each : exchanges) {
                boolean hasRunMemory = each.running || each.awaitingCall || each.callInProgress || each.paused;
                usedKb += each.finished ? 0 : hasRunMemory ? each.sizeKb * deployment.runMemoryFactor : each.sizeKb;
            }
            if (usedKb > deployment.memoryKb) {
                throw new InvariantViolation("more runs are started than fit in memory");
            }
        }

        @Override
        public void reject(Exchange exchange, long retryAfter, boolean lastAnswer) {
            TrackedExchange ex = tracked(exchange);
            if (ex.running || ex.awaitingCall || ex.callInProgress) {
                throw new InvariantViolation("an exchange that is running is rejected");
            }
            if (ex.runCount > 0 && ex.group.effect != Effect.REPEATABLE) {
                throw new InvariantViolation("an exchange that has run is rejected");
            }
            if (retryAfter < 0 || retryAfter > deployment.maxRetryAfter) {
                throw new InvariantViolation("a retry-after delay is out of its range");
            }
            recordAnswer(ex, "a rejection");
            ex.finished = true;
        }

        @Override
        public void terminate(Exchange exchange) {
            TrackedExchange ex = tracked(exchange);
            recordAnswer(ex, "an error");
            ex.finished = !ex.running && !ex.awaitingCall && !ex.callInProgress;
            ex.replaying = false;
        }

        @Override
        public void interrupt(Exchange exchange) {
            TrackedExchange ex = tracked(exchange);
            if (deployment.preemption == Deployment.Preemption.NONE || !ex.running) {
                throw new InvariantViolation("a run is interrupted that can't be");
            }
            ex.interrupted = true;
        }

        @Override
        public void call(Exchange exchange, long until) {
            TrackedExchange ex = tracked(exchange);
            if (!ex.awaitingCall || ex.callInProgress) {
                throw new InvariantViolation("a call is made that was not requested");
            }
            if (ex.answerCount > 0 || ex.callerDisconnected) {
                throw new InvariantViolation("a call is made for an exchange that is already answered");
            }
            ex.awaitingCall = false;
            ex.callInProgress = true;
            callsInProgress++;
            if (deployment.sharedDependency && callsInProgress > Math.max(1, deployment.callQuota)) {
                throw new InvariantViolation("more calls than the quota of this instance");
            }
        }

        @Override
        public void skipCall(Exchange exchange) {
            TrackedExchange ex = tracked(exchange);
            if (!ex.awaitingCall || ex.group.benefitWithoutCall <= 0) {
                throw new InvariantViolation("a call is skipped that can't be");
            }
            ex.awaitingCall = false;
            ex.running = true;
        }

        @Override
        public void replay(Exchange exchange) {
            TrackedExchange ex = tracked(exchange);
            if (!ex.repeat || ex.runCount > 0) {
                throw new InvariantViolation("an exchange is replayed that is not a repeat");
            }
            ex.replaying = true;
        }

        @Override
        public void storeDedupKey(Exchange exchange, long span) {
            TrackedExchange ex = tracked(exchange);
            if (ex.group.effect != Effect.DEDUPLICATED || ex.keyStored || span <= 0) {
                throw new InvariantViolation("a deduplication key is stored without need");
            }
            ex.keyStored = true;
        }

        @Override
        public void dropDedupKey(Exchange exchange) {
            TrackedExchange ex = tracked(exchange);
            if (!ex.keyStored || ex.runCount > 0) {
                throw new InvariantViolation("a deduplication key is dropped that is still needed");
            }
            ex.keyStored = false;
        }

        @Override
        public void setHealth(boolean good) {
            if (good && drainStartedAt > 0) {
                throw new InvariantViolation("health is reported as good during the drain");
            }
        }

        @Override
        public void publishLoadHint(double hint) {
            if (deployment.loadHint == Deployment.LoadHint.NONE || !(hint >= 0 && hint < 1e9)) {
                throw new InvariantViolation("a load hint is out of its range");
            }
        }

        @Override
        public void setIdleTime(long span) {
            if (span < Math.min(100, deployment.callerIdleTime) || span > deployment.callerIdleTime) {
                throw new InvariantViolation("an idle time is out of its range");
            }
        }

        @Override
        public void scheduleTick(long span) {
            if (nextTickAt != Long.MAX_VALUE || span <= 0) {
                throw new InvariantViolation("two ticks are scheduled at once, or one is not in the future");
            }
            nextTickAt = now + span;
        }
    }
}
