package vetchrill.routing;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import vetchrill.protocol.Reports;
import vetchrill.transport.Limits;
import vetchrill.transport.Resources;

/** Health as health checks and the membership service hear it, from a thread of its own. */
final class Report {
    private static final System.Logger LOG = System.getLogger("vetchrill.membership");

    private final Reports call;
    private final Limits limits;
    private final LinkedBlockingQueue<Boolean> changes = new LinkedBlockingQueue<>();
    private volatile boolean good;
    private volatile boolean known;
    private boolean failing;
    /** The address of this instance is free: a successor under the same name may report from now on. */
    private volatile boolean ending;
    /** What was taken last. */
    private Boolean said;

    Report(Reports call, Limits limits) {
        this.call = call;
        this.limits = limits;
    }

    boolean isGood() {
        return good;
    }

    /** On the decision thread; never waits. */
    void health(boolean now) {
        good = now;
        known = true;
        changes.add(now);
    }

    /** To another address from now on, and there at once: nothing lists this instance by what the old one heard. */
    void move(InetSocketAddress address) {
        call.move(address);
        if (known) {
            changes.add(good);
        }
    }

    /** Once it was taken that this instance takes no work, nothing more is said. */
    void lastWord() {
        ending = true;
    }

    void start() {
        Resources.daemon("reports", this::keep, limits.threadStack).start();
    }

    private void keep() {
        try {
            boolean up = changes.take();
            while (true) {
                Boolean next = changes.poll(report(up) / 10, TimeUnit.MILLISECONDS);
                while (next != null) {
                    up = next;
                    next = changes.poll();
                }
                if (isSaid(up)) {
                    return;
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean isSaid(boolean up) {
        return ending && !up && !failing && Boolean.FALSE.equals(said);
    }

    /** One report of what was said last; how long to pause after it, 0 where nothing was said yet. */
    long reportNow() {
        changes.clear();
        return known ? report(good) : 0;
    }

    /** One report; how long to pause after it unless the health changes. */
    long report(boolean up) {
        String wrong = null;
        try {
            int code = call.report(up);
            if (code != 204) {
                wrong = "it answered " + code;
            }
        } catch (IOException e) {
            wrong = String.valueOf(e.getMessage());
        }
        if (wrong != null && !failing) {
            LOG.log(System.Logger.Level.WARNING, "reports to the membership service fail: {0}", wrong);
        } else if (wrong == null && failing) {
            LOG.log(System.Logger.Level.INFO, "reports to the membership service are taken again");
        }
        // One that was not answered may still arrive, after the one that was: the last word is said once more.
        boolean again = failing || wrong != null;
        said = wrong == null ? Boolean.valueOf(up) : said;
        failing = wrong != null;
        return again ? limits.reportAgain : limits.reportEvery;
    }
}
