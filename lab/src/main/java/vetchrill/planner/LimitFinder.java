package vetchrill.planner;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import vetchrill.fleet.Fleet;
import vetchrill.fleet.Fault;
import vetchrill.model.PeakUsage;
import vetchrill.model.SimulationResult;

/** Finds the load at which each limit of the fleet is reached, by simulating it at increasing loads. */
public final class LimitFinder {
    /** Simulated loads as multiples of the current load. */
    private static final double[] LOAD_FACTORS = {0.3, 0.5, 0.65, 0.8, 0.9, 1, 1.1, 1.2, 1.35, 1.5, 1.75, 2, 2.5};

    /** Difference between the laws and the simulation above which the report mentions it. */
    private static final double LAWS_TOLERANCE = 0.05;
    /** Index of the current load in {@link #LOAD_FACTORS}. */
    private static final int CURRENT_LOAD_INDEX = 5;

    /** A limit, reached when {@code metric} reaches {@code threshold}; {@code condition} describes that. */
    private record Limit(String name, String condition, double threshold, ToDoubleFunction<RunPair> metric) {
    }

    /** The two simulations of one load and seed: without faults, and with a crash and a rolling deploy. */
    private record RunPair(SimulationResult steady, SimulationResult disturbed, double rosterLoss) {
        PeakUsage peaks() {
            return steady.peakUsage();
        }
    }

    /**
     * A limit with the multiple of the current load at which it is reached, NaN if it is never reached, and its use at
     * the current load as a ratio of the threshold.
     */
    public record LimitResult(String name, String condition, ConfidenceInterval loadFactor, double currentUse) {
    }

    private final PlanInputs inputs;
    private final SimulationRunner runner;
    private final List<Limit> limits = new ArrayList<>();
    /** Filled by {@link #find}. */
    public final List<LimitResult> results = new ArrayList<>();
    private final List<ConfidenceInterval> services = new ArrayList<>();
    private final List<Double> servicesByLaws = new ArrayList<>();

    public LimitFinder(PlanInputs inputs, SimulationRunner runner) {
        this.inputs = inputs;
        this.runner = runner;
        limits.add(new Limit("cores of the fleet", "95% busy", 0.95, runs -> runs.peaks().meanCoreUsage));
        limits.add(new Limit("cores of the busiest relay", "98% busy", 0.98,
                runs -> runs.peaks().busiestInstanceCores));
        limits.add(new Limit("reading", "35% of all core time", 0.35, runs -> runs.peaks().readingShare));
        limits.add(new Limit("crowd on the cores", "80% of what is survived", 0.8, runs -> runs.peaks().runsPerCore));
        limits.add(new Limit("memory", "watermark, 85%", 0.85, runs -> runs.peaks().memory));
        limits.add(new Limit("hold", "1% of tries denied", 0.01, runs -> runs.peaks().deniedAttempts));
        limits.add(new Limit("connection table of a relay", "full", 1, runs -> runs.peaks().connections));
        limits.add(new Limit("descriptors of a relay", "half, what stubs may take", 0.5,
                runs -> runs.peaks().descriptors));
        limits.add(new Limit("advice", "1% of choices find all relays advised away", 0.01,
                runs -> runs.peaks().allAvoided));
        limits.add(new Limit("drain time", "90% of the time until the stop", 0.9,
                runs -> runs.disturbed.peakUsage().drainTime));
        limits.add(new Limit("roster", "5% of benefit lost while a dead relay is listed", 0.05,
                runs -> runs.rosterLoss));
        limits.add(new Limit("retries", "two tries for each first one", 2, runs ->
                runs.steady.statistics().retryFactor(runner.countedFromSecond(), runner.countedToSecond())));
        limits.add(new Limit("service", "95% of benefit within the SLO time", 0.05, runs ->
                1 - runs.steady.statistics().service(runner.countedFromSecond(), runner.countedToSecond())));
        limits.add(new Limit("relays that die of their load", "one", 1, runs -> runs.peaks().crashes));
        limits.add(new Limit("exchanges unanswered at a stop", "one", 1,
                runs -> runs.disturbed.peakUsage().openAtStop));
        if (inputs.fleet.tier != null) {
            limits.add(new Limit("slots of the tier below", "all in use", 1, runs -> runs.peaks().tierCalls));
        }
    }

