package vetchrill.planner;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import vetchrill.fleet.Fleet;
import vetchrill.fleet.Fleet.Zone;
import vetchrill.fleet.Fault;
import vetchrill.model.SimulationResult;

/**
 * Finds the number of instances that meets a goal, by kind and zone: the cheapest combination found, and the effect of
 * one instance more or less.
 */
public final class FleetSizer {
    /** Largest fleet that is simulated. */
    private static final int MAX_INSTANCES = 2_000;
    /** A mix of two kinds has 1 to {@code MIX_STEPS - 1} parts of the count that suffices of the first kind alone. */
    private static final int MIX_STEPS = 4;

    /**
     * The simulated service of a fleet with these counts at the load of the goal: the worst of the zone losses that
     * the goal covers.
     */
    private record SizeResult(Map<String, Integer> countsByKind, double price, ConfidenceInterval service,
            String worstCase) {
        int instanceCount() {
            return countsByKind.values().stream().mapToInt(Integer::intValue).sum();
        }
    }

    private final PlanInputs inputs;
    private final SimulationRunner runner;
    private final Goal goal;
    private final Map<Map<String, Integer>, SizeResult> resultsByCounts = new LinkedHashMap<>();

    public FleetSizer(PlanInputs inputs, SimulationRunner runner, Goal goal) {
        this.inputs = inputs;
        this.runner = runner;
        this.goal = goal;
    }

    /** Searches all kinds and mixes of two kinds, and reports the cheapest fleet that meets the goal. */
    public Report find() {
        Report report = new Report("Relays for " + goal.name());
        double loadPerSecond = inputs.loadPerSecond() * goal.loadFactor(inputs.loadPerSecond());
        report.addRemark(String.format(Locale.ROOT,
                "goal: %.1f%% of the benefit within the SLO time at %.1f first attempts per second%s",
                100 * goal.service(), loadPerSecond, goal.anyZoneLost() ? ", any one zone lost"
                : goal.zonesLost().isEmpty() ? "" : ", without " + String.join(" and ", goal.zonesLost())));
        List<SizeResult> sufficient = new ArrayList<>();
        for (Fleet.MachineKind kind : inputs.fleet.kinds) {
            SizeResult single = findMinimum(Map.of(), kind.name());
            if (single != null) {
                sufficient.add(single);
            }
        }
        if (inputs.fleet.kinds.size() > 1 && !sufficient.isEmpty()) {
            addMixes(sufficient);
        }
        SizeResult cheapest = null;
        for (SizeResult result : sufficient) {
            cheapest = cheapest == null || result.price < cheapest.price || result.price == cheapest.price
                    && result.service.mean() > cheapest.service.mean() ? result : cheapest;
        }
        if (cheapest == null) {
            report.goalMet = false;
            SizeResult highest = resultsByCounts.values().stream()
                    .max((a, b) -> Double.compare(a.service.mean(), b.service.mean()))
                    .orElseThrow();
            report.addRemark(String.format(Locale.ROOT,
                    "no size up to %d instances meets the goal: the best found, %d instances, reaches %.3f",
                    MAX_INSTANCES, highest.instanceCount(), highest.service.mean()));
        } else {
            addSizes(report, cheapest, sufficient);
        }
        Report.Table table = report.addTable("All sizes that were played", "relays", "by kind", "price", "service",
                "from", "to", "worst with");
        resultsByCounts.values().stream().sorted((a, b) -> a.instanceCount() - b.instanceCount())
                .forEach(result -> table.addRow(result.instanceCount(),
                describe(result.countsByKind), result.price, result.service.mean(), result.service.low(),
                result.service.high(), result.worstCase));
        addChart(report);
        inputs.addTo(report);
        return report;
    }

