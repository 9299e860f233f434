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
import vetchrill.model.Demand;
import vetchrill.model.Run;
import vetchrill.model.TimeWheel;
import vetchrill.model.World;

/** Plays many worlds at once, each on one thread. What comes out hangs on the seeds alone, not on the threads. */
public final class Sweep implements AutoCloseable {
    private final ExecutorService threads;
    public final int seeds;
    /** What is counted of a run: from here on to the end of its span, in tenths of a millisecond. */
    public final long span;
    public final long countFrom;
    private final Runnable progress;

    /** {@code progress} is called after each world, on any thread. */
    public Sweep(int threads, int seeds, long span, long countFrom, Runnable progress) {
        this.threads = Executors.newFixedThreadPool(threads, work -> {
            Thread thread = new Thread(work, "sweep");
            thread.setDaemon(true);
            return thread;
        });
        this.seeds = seeds;
        this.span = span;
        this.countFrom = countFrom;
        this.progress = progress;
    }

    public int fromSecond() {
        return (int) (countFrom / Profile.SECOND);
    }

    public int toSecond() {
        return (int) (span / Profile.SECOND);
    }

    /** One world for each seed. */
    public List<Run> runs(Fleet fleet, Demand demand) {
        return runs(fleet, demand, span);
    }

    public List<Run> runs(Fleet fleet, Demand demand, long span) {
        return each(seeds, seed -> new World(fleet, demand, span, countFrom, 1_000 + seed, new TimeWheel()).run());
    }

    /** The results of {@code n} tasks in their order. */
    public <T> List<T> each(int n, IntFunction<T> task) {
        List<Future<T>> futures = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            int number = i;
            Callable<T> call = () -> {
                T done = task.apply(number);
                progress.run();
                return done;
            };
            futures.add(threads.submit(call));
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
    public Spread service(List<Run> runs) {
        return Spread.ofShares(runs.stream().mapToDouble(run -> run.tally().service(fromSecond(),
                toSecond())).toArray());
    }

    @Override
    public void close() {
        threads.shutdownNow();
    }
}
