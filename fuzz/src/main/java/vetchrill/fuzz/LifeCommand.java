package vetchrill.fuzz;

import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import vetchrill.fuzz.chain.LifeWalk;

@Command(name = "life", mixinStandardHelpOptions = true,
        description = "Walk every order of what can happen to one exchange, to a depth, on the real chain.")
final class LifeCommand implements Callable<Integer> {
    @Option(names = "--depth", defaultValue = "4", description = "Steps of each path (${DEFAULT-VALUE}).")
    int depth;

    int states;
    long paths;

    @Override
    public Integer call() {
        if (depth < 1 || depth > 7) {
            throw new vetchrill.tool.BadUse("--depth should be 1 to 7");
        }
        System.setProperty("vetchrill.log.level", "OFF");
        LifeWalk walk = new LifeWalk();
        paths = LifeWalk.paths(depth);
        AtomicLong next = new AtomicLong();
        java.util.concurrent.ConcurrentSkipListMap<Long,
                String> wrong = new java.util.concurrent.ConcurrentSkipListMap<>();
        IntStream.range(0, Runtime.getRuntime().availableProcessors()).parallel().forEach(thread -> {
            for (long path = next.getAndIncrement(); path < paths && wrong.size() < 20; path = next.getAndIncrement()) {
                try {
                    walk.walk(depth, path);
                } catch (RuntimeException e) {
                    wrong.put(path, String.valueOf(e.getMessage() == null ? e.toString() : e.getMessage()));
                }
            }
        });
        states = walk.states();
        wrong.values().stream().limit(20).forEach(System.out::println);
        System.out.printf(Locale.ROOT, "life: depth=%d paths=%d states=%d findings=%d%n", depth, paths, states,
                wrong.size());
        return wrong.isEmpty() ? 0 : 1;
    }
}
