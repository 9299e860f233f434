package vetchrill.model;

/** Something that happens at a time; those of one time happen in the order in which they were added. */
public abstract class Event {
    long time;
    long sequence;
    Event next;

    public abstract void execute(long now);
}
