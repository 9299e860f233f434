package vetchrill.routing;

import vetchrill.control.EndpointGroup.Effect;
import vetchrill.control.Exchange.Outcome;
import vetchrill.protocol.InterpreterLines;
import vetchrill.transport.Connection;
import vetchrill.transport.Limits;

/** What goes to the interpreter: runs, looks at the gauges, and after a lost link what is still in doubt. */
final class Send {
    private final Limits limits;
    private final DecisionThread thread;
    private final Clock clock;
    private final Book book;
    private final Admit admit;
    private Connection link;
    private int linkNumber;
    /** Commands may go out: the banner of this link was read, and all notices kept for it. */
    private boolean settled;
    /** The banner of this link was read, so that gauges may be asked for to settle it. */
    private boolean greeted;
    private long looks;
    /** The look whose gauges are waited for; 0 for none. */
    private long lookOpen;
    int looksWithout;
    /** Null where nothing is recorded. */
    private final Recorder recorder;

    Send(Limits limits, DecisionThread thread, Clock clock, Book book, Admit admit, Recorder recorder) {
        this.recorder = recorder;
        this.limits = limits;
        this.thread = thread;
        this.clock = clock;
        this.book = book;
        this.admit = admit;
    }

    void linkOpened(Connection connection, long lastRead) {
        if (link != null) {
            // Replaced by a new one, which carries all that is told from now on.
            link.abort();
        }
        link = connection;
        linkNumber++;
        settled = false;
        greeted = false;
        connection.send(InterpreterLines.connect(lastRead));
    }

    /** Whether this is the link of now, and not one that it has replaced. */
    boolean over(Connection connection) {
        return link == connection;
    }

    void linkLost() {
        link = null;
        settled = false;
    }

    /** All kept notices follow the banner; gauges asked for behind it come after the last of them. */
    void bannerRead(boolean first) {
        greeted = true;
        if (first) {
            settled = true;
        } else if (link != null) {
            link.send(InterpreterLines.top("settle" + linkNumber));
        }
    }

    void apply(Open ex) {
        ex.begun = true;
        if (settled) {
            askFor(ex);
        }
    }

    private void askFor(Open ex) {
        if (!ex.done && !admit.mayBegin(ex)) {
            // What was asked for before may run: its answer is waited for, but nothing is started by asking again.
            if (ex.appliedOn == 0) {
                thread.at(clock.now(), () -> admit.notBegun(ex));
            }
            return;
        }
        if (recorder != null && ex.appliedOn == 0) {
            recorder.begun(Long.parseUnsignedLong(ex.id, 16), ex.version, ex.groupAt, ex.customer, clock.now());
        }
        boolean first = ex.appliedOn == 0;
        ex.appliedOn = linkNumber;
        byte[] command = InterpreterLines.apply(ex.id, ex.groupName, ex.body);
        if (admit.leased() && !ex.done) {
            // What was asked for over another link may run: that this question is dropped proves nothing of it.
            link.send(command, () -> admit.mayBegin(ex), first ? () -> thread.post(() -> admit.notBegun(ex))
                    : () -> { });
        } else {
            link.send(command);
        }
    }

    /**
     * An exchange that is answered can't be started any more: to ask again only tells whether it runs. Not at once,
     * for a run that ended just now is no longer running, and the answer may be read later than the question.
     */
    void answered(Open ex) {
        if (ex.begun && !ex.over() && ex.appliedOn != linkNumber) {
            thread.at(clock.now() + limits.doubtWait, () -> askAfter(ex));
        }
    }

    private void askAfter(Open ex) {
        if (settled && !ex.over() && ex.appliedOn != linkNumber) {
            askFor(ex);
        }
    }

    void look() {
        clock.watch();
        book.closeIdle(clock.now());
        long number = ++looks;
        lookOpen = number;
        if (settled) {
            link.send(InterpreterLines.top(Long.toString(number)));
        } else if (link != null && greeted) {
            // One question that stays without an answer must not keep the link unsettled for as long as it lasts.
            link.send(InterpreterLines.top("settle" + linkNumber));
        }
        // Due answers hang on the look: it can't wait for an interpreter that is paused or gone.
        thread.at(clock.now() + limits.gaugeWait, () -> {
            if (lookOpen == number) {
                lookOpen = 0;
                looksWithout++;
                admit.look();
            }
        });
    }

    void gaugesRead(String tag, double[] row) {
        admit.gauges(row);
        if (tag.equals(Long.toString(lookOpen))) {
            lookOpen = 0;
            admit.look();
        } else if (!settled && tag.equals("settle" + linkNumber)) {
            settle();
        }
    }

    /**
     * After a lost link nobody knows whether the last runs asked for were heard. What may run twice is asked for
     * again, which does nothing where it runs; what must not waits until its answer is given.
     */
    private void settle() {
        settled = true;
        for (Open ex : book.all()) {
            if (!ex.begun || ex.over()) {
                continue;
            }
            if (ex.appliedOn == 0 && ex.done) {
                admit.finished(ex, Outcome.NOTHING_STARTED, 0);
            } else if (ex.done) {
                answered(ex);
            } else if (ex.appliedOn == 0 || ex.group.effect == Effect.REPEATABLE) {
                askFor(ex);
            }
        }
    }
}
