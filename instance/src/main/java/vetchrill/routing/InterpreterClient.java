package vetchrill.routing;

import vetchrill.control.EndpointGroup.Effect;
import vetchrill.control.Exchange.Outcome;
import vetchrill.protocol.InterpreterLines;
import vetchrill.transport.Connection;
import vetchrill.transport.Limits;

/** What goes to the interpreter: runs, looks at the gauges, and after a lost link what is still in doubt. */
final class InterpreterClient {
    private final Limits limits;
    private final DecisionThread thread;
    private final Clock clock;
    private final ExchangeRegistry registry;
    private final AdmissionStage admission;
    private Connection link;
    private int linkNumber;
    /** Commands may go out: the banner of this link was read, and all notices kept for it. */
    private boolean reconciled;
    /** The banner of this link was read, so that gauges may be asked for to settle it. */
    private boolean bannerReceived;
    private long ticks;
    /** The look whose gauges are waited for; 0 for none. */
    private long pendingTick;
    int ticksWithoutGauges;
    /** Null where nothing is recorded. */
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
            // Replaced by a new one, which carries all that is told from now on.
            link.abort();
        }
        link = connection;
        linkNumber++;
        reconciled = false;
        bannerReceived = false;
        connection.send(InterpreterLines.connect(lastNoticeNumber));
    }

    /** Whether this is the link of now, and not one that it has replaced. */
    boolean isCurrentLink(Connection connection) {
        return link == connection;
    }

    void onLinkLost() {
        link = null;
        reconciled = false;
    }

    /** All kept notices follow the banner; gauges asked for behind it come after the last of them. */
    void onBanner(boolean firstBanner) {
        bannerReceived = true;
        if (firstBanner) {
            reconciled = true;
        } else if (link != null) {
            link.send(InterpreterLines.top("settle" + linkNumber));
        }
    }

    void startRun(OpenExchange ex) {
        ex.started = true;
        if (reconciled) {
            requestRun(ex);
        }
    }

    private void requestRun(OpenExchange ex) {
        if (!ex.hasAnswer && !admission.mayStart(ex)) {
            // What was asked for before may run: its answer is waited for, but nothing is started by asking again.
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
        ex.requestedOnLink = linkNumber;
        byte[] command = InterpreterLines.apply(ex.id, ex.groupName, ex.body);
        if (admission.updateLease() && !ex.hasAnswer) {
            // What was asked for over another link may run: that this question is dropped proves nothing of it.
            link.send(command, () -> admission.mayStart(ex),
                    firstRequest ? () -> thread.post(() -> admission.onStartBlocked(ex))
                    : () -> { });
        } else {
            link.send(command);
        }
    }

    /**
     * An exchange that is answered can't be started any more: to ask again only tells whether it runs. Not at once,
     * for a run that ended just now is no longer running, and the answer may be read later than the question.
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

    void tick() {
        clock.detectStep();
        registry.closeIdleConnections(clock.now());
        long number = ++ticks;
        pendingTick = number;
        if (reconciled) {
            link.send(InterpreterLines.top(Long.toString(number)));
        } else if (link != null && bannerReceived) {
            // One question that stays without an answer must not keep the link unsettled for as long as it lasts.
            link.send(InterpreterLines.top("settle" + linkNumber));
        }
        // Due answers hang on the look: it can't wait for an interpreter that is paused or gone.
        thread.schedule(clock.now() + limits.gaugeTimeoutTenthsMs, () -> {
            if (pendingTick == number) {
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
     * After a lost link nobody knows whether the last runs asked for were heard. What may run twice is asked for
     * again, which does nothing where it runs; what must not waits until its answer is given.
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
