package vetchrill.model;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import vetchrill.control.Exchange.Outcome;
import vetchrill.fleet.Fleet;
import vetchrill.fleet.Fleet.StubPool;
import vetchrill.fleet.Fault;

/**
 * A fleet in virtual time: real modules on modelled machines, stubs of declared habits, a roster that lags, and what
 * goes wrong by a script. One thread plays one world; the same seed gives the same run whatever runs beside it.
 */
public final class FleetSimulation {
    /** An asking of the model, with the core time that it needs wherever it is run. */
    static final class SimulatedRequest extends ClientRequest {
        final double coreTime;
        final boolean callsTier;

        SimulatedRequest(int group, int customer, long subject, double sizeKb, int bodyBytes, long receivedAt,
                long deadline, double coreTime,
                boolean callsTier) {
            super(group, customer, subject, sizeKb, bodyBytes, receivedAt, deadline);
            this.coreTime = coreTime;
            this.callsTier = callsTier;
        }
    }

    final Fleet fleet;
    final EventQueue events;
    final SimulatedInstance[] instances;
    final ServiceStatistics statistics;
    final PeakUsage peakUsage = new PeakUsage();
    private final SimulatedStub[] stubs;
    private final boolean[] listed;
    private final int[] reportedQueues;
    private final Workload workload;
    /** Null where first tries are drawn. */
    private List<Workload.RecordedRequest> recorded;
    private final SplittableRandom random;
    private final long seed;
    private final long duration;
    private final long countFrom;
    private long burstChanges;
    private double burstFactor = 1;
    private long attempts;
    long deniedAttempts;
    private int callsInFlight;
    /** When each batch of the rolling deploy begins, if there is one. */
    private final List<Long> batchStarts = new ArrayList<>();
    private long eventCount;

    /**
     * {@code span} of new exchanges, in tenths of a millisecond; peaks are counted from {@code countFrom} on. Past the
     * span the run goes on until all that was asked for has ended.
     */
    public FleetSimulation(Fleet fleet, Workload workload, long duration, long countFrom, long seed,
            EventQueue events) {
        this.fleet = fleet;
        this.workload = workload;
        this.duration = duration;
        this.countFrom = countFrom;
        this.seed = seed;
        this.events = events;
        random = new SplittableRandom(seed);
        statistics = new ServiceStatistics(fleet, duration);
        List<SimulatedInstance> all = new ArrayList<>();
        SplittableRandom speedRandom = random.split();
        for (Fleet.InstancePlacement place : fleet.placements()) {
            double speed = Math.max(0.2,
                    1 + place.kind().speedCv() * Workload.ConfiguredWorkload.nextGaussian(speedRandom));
            all.add(new SimulatedInstance(this, all.size(), place.zone(), place.kind(), speed, fleet.stubCount()));
        }
        instances = all.toArray(new SimulatedInstance[0]);
        listed = new boolean[instances.length];
        reportedQueues = new int[instances.length];
        java.util.Arrays.fill(listed, true);
        StubPolicy.InstanceDirectory directory = StubPolicy.InstanceDirectory.of(listed);
        stubs = new SimulatedStub[fleet.stubCount()];
        int number = 0;
        for (StubPool pool : fleet.pools) {
            for (int i = 0; i < pool.count(); i++) {
                stubs[number] = new SimulatedStub(this, pool, number,
                        new StubPolicy(pool, i, directory, reportedQueues, random.split()));
                number++;
            }
        }
    }

