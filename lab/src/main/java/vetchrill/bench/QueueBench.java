package vetchrill.bench;

import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import vetchrill.model.Event;
import vetchrill.model.EventQueue;
import vetchrill.model.HeapEventQueue;
import vetchrill.model.TimingWheelQueue;

/**
 * Compares the simulator's timer wheel with a plain binary heap: each operation removes the next event and inserts it
 * again, with as many events in the queue as the simulation of a large fleet has.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class QueueBench {
    private static final class UnusedEvent extends Event {
        @Override
        public void execute(long now) {
            throw new IllegalStateException("the benchmark runs no events");
        }
    }

    @Param({"heap", "wheel"})
    public String queue;

    @Param({"1000", "20000"})
    public int waiting;

    private EventQueue events;
    private final SplittableRandom random = new SplittableRandom(1);

    @Setup
    public void fill() {
        events = queue.equals("heap") ? new HeapEventQueue() : new TimingWheelQueue();
        for (int i = 0; i < waiting; i++) {
            events.add(nextEventTime(), new UnusedEvent());
        }
    }

    /**
     * Draws delays as the simulator has them: most are below 30 ms, some are the 100 ms period of a tick, and the rest
     * are attempt timeouts of several seconds.
     */
    private long nextEventTime() {
        int kind = random.nextInt(10);
        return events.now() + (kind < 6 ? random.nextInt(300) : kind < 8 ? 1_000 : 37_000 + random.nextInt(23_000));
    }

    @Benchmark
    public Event next() {
        Event event = events.poll();
        events.add(nextEventTime(), event);
        return event;
    }
}
