package vetchrill.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static vetchrill.StandIns.soon;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;
import vetchrill.protocol.Reports;
import vetchrill.transport.Limits;

@Test
public class ReportTest {
    private final Limits limits = new Limits(64 << 20, 64);
    private final LinkedBlockingQueue<Boolean> said = new LinkedBlockingQueue<>();
    private volatile int fails;

    private Report report() {
        Report report = new Report(new Reports() {
            @Override
            public int report(boolean up) throws IOException {
                said.add(up);
                if (fails > 0) {
                    fails--;
                    throw new IOException("no answer");
                }
                return 204;
            }

            @Override
            public void move(InetSocketAddress to) {
                // The same hears of it.
            }
        }, limits);
        report.start();
        return report;
    }

    private Boolean within(long span) throws InterruptedException {
        return said.poll(span / 10, TimeUnit.MILLISECONDS);
    }

    /** Once its address is free another process may have it, and its name: its UP must not be overruled by this one. */
    public void nothingMoreIsSaidAfterTheLastWordIsTaken() throws Exception {
        Report report = report();
        report.health(true);
        assertEquals(soon(said, "a report"), Boolean.TRUE);
        fails = 2;
        report.health(false);
        report.lastWord();
        for (int i = 0; i < 3; i++) {
            assertEquals(soon(said, "a report"), Boolean.FALSE, "twice without an answer, then taken");
        }
        assertNull(within(2 * limits.reportEvery));
    }

    /** One that had no answer may arrive after the one that had one. */
    public void whatFollowsAReportWithoutAnAnswerIsSaidOnceMoreSoon() throws Exception {
        fails = 1;
        Report report = report();
        report.health(true);
        assertEquals(soon(said, "a report"), Boolean.TRUE);
        report.health(false);
        assertEquals(soon(said, "a report"), Boolean.FALSE);
        assertEquals(within(limits.reportEvery / 2), Boolean.FALSE, "again, and not only after the usual pause");
    }
}
