package vetchrill.model;

/** A queue of events, ordered by time. */
public interface EventQueue {
    /** Adds an event; a time before that of the last polled event counts as the time of that event. */
    void add(long time, Event event);

    /** Removes and returns the first event, or null if there is none. */
    Event poll();

    /** Returns the time of the last polled event, in tenths of a millisecond. */
    long now();
}
