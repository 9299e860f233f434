package vetchrill.fleet;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import vetchrill.fleet.Fleet.BalancingPolicy;
import vetchrill.fleet.Fleet.Customer;
import vetchrill.fleet.Fleet.Deploy;
import vetchrill.fleet.Fleet.DirectoryDelays;
import vetchrill.fleet.Fleet.Effect;
import vetchrill.fleet.Fleet.Group;
import vetchrill.fleet.Fleet.InstanceRules;
import vetchrill.fleet.Fleet.Load;
import vetchrill.fleet.Fleet.MachineKind;
import vetchrill.fleet.Fleet.NetworkDelays;
import vetchrill.fleet.Fleet.RetryPolicy;
import vetchrill.fleet.Fleet.SharedTier;
import vetchrill.fleet.Fleet.StubPool;
import vetchrill.fleet.Fleet.Subjects;
import vetchrill.fleet.Fleet.Zone;
import vetchrill.hcl.ConfigBlock;

/** Reads a fleet from HCL; see docs/planner-operators.md for every key, its unit and its range. */
public final class FleetFileReader {
    private static final double DAY_MS = 86_400_000;
    private static final int TENTHS_PER_MS = 10;
    private static final int KB_PER_MB = 1024;
    private static final int MAX_INSTANCES = 2_000;
    private static final int MAX_STUBS = 5_000;

    private FleetFileReader() {
    }

    /** Reads a file; throws ConfigErrors with all errors of the file. */
    public static Fleet read(Path file) {
        return read(ConfigBlock.read(file));
    }

    /** Reads the blocks of a parsed file; throws ConfigErrors with all errors of the file. */
    public static Fleet read(ConfigBlock root) {
        List<MachineKind> kinds = new ArrayList<>();
        for (ConfigBlock block : root.blocks("kind")) {
            kinds.add(kind(block));
        }
        List<Zone> zones = new ArrayList<>();
        int instances = 0;
        for (ConfigBlock block : root.blocks("zone")) {
            Map<String, Integer> counts = block.counts("relays", MAX_INSTANCES);
            for (String kind : counts.keySet()) {
                if (kinds.stream().noneMatch(each -> each.name().equals(kind))) {
                    block.addError("relays", "names kind '" + kind + "', which no kind block describes");
                }
            }
            Zone zone = new Zone(block.label(), new LinkedHashMap<>(counts));
            zones.add(zone);
            instances += zone.count();
        }
        if (zones.isEmpty()) {
            root.addError("zone", "at least one block is required");
        } else if (instances == 0 || instances > MAX_INSTANCES) {
            root.addError("zone", "all zones together should have 1 to " + MAX_INSTANCES + " instances, not "
                    + instances);
        }
        ConfigBlock tierBlock = root.block("tier");
        SharedTier tier = root.hasBlock("tier") ? new SharedTier(tierBlock.label(),
                tierBlock.integer("slots", 1, 1_000_000),
                exactTimeFromMs(tierBlock, "work_ms", 0.1, 60_000), tierBlock.number("work_cv", 0, 10, 0.5)) : null;
        List<Group> groups = new ArrayList<>();
        for (ConfigBlock block : root.blocks("group")) {
            groups.add(group(block, tier != null));
        }
        if (groups.isEmpty()) {
            root.addError("group", "at least one block is required");
        }
        checkSharesSum(root, "group", groups.stream().map(Group::requestShare).toList());
        List<Customer> customers = new ArrayList<>();
        for (ConfigBlock block : root.blocks("customer")) {
            customers.add(new Customer(block.label(), block.number("share", 0, 1),
                    block.number("allowance_per_s", 0, 1e6, 0)));
        }
        if (customers.isEmpty()) {
            customers.add(new Customer("all", 1, 0));
        }
        checkSharesSum(root, "customer", customers.stream().map(Customer::requestShare).toList());
        List<StubPool> pools = new ArrayList<>();
        Set<String> zoneNames = new HashSet<>(zones.stream().map(Zone::name).toList());
        int stubs = 0;
        for (ConfigBlock block : root.blocks("stubs")) {
            pools.add(pool(block, zoneNames));
            stubs += pools.get(pools.size() - 1).count();
        }
        if (stubs < 1 || stubs > MAX_STUBS) {
            root.addError("stubs", "all blocks together should have 1 to " + MAX_STUBS + " stubs, not " + stubs);
        }
        ConfigBlock network = root.block("network");
        ConfigBlock roster = root.block("roster");
        ConfigBlock rules = root.block("rules");
        ConfigBlock load = root.block("load");
        ConfigBlock subjects = root.block("subjects");
        ConfigBlock deploy = root.block("deploy");
        Fleet fleet = new Fleet(root.text("name", "fleet"), zones, kinds, groups, customers, pools,
                new NetworkDelays(timeFromMs(network, "within_ms", 0, 1_000, 0.2),
                        timeFromMs(network, "across_ms", 0, 1_000, 2)),
                new DirectoryDelays(timeFromMs(roster, "lag_ms", 0, 600_000, 1_500),
                        timeFromMs(roster, "silent_ms", 0, 600_000, 4_500)),
                rules(rules), tier, new Load(load.number("per_s", 0, 1e6, Double.NaN), load.number("swing", 0, 1, 0),
                        timeFromMs(load, "period_ms", 100, DAY_MS, 30_000)),
                new Subjects(subjects.integer("distinct", 1, 100_000_000, -1),
                        subjects.number("skew", 0, 3, Double.NaN)),
                new Deploy(deploy.number("batch", 0.001, 1, 0.2), timeFromMs(deploy, "gap_ms", 0, DAY_MS, 1_000),
                        deploy.oneOf("order", "spread", "zones").equals("spread"),
                        timeFromMs(deploy, "start_ms", 0, DAY_MS, 1_000)),
                faults(root));
        root.check();
        return fleet;
    }

