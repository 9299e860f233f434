package vetchrill.transport;

/** Work of one thread for as long as a peer likes, cut into steps that each wait once at most. */
public interface Job {
    /** One step; false once there is nothing more to do. */
    boolean step();

    /** The only thing that a step may wait for. */
    Pipe pipe();

    /** Who gives jobs a thread each; whoever simulates the chain steps them itself. Never waits, and never refuses. */
    interface Runner {
        void give(Job job);
    }
}
