package vetchrill.planner;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.IntFunction;
import vetchrill.fleet.Fleet;
import vetchrill.model.Workload;
import vetchrill.model.SimulationResult;
import vetchrill.model.TimingWheelQueue;
import vetchrill.model.FleetSimulation;

/** Plays many worlds at once, each on one thread. What comes out hangs on the seeds alone, not on the threads. */
public final class SimulationRunner implements AutoCloseable {
    private final ExecutorService executor;
    public final int seedCount;
    /** What is counted of a run: from here on to the end of its span, in tenths of a millisecond. */
    public final long span;
    public final long countedFrom;
    private final Runnable progress;

    /** {@code progress} is called after each world, on any thread. */
    public SimulationRunner(int threadCount, int seedCount, long span, long countedFrom, Runnable progress) {
        this.executor = Executors.newFixedThreadPool(threadCount, work -> {
            Thread thread = new Thread(work, "sweep");
            thread.setDaemon(true);
            return thread;
        });
        this.seedCount = seedCount;
        this.span = span;
        this.countedFrom = countedFrom;
        this.progress = progress;
    }

    public int countedFromSecond() {
        return (int) (countedFrom / LoadProfile.SECOND_TENTHS_MS);
    }

    public int countedToSecond() {
        return (int) (span / LoadProfile.SECOND_TENTHS_MS);
    }

    /** One world for each seed. */
    public List<SimulationResult> simulate(Fleet fleet, Workload demand) {
        return simulate(fleet, demand, span);
    }

    public List<SimulationResult> simulate(Fleet fleet, Workload demand, long span) {
        return runTasks(seedCount, seed -> new FleetSimulation(fleet, demand, span, countedFrom, 1_000 + seed,
                new TimingWheelQueue()).run());
    }

    /** The results of {@code n} tasks in their order. */
    public <T> List<T> runTasks(int taskCount, IntFunction<T> task) {
        List<Future<T>> futures = new ArrayList<>();
        for (int i = 0; i < taskCount; i++) {
            int index = i;
            Callable<T> callable = () -> {
                T result = task.apply(index);
                progress.run();
                return result;
            };
            futures.add(executor.submit(callable));
        }
        List<T> results = new ArrayList<>();
        try {
            for (Future<T> future : futures) {
                results.add(future.get());
            }
        } catch (ExecutionException e) {
            throw e.getCause() instanceof RuntimeException cause ? cause : new IllegalStateException(e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
        return results;
    }

    /** The service of each run over what is counted. */
    public ConfidenceInterval meanService(List<SimulationResult> runs) {
        return ConfidenceInterval.ofShares(runs.stream()
                .mapToDouble(run -> run.statistics().service(countedFromSecond(),
                countedToSecond())).toArray());
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
