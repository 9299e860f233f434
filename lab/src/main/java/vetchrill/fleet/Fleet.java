package vetchrill.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A fleet as its operators describe it: what the planner's model and the rig play. Times are tenths of a millisecond.
 * What a capture can tell may be left out of the file and is NaN, or below zero where it is a count, until it is
 * fitted.
 */
public final class Fleet {
    public enum Effect { REPEATABLE, DEDUPLICATED, MUTATING }

    public enum BalancingPolicy { ROUND, LEAST, SUBJECT, REPORT }

    public enum RetryPolicy { NONE, LIMITED, UNLIMITED }

    /**
     * One kind of machine. {@code reading} is core time for each exchange read, {@code crowdFrom} the jobs for each
     * core past which each further one takes {@code crowdLoss} of the speed; a full connection table costs {@code
     * tableTax} of each reading once more, a new connection {@code connect} of core time.
     */
    public record MachineKind(String name, int cores, double speed, double speedCv, double readingTime,
            double contentionThreshold,
            double contentionLoss, double memoryKb, int connectionTable, double fullTableReadingFactor,
            double connectTime, int descriptors,
            double coldSpeedRatio, long warmUpTime, double price) {
        public MachineKind with(double readingTime, double contentionThreshold, double contentionLoss) {
            return new MachineKind(name, cores, speed, speedCv, readingTime, contentionThreshold, contentionLoss,
                    memoryKb, connectionTable, fullTableReadingFactor,
                    connectTime, descriptors, coldSpeedRatio, warmUpTime, price);
        }
    }

    public record Zone(String name, Map<String, Integer> instancesByKind) {
        public int count() {
            return instancesByKind.values().stream().mapToInt(Integer::intValue).sum();
        }
    }

    /** An endpoint group; {@code calls} is the part of its exchanges that calls the shared tier. */
    public record Group(String name, Effect effect, long sloTime, long asyncTimeout, double benefit,
            double lateBenefitShare,
            double requestShare, double coreTime, double coreTimeCv, double sizeKb, int bodyBytes, double callShare,
            double benefitWithoutCall) {
        public Group with(double requestShare, double coreTime, double coreTimeCv, double sizeKb, int bodyBytes) {
            return new Group(name, effect, sloTime, asyncTimeout, benefit, lateBenefitShare, requestShare, coreTime,
                    coreTimeCv, sizeKb,
                    bodyBytes,
                    callShare, benefitWithoutCall);
        }
    }

    public record Customer(String name, double requestShare, double allowancePerSecond) {
    }

    /**
     * Client stubs of one habit. {@code tries} bounds those that retry within limits, {@code pause} passes before each
     * further try, {@code tryTimeout} gives up a single try (0 for never); {@code heed} is the part that follows
     * advice.
     */
    public record StubPool(String name, int count, BalancingPolicy balancing, RetryPolicy retry, int maxAttempts,
            long retryPause, long attemptTimeout,
            double followsRetryAfterRatio, String zone) {
        public StubPool with(RetryPolicy retry) {
            return new StubPool(name, count, balancing, retry, maxAttempts, retryPause, attemptTimeout,
                    followsRetryAfterRatio, zone);
        }
    }

    /** Where one relay stands, by the place of its zone, and what machine it is. */
    public record InstancePlacement(int zone, MachineKind kind) {
    }

    public record NetworkDelays(long withinZone, long acrossZones) {
    }

    /** {@code lag} until stubs follow a report, {@code silent} until they follow a relay that died without one. */
    public record DirectoryDelays(long reportLag, long silenceTimeout) {
    }

    /** What every relay is told and bound by; {@code crowdSpan} is how long its cores survive too large a crowd. */
    public record InstanceRules(long gracePeriod, long stopTimeout, double sustainableRunsPerCore,
            long overcommitTolerance, long maxRetryAfter,
            double overAllowanceWeight,
            long idleTime, double runMemoryFactor, long restartDelay) {
    }

    /** A tier below that all relays share. */
    public record SharedTier(String name, int slots, double callTime, double callTimeCv) {
    }

    /** {@code perS} first tries a second in the mean; {@code swing} of it up and down over each {@code period}. */
    public record Load(double perSecond, double swingRatio, long period) {
    }

    public record Subjects(int distinct, double skew) {
    }

    /** {@code batch} is the part of the fleet that is replaced at a time; {@code spread} takes zones in turn. */
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
    /** Null where no tier below is shared. */
    public final SharedTier tier;
    public final Load load;
    public final Subjects subjects;
    public final Deploy deploy;
    public final List<Fault> faults;