    private void addSizes(Report report, SizeResult cheapest, List<SizeResult> sufficient) {
        Fleet fleet = buildFleet(cheapest.countsByKind);
        Report.Table table = report.addTable("Relays wanted", "zone", "relays");
        for (Zone zone : fleet.zones) {
            table.addRow(zone.name(), describe(zone.instancesByKind()));
        }
        table.addRow("all", describe(cheapest.countsByKind));
        Report.Table alternatives = report.addTable("The cheapest of each way", "by kind", "relays", "price", "service",
                "from", "to");
        for (SizeResult result : sufficient) {
            alternatives.addRow(describe(result.countsByKind), result.instanceCount(), result.price,
                    result.service.mean(), result.service.low(), result.service.high());
        }
        String kind = cheapest.countsByKind.entrySet().stream().max(Map.Entry.comparingByValue()).orElseThrow()
                .getKey();
        Report.Table neighbours = report.addTable("One relay of kind " + kind + " less or more", "relays", "service",
                "from", "to", "meets the goal");
        for (int offset = -1; offset <= 1; offset++) {
            Map<String, Integer> countsByKind = new LinkedHashMap<>(cheapest.countsByKind);
            countsByKind.merge(kind, offset, Integer::sum);
            if (countsByKind.values().stream().mapToInt(Integer::intValue).sum() > 0) {
                SizeResult result = simulate(countsByKind);
                neighbours.addRow(result.instanceCount(), result.service.mean(), result.service.low(),
                        result.service.high(), result.service.mean() >= goal.service() ? "yes" : "no");
            }
        }
        int minCount = cheapest.instanceCount();
        int maxCount = cheapest.instanceCount();
        for (SizeResult result : resultsByCounts.values()) {
            if (result.countsByKind.keySet().equals(cheapest.countsByKind.keySet())) {
                minCount = result.service.high() >= goal.service() ? Math.min(minCount, result.instanceCount())
                        : minCount;
            }
        }
        for (int count = cheapest.instanceCount(); count < Math.min(MAX_INSTANCES,
                cheapest.instanceCount() * 2); count++) {
            Map<String, Integer> countsByKind = new LinkedHashMap<>(cheapest.countsByKind);
            countsByKind.merge(kind, count - cheapest.instanceCount(), Integer::sum);
            maxCount = count;
            if (simulate(countsByKind).service.low() >= goal.service()) {
                break;
            }
        }
        report.addRemark(String.format(Locale.ROOT,
                "%d instances, %d to %d with 90%% confidence over %d seeds; the fleet has %d",
                cheapest.instanceCount(), minCount, maxCount, runner.seedCount, inputs.fleet.instanceCount()));
    }

    /** The smallest sufficient count of a kind beside fixed counts of others; null if no count suffices. */
    private SizeResult findMinimum(Map<String, Integer> fixedCounts, String kind) {
        int insufficientCount = 0;
        int sufficientCount = Math.max(1, estimateCount());
        SizeResult sufficient = simulate(withInstances(fixedCounts, kind, sufficientCount));
        while (sufficient.service.mean() < goal.service()) {
            insufficientCount = sufficientCount;
            if (sufficientCount >= MAX_INSTANCES) {
                return null;
            }
            // Gives up when doubling the count no longer improves the service.
            SizeResult larger = simulate(withInstances(fixedCounts, kind,
                    Math.min(MAX_INSTANCES, sufficientCount * 2)));
            if (sufficientCount > 8 * estimateCount() && larger.service.mean() < sufficient.service.mean() + 0.002) {
                return null;
            }
            sufficientCount = Math.min(MAX_INSTANCES, sufficientCount * 2);
            sufficient = larger;
        }
        while (sufficientCount - insufficientCount > 1) {
            int middleCount = (insufficientCount + sufficientCount) / 2;
            SizeResult candidate = middleCount == 0 && fixedCounts.isEmpty() ? null
                    : simulate(withInstances(fixedCounts, kind, middleCount));
            if (candidate != null && candidate.service.mean() >= goal.service()) {
                sufficientCount = middleCount;
                sufficient = candidate;
            } else {
                insufficientCount = middleCount;
            }
        }
        return sufficient;
    }

    /** Adds mixes of two kinds: a fixed count of one, and the smallest sufficient count of the other. */
    private void addMixes(List<SizeResult> sufficient) {
        List<SizeResult> singleKind = List.copyOf(sufficient);
        for (SizeResult result : singleKind) {
            String kind = result.countsByKind.keySet().iterator().next();
            for (Fleet.MachineKind other : inputs.fleet.kinds) {
                for (int step = 1; step < MIX_STEPS && !other.name().equals(kind); step++) {
                    int fixedCount = result.countsByKind.get(kind) * step / MIX_STEPS;
                    SizeResult mixed = fixedCount == 0 ? null : findMinimum(Map.of(kind, fixedCount), other.name());
                    if (mixed != null && mixed.countsByKind.size() > 1) {
                        sufficient.add(mixed);
                    }
                }
            }
        }
    }

