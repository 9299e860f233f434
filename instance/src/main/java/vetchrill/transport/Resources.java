package vetchrill.transport;

import java.io.Closeable;
import java.io.IOException;

/** Threads and sockets as every layer takes and gives them back. */
public final class Resources {
    private Resources() {
    }

    /** A thread that keeps no process alive; not started yet. */
    public static Thread daemon(String name, Runnable work, long stack) {
        Thread thread = new Thread(null, work, name, stack);
        thread.setDaemon(true);
        return thread;
    }

    /** For a thread that has nothing else to do, in tenths of a millisecond. */
    public static void pause(long span) {
        try {
            Thread.sleep(span / 10);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** For what is given up either way, whatever closing it meets. */
    public static void close(Closeable given) {
        try {
            given.close();
        } catch (IOException e) {
            // Closing was all that was wanted.
        }
    }
}
