package vetchrill.model;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import vetchrill.control.Exchange.Outcome;
import vetchrill.fleet.Fault;
import vetchrill.fleet.Fleet;
import vetchrill.fleet.Fleet.StubPool;
import vetchrill.model.ClientRequest.Answer;
import vetchrill.model.SimulatedInstance.SimulatedExchange;

/**
 * A discrete-event simulation of a fleet in virtual time: the real overload controllers on modelled machines, stubs
 * that follow the policies of their pools, a directory that lags, and the faults of the fleet file. A simulation runs
 * on one thread and depends on its seed only, not on others that run beside it.
 *
 * <p>All times and durations are tenths of a millisecond since the start of the run.
 */
public final class FleetSimulation {
    /** A request with the core time that it needs on any instance. */
    static final class SimulatedRequest extends ClientRequest {
        final double coreTime;
        final boolean callsTier;

        SimulatedRequest(int group, int customer, long subject, double sizeKb, int bodyBytes, long receivedAt,
                long deadline, double coreTime, boolean callsTier) {
            super(group, customer, subject, sizeKb, bodyBytes, receivedAt, deadline);
            this.coreTime = coreTime;
            this.callsTier = callsTier;
        }
    }

    /** Variation between machines of a kind does not make one slower than this share of its speed. */
    private static final double MIN_MACHINE_SPEED_RATIO = 0.2;
    /** Time after the last timeout in which events are still executed. */
    private static final long END_MARGIN_TENTHS_MS = 10;
    /** Added to the seed, so that the draws of faults do not depend on those of the workload. */
    private static final int FAULT_SEED_OFFSET = 77;
    private static final int RESET_SEED_OFFSET = 78;

    final Fleet fleet;
    final EventQueue events;
    final SimulatedInstance[] instances;
    final ServiceStatistics statistics;
    final PeakUsage peakUsage = new PeakUsage();
    private final SimulatedStub[] stubs;
    /** By instance: whether stubs see it in the directory. */
    private final boolean[] listed;
    /** By instance: open exchanges as last reported to the stubs. */
    private final int[] reportedQueues;
    private final Workload workload;
    /** The requests that are replayed; null if they are drawn. */
    private List<Workload.RecordedRequest> recorded;
    private final SplittableRandom random;
    private final long seed;
    private final long duration;
    private final long countFrom;
    /** Changes of the burst factor so far; an arrival drawn before the last one is void. */
    private long burstChanges;
    private double burstFactor = 1;
    private long attempts;
    long deniedAttempts;
    private int callsInFlight;
    /** When the batches of rolling deploys begin. */
    private final List<Long> batchStarts = new ArrayList<>();
    private long eventCount;

