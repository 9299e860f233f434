package vetchrill.protocol;

import java.io.IOException;
import java.net.InetSocketAddress;

/** Receives the health reports of this instance. */
public interface HealthReportSink {
    /** Sends a report and returns the HTTP status of the response. */
    int report(boolean healthy) throws IOException;

    /** Sends the following reports to another address; may be called from any thread. */
    void moveTo(InetSocketAddress newAddress);
}
