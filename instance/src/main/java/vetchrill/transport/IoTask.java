package vetchrill.transport;

/** Work of one thread for as long as a peer likes, cut into steps that each wait once at most. */
public interface IoTask {
    /** One step; false once there is nothing more to do. */
    boolean step();

    /** The only thing that a step may wait for. */
    DuplexChannel channel();

    /** Who gives jobs a thread each; whoever simulates the chain steps them itself. Never waits, and never refuses. */
    interface Executor {
        void execute(IoTask task);
    }
}
