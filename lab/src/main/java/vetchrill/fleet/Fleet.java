package vetchrill.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A fleet as described by its operators, the input of the planner's simulation and of the test rig. Times are tenths
 * of a millisecond. Values that can be fitted from a capture may be missing in the file: until {@link #withFitted}
 * sets them they are NaN, or below zero if they are counts.
 */
public final class Fleet {
    private static final int SECOND_TENTHS_MS = 10_000;

    /** Whether running an exchange twice is harmless, prevented by deduplication, or harmful. */
    public enum Effect { REPEATABLE, DEDUPLICATED, MUTATING }

    /**
     * How a stub chooses an instance: round robin, the one with the fewest attempts of this stub in flight, by a hash
     * of the subject, or the one that last reported the shortest queue. Fleet files use these names in lower case.
     */
    public enum BalancingPolicy { ROUND, LEAST, SUBJECT, REPORT }

    /**
     * Whether a stub retries: only if the instance was unreachable, up to {@link StubPool#maxAttempts}, or until the
     * deadline of the request. Fleet files use these names in lower case.
     */
    public enum RetryPolicy { NONE, LIMITED, UNLIMITED }

    /**
     * One kind of machine.
     *
     * @param speed speed of its cores once warm; core times are given for a speed of 1
     * @param speedCv coefficient of variation of the speed between machines of this kind
     * @param readingTime core time to read one exchange
     * @param contentionThreshold jobs per core past which the cores become slower
     * @param contentionLoss the speed is divided by 1 plus this times the jobs per core past the threshold
     * @param connectionTable connections past which reading becomes slower
     * @param fullTableReadingFactor added to each reading, in multiples of its core time, while the table is full
     * @param connectTime core time to accept a new connection
     * @param coldSpeedRatio speed right after a start, as a share of the full speed
     */
    public record MachineKind(String name, int cores, double speed, double speedCv, double readingTime,
            double contentionThreshold, double contentionLoss, double memoryKb, int connectionTable,
            double fullTableReadingFactor, double connectTime, int descriptors, double coldSpeedRatio, long warmUpTime,
            double price) {
        /** Returns this kind with the values that a capture can give. */
        public MachineKind with(double readingTime, double contentionThreshold, double contentionLoss) {
            return new MachineKind(name, cores, speed, speedCv, readingTime, contentionThreshold, contentionLoss,
                    memoryKb, connectionTable, fullTableReadingFactor, connectTime, descriptors, coldSpeedRatio,
                    warmUpTime, price);
        }
    }

    /** A zone and its instances: their count by the name of their machine kind. */
    public record Zone(String name, Map<String, Integer> instancesByKind) {
        public int count() {
            return instancesByKind.values().stream().mapToInt(Integer::intValue).sum();
        }
    }

    /**
     * An endpoint group.
     *
     * @param sloTime an answer within this has its full benefit
     * @param asyncTimeout how long a client waits for an answer
     * @param lateBenefitShare share of the benefit of an answer after the SLO time
     * @param requestShare share of all requests that are of this group
     * @param coreTime mean core time of a run, on a core of speed 1
     * @param coreTimeCv coefficient of variation of the core time
     * @param callShare share of its exchanges that call the shared tier
     * @param benefitWithoutCall share of the benefit of a result that was made without the call
     */
    public record Group(String name, Effect effect, long sloTime, long asyncTimeout, double benefit,
            double lateBenefitShare, double requestShare, double coreTime, double coreTimeCv, double sizeKb,
            int bodyBytes, double callShare, double benefitWithoutCall) {
        /** Returns this group with the values that a capture can give. */
        public Group with(double requestShare, double coreTime, double coreTimeCv, double sizeKb, int bodyBytes) {
            return new Group(name, effect, sloTime, asyncTimeout, benefit, lateBenefitShare, requestShare, coreTime,
                    coreTimeCv, sizeKb, bodyBytes, callShare, benefitWithoutCall);
        }
    }

    /** A customer: its share of all requests, and the requests a second to which it is entitled. */
    public record Customer(String name, double requestShare, double allowancePerSecond) {
    }

    /**
     * Client stubs that behave alike.
     *
     * @param maxAttempts attempts per request, with {@link RetryPolicy#LIMITED}
     * @param retryPause time between the end of an attempt and the next attempt
     * @param attemptTimeout timeout of a single attempt; 0 for none
     * @param followsRetryAfterRatio share of the stubs that follow retry-after delays
     * @param zone zone of all its stubs; empty if they are spread over all zones
     */
    public record StubPool(String name, int count, BalancingPolicy balancing, RetryPolicy retry, int maxAttempts,
            long retryPause, long attemptTimeout, double followsRetryAfterRatio, String zone) {
        public StubPool with(RetryPolicy retry) {
            return new StubPool(name, count, balancing, retry, maxAttempts, retryPause, attemptTimeout,
                    followsRetryAfterRatio, zone);
        }
    }

    /** The zone of one instance, as an index into {@link Fleet#zones}, and the kind of its machine. */
    public record InstancePlacement(int zone, MachineKind kind) {
    }

    /** One-way delays of the network. */
    public record NetworkDelays(long withinZone, long acrossZones) {
    }

    /**
     * Delays of the directory in which stubs find instances.
     *
     * @param reportLag time until stubs follow a health report
     * @param silenceTimeout time until stubs follow the crash of an instance, which sends no report
     */
    public record DirectoryDelays(long reportLag, long silenceTimeout) {
    }

    /**
     * The settings and limits of every instance.
     *
     * @param gracePeriod time after the start of a drain in which arrivals are still started
     * @param stopTimeout time from the start of a drain to the end of the process
     * @param sustainableRunsPerCore runs per core on average that an instance survives
     * @param overcommitTolerance time over which that average is taken
     * @param overAllowanceWeight share of the benefit that exchanges beyond their customer's allowance keep
     * @param runMemoryFactor memory of a running exchange as a multiple of its size
     * @param restartDelay time until an instance that crashed from its own load is restarted
     */
    public record InstanceRules(long gracePeriod, long stopTimeout, double sustainableRunsPerCore,
            long overcommitTolerance, long maxRetryAfter, double overAllowanceWeight, long idleTime,
            double runMemoryFactor, long restartDelay) {
    }

    /** A dependency that all instances call: its concurrent calls, and the mean and variation of their time. */
    public record SharedTier(String name, int slots, double callTime, double callTimeCv) {
    }

    /** Mean first attempts a second; {@code swingRatio} is the amplitude of a sine of {@code period} around it. */
    public record Load(double perSecond, double swingRatio, long period) {
    }

    /** How many subjects there are, and the exponent of the Zipf distribution by which requests choose them. */
    public record Subjects(int distinct, double skew) {
    }

    /**
     * A rolling deploy.
     *
     * @param batchRatio share of the fleet that is replaced at a time
     * @param gap time from the start of one batch's new instances to the drain of the next batch
     * @param acrossZones whether a batch takes instances of all zones in turn, and not of one zone after the other
     * @param startTime time from the end of a process to the start of its successor
     */
    public record Deploy(double batchRatio, long gap, boolean acrossZones, long startTime) {
    }

    public final String name;
    public final List<Zone> zones;
    public final List<MachineKind> kinds;
    public final List<Group> groups;
    public final List<Customer> customers;
    public final List<StubPool> pools;
    public final NetworkDelays network;
    public final DirectoryDelays directoryDelays;
    public final InstanceRules rules;
    /** Null if the instances call no shared tier. */
    public final SharedTier tier;
    public final Load load;
    public final Subjects subjects;
    public final Deploy deploy;
    public final List<Fault> faults;

    public Fleet(String name, List<Zone> zones, List<MachineKind> kinds, List<Group> groups, List<Customer> customers,
            List<StubPool> pools, NetworkDelays network, DirectoryDelays directoryDelays, InstanceRules rules,
            SharedTier tier, Load load, Subjects subjects, Deploy deploy, List<Fault> faults) {
        this.name = name;
        this.zones = List.copyOf(zones);
        this.kinds = List.copyOf(kinds);
        this.groups = List.copyOf(groups);
        this.customers = List.copyOf(customers);
        this.pools = List.copyOf(pools);
        this.network = network;
        this.directoryDelays = directoryDelays;
        this.rules = rules;
        this.tier = tier;
        this.load = load;
        this.subjects = subjects;
        this.deploy = deploy;
        this.faults = List.copyOf(faults);
    }

    public Fleet withZones(List<Zone> zones) {
        return new Fleet(name, zones, kinds, groups, customers, pools, network, directoryDelays, rules, tier, load,
                subjects, deploy, faults);
    }

    public Fleet withPools(List<StubPool> pools) {
        return new Fleet(name, zones, kinds, groups, customers, pools, network, directoryDelays, rules, tier, load,
                subjects, deploy, faults);
    }

    public Fleet withFaults(List<Fault> faults) {
        return new Fleet(name, zones, kinds, groups, customers, pools, network, directoryDelays, rules, tier, load,
                subjects, deploy, faults);
    }

    public Fleet withLoad(double perSecond) {
        return new Fleet(name, zones, kinds, groups, customers, pools, network, directoryDelays, rules, tier,
                new Load(perSecond, load.swingRatio, load.period), subjects, deploy, faults);
    }

    /** Returns this fleet with values fitted from a capture in place of those that the file gives or omits. */
    public Fleet withFitted(List<MachineKind> kinds, List<Group> groups, Load load, Subjects subjects) {
        return new Fleet(name, zones, kinds, groups, customers, pools, network, directoryDelays, rules, tier, load,
                subjects, deploy, faults);
    }

    public int instanceCount() {
        return zones.stream().mapToInt(Zone::count).sum();
    }

    public int stubCount() {
        return pools.stream().mapToInt(StubPool::count).sum();
    }

    /** Returns the machine kind of that name, which must exist. */
    public MachineKind kind(String name) {
        for (MachineKind kind : kinds) {
            if (kind.name.equals(name)) {
                return kind;
            }
        }
        throw new IllegalArgumentException("no kind " + name);
    }

    /** Returns all instances in the order of their numbers: by zone, and by machine kind within a zone. */
    public List<InstancePlacement> placements() {
        List<InstancePlacement> placements = new ArrayList<>();
        for (int zone = 0; zone < zones.size(); zone++) {
            for (Map.Entry<String, Integer> each : zones.get(zone).instancesByKind.entrySet()) {
                placements.addAll(Collections.nCopies(each.getValue(),
                        new InstancePlacement(zone, kind(each.getKey()))));
            }
        }
        return placements;
    }

    /** Returns the index of the zone of a stub; {@code number} is its number among the stubs of all pools. */
    public int zoneIndexOf(StubPool pool, int number) {
        return pool.zone.isEmpty() ? number % zones.size() : zones.stream().map(Zone::name).toList().indexOf(pool.zone);
    }

    /** Returns the batches of a rolling deploy, each the numbers of the instances that are replaced together. */
    public List<List<Integer>> deployBatches() {
        List<InstancePlacement> placements = placements();
        List<Integer> order = new ArrayList<>();
        int[] seenInZone = new int[zones.size()];
        int[] rankInZone = new int[placements.size()];
        for (int i = 0; i < placements.size(); i++) {
            order.add(i);
            rankInZone[i] = seenInZone[placements.get(i).zone]++;
        }
        if (deploy.acrossZones) {
            // One of each zone in turn, while a zone has any left.
            order.sort(Comparator.comparingInt((Integer i) -> rankInZone[i])
                    .thenComparingInt(i -> placements.get(i).zone));
        }
        int size = Math.max(1, (int) Math.round(deploy.batchRatio * placements.size()));
        List<List<Integer>> batches = new ArrayList<>();
        for (int from = 0; from < order.size(); from += size) {
            batches.add(List.copyOf(order.subList(from, Math.min(order.size(), from + size))));
        }
        return batches;
    }

    /** Returns the time from the start of one batch to that of the next. */
    public long batchPeriod() {
        return rules.stopTimeout + deploy.startTime + deploy.gap;
    }

    /** Returns the longest time that a client waits for an answer. */
    public long longestTimeout() {
        return groups.stream().mapToLong(Group::asyncTimeout).max().orElse(0);
    }

    /** Returns the price of all machines. */
    public double price() {
        double price = 0;
        for (Zone zone : zones) {
            for (Map.Entry<String, Integer> each : zone.instancesByKind.entrySet()) {
                price += each.getValue() * kind(each.getKey()).price;
            }
        }
        return price;
    }

    /** Returns the core time a second of all instances once warm, in tenths of a millisecond. */
    public double capacity() {
        double cores = 0;
        for (Zone zone : zones) {
            for (Map.Entry<String, Integer> each : zone.instancesByKind.entrySet()) {
                MachineKind kind = kind(each.getKey());
                cores += each.getValue() * kind.cores * kind.speed;
            }
        }
        return cores * SECOND_TENTHS_MS;
    }

    /** Returns the mean core time of one exchange, including one reading of it. */
    public double meanCoreTime() {
        double coreTime = 0;
        double shares = 0;
        for (Group group : groups) {
            coreTime += group.requestShare * group.coreTime;
            shares += group.requestShare;
        }
        return coreTime / shares + meanReadingTime();
    }

    /** Returns the mean core time to read an exchange, over all instances. */
    public double meanReadingTime() {
        double readingTime = 0;
        for (Zone zone : zones) {
            for (Map.Entry<String, Integer> each : zone.instancesByKind.entrySet()) {
                readingTime += each.getValue() * kind(each.getKey()).readingTime;
            }
        }
        return readingTime / Math.max(1, instanceCount());
    }

    /** Returns the first attempts a second that keep all warm cores busy if none is retried. */
    public double fullLoad() {
        return capacity() / meanCoreTime();
    }

    /** Returns the names of the values that the file or a capture must still give before anything can be planned. */
    public List<String> missingValues() {
        Map<String, Boolean> given = new LinkedHashMap<>();
        for (MachineKind kind : kinds) {
            given.put("kind \"" + kind.name + "\" reading_ms", !Double.isNaN(kind.readingTime));
            given.put("kind \"" + kind.name + "\" crowd_from and crowd_loss",
                    !Double.isNaN(kind.contentionThreshold) && !Double.isNaN(kind.contentionLoss));
        }
        for (Group group : groups) {
            given.put("group \"" + group.name + "\" share", !Double.isNaN(group.requestShare));
            given.put("group \"" + group.name + "\" work_ms", !Double.isNaN(group.coreTime));
            given.put("group \"" + group.name + "\" work_cv", !Double.isNaN(group.coreTimeCv));
            given.put("group \"" + group.name + "\" memory_kb", !Double.isNaN(group.sizeKb));
        }
        given.put("load per_s", !Double.isNaN(load.perSecond));
        given.put("subjects distinct and skew", subjects.distinct > 0 && !Double.isNaN(subjects.skew));
        List<String> missing = new ArrayList<>();
        given.forEach((what, isGiven) -> {
            if (!isGiven) {
                missing.add(what);
            }
        });
        return missing;
    }
}
