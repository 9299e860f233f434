package vetchrill.model;

import java.util.Comparator;
import java.util.PriorityQueue;

/** A simple queue, the reference for the order and the speed of {@link TimingWheelQueue}. */
public final class HeapEventQueue implements EventQueue {
    static final Comparator<Event> ORDER = (a, b) -> {
        int by = Long.compare(a.time, b.time);
        return by != 0 ? by : Long.compare(a.sequence, b.sequence);
    };

    private final PriorityQueue<Event> events = new PriorityQueue<>(ORDER);
    private long now;
    private long eventsAdded;

    @Override
    public void add(long time, Event event) {
        event.time = Math.max(now, time);
        event.sequence = eventsAdded++;
        events.add(event);
    }

    @Override
    public Event poll() {
        Event event = events.poll();
        if (event != null) {
            now = event.time;
        }
        return event;
    }

    @Override
    public long now() {
        return now;
    }
}
