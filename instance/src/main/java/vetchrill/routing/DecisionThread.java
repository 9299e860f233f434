package vetchrill.routing;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import vetchrill.transport.Limits;

/** The one thread that owns the module, the open exchanges and the timers; its queue is its only way in. */
public final class DecisionThread {
    private record Timer(long dueAt, long sequence, Runnable action) {
    }

    private final ArrayBlockingQueue<Runnable> tasks;
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.comparingLong(Timer::dueAt).thenComparingLong(Timer::sequence));
    private final Clock clock;
    private final Limits limits;
    private long timersScheduled;
    /** Since the last summary: the longest that an input waited for its turn, and the most that waited. */
    long longestIteration;
    int maxQueueLength;

    public DecisionThread(Clock clock, Limits limits) {
        this.clock = clock;
        this.limits = limits;
        tasks = new ArrayBlockingQueue<>(limits.inputQueueCapacity);
    }

    /** From any other thread; waits while the queue is full, which holds up the peer that is being read. */
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

    /** On the decision thread only. */
    void schedule(long dueAt, Runnable action) {
        timers.add(new Timer(dueAt, timersScheduled++, action));
    }

    /** Runs for good; {@code decide} is called whenever something may have changed. */
    public void run(Runnable decide) throws InterruptedException {
        while (true) {
            long wait = nextTimerDueAt() - clock.now();
            runOnce(wait > 0 ? tasks.poll(Math.min(wait, 10_000) * 100, TimeUnit.MICROSECONDS) : tasks.poll(), decide);
        }
    }

    /** When the next timer is due; Long.MAX_VALUE where there is none. */
    public long nextTimerDueAt() {
        return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().dueAt;
    }

    /** Whether an input waits for its turn. */
    public boolean hasQueuedTasks() {
        return !tasks.isEmpty();
    }

    /** One turn, without any wait, for whoever simulates the chain. */
    public void runOnce(Runnable decide) {
        runOnce(tasks.poll(), decide);
    }

    private void runOnce(Runnable first, Runnable decide) {
        Runnable task = first;
        long startedAt = clock.now();
        maxQueueLength = Math.max(maxQueueLength, tasks.size());
        // All that waits is noted before anything is decided on it; the bound is against a flood.
        for (int i = 0; task != null; i++) {
            task.run();
            task = i < limits.inputQueueCapacity ? tasks.poll() : null;
        }
        while (!timers.isEmpty() && timers.peek().dueAt <= clock.now()) {
            timers.poll().action.run();
        }
        decide.run();
        longestIteration = Math.max(longestIteration, clock.now() - startedAt);
    }
}