    /** Plays the whole span. */
    public SimulationResult run() {
        for (SimulatedInstance instance : instances) {
            instance.start(false, 0);
        }
        for (Fault fault : fleet.faults) {
            scheduleFault(fault);
        }
        if (workload.recordedRequests() != null) {
            recorded = workload.recordedRequests();
            if (!recorded.isEmpty()) {
                events.add(recorded.get(0).time(), new RecordedArrival(0));
            }
        } else if (workload.peakRate() > 0) {
            events.add(nextArrival(0), new GeneratedArrival());
        }
        if (fleet.pools.stream().anyMatch(pool -> pool.balancing() == Fleet.BalancingPolicy.REPORT)) {
            events.add(0, new QueueReport());
        }
        schedule(countFrom, now -> {
            for (SimulatedInstance instance : instances) {
                instance.startCounting(now);
            }
        });
        schedule(duration, this::countUsage);
        long end = duration + fleet.longestTimeout() + 10;
        for (Event event = events.poll(); event != null && event.time <= end; event = events.poll()) {
            event.execute(event.time);
            eventCount++;
        }
        return new SimulationResult(statistics, peakUsage, List.copyOf(batchStarts), eventCount);
    }

    private void countUsage(long now) {
        double counted = Math.max(1, now - countFrom);
        double busy = 0;
        double reading = 0;
        for (SimulatedInstance instance : instances) {
            double[] usage = instance.countedUsage(now);
            busy += usage[0] / counted;
            peakUsage.busiestInstanceCores = Math.max(peakUsage.busiestInstanceCores, usage[0] / counted);
            reading += usage[1] / counted / instance.kind.cores() / instance.kind.speed();
        }
        peakUsage.meanCoreUsage = busy / instances.length;
        peakUsage.readingShare = reading / instances.length;
        peakUsage.deniedAttempts = deniedAttempts / Math.max(1.0, attempts);
        long choices = 0;
        long allAvoided = 0;
        for (SimulatedStub stub : stubs) {
            choices += stub.policy.choices;
            allAvoided += stub.policy.choicesAllAvoided;
        }
        peakUsage.allAvoided = allAvoided / Math.max(1.0, choices);
    }

    boolean isCounting(long now) {
        return now >= countFrom && now <= duration;
    }

    long seedOf(int instance, int incarnation) {
        return new SplittableRandom(seed * 31 + instance * 1_000_003L + incarnation).nextLong();
    }

    long delay(int from, int to) {
        return from == to ? fleet.network.withinZone() : fleet.network.acrossZones();
    }

    /** An answer, or the end of a connection, on its way to the stub. */
    void deliverAnswer(SimulatedInstance instance, SimulatedInstance.SimulatedExchange ex, ClientRequest.Answer answer,
            long retryAfter, boolean doNotRetry, long now) {
        schedule(now + delay(ex.stub.zone, instance.zone),
                then -> ex.stub.onAnswer(instance, ex, answer, retryAfter, doNotRetry, then));
    }

    /** A way to say what happens at a time. */
    interface Action {
        void run(long now);
    }

    void schedule(long time, Action action) {
        events.add(time, new Event() {
            @Override
            public void execute(long now) {
                action.run(now);
            }
        });
    }

    // New exchanges.

    private long nextArrival(long now) {
        double peak = workload.peakRate() * Math.max(1, burstFactor);
        double at = now;
        do {
            at -= Math.log(1 - random.nextDouble()) / peak;
        } while (at < duration && random.nextDouble() * peak > workload.rate((long) at) * burstFactor);
        return (long) Math.ceil(at);
    }

    /** Counted as asked for; what is not known of it is drawn. */
    private SimulatedRequest newRequest(Workload.RecordedRequest first, long now) {
        Fleet.Group group = fleet.groups.get(first.group());
        double coreTime = Double.isNaN(first.coreTime()) ? workload.coreTime(first.group(), random) : first.coreTime();
        SimulatedRequest request = new SimulatedRequest(first.group(), first.customer(), first.subject(),
                first.sizeKb(), first.bodyBytes(), now,
                now + group.asyncTimeout(), coreTime, group.callShare() > 0 && random.nextDouble() < group.callShare());
        statistics.onRequest(request);
        return request;
    }

    private final class GeneratedArrival extends Event {
        private final long ofBurst = burstChanges;

        @Override
        public void execute(long now) {
            if (now >= duration || ofBurst != burstChanges) {
                return;
            }
            int group = workload.group(random);
            SimulatedRequest request = newRequest(new Workload.RecordedRequest(now, -1, group,
                    workload.customer(random), workload.subject(random),
                    workload.sizeKb(group, random), workload.bodyBytes(group, random), Double.NaN), now);
            stubs[random.nextInt(stubs.length)].send(request, now);
            events.add(nextArrival(now), new GeneratedArrival());
        }
    }

