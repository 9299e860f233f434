package vetchrill.transport;

import java.io.Closeable;
import java.io.IOException;

/** Threads and sockets as every layer takes and gives them back. */
public final class Resources {
    private Resources() {
    }

    /** A thread that keeps no process alive; not started yet. */
    public static Thread newDaemonThread(String name, Runnable work, long stackBytes) {
        Thread thread = new Thread(null, work, name, stackBytes);
        thread.setDaemon(true);
        return thread;
    }

    /** For a thread that has nothing else to do, in tenths of a millisecond. */
    public static void sleep(long durationTenthsMs) {
        try {
            Thread.sleep(durationTenthsMs / 10);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** For what is given up either way, whatever closing it meets. */
    public static void closeQuietly(Closeable resource) {
        try {
            resource.close();
        } catch (IOException e) {
            // Closing was all that was wanted.
        }
    }
}
