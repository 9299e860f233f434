package vetchrill.fuzz;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.LongAdder;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import vetchrill.files.Folders;
import vetchrill.fuzz.targets.RecoveryTarget;
import vetchrill.fuzz.targets.VersionsTarget;
import vetchrill.standin.AuditScenario;
import vetchrill.standin.PowerLossScenario;
import vetchrill.tool.ToolCommand;

/** Measures all guarantees of the durable store after power loss, and prints them in one line. */
@Command(name = "measure-recovery", mixinStandardHelpOptions = true,
        description = "Run real processes that lose power together, random schedules with real stores, and planted "
                + "faults. Exit code 1 if a guarantee does not hold.")
public final class MeasureRecoveryCommand implements Callable<Integer>, ToolCommand {
    @Option(names = "--processes", defaultValue = "5",
            description = "Instances of each scenario, 4 or more (${DEFAULT-VALUE}).")
    private int processes;

    @Option(names = "--plays", defaultValue = "4", description = "Number of scenarios (${DEFAULT-VALUE}).")
    private int scenarios;

    @Option(names = "--losses", defaultValue = "12",
            description = "Minimum of power losses in each scenario (${DEFAULT-VALUE}).")
    private int minPowerLosses;

    @Option(names = "--first-seed", defaultValue = "1", description = "Seed of the first scenario (${DEFAULT-VALUE}).")
    private long firstSeed;

    @Option(names = "--schedules", defaultValue = "5000",
            description = "Random schedules simulated (${DEFAULT-VALUE}).")
    private int randomSchedules;

    @Option(names = "--planted", defaultValue = "60",
            description = "Seconds of fuzzing for each planted fault, 0 for none "
            + "(${DEFAULT-VALUE}).")
    private double secondsPerFault;

    private final ConcurrentLinkedQueue<String> failures = new ConcurrentLinkedQueue<>();

    @Override
    public Integer call() throws IOException, InterruptedException {
        if (processes < 4 || scenarios < 0 || minPowerLosses < 1 || randomSchedules < 0) {
            throw new vetchrill.tool.UsageException(
                    "--processes should be 4 or more, --losses 1 or more, the others 0 or "
                    + "more");
        }
        int powerLosses = 0;
        int wentBack = 0;
        int disksDamaged = 0;
        int toldApart = 0;
        List<Long> servingTimesMs = new ArrayList<>();
        for (int i = 0; i < scenarios; i++) {
            Path folder = AuditScenario.createFolder();
            PowerLossScenario.Outcome outcome = PowerLossScenario.run(processes, 3, minPowerLosses, true, firstSeed + i,
                    folder);
            powerLosses += outcome.powerLosses;
            wentBack += outcome.regressions;
            disksDamaged += outcome.disksDamaged;
            toldApart += outcome.damageDetected;
            servingTimesMs.addAll(outcome.recoveryTimesMs);
            failures.addAll(outcome.violations);
            System.out.printf("seed %d: losses=%d went_back=%d disks_damaged=%d told_apart=%d serving_ms=%s%n",
                    firstSeed + i, outcome.powerLosses, outcome.regressions, outcome.disksDamaged,
                    outcome.damageDetected, outcome.recoveryTimesMs);
            if (outcome.violations.isEmpty()) {
                Folders.deleteRecursively(folder);
            }
        }
        LongAdder simulatedLosses = new LongAdder();
        runRandomSchedules(simulatedLosses);
        int plantedFaults = 0;
        int faultsFound = 0;
        for (String namePrefix : secondsPerFault > 0 ? List.of("store-", "recovery-") : List.<String>of()) {
            FaultsCommand faults = new FaultsCommand();
            new picocli.CommandLine(faults).execute("--only", namePrefix, "--seconds",
                    Double.toString(secondsPerFault));
            plantedFaults += faults.planted;
            faultsFound += faults.found;
        }
        failures.stream().distinct().limit(20).forEach(System.out::println);
        servingTimesMs.sort(null);
        System.out.printf(Locale.ROOT, "measure recovery: losses=%d processes=%d went_back=%d serving_p50_ms=%s "
                + "disks_damaged=%d told_apart=%d schedules=%d losses_simulated=%d planted=%d found=%d%n", powerLosses,
                processes, wentBack, servingTimesMs.isEmpty() ? "none" : servingTimesMs.get(servingTimesMs.size() / 2),
                disksDamaged, toldApart,
                randomSchedules, simulatedLosses.sum(), plantedFaults, faultsFound);
        return failures.isEmpty() ? 0 : 1;
    }

    private void runRandomSchedules(LongAdder simulatedLosses) {
        VersionsTarget.SCRIPT_FORMAT.randomScripts(firstSeed, randomSchedules).parallelStream().forEach(script -> {
            try {
                simulatedLosses.add(RecoveryTarget.play(script).powerLosses);
            } catch (RuntimeException e) {
                failures.add("schedule " + java.util.HexFormat.of().formatHex(script) + ": " + e.getMessage());
            }
        });
        System.out.printf("schedules: %d drawn%n", randomSchedules);
    }
}
