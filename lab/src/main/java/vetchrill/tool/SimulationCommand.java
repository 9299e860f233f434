package vetchrill.tool;

import java.util.List;
import picocli.CommandLine.Option;

/** What all ask who simulate fleets of several sizes, each case from several seeds. */
abstract class SimulationCommand {
    @Option(names = "--sizes", split = ",", defaultValue = "10,100", description = "Of the fleets (${DEFAULT-VALUE}).")
    List<Integer> sizes;

    @Option(names = "--seeds", defaultValue = "5", description = "Of each case (${DEFAULT-VALUE}).")
    int seeds;

    @Option(names = "--first-seed", defaultValue = "1", description = "The first of them (${DEFAULT-VALUE}).")
    long firstSeed;
}
