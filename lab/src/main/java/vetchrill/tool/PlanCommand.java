package vetchrill.tool;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import vetchrill.capture.Capture;
import vetchrill.fleet.Fleet;
import vetchrill.fleet.FleetFileReader;
import vetchrill.hcl.ConfigBlock;
import vetchrill.planner.Report;
import vetchrill.planner.PlanInputs;
import vetchrill.planner.FittedModel;
import vetchrill.planner.Goal;
import vetchrill.planner.LimitFinder;
import vetchrill.planner.ZoneLossAnalysis;
import vetchrill.planner.ReportRenderer;
import vetchrill.planner.FleetSizer;
import vetchrill.planner.SimulationRunner;

/** Plans a fleet: its limits, the size for a goal, and the effect of losing zones. */
@Command(name = "plan", mixinStandardHelpOptions = true, synopsisSubcommandLabel = "limits|size|lose|report",
        description = "Plan a fleet from its description and, if available, its captures.")
final class PlanCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(),
                "plan requires a subcommand: limits, size, lose or report");
    }

    /** Options that all subcommands have in common. */
    static final class PlanOptions {
        @Parameters(index = "0", paramLabel = "FLEET", description = "The fleet (HCL).")
        Path fleetFile;

        @Option(names = "--capture", paramLabel = "FOLDER",
                description = "Captures of the fleet; values fitted to them replace those of the fleet file.")
        Path capture;

        @Option(names = "--seeds", defaultValue = "5",
                description = "Number of simulations per case (${DEFAULT-VALUE}).")
        int seeds;

        @Option(names = "--threads", description = "Number of parallel simulations; by default the number of cores.")
        int threads = Runtime.getRuntime().availableProcessors();

        @Option(names = "--seconds", defaultValue = "40",
                description = "Length of a simulation (${DEFAULT-VALUE}).")
        int seconds;

        @Option(names = "--settle", defaultValue = "5",
                description = "Seconds at the start of a simulation that do not count (${DEFAULT-VALUE}).")
        int settle;

        @ArgGroup(exclusive = true)
        OutputFormat output = new OutputFormat();

        @Option(names = "--quiet", description = "Do not print progress on standard error.")
        boolean quiet;

        private final AtomicInteger finishedRuns = new AtomicInteger();

        static final class OutputFormat {
            @Option(names = "--json", description = "Print the report as JSON.")
            boolean json;

            @Option(names = "--html", paramLabel = "FILE",
                    description = "Write the report to FILE as a self-contained HTML page.")
            Path html;
        }

        SimulationRunner newRunner() {
            if (seeds < 1 || seeds > 1_000 || threads < 1 || threads > 1_024 || settle < 0 || seconds <= settle + 1
                    || seconds > 3_600) {
                throw new UsageException("--seeds should be 1 to 1000, --threads 1 to 1024, --seconds at most "
                        + "3600 and at least two more than --settle");
            }
            return new SimulationRunner(threads, seeds, seconds * 10_000L, settle * 10_000L, this::progress);
        }

        private void progress() {
            int finished = finishedRuns.incrementAndGet();
            if (!quiet && System.console() != null && finished % 5 == 0) {
                System.err.print("\r" + finished + " simulations finished");
                System.err.flush();
            }
        }

        /** Takes the inputs from the captures if given, else from the fleet file alone. */
        PlanInputs readInputs(Fleet configuredFleet) {
            if (capture != null) {
                return new PlanInputs(new FittedModel(configuredFleet, Capture.readAll(capture)));
            }
            if (!configuredFleet.missingValues().isEmpty()) {
                throw new UsageException(fleetFile + ": without --capture, these values are missing: "
                        + String.join(", ", configuredFleet.missingValues()));
            }
            return new PlanInputs(configuredFleet);
        }

        /** Prints the reports and returns the exit code: 1 if a goal is not met. */
        int print(String title, List<Report> reports) throws IOException {
            if (!quiet && finishedRuns.get() > 0 && System.console() != null) {
                System.err.print("\r");
            }
            if (output != null && output.json) {
                System.out.print(ReportRenderer.toJson(reports));
            } else if (output != null && output.html != null) {
                // Replaces the file atomically, so that readers never see half a page.
                Path temporary = output.html.resolveSibling(output.html.getFileName() + ".half");
                Files.writeString(temporary, ReportRenderer.toHtml(title, reports));
                Files.move(temporary, output.html, StandardCopyOption.REPLACE_EXISTING);
            } else {
                reports.forEach(report -> System.out.println(ReportRenderer.toText(report)));
            }
            return reports.stream().allMatch(report -> report.goalMet) ? 0 : 1;
        }
    }

    @Command(name = "limits", mixinStandardHelpOptions = true,
            description = "Show all limits of the fleet, in the order in which increasing load reaches them.")
    int limits(@Mixin PlanOptions options) throws IOException {
        Fleet fleet = FleetFileReader.read(options.fleetFile);
        try (SimulationRunner runner = options.newRunner()) {
            Report report = new LimitFinder(options.readInputs(fleet), runner).find();
            return options.print(report.title, List.of(report));
        }
    }

    @Command(name = "size", mixinStandardHelpOptions = true,
            description = "Find the number of instances that meets each goal of a file, by kind and zone.")
    int size(@Mixin PlanOptions options,
            @Parameters(index = "1", paramLabel = "GOALS", description = "The goals (HCL).") Path goals)
            throws IOException {
        Fleet fleet = FleetFileReader.read(options.fleetFile);
        List<Goal> goalList = Goal.read(ConfigBlock.read(goals), fleet);
        try (SimulationRunner runner = options.newRunner()) {
            List<Report> reports = new ArrayList<>();
            PlanInputs inputs = options.readInputs(fleet);
            for (Goal goal : goalList) {
                reports.add(new FleetSizer(inputs, runner, goal).find());
            }
            return options.print("Sizes of " + fleet.name, reports);
        }
    }

    @Command(name = "lose", mixinStandardHelpOptions = true,
            description = "Show the effect of losing zones: alone, in each phase of a deploy, and with their return.")
    int lose(@Mixin PlanOptions options, @Option(names = "--zones", paramLabel = "A,B",
            description = "A set of zones that are lost together; may be repeated. By default each zone alone.")
            List<String> zones,
            @Option(names = "--load", defaultValue = "1",
                    description = "The load as a multiple of the current load (${DEFAULT-VALUE}).") double load)
            throws IOException {
        Fleet fleet = FleetFileReader.read(options.fleetFile);
        List<Set<String>> zoneSets = parseZoneSets(fleet, zones);
        checkLoad(load);
        try (SimulationRunner runner = options.newRunner()) {
            Report report = new ZoneLossAnalysis(options.readInputs(fleet), runner, load).find(zoneSets);
            return options.print(report.title, List.of(report));
        }
    }

    @Command(name = "report", mixinStandardHelpOptions = true,
            description = "Write the complete report: limits, sizes and zone losses.")
    int report(@Mixin PlanOptions options, @Option(names = "--goals", paramLabel = "GOALS",
            description = "Goals to find sizes for (HCL).") Path goals) throws IOException {
        Fleet fleet = FleetFileReader.read(options.fleetFile);
        List<Goal> goalList = goals == null ? List.of() : Goal.read(ConfigBlock.read(goals), fleet);
        List<Report> reports = new ArrayList<>();
        PlanInputs inputs = options.readInputs(fleet);
        // If the program is interrupted, the shutdown hook prints the reports that are finished.
        Thread partialReport = new Thread(() -> {
            try {
                options.print("Plan of " + fleet.name + ", stopped early", List.copyOf(reports));
            } catch (IOException e) {
                System.err.println("vetchrill: " + e.getMessage());
            }
        });
        Runtime.getRuntime().addShutdownHook(partialReport);
        try (SimulationRunner runner = options.newRunner()) {
            reports.add(new LimitFinder(inputs, runner).find());
            for (Goal goal : goalList) {
                reports.add(new FleetSizer(inputs, runner, goal).find());
            }
            reports.add(new ZoneLossAnalysis(inputs, runner, 1).find(List.of()));
        } finally {
            try {
                Runtime.getRuntime().removeShutdownHook(partialReport);
            } catch (IllegalStateException e) {
                // The program is shutting down, and the hook prints the finished reports.
            }
        }
        // All reports have the same inputs: keeps only the first table of them.
        reports.subList(1, reports.size()).forEach(each -> each.tables.removeIf(
                table -> table.title().equals(PlanInputs.TABLE_TITLE)));
        return options.print("Plan of " + fleet.name, reports);
    }

    private static void checkLoad(double load) {
        if (!(load > 0 && load <= 100)) {
            throw new UsageException("--load is " + load + ", should be above 0 and at most 100");
        }
    }

    private static List<Set<String>> parseZoneSets(Fleet fleet, List<String> zoneLists) {
        List<Set<String>> zoneSets = new ArrayList<>();
        List<String> knownZones = fleet.zones.stream().map(Fleet.Zone::name).toList();
        for (String zoneList : zoneLists == null ? List.<String>of() : zoneLists) {
            Set<String> zones = new LinkedHashSet<>(Arrays.asList(zoneList.split(",")));
            for (String zone : zones) {
                if (!knownZones.contains(zone)) {
                    throw new UsageException("--zones: '" + zone + "' is no zone of the fleet, which has "
                            + String.join(", ", knownZones));
                }
            }
            zoneSets.add(zones);
        }
        return zoneSets;
    }
}
