package vetchrill.fleet;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import vetchrill.fleet.Fleet.Customer;
import vetchrill.fleet.Fleet.Deploy;
import vetchrill.fleet.Fleet.Effect;
import vetchrill.fleet.Fleet.Group;
import vetchrill.fleet.Fleet.Habit;
import vetchrill.fleet.Fleet.Kind;
import vetchrill.fleet.Fleet.Load;
import vetchrill.fleet.Fleet.Network;
import vetchrill.fleet.Fleet.Pool;
import vetchrill.fleet.Fleet.Retry;
import vetchrill.fleet.Fleet.Roster;
import vetchrill.fleet.Fleet.Rules;
import vetchrill.fleet.Fleet.Subjects;
import vetchrill.fleet.Fleet.Tier;
import vetchrill.fleet.Fleet.Zone;
import vetchrill.hcl.Block;

/** Reads a fleet from HCL; see docs/planner-operators.md for every key, its unit and its range. */
public final class FleetFile {
    private static final double DAY_MS = 86_400_000;
    private static final int MOST_RELAYS = 2_000;
    private static final int MOST_STUBS = 5_000;

    private FleetFile() {
    }

    /** Throws Mistakes with all that is wrong. */
    public static Fleet read(Path file) {
        return read(Block.read(file));
    }

    public static Fleet read(Block root) {
        List<Kind> kinds = new ArrayList<>();
        for (Block block : root.blocks("kind")) {
            kinds.add(kind(block));
        }
        List<Zone> zones = new ArrayList<>();
        int relays = 0;
        for (Block block : root.blocks("zone")) {
            Map<String, Integer> counts = block.counts("relays", MOST_RELAYS);
            for (String kind : counts.keySet()) {
                if (kinds.stream().noneMatch(each -> each.name().equals(kind))) {
                    block.mistake("relays", "names kind '" + kind + "', which no kind block describes");
                }
            }
            Zone zone = new Zone(block.label(), new LinkedHashMap<>(counts));
            zones.add(zone);
            relays += zone.count();
        }
        if (zones.isEmpty()) {
            root.mistake("zone", "one block at least is needed");
        } else if (relays == 0 || relays > MOST_RELAYS) {
            root.mistake("zone", "all zones together should have 1 to " + MOST_RELAYS + " relays, not " + relays);
        }
        Block belowBlock = root.block("tier");
        Tier tier = root.hasBlock("tier") ? new Tier(belowBlock.label(), belowBlock.whole("slots", 1, 1_000_000),
                tenths(belowBlock, "work_ms", 0.1, 60_000), belowBlock.number("work_cv", 0, 10, 0.5)) : null;
        List<Group> groups = new ArrayList<>();
        for (Block block : root.blocks("group")) {
            groups.add(group(block, tier != null));
        }
        if (groups.isEmpty()) {
            root.mistake("group", "one block at least is needed");
        }
        shares(root, "group", groups.stream().map(Group::share).toList());
        List<Customer> customers = new ArrayList<>();
        for (Block block : root.blocks("customer")) {
            customers.add(new Customer(block.label(), block.number("share", 0, 1),
                    block.number("allowance_per_s", 0, 1e6, 0)));
        }
        if (customers.isEmpty()) {
            customers.add(new Customer("all", 1, 0));
        }
        shares(root, "customer", customers.stream().map(Customer::share).toList());
        List<Pool> pools = new ArrayList<>();
        Set<String> zoneNames = new HashSet<>(zones.stream().map(Zone::name).toList());
        int stubs = 0;
        for (Block block : root.blocks("stubs")) {
            pools.add(pool(block, zoneNames));
            stubs += pools.get(pools.size() - 1).count();
        }
        if (stubs < 1 || stubs > MOST_STUBS) {
            root.mistake("stubs", "all blocks together should have 1 to " + MOST_STUBS + " stubs, not " + stubs);
        }
        Block net = root.block("network");
        Block roster = root.block("roster");
        Block rules = root.block("rules");
        Block load = root.block("load");
        Block subjects = root.block("subjects");
        Block deploy = root.block("deploy");
        Fleet fleet = new Fleet(root.word("name", "fleet"), zones, kinds, groups, customers, pools,
                new Network(time(net, "within_ms", 0, 1_000, 0.2), time(net, "across_ms", 0, 1_000, 2)),
                new Roster(time(roster, "lag_ms", 0, 600_000, 1_500), time(roster, "silent_ms", 0, 600_000, 4_500)),
                rules(rules),
                tier, new Load(load.number("per_s", 0, 1e6, Double.NaN), load.number("swing", 0, 1, 0),
                        time(load, "period_ms", 100, DAY_MS, 30_000)),
                new Subjects(subjects.whole("distinct", 1, 100_000_000, -1), subjects.number("skew", 0, 3, Double.NaN)),
                new Deploy(deploy.number("batch", 0.001, 1, 0.2), time(deploy, "gap_ms", 0, DAY_MS, 1_000),
                        deploy.oneOf("order", "spread", "zones").equals("spread"),
                        time(deploy, "start_ms", 0, DAY_MS, 1_000)),
                troubles(root));
        root.check();
        return fleet;
    }

