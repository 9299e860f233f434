package vetchrill.routing;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import vetchrill.protocol.HealthReportSink;
import vetchrill.transport.Limits;
import vetchrill.transport.Resources;

/** Health as health checks and the membership service hear it, from a thread of its own. */
final class HealthReporter {
    private static final System.Logger LOG = System.getLogger("vetchrill.membership");

    private final HealthReportSink membership;
    private final Limits limits;
    private final LinkedBlockingQueue<Boolean> healthChanges = new LinkedBlockingQueue<>();
    private volatile boolean healthy;
    private volatile boolean healthKnown;
    private boolean failing;
    /** The address of this instance is free: a successor under the same name may report from now on. */
    private volatile boolean stopping;
    /** What was taken last. */
    private Boolean lastAcceptedReport;

    HealthReporter(HealthReportSink membership, Limits limits) {
        this.membership = membership;
        this.limits = limits;
    }

    boolean isHealthy() {
        return healthy;
    }

    /** On the decision thread; never waits. */
    void onHealthDecision(boolean nowHealthy) {
        healthy = nowHealthy;
        healthKnown = true;
        healthChanges.add(nowHealthy);
    }

    /** To another address from now on, and there at once: nothing lists this instance by what the old one heard. */
    void setAddress(InetSocketAddress address) {
        membership.moveTo(address);
        if (healthKnown) {
            healthChanges.add(healthy);
        }
    }

    /** Once it was taken that this instance takes no work, nothing more is said. */
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

    /** One report of what was said last; how long to pause after it, 0 where nothing was said yet. */
    long reportNow() {
        healthChanges.clear();
        return healthKnown ? report(healthy) : 0;
    }

    /** One report; how long to pause after it unless the health changes. */
    long report(boolean up) {
        String failure = null;
        try {
            int status = membership.report(up);
            if (status != 204) {
                failure = "it answered " + status;
            }
        } catch (IOException e) {
            failure = String.valueOf(e.getMessage());
        }
        if (failure != null && !failing) {
            LOG.log(System.Logger.Level.WARNING, "reports to the membership service fail: {0}", failure);
        } else if (failure == null && failing) {
            LOG.log(System.Logger.Level.INFO, "reports to the membership service are taken again");
        }
        // One that was not answered may still arrive, after the one that was: the last word is said once more.
        boolean repeatSoon = failing || failure != null;
        lastAcceptedReport = failure == null ? Boolean.valueOf(up) : lastAcceptedReport;
        failing = failure != null;
        return repeatSoon ? limits.reportRetryTenthsMs : limits.reportIntervalTenthsMs;
    }
}
