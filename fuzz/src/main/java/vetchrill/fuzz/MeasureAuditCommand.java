package vetchrill.fuzz;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import vetchrill.files.Folders;
import vetchrill.fuzz.targets.VersionsTarget;
import vetchrill.peersim.VersionsPathExplorer;
import vetchrill.peersim.VersionsSimulation;
import vetchrill.standin.AuditScenario;
import vetchrill.tool.ToolCommand;

/** Measures all guarantees of versions, minimum versions and the audit log, and prints them in one line. */
@Command(name = "measure-audit", mixinStandardHelpOptions = true,
        description = "Run real processes with fault injection, random schedules, every order of a few steps, and "
                + "planted faults. Exit code 1 if a guarantee does not hold.")
public final class MeasureAuditCommand implements Callable<Integer>, ToolCommand {
    @Option(names = "--processes", defaultValue = "12", description = "Instances of each scenario (${DEFAULT-VALUE}).")
    private int processes;

    @Option(names = "--keepers", defaultValue = "5",
            description = "Number of them that vote on the minimum version (${DEFAULT-VALUE}).")
    private int voters;

    @Option(names = "--plays", defaultValue = "6", description = "Number of scenarios (${DEFAULT-VALUE}).")
    private int scenarios;

    @Option(names = "--troubles", defaultValue = "10",
            description = "Faults injected in each scenario (${DEFAULT-VALUE}).")
    private int faultsPerScenario;

    @Option(names = "--first-seed", defaultValue = "1", description = "Seed of the first scenario (${DEFAULT-VALUE}).")
    private long firstSeed;

    @Option(names = "--schedules", defaultValue = "20000",
            description = "Random schedules simulated (${DEFAULT-VALUE}).")
    private int randomSchedules;

    @Option(names = "--beside", negatable = true, defaultValue = "true", fallbackValue = "true",
            description = "Compare a change by version with one by file and SIGHUP on each machine (${DEFAULT-VALUE}).")
    private boolean compareWithFile;

    @Option(names = "--depth", defaultValue = "4",
            description = "Steps of the walk through all orders (${DEFAULT-VALUE}).")
    private int walkDepth;

    @Option(names = "--planted", defaultValue = "60",
            description = "Seconds of fuzzing for each planted fault, 0 for none "
            + "(${DEFAULT-VALUE}).")
    private double secondsPerFault;

    private final ConcurrentLinkedQueue<String> failures = new ConcurrentLinkedQueue<>();

