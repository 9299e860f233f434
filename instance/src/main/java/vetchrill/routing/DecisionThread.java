package vetchrill.routing;

import java.util.Comparator;
import java.util.TreeSet;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import vetchrill.transport.Limits;

/**
 * Event loop of the one thread that owns the controller, the open exchanges and the timers. Other threads reach it only
 * by posting a task to its queue.
 */
public final class DecisionThread {
    private static final int MAX_WAIT_TENTHS_MS = 10_000;
    private static final int MICROS_PER_TENTH_MS = 100;

    /** {@code sequence} keeps timers that are due at the same time in the order in which they were set. */
    record Timer(long dueAt, long sequence, Runnable action) {
    }

    private final ArrayBlockingQueue<Runnable> tasks;
    private final TreeSet<Timer> timers =
            new TreeSet<>(Comparator.comparingLong(Timer::dueAt).thenComparingLong(Timer::sequence));
    private final Clock clock;
    private final Limits limits;
    private long timersScheduled;
    /** Longest iteration since the last summary: no task waited longer for its turn. */
    long longestIteration;
    /** Most tasks in the queue since the last summary. */
    int maxQueueLength;

    public DecisionThread(Clock clock, Limits limits) {
        this.clock = clock;
        this.limits = limits;
        tasks = new ArrayBlockingQueue<>(limits.inputQueueCapacity);
    }

    /** From any other thread. Blocks while the queue is full, so that the peer being read is slowed down. */
    public void post(Runnable task) {
        try {
            tasks.put(task);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    long now() {
        return clock.now();
    }

    /** Runs the action at that time, unless it is cancelled before; on the decision thread only. */
    Timer schedule(long dueAt, Runnable action) {
        Timer timer = new Timer(dueAt, timersScheduled++, action);
        timers.add(timer);
        return timer;
    }

    /** Releases a timer and what its action refers to; has no effect once it has run. On the decision thread only. */
    void cancel(Timer timer) {
        timers.remove(timer);
    }

    int timerCount() {
        return timers.size();
    }

    /** Runs until interrupted; calls {@code decide} after each batch of tasks and timers. */
    public void run(Runnable decide) throws InterruptedException {
        while (true) {
            long wait = nextTimerDueAt() - clock.now();
            runOnce(wait > 0
                    ? tasks.poll(Math.min(wait, MAX_WAIT_TENTHS_MS) * MICROS_PER_TENTH_MS, TimeUnit.MICROSECONDS)
                    : tasks.poll(), decide);
        }
    }

    /** When the next timer is due; Long.MAX_VALUE if there is none. */
    public long nextTimerDueAt() {
        return timers.isEmpty() ? Long.MAX_VALUE : timers.first().dueAt;
    }

    /** Whether a task waits in the queue. */
    public boolean hasQueuedTasks() {
        return !tasks.isEmpty();
    }

    /** One iteration without waiting, for a simulation of the chain. */
    public void runOnce(Runnable decide) {
        runOnce(tasks.poll(), decide);
    }

    private void runOnce(Runnable first, Runnable decide) {
        Runnable task = first;
        long startedAt = clock.now();
        maxQueueLength = Math.max(maxQueueLength, tasks.size());
        // All queued tasks run before a decision is made on them; the bound keeps a flood from delaying decisions.
        for (int i = 0; task != null; i++) {
            task.run();
            task = i < limits.inputQueueCapacity ? tasks.poll() : null;
        }
        while (!timers.isEmpty() && timers.first().dueAt <= clock.now()) {
            timers.pollFirst().action.run();
        }
        decide.run();
        longestIteration = Math.max(longestIteration, clock.now() - startedAt);
    }
}
