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
import vetchrill.fleet.FleetFile;
import vetchrill.model.Demand;
import vetchrill.model.EventQueue;
import vetchrill.model.HeapQueue;
import vetchrill.model.Run;
import vetchrill.model.TimeWheel;
import vetchrill.model.World;

@Command(name = "measure", mixinStandardHelpOptions = true, hidden = true,
        description = "The planner's figures from nothing: what recording costs, how fast the model is, and the proof.")
final class MeasureCommand implements Callable<Integer> {
    private static final long MINUTE = 600_000;

    @Parameters(index = "0", paramLabel = "LARGE", description = "A fleet of 300 relays.")
    private Path large;

    @Parameters(index = "1", paramLabel = "SMALL", description = "The fleet of the proof.")
    private Path small;

    @Option(names = "--seeds", defaultValue = "3", description = "Runs of each case of the proof (${DEFAULT-VALUE}).")
    private int seeds;

    @Option(names = "--first-seed", defaultValue = "1", description = "The first of the seeds (${DEFAULT-VALUE}).")
    private int firstSeed;

    @Override
    public Integer call() throws IOException, InterruptedException, RunnerException {
        Map<String, Double> benches = benches();
        Fleet fleet = FleetFile.read(large);
        double wheel = Double.MAX_VALUE;
        double heap = Double.MAX_VALUE;
        Run run = null;
        for (int i = 0; i < 3; i++) {
            run = minute(fleet, new TimeWheel());
            wheel = Math.min(wheel, lastSeconds);
            minute(fleet, new HeapQueue());
            heap = Math.min(heap, lastSeconds);
        }
        System.gc();
        long used = Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
        System.out.printf(Locale.ROOT,
                "model: %d relays, %.0f first tries a second with %.2f tries each: a minute in %.2f s "
                + "on one core with the wheel, %.2f s with the heap; %d events; heap bound %d MB, %d MB left in use%n",
                fleet.relays(), fleet.load.perS(), run.tally().inflation(0, 60), wheel, heap, run.events(),
                Runtime.getRuntime().maxMemory() >> 20, used >> 20);
        ProveCommand proof = new ProveCommand();
        new CommandLine(proof).parseArgs(small.toString(), "--seeds", Integer.toString(seeds), "--first-seed",
                Integer.toString(firstSeed), "--beside", "3");
        int code = proof.call();
        System.out.printf(Locale.ROOT, "measure planner: worst_error_points=%.1f mean_error_points=%.1f "
                + "other_load_worst_points=%.1f other_load_mean_points=%.1f sim_relays=%d sim_seconds_per_minute=%.2f "
                + "record_on_ns=%.0f record_off_ns=%.0f record_bytes=%.1f wheel_ns=%.0f heap_ns=%.0f runs=%d void=%d%n",
                proof.worst, proof.mean, proof.otherWorst, proof.otherMean, fleet.relays(), wheel, benches.get("on"),
                benches.get("off"), benches.get("bytes"), benches.get("wheel"), benches.get("heap"), proof.runs,
                proof.misses);
        return code;
    }

    private double lastSeconds;

    private Run minute(Fleet fleet, EventQueue events) {
        long began = System.nanoTime();
        Run run = new World(fleet, new Demand.Told(fleet), MINUTE, 0, 1, events).run();
        lastSeconds = (System.nanoTime() - began) / 1e9;
        return run;
    }

    private static Map<String, Double> benches() throws RunnerException {
        Collection<RunResult> results = new Runner(new OptionsBuilder().include(RecorderBench.class.getName())
                .include(QueueBench.class.getName()).forks(1).warmupIterations(2).warmupTime(TimeValue.seconds(1))
                .measurementIterations(4).measurementTime(TimeValue.seconds(1)).addProfiler(GCProfiler.class)
                .jvmArgsAppend("--add-opens=java.base/java.nio=ALL-UNNAMED").build()).run();
        Map<String, Double> figures = new TreeMap<>();
        for (RunResult result : results) {
            String recording = result.getParams().getParam("recording");
            double ns = result.getPrimaryResult().getScore();
            if (recording != null) {
                figures.put(recording, ns);
                if (recording.equals("on")) {
                    // The writer's thread allocates too: this bounds what the decision thread does from above.
                    figures.put("bytes", result.getSecondaryResults().get("gc.alloc.rate.norm").getScore());
                }
            } else if (result.getParams().getParam("waiting").equals("20000")) {
                figures.put(result.getParams().getParam("queue"), ns);
            }
        }
        return figures;
    }
}