    /** One that is known, and after it the next; a burst sends some of them more than once, or leaves some out. */
    private final class RecordedArrival extends Event {
        private final int index;

        RecordedArrival(int index) {
            this.index = index;
        }

        @Override
        public void execute(long now) {
            if (now >= duration) {
                return;
            }
            Workload.RecordedRequest first = recorded.get(index);
            for (double remaining = burstFactor; remaining > 0 && random.nextDouble() < remaining; remaining--) {
                SimulatedRequest request = newRequest(first, now);
                int stub = first.stub() >= 0 && first.stub() < stubs.length ? first.stub()
                        : random.nextInt(stubs.length);
                stubs[stub].send(request, now);
            }
            if (index + 1 < recorded.size()) {
                events.add(recorded.get(index + 1).time(), new RecordedArrival(index + 1));
            }
        }
    }

    /** Another rate from now on; what was drawn for the old one is drawn again. */
    private void setBurst(double factor, long now) {
        burstFactor = factor;
        burstChanges++;
        if (recorded == null && workload.peakRate() * burstFactor > 0) {
            events.add(nextArrival(now), new GeneratedArrival());
        }
    }

    void countAttempt(long now) {
        if (isCounting(now)) {
            attempts++;
        }
    }

    private final class QueueReport extends Event {
        private static final long PERIOD_TENTHS_MS = 5_000;

        @Override
        public void execute(long now) {
            for (SimulatedInstance instance : instances) {
                reportedQueues[instance.number] = instance.up ? instance.openCount() : Integer.MAX_VALUE;
            }
            if (now < duration) {
                events.add(now + PERIOD_TENTHS_MS, new QueueReport());
            }
        }
    }

    // The roster.

    /** Stubs follow what a relay says of itself after the roster's lag. */
    void onHealthReport(SimulatedInstance instance, boolean isHealthy) {
        int incarnation = instance.incarnation;
        schedule(events.now() + (events.now() == 0 ? 0 : fleet.directoryDelays.reportLag()), now -> {
            if (instance.incarnation == incarnation && instance.up) {
                listed[instance.number] = isHealthy;
            }
        });
    }

    /** Nobody says that it is gone: it stays listed until the silence is noticed, unless it is back by then. */
    private void delistWhenSilent(SimulatedInstance instance, long now) {
        int incarnation = instance.incarnation;
        schedule(now + fleet.directoryDelays.silenceTimeout(), then -> {
            if (instance.incarnation == incarnation) {
                listed[instance.number] = false;
            }
        });
    }

    // What goes wrong.

    private void scheduleFault(Fault fault) {
        if (fault instanceof Fault.Burst each) {
            schedule(each.from(), now -> setBurst(each.rateFactor(), now));
            schedule(each.until(), now -> setBurst(1, now));
        } else if (fault instanceof Fault.Slowdown each) {
            List<SimulatedInstance> drawn = drawInstances(each.instanceRatio());
            schedule(each.from(), now -> drawn.forEach(instance -> instance.setSlowdown(each.slowdownFactor(), now)));
            schedule(each.until(), now -> drawn.forEach(instance -> instance.setSlowdown(1, now)));
        } else if (fault instanceof Fault.Crash each) {
            scheduleLoss(drawInstances(each.instanceRatio()), each.from(), each.until());
        } else if (fault instanceof Fault.ZoneLoss each) {
            List<SimulatedInstance> lost = new ArrayList<>();
            for (SimulatedInstance instance : instances) {
                if (each.zones().contains(fleet.zones.get(instance.zone).name())) {
                    lost.add(instance);
                }
            }
            scheduleLoss(lost, each.from(), each.until());
        } else if (fault instanceof Fault.ConnectionReset each) {
            schedule(each.from(), now -> resetConnections(each, new SplittableRandom(seed + 78), now));
        } else if (fault instanceof Fault.RollingDeploy each) {
            scheduleDeploy(each.from());
        }
    }

