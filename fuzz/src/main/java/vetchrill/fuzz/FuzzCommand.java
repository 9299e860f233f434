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
    private String only;

    @Option(names = "--seconds", defaultValue = "60", description = "Time in all (${DEFAULT-VALUE}).")
    private double seconds;

    @Option(names = "--executions", description = "So many inputs for each target, however long that takes.")
    private Long executions;

    @Option(names = "--seed", defaultValue = "1", description = "Of all that is drawn (${DEFAULT-VALUE}).")
    private long seed;

    @Option(names = "--way", defaultValue = "GUIDED", description = "${COMPLETION-CANDIDATES} (${DEFAULT-VALUE}).")
    private Fuzzer.Way way;

    @Option(names = "--corpus", description = "Inputs to start from, a folder for each target (fuzz/corpus).")
    private Path corpus = CORPUS;

    @Option(names = "--found", description = "Where findings are left (fuzz/found).")
    private Path found = Path.of("fuzz/found");

    @Option(names = "--product", paramLabel = "FOLDER", hidden = true,
            description = "Classes that go before those of the product.")
    private Path product;

    @Option(names = "--first", hidden = true, description = "Ends at the first finding, whatever its input.")
    private boolean first;

    /** What came out, for whoever asks after the call. */
    long all;
    double took;
    int findings;

    @Option(names = "--keep", description = "Inputs that come to new places are added to the corpus, distilled.")
    private boolean keep;

    @Override
    public Integer call() throws IOException {
        System.setProperty("vetchrill.log.level", "OFF");
        List<Target> targets = targets(new ProductLoader(product, way != Fuzzer.Way.BLIND || keep), only);
        long began = System.nanoTime();
        for (int i = 0; i < targets.size(); i++) {
            Target target = targets.get(i);
            // The chain and the module are most of what there is to find: half of the time is theirs.
            long now = System.nanoTime();
            double left = seconds - (now - began) / 1e9;
            long until = executions != null ? Long.MAX_VALUE
                    : now + (long) (Math.max(0.2, left * share(targets, i)) * 1e9);
            Fuzzer fuzzer = new Fuzzer(target, seed, way, first);
            Fuzzer.Result result = fuzzer.run(executions == null ? Long.MAX_VALUE : executions, until, start(target));
            all += result.executions();
            System.out.printf(Locale.ROOT, "%-12s %9d inputs, %8.0f a second, %4d kept, %5d of %5d places%s%n",
                    target.name(), result.executions(), result.executions() / ((System.nanoTime() - now) / 1e9),
                            result.kept(), result.reached(),
                    result.all(), result.found().isEmpty() ? "" : ", FOUND " + result.found().size());
            for (Fuzzer.Found each : result.found()) {
                findings++;
                tell(each);
            }
            if (first && findings > 0) {
                return 1;
            }
            if (keep && result.found().isEmpty()) {
                store(target, fuzzer);
            }
        }
        took = (System.nanoTime() - began) / 1e9;
        System.out.printf(Locale.ROOT, "fuzz: targets=%d execs=%d seconds=%.1f findings=%d%n", targets.size(), all,
                took, findings);
        return findings == 0 ? 0 : 1;
    }

    private static double share(List<Target> targets, int at) {
        double weights = 0;
        for (int i = at; i < targets.size(); i++) {
            weights += weight(targets.get(i));
        }
        return weight(targets.get(at)) / weights;
    }

    private static double weight(Target target) {
        return target.name().equals("chain") ? 6 : target.name().equals("module") ? 4 : 1;
    }

    private void tell(Fuzzer.Found each) throws IOException {
        Files.createDirectories(found);
        Path file = found.resolve(each.target() + "-" + name(each.input()) + ".bin");
        Files.write(file, each.input());
        System.out.println("  " + each.what());
        System.out.println("  bin/vetchrill fuzz replay " + file);
    }

    private static String name(byte[] input) {
        java.util.zip.CRC32C sum = new java.util.zip.CRC32C();
        sum.update(input);
        return HexFormat.of().toHexDigits((int) sum.getValue());
    }

    /** Those of the corpus, and those that each target has of its own. */
    private List<byte[]> start(Target target) throws IOException {
        List<byte[]> start = new ArrayList<>(target.seeds());
        start.addAll(corpus(corpus, target.name()).values());
        return start;
    }

    static TreeMap<Path, byte[]> corpus(Path folder, String target) throws IOException {
        TreeMap<Path, byte[]> inputs = new TreeMap<>();
        Path its = folder.resolve(target);
        if (Files.isDirectory(its)) {
            try (var files = Files.list(its)) {
                for (Path file : files.toList()) {
                    inputs.put(file, Files.readAllBytes(file));
                }
            }
        }
        return inputs;
    }

    private void store(Target target, Fuzzer fuzzer) throws IOException {
        Path folder = corpus.resolve(target.name());
        Files.createDirectories(folder);
        for (byte[] input : Fuzzer.distilled(target, fuzzer.corpus())) {
            Files.write(folder.resolve(name(input) + ".bin"), input);
        }
    }

    static List<Target> targets(ClassLoader loader, String only) {
        List<Target> all = Targets.all(loader);
        if (only == null) {
            return all;
        }
        List<Target> those = all.stream().filter(each -> each.name().equals(only)).toList();
        if (those.isEmpty()) {
            throw new vetchrill.tool.BadUse("no target " + only + ", there are " + String.join(", ",
                    all.stream().map(Target::name).toList()));
        }
        return those;
    }

    /** The target that a file of a finding or of the corpus is for: by its folder, or by its name. */
    static Target of(Path file) {
        List<Target> all = targets(new ProductLoader(null, false), null);
        String folder = file.toAbsolutePath().getParent().getFileName().toString();
        String name = file.getFileName().toString();
        return all.stream().filter(each -> each.name().equals(folder) || name.startsWith(each.name() + "-")).findFirst()
                .orElseThrow(() -> new vetchrill.tool.BadUse(file
                        + ": neither its folder nor its name says its target"));
    }

    @Command(name = "list", mixinStandardHelpOptions = true, description = "All targets and what they cover.")
    static final class ListCommand implements Callable<Integer> {
        @Override
        public Integer call() {
            for (Target target : targets(new ProductLoader(null, false), null)) {
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
            Target target = of(file);
            try {
                target.run(input);
            } catch (RuntimeException | Error e) {
                System.out.println(target.name() + ": " + Fuzzer.wrong(target, input));
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
            Target target = of(file);
            String what = Fuzzer.wrong(target, input);
            if (what == null) {
                System.out.println(target.name() + ": nothing is wrong with it");
                return 0;
            }
            byte[] shortest = Fuzzer.minimise(target, input, what);
            Files.write(file, shortest);
            System.out.println(what + ": " + input.length + " bytes to " + shortest.length);
            return 1;
        }
    }
}
