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

/** Runs simulations in parallel, one thread each. Results depend on the seeds only, not on the number of threads. */
public final class SimulationRunner implements AutoCloseable {
    private final ExecutorService executor;
    public final int seedCount;
    /** Length of a simulation, and the time from which its results count, in tenths of a millisecond. */
    public final long span;
    public final long countedFrom;
    private final Runnable progress;

    /** {@code progress} is called after each simulation, on any thread. */
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

    /** Runs one simulation per seed. */
    public List<SimulationResult> simulate(Fleet fleet, Workload workload) {
        return simulate(fleet, workload, span);
    }

    /** Runs one simulation of the given length per seed. */
    public List<SimulationResult> simulate(Fleet fleet, Workload workload, long span) {
        return runTasks(seedCount, seed -> new FleetSimulation(fleet, workload, span, countedFrom, 1_000 + seed,
                new TimingWheelQueue()).run());
    }

    /** Runs tasks 0 to {@code taskCount - 1} and returns their results in that order. */
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

    /** The mean service over the counted part of the simulations. */
    public ConfidenceInterval meanService(List<SimulationResult> runs) {
        return ConfidenceInterval.ofShares(runs.stream()
                .mapToDouble(run -> run.statistics().service(countedFromSecond(), countedToSecond())).toArray());
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
