package vetchrill.model;

import java.util.PriorityQueue;

/**
 * A calendar with one bucket for each tenth of a millisecond of the next seconds, chained through the events
 * themselves, and a heap for what lies past them. Since a bucket holds one time only, its order is that of adding and
 * nothing is ever compared; a bitmap of two levels finds the next full bucket.
 */
public final class TimeWheel implements EventQueue {
    private static final int BITS = 16;
    private static final int BUCKETS = 1 << BITS;
    private static final int MASK = BUCKETS - 1;

    private final Event[] first = new Event[BUCKETS];
    private final Event[] last = new Event[BUCKETS];
    private final long[] full = new long[BUCKETS >> 6];
    private final long[] fullWords = new long[BUCKETS >> 12];
    private final PriorityQueue<Event> far = new PriorityQueue<>(HeapQueue.ORDER);
    private long numbered;
    private long now;
    private int near;

    @Override
    public void add(long time, Event event) {
        long at = Math.max(now, time);
        if (at - now >= BUCKETS) {
            event.time = at;
            event.number = numbered++;
            far.add(event);
            return;
        }
        put(at, event);
    }

    private void put(long at, Event event) {
        int bucket = (int) at & MASK;
        event.time = at;
        event.next = null;
        if (first[bucket] == null) {
            first[bucket] = event;
            full[bucket >> 6] |= 1L << bucket;
            fullWords[bucket >> 12] |= 1L << (bucket >> 6);
        } else {
            last[bucket].next = event;
        }
        last[bucket] = event;
        near++;
    }

    @Override
    public Event poll() {
        if (near == 0) {
            Event event = far.peek();
            if (event == null) {
                return null;
            }
            moveTo(event.time);
        } else {
            moveTo(now + distance((int) now & MASK));
        }
        int bucket = (int) now & MASK;
        Event event = first[bucket];
        first[bucket] = event.next;
        if (event.next == null) {
            last[bucket] = null;
            full[bucket >> 6] &= ~(1L << bucket);
            if (full[bucket >> 6] == 0) {
                fullWords[bucket >> 12] &= ~(1L << (bucket >> 6));
            }
        }
        event.next = null;
        near--;
        return event;
    }

    /** What comes within reach is taken in before anything else can be added at its time. */
    private void moveTo(long time) {
        now = time;
        while (!far.isEmpty() && far.peek().time - now < BUCKETS) {
            Event event = far.poll();
            put(event.time, event);
        }
    }

    /** From a bucket to the next full one, itself included, around the wheel. */
    private int distance(int from) {
        int word = from >> 6;
        long here = full[word] >>> from;
        if (here != 0) {
            return Long.numberOfTrailingZeros(here);
        }
        int words = full.length;
        int at = (word + 1) & (words - 1);
        for (int looked = 0; looked <= fullWords.length; looked++) {
            long group = fullWords[at >> 6] >>> at;
            if (group != 0) {
                at += Long.numberOfTrailingZeros(group);
                int bucket = (at << 6) + Long.numberOfTrailingZeros(full[at]);
                return (bucket - from) & MASK;
            }
            at = ((at >> 6) + 1 << 6) & (words - 1);
        }
        throw new IllegalStateException("no bucket is full");
    }

    @Override
    public long now() {
        return now;
    }
}