    private static Kind kind(Block block) {
        double from = block.number("crowd_from", 0.1, 1_000, Double.NaN);
        double loss = block.number("crowd_loss", 0, 10, Double.NaN);
        if (Double.isNaN(from) != Double.isNaN(loss)) {
            block.mistake(Double.isNaN(from) ? "crowd_loss" : "crowd_from", "goes with crowd_from and crowd_loss both");
        }
        int descriptors = block.whole("descriptors", 32, 1_000_000, 1_024);
        int table = block.whole("connection_table", 1, 1_000_000, descriptors / 8);
        if (table > descriptors) {
            block.mistake("connection_table", "is " + table + ", which is more than the " + descriptors
                    + " descriptors");
        }
        return new Kind(block.label(), block.whole("cores", 1, 1_024), block.number("speed", 0.01, 100, 1),
                block.number("speed_cv", 0, 1, 0), tenths(block, "reading_ms", 0, 10_000, Double.NaN), from, loss,
                block.number("memory_mb", 0.1, 1e6) * 1024, table, block.number("table_tax", 0, 100, 0),
                tenths(block, "connect_ms", 0, 1_000, 0), descriptors, block.number("cold_share", 0.01, 1, 1),
                time(block, "warm_up_ms", 0, DAY_MS, 0), block.number("price", 0, 1e9, 1));
    }

    private static Group group(Block block, boolean tier) {
        Effect effect = switch (block.oneOf("effect", "repeatable", "deduplicated", "mutating")) {
            case "mutating" -> Effect.MUTATING;
            case "deduplicated" -> Effect.DEDUPLICATED;
            default -> Effect.REPEATABLE;
        };
        long slo = time(block, "slo_ms", 1, DAY_MS);
        long timeout = time(block, "timeout_ms", 1, DAY_MS);
        if (timeout < slo) {
            block.mistake("timeout_ms", "is below slo_ms, should be at least as long");
        }
        double calls = block.number("calls", 0, 1, 0);
        if (calls > 0 && !tier) {
            block.mistake("calls", "needs a tier block, which the file has not");
        }
        return new Group(block.label(), effect, slo, timeout, block.number("benefit", 0, 1e6, 1),
                block.number("late_share", 0, 1, 0), block.number("share", 0, 1, Double.NaN),
                tenths(block, "work_ms", 0.01, 600_000, Double.NaN), block.number("work_cv", 0, 10, Double.NaN),
                block.number("memory_kb", 0.001, 2_000, Double.NaN), block.whole("body_bytes", 0, 2_048, 64), calls,
                block.number("benefit_without_call", 0, 1, 0));
    }

    private static Pool pool(Block block, Set<String> zones) {
        Retry retry = Retry.valueOf(block.oneOf("retry", "none", "limited", "unlimited").toUpperCase());
        int tries = block.whole("tries", 2, 10_000, 3);
        if (retry != Retry.LIMITED && block.has("tries")) {
            block.mistake("tries", "goes with retry = \"limited\" only");
        }
        String zone = block.word("zone", "");
        if (!zone.isEmpty() && !zones.contains(zone)) {
            block.mistake("zone", "'" + zone + "' is no zone of this file");
        }
        return new Pool(block.label(), block.whole("count", 1, MOST_STUBS),
                Habit.valueOf(block.oneOf("habit", "round", "least", "subject", "report").toUpperCase()), retry, tries,
                time(block, "wait_ms", 0, DAY_MS, 0), time(block, "try_timeout_ms", 0, DAY_MS, 0),
                block.number("heed", 0, 1, 1), zone);
    }

    private static Rules rules(Block block) {
        Rules rules = new Rules(time(block, "grace_ms", 0, DAY_MS, 2_500), time(block, "stop_ms", 100, DAY_MS, 8_000),
                block.number("crowd_per_core", 1, 10_000, 8), time(block, "crowd_span_ms", 100, DAY_MS, 1_500),
                time(block, "longest_away_ms", 0, DAY_MS, 1_000), block.number("beyond_share", 0, 1, 1),
                time(block, "idle_ms", 10, DAY_MS, 15_000), block.number("run_growth", 1, 1_000, 4),
                time(block, "restart_ms", 0, DAY_MS, 2_000));
        if (rules.grace() > rules.stop()) {
            block.mistake("grace_ms", "is past stop_ms, should be at most that");
        }
        return rules;
    }

    private static List<Trouble> troubles(Block root) {
        List<Trouble> troubles = new ArrayList<>();
        for (Block block : root.blocks("trouble")) {
            long from = time(block, "from_ms", 0, DAY_MS, 10_000);
            long until = from + time(block, "for_ms", 1, DAY_MS, 5_000);
            switch (block.label()) {
                case "burst" -> troubles.add(new Trouble.Burst(from, until, block.number("size", 0, 1_000)));
                case "slow" -> troubles.add(new Trouble.Slow(from, until, block.number("part", 0, 1),
                        block.number("size", 1, 1_000)));
                case "crash" -> troubles.add(new Trouble.Crash(from, until, block.number("part", 0, 1)));
                case "reset" -> troubles.add(new Trouble.Reset(from, until, time(block, "every_ms", 1, DAY_MS, 200)));
                default -> block.mistake("trouble", "'" + block.label()
                        + "' should be one of burst, slow, crash, reset");
            }
        }
        return troubles;
    }

    private static void shares(Block root, String what, List<Double> shares) {
        double sum = shares.stream().mapToDouble(Double::doubleValue).sum();
        if (!Double.isNaN(sum) && Math.abs(sum - 1) > 0.01) {
            root.mistake(what, "the shares add up to " + Math.round(sum * 1000) / 1000.0 + ", should be 1");
        }
    }

    private static long time(Block block, String key, double least, double most) {
        return Math.round(block.number(key, least, most) * 10);
    }

    private static long time(Block block, String key, double least, double most, double otherwise) {
        return Math.round(block.number(key, least, most, otherwise) * 10);
    }

    private static double tenths(Block block, String key, double least, double most) {
        return block.number(key, least, most) * 10;
    }

    private static double tenths(Block block, String key, double least, double most, double otherwise) {
        return block.number(key, least, most, otherwise) * 10;
    }
}
