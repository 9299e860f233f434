package vetchrill.planner;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import vetchrill.fleet.Fleet;
import vetchrill.fleet.Fleet.Zone;
import vetchrill.fleet.Trouble;
import vetchrill.model.Run;

/** How many relays a goal takes, by kind and zone: the cheapest that is found, and what one more or less would do. */
public final class Sizing {
    private static final int MOST = 2_000;
    private static final int MIX_STEPS = 4;

    /**
     * A fleet of so many of each kind, and the service that the goal's load gets there, worst over what may be lost.
     */
    private record Tried(Map<String, Integer> counts, double price, Spread service, String worst) {
        int relays() {
            return counts.values().stream().mapToInt(Integer::intValue).sum();
        }
    }

    private final Basis basis;
    private final Sweep sweep;
    private final Goal goal;
    private final Map<Map<String, Integer>, Tried> tried = new LinkedHashMap<>();

    public Sizing(Basis basis, Sweep sweep, Goal goal) {
        this.basis = basis;
        this.sweep = sweep;
        this.goal = goal;
    }

    public Answer find() {
        Answer answer = new Answer("Relays for " + goal.name());
        double perS = basis.perS() * goal.factor(basis.perS());
        answer.remark(String.format(Locale.ROOT, "wanted: %.1f%% of benefit within the SLO time at %.1f first tries a "
                + "second%s", 100 * goal.service(), perS, goal.anyZone() ? ", any one zone lost"
                : goal.zones().isEmpty() ? "" : ", without " + String.join(" and ", goal.zones())));
        List<Tried> enough = new ArrayList<>();
        for (Fleet.Kind kind : basis.fleet.kinds) {
            Tried alone = least(Map.of(), kind.name());
            if (alone != null) {
                enough.add(alone);
            }
        }
        if (basis.fleet.kinds.size() > 1 && !enough.isEmpty()) {
            mixes(enough);
        }
        Tried best = null;
        for (Tried each : enough) {
            best = best == null || each.price < best.price || each.price == best.price
                    && each.service.mean() > best.service.mean() ? each : best;
        }
        if (best == null) {
            answer.holds = false;
            Tried most = tried.values().stream().max((a, b) -> Double.compare(a.service.mean(), b.service.mean()))
                    .orElseThrow();
            answer.remark(String.format(Locale.ROOT,
                    "no size up to %d relays meets it: the best found, %d relays, gets "
                    + "%.3f", MOST, most.relays(), most.service.mean()));
        } else {
            tell(answer, best, enough);
        }
        Answer.Table table = answer.table("All sizes that were played", "relays", "by kind", "price", "service", "from",
                "to", "worst with");
        tried.values().stream().sorted((a, b) -> a.relays() - b.relays()).forEach(each -> table.row(each.relays(),
                words(each.counts), each.price, each.service.mean(), each.service.low(), each.service.high(),
                        each.worst));
        curve(answer);
        basis.tell(answer);
        return answer;
    }

    private void tell(Answer answer, Tried best, List<Tried> enough) {
        Fleet fleet = fleet(best.counts);
        Answer.Table table = answer.table("Relays wanted", "zone", "relays");
        for (Zone zone : fleet.zones) {
            table.row(zone.name(), words(zone.relays()));
        }
        table.row("all", words(best.counts));
        Answer.Table ways = answer.table("The cheapest of each way", "by kind", "relays", "price", "service", "from",
                "to");
        for (Tried each : enough) {
            ways.row(words(each.counts), each.relays(), each.price, each.service.mean(), each.service.low(),
                    each.service.high());
        }
        String kind = best.counts.entrySet().stream().max(Map.Entry.comparingByValue()).orElseThrow().getKey();
        Answer.Table next = answer.table("One relay of kind " + kind + " less or more", "relays", "service", "from",
                "to",
                "meets the goal");
        for (int off = -1; off <= 1; off++) {
            Map<String, Integer> counts = new LinkedHashMap<>(best.counts);
            counts.merge(kind, off, Integer::sum);
            if (counts.values().stream().mapToInt(Integer::intValue).sum() > 0) {
                Tried each = play(counts);
                next.row(each.relays(), each.service.mean(), each.service.low(), each.service.high(),
                        each.service.mean() >= goal.service() ? "yes" : "no");
            }
        }
        int low = best.relays();
        int high = best.relays();
        for (Tried each : tried.values()) {
            if (each.counts.keySet().equals(best.counts.keySet())) {
                low = each.service.high() >= goal.service() ? Math.min(low, each.relays()) : low;
            }
        }
        for (int n = best.relays(); n < Math.min(MOST, best.relays() * 2); n++) {
            Map<String, Integer> counts = new LinkedHashMap<>(best.counts);
            counts.merge(kind, n - best.relays(), Integer::sum);
            high = n;
            if (play(counts).service.low() >= goal.service()) {
                break;
            }
        }
        answer.remark(String.format(Locale.ROOT,
                "%d relays, from %d to %d as sure as nine in ten over %d seeds; the fleet "
                + "has %d", best.relays(), low, high, sweep.seeds, basis.fleet.relays()));
    }

