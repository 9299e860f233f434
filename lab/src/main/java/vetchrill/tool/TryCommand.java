package vetchrill.tool;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import vetchrill.files.Folders;
import vetchrill.fleet.Fleet;
import vetchrill.fleet.FleetFileReader;
import vetchrill.fleet.Fault;
import vetchrill.hcl.ConfigBlock;
import vetchrill.model.Workload;
import vetchrill.model.ServiceStatistics;
import vetchrill.standin.RigResult;
import vetchrill.standin.FleetTestRig;

/** Runs a small fleet of real instances under load and prints its service second by second. */
@Command(name = "try", mixinStandardHelpOptions = true,
        description = "Run real instances on loopback with fakes for everything around them, and show the results "
                + "second by second. Stops by itself, or at Ctrl-C.")
final class TryCommand implements Callable<Integer> {
    @Option(names = "--fleet", paramLabel = "FILE",
            description = "The fleet to run (HCL); a small one by default.")
    private Path fleetFile;

    @Option(names = "--seconds", defaultValue = "20", description = "Duration of the load (${DEFAULT-VALUE}).")
    private int seconds;

    @Option(names = "--load", defaultValue = "0.8",
            description = "Load as a ratio of the capacity of the cores (${DEFAULT-VALUE}).")
    private double load;

    @Option(names = "--trouble", paramLabel = "burst|slow|reset",
            description = "Fault during the middle third: twice the load; half of the machines four times slower; or "
            + "connections and links reset five times per second.")
    private String fault;

    @Option(names = "--seed", defaultValue = "1", description = "Seed of all random values (${DEFAULT-VALUE}).")
    private long seed;

    @Option(names = "--folder",
            description = "Where logs and captures are kept; by default a temporary folder, removed at the end.")
    private Path folder;

    @Override
    public Integer call() throws IOException, InterruptedException {
        if (seconds < 3 || seconds > 3_600 || !(load > 0 && load <= 100)) {
            throw new UsageException("--seconds should be 3 to 3600 and --load above 0 and at most 100");
        }
        long thirdOfRun = seconds * 10_000L / 3;
        List<Fault> faults = new ArrayList<>();
        if (fault != null) {
            faults.add(switch (fault) {
                case "burst" -> new Fault.Burst(thirdOfRun, 2 * thirdOfRun, 2);
                case "slow" -> new Fault.Slowdown(thirdOfRun, 2 * thirdOfRun, 0.5, 4);
                case "reset" -> new Fault.ConnectionReset(thirdOfRun, 2 * thirdOfRun, 2_000);
                default -> throw new UsageException("--trouble is " + fault + ", should be burst, slow or reset");
            });
        }
        Fleet fleet = fleetFile == null ? smallFleet() : FleetFileReader.read(fleetFile);
        if (!fleet.missingValues().isEmpty()) {
            throw new UsageException("to run the fleet, these values are missing: "
                    + String.join(", ", fleet.missingValues()));
        }
        faults.addAll(fleet.faults);
        Fleet loadedFleet = fleet.withLoad(fleet.fullLoad() * load).withFaults(faults);
        Path runFolder = folder == null ? Files.createTempDirectory("vetchrill-try") : folder;
        try (FleetTestRig rig = new FleetTestRig(loadedFleet, new Workload.ConfiguredWorkload(loadedFleet),
                seconds * 10_000L, seed, runFolder, folder == null ? 0 : 200)) {
            System.out.printf("%d instances, %d stubs, %.0f first attempts per second, %.0f%% of the capacity of "
                    + "the cores; starting%n", fleet.instanceCount(), fleet.stubCount(), loadedFleet.load.perSecond(),
                    100 * load);
            rig.start();
            rig.startLoad();
            printHeader();
            for (int second = 0; second < seconds; second++) {
                while (rig.elapsed() < (second + 1L) * ServiceStatistics.SECOND_TENTHS_MS) {
                    Thread.sleep(10);
                }
                printSecond(rig, second, faults);
            }
            long end = seconds * 10_000L + fleet.longestTimeout();
            while (rig.elapsed() < end + 1_000) {
                Thread.sleep(10);
            }
            RigResult result = rig.finish();
            printSummary(rig, result);
            return result.wrongResults() + result.duplicateRuns() + result.corruptedBodies() == 0 ? 0 : 1;
        } finally {
            if (folder == null) {
                Folders.deleteRecursively(runFolder);
            }
        }
    }

    static Fleet smallFleet() throws IOException {
        try (InputStream in = TryCommand.class.getResourceAsStream("/vetchrill/try.hcl")) {
            return FleetFileReader.read(ConfigBlock.parse("try.hcl",
                    new String(in.readAllBytes(), StandardCharsets.UTF_8)));
        }
    }

    private static void printHeader() {
        System.out.printf("%6s %7s %7s %10s %10s %10s %9s %9s  %s%n", "second", "asked", "tries", "completed", "denied",
                "terminated", "p50, ms", "p99, ms", "trouble");
    }

    private long completedBefore;
    private long failedBefore;

    private void printSecond(FleetTestRig rig, int second, List<Fault> faults) {
        ServiceStatistics statistics = rig.statistics();
        Histogram latency = rig.latency();
        long completed = statistics.completed() - completedBefore;
        long failed = statistics.failed() - failedBefore;
        completedBefore += completed;
        failedBefore += failed;
        long secondEnd = (second + 1L) * ServiceStatistics.SECOND_TENTHS_MS;
        boolean faultActive = faults.stream()
                .anyMatch(each -> secondEnd > each.from() && secondEnd <= each.until()
                + ServiceStatistics.SECOND_TENTHS_MS);
        System.out.printf("%6d %7d %7d %10d %10d %10d %9.1f %9.1f  %s%n", second + 1, statistics.firstAttempts[second],
                statistics.allAttempts[second], completed, statistics.deniedAttempts[second], failed,
                latency.getValueAtPercentile(50) / 10.0,
                latency.getValueAtPercentile(99) / 10.0, faultActive ? fault == null ? "of the fleet file" : fault
                : "");
    }

    private void printSummary(FleetTestRig rig, RigResult result) {
        ServiceStatistics statistics = result.statistics();
        System.out.printf("completed %d, finally denied %d, terminated or unanswered %d; %.1f%% of the "
                + "benefit within the SLO time; %.2f attempts per first attempt%n", statistics.completed(),
                statistics.endedDenied(), statistics.failed(),
                100 * statistics.service(0, statistics.seconds), statistics.retryFactor(0, statistics.seconds));
        System.out.printf("wrong results %d, duplicate runs %d, corrupted bodies %d; the load generator was "
                + "%.1f ms late (p99)%s%n",
                result.wrongResults(), result.duplicateRuns(), result.corruptedBodies(),
                result.latenessP99TenthsMs() / 10.0, result.invalid() ? ": too late, the run is invalid" : "");
    }
}
