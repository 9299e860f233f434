package vetchrill.routing;

import vetchrill.control.Exchange;
import vetchrill.control.Host;

/** Carries out the module's decisions one by one: to the interpreter, to the stub, or into the book. */
final class Route implements Host {
    private static final System.Logger LOG = System.getLogger("vetchrill.route");

    private final Clock clock;
    private final DecisionThread thread;
    private final Book book;
    private final Send send;
    private final Report report;
    private final Repeats repeats;

    Route(Clock clock, DecisionThread thread, Book book, Send send, Report report, Repeats repeats) {
        this.repeats = repeats;
        this.clock = clock;
        this.thread = thread;
        this.book = book;
        this.send = send;
        this.report = report;
    }

    @Override
    public void begin(Exchange ex) {
        trace("begin", (Open) ex);
        ((Open) ex).begunAt = clock.now();
        send.apply((Open) ex);
    }

    @Override
    public void deny(Exchange ex, long away, boolean giveUp) {
        Open open = (Open) ex;
        trace("deny", open);
        book.deny(open, away, giveUp, clock.now());
    }

    @Override
    public void terminate(Exchange ex) {
        Open open = (Open) ex;
        trace("terminate", open);
        book.terminate(open, clock.now());
        send.answered(open);
    }

    /**
     * Its caller has left: what is in doubt of it is asked after as if it were answered, or its slot is held for
     * good.
     */
    void left(Open ex) {
        send.answered(ex);
    }

    private void trace(String what, Open ex) {
        if (LOG.isLoggable(System.Logger.Level.DEBUG)) {
            LOG.log(System.Logger.Level.DEBUG, "{0} {1} {2} after {3} ms", what, ex.groupName, ex.id,
                    (clock.now() - ex.arrived) / 10);
        }
    }

    @Override
    public void health(boolean good) {
        LOG.log(System.Logger.Level.INFO, "health is {0}", good ? "good" : "bad");
        report.health(good);
    }

    @Override
    public void idleTime(long span) {
        book.idleTime(span);
    }

    @Override
    public void wakeIn(long span) {
        thread.at(clock.now() + span, send::look);
    }

    @Override
    public void replay(Exchange ex) {
        trace("replay", (Open) ex);
        repeats.replay((Open) ex);
    }

    @Override
    public void remember(Exchange ex, long span) {
        repeats.remember((Open) ex, span);
    }

    @Override
    public void forget(Exchange ex) {
        repeats.forget((Open) ex);
    }

    // The start refuses settings that would need one of these: the protocol has no words for them.

    @Override
    public void interrupt(Exchange ex) {
        throw new IllegalStateException("work can't be stopped here");
    }

    @Override
    public void call(Exchange ex, long until) {
        throw new IllegalStateException("calls can't be made here");
    }

    @Override
    public void leaveOut(Exchange ex) {
        throw new IllegalStateException("calls can't be left out here");
    }

    @Override
    public void say(double value) {
        throw new IllegalStateException("no free value is sent here");
    }
}
