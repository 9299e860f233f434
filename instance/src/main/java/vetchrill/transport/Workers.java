package vetchrill.transport;

import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Threads kept for what comes next. Whoever starts a thread waits until it runs, on a crowded core for long, so
 * that is left to the workers: each that takes the last place of those waiting starts another before its own work,
 * which may last as long as a peer likes.
 */
public final class Workers implements Job.Runner {
    private static final System.Logger LOG = System.getLogger("vetchrill.workers");

    private final LinkedBlockingQueue<Job> work = new LinkedBlockingQueue<>();
    private final AtomicInteger waiting = new AtomicInteger();
    private final AtomicInteger started = new AtomicInteger();
    private final String name;
    private final int spare;
    private final Limits limits;

    /** So many wait from the start on. */
    public Workers(String name, int spare, Limits limits) {
        this.name = name;
        this.spare = spare;
        this.limits = limits;
        for (int i = 0; i < spare; i++) {
            start();
        }
    }

    @Override
    public void give(Job job) {
        work.add(job);
    }

    private void start() {
        waiting.incrementAndGet();
        try {
            Resources.daemon(name + started.incrementAndGet(), this::keep, limits.threadStack).start();
        } catch (OutOfMemoryError e) {
            waiting.decrementAndGet();
            LOG.log(System.Logger.Level.ERROR, "no thread for a connection: it waits for another to end");
        }
    }

    private void keep() {
        try {
            while (true) {
                Job job = work.poll(limits.workerWaits / 10, TimeUnit.MILLISECONDS);
                int left = waiting.decrementAndGet();
                if (job == null && left >= spare) {
                    return;
                }
                if (job != null) {
                    if (left == 0) {
                        start();
                    }
                    while (job.step()) {
                        continue;
                    }
                }
                waiting.incrementAndGet();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
