package vetchrill.fuzz;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import javax.tools.JavaCompiler;
import javax.tools.ToolProvider;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import vetchrill.files.Folders;
import vetchrill.fuzz.Fuzzer.Strategy;

/**
 * Mutation testing of the fuzzer: plants known faults one by one in a copy of the product and measures which it finds.
 */
@Command(name = "faults", mixinStandardHelpOptions = true,
        description = "Plant each fault of a folder in a copy of the product and check whether fuzzing finds it.")
final class FaultsCommand implements Callable<Integer> {
    /** A fault file: a description, the path of a source file, the text to replace in it and the replacement. */
    record Fault(String name, String description, Path file, String original, String replacement) {
        static Fault read(Path path) throws IOException {
            String text = Files.readString(path);
            String[] head = text.split("\n", 3);
            int from = text.indexOf("<<<<\n");
            int middle = text.indexOf("\n====\n", from);
            int to = text.indexOf("\n>>>>", middle);
            if (from < 0 || middle < 0 || to < 0) {
                throw new vetchrill.tool.UsageException(path
                        + ": expected a line that describes the fault, the path of a source file, "
                        + "and the original and the replacement between <<<<, ==== and >>>>");
            }
            String name = path.getFileName().toString().replace(".fault", "");
            return new Fault(name, head[0], Path.of(head[1]), text.substring(from + 5, middle),
                    middle + 6 > to ? "" : text.substring(middle + 6, to));
        }

        /** Where the text to replace occurs in the source; -1 unless it occurs once. */
        int offsetIn(String source) {
            int offset = source.indexOf(original);
            return source.indexOf(original, offset + 1) >= 0 ? -1 : offset;
        }
    }

    @Option(names = "--folder", description = "Folder of the faults (fuzz/faults).")
    private Path folder = Path.of("fuzz/faults");

    @Option(names = "--seconds", defaultValue = "10",
            description = "Seconds of fuzzing for each fault (${DEFAULT-VALUE}).")
    private double shortSeconds;

    @Option(names = "--long", defaultValue = "0",
            description = "Seconds of further fuzzing for each fault that was not found by then.")
    private double longSeconds;

    @Option(names = "--random", description = "Measure fuzzing with random bytes alone as well, with the same time.")
    private boolean alsoRandom;

    @Option(names = "--seed", defaultValue = "1", description = "Seed of all random numbers (${DEFAULT-VALUE}).")
    private long seed;

    @Option(names = "--only", description = "Only faults whose name contains this.")
    private String only;

    @Option(names = "--beside", description = "Number of faults to fuzz at the same time (number of cores).")
    private int parallelism = Runtime.getRuntime().availableProcessors();

    /** Results, set by {@link #call}. */
    int planted;
    int found;
    int foundLong;
    int foundRandom;

    @Override
    public Integer call() throws IOException, InterruptedException {
        List<Fault> faults = new ArrayList<>();
        try (var files = Files.list(folder)) {
            for (Path file : files.filter(each -> each.toString().endsWith(".fault")).sorted().toList()) {
                if (only == null || file.getFileName().toString().contains(only)) {
                    faults.add(Fault.read(file));
                }
            }
        }
        planted = faults.size();
        Path workFolder = Files.createTempDirectory("vetchrill-faults");
        ExecutorService threads = Executors.newFixedThreadPool(parallelism);
        try {
            for (Fault fault : faults) {
                compile(fault, workFolder.resolve(fault.name));
            }
            List<Boolean> foundShort = runAll(threads, faults,
                    fault -> isFound(fault, workFolder, Strategy.GUIDED, shortSeconds));
            List<Fault> missed = new ArrayList<>();
            for (int i = 0; i < faults.size(); i++) {
                found += foundShort.get(i) ? 1 : 0;
                if (!foundShort.get(i)) {
                    missed.add(faults.get(i));
                }
            }
            foundLong = found;
            if (longSeconds > 0) {
                List<Boolean> foundInLong = runAll(threads, missed,
                        fault -> isFound(fault, workFolder, Strategy.GUIDED, longSeconds));
                List<Fault> stillMissed = new ArrayList<>();
                for (int i = 0; i < missed.size(); i++) {
                    foundLong += foundInLong.get(i) ? 1 : 0;
                    if (!foundInLong.get(i)) {
                        stillMissed.add(missed.get(i));
                    }
                }
                missed = stillMissed;
            }
            if (alsoRandom) {
                for (boolean each : runAll(threads, faults,
                        fault -> isFound(fault, workFolder, Strategy.RANDOM, shortSeconds))) {
                    foundRandom += each ? 1 : 0;
                }
            }
            for (Fault fault : missed) {
                System.out.printf("not found: %-20s %s%n", fault.name, fault.description);
            }
            System.out.printf(Locale.ROOT,
                    "faults: planted=%d found=%d of them in %.0f s, %d in %.0f s more, random %s%n",
                    planted, foundLong, shortSeconds, foundLong - found, longSeconds,
                    alsoRandom ? foundRandom : "not tried");
            return 0;
        } finally {
            threads.shutdownNow();
            Folders.deleteRecursively(workFolder);
        }
    }

