package vetchrill.tool;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import vetchrill.capture.Capture;
import vetchrill.capture.CaptureMerge;
import vetchrill.files.Folders;
import vetchrill.fleet.Fleet;
import vetchrill.fleet.Fleet.Group;
import vetchrill.fleet.Fleet.MachineKind;
import vetchrill.fleet.Fleet.Load;
import vetchrill.fleet.Fleet.RetryPolicy;
import vetchrill.fleet.Fleet.Subjects;
import vetchrill.fleet.FleetFileReader;
import vetchrill.fleet.Fault;
import vetchrill.model.Workload;
import vetchrill.planner.FittedModel;
import vetchrill.planner.ConfidenceInterval;
import vetchrill.planner.SimulationRunner;
import vetchrill.standin.RigResult;
import vetchrill.standin.FleetTestRig;

/** Compares plans made from captures of real instances with the service that their clients measured. */
@Command(name = "prove", mixinStandardHelpOptions = true,
        description = "Run real instances on loopback, capture them, and compare the plans made from the captures with "
                + "the service that their clients measured.")
final class ProveCommand implements Callable<Integer> {
    private static final System.Logger LOG = System.getLogger("vetchrill.prove");

    /** Runs per case, including repetitions of invalid runs. */
    private static final int MAX_ATTEMPTS = 3;
    /**
     * Time until the load reaches its full rate; results count from one second later. A program that has just started
     * is slow, and where retries can keep a fleet overloaded, full load from the start would decide the whole run.
     */
    private static final long RAMP_TENTHS_MS = 40_000;
    /** Load during the ramp as a ratio of the full load. */
    private static final double INITIAL_LOAD_RATIO = 0.4;

    @Parameters(paramLabel = "FLEET",
            description = "The fleet to run, with all values, of which most are then hidden from the planner.")
    private Path fleetFile;

    @Option(names = "--seeds", defaultValue = "3", description = "Runs per case (${DEFAULT-VALUE}).")
    private int seeds;

    @Option(names = "--first-seed", defaultValue = "1", description = "The first seed (${DEFAULT-VALUE}).")
    private int firstSeed;

    @Option(names = "--seconds", defaultValue = "18",
            description = "Duration of the load of each run (${DEFAULT-VALUE}).")
    private int seconds;

    @Option(names = "--case", description = "Run only cases whose name contains this.")
    private String caseFilter;

    @Option(names = "--folder", defaultValue = "lab/target/prove",
            description = "Where the files of the runs are kept.")
    private Path folder;

    @Option(names = "--threads", description = "Number of parallel simulations; by default the number of cores.")
    private int threads = Runtime.getRuntime().availableProcessors();

    @Option(names = "--flush", defaultValue = "200",
            description = "Milliseconds until a captured row is written to its file (${DEFAULT-VALUE}).")
    private int flushMs;

    @Option(names = "--beside", defaultValue = "2",
            description = "Number of fleets that run in parallel (${DEFAULT-VALUE}).")
    private int concurrentFleets;

    /** Results of the call, read by {@link MeasureCommand}; errors are in percentage points of service. */
    int runs;
    int voidRuns;
    double worstError;
    double meanError;
    double otherLoadWorstError;
    double otherLoadMeanError;

    private record ProofCase(String name, double loadRatio, RetryPolicy retry, List<Fault> faults) {
    }

    private record Outcome(ProofCase proofCase, int seed, RigResult result, FittedModel model, double measuredService) {
    }