    /** The count that the work of the goal's load requires, without regard to random variation. */
    private int estimateCount() {
        double capacityPerInstance = inputs.fleet.capacity() / inputs.fleet.instanceCount();
        double requiredCapacity = inputs.loadPerSecond() * goal.loadFactor(inputs.loadPerSecond())
                * inputs.fleet.meanCoreTime();
        double remainingShare = goal.anyZoneLost() && inputs.fleet.zones.size() > 1
                ? 1 - 1.0 / inputs.fleet.zones.size() : 1;
        return (int) Math.max(1,
                Math.min(MAX_INSTANCES, Math.ceil(requiredCapacity / capacityPerInstance / remainingShare)));
    }

    private static Map<String, Integer> withInstances(Map<String, Integer> fixedCounts, String kind, int count) {
        Map<String, Integer> counts = new LinkedHashMap<>(fixedCounts);
        counts.merge(kind, count, Integer::sum);
        counts.values().removeIf(each -> each == 0);
        return counts;
    }

    /** Distributes the instances of each kind to the zones in turn. */
    private Fleet buildFleet(Map<String, Integer> countsByKind) {
        List<Zone> zones = new ArrayList<>();
        int zoneCount = inputs.fleet.zones.size();
        int assigned = 0;
        List<Map<String, Integer>> countsByZone = new ArrayList<>();
        for (int i = 0; i < zoneCount; i++) {
            countsByZone.add(new LinkedHashMap<>());
        }
        for (Map.Entry<String, Integer> entry : countsByKind.entrySet()) {
            for (int i = 0; i < entry.getValue(); i++) {
                countsByZone.get(assigned++ % zoneCount).merge(entry.getKey(), 1, Integer::sum);
            }
        }
        for (int i = 0; i < zoneCount; i++) {
            zones.add(new Zone(inputs.fleet.zones.get(i).name(), countsByZone.get(i)));
        }
        return inputs.fleet.withZones(zones);
    }

    private SizeResult simulate(Map<String, Integer> countsByKind) {
        Map<String, Integer> key = Map.copyOf(countsByKind);
        SizeResult cached = resultsByCounts.get(key);
        if (cached != null) {
            return cached;
        }
        Fleet fleet = buildFleet(countsByKind);
        List<Set<String>> lossCases = new ArrayList<>();
        if (goal.anyZoneLost()) {
            fleet.zones.forEach(zone -> lossCases.add(Set.of(zone.name())));
        } else {
            lossCases.add(Set.copyOf(goal.zonesLost()));
        }
        ConfidenceInterval worstService = null;
        String worstCase = "";
        for (Set<String> lostZones : lossCases) {
            Fleet caseFleet = lostZones.isEmpty() ? fleet : fleet.withFaults(
                    List.of(new Fault.ZoneLoss(runner.countedFrom, Long.MAX_VALUE, lostZones)));
            List<SimulationResult> runs = runner.simulate(caseFleet,
                    inputs.workload(goal.loadFactor(inputs.loadPerSecond())));
            ConfidenceInterval service = runner.meanService(runs);
            if (worstService == null || service.mean() < worstService.mean()) {
                worstService = service;
                worstCase = lostZones.isEmpty() ? "all there" : String.join(" and ", lostZones) + " lost";
            }
        }
        SizeResult result = new SizeResult(key, fleet.price(), worstService, worstCase);
        resultsByCounts.put(key, result);
        return result;
    }

    private void addChart(Report report) {
        List<SizeResult> singleKind = resultsByCounts.values().stream()
                .filter(result -> result.countsByKind.size() == 1)
                .sorted((a, b) -> a.instanceCount() - b.instanceCount()).toList();
        Report.Chart chart = report.addChart("Service by size", "instances", "benefit within the SLO time");
        for (Fleet.MachineKind kind : inputs.fleet.kinds) {
            List<SizeResult> ofKind = singleKind.stream().filter(result -> result.countsByKind.containsKey(kind.name()))
                    .toList();
            chart.series().add(new Report.Series(kind.name(),
                    ofKind.stream().mapToDouble(SizeResult::instanceCount).toArray(),
                    ofKind.stream().mapToDouble(result -> result.service.mean()).toArray(),
                    ofKind.stream().mapToDouble(result -> result.service.low()).toArray(),
                    ofKind.stream().mapToDouble(result -> result.service.high()).toArray()));
        }
    }

    private static String describe(Map<String, Integer> countsByKind) {
        List<String> parts = new ArrayList<>();
        countsByKind.forEach((kind, count) -> parts.add(count + " " + kind));
        return parts.isEmpty() ? "none" : String.join(", ", parts);
    }
}