    /**
     * Creates a simulation.
     *
     * @param duration time in which new requests arrive; the run continues until all of them have ended
     * @param countFrom start of the time over which the peak usage is counted
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
        for (Fleet.InstancePlacement placement : fleet.placements()) {
            double speed = Math.max(MIN_MACHINE_SPEED_RATIO,
                    1 + placement.kind().speedCv() * Workload.ConfiguredWorkload.nextGaussian(speedRandom));
            all.add(new SimulatedInstance(this, all.size(), placement.zone(), placement.kind(), speed,
                    fleet.stubCount()));
        }
        instances = all.toArray(new SimulatedInstance[0]);
        listed = new boolean[instances.length];
        reportedQueues = new int[instances.length];
        Arrays.fill(listed, true);
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

    /** Runs the simulation to its end. Called once. */
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
        long end = duration + fleet.longestTimeout() + END_MARGIN_TENTHS_MS;
        for (Event event = events.poll(); event != null && event.time <= end; event = events.poll()) {
            event.execute(event.time);
            eventCount++;
        }
        return new SimulationResult(statistics, peakUsage, List.copyOf(batchStarts), eventCount);
    }

    /** Computes the usage of the whole counted time. */
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

    /** Whether peaks are counted at a time. */
    boolean isCounting(long now) {
        return now >= countFrom && now <= duration;
    }

    /** Returns the seed of the controller of one incarnation. */
    long seedOf(int instance, int incarnation) {
        return new SplittableRandom(seed * 31 + instance * 1_000_003L + incarnation).nextLong();
    }

    /** Returns the network delay between two zones. */
    long delay(int from, int to) {
        return from == to ? fleet.network.withinZone() : fleet.network.acrossZones();
    }

    /** Sends an answer, or the reset of the connection, to the stub. */
    void deliverAnswer(SimulatedInstance instance, SimulatedExchange ex, Answer answer,
            long retryAfter, boolean doNotRetry, long now) {
        schedule(now + delay(ex.stub.zone, instance.zone),
                then -> ex.stub.onAnswer(instance, ex, answer, retryAfter, doNotRetry, then));
    }

    /** An action at a time of the simulation. */
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

    // Arrival of requests.

    /**
     * Draws the next arrival of a Poisson process with a variable rate, by thinning: arrivals are drawn at the peak
     * rate and accepted with the ratio of the rate to the peak.
     */
    private long nextArrival(long now) {
        double peak = workload.peakRate() * Math.max(1, burstFactor);
        double at = now;
        do {
            at -= Math.log(1 - random.nextDouble()) / peak;
        } while (at < duration && random.nextDouble() * peak > workload.rate((long) at) * burstFactor);
        return (long) Math.ceil(at);
    }

    /** Creates and counts a request; its core time is drawn if it was not recorded, and whether it calls the tier. */
    private SimulatedRequest newRequest(Workload.RecordedRequest values, long now) {
        Fleet.Group group = fleet.groups.get(values.group());
        double coreTime = Double.isNaN(values.coreTime()) ? workload.coreTime(values.group(), random)
                : values.coreTime();
        SimulatedRequest request = new SimulatedRequest(values.group(), values.customer(), values.subject(),
                values.sizeKb(), values.bodyBytes(), now, now + group.asyncTimeout(), coreTime,
                group.callShare() > 0 && random.nextDouble() < group.callShare());
        statistics.onRequest(request);
        return request;
    }

    /** The arrival of a request with random values; it schedules the next one. */
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

    /**
     * The arrival of a recorded request; it schedules the next one. A burst sends some requests more than once, or
     * omits some.
     */
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
            Workload.RecordedRequest recordedRequest = recorded.get(index);
            for (double remaining = burstFactor; remaining > 0 && random.nextDouble() < remaining; remaining--) {
                SimulatedRequest request = newRequest(recordedRequest, now);
                int stub = recordedRequest.stub() >= 0 && recordedRequest.stub() < stubs.length ? recordedRequest.stub()
                        : random.nextInt(stubs.length);
                stubs[stub].send(request, now);
            }
            if (index + 1 < recorded.size()) {
                events.add(recorded.get(index + 1).time(), new RecordedArrival(index + 1));
            }
        }
    }

    /** Changes the rate; the next arrival, drawn for the previous rate, is drawn again. */
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

    /** Reports the open exchanges of all instances to the stubs, periodically. */
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

    // The directory of instances.

    /** Stubs follow a health report after the lag of the directory; at the start of the run at once. */
    void onHealthReport(SimulatedInstance instance, boolean isHealthy) {
        int incarnation = instance.incarnation;
        schedule(events.now() + (events.now() == 0 ? 0 : fleet.directoryDelays.reportLag()), now -> {
            if (instance.incarnation == incarnation && instance.up) {
                listed[instance.number] = isHealthy;
            }
        });
    }

    /** After a crash without a report: the instance is listed until the silence timeout, unless it restarts before. */
    private void delistWhenSilent(SimulatedInstance instance, long now) {
        int incarnation = instance.incarnation;
        schedule(now + fleet.directoryDelays.silenceTimeout(), then -> {
            if (instance.incarnation == incarnation) {
                listed[instance.number] = false;
            }
        });
    }

    // Faults.

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
            schedule(each.from(), now -> resetConnections(each, new SplittableRandom(seed + RESET_SEED_OFFSET), now));
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

    /** Draws a share of the instances; the same ones for each fault of a run with an equal share. */
    private List<SimulatedInstance> drawInstances(double ratio) {
        List<SimulatedInstance> remaining = new ArrayList<>(List.of(instances));
        List<SimulatedInstance> drawn = new ArrayList<>();
        SplittableRandom random = new SplittableRandom(seed + FAULT_SEED_OFFSET);
        for (long n = Math.round(ratio * instances.length); n > 0; n--) {
            drawn.add(remaining.remove(random.nextInt(remaining.size())));
        }
        return drawn;
    }

    /** Crashes instances with their machines and restarts them cold, together. */
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

    /** Crashes an instance that exceeded its own limits; it restarts cold after the restart delay. */
    void crashFromOverload(SimulatedInstance instance, long now) {
        instance.crash(now);
        delistWhenSilent(instance, now);
        scheduleRestart(instance, now + fleet.rules.restartDelay());
    }

    /** Schedules a cold start, unless the instance is started otherwise before or its machine is lost. */
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

    /** Drains an instance, stops it and starts its successor. */
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

    // The shared tier.

    /** Makes a call, which fails if all slots of the tier are in use. A call that times out keeps its slot. */
    void callTier(SimulatedInstance instance, SimulatedExchange ex, long deadline) {
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
