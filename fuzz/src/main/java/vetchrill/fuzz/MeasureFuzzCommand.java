package vetchrill.fuzz;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * The command {@code fuzz measure}: prints the results of planted faults, fuzzing and the lifecycle walk in one line.
 */
@Command(name = "measure", mixinStandardHelpOptions = true, hidden = true,
        description = "Measure the fuzzer: how many of the planted faults it finds, "
                + "and what it finds in the product.")
final class MeasureFuzzCommand implements Callable<Integer> {
    @Option(names = "--seconds", defaultValue = "120",
            description = "Seconds of fuzzing the product (${DEFAULT-VALUE}).")
    private double seconds;

    @Option(names = "--short", defaultValue = "10", description = "Seconds of fuzzing each fault (${DEFAULT-VALUE}).")
    private double shortSeconds;

    @Option(names = "--long", defaultValue = "600",
            description = "Further seconds for each fault not found (${DEFAULT-VALUE}).")
    private double longSeconds;

    @Option(names = "--depth", defaultValue = "5",
            description = "Events of each sequence that \"life\" explores (${DEFAULT-VALUE}).")
    private int depth;

    @Option(names = "--seed", defaultValue = "1", description = "Seed of all random numbers (${DEFAULT-VALUE}).")
    private long seed;

    @Override
    public Integer call() throws IOException, InterruptedException {
        FaultsCommand faultsCommand = new FaultsCommand();
        new picocli.CommandLine(faultsCommand).parseArgs("--seconds", Double.toString(shortSeconds), "--long",
                Double.toString(longSeconds),
                "--seed", Long.toString(seed), "--random");
        faultsCommand.call();
        FuzzCommand fuzzCommand = new FuzzCommand();
        new picocli.CommandLine(fuzzCommand).parseArgs("--seconds", Double.toString(seconds), "--seed",
                Long.toString(seed));
        LifeCommand lifeCommand = new LifeCommand();
        new picocli.CommandLine(lifeCommand).parseArgs("--depth", Integer.toString(depth));
        int exitCode = Math.max(fuzzCommand.call(), lifeCommand.call());
        List<Target> targets = TargetLoader.all(new ProductLoader(null, false));
        System.out.printf(Locale.ROOT, "measure fuzz: targets=%d execs=%d execs_per_s=%.0f planted=%d found_short=%d "
                + "found_long=%d random_found=%d findings_open=%d "
                + "states=%d depth=%d%n", targets.size(), fuzzCommand.totalExecutions,
                fuzzCommand.totalExecutions / fuzzCommand.elapsedSeconds,
                faultsCommand.planted, faultsCommand.found, faultsCommand.foundLong, faultsCommand.foundRandom,
                fuzzCommand.findingCount,
                lifeCommand.stateCount, lifeCommand.depth);
        return exitCode;
    }
}
