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

/** The command {@code fuzz}: runs the coverage-guided fuzzer on one or all targets. */
@Command(name = "fuzz", mixinStandardHelpOptions = true,
        description = "Fuzz the parsers, the decision module and the whole chain, and check their "
                + "invariants. "
                + "Exit code 1 if there are findings, with the commands that replay them.",
        subcommands = {FuzzCommand.ListCommand.class, FuzzCommand.ReplayCommand.class,
            FuzzCommand.MinimiseCommand.class, FaultsCommand.class,
            LifeCommand.class, MeasureFuzzCommand.class})
public final class FuzzCommand implements Callable<Integer>, ToolCommand {
    static final Path CORPUS = Path.of("fuzz/corpus");

    @Parameters(index = "0", arity = "0..1", paramLabel = "TARGET", description = "One target (all targets).")
    private String targetName;

    @Option(names = "--seconds", defaultValue = "60", description = "Total time in seconds (${DEFAULT-VALUE}).")
    private double seconds;

    @Option(names = "--executions", description = "Number of inputs for each target, however long they take.")
    private Long executions;

    @Option(names = "--seed", defaultValue = "1", description = "Seed of all random numbers (${DEFAULT-VALUE}).")
    private long seed;

    @Option(names = "--way", defaultValue = "GUIDED",
            description = "How inputs are made: ${COMPLETION-CANDIDATES} (${DEFAULT-VALUE}).")
    private Fuzzer.Strategy strategy;

    @Option(names = "--corpus", description = "Initial inputs, with a folder for each target (fuzz/corpus).")
    private Path corpusFolder = CORPUS;

    @Option(names = "--found", description = "Folder for the inputs of findings (fuzz/found).")
    private Path findingsFolder = Path.of("fuzz/found");

    @Option(names = "--product", paramLabel = "FOLDER", hidden = true,
            description = "Classes that replace those of the product.")
    private Path productFolder;

    @Option(names = "--first", hidden = true, description = "Stop at the first finding, without minimising its input.")
    private boolean stopAtFirst;

    /** Results, set by {@link #call}. */
    long totalExecutions;
    double elapsedSeconds;
    int findingCount;

    @Option(names = "--keep", description = "Add the smallest inputs that reach new probes to the corpus.")
    private boolean extendCorpus;

    @Override
    public Integer call() throws IOException {
        System.setProperty("vetchrill.log.level", "OFF");
        List<Target> targets = selectTargets(new ProductLoader(productFolder,
                strategy != Fuzzer.Strategy.BLIND || extendCorpus), targetName);
        long startNs = System.nanoTime();
        for (int i = 0; i < targets.size(); i++) {
            Target target = targets.get(i);
            // The chain and the decision module get half of the time, since most faults are to be found there.
            long targetStartNs = System.nanoTime();
            double secondsLeft = seconds - (targetStartNs - startNs) / 1e9;
            long deadlineNs = executions != null ? Long.MAX_VALUE
                    : targetStartNs + (long) (Math.max(0.2, secondsLeft * timeShare(targets, i)) * 1e9);
            Fuzzer fuzzer = new Fuzzer(target, seed, strategy, stopAtFirst);
            Fuzzer.Result result = fuzzer.run(executions == null ? Long.MAX_VALUE : executions, deadlineNs,
                    initialInputs(target));
            totalExecutions += result.executions();
            System.out.printf(Locale.ROOT, "%-12s %9d inputs, %8.0f per second, corpus %4d, %5d of %5d probes%s%n",
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

    /** The seeds of the target and its inputs in the corpus folder. */
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

    /** The target of a file of the corpus or of a finding, by the name of its folder or the prefix of its own name. */
    static Target targetOf(Path file) {
        List<Target> all = selectTargets(new ProductLoader(null, false), null);
        String folder = file.toAbsolutePath().getParent().getFileName().toString();
        String name = file.getFileName().toString();
        return all.stream().filter(each -> each.name().equals(folder) || name.startsWith(each.name() + "-")).findFirst()
                .orElseThrow(() -> new vetchrill.tool.UsageException(file
                        + ": the target is neither the name of its folder nor the prefix of its name"));
    }

    @Command(name = "list", mixinStandardHelpOptions = true,
            description = "List all targets and the classes that they cover.")
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

    @Command(name = "replay", mixinStandardHelpOptions = true, description = "Replay one input.")
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
            System.out.println(target.name() + ": no finding");
            return 0;
        }
    }

    @Command(name = "minimise", mixinStandardHelpOptions = true,
            description = "Minimise the input of a finding, in place.")
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
                System.out.println(target.name() + ": no finding");
                return 0;
            }
            byte[] shortest = Fuzzer.minimise(target, input, problem);
            Files.write(file, shortest);
            System.out.println(problem + ": " + input.length + " bytes to " + shortest.length);
            return 1;
        }
    }
}
