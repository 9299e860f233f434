package vetchrill.routing;

import java.util.List;
import vetchrill.control.EndpointGroup;
import vetchrill.control.Exchange;
import vetchrill.control.OverloadController;
import vetchrill.protocol.DeploymentReader;
import vetchrill.protocol.Frames;
import vetchrill.transport.Limits;

/** Hands to the module what happened and pulls its decisions. */
final class Admit {
    private static final System.Logger LOG = System.getLogger("vetchrill.admit");

    private final DeploymentReader facts;
    private final long seed;
    private final Clock clock;
    private final Book book;
    private final Limits limits;
    private final PeerLines lines;
    /** Null where nothing is recorded. */
    private final Recorder recorder;
    private Route route;
    private Repeats repeats;
    private OverloadController controller;
    /** When the process stops; 0 while nothing is known of that. */
    private long stopAt;
    /** When that was heard: the grace runs from then on, though the interpreter comes up later. */
    private long leftAt;
    private double[] gauges = new double[0];
    /** The version by which is decided what arrives, and its groups; null while that is what was told at start. */
    private long version;
    private List<EndpointGroup> groups;
    private volatile long floor;
    private volatile long leasedUntil = Long.MAX_VALUE;
    /** Decided to be begun in time, and not asked for since the lease ran out in between. */
    int heldBack;
    /** The oldest that an exchange was when it came to the decision thread, since the last summary. */
    long oldest;

    Admit(DeploymentReader facts, long seed, Clock clock, Book book, Limits limits,
            PeerLines lines, Recorder recorder) {
        this.facts = facts;
        this.seed = seed;
        this.clock = clock;
        this.book = book;
        this.limits = limits;
        this.lines = lines;
        this.recorder = recorder;
    }

    /** The interpreter is up: only now is there something to decide on, and known since when it warms up. */
    void begin(Route route, long born) {
        this.route = route;
        // Here the memory that is told is the interpreter's, which keeps neither keys nor results.
        facts.deployment.keyKb = 0;
        controller = new OverloadController(facts.deployment, seed, born);
        if (stopAt > 0) {
            controller.leave(stopAt, leftAt);
        }
        controller.leased(version, floor, leasedUntil, clock.now());
    }

    /** One point in the order of all that arrives: what came before is decided by the version of then. */
    void take(long version, List<EndpointGroup> groups) {
        this.version = version;
        this.groups = groups;
        if (recorder != null) {
            recorder.taken(version);
        }
        leased(floor, leasedUntil);
    }

    void leased(long floor, long until) {
        this.floor = floor;
        leasedUntil = until;
        if (controller != null) {
            controller.leased(version, floor, until, clock.now());
        }
    }

    /** Whether what is begun hangs on a word of others at all. */
    boolean leased() {
        return floor > 0 || leasedUntil != Long.MAX_VALUE;
    }

    /**
     * Looked at once more as a run is asked for, and as the command is written: the process may have stood still since
     * that was decided. On any thread.
     */
    boolean mayBegin(Open ex) {
        return ex.version >= floor && (leasedUntil == Long.MAX_VALUE || clock.now() < leasedUntil);
    }

    /** The module holds it to be begun, and nothing of it was asked for. */
    void notBegun(Open ex) {
        if (!ex.over()) {
            heldBack++;
            finished(ex, Exchange.Outcome.NOTHING_STARTED, 0);
            book.deny(ex, facts.deployment.longestAway, false, clock.now());
            book.forgetIfOver(ex);
        }
    }

    boolean begun() {
        return controller != null;
    }

