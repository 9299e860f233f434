package vetchrill.planner;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import vetchrill.fleet.Fleet;
import vetchrill.fleet.Fault;
import vetchrill.model.SimulationResult;

/**
 * Simulates the loss of zones: alone, in each phase of a rolling deploy, and followed by the return of all their
 * instances cold.
 */
public final class ZoneLossAnalysis {
    /** A fleet has recovered once its service is at least this ratio of the target for this many seconds. */
    private static final int STEADY_SECONDS = 5;
    private static final double RECOVERED_RATIO = 0.95;
    /** How long the zones are lost where they return. */
    private static final long OUTAGE_TENTHS_MS = 15 * LoadProfile.SECOND_TENTHS_MS;
    /** Time after the return within which the fleet must recover. */
    private static final int RECOVERY_WAIT_SECONDS = 45;
    /** Candidate shares of the load to shed. */
    private static final double[] SHED_SHARES = {0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9};

    private final PlanInputs inputs;
    private final SimulationRunner runner;
    private final double loadFactor;

    /** {@code loadFactor} is the simulated load as a multiple of the current load. */
    public ZoneLossAnalysis(PlanInputs inputs, SimulationRunner runner, double loadFactor) {
        this.inputs = inputs;
        this.runner = runner;
        this.loadFactor = loadFactor;
    }

    /** Analyses the loss of each of these sets of zones, or of each single zone if none is given. */
    public Report find(List<Set<String>> requestedSets) {
        Report report = new Report("What the loss of a zone does to " + inputs.fleet.name);
        report.addRemark(String.format(Locale.ROOT,
                "simulated at %.1f first attempts per second, %.0f%% of the capacity of the warm cores",
                inputs.loadPerSecond() * loadFactor,
                100 * inputs.loadPerSecond() * loadFactor / inputs.fleet.fullLoad()));
        List<Set<String>> zoneSets = new ArrayList<>(requestedSets);
        if (zoneSets.isEmpty()) {
            inputs.fleet.zones.forEach(zone -> zoneSets.add(Set.of(zone.name())));
        }
        Report.Table table = report.addTable("Service when zones are lost, of all that is asked for from then on",
                "lost", "when", "before", "after", "from", "to", "worst 5 s", "relays that fell",
                "back by itself", "after, s", "load to shed");
        Report.Chart chart = report.addChart("Service second by second, the zone lost at 0", "seconds",
                "benefit within the SLO time");
        for (Set<String> lostZones : zoneSets) {
            addPermanentLoss(lostZones, report, table, chart);
            addLossDuringDeploy(lostZones, report, table);
            addLossWithReturn(lostZones, report, table, chart);
        }
        inputs.addTo(report);
        return report;
    }

    private String joinNames(Set<String> lostZones) {
        return String.join(" and ", lostZones.stream().sorted().toList());
    }

    private List<SimulationResult> simulate(List<Fault> faults, long span) {
        return runner.simulate(inputs.fleet.withFaults(faults), inputs.workload(loadFactor), span);
    }

    private void addPermanentLoss(Set<String> lostZones, Report report, Report.Table table, Report.Chart chart) {
        long lossAt = 2 * runner.countedFrom;
        long span = lossAt + 30L * LoadProfile.SECOND_TENTHS_MS;
        List<SimulationResult> runs = simulate(List.of(new Fault.ZoneLoss(lossAt, Long.MAX_VALUE, lostZones)), span);
        int lossSecond = (int) (lossAt / LoadProfile.SECOND_TENTHS_MS);
        int endSecond = (int) (span / LoadProfile.SECOND_TENTHS_MS);
        double settledService = settledService(runs, endSecond);
        // Recovered means as good as the remaining instances can be at this load.
        Recovery recovery = findRecovery(runs, lossSecond, endSecond, settledService);
        addRow(table, lostZones, "alone, for good", runs, lossSecond, endSecond, recovery, Double.NaN);
        chart.series().add(buildSeries(joinNames(lostZones) + ", for good", runs, lossSecond, endSecond));
        if (!recovery.allRecovered && settledService < RECOVERED_RATIO * serviceBefore(runs, lossSecond)) {
            report.addRemark("without " + joinNames(lostZones)
                    + " the fleet has too little capacity for this load and does not recover");
        }
    }

    /** Mean service in the last seconds of the runs. */
    private double settledService(List<SimulationResult> runs, int endSecond) {
        return ConfidenceInterval.of(runs.stream()
                .mapToDouble(run -> run.statistics().service(endSecond - 2 * STEADY_SECONDS, endSecond)).toArray())
                .mean();
    }

