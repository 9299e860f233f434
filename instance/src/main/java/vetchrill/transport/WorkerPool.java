package vetchrill.transport;

import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An unbounded thread pool that keeps idle threads ready for new tasks. Starting a thread blocks the caller until the
 * thread runs, which is long on a busy core; so the workers do it: one that leaves no other idle starts another before
 * it runs its own task, which may block for as long as a peer likes.
 */
public final class WorkerPool implements IoTask.Executor {
    private static final System.Logger LOG = System.getLogger("vetchrill.workers");

    private final LinkedBlockingQueue<IoTask> tasks = new LinkedBlockingQueue<>();
    private final AtomicInteger idleCount = new AtomicInteger();
    private final AtomicInteger startedCount = new AtomicInteger();
    private final String threadNamePrefix;
    private final int minIdle;
    private final Limits limits;

    /** Starts {@code minIdle} threads, which is also the number of idle threads that never time out. */
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
            LOG.log(System.Logger.Level.ERROR,
                    "cannot start a worker thread; the task waits until another thread is idle");
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