    public Fleet(String name, List<Zone> zones, List<MachineKind> kinds, List<Group> groups, List<Customer> customers,
            List<StubPool> pools, NetworkDelays network, DirectoryDelays directoryDelays, InstanceRules rules,
            SharedTier tier, Load load, Subjects subjects,
            Deploy deploy, List<Fault> faults) {
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
                subjects,
                deploy, faults);
    }

    public Fleet withPools(List<StubPool> pools) {
        return new Fleet(name, zones, kinds, groups, customers, pools, network, directoryDelays, rules, tier, load,
                subjects,
                deploy, faults);
    }

    public Fleet withFaults(List<Fault> faults) {
        return new Fleet(name, zones, kinds, groups, customers, pools, network, directoryDelays, rules, tier, load,
                subjects,
                deploy, faults);
    }

    public Fleet withLoad(double perSecond) {
        return new Fleet(name, zones, kinds, groups, customers, pools, network, directoryDelays, rules, tier,
                new Load(perSecond, load.swingRatio, load.period), subjects, deploy, faults);
    }

    /** The same with what a capture told in place of what the file says or leaves out. */
    public Fleet withFitted(List<MachineKind> kinds, List<Group> groups, Load load, Subjects subjects) {
        return new Fleet(name, zones, kinds, groups, customers, pools, network, directoryDelays, rules, tier, load,
                subjects,
                deploy, faults);
    }

    public int instanceCount() {
        return zones.stream().mapToInt(Zone::count).sum();
    }

    public int stubCount() {
        return pools.stream().mapToInt(StubPool::count).sum();
    }

    public MachineKind kind(String name) {
        for (MachineKind kind : kinds) {
            if (kind.name.equals(name)) {
                return kind;
            }
        }
        throw new IllegalArgumentException("no kind " + name);
    }

    /** All relays, in the order in which they are numbered: by zone, and by kind within it. */
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

    /** The place of the zone in which a stub of a pool stands; {@code number} counts the stubs of all pools. */
    public int zoneIndexOf(StubPool pool, int number) {
        return pool.zone.isEmpty() ? number % zones.size() : zones.stream().map(Zone::name).toList().indexOf(pool.zone);
    }

    /** Relays that a rolling deploy replaces together, by their numbers and batch by batch. */
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
            // One of each zone in turn, as far as there are any left.
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

    /** From the beginning of one batch to that of the next. */
    public long batchPeriod() {
        return rules.stopTimeout + deploy.startTime + deploy.gap;
    }

    /** The longest that a client waits for an answer. */
    public long longestTimeout() {
        return groups.stream().mapToLong(Group::asyncTimeout).max().orElse(0);
    }

    /** Price of all its relays. */
    public double price() {
        double price = 0;
        for (Zone zone : zones) {
            for (Map.Entry<String, Integer> each : zone.instancesByKind.entrySet()) {
                price += each.getValue() * kind(each.getKey()).price;
            }
        }
        return price;
    }

    /** Core time a second that all its relays have once warm, in tenths of a millisecond. */
    public double capacity() {
        double cores = 0;
        for (Zone zone : zones) {
            for (Map.Entry<String, Integer> each : zone.instancesByKind.entrySet()) {
                MachineKind kind = kind(each.getKey());
                cores += each.getValue() * kind.cores * kind.speed;
            }
        }
        return cores * 10_000;
    }

    /** Mean core time that one exchange takes, its reading once included. */
    public double meanCoreTime() {
        double coreTime = 0;
        double shares = 0;
        for (Group group : groups) {
            coreTime += group.requestShare * group.coreTime;
            shares += group.requestShare;
        }
        return coreTime / shares + meanReadingTime();
    }

    /** Mean core time of one reading, over the relays. */
    public double meanReadingTime() {
        double readingTime = 0;
        for (Zone zone : zones) {
            for (Map.Entry<String, Integer> each : zone.instancesByKind.entrySet()) {
                readingTime += each.getValue() * kind(each.getKey()).readingTime;
            }
        }
        return readingTime / Math.max(1, instanceCount());
    }

    /** First tries a second that would keep all warm cores busy, were none tried twice. */
    public double fullLoad() {
        return capacity() / meanCoreTime();
    }

    /** What must still be told, by the file or by a capture, before anything can be planned. */
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