    private double serviceBefore(List<SimulationResult> runs, int lossSecond) {
        return ConfidenceInterval.of(runs.stream()
                .mapToDouble(run -> run.statistics().service(runner.countedFromSecond(), lossSecond)).toArray())
                .mean();
    }

    private void addLossDuringDeploy(Set<String> lostZones, Report report, Report.Table table) {
        long deployStart = 2 * runner.countedFrom;
        Fleet fleet = inputs.fleet;
        long batchPeriod = fleet.batchPeriod();
        int batches = fleet.deployBatches().size();
        long[] phaseOffsets = {fleet.rules.stopTimeout() / 2, fleet.rules.stopTimeout() + fleet.deploy.startTime() / 2,
            fleet.rules.stopTimeout() + fleet.deploy.startTime() + fleet.deploy.gap() / 2};
        String[] phaseNames = {"draining", "stopped", "starting cold"};
        long deployEnd = deployStart + batches * batchPeriod;
        Fault deploy = new Fault.RollingDeploy(deployStart);
        double targetService = Double.NaN;
        double worstService = 2;
        String worstPhase = "";
        Fault worstLoss = null;
        Recovery worstRecovery = null;
        // All batches of a small deploy; of a large one, enough to show its beginning, middle and end.
        int batchStep = Math.max(1, batches / 6);
        for (int batch = 0; batch < batches; batch += batchStep) {
            for (int phase = 0; phase < phaseOffsets.length; phase++) {
                long lossAt = deployStart + batch * batchPeriod + phaseOffsets[phase];
                long span = Math.max(lossAt, deployEnd) + 25L * LoadProfile.SECOND_TENTHS_MS;
                Fault loss = new Fault.ZoneLoss(lossAt, Long.MAX_VALUE, lostZones);
                if (Double.isNaN(targetService)) {
                    // The target is the service without the zone and without the deploy.
                    targetService = settledService(simulate(List.of(loss), span),
                            (int) (span / LoadProfile.SECOND_TENTHS_MS));
                }
                List<SimulationResult> runs = simulate(List.of(deploy, loss), span);
                int lossSecond = (int) (lossAt / LoadProfile.SECOND_TENTHS_MS);
                int endSecond = (int) (span / LoadProfile.SECOND_TENTHS_MS);
                Recovery recovery = findRecovery(runs,
                        (int) (Math.max(lossAt, deployEnd) / LoadProfile.SECOND_TENTHS_MS), endSecond, targetService);
                ConfidenceInterval service = serviceAfter(runs, lossSecond, lossSecond + 20);
                String phaseLabel = "batch " + (batch + 1) + " of " + batches + " " + phaseNames[phase];
                if (service.mean() < worstService) {
                    worstService = service.mean();
                    worstPhase = phaseLabel;
                    worstLoss = loss;
                    worstRecovery = recovery;
                }
                addRow(table, lostZones, "deploy, " + phaseLabel, runs, lossSecond, lossSecond + 20, recovery,
                        Double.NaN);
            }
        }
        report.addRemark(String.format(Locale.ROOT, "in a rolling deploy the loss of %s is worst with %s: %.3f in the "
                + "twenty seconds after it", joinNames(lostZones), worstPhase, worstService));
        if (!worstRecovery.allRecovered) {
            long recoveryStart = Math.max(worstLoss.from(), deployEnd);
            double shedShare = minShedShare(List.of(deploy, worstLoss), recoveryStart,
                    recoveryStart + 25L * LoadProfile.SECOND_TENTHS_MS, targetService);
            report.addRemark("there the fleet does not recover by itself after the deploy"
                    + (Double.isNaN(shedShare)
                    ? ", nor with 90% of the load shed" : "; it recovers with " + Math.round(100 * shedShare)
                    + "% of the load shed from then on"));
        }
    }

    private void addLossWithReturn(Set<String> lostZones, Report report, Report.Table table, Report.Chart chart) {
        long lossAt = 2 * runner.countedFrom;
        long returnAt = lossAt + OUTAGE_TENTHS_MS;
        long span = returnAt + RECOVERY_WAIT_SECONDS * (long) LoadProfile.SECOND_TENTHS_MS;
        Fault loss = new Fault.ZoneLoss(lossAt, returnAt, lostZones);
        List<SimulationResult> runs = simulate(List.of(loss), span);
        int lossSecond = (int) (lossAt / LoadProfile.SECOND_TENTHS_MS);
        int returnSecond = (int) (returnAt / LoadProfile.SECOND_TENTHS_MS);
        int endSecond = (int) (span / LoadProfile.SECOND_TENTHS_MS);
        double serviceBefore = serviceBefore(runs, lossSecond);
        Recovery recovery = findRecovery(runs, returnSecond, endSecond, serviceBefore);
        double shedShare = recovery.allRecovered ? 0 : minShedShare(List.of(loss), returnAt, span, serviceBefore);
        addRow(table, lostZones, "and back cold after " + OUTAGE_TENTHS_MS / LoadProfile.SECOND_TENTHS_MS + " s", runs,
                lossSecond, endSecond, recovery, shedShare);
        chart.series().add(buildSeries(joinNames(lostZones) + ", back after "
                + OUTAGE_TENTHS_MS / LoadProfile.SECOND_TENTHS_MS + " s", runs, lossSecond, endSecond));
        if (!recovery.allRecovered) {
            report.addRemark(joinNames(lostZones)
                    + (Double.isNaN(shedShare) ? ": even with 90% of the load shed the fleet does not recover "
                    : ": the fleet does not recover by itself; it recovers with "
                    + Math.round(100 * shedShare) + "% of the load shed from the return on, ") + "within "
                    + RECOVERY_WAIT_SECONDS + " s");
        }
    }