    private static MachineKind kind(ConfigBlock block) {
        double threshold = block.number("crowd_from", 0.1, 1_000, Double.NaN);
        double loss = block.number("crowd_loss", 0, 10, Double.NaN);
        if (Double.isNaN(threshold) != Double.isNaN(loss)) {
            block.addError(Double.isNaN(threshold) ? "crowd_loss" : "crowd_from",
                    "crowd_from and crowd_loss must be set together");
        }
        int descriptors = block.integer("descriptors", 32, 1_000_000, 1_024);
        int table = block.integer("connection_table", 1, 1_000_000, descriptors / 8);
        if (table > descriptors) {
            block.addError("connection_table", "is " + table + ", should be at most the number of descriptors, "
                    + descriptors);
        }
        return new MachineKind(block.label(), block.integer("cores", 1, 1_024), block.number("speed", 0.01, 100, 1),
                block.number("speed_cv", 0, 1, 0), exactTimeFromMs(block, "reading_ms", 0, 10_000, Double.NaN),
                threshold, loss,
                block.number("memory_mb", 0.1, 1e6) * KB_PER_MB, table, block.number("table_tax", 0, 100, 0),
                exactTimeFromMs(block, "connect_ms", 0, 1_000, 0), descriptors, block.number("cold_share", 0.01, 1, 1),
                timeFromMs(block, "warm_up_ms", 0, DAY_MS, 0), block.number("price", 0, 1e9, 1));
    }

    private static Group group(ConfigBlock block, boolean hasTier) {
        Effect effect = switch (block.oneOf("effect", "repeatable", "deduplicated", "mutating")) {
            case "mutating" -> Effect.MUTATING;
            case "deduplicated" -> Effect.DEDUPLICATED;
            default -> Effect.REPEATABLE;
        };
        long slo = timeFromMs(block, "slo_ms", 1, DAY_MS);
        long timeout = timeFromMs(block, "timeout_ms", 1, DAY_MS);
        if (timeout < slo) {
            block.addError("timeout_ms", "is below slo_ms, should be at least as long");
        }
        double calls = block.number("calls", 0, 1, 0);
        if (calls > 0 && !hasTier) {
            block.addError("calls", "needs a tier block, which is missing");
        }
        return new Group(block.label(), effect, slo, timeout, block.number("benefit", 0, 1e6, 1),
                block.number("late_share", 0, 1, 0), block.number("share", 0, 1, Double.NaN),
                exactTimeFromMs(block, "work_ms", 0.01, 600_000, Double.NaN),
                block.number("work_cv", 0, 10, Double.NaN),
                block.number("memory_kb", 0.001, 2_000, Double.NaN), block.integer("body_bytes", 0, 2_048, 64), calls,
                block.number("benefit_without_call", 0, 1, 0));
    }

