package vetchrill.model;

/** Events in the order of their times. */
public interface EventQueue {
    /** A time before that of the last event taken counts as that. */
    void add(long time, Event event);

    /** The first event, or null where none is left. */
    Event poll();

    /** The time of the event that was taken last, in tenths of a millisecond. */
    long now();
}