    @Override
    public Integer call() throws IOException, InterruptedException {
        Fleet fleet = FleetFileReader.read(fleetFile);
        if (!fleet.missingValues().isEmpty()) {
            throw new UsageException(fleetFile + ": to run the fleet, these values are missing: "
                    + String.join(", ", fleet.missingValues()));
        }
        List<Outcome> outcomes = new ArrayList<>();
        double errorSum = 0;
        double otherLoadErrorSum = 0;
        int otherLoadCount = 0;
        double worstAttemptsError = 0;
        System.out.printf("%-28s %4s %7s %7s %7s %6s %7s %7s %7s %7s %6s%n", "case", "seed", "asked/s", "service",
                "planned", "error", "other", "error", "tries", "found", "late");
        ExecutorService rigExecutor = Executors.newFixedThreadPool(concurrentFleets, work -> {
            Thread thread = new Thread(work, "rig");
            thread.setDaemon(true);
            return thread;
        });
        try (SimulationRunner runner = new SimulationRunner(threads, 8, seconds * 10_000L, RAMP_TENTHS_MS + 10_000,
                () -> { })) {
            List<Future<Outcome>> futures = new ArrayList<>();
            for (ProofCase proofCase : cases(fleet)) {
                for (int seed = firstSeed; seed < firstSeed + seeds; seed++) {
                    int caseSeed = seed;
                    if (caseFilter == null || proofCase.name.contains(caseFilter)) {
                        futures.add(rigExecutor.submit(() -> runCase(fleet, proofCase, caseSeed)));
                    }
                }
            }
            for (Future<Outcome> future : futures) {
                Outcome outcome = future.get();
                if (outcome == null) {
                    voidRuns++;
                } else {
                    ProofCase proofCase = outcome.proofCase;
                    int seed = outcome.seed;
                    outcomes.add(outcome);
                    Fleet fitted = outcome.model.fleet;
                    ConfidenceInterval planned = runner.meanService(runner.simulate(withCase(fitted, proofCase),
                            outcome.model.replay()));
                    double error = 100 * (planned.mean() - outcome.measuredService);
                    worstError = Math.max(worstError, Math.abs(error));
                    errorSum += Math.abs(error);
                    // Also plans this case from a capture at another load: that of the first case of the same seed.
                    Outcome reference = outcomes.stream()
                            .filter(candidate -> candidate.proofCase.name.startsWith("95")
                            && candidate.seed == outcome.seed).findFirst().orElse(null);
                    String otherLoadText = "      -       -";
                    if (reference != null && reference != outcome) {
                        Workload workload = reference.model
                                .scaledBy(proofCase.loadRatio / reference.proofCase.loadRatio);
                        ConfidenceInterval otherLoadPlanned = runner.meanService(
                                runner.simulate(withCase(reference.model.fleet, proofCase), workload));
                        double otherLoadError = 100 * (otherLoadPlanned.mean() - outcome.measuredService);
                        otherLoadWorstError = Math.max(otherLoadWorstError, Math.abs(otherLoadError));
                        otherLoadErrorSum += Math.abs(otherLoadError);
                        otherLoadCount++;
                        otherLoadText = String.format("%7.3f %+7.1f", otherLoadPlanned.mean(), otherLoadError);
                    }
                    double[] attempts = attemptsPerExchange(outcome);
                    worstAttemptsError = Math.max(worstAttemptsError, Math.abs(attempts[1] / attempts[0] - 1));
                    System.out.printf("%-28s %4d %7.1f %7.3f %7.3f %+6.1f %s %7.2f %7.2f %6.1f%n", proofCase.name, seed,
                            fleet.fullLoad() * proofCase.loadRatio, outcome.measuredService, planned.mean(), error,
                            otherLoadText, attempts[0], attempts[1],
                            outcome.result.latenessP99TenthsMs() / 10.0);
                    System.out.flush();
                }
            }
        } catch (ExecutionException e) {
            if (e.getCause() instanceof RuntimeException cause) {
                throw cause;
            }
            throw new IOException(e.getCause());
        } finally {
            rigExecutor.shutdownNow();
        }
        System.out.printf("invalid runs, not in the table: %d%n", voidRuns);
        runs = outcomes.size();
        meanError = errorSum / Math.max(1, runs);
        otherLoadMeanError = otherLoadErrorSum / Math.max(1, otherLoadCount);
        System.out.printf("proof: runs=%d worst_error_points=%.1f mean_error_points=%.1f other_load_worst_points=%.1f "
                + "other_load_mean_points=%.1f further_tries_worst_error=%.3f%n", runs, worstError, meanError,
                otherLoadWorstError, otherLoadMeanError, worstAttemptsError);
        return voidRuns == 0 && !outcomes.isEmpty() ? 0 : 1;
    }