    /** The smallest share of the load to shed from {@code shedFrom} on so that all runs recover; NaN if none does. */
    private double minShedShare(List<Fault> faults, long shedFrom, long span, double targetService) {
        for (double share : SHED_SHARES) {
            List<Fault> faultsWithShedding = new ArrayList<>(faults);
            faultsWithShedding.add(new Fault.Burst(shedFrom, Long.MAX_VALUE / 2, 1 - share));
            if (findRecovery(simulate(faultsWithShedding, span), (int) (shedFrom / LoadProfile.SECOND_TENTHS_MS),
                    (int) (span / LoadProfile.SECOND_TENTHS_MS), targetService).allRecovered) {
                return share;
            }
        }
        return Double.NaN;
    }

    /** Whether all runs recover, how many do, and their mean delay after the end of the cause. */
    private record Recovery(boolean allRecovered, int recoveredRuns, ConfidenceInterval delaySeconds) {
    }

    private Recovery findRecovery(List<SimulationResult> runs, int causeEndSecond, int endSecond,
            double targetService) {
        List<Double> times = new ArrayList<>();
        for (SimulationResult run : runs) {
            for (int second = causeEndSecond; second + STEADY_SECONDS <= endSecond; second++) {
                if (run.statistics().service(second, second + STEADY_SECONDS) >= RECOVERED_RATIO * targetService) {
                    times.add((double) (second - causeEndSecond));
                    break;
                }
            }
        }
        return new Recovery(times.size() == runs.size(), times.size(),
                ConfidenceInterval.of(times.stream().mapToDouble(Double::doubleValue).toArray()));
    }

    private ConfidenceInterval serviceAfter(List<SimulationResult> runs, int fromSecond, int toSecond) {
        return ConfidenceInterval.ofShares(runs.stream()
                .mapToDouble(run -> run.statistics().service(fromSecond, toSecond)).toArray());
    }

    private void addRow(Report.Table table, Set<String> lostZones, String scenario, List<SimulationResult> runs,
            int lossSecond, int endSecond, Recovery recovery, double shedShare) {
        ConfidenceInterval service = serviceAfter(runs, lossSecond, endSecond);
        double worstService = runs.stream().mapToDouble(run -> run.statistics().worstService(STEADY_SECONDS, lossSecond,
                endSecond)).min().orElse(Double.NaN);
        int diedInstances = runs.stream().mapToInt(run -> run.peakUsage().crashes).max().orElse(0);
        table.addRow(joinNames(lostZones), scenario, serviceBefore(runs, lossSecond), service.mean(), service.low(),
                service.high(), worstService, diedInstances,
                recovery == null ? "" : recovery.allRecovered ? "yes" : recovery.recoveredRuns == 0 ? "no" : "in "
                + recovery.recoveredRuns + " of " + runs.size(),
                recovery == null || recovery.recoveredRuns == 0 ? "" : recovery.delaySeconds.mean(),
                Double.isNaN(shedShare) ? "" : shedShare);
    }

    private Report.Series buildSeries(String name, List<SimulationResult> runs, int lossSecond, int endSecond) {
        int fromSecond = Math.max(0, lossSecond - 5);
        double[] x = new double[endSecond - fromSecond];
        double[][] y = new double[3][x.length];
        for (int index = 0; index < x.length; index++) {
            int second = fromSecond + index;
            ConfidenceInterval interval = ConfidenceInterval.ofShares(runs.stream()
                    .mapToDouble(run -> run.statistics().service(second)).toArray());
            x[index] = second - lossSecond;
            y[0][index] = interval.mean();
            y[1][index] = interval.low();
            y[2][index] = interval.high();
        }
        return new Report.Series(name, x, y[0], y[1], y[2]);
    }
}