    /** Runs the simulations and reports the limits in the order in which they are reached. */
    public Report find() {
        Fleet steadyFleet = inputs.fleet;
        long deathAt = runner.countedFrom + 5_000;
        List<Fault> faults = List.of(new Fault.RollingDeploy(deathAt + inputs.fleet.directoryDelays.silenceTimeout()),
                new Fault.Crash(deathAt, Long.MAX_VALUE, 1.0 / Math.max(1, steadyFleet.instanceCount())));
        Fleet disturbedFleet = steadyFleet.withFaults(faults);
        List<List<RunPair>> runsByLoad = new ArrayList<>();
        for (double loadFactor : LOAD_FACTORS) {
            List<SimulationResult> steadyRuns = runner.simulate(steadyFleet, inputs.workload(loadFactor));
            List<SimulationResult> disturbedRuns = runner.simulate(disturbedFleet, inputs.workload(loadFactor));
            List<RunPair> runPairs = new ArrayList<>();
            for (int i = 0; i < steadyRuns.size(); i++) {
                int fromSecond = (int) (deathAt / LoadProfile.SECOND_TENTHS_MS);
                int toSecond = (int) Math.max(fromSecond + 1, (deathAt + inputs.fleet.directoryDelays.silenceTimeout())
                        / LoadProfile.SECOND_TENTHS_MS);
                double rosterLoss = steadyRuns.get(i).statistics().service(fromSecond, toSecond) - disturbedRuns.get(i)
                        .statistics().service(fromSecond, toSecond);
                runPairs.add(new RunPair(steadyRuns.get(i), disturbedRuns.get(i),
                        Double.isNaN(rosterLoss) ? 0 : rosterLoss));
            }
            runsByLoad.add(runPairs);
            services.add(runner.meanService(steadyRuns));
            servicesByLaws.add(new OperationalLaws(steadyFleet, inputs.loadPerSecond() * loadFactor).service);
        }
        for (Limit limit : limits) {
            results.add(findCrossing(limit, runsByLoad));
        }
        results.sort(Comparator.comparingDouble(result -> Double.isNaN(result.loadFactor.mean()) ? Double.MAX_VALUE
                : result.loadFactor.mean()));
        return buildReport();
    }

    private LimitResult findCrossing(Limit limit, List<List<RunPair>> runsByLoad) {
        List<Double> crossings = new ArrayList<>();
        double currentUse = 0;
        for (int seed = 0; seed < runner.seedCount; seed++) {
            currentUse += limit.metric.applyAsDouble(runsByLoad.get(CURRENT_LOAD_INDEX).get(seed)) / runner.seedCount;
            double previousValue = 0;
            double previousLoadFactor = 0;
            for (int i = 0; i < LOAD_FACTORS.length; i++) {
                double value = limit.metric.applyAsDouble(runsByLoad.get(i).get(seed));
                if (value >= limit.threshold) {
                    double fraction = value > previousValue ? (limit.threshold - previousValue)
                            / (value - previousValue) : 1;
                    crossings.add(previousLoadFactor + Math.max(0, fraction) * (LOAD_FACTORS[i] - previousLoadFactor));
                    break;
                }
                previousValue = value;
                previousLoadFactor = LOAD_FACTORS[i];
            }
        }
        ConfidenceInterval interval = crossings.size() * 2 <= runner.seedCount ? new ConfidenceInterval(Double.NaN,
                Double.NaN, Double.NaN)
                : ConfidenceInterval.of(crossings.stream().mapToDouble(Double::doubleValue).toArray());
        return new LimitResult(limit.name, limit.condition, interval, currentUse / limit.threshold);
    }