    /** Fuzzes the product with one fault; returns whether the fault was found. */
    private interface FaultTrial {
        boolean run(Fault fault) throws IOException, InterruptedException;
    }

    private static List<Boolean> runAll(ExecutorService threads, List<Fault> faults, FaultTrial trial)
            throws IOException, InterruptedException {
        List<Future<Boolean>> futures = new ArrayList<>();
        for (Fault fault : faults) {
            futures.add(threads.submit(() -> trial.run(fault)));
        }
        List<Boolean> results = new ArrayList<>();
        for (Future<Boolean> future : futures) {
            try {
                results.add(future.get());
            } catch (ExecutionException e) {
                throw new IOException(e.getCause());
            }
        }
        return results;
    }

    /** Compiles the one source file that contains the fault against the unchanged product. */
    private static void compile(Fault fault, Path outputFolder) throws IOException {
        String source = Files.readString(fault.file);
        int offset = fault.offsetIn(source);
        if (offset < 0) {
            throw new vetchrill.tool.UsageException("fault " + fault.name
                    + ": the text to replace should occur once in "
                    + fault.file);
        }
        Path faultySource = outputFolder.resolve("source").resolve(fault.file.getFileName());
        Files.createDirectories(faultySource.getParent());
        Files.createDirectories(outputFolder.resolve("classes"));
        Files.writeString(faultySource,
                source.substring(0, offset) + fault.replacement + source.substring(offset + fault.original.length()));
        JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
        if (compiler.run(null, null, null, "--release", "17", "-nowarn", "-cp", System.getProperty("java.class.path"),
                "-d",
                outputFolder.resolve("classes").toString(), faultySource.toString()) != 0) {
            throw new vetchrill.tool.UsageException("fault " + fault.name + ": does not compile");
        }
    }

    private boolean isFound(Fault fault, Path workFolder, Strategy strategy, double seconds) throws IOException,
            InterruptedException {
        Path out = workFolder.resolve(fault.name).resolve("out");
        List<String> command = new ArrayList<>(List.of(System.getProperty("java.home") + "/bin/java",
                "-XX:+UseSerialGC", "-Xmx400m", "--add-opens=java.base/java.nio=ALL-UNNAMED", "-cp",
                System.getProperty("java.class.path"), "vetchrill.tool.Vetchrill", "fuzz"));
        // The target follows from the package or from the prefix of the name; without one, all targets are fuzzed.
        String path = fault.file.toString();
        String targetName = path.contains("/routing/") || path.contains("/transport/") ? "chain"
                : path.contains("/control/") ? "module"
                : fault.name.substring(0, Math.max(0, fault.name.indexOf('-')));
        if (TargetLoader.all(FaultsCommand.class.getClassLoader()).stream()
                .anyMatch(each -> each.name().equals(targetName))) {
            command.add(targetName);
        }
        command.addAll(List.of("--first", "--product", workFolder.resolve(fault.name).resolve("classes")
                .toString(), "--seconds", Double.toString(seconds), "--seed", Long.toString(seed), "--way",
                strategy.name(),
                "--found", workFolder.resolve(fault.name).resolve("found").toString()));
        Process process = new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(out.toFile()).start();
        // A fault may cause an endless loop, which no oracle in the same process can detect: it counts as found.
        if (!process.waitFor((long) (seconds * 2 + 30), TimeUnit.SECONDS)) {
            process.destroyForcibly();
            return true;
        }
        int code = process.exitValue();
        if (code != 0 && code != 1) {
            throw new IOException("fault " + fault.name + ": the fuzzer failed: " + Files.readString(out));
        }
        return code == 1;
    }
}