    @Override
    public Integer call() throws IOException, InterruptedException {
        if (processes < 3 || voters < 1 || voters % 2 == 0 || voters > processes || walkDepth < 1 || walkDepth > 6) {
            throw new vetchrill.tool.UsageException(
                    "--processes should be 3 or more, --keepers an odd number of them, --depth "
                    + "1 to 6");
        }
        long faults = 0;
        long exchanges = 0;
        long unaccounted = 0;
        long misattributed = 0;
        long belowMinVersion = 0;
        long forks = 0;
        long maxFenceOverLeaseMs = Long.MIN_VALUE;
        long maxTailMs = 0;
        List<Long> publishTimesMs = new ArrayList<>();
        for (int i = 0; i < scenarios; i++) {
            Path folder = AuditScenario.createFolder();
            AuditScenario.Outcome outcome;
            try {
                outcome = AuditScenario.run(processes, voters, faultsPerScenario, firstSeed + i, folder);
            } catch (IllegalStateException e) {
                failures.add("seed " + (firstSeed + i) + ": " + e.getMessage());
                System.out.println("seed " + (firstSeed + i) + ": " + e.getMessage() + "; see " + folder);
                continue;
            }
            faults += outcome.faults;
            exchanges += outcome.exchanges;
            unaccounted += outcome.unaccounted;
            misattributed += outcome.misattributed;
            belowMinVersion += outcome.belowMinVersion;
            forks += outcome.inconsistencies;
            maxFenceOverLeaseMs = Math.max(maxFenceOverLeaseMs, outcome.fencingBeyondLeaseMs);
            maxTailMs = Math.max(maxTailMs, outcome.longestLostTailMs);
            publishTimesMs.addAll(outcome.publishTimesMs);
            outcome.violations.forEach(each -> failures.add("seed: " + each));
            System.out.printf(Locale.ROOT, "seed %d: faults=%d exchanges=%d unaccounted=%d misattributed=%d "
                    + "below_floor=%d fence_over_lease_ms=%d floors=%d disks_lost=%d forks=%d left_out=%d tail_ms=%d "
                    + "publish_ms=%s%n", firstSeed + i, outcome.faults, outcome.exchanges, outcome.unaccounted,
                    outcome.misattributed,
                    outcome.belowMinVersion, outcome.fencingBeyondLeaseMs, outcome.minVersionsConfirmed,
                    outcome.disksLost, outcome.inconsistencies, outcome.omittedEvents,
                    outcome.longestLostTailMs, outcome.publishTimesMs);
            if (outcome.violations.isEmpty()) {
                Folders.deleteRecursively(folder);
            }
        }
        if (compareWithFile) {
            runFileComparison();
        }
        runRandomSchedules();
        VersionsPathExplorer explorer = new VersionsPathExplorer();
        runWalk(explorer);
        FaultsCommand plantedFaults = null;
        if (secondsPerFault > 0) {
            plantedFaults = new FaultsCommand();
            new picocli.CommandLine(plantedFaults).execute("--only", "versions", "--seconds",
                    Double.toString(secondsPerFault));
        }
        failures.stream().distinct().limit(20).forEach(System.out::println);
        publishTimesMs.sort(null);
        System.out.printf(Locale.ROOT, "measure audit: processes=%d faults=%d exchanges=%d unaccounted=%d "
                + "misattributed=%d forks_found=%d below_floor=%d publish_p99_ms=%s fence_over_lease_ms=%d "
                + "schedules=%d states=%d planted=%d found=%d%n", processes, faults, exchanges, unaccounted,
                misattributed, forks, belowMinVersion, publishTimesMs.isEmpty() ? "none"
                : publishTimesMs.get((int) Math.min(publishTimesMs.size() - 1, 0.99 * publishTimesMs.size())),
                maxFenceOverLeaseMs, randomSchedules,
                explorer.stateCount(), plantedFaults == null ? 0 : plantedFaults.planted,
                plantedFaults == null ? 0 : plantedFaults.found);
        return failures.isEmpty() ? 0 : 1;
    }

    private void runFileComparison() throws IOException, InterruptedException {
        Path folder = AuditScenario.createFolder();
        System.out.printf("%-18s %14s %14s %7s | %14s %7s%n", "fault of one", "by version ms", "healed, ms", "missed",
                "file, HUP ms", "missed");
        for (AuditScenario.RolloutTimes each : AuditScenario.compareRollouts(processes, voters, folder)) {
            System.out.printf("%-18s %14d %14d %7d | %14d %7d%n", each.fault(), each.versionMs(),
                    each.versionHealedMs(), each.versionMissed(), each.fileMs(), each.fileMissed());
        }
        Folders.deleteRecursively(folder);
    }

    private void runRandomSchedules() {
        VersionsTarget.SCRIPT_FORMAT.randomScripts(firstSeed, randomSchedules).parallelStream().forEach(script -> {
            try {
                new VersionsTarget().run(script);
            } catch (RuntimeException e) {
                failures.add("schedule " + java.util.HexFormat.of().formatHex(script) + ": " + e.getMessage());
            }
        });
        System.out.printf("schedules: %d drawn%n", randomSchedules);
    }

    private void runWalk(VersionsPathExplorer explorer) {
        long paths = VersionsPathExplorer.pathCount(walkDepth);
        AtomicLong next = new AtomicLong();
        IntStream.range(0, Runtime.getRuntime().availableProcessors()).parallel().forEach(thread -> {
            for (long path = next.getAndIncrement(); path < paths
                    && failures.size() < 20; path = next.getAndIncrement()) {
                try {
                    explorer.runPath(walkDepth, path);
                } catch (VersionsSimulation.InvariantViolation e) {
                    failures.add(e.getMessage());
                }
            }
        });
        System.out.printf("walk: depth=%d paths=%d states=%d%n", walkDepth, paths, explorer.stateCount());
    }
}