    private Report buildReport() {
        Report report = new Report("Limits of " + inputs.fleet.name);
        double currentLoadPerSecond = inputs.loadPerSecond();
        Report.Table table = report.addTable("Limits in the order in which they are reached", "limit", "reached at",
                "load, 1/s", "from", "to", "times the load of now", "margin", "now, of the limit");
        for (LimitResult result : results) {
            if (Double.isNaN(result.loadFactor.mean())) {
                table.addRow(result.name, result.condition,
                        "not up to " + Math.round(LOAD_FACTORS[LOAD_FACTORS.length - 1] * currentLoadPerSecond),
                        "", "", "", "", result.currentUse);
            } else {
                table.addRow(result.name, result.condition, result.loadFactor.mean() * currentLoadPerSecond,
                        result.loadFactor.low() * currentLoadPerSecond, result.loadFactor.high() * currentLoadPerSecond,
                        result.loadFactor.mean(), Math.round(100 * (result.loadFactor.mean() - 1)) + "%",
                        result.currentUse);
            }
        }
        Report.Table comparison = report.addTable("Service by load: the model beside the first cut by operational laws",
                "load, 1/s", "times the load of now", "service", "from", "to", "by laws", "apart");
        Report.Chart chart = report.addChart("Service by load", "first attempts per second",
                "benefit within the SLO time");
        double[] x = new double[LOAD_FACTORS.length];
        double[][] y = new double[4][LOAD_FACTORS.length];
        double firstDifferingLoad = Double.MAX_VALUE;
        int worstIndex = 0;
        for (int i = 0; i < LOAD_FACTORS.length; i++) {
            ConfidenceInterval service = services.get(i);
            x[i] = LOAD_FACTORS[i] * currentLoadPerSecond;
            y[0][i] = service.mean();
            y[1][i] = service.low();
            y[2][i] = service.high();
            y[3][i] = servicesByLaws.get(i);
            double difference = servicesByLaws.get(i) - service.mean();
            comparison.addRow(x[i], LOAD_FACTORS[i], service.mean(), service.low(), service.high(),
                    servicesByLaws.get(i), difference);
            if (Math.abs(difference) > LAWS_TOLERANCE + (service.high() - service.low())) {
                firstDifferingLoad = Math.min(firstDifferingLoad, x[i]);
                worstIndex = Math.abs(difference) > Math.abs(servicesByLaws.get(worstIndex) - services.get(worstIndex)
                        .mean()) ? i : worstIndex;
            }
        }
        if (firstDifferingLoad < Double.MAX_VALUE) {
            report.addRemark(String.format(Locale.ROOT,
                    "from %.0f 1/s on, the operational laws and the simulation differ by more than their "
                    + "simplifications explain, most at %.0f 1/s: %.2f by the laws, %.2f by the simulation; the laws "
                    + "ignore hot subjects, the lag of the roster, the order of the pending queue and the retry-after "
                    + "delays of the overload controller", firstDifferingLoad, x[worstIndex],
                    servicesByLaws.get(worstIndex), services.get(worstIndex).mean()));
        }
        chart.series().add(new Report.Series("model", x, y[0], y[1], y[2]));
        chart.series().add(new Report.Series("operational laws", x, y[3], null, null));
        OperationalLaws currentLaws = new OperationalLaws(inputs.fleet, currentLoadPerSecond);
        if (currentLaws.metastable) {
            report.addRemark(String.format(Locale.ROOT,
                    "by the operational laws, retries could keep this fleet overloaded at the current load; "
                    + "shedding %.0f%% of it would let the fleet recover", 100 * currentLaws.shedShare));
        }
        inputs.addTo(report);
        return report;
    }

    /** The load factor at which each limit is reached, by the name of the limit. */
    public Map<String, ConfidenceInterval> loadFactorsByName() {
        Map<String, ConfidenceInterval> loadFactors = new LinkedHashMap<>();
        results.forEach(result -> loadFactors.put(result.name, result.loadFactor));
        return loadFactors;
    }
}
