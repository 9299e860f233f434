package vetchrill.transport;

/**
 * Blocking I/O work for one thread, divided into steps that block at most once each. A task may last as long as its
 * peer keeps the channel open.
 */
public interface IoTask {
    /** Runs one step; false if the task is finished. */
    boolean step();

    /** The only channel that a step may block on. */
    DuplexChannel channel();

    /** Runs each task on a thread of its own; a simulation runs the steps itself. Never blocks or rejects a task. */
    interface Executor {
        void execute(IoTask task);
    }
}
