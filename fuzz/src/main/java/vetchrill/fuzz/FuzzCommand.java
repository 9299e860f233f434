package vetchrill.fuzz;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import vetchrill.tool.ToolCommand;

@Command(name = "fuzz", mixinStandardHelpOptions = true,
        description = "Feed parsers, the decision module and the whole chain what nobody would send, and "
                + "watch what must "
                + "hold. Exit code 1 where something is found, with the command that plays it again.",
        subcommands = {FuzzCommand.ListCommand.class, FuzzCommand.ReplayCommand.class,
            FuzzCommand.MinimiseCommand.class, FaultsCommand.class,
            LifeCommand.class, MeasureFuzzCommand.class})
public final class FuzzCommand implements Callable<Integer>, ToolCommand {
    static final Path CORPUS = Path.of("fuzz/corpus");

    @Parameters(index = "0", arity = "0..1", paramLabel = "TARGET", description = "One target; all where not given.")
    private String targetName;

    @Option(names = "--seconds", defaultValue = "60", description = "Time in all (${DEFAULT-VALUE}).")
    private double seconds;

    @Option(names = "--executions", description = "So many inputs for each target, however long that takes.")
    private Long executions;

    @Option(names = "--seed", defaultValue = "1", description = "Of all that is drawn (${DEFAULT-VALUE}).")
    private long seed;

    @Option(names = "--way", defaultValue = "GUIDED", description = "${COMPLETION-CANDIDATES} (${DEFAULT-VALUE}).")
    private Fuzzer.Strategy strategy;

    @Option(names = "--corpus", description = "Inputs to start from, a folder for each target (fuzz/corpus).")
    private Path corpusFolder = CORPUS;

    @Option(names = "--found", description = "Where findings are left (fuzz/found).")
    private Path findingsFolder = Path.of("fuzz/found");

    @Option(names = "--product", paramLabel = "FOLDER", hidden = true,
            description = "Classes that go before those of the product.")
    private Path productFolder;

    @Option(names = "--first", hidden = true, description = "Ends at the first finding, whatever its input.")
    private boolean stopAtFirst;

    /** What came out, for whoever asks after the call. */
    long totalExecutions;
    double elapsedSeconds;
    int findingCount;

    @Option(names = "--keep", description = "Inputs that come to new places are added to the corpus, distilled.")
    private boolean extendCorpus;

    @Override
    public Integer call() throws IOException {
        System.setProperty("vetchrill.log.level", "OFF");
        List<Target> targets = selectTargets(new ProductLoader(productFolder,
                strategy != Fuzzer.Strategy.BLIND || extendCorpus), targetName);
        long startNs = System.nanoTime();
        for (int i = 0; i < targets.size(); i++) {
            Target target = targets.get(i);
            // The chain and the module are most of what there is to find: half of the time is theirs.
            long targetStartNs = System.nanoTime();
            double secondsLeft = seconds - (targetStartNs - startNs) / 1e9;
            long deadlineNs = executions != null ? Long.MAX_VALUE
                    : targetStartNs + (long) (Math.max(0.2, secondsLeft * timeShare(targets, i)) * 1e9);
            Fuzzer fuzzer = new Fuzzer(target, seed, strategy, stopAtFirst);
            Fuzzer.Result result = fuzzer.run(executions == null ? Long.MAX_VALUE : executions, deadlineNs,
                    initialInputs(target));
            totalExecutions += result.executions();
            System.out.printf(Locale.ROOT, "%-12s %9d inputs, %8.0f a second, %4d kept, %5d of %5d places%s%n",
                    target.name(), result.executions(),
                    result.executions() / ((System.nanoTime() - targetStartNs) / 1e9),
                            result.corpusSize(), result.coveredProbes(),
                    result.totalProbes(), result.findings().isEmpty() ? "" : ", FOUND " + result.findings().size());
            for (Fuzzer.Finding each : result.findings()) {
                findingCount++;
                reportFinding(each);
            }
            if (stopAtFirst && findingCount > 0) {
                return 1;
            }
            if (extendCorpus && result.findings().isEmpty()) {
                storeCorpus(target, fuzzer);
            }
        }
        elapsedSeconds = (System.nanoTime() - startNs) / 1e9;
        System.out.printf(Locale.ROOT, "fuzz: targets=%d execs=%d seconds=%.1f findings=%d%n", targets.size(),
                totalExecutions,
                elapsedSeconds, findingCount);
        return findingCount == 0 ? 0 : 1;
    }

    private static double timeShare(List<Target> targets, int index) {
        double weights = 0;
        for (int i = index; i < targets.size(); i++) {
            weights += weight(targets.get(i));
        }
        return weight(targets.get(index)) / weights;
    }

