package vetchrill.protocol;

import java.io.IOException;
import java.net.InetSocketAddress;

/** Where reports of health go. */
public interface HealthReportSink {
    /** Reports, and returns the status of the answer. */
    int report(boolean healthy) throws IOException;

    /** From any thread; the next report goes there. */
    void moveTo(InetSocketAddress newAddress);
}
