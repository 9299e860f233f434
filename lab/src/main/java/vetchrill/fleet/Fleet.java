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

    public enum Habit { ROUND, LEAST, SUBJECT, REPORT }

    public enum Retry { NONE, LIMITED, UNLIMITED }

    /**
     * One kind of machine. {@code reading} is core time for each exchange read, {@code crowdFrom} the jobs for each
     * core past which each further one takes {@code crowdLoss} of the speed; a full connection table costs {@code
     * tableTax} of each reading once more, a new connection {@code connect} of core time.
     */
    public record Kind(String name, int cores, double speed, double speedSpread, double reading, double crowdFrom,
            double crowdLoss, double memoryKb, int table, double tableTax, double connect, int descriptors,
            double coldShare, long warmUp, double price) {
        public Kind with(double reading, double crowdFrom, double crowdLoss) {
            return new Kind(name, cores, speed, speedSpread, reading, crowdFrom, crowdLoss, memoryKb, table, tableTax,
                    connect, descriptors, coldShare, warmUp, price);
        }
    }

    public record Zone(String name, Map<String, Integer> relays) {
        public int count() {
            return relays.values().stream().mapToInt(Integer::intValue).sum();
        }
    }

    /** An endpoint group; {@code calls} is the part of its exchanges that calls the shared tier. */
    public record Group(String name, Effect effect, long sloTime, long asyncTimeout, double benefit, double lateShare,
            double share, double work, double workSpread, double kb, int bytes, double calls, double withoutCall) {
        public Group with(double share, double work, double workSpread, double kb, int bytes) {
            return new Group(name, effect, sloTime, asyncTimeout, benefit, lateShare, share, work, workSpread, kb,
                    bytes,
                    calls, withoutCall);
        }
    }

    public record Customer(String name, double share, double allowancePerS) {
    }

    /**
     * Client stubs of one habit. {@code tries} bounds those that retry within limits, {@code pause} passes before each
     * further try, {@code tryTimeout} gives up a single try (0 for never); {@code heed} is the part that follows
     * advice.
     */
    public record Pool(String name, int count, Habit habit, Retry retry, int tries, long pause, long tryTimeout,
            double heed, String zone) {
        public Pool with(Retry retry) {
            return new Pool(name, count, habit, retry, tries, pause, tryTimeout, heed, zone);
        }
    }

    /** Where one relay stands, by the place of its zone, and what machine it is. */
    public record Place(int zone, Kind kind) {
    }

    public record Network(long within, long across) {
    }

    /** {@code lag} until stubs follow a report, {@code silent} until they follow a relay that died without one. */
    public record Roster(long lag, long silent) {
    }

    /** What every relay is told and bound by; {@code crowdSpan} is how long its cores survive too large a crowd. */
    public record Rules(long grace, long stop, double crowdPerCore, long crowdSpan, long longestAway,
            double beyondShare,
            long idle, double runGrowth, long restart) {
    }

    /** A tier below that all relays share. */
    public record Tier(String name, int slots, double work, double workSpread) {
    }

    /** {@code perS} first tries a second in the mean; {@code swing} of it up and down over each {@code period}. */
    public record Load(double perS, double swing, long period) {
    }

    public record Subjects(int distinct, double skew) {
    }

    /** {@code batch} is the part of the fleet that is replaced at a time; {@code spread} takes zones in turn. */
    public record Deploy(double batch, long gap, boolean spread, long start) {
    }

    public final String name;
    public final List<Zone> zones;
    public final List<Kind> kinds;
    public final List<Group> groups;
    public final List<Customer> customers;
    public final List<Pool> pools;
    public final Network network;
    public final Roster roster;
    public final Rules rules;
    /** Null where no tier below is shared. */
    public final Tier tier;
    public final Load load;
    public final Subjects subjects;
    public final Deploy deploy;
    public final List<Trouble> troubles;

    public Fleet(String name, List<Zone> zones, List<Kind> kinds, List<Group> groups, List<Customer> customers,
            List<Pool> pools, Network network, Roster roster, Rules rules, Tier tier, Load load, Subjects subjects,
            Deploy deploy, List<Trouble> troubles) {
        this.name = name;
        this.zones = List.copyOf(zones);
        this.kinds = List.copyOf(kinds);
        this.groups = List.copyOf(groups);
        this.customers = List.copyOf(customers);
        this.pools = List.copyOf(pools);
        this.network = network;
        this.roster = roster;
        this.rules = rules;
        this.tier = tier;
        this.load = load;
        this.subjects = subjects;
        this.deploy = deploy;
        this.troubles = List.copyOf(troubles);
    }

    public Fleet withZones(List<Zone> zones) {
        return new Fleet(name, zones, kinds, groups, customers, pools, network, roster, rules, tier, load, subjects,
                deploy, troubles);
    }

    public Fleet withPools(List<Pool> pools) {
        return new Fleet(name, zones, kinds, groups, customers, pools, network, roster, rules, tier, load, subjects,
                deploy, troubles);
    }

    public Fleet withTroubles(List<Trouble> troubles) {
        return new Fleet(name, zones, kinds, groups, customers, pools, network, roster, rules, tier, load, subjects,
                deploy, troubles);
    }

    public Fleet withLoad(double perS) {
        return new Fleet(name, zones, kinds, groups, customers, pools, network, roster, rules, tier,
                new Load(perS, load.swing, load.period), subjects, deploy, troubles);
    }

    /** The same with what a capture told in place of what the file says or leaves out. */
    public Fleet fitted(List<Kind> kinds, List<Group> groups, Load load, Subjects subjects) {
        return new Fleet(name, zones, kinds, groups, customers, pools, network, roster, rules, tier, load, subjects,
                deploy, troubles);
    }

    public int relays() {
        return zones.stream().mapToInt(Zone::count).sum();
    }

    public int stubs() {
        return pools.stream().mapToInt(Pool::count).sum();
    }

    public Kind kind(String name) {
        for (Kind kind : kinds) {
            if (kind.name.equals(name)) {
                return kind;
            }
        }
        throw new IllegalArgumentException("no kind " + name);
    }

    /** All relays, in the order in which they are numbered: by zone, and by kind within it. */
    public List<Place> places() {
        List<Place> places = new ArrayList<>();
        for (int zone = 0; zone < zones.size(); zone++) {
            for (Map.Entry<String, Integer> each : zones.get(zone).relays.entrySet()) {
                places.addAll(Collections.nCopies(each.getValue(), new Place(zone, kind(each.getKey()))));
            }
        }
        return places;
    }

    /** The place of the zone in which a stub of a pool stands; {@code number} counts the stubs of all pools. */
    public int zoneOf(Pool pool, int number) {
        return pool.zone.isEmpty() ? number % zones.size() : zones.stream().map(Zone::name).toList().indexOf(pool.zone);
    }

    /** Relays that a rolling deploy replaces together, by their numbers and batch by batch. */
    public List<List<Integer>> batches() {
        List<Place> places = places();
        List<Integer> order = new ArrayList<>();
        int[] seen = new int[zones.size()];
        int[] rank = new int[places.size()];
        for (int i = 0; i < places.size(); i++) {
            order.add(i);
            rank[i] = seen[places.get(i).zone]++;
        }
        if (deploy.spread) {
            // One of each zone in turn, as far as there are any left.
            order.sort(Comparator.comparingInt((Integer i) -> rank[i]).thenComparingInt(i -> places.get(i).zone));
        }
        int size = Math.max(1, (int) Math.round(deploy.batch * places.size()));
        List<List<Integer>> batches = new ArrayList<>();
        for (int from = 0; from < order.size(); from += size) {
            batches.add(List.copyOf(order.subList(from, Math.min(order.size(), from + size))));
        }
        return batches;
    }

    /** From the beginning of one batch to that of the next. */
    public long batchEvery() {
        return rules.stop + deploy.start + deploy.gap;
    }

    /** The longest that a client waits for an answer. */
    public long longestTimeout() {
        return groups.stream().mapToLong(Group::asyncTimeout).max().orElse(0);
    }

    /** Price of all its relays. */
    public double price() {
        double price = 0;
        for (Zone zone : zones) {
            for (Map.Entry<String, Integer> each : zone.relays.entrySet()) {
                price += each.getValue() * kind(each.getKey()).price;
            }
        }
        return price;
    }

    /** Core time a second that all its relays have once warm, in tenths of a millisecond. */
    public double capacity() {
        double cores = 0;
        for (Zone zone : zones) {
            for (Map.Entry<String, Integer> each : zone.relays.entrySet()) {
                Kind kind = kind(each.getKey());
                cores += each.getValue() * kind.cores * kind.speed;
            }
        }
        return cores * 10_000;
    }

    /** Mean core time that one exchange takes, its reading once included. */
    public double meanWork() {
        double work = 0;
        double shares = 0;
        for (Group group : groups) {
            work += group.share * group.work;
            shares += group.share;
        }
        return work / shares + meanReading();
    }

    /** Mean core time of one reading, over the relays. */
    public double meanReading() {
        double reading = 0;
        for (Zone zone : zones) {
            for (Map.Entry<String, Integer> each : zone.relays.entrySet()) {
                reading += each.getValue() * kind(each.getKey()).reading;
            }
        }
        return reading / Math.max(1, relays());
    }

    /** First tries a second that would keep all warm cores busy, were none tried twice. */
    public double fullLoad() {
        return capacity() / meanWork();
    }

    /** What must still be told, by the file or by a capture, before anything can be planned. */
    public List<String> wanting() {
        Map<String, Boolean> told = new LinkedHashMap<>();
        for (Kind kind : kinds) {
            told.put("kind \"" + kind.name + "\" reading_ms", !Double.isNaN(kind.reading));
            told.put("kind \"" + kind.name + "\" crowd_from and crowd_loss",
                    !Double.isNaN(kind.crowdFrom) && !Double.isNaN(kind.crowdLoss));
        }
        for (Group group : groups) {
            told.put("group \"" + group.name + "\" share", !Double.isNaN(group.share));
            told.put("group \"" + group.name + "\" work_ms", !Double.isNaN(group.work));
            told.put("group \"" + group.name + "\" work_cv", !Double.isNaN(group.workSpread));
            told.put("group \"" + group.name + "\" memory_kb", !Double.isNaN(group.kb));
        }
        told.put("load per_s", !Double.isNaN(load.perS));
        told.put("subjects distinct and skew", subjects.distinct > 0 && !Double.isNaN(subjects.skew));
        List<String> wanting = new ArrayList<>();
        told.forEach((what, is) -> {
            if (!is) {
                wanting.add(what);
            }
        });
        return wanting;
    }
}
