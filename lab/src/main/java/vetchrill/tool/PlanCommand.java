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
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
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

@Command(name = "plan", mixinStandardHelpOptions = true, synopsisSubcommandLabel = "limits|size|lose|report",
        description = "Plan a fleet from its description and, where there are any, its captures.")
final class PlanCommand implements Runnable {
    @picocli.CommandLine.Spec
    private picocli.CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new picocli.CommandLine.ParameterException(spec.commandLine(),
                "plan needs one of limits, size, lose, report");
    }

    /** What all questions have in common. */
    static final class PlanOptions {
        @Parameters(index = "0", paramLabel = "FLEET", description = "The fleet (HCL).")
        Path fleetFile;

        @Option(names = "--capture", paramLabel = "FOLDER",
                description = "Captures of the fleet's relays; what they tell "
                + "goes before what the file says.")
        Path capture;

        @Option(names = "--seeds", defaultValue = "5", description = "Worlds played for each case (${DEFAULT-VALUE}).")
        int seeds;

        @Option(names = "--threads", description = "Worlds played at once; all cores where not given.")
        int threads = Runtime.getRuntime().availableProcessors();

        @Option(names = "--seconds", defaultValue = "40", description = "Length of a world (${DEFAULT-VALUE}).")
        int seconds;

        @Option(names = "--settle", defaultValue = "5", description = "Seconds at its beginning that are not counted "
                + "(${DEFAULT-VALUE}).")
        int settle;

        @ArgGroup(exclusive = true)
        OutputFormat output = new OutputFormat();

        @Option(names = "--quiet", description = "No progress on standard error.")
        boolean quiet;

        private final AtomicInteger finishedRuns = new AtomicInteger();

        static final class OutputFormat {
            @Option(names = "--json", description = "Answer in JSON.")
            boolean json;

            @Option(names = "--html", paramLabel = "FILE",
                    description = "Answer as a page in FILE, nothing else needed.")
            Path html;
        }

        SimulationRunner newRunner() {
            if (seeds < 1 || seeds > 1_000 || threads < 1 || threads > 1_024 || settle < 0 || seconds <= settle + 1
                    || seconds > 3_600) {
                throw new UsageException("--seeds should be 1 to 1000, --threads 1 to 1024, --seconds at most "
                        + "3600 and two more "
                        + "than --settle");
            }
            return new SimulationRunner(threads, seeds, seconds * 10_000L, settle * 10_000L, this::progress);
        }

        private void progress() {
            int finished = finishedRuns.incrementAndGet();
            if (!quiet && System.console() != null && finished % 5 == 0) {
                System.err.print("\r" + finished + " worlds played");
                System.err.flush();
            }
        }

        PlanInputs readInputs(Fleet configuredFleet) {
            if (capture != null) {
                return new PlanInputs(new FittedModel(configuredFleet, Capture.readAll(capture)));
            }
            if (!configuredFleet.missingValues().isEmpty()) {
                throw new UsageException(fleetFile + ": without --capture it must tell "
                        + String.join(", ", configuredFleet.missingValues()));
            }
            return new PlanInputs(configuredFleet);
        }

        /** Shows what there is; 1 where something asked for does not hold. */
        int print(String title, List<Report> reports) throws IOException {
            if (!quiet && finishedRuns.get() > 0 && System.console() != null) {
                System.err.print("\r");
            }
            if (output != null && output.json) {
                System.out.print(ReportRenderer.toJson(reports));
            } else if (output != null && output.html != null) {
                // Whoever looks at it never sees half of it.
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
            description = "Every limit that the design has, in the order in which growing load reaches it.")
    int limits(@Mixin PlanOptions options) throws IOException {
        Fleet fleet = FleetFileReader.read(options.fleetFile);
        try (SimulationRunner runner = options.newRunner()) {
            Report report = new LimitFinder(options.readInputs(fleet), runner).find();
            return options.print(report.title, List.of(report));
        }
    }

    @Command(name = "size", mixinStandardHelpOptions = true,
            description = "How many relays the goals of a file take, by kind and zone.")
    int size(@Mixin PlanOptions options,
    @Parameters(index = "1", paramLabel = "GOALS", description = "The goals (HCL).")
            Path goals) throws IOException {
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
            description = "What the loss of a zone does: alone, in each phase of a deploy, and with its return.")
    int lose(@Mixin PlanOptions options, @Option(names = "--zones", paramLabel = "A,B",
            description = "A set of zones that go "
            + "together; may be given again for another. Each zone by itself where not given.") List<String> zones,
            @Option(names = "--load", defaultValue = "1", description = "The load as a multiple of that of now "
                    + "(${DEFAULT-VALUE}).") double load) throws IOException {
        Fleet fleet = FleetFileReader.read(options.fleetFile);
        List<Set<String>> zoneSets = parseZoneSets(fleet, zones);
        checkLoad(load);
        try (SimulationRunner runner = options.newRunner()) {
            Report report = new ZoneLossAnalysis(options.readInputs(fleet), runner, load).find(zoneSets);
            return options.print(report.title, List.of(report));
        }
    }

    @Command(name = "report", mixinStandardHelpOptions = true, description = "All of it: limits, sizes and losses.")
    int report(@Mixin PlanOptions options, @Option(names = "--goals", paramLabel = "GOALS",
            description = "Goals to size for.")
            Path goals) throws IOException {
        Fleet fleet = FleetFileReader.read(options.fleetFile);
        List<Goal> goalList = goals == null ? List.of() : Goal.read(ConfigBlock.read(goals), fleet);
        List<Report> reports = new ArrayList<>();
        PlanInputs inputs = options.readInputs(fleet);
        // Stopped in the middle, it shows what is done.
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
                // It is being stopped: the hook shows what there is.
            }
        }
        // They all rest on the same.
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
