package vetchrill.routing;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import vetchrill.transport.Limits;

/** The one thread that owns the module, the open exchanges and the timers; its queue is its only way in. */
public final class DecisionThread {
    private record Timer(long at, long number, Runnable act) {
    }

    private final ArrayBlockingQueue<Runnable> inputs;
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.comparingLong(Timer::at).thenComparingLong(Timer::number));
    private final Clock clock;
    private final Limits limits;
    private long timersSet;
    /** Since the last summary: the longest that an input waited for its turn, and the most that waited. */
    long longestRound;
    int mostWaiting;

    public DecisionThread(Clock clock, Limits limits) {
        this.clock = clock;
        this.limits = limits;
        inputs = new ArrayBlockingQueue<>(limits.inputs);
    }

    /** From any other thread; waits while the queue is full, which holds up the peer that is being read. */
    public void post(Runnable input) {
        try {
            inputs.put(input);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    long now() {
        return clock.now();
    }

    /** On the decision thread only. */
    void at(long time, Runnable act) {
        timers.add(new Timer(time, timersSet++, act));
    }

    /** Runs for good; {@code decide} is called whenever something may have changed. */
    public void run(Runnable decide) throws InterruptedException {
        while (true) {
            long wait = nextTimer() - clock.now();
            turn(wait > 0 ? inputs.poll(Math.min(wait, 10_000) * 100, TimeUnit.MICROSECONDS) : inputs.poll(), decide);
        }
    }

    /** When the next timer is due; Long.MAX_VALUE where there is none. */
    public long nextTimer() {
        return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().at;
    }

    /** Whether an input waits for its turn. */
    public boolean hasInputs() {
        return !inputs.isEmpty();
    }

    /** One turn, without any wait, for whoever simulates the chain. */
    public void turn(Runnable decide) {
        turn(inputs.poll(), decide);
    }

    private void turn(Runnable first, Runnable decide) {
        Runnable input = first;
        long began = clock.now();
        mostWaiting = Math.max(mostWaiting, inputs.size());
        // All that waits is noted before anything is decided on it; the bound is against a flood.
        for (int i = 0; input != null; i++) {
            input.run();
            input = i < limits.inputs ? inputs.poll() : null;
        }
        while (!timers.isEmpty() && timers.peek().at <= clock.now()) {
            timers.poll().act.run();
        }
        decide.run();
        longestRound = Math.max(longestRound, clock.now() - began);
    }
}
