package vetchrill.model;

import java.util.PriorityQueue;

/**
 * A timing wheel with one bucket for each tenth of a millisecond of the next 6.5 seconds, linked through the events
 * themselves, and a heap for later events. A bucket has events of one time only, in the order in which they were
 * added, so they need no comparison; a bitmap of two levels finds the next occupied bucket.
 */
public final class TimingWheelQueue implements EventQueue {
    private static final int WHEEL_BITS = 16;
    private static final int BUCKET_COUNT = 1 << WHEEL_BITS;
    private static final int BUCKET_MASK = BUCKET_COUNT - 1;

    private final Event[] first = new Event[BUCKET_COUNT];
    private final Event[] last = new Event[BUCKET_COUNT];
    /** One bit for each bucket, and one for each word of that bitmap. */
    private final long[] occupied = new long[BUCKET_COUNT >> 6];
    private final long[] occupiedWords = new long[BUCKET_COUNT >> 12];
    private final PriorityQueue<Event> overflow = new PriorityQueue<>(HeapEventQueue.ORDER);
    private long overflowAdded;
    private long now;
    private int eventsInWheel;

    @Override
    public void add(long time, Event event) {
        long scheduledAt = Math.max(now, time);
        if (scheduledAt - now >= BUCKET_COUNT) {
            event.time = scheduledAt;
            event.sequence = overflowAdded++;
            overflow.add(event);
            return;
        }
        put(scheduledAt, event);
    }

    private void put(long scheduledAt, Event event) {
        int bucket = (int) scheduledAt & BUCKET_MASK;
        event.time = scheduledAt;
        event.next = null;
        if (first[bucket] == null) {
            first[bucket] = event;
            occupied[bucket >> 6] |= 1L << bucket;
            occupiedWords[bucket >> 12] |= 1L << (bucket >> 6);
        } else {
            last[bucket].next = event;
        }
        last[bucket] = event;
        eventsInWheel++;
    }

    @Override
    public Event poll() {
        if (eventsInWheel == 0) {
            Event event = overflow.peek();
            if (event == null) {
                return null;
            }
            advanceTo(event.time);
        } else {
            advanceTo(now + distanceToOccupied((int) now & BUCKET_MASK));
        }
        int bucket = (int) now & BUCKET_MASK;
        Event event = first[bucket];
        first[bucket] = event.next;
        if (event.next == null) {
            last[bucket] = null;
            occupied[bucket >> 6] &= ~(1L << bucket);
            if (occupied[bucket >> 6] == 0) {
                occupiedWords[bucket >> 12] &= ~(1L << (bucket >> 6));
            }
        }
        event.next = null;
        eventsInWheel--;
        return event;
    }

    /** Advances the time and moves overflow events into the wheel, before others can be added at their time. */
    private void advanceTo(long time) {
        now = time;
        while (!overflow.isEmpty() && overflow.peek().time - now < BUCKET_COUNT) {
            Event event = overflow.poll();
            put(event.time, event);
        }
    }

    /** Returns the distance from a bucket to the next occupied one, itself included, around the wheel. */
    private int distanceToOccupied(int from) {
        int word = from >> 6;
        long bitsFromBucket = occupied[word] >>> from;
        if (bitsFromBucket != 0) {
            return Long.numberOfTrailingZeros(bitsFromBucket);
        }
        int wordCount = occupied.length;
        int wordIndex = (word + 1) & (wordCount - 1);
        for (int checked = 0; checked <= occupiedWords.length; checked++) {
            long wordBits = occupiedWords[wordIndex >> 6] >>> wordIndex;
            if (wordBits != 0) {
                wordIndex += Long.numberOfTrailingZeros(wordBits);
                int bucket = (wordIndex << 6) + Long.numberOfTrailingZeros(occupied[wordIndex]);
                return (bucket - from) & BUCKET_MASK;
            }
            wordIndex = ((wordIndex >> 6) + 1 << 6) & (wordCount - 1);
        }
        throw new IllegalStateException("no bucket is occupied");
    }

    @Override
    public long now() {
        return now;
    }
}
