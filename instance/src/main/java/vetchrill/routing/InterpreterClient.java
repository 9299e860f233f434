package vetchrill.routing;

import vetchrill.control.EndpointGroup.Effect;
import vetchrill.control.Exchange.Outcome;
import vetchrill.protocol.InterpreterLines;
import vetchrill.transport.Connection;
import vetchrill.transport.Limits;

/**
 * Sends commands to the interpreter: requests for runs, queries of its gauges and, after the link was lost, queries of
 * runs whose state is unknown. Runs the periodic tick. On the decision thread only.
 */
final class InterpreterClient {
    private final Limits limits;
    private final DecisionThread thread;
    private final Clock clock;
    private final ExchangeRegistry registry;
    private final AdmissionStage admission;
    private Connection link;
    private int linkNumber;
    /** Commands may be sent: the banner of this link and all notices stored for it have been read. */
    private boolean reconciled;
    /** The banner of this link has been read, so that gauges may be queried to reconcile it. */
    private boolean bannerReceived;
    private long tickCount;
    /** The tick that waits for its gauges; 0 if none does. */
    private long pendingTick;
    /** Ticks whose gauges did not come in time, since the start. */
    int ticksWithoutGauges;
    /** Null when recording is off. */
    private final Recorder recorder;

    InterpreterClient(Limits limits, DecisionThread thread, Clock clock, ExchangeRegistry registry,
            AdmissionStage admission, Recorder recorder) {
        this.recorder = recorder;
        this.limits = limits;
        this.thread = thread;
        this.clock = clock;
        this.registry = registry;
        this.admission = admission;
    }

    void onLinkOpened(Connection connection, long lastNoticeNumber) {
        if (link != null) {
            // The new link replaces it.
            link.abort();
        }
        link = connection;
        linkNumber++;
        reconciled = false;
        bannerReceived = false;
        connection.send(InterpreterLines.connect(lastNoticeNumber));
    }

    /** Whether this is the current link and not one that was replaced. */
    boolean isCurrentLink(Connection connection) {
        return link == connection;
    }

    void onLinkLost() {
        link = null;
        reconciled = false;
    }

    /**
     * On a reconnect the banner is followed by all stored notices. The reply to a gauge query that is sent now comes
     * after the last of them, which shows that all have been read.
     */
    void onBanner(boolean firstBanner) {
        bannerReceived = true;
        if (firstBanner) {
            reconciled = true;
        } else if (link != null) {
            link.send(InterpreterLines.top("settle" + linkNumber));
        }
    }

    /** Requests the run of a started exchange, now or once the link is reconciled. */
    void startRun(OpenExchange ex) {
        ex.started = true;
        if (reconciled) {
            requestRun(ex);
        }
    }

    private void requestRun(OpenExchange ex) {
        if (!ex.hasAnswer && !admission.mayStart(ex)) {
            // A run that was requested before may go on: its end is awaited, but a new request must not start it.
            if (ex.requestedOnLink == 0) {
                thread.schedule(clock.now(), () -> admission.onStartBlocked(ex));
            }
            return;
        }
        if (recorder != null && ex.requestedOnLink == 0) {
            recorder.runRequested(Long.parseUnsignedLong(ex.id, 16), ex.version, ex.groupIndex, ex.customer,
                    clock.now());
        }
        boolean firstRequest = ex.requestedOnLink == 0;
        ex.requestedAgain = !firstRequest;
        ex.requestedOnLink = linkNumber;
        byte[] command = InterpreterLines.apply(ex.id, ex.groupName, ex.body);
        if (admission.isLeaseRequired() && !ex.hasAnswer) {
            // A run requested over an earlier link may go on, so dropping this command does not prove that none does.
            link.send(command, () -> admission.mayStart(ex),
                    firstRequest ? () -> thread.post(() -> admission.onStartBlocked(ex)) : () -> { });
        } else {
            link.send(command);
        }
    }

    /**
     * Queries, after a delay, whether an answered exchange still runs, if its run was requested over an earlier link.
     * The query is a repeated request: an answered exchange can't be started any more, so it only tells whether it
     * runs. The delay is for a run that has just ended and whose notice may be read after the query is sent.
     */
    void scheduleRunQuery(OpenExchange ex) {
        if (ex.started && !ex.isFinished() && ex.requestedOnLink != linkNumber) {
            thread.schedule(clock.now() + limits.runQueryDelayTenthsMs, () -> queryRun(ex));
        }
    }

    private void queryRun(OpenExchange ex) {
        if (reconciled && !ex.isFinished() && ex.requestedOnLink != linkNumber) {
            requestRun(ex);
        }
    }

    /** Closes idle connections and queries the gauges; the controller's tick follows with the reply or a timeout. */
    void tick() {
        clock.detectStep();
        registry.closeIdleConnections(clock.now());
        long tick = ++tickCount;
        pendingTick = tick;
        if (reconciled) {
            link.send(InterpreterLines.top(Long.toString(tick)));
        } else if (link != null && bannerReceived) {
            // Sent on each tick, so that one query without a reply does not leave the link unreconciled for good.
            link.send(InterpreterLines.top("settle" + linkNumber));
        }
        // Answers that are due depend on the tick, so it can't wait for an interpreter that is paused or gone.
        thread.schedule(clock.now() + limits.gaugeTimeoutTenthsMs, () -> {
            if (pendingTick == tick) {
                pendingTick = 0;
                ticksWithoutGauges++;
                admission.tick();
            }
        });
    }

    void onGauges(String tag, double[] values) {
        admission.updateGauges(values);
        if (tag.equals(Long.toString(pendingTick))) {
            pendingTick = 0;
            admission.tick();
        } else if (!reconciled && tag.equals("settle" + linkNumber)) {
            reconcile();
        }
    }

    /**
     * After a lost link it is unknown whether the last requests for runs were read. Repeatable runs are requested
     * again, which has no effect on a run that goes on; the others are queried only once they have their answer.
     */
    private void reconcile() {
        reconciled = true;
        for (OpenExchange ex : registry.openExchanges()) {
            if (!ex.started || ex.isFinished()) {
                continue;
            }
            if (ex.requestedOnLink == 0 && ex.hasAnswer) {
                admission.onRunFinished(ex, Outcome.NOT_STARTED, 0);
            } else if (ex.hasAnswer) {
                scheduleRunQuery(ex);
            } else if (ex.requestedOnLink == 0 || ex.group.effect == Effect.REPEATABLE) {
                requestRun(ex);
            }
        }
    }
}
