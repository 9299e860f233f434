package vetchrill.transport;

import java.io.Closeable;
import java.io.IOException;

/** Helpers for threads and closeable resources, used by all layers. */
public final class Resources {
    private Resources() {
    }

    /** Creates a daemon thread without starting it. */
    public static Thread newDaemonThread(String name, Runnable work, long stackBytes) {
        Thread thread = new Thread(null, work, name, stackBytes);
        thread.setDaemon(true);
        return thread;
    }

    /** Sleeps; an interrupt ends the sleep early and stays set on the thread. */
    public static void sleep(long durationTenthsMs) {
        try {
            Thread.sleep(durationTenthsMs / 10);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Closes a resource and ignores a failure to do so. */
    public static void closeQuietly(Closeable resource) {
        try {
            resource.close();
        } catch (IOException e) {
            // The resource is abandoned either way.
        }
    }
}