    private static StubPool pool(ConfigBlock block, Set<String> zones) {
        RetryPolicy retry = RetryPolicy.valueOf(block.oneOf("retry", "none", "limited", "unlimited").toUpperCase());
        int maxAttempts = block.integer("tries", 2, 10_000, 3);
        if (retry != RetryPolicy.LIMITED && block.has("tries")) {
            block.addError("tries", "is allowed only with retry = \"limited\"");
        }
        String zone = block.text("zone", "");
        if (!zone.isEmpty() && !zones.contains(zone)) {
            block.addError("zone", "'" + zone + "' is not a zone of this file");
        }
        return new StubPool(block.label(), block.integer("count", 1, MAX_STUBS),
                BalancingPolicy.valueOf(block.oneOf("habit", "round", "least", "subject", "report").toUpperCase()),
                retry, maxAttempts,
                timeFromMs(block, "wait_ms", 0, DAY_MS, 0), timeFromMs(block, "try_timeout_ms", 0, DAY_MS, 0),
                block.number("heed", 0, 1, 1), zone);
    }

    private static InstanceRules rules(ConfigBlock block) {
        InstanceRules rules = new InstanceRules(timeFromMs(block, "grace_ms", 0, DAY_MS, 2_500),
                timeFromMs(block, "stop_ms", 100, DAY_MS, 8_000),
                block.number("crowd_per_core", 1, 10_000, 8), timeFromMs(block, "crowd_span_ms", 100, DAY_MS, 1_500),
                timeFromMs(block, "longest_away_ms", 0, DAY_MS, 1_000), block.number("beyond_share", 0, 1, 1),
                timeFromMs(block, "idle_ms", 10, DAY_MS, 15_000), block.number("run_growth", 1, 1_000, 4),
                timeFromMs(block, "restart_ms", 0, DAY_MS, 2_000));
        if (rules.gracePeriod() > rules.stopTimeout()) {
            block.addError("grace_ms", "should be at most stop_ms");
        }
        return rules;
    }

    private static List<Fault> faults(ConfigBlock root) {
        List<Fault> faults = new ArrayList<>();
        for (ConfigBlock block : root.blocks("trouble")) {
            long from = timeFromMs(block, "from_ms", 0, DAY_MS, 10_000);
            long until = from + timeFromMs(block, "for_ms", 1, DAY_MS, 5_000);
            switch (block.label()) {
                case "burst" -> faults.add(new Fault.Burst(from, until, block.number("size", 0, 1_000)));
                case "slow" -> faults.add(new Fault.Slowdown(from, until, block.number("part", 0, 1),
                        block.number("size", 1, 1_000)));
                case "crash" -> faults.add(new Fault.Crash(from, until, block.number("part", 0, 1)));
                case "reset" -> faults.add(new Fault.ConnectionReset(from, until,
                        timeFromMs(block, "every_ms", 1, DAY_MS, 200)));
                default -> block.addError("trouble", "'" + block.label()
                        + "' should be one of burst, slow, crash, reset");
            }
        }
        return faults;
    }

    private static void checkSharesSum(ConfigBlock root, String what, List<Double> shares) {
        double sum = shares.stream().mapToDouble(Double::doubleValue).sum();
        if (!Double.isNaN(sum) && Math.abs(sum - 1) > 0.01) {
            root.addError(what, "the shares add up to " + Math.round(sum * 1000) / 1000.0 + ", should be 1");
        }
    }

    /** Reads a duration in milliseconds, rounded to tenths of a millisecond. */
    private static long timeFromMs(ConfigBlock block, String key, double min, double max) {
        return Math.round(block.number(key, min, max) * TENTHS_PER_MS);
    }

    private static long timeFromMs(ConfigBlock block, String key, double min, double max, double defaultValue) {
        return Math.round(block.number(key, min, max, defaultValue) * TENTHS_PER_MS);
    }

    /** Reads a duration in milliseconds as tenths of a millisecond, not rounded. */
    private static double exactTimeFromMs(ConfigBlock block, String key, double min, double max) {
        return block.number(key, min, max) * TENTHS_PER_MS;
    }

    private static double exactTimeFromMs(ConfigBlock block, String key, double min, double max, double defaultValue) {
        return block.number(key, min, max, defaultValue) * TENTHS_PER_MS;
    }
}
