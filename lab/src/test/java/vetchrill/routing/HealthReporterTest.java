package vetchrill.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static vetchrill.InstanceRig.awaitNext;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;
import vetchrill.protocol.HealthReportSink;
import vetchrill.transport.Limits;

@Test
public class HealthReporterTest {
    private final Limits limits = new Limits(64 << 20, 64);
    private final LinkedBlockingQueue<Boolean> reports = new LinkedBlockingQueue<>();
    private volatile int failuresLeft;

    private HealthReporter startReporter() {
        HealthReporter report = new HealthReporter(new HealthReportSink() {
            @Override
            public int report(boolean up) throws IOException {
                // Decided before the test sees the report, as the test sets failuresLeft for the report after that.
                boolean fails = failuresLeft > 0;
                failuresLeft -= fails ? 1 : 0;
                reports.add(up);
                if (fails) {
                    throw new IOException("no answer");
                }
                return 204;
            }

            @Override
            public void moveTo(InetSocketAddress to) {
                // All addresses lead to this sink.
            }
        }, limits);
        report.start();
        return report;
    }

    private Boolean nextReport(long timeoutTenthsMs) throws InterruptedException {
        return reports.poll(timeoutTenthsMs / 10, TimeUnit.MILLISECONDS);
    }

    /** Once the address is free another process may take it and the name; its UP must not be overruled by this one. */
    public void noReportFollowsTheAcceptedFinalReport() throws Exception {
        HealthReporter reporter = startReporter();
        reporter.onHealthDecision(true);
        assertEquals(awaitNext(reports, "a report"), Boolean.TRUE);
        failuresLeft = 2;
        reporter.onHealthDecision(false);
        reporter.stopAfterFinalReport();
        for (int i = 0; i < 3; i++) {
            assertEquals(awaitNext(reports, "a report"), Boolean.FALSE, "twice without a response, then accepted");
        }
        assertNull(nextReport(2 * limits.reportIntervalTenthsMs));
    }

    /** A report without a response may still arrive after the next one. */
    public void reportAfterAFailedReportIsRepeatedSoon() throws Exception {
        failuresLeft = 1;
        HealthReporter reporter = startReporter();
        reporter.onHealthDecision(true);
        assertEquals(awaitNext(reports, "a report"), Boolean.TRUE);
        reporter.onHealthDecision(false);
        assertEquals(awaitNext(reports, "a report"), Boolean.FALSE);
        assertEquals(nextReport(limits.reportIntervalTenthsMs / 2), Boolean.FALSE,
                "again, and not only after the usual pause");
    }
}