    void arrived(Open ex) {
        long now = clock.now();
        ex.stub.onTheWay.decrementAndGet();
        ex.version = version;
        if (groups != null) {
            ex.group = groups.get(ex.groupAt);
        }
        if (ex.stub.closed) {
            book.turnedAway(ex, Recorder.LEFT);
            return;
        }
        if (ex.stub.open.containsKey(ex.stream)) {
            // An answer on its stream would be taken for that of the exchange which has it.
            strike(ex, "a stream used while it is open");
            turnAway(ex, Frames.terminated(0), Recorder.TERMINATED);
            return;
        }
        if (book.has(ex.id)) {
            strike(ex, "a rid used while it is open");
            turnAway(ex, Frames.terminated(ex.stream), Recorder.TERMINATED);
            return;
        }
        if (ex.stub.open.size() >= limits.openPerConnection) {
            strike(ex, "more open than a connection carries");
            if (ex.key == null) {
                turnAway(ex, Frames.denied(ex.stream, 0, false), Recorder.DENIED);
            } else {
                // An earlier try of it may have run, which a denial would say is not so.
                turnAway(ex, Frames.terminated(ex.stream), Recorder.TERMINATED);
            }
            return;
        }
        if (ex.key != null) {
            repeats.link(ex);
        }
        if (controller == null || ex.key != null && !ex.repeat && repeats.isFull()) {
            turnAway(ex, Frames.denied(ex.stream, 0, false), Recorder.DENIED);
            return;
        }
        oldest = Math.max(oldest, now - ex.arrived);
        ex.heard = now;
        book.add(ex);
        controller.arrived(ex, now);
        if (ex.key != null) {
            // A further try that waits behind it in the queue is to find it remembered, or denied and forgotten.
            decide();
        }
    }

    /** For what no stub does; see {@link TakeIn} for where it ends. */
    void strike(Open ex, String what) {
        ex.stub.strikes.incrementAndGet();
        lines.tell(LOG, "bad input: {0}", what);
    }

    private void turnAway(Open ex, byte[] frame, byte answer) {
        ex.stub.connection.send(frame);
        book.turnedAway(ex, answer);
    }

    /** A connection that was reset takes its answers with it: its callers have left, whoever they were. */
    void left(Stub stub) {
        LOG.log(System.Logger.Level.DEBUG, "a connection was reset with {0} exchanges open", stub.open.size());
        for (Open ex : book.lost(stub)) {
            controller.callerLeft(ex, clock.now());
            book.forgetIfOver(ex);
            route.left(ex);
        }
    }

    void repeats(Repeats repeats) {
        this.repeats = repeats;
    }

    void finished(Open ex, Exchange.Outcome outcome, long took) {
        finished(ex, outcome, took, null);
    }

    /** {@code answer} is null where there is no result. */
    void finished(Open ex, Exchange.Outcome outcome, long took, byte[] answer) {
        ex.took = took;
        controller.finished(ex, outcome, took, clock.now());
        if (ex.over()) {
            repeats.over(ex, answer);
        }
        book.forgetIfOver(ex);
    }

    void gauges(double[] row) {
        gauges = row;
    }

    /**
     * One look, with the last gauges known. Connections are counted here: the interpreter does not see those that
     * are held open and carry nothing, which fill the table all the same.
     */
    void look() {
        if (controller == null) {
            return;
        }
        controller.gauges(gauge(facts.cpuAt), gauge(facts.runnableAt), book.inUse(), clock.now());
        if (recorder != null) {
            record();
        }
    }

    private void record() {
        Recorder.LookRow row = recorder.claimLook();
        if (row != null) {
            row.at = clock.now();
            row.cpu = (float) gauge(facts.cpuAt);
            row.runnable = (float) gauge(facts.runnableAt);
            row.memory = (float) gauge(facts.memoryAt);
            row.connections = book.inUse();
            row.open = book.size();
            row.running = book.running();
            recorder.put(row);
        }
    }

    private double gauge(int at) {
        return at >= 0 && at < gauges.length ? gauges[at] : 0;
    }

    /** The grace runs from {@code leftAt}, however late this is told or told again. */
    void leave(long stopAt, long leftAt) {
        this.leftAt = leftAt;
        this.stopAt = stopAt;
        if (controller != null) {
            controller.leave(stopAt, leftAt);
            controller.leased(version, floor, leasedUntil, clock.now());
        }
    }

    void decide() {
        while (controller != null && controller.next(route)) {
            continue;
        }
    }
}
