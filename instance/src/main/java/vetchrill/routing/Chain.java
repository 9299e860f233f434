package vetchrill.routing;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import vetchrill.control.EndpointGroup;
import vetchrill.protocol.DeploymentReader;
import vetchrill.protocol.FrameReader;
import vetchrill.protocol.InterpreterLines;
import vetchrill.protocol.Reports;
import vetchrill.transport.Connection;
import vetchrill.transport.InterpreterLink;
import vetchrill.transport.Job;
import vetchrill.transport.Limits;
import vetchrill.transport.Pipe;
import vetchrill.transport.Resources;
import vetchrill.transport.Workers;

/** Puts the units of the chain together, and tells them of links, notices and the end. */
public final class Chain {
    private static final System.Logger LOG = System.getLogger("vetchrill.chain");

    final DecisionThread thread;
    final Clock clock;
    final Book book;
    final Admit admit;
    final Send send;
    private final DeploymentReader facts;
    private final Limits limits;
    private final Report report;
    private final Route route;
    private final Job.Runner readers;
    private final Job.Runner writers;
    private InterpreterLink link;
    private final AtomicInteger connections = new AtomicInteger();
    private final AtomicLong unsent = new AtomicLong();
    final AtomicLong heldBytes = new AtomicLong();
    private final PeerLines lines;
    /** Null where nothing is recorded. */
    private final Recorder recorder;
    private long lastNotice;
    private long closedAllAt;
    /** No more connections are wanted: whoever waits to let one in does not go on waiting. */
    private volatile boolean ending;

    public Chain(DeploymentReader facts, long seed, Clock clock, DecisionThread thread,
            Reports membership, Limits limits, Recorder recorder) {
        this(facts, seed, clock, thread, membership, limits, recorder,
                new Workers("reader", limits.spareReaders, limits), new Workers("writer", limits.spareWriters, limits));
    }

    /** The same with whoever gives its jobs their threads. */
    public Chain(DeploymentReader facts, long seed, Clock clock, DecisionThread thread,
            Reports membership, Limits limits, Recorder recorder, Job.Runner readers,
            Job.Runner writers) {
        this.recorder = recorder;
        this.facts = facts;
        this.limits = limits;
        this.clock = clock;
        this.thread = thread;
        lines = new PeerLines(limits);
        this.readers = readers;
        this.writers = writers;
        book = new Book(limits, thread, heldBytes, facts.deployment.callerIdleTime, recorder);
        admit = new Admit(facts, seed, clock, book, limits, lines, recorder);
        send = new Send(limits, thread, clock, book, admit, recorder);
        report = new Report(membership, limits);
        Repeats repeats = new Repeats(limits, thread, book, admit);
        admit.repeats(repeats);
        route = new Route(clock, thread, book, send, report, repeats);
    }

    public void start(InetSocketAddress interpreter) {
        prepare(interpreter, InterpreterLink.Dial::onSocket);
        report.start();
        link.start();
    }

    /** All of the start but its threads: who keeps the link and the reports going is up to the caller. */
    public InterpreterLink prepare(InetSocketAddress interpreter, InterpreterLink.Dial dial) {
        link = new InterpreterLink(interpreter, limits, dial, readers, writers, connection -> {
            thread.post(() -> send.linkOpened(connection, lastNotice));
            return new InterpreterLines(limits, new Relay(this, connection));
        });
        thread.post(() -> thread.at(clock.now() + limits.summaryEvery, this::summary));
        return link;
    }

    /** Another configuration: both services are spoken to at other addresses, all that is open goes on. */
    public void move(InetSocketAddress interpreter, InetSocketAddress members) {
        link.move(interpreter);
        report.move(members);
    }

    /**
     * What arrives from one point on is decided by that version: by its groups, told anew. What came before
     * stays with the version of then. On any thread.
     */
    public void take(long version, DeploymentReader told) {
        List<EndpointGroup> groups = facts.retold(told);
        thread.post(() -> admit.take(version, groups));
    }

    /**
     * Nothing of a version under the floor is begun any more, and nothing at all from {@code until} on, by the chain's
     * clock. On any thread.
     */
    public void leased(long floor, long until) {
        thread.post(() -> admit.leased(floor, until));
    }

    /** One report of health, for whoever simulates the chain; how long to pause after it. */
    public long report() {
        return report.reportNow();
    }

    public void decide() {
        admit.decide();
    }

