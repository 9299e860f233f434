package vetchrill.routing;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import vetchrill.protocol.HealthReportSink;
import vetchrill.transport.Limits;
import vetchrill.transport.Resources;

/** Holds the health that health checks get, and reports it to the membership service from a thread of its own. */
final class HealthReporter {
    private static final System.Logger LOG = System.getLogger("vetchrill.membership");
    private static final int HTTP_NO_CONTENT = 204;

    private final HealthReportSink membership;
    private final Limits limits;
    private final LinkedBlockingQueue<Boolean> healthChanges = new LinkedBlockingQueue<>();
    private volatile boolean healthy;
    private volatile boolean healthKnown;
    private boolean failing;
    /** The listening address has been released, so a successor under the same name may report from now on. */
    private volatile boolean stopping;
    /** The last report that the service accepted; null before the first. */
    private Boolean lastAcceptedReport;

    HealthReporter(HealthReportSink membership, Limits limits) {
        this.membership = membership;
        this.limits = limits;
    }

    boolean isHealthy() {
        return healthy;
    }

    /** Takes over the controller's decision on health; on the decision thread, never blocks. */
    void onHealthDecision(boolean nowHealthy) {
        healthy = nowHealthy;
        healthKnown = true;
        healthChanges.add(nowHealthy);
    }

    /** Changes the address and reports there at once, since the service there knows nothing of earlier reports. */
    void setAddress(InetSocketAddress address) {
        membership.moveTo(address);
        if (healthKnown) {
            healthChanges.add(healthy);
        }
    }

    /** Ends the reports once the service has accepted that this instance is out of service. */
    void stopAfterFinalReport() {
        stopping = true;
    }

    void start() {
        Resources.newDaemonThread("reports", this::reportLoop, limits.threadStackBytes).start();
    }

    private void reportLoop() {
        try {
            boolean up = healthChanges.take();
            while (true) {
                Boolean next = healthChanges.poll(report(up) / 10, TimeUnit.MILLISECONDS);
                while (next != null) {
                    up = next;
                    next = healthChanges.poll();
                }
                if (isFinalReportAccepted(up)) {
                    return;
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean isFinalReportAccepted(boolean up) {
        return stopping && !up && !failing && Boolean.FALSE.equals(lastAcceptedReport);
    }

    /** Reports the last decision; returns how long to pause after it, 0 if there was no decision yet. */
    long reportNow() {
        healthChanges.clear();
        return healthKnown ? report(healthy) : 0;
    }

    /** Sends one report; returns how long to pause after it unless the health changes. */
    long report(boolean up) {
        String failure = null;
        try {
            int status = membership.report(up);
            if (status != HTTP_NO_CONTENT) {
                failure = "it answered " + status;
            }
        } catch (IOException e) {
            failure = String.valueOf(e.getMessage());
        }
        if (failure != null && !failing) {
            LOG.log(System.Logger.Level.WARNING, "health reports to the membership service fail: {0}", failure);
        } else if (failure == null && failing) {
            LOG.log(System.Logger.Level.INFO, "health reports to the membership service succeed again");
        }
        // A report without a response may still arrive after a later one, so the report after a failure is repeated.
        boolean repeatSoon = failing || failure != null;
        lastAcceptedReport = failure == null ? Boolean.valueOf(up) : lastAcceptedReport;
        failing = failure != null;
        return repeatSoon ? limits.reportRetryTenthsMs : limits.reportIntervalTenthsMs;
    }
}
