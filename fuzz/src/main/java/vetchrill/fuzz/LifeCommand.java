package vetchrill.fuzz;

import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import vetchrill.fuzz.chain.LifecyclePathExplorer;

/** The command {@code fuzz life}: plays every path of {@link LifecyclePathExplorer} of a given length. */
@Command(name = "life", mixinStandardHelpOptions = true,
        description = "Explore every sequence of events of one exchange, up to a length, on the real chain.")
final class LifeCommand implements Callable<Integer> {
    @Option(names = "--depth", defaultValue = "4",
            description = "Number of events of each sequence (${DEFAULT-VALUE}).")
    int depth;

    int stateCount;
    long pathCount;

    @Override
    public Integer call() {
        if (depth < 1 || depth > 7) {
            throw new vetchrill.tool.UsageException("--depth should be 1 to 7");
        }
        System.setProperty("vetchrill.log.level", "OFF");
        LifecyclePathExplorer explorer = new LifecyclePathExplorer();
        pathCount = LifecyclePathExplorer.pathCount(depth);
        AtomicLong next = new AtomicLong();
        java.util.concurrent.ConcurrentSkipListMap<Long,
                String> findings = new java.util.concurrent.ConcurrentSkipListMap<>();
        IntStream.range(0, Runtime.getRuntime().availableProcessors()).parallel().forEach(thread -> {
            for (long path = next.getAndIncrement(); path < pathCount
                    && findings.size() < 20; path = next.getAndIncrement()) {
                try {
                    explorer.walk(depth, path);
                } catch (RuntimeException e) {
                    findings.put(path, String.valueOf(e.getMessage() == null ? e.toString() : e.getMessage()));
                }
            }
        });
        stateCount = explorer.stateCount();
        findings.values().stream().limit(20).forEach(System.out::println);
        System.out.printf(Locale.ROOT, "life: depth=%d paths=%d states=%d findings=%d%n", depth, pathCount, stateCount,
                findings.size());
        return findings.isEmpty() ? 0 : 1;
    }
}