    /** The fewest of a kind beside those given; null where even the most are not enough. */
    private Tried least(Map<String, Integer> beside, String kind) {
        int low = 0;
        int high = Math.max(1, guess());
        Tried at = play(with(beside, kind, high));
        while (at.service.mean() < goal.service()) {
            low = high;
            if (high >= MOST) {
                return null;
            }
            // What more relays don't help at all, many more don't either.
            Tried more = play(with(beside, kind, Math.min(MOST, high * 2)));
            if (high > 8 * guess() && more.service.mean() < at.service.mean() + 0.002) {
                return null;
            }
            high = Math.min(MOST, high * 2);
            at = more;
        }
        while (high - low > 1) {
            int middle = (low + high) / 2;
            Tried each = middle == 0 && beside.isEmpty() ? null : play(with(beside, kind, middle));
            if (each != null && each.service.mean() >= goal.service()) {
                high = middle;
                at = each;
            } else {
                low = middle;
            }
        }
        return at;
    }

    /** Of two kinds each: some of the one, and as few of the other as do. */
    private void mixes(List<Tried> enough) {
        List<Tried> alone = List.copyOf(enough);
        for (Tried each : alone) {
            String kind = each.counts.keySet().iterator().next();
            for (Fleet.Kind other : basis.fleet.kinds) {
                for (int step = 1; step < MIX_STEPS && !other.name().equals(kind); step++) {
                    int some = each.counts.get(kind) * step / MIX_STEPS;
                    Tried mixed = some == 0 ? null : least(Map.of(kind, some), other.name());
                    if (mixed != null && mixed.counts.size() > 1) {
                        enough.add(mixed);
                    }
                }
            }
        }
    }

    private int guess() {
        double each = basis.fleet.capacity() / basis.fleet.relays();
        double wanted = basis.perS() * goal.factor(basis.perS()) * basis.fleet.meanWork();
        double left = goal.anyZone() && basis.fleet.zones.size() > 1
                ? 1 - 1.0 / basis.fleet.zones.size() : 1;
        return (int) Math.max(1, Math.min(MOST, Math.ceil(wanted / each / left)));
    }

    private static Map<String, Integer> with(Map<String, Integer> beside, String kind, int count) {
        Map<String, Integer> counts = new LinkedHashMap<>(beside);
        counts.merge(kind, count, Integer::sum);
        counts.values().removeIf(each -> each == 0);
        return counts;
    }

    /** Relays of each kind dealt out to the zones one by one. */
    private Fleet fleet(Map<String, Integer> counts) {
        List<Zone> zones = new ArrayList<>();
        int n = basis.fleet.zones.size();
        int dealt = 0;
        List<Map<String, Integer>> relays = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            relays.add(new LinkedHashMap<>());
        }
        for (Map.Entry<String, Integer> each : counts.entrySet()) {
            for (int i = 0; i < each.getValue(); i++) {
                relays.get(dealt++ % n).merge(each.getKey(), 1, Integer::sum);
            }
        }
        for (int i = 0; i < n; i++) {
            zones.add(new Zone(basis.fleet.zones.get(i).name(), relays.get(i)));
        }
        return basis.fleet.withZones(zones);
    }

    private Tried play(Map<String, Integer> counts) {
        Map<String, Integer> key = Map.copyOf(counts);
        Tried known = tried.get(key);
        if (known != null) {
            return known;
        }
        Fleet fleet = fleet(counts);
        List<Set<String>> losses = new ArrayList<>();
        if (goal.anyZone()) {
            fleet.zones.forEach(zone -> losses.add(Set.of(zone.name())));
        } else {
            losses.add(Set.copyOf(goal.zones()));
        }
        Spread worst = null;
        String with = "";
        for (Set<String> lost : losses) {
            Fleet playing = lost.isEmpty() ? fleet : fleet.withTroubles(
                    List.of(new Trouble.Lose(sweep.countFrom, Long.MAX_VALUE, lost)));
            List<Run> runs = sweep.runs(playing, basis.demand(goal.factor(basis.perS())));
            Spread service = sweep.service(runs);
            if (worst == null || service.mean() < worst.mean()) {
                worst = service;
                with = lost.isEmpty() ? "all there" : String.join(" and ", lost) + " lost";
            }
        }
        Tried each = new Tried(key, fleet.price(), worst, with);
        tried.put(key, each);
        return each;
    }

    private void curve(Answer answer) {
        List<Tried> alone = tried.values().stream().filter(each -> each.counts.size() == 1)
                .sorted((a, b) -> a.relays() - b.relays()).toList();
        Answer.Chart chart = answer.chart("Service by size", "relays", "benefit within the SLO time");
        for (Fleet.Kind kind : basis.fleet.kinds) {
            List<Tried> its = alone.stream().filter(each -> each.counts.containsKey(kind.name())).toList();
            chart.series().add(new Answer.Series(kind.name(), its.stream().mapToDouble(Tried::relays).toArray(),
                    its.stream().mapToDouble(each -> each.service.mean()).toArray(),
                    its.stream().mapToDouble(each -> each.service.low()).toArray(),
                    its.stream().mapToDouble(each -> each.service.high()).toArray()));
        }
    }

    private static String words(Map<String, Integer> counts) {
        List<String> words = new ArrayList<>();
        counts.forEach((kind, count) -> words.add(count + " " + kind));
        return words.isEmpty() ? "none" : String.join(", ", words);
    }
}
