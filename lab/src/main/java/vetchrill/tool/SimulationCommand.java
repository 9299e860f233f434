package vetchrill.tool;

import java.util.List;
import picocli.CommandLine.Option;

/** Options of the commands that simulate fleets of several sizes, each case with several seeds. */
abstract class SimulationCommand {
    @Option(names = "--sizes", split = ",", defaultValue = "10,100",
            description = "Fleet sizes (${DEFAULT-VALUE}).")
    List<Integer> sizes;

    @Option(names = "--seeds", defaultValue = "5", description = "Seeds per case (${DEFAULT-VALUE}).")
    int seeds;

    @Option(names = "--first-seed", defaultValue = "1", description = "The first seed (${DEFAULT-VALUE}).")
    long firstSeed;
}
