package vetchrill.protocol;

import java.io.IOException;
import java.net.InetSocketAddress;

/** Where reports of health go. */
public interface Reports {
    /** Reports, and returns the status of the answer. */
    int report(boolean up) throws IOException;

    /** From any thread; the next report goes there. */
    void move(InetSocketAddress to);
}