    private List<ProofCase> cases(Fleet fleet) {
        Set<String> lostZone = Set.of(fleet.zones.get(fleet.zones.size() / 2).name());
        long lossAt = RAMP_TENTHS_MS + 40_000;
        List<ProofCase> cases = new ArrayList<>();
        for (RetryPolicy retry : List.of(RetryPolicy.LIMITED, RetryPolicy.UNLIMITED)) {
            String suffix = retry == RetryPolicy.UNLIMITED ? ", retries without limit" : "";
            for (int load : new int[] {95, 70, 110, 130}) {
                cases.add(new ProofCase(load + "%" + suffix, load / 100.0, retry, List.of()));
            }
            cases.add(new ProofCase("80%, zone lost" + suffix, 0.8, retry,
                    List.of(new Fault.ZoneLoss(lossAt, Long.MAX_VALUE, lostZone))));
            cases.add(new ProofCase("70%, zone lost in deploy" + suffix, 0.7, retry,
                    List.of(new Fault.RollingDeploy(RAMP_TENTHS_MS + 15_000),
                    new Fault.ZoneLoss(lossAt, Long.MAX_VALUE, lostZone))));
        }
        return cases;
    }

    /** The fleet with the retry policy and faults of this case; fitted values stay. */
    private static Fleet withCase(Fleet fleet, ProofCase proofCase) {
        return fleet.withPools(fleet.pools.stream().map(pool -> pool.with(proofCase.retry)).toList())
                .withFaults(proofCase.faults);
    }

    /** The fleet as given to the planner: without core times, reading times, shares and load, which it has to fit. */
    static Fleet withoutFittedValues(Fleet fleet) {
        double unknown = Double.NaN;
        List<MachineKind> kinds = fleet.kinds.stream().map(kind -> kind.with(unknown, unknown, unknown)).toList();
        List<Group> groups = fleet.groups.stream().map(group -> group.with(unknown, unknown, unknown, unknown, 64))
                .toList();
        return fleet.withFitted(kinds, groups, new Load(Double.NaN, 0, fleet.load.period()),
                new Subjects(-1, Double.NaN));
    }

    /** Runs a case until a run is valid; null if none is, as the load generator was late each time. */
    private Outcome runCase(Fleet fleet, ProofCase proofCase, int seed) throws IOException, InterruptedException {
        Outcome outcome = null;
        for (int i = 0; outcome == null && i < MAX_ATTEMPTS; i++) {
            outcome = runOnce(fleet, proofCase, seed);
        }
        return outcome;
    }

    /** Runs a case once; null if the run is invalid. A violated guarantee ends the command. */
    private Outcome runOnce(Fleet fleet, ProofCase proofCase, int seed) throws IOException, InterruptedException {
        Path runFolder = folder.resolve(proofCase.name.replaceAll("[^0-9a-z]+", "-") + "-" + seed);
        Folders.deleteRecursively(runFolder);
        Files.createDirectories(runFolder);
        Fleet caseFleet = withCase(fleet.withLoad(fleet.fullLoad() * proofCase.loadRatio), proofCase);
        RigResult result;
        try (FleetTestRig rig = new FleetTestRig(caseFleet,
                Workload.withRampUp(new Workload.ConfiguredWorkload(caseFleet), INITIAL_LOAD_RATIO, RAMP_TENTHS_MS),
                seconds * 10_000L, seed, runFolder, flushMs)) {
            result = rig.run();
        }
        if (result.wrongResults() + result.duplicateRuns() + result.corruptedBodies() > 0) {
            throw new UsageException("a guarantee was violated in " + runFolder + ": " + result.wrongResults()
                    + " wrong results, " + result.duplicateRuns() + " duplicate runs, " + result.corruptedBodies()
                    + " corrupted bodies");
        }
        if (result.invalid()) {
            LOG.log(System.Logger.Level.WARNING, "the load generator was late; the run is invalid",
                    ToolLog.field("case", proofCase.name),
                    ToolLog.field("late_ms", result.latenessP99TenthsMs() / 10.0));
            return null;
        }
        FittedModel model = new FittedModel(withoutFittedValues(withCase(fleet, proofCase)),
                Capture.readAll(result.captureFolder()));
        return new Outcome(proofCase, seed, result, model,
                result.statistics().service((int) (RAMP_TENTHS_MS / 10_000) + 1, seconds));
    }

    /** Attempts per first attempt that reached an instance: as counted by the clients, and as estimated from rows. */
    private static double[] attemptsPerExchange(Outcome outcome) {
        long firstAttempts = outcome.result.arrivals().stream().filter(FleetTestRig.AttemptArrival::firstAttempt)
                .count();
        CaptureMerge merged = outcome.model.merged;
        return new double[] {outcome.result.arrivals().size() / Math.max(1.0, firstAttempts),
            merged.rows / merged.firstAttempts()};
    }
}