    private void resetConnections(Fault.ConnectionReset fault, SplittableRandom random, long now) {
        if (now < fault.until()) {
            instances[random.nextInt(instances.length)].resetConnection(random.nextInt(stubs.length), now);
            schedule(now + fault.period(), then -> resetConnections(fault, random, then));
        }
    }

    private List<SimulatedInstance> drawInstances(double ratio) {
        List<SimulatedInstance> remaining = new ArrayList<>(List.of(instances));
        List<SimulatedInstance> drawn = new ArrayList<>();
        SplittableRandom random = new SplittableRandom(seed + 77);
        for (long n = Math.round(ratio * instances.length); n > 0; n--) {
            drawn.add(remaining.remove(random.nextInt(remaining.size())));
        }
        return drawn;
    }

    private void scheduleLoss(List<SimulatedInstance> lost, long from, long until) {
        schedule(from, now -> {
            for (SimulatedInstance instance : lost) {
                if (instance.up) {
                    instance.crash(now);
                    delistWhenSilent(instance, now);
                }
                instance.machineLost = true;
            }
        });
        if (until < Long.MAX_VALUE) {
            schedule(until, now -> {
                for (SimulatedInstance instance : lost) {
                    instance.machineLost = false;
                    if (!instance.up) {
                        instance.start(true, now);
                    }
                }
            });
        }
    }

    /** It died of its own load: it is started again, cold, after a while. */
    void crashFromOverload(SimulatedInstance instance, long now) {
        instance.crash(now);
        delistWhenSilent(instance, now);
        scheduleRestart(instance, now + fleet.rules.restartDelay());
    }

    private void scheduleRestart(SimulatedInstance instance, long time) {
        int incarnation = instance.incarnation;
        schedule(time, now -> {
            if (instance.incarnation == incarnation && !instance.up && !instance.machineLost) {
                instance.start(true, now);
            }
        });
    }

    private void scheduleDeploy(long from) {
        long begins = from;
        for (List<Integer> batch : fleet.deployBatches()) {
            long batchStart = begins;
            begins += fleet.batchPeriod();
            batchStarts.add(batchStart);
            for (int instance : batch) {
                schedule(batchStart, now -> replace(instances[instance], now));
            }
        }
    }

    private void replace(SimulatedInstance instance, long now) {
        if (!instance.up) {
            return;
        }
        long stopAt = now + fleet.rules.stopTimeout();
        int incarnation = instance.incarnation;
        instance.startDrain(stopAt, now);
        schedule(stopAt, then -> {
            if (instance.incarnation == incarnation) {
                peakUsage.openAtStop += instance.stop(then);
                scheduleRestart(instance, then + fleet.deploy.startTime());
            }
        });
    }

    // The tier below.

    void callTier(SimulatedInstance instance, SimulatedInstance.SimulatedExchange ex, long deadline) {
        long now = events.now();
        if (fleet.tier == null || callsInFlight >= fleet.tier.slots()) {
            schedule(now + fleet.network.withinZone(),
                    then -> instance.onCallEnded(ex, Outcome.CALLEE_SATURATED, then - now, then));
            return;
        }
        callsInFlight++;
        if (isCounting(now)) {
            peakUsage.tierCalls = Math.max(peakUsage.tierCalls, callsInFlight / (double) fleet.tier.slots());
        }
        double variance = Math.log(1 + fleet.tier.callTimeCv() * fleet.tier.callTimeCv());
        long callDuration = Math.max(1, Math.round(fleet.tier.callTime()
                * Math.exp(Math.sqrt(variance) * Workload.ConfiguredWorkload.nextGaussian(random) - variance / 2)));
        schedule(now + callDuration, then -> callsInFlight--);
        boolean inTime = now + callDuration <= deadline;
        schedule(inTime ? now + callDuration : deadline,
                then -> instance.onCallEnded(ex, inTime ? Outcome.COMPLETED : Outcome.TIMED_OUT, then - now, then));
    }
}
