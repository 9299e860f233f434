package vetchrill.program;

import java.io.PrintStream;

/**
 * Ends the process when a thread has failed: an instance that has lost a thread must not go on partly working while it
 * still reports good health. The process ends even if the failure can't be reported, as when the heap is full.
 */
final class ThreadFailureHandler implements Thread.UncaughtExceptionHandler {
    private final PrintStream log;
    private final Runnable halt;

    /** {@code halt} ends the process; it must not allocate. */
    ThreadFailureHandler(PrintStream log, Runnable halt) {
        this.log = log;
        this.halt = halt;
    }

    @Override
    public void uncaughtException(Thread failedThread, Throwable error) {
        try {
            log.println("vetchrill: thread " + failedThread.getName() + " failed");
            error.printStackTrace(log);
        } finally {
            halt.run();
        }
    }
}
