package vetchrill.transport;

import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Threads kept for what comes next. Whoever starts a thread waits until it runs, on a crowded core for long, so
 * that is left to the workers: each that takes the last place of those waiting starts another before its own work,
 * which may last as long as a peer likes.
 */
public final class WorkerPool implements IoTask.Executor {
    private static final System.Logger LOG = System.getLogger("vetchrill.workers");

    private final LinkedBlockingQueue<IoTask> tasks = new LinkedBlockingQueue<>();
    private final AtomicInteger idleCount = new AtomicInteger();
    private final AtomicInteger startedCount = new AtomicInteger();
    private final String threadNamePrefix;
    private final int minIdle;
    private final Limits limits;

    /** So many wait from the start on. */
    public WorkerPool(String threadNamePrefix, int minIdle, Limits limits) {
        this.threadNamePrefix = threadNamePrefix;
        this.minIdle = minIdle;
        this.limits = limits;
        for (int i = 0; i < minIdle; i++) {
            startWorker();
        }
    }

    @Override
    public void execute(IoTask task) {
        tasks.add(task);
    }

    private void startWorker() {
        idleCount.incrementAndGet();
        try {
            Resources.newDaemonThread(threadNamePrefix + startedCount.incrementAndGet(), this::runWorker,
                    limits.threadStackBytes).start();
        } catch (OutOfMemoryError e) {
            idleCount.decrementAndGet();
            LOG.log(System.Logger.Level.ERROR, "no thread for a connection: it waits for another to end");
        }
    }

    private void runWorker() {
        try {
            while (true) {
                IoTask task = tasks.poll(limits.workerIdleTimeoutTenthsMs / 10, TimeUnit.MILLISECONDS);
                int remainingIdle = idleCount.decrementAndGet();
                if (task == null && remainingIdle >= minIdle) {
                    return;
                }
                if (task != null) {
                    if (remainingIdle == 0) {
                        startWorker();
                    }
                    while (task.step()) {
                        continue;
                    }
                }
                idleCount.incrementAndGet();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