    private static double weight(Target target) {
        return target.name().equals("chain") ? 6 : target.name().equals("module") ? 4 : 1;
    }

    private void reportFinding(Fuzzer.Finding finding) throws IOException {
        Files.createDirectories(findingsFolder);
        Path file = findingsFolder.resolve(finding.target() + "-" + fileName(finding.input()) + ".bin");
        Files.write(file, finding.input());
        System.out.println("  " + finding.problem());
        System.out.println("  bin/vetchrill fuzz replay " + file);
    }

    private static String fileName(byte[] input) {
        java.util.zip.CRC32C checksum = new java.util.zip.CRC32C();
        checksum.update(input);
        return HexFormat.of().toHexDigits((int) checksum.getValue());
    }

    /** Those of the corpus, and those that each target has of its own. */
    private List<byte[]> initialInputs(Target target) throws IOException {
        List<byte[]> inputs = new ArrayList<>(target.seeds());
        inputs.addAll(readCorpus(corpusFolder, target.name()).values());
        return inputs;
    }

    static TreeMap<Path, byte[]> readCorpus(Path folder, String target) throws IOException {
        TreeMap<Path, byte[]> inputs = new TreeMap<>();
        Path targetFolder = folder.resolve(target);
        if (Files.isDirectory(targetFolder)) {
            try (var files = Files.list(targetFolder)) {
                for (Path file : files.toList()) {
                    inputs.put(file, Files.readAllBytes(file));
                }
            }
        }
        return inputs;
    }

    private void storeCorpus(Target target, Fuzzer fuzzer) throws IOException {
        Path folder = corpusFolder.resolve(target.name());
        Files.createDirectories(folder);
        for (byte[] input : Fuzzer.distill(target, fuzzer.corpus())) {
            Files.write(folder.resolve(fileName(input) + ".bin"), input);
        }
    }

    static List<Target> selectTargets(ClassLoader loader, String name) {
        List<Target> all = TargetLoader.all(loader);
        if (name == null) {
            return all;
        }
        List<Target> selected = all.stream().filter(each -> each.name().equals(name)).toList();
        if (selected.isEmpty()) {
            throw new vetchrill.tool.UsageException("no target " + name + ", there are " + String.join(", ",
                    all.stream().map(Target::name).toList()));
        }
        return selected;
    }

    /** The target that a file of a finding or of the corpus is for: by its folder, or by its name. */
    static Target targetOf(Path file) {
        List<Target> all = selectTargets(new ProductLoader(null, false), null);
        String folder = file.toAbsolutePath().getParent().getFileName().toString();
        String name = file.getFileName().toString();
        return all.stream().filter(each -> each.name().equals(folder) || name.startsWith(each.name() + "-")).findFirst()
                .orElseThrow(() -> new vetchrill.tool.UsageException(file
                        + ": neither its folder nor its name says its target"));
    }

    @Command(name = "list", mixinStandardHelpOptions = true, description = "All targets and what they cover.")
    static final class ListCommand implements Callable<Integer> {
        @Override
        public Integer call() {
            for (Target target : selectTargets(new ProductLoader(null, false), null)) {
                System.out.printf("%-12s %s%n", target.name(), String.join(", ",
                        target.covers().stream().map(Class::getName).toList()));
            }
            return 0;
        }
    }

    @Command(name = "replay", mixinStandardHelpOptions = true, description = "Play one input again.")
    static final class ReplayCommand implements Callable<Integer> {
        @Parameters(paramLabel = "FILE")
        private Path file;

        @Override
        public Integer call() throws IOException {
            byte[] input = Files.readAllBytes(file);
            Target target = targetOf(file);
            try {
                target.run(input);
            } catch (RuntimeException | Error e) {
                System.out.println(target.name() + ": " + Fuzzer.problemOf(target, input));
                e.printStackTrace(System.out);
                return 1;
            }
            System.out.println(target.name() + ": nothing is wrong with it");
            return 0;
        }
    }

    @Command(name = "minimise", mixinStandardHelpOptions = true,
            description = "Make the input of a finding as short as it gets, in place.")
    static final class MinimiseCommand implements Callable<Integer> {
        @Parameters(paramLabel = "FILE")
        private Path file;

        @Override
        public Integer call() throws IOException {
            System.setProperty("vetchrill.log.level", "OFF");
            byte[] input = Files.readAllBytes(file);
            Target target = targetOf(file);
            String problem = Fuzzer.problemOf(target, input);
            if (problem == null) {
                System.out.println(target.name() + ": nothing is wrong with it");
                return 0;
            }
            byte[] shortest = Fuzzer.minimise(target, input, problem);
            Files.write(file, shortest);
            System.out.println(problem + ": " + input.length + " bytes to " + shortest.length);
            return 1;
        }
    }
}