    /** On the listener's thread. */
    public void accepted(Pipe pipe) {
        for (int i = 0; isFull(i) && !ending; i++) {
            // The next ones wait unaccepted, which costs nothing here, until what is idle has given way.
            thread.post(() -> book.makeRoom(connections.get()));
            Resources.pause(limits.roomWait);
        }
        int open = connections.incrementAndGet();
        Connection connection = new Connection(pipe, limits, readers, writers, unsent, connections::decrementAndGet);
        Stub stub = new Stub(connection, clock.now());
        thread.post(() -> book.opened(stub, open));
        TakeIn takeIn = new TakeIn(facts, limits, thread, clock, stub, admit, book, report, heldBytes, lines,
                recorder);
        connection.start(new FrameReader(limits, takeIn), limits.frame);
    }

    /** Closing it would lose what it brings: after a while it is taken past the limit, where descriptors are left. */
    private boolean isFull(int tries) {
        int open = connections.get();
        return open >= (tries < limits.roomTries ? limits.connectionsAtMost : limits.connectionsTold);
    }

    /** False for a notice that was read before, over this link or the one that it replaced. */
    boolean noticed(long number) {
        if (number <= lastNotice) {
            return false;
        }
        if (number > lastNotice + 1) {
            LOG.log(System.Logger.Level.ERROR, "notices {0} to {1} never came", lastNotice + 1, number - 1);
        }
        lastNotice = number;
        return true;
    }

    void banner(Connection link, String state, long sinceStart) {
        if (!send.over(link)) {
            return;
        }
        boolean first = !admit.begun();
        LOG.log(System.Logger.Level.INFO, "the interpreter is up: {0}, started {1} ms ago; {2} exchanges open", state,
                sinceStart / 10, book.size());
        if (first) {
            // It may have come up long after this process, and the cores warm up from its start on.
            facts.deployment.cold |= state.equals("new");
            admit.begin(route, clock.now() - sinceStart);
        }
        send.bannerRead(first);
    }

    void linkLost(Connection link, String why) {
        if (send.over(link)) {
            LOG.log(System.Logger.Level.WARNING, "link to the interpreter lost: {0}", why);
            send.linkLost();
        }
    }

    /** The notice to leave, which came at {@code leftAt}, or word of an earlier stop; on any thread. */
    public void leave(long stopAt, long leftAt) {
        thread.post(() -> {
            LOG.log(System.Logger.Level.INFO, "drain: {0} exchanges open on {1} connections, stop in {2} ms",
                    book.size(), book.connections(), (stopAt - clock.now()) / 10);
            admit.leave(stopAt, leftAt);
        });
    }

    /** Whoever waits for room to let one more in lets it in or gives up: the listener is about to be closed. */
    public void noMoreConnections() {
        ending = true;
    }

    /** The listener is closed. */
    public void takeNothingNew() {
        report.lastWord();
        thread.post(book::takeNothingNew);
    }

    public void closeAll() {
        thread.post(() -> {
            // On a crowded core the look before the stop may come after this: what is still owed goes out first.
            admit.look();
            admit.decide();
            LOG.log(System.Logger.Level.INFO, "drained: completed {0} denied {1} terminated {2}; {3} runs go on",
                    book.completed, book.denied, book.terminated, book.size());
            book.closeAll();
            closedAllAt = clock.now();
        });
    }

    /** Runs {@code over}, on the decision thread, once all that was owed is written or no time is left for it. */
    public void end(Runnable over) {
        thread.post(() -> endWhenWritten(over));
    }

    private void endWhenWritten(Runnable over) {
        if (book.isAllWritten() || clock.now() >= closedAllAt + (limits.shutReading - limits.shutAll) / 2) {
            over.run();
        } else {
            thread.at(clock.now() + limits.roomWait, () -> endWhenWritten(over));
        }
    }

    private void summary() {
        LOG.log(System.Logger.Level.INFO, "completed {0} denied {1} terminated {2}; open {3} on {4} connections, "
                + "{5} closed idle, {6} to make room, {7} lines left out; oldest arrival {8} ms, longest round {9} ms, "
                + "{10} inputs waiting, {11} looks without gauges",
                book.completed, book.denied, book.terminated, book.size(), book.connections(), book.idleClosed,
                book.evicted, lines.leftOut(), admit.oldest / 10,
                thread.longestRound / 10, thread.mostWaiting, send.looksWithout);
        admit.oldest = 0;
        thread.longestRound = 0;
        thread.mostWaiting = 0;
        thread.at(clock.now() + limits.summaryEvery, this::summary);
    }
}
