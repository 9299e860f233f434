package vetchrill.model;

/** An event of the simulation. Events of the same time are executed in the order in which they were added. */
public abstract class Event {
    long time;
    long sequence;
    /** The next event of the same bucket in {@link TimingWheelQueue}. */
    Event next;

    public abstract void execute(long now);
}
