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
import vetchrill.fleet.FleetFile;
import vetchrill.hcl.Block;
import vetchrill.planner.Answer;
import vetchrill.planner.Basis;
import vetchrill.planner.Fit;
import vetchrill.planner.Goal;
import vetchrill.planner.LimitFinder;
import vetchrill.planner.Losses;
import vetchrill.planner.Showing;
import vetchrill.planner.Sizing;
import vetchrill.planner.Sweep;

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
    static final class Common {
        @Parameters(index = "0", paramLabel = "FLEET", description = "The fleet (HCL).")
        Path fleet;

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
        Form form = new Form();

        @Option(names = "--quiet", description = "No progress on standard error.")
        boolean quiet;

        private final AtomicInteger played = new AtomicInteger();

        static final class Form {
            @Option(names = "--json", description = "Answer in JSON.")
            boolean json;

            @Option(names = "--html", paramLabel = "FILE",
                    description = "Answer as a page in FILE, nothing else needed.")
            Path html;
        }

        Sweep sweep() {
            if (seeds < 1 || seeds > 1_000 || threads < 1 || threads > 1_024 || settle < 0 || seconds <= settle + 1
                    || seconds > 3_600) {
                throw new BadUse("--seeds should be 1 to 1000, --threads 1 to 1024, --seconds at most "
                        + "3600 and two more "
                        + "than --settle");
            }
            return new Sweep(threads, seeds, seconds * 10_000L, settle * 10_000L, this::progress);
        }

        private void progress() {
            int now = played.incrementAndGet();
            if (!quiet && System.console() != null && now % 5 == 0) {
                System.err.print("\r" + now + " worlds played");
                System.err.flush();
            }
        }

        Basis basis(Fleet told) {
            if (capture != null) {
                return new Basis(new Fit(told, Capture.readAll(capture)));
            }
            if (!told.wanting().isEmpty()) {
                throw new BadUse(fleet + ": without --capture it must tell " + String.join(", ", told.wanting()));
            }
            return new Basis(told);
        }

        /** Shows what there is; 1 where something asked for does not hold. */
        int show(String title, List<Answer> answers) throws IOException {
            if (!quiet && played.get() > 0 && System.console() != null) {
                System.err.print("\r");
            }
            if (form != null && form.json) {
                System.out.print(Showing.json(answers));
            } else if (form != null && form.html != null) {
                // Whoever looks at it never sees half of it.
                Path half = form.html.resolveSibling(form.html.getFileName() + ".half");
                Files.writeString(half, Showing.page(title, answers));
                Files.move(half, form.html, StandardCopyOption.REPLACE_EXISTING);
            } else {
                answers.forEach(each -> System.out.println(Showing.text(each)));
            }
            return answers.stream().allMatch(each -> each.holds) ? 0 : 1;
        }
    }

    @Command(name = "limits", mixinStandardHelpOptions = true,
            description = "Every limit that the design has, in the order in which growing load reaches it.")
    int limits(@Mixin Common common) throws IOException {
        Fleet fleet = FleetFile.read(common.fleet);
        try (Sweep sweep = common.sweep()) {
            Answer answer = new LimitFinder(common.basis(fleet), sweep).find();
            return common.show(answer.title, List.of(answer));
        }
    }

    @Command(name = "size", mixinStandardHelpOptions = true,
            description = "How many relays the goals of a file take, by kind and zone.")
    int size(@Mixin Common common, @Parameters(index = "1", paramLabel = "GOALS", description = "The goals (HCL).")
            Path goals) throws IOException {
        Fleet fleet = FleetFile.read(common.fleet);
        List<Goal> all = Goal.read(Block.read(goals), fleet);
        try (Sweep sweep = common.sweep()) {
            List<Answer> answers = new ArrayList<>();
            Basis basis = common.basis(fleet);
            for (Goal goal : all) {
                answers.add(new Sizing(basis, sweep, goal).find());
            }
            return common.show("Sizes of " + fleet.name, answers);
        }
    }

    @Command(name = "lose", mixinStandardHelpOptions = true,
            description = "What the loss of a zone does: alone, in each phase of a deploy, and with its return.")
    int lose(@Mixin Common common, @Option(names = "--zones", paramLabel = "A,B",
            description = "A set of zones that go "
            + "together; may be given again for another. Each zone by itself where not given.") List<String> zones,
            @Option(names = "--load", defaultValue = "1", description = "The load as a multiple of that of now "
                    + "(${DEFAULT-VALUE}).") double load) throws IOException {
        Fleet fleet = FleetFile.read(common.fleet);
        List<Set<String>> sets = sets(fleet, zones);
        load(load);
        try (Sweep sweep = common.sweep()) {
            Answer answer = new Losses(common.basis(fleet), sweep, load).find(sets);
            return common.show(answer.title, List.of(answer));
        }
    }

    @Command(name = "report", mixinStandardHelpOptions = true, description = "All of it: limits, sizes and losses.")
    int report(@Mixin Common common, @Option(names = "--goals", paramLabel = "GOALS",
            description = "Goals to size for.")
            Path goals) throws IOException {
        Fleet fleet = FleetFile.read(common.fleet);
        List<Goal> all = goals == null ? List.of() : Goal.read(Block.read(goals), fleet);
        List<Answer> answers = new ArrayList<>();
        Basis basis = common.basis(fleet);
        // Stopped in the middle, it shows what is done.
        Thread stopped = new Thread(() -> {
            try {
                common.show("Plan of " + fleet.name + ", stopped early", List.copyOf(answers));
            } catch (IOException e) {
                System.err.println("vetchrill: " + e.getMessage());
            }
        });
        Runtime.getRuntime().addShutdownHook(stopped);
        try (Sweep sweep = common.sweep()) {
            answers.add(new LimitFinder(basis, sweep).find());
            for (Goal goal : all) {
                answers.add(new Sizing(basis, sweep, goal).find());
            }
            answers.add(new Losses(basis, sweep, 1).find(List.of()));
        } finally {
            try {
                Runtime.getRuntime().removeShutdownHook(stopped);
            } catch (IllegalStateException e) {
                // It is being stopped: the hook shows what there is.
            }
        }
        // They all rest on the same.
        answers.subList(1, answers.size()).forEach(each -> each.tables.removeIf(
                table -> table.title().equals(Basis.TITLE)));
        return common.show("Plan of " + fleet.name, answers);
    }

    private static void load(double load) {
        if (!(load > 0 && load <= 100)) {
            throw new BadUse("--load is " + load + ", should be above 0 and at most 100");
        }
    }

    private static List<Set<String>> sets(Fleet fleet, List<String> words) {
        List<Set<String>> sets = new ArrayList<>();
        List<String> known = fleet.zones.stream().map(Fleet.Zone::name).toList();
        for (String word : words == null ? List.<String>of() : words) {
            Set<String> set = new LinkedHashSet<>(Arrays.asList(word.split(",")));
            for (String zone : set) {
                if (!known.contains(zone)) {
                    throw new BadUse("--zones: '" + zone + "' is no zone of the fleet, which has "
                            + String.join(", ", known));
                }
            }
            sets.add(set);
        }
        return sets;
    }
}
