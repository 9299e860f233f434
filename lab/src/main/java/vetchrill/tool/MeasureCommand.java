package vetchrill.tool;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Collection;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import vetchrill.bench.QueueBench;
import vetchrill.bench.RecorderBench;
import vetchrill.fleet.Fleet;
import vetchrill.fleet.FleetFileReader;
import vetchrill.model.Workload;
import vetchrill.model.EventQueue;
import vetchrill.model.HeapEventQueue;
import vetchrill.model.SimulationResult;
import vetchrill.model.TimingWheelQueue;
import vetchrill.model.FleetSimulation;

/** Runs all measurements of the planner and of the recording. */
@Command(name = "measure", mixinStandardHelpOptions = true, hidden = true,
        description = "Measure the cost of recording, the speed of the simulation and the error of the planner.")
final class MeasureCommand implements Callable<Integer> {
    private static final long MINUTE_TENTHS_MS = 600_000;

    @Parameters(index = "0", paramLabel = "LARGE", description = "A fleet of 300 instances.")
    private Path largeFleet;

    @Parameters(index = "1", paramLabel = "SMALL",
            description = "The fleet for which plans are compared with measurements.")
    private Path smallFleet;

    @Option(names = "--seeds", defaultValue = "3", description = "Runs of each compared case (${DEFAULT-VALUE}).")
    private int seeds;

    @Option(names = "--first-seed", defaultValue = "1", description = "The first seed (${DEFAULT-VALUE}).")
    private int firstSeed;

    @Override
    public Integer call() throws IOException, InterruptedException, RunnerException {
        Map<String, Double> scores = runBenchmarks();
        Fleet fleet = FleetFileReader.read(largeFleet);
        double wheelSeconds = Double.MAX_VALUE;
        double heapSeconds = Double.MAX_VALUE;
        SimulationResult run = null;
        for (int i = 0; i < 3; i++) {
            run = simulateMinute(fleet, new TimingWheelQueue());
            wheelSeconds = Math.min(wheelSeconds, lastSeconds);
            simulateMinute(fleet, new HeapEventQueue());
            heapSeconds = Math.min(heapSeconds, lastSeconds);
        }
        System.gc();
        long usedBytes = Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
        System.out.printf(Locale.ROOT,
                "model: %d instances, %.0f first attempts per second, %.2f attempts each: a simulated minute takes "
                + "%.2f s on one core with the timing wheel, %.2f s with the heap queue; %d events; JVM heap limit "
                + "%d MB, %d MB in use%n",
                fleet.instanceCount(), fleet.load.perSecond(), run.statistics().retryFactor(0, 60), wheelSeconds,
                heapSeconds, run.eventCount(), Runtime.getRuntime().maxMemory() >> 20, usedBytes >> 20);
        ProveCommand prove = new ProveCommand();
        new CommandLine(prove).parseArgs(smallFleet.toString(), "--seeds", Integer.toString(seeds), "--first-seed",
                Integer.toString(firstSeed), "--beside", "3");
        int code = prove.call();
        System.out.printf(Locale.ROOT, "measure planner: worst_error_points=%.1f mean_error_points=%.1f "
                + "other_load_worst_points=%.1f other_load_mean_points=%.1f sim_relays=%d sim_seconds_per_minute=%.2f "
                + "record_on_ns=%.0f record_off_ns=%.0f record_bytes=%.1f wheel_ns=%.0f heap_ns=%.0f runs=%d void=%d%n",
                prove.worstError, prove.meanError, prove.otherLoadWorstError, prove.otherLoadMeanError,
                fleet.instanceCount(), wheelSeconds, scores.get("on"), scores.get("off"),
                scores.get("bytes"), scores.get("wheel"), scores.get("heap"), prove.runs,
                prove.voidRuns);
        return code;
    }

    private double lastSeconds;

    private SimulationResult simulateMinute(Fleet fleet, EventQueue events) {
        long startNanos = System.nanoTime();
        SimulationResult run = new FleetSimulation(fleet, new Workload.ConfiguredWorkload(fleet), MINUTE_TENTHS_MS, 0,
                1, events).run();
        lastSeconds = (System.nanoTime() - startNanos) / 1e9;
        return run;
    }

    private static Map<String, Double> runBenchmarks() throws RunnerException {
        Collection<RunResult> results = new Runner(new OptionsBuilder().include(RecorderBench.class.getName())
                .include(QueueBench.class.getName()).forks(1).warmupIterations(2).warmupTime(TimeValue.seconds(1))
                .measurementIterations(4).measurementTime(TimeValue.seconds(1)).addProfiler(GCProfiler.class)
                .jvmArgsAppend("--add-opens=java.base/java.nio=ALL-UNNAMED").build()).run();
        Map<String, Double> scores = new TreeMap<>();
        for (RunResult result : results) {
            String recording = result.getParams().getParam("recording");
            double ns = result.getPrimaryResult().getScore();
            if (recording != null) {
                scores.put(recording, ns);
                if (recording.equals("on")) {
                    // Includes allocations of the writer thread: an upper bound for the decision thread.
                    scores.put("bytes", result.getSecondaryResults().get("gc.alloc.rate.norm").getScore());
                }
            } else if (result.getParams().getParam("waiting").equals("20000")) {
                scores.put(result.getParams().getParam("queue"), ns);
            }
        }
        return scores;
    }
}
