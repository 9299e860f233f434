package vetchrill.routing;

import java.util.Arrays;
import java.util.concurrent.atomic.AtomicLong;
import vetchrill.control.EndpointGroup;
import vetchrill.protocol.DeploymentReader;
import vetchrill.protocol.Fields;
import vetchrill.protocol.FrameReader;
import vetchrill.protocol.Frames;
import vetchrill.transport.Limits;

/** From frame to exchange, on the reader's thread of one connection: what can't be one is answered here. */
final class TakeIn implements FrameReader.Taker {
    private static final System.Logger LOG = System.getLogger("vetchrill.stub");
    private static final int RID = 16;
    private static final int TOKEN = 64;
    private static final double LARGEST_KB = 2000;

    private final DeploymentReader facts;
    private final Limits limits;
    private final DecisionThread thread;
    private final Clock clock;
    private final Stub stub;
    private final Admit admit;
    private final Book book;
    private final Report report;
    private final AtomicLong heldBytes;
    private final PeerLines lines;
    /** Null where nothing is recorded. */
    private final Recorder recorder;
    private final Fields fields = new Fields();

    TakeIn(DeploymentReader facts, Limits limits, DecisionThread thread, Clock clock, Stub stub, Admit admit,
            Book book, Report report, AtomicLong heldBytes, PeerLines lines, Recorder recorder) {
        this.facts = facts;
        this.limits = limits;
        this.thread = thread;
        this.clock = clock;
        this.stub = stub;
        this.admit = admit;
        this.book = book;
        this.report = report;
        this.heldBytes = heldBytes;
        this.lines = lines;
        this.recorder = recorder;
    }

    @Override
    public boolean frame(int type, int stream, byte[] buf, int from, int to) {
        String wrong = fields.read(buf, from, to);
        stub.hears(clock.now());
        if (type == Frames.CHECK) {
            // Answered from here, so that checks are heard while the decision thread is busy denying.
            stub.connection.send(Frames.checked(stream, wrong == null && report.isGood()));
            return true;
        }
        if (wrong == null) {
            wrong = exchange(stream, buf, to);
        }
        if (wrong != null) {
            bad(stream, wrong);
        }
        return goesOn();
    }

    /**
     * A stub of another version may err now and then and keeps its connection; one that does nothing else would
     * cost a share of the one core for as long as it likes. What it has open is answered before it is closed.
     */
    private boolean goesOn() {
        return stub.strikes.get() < limits.strikes;
    }

    private String exchange(int stream, byte[] buf, int to) {
        int group = fields.among("method", facts.groupNames);
        if (group < 0) {
            return "no known method";
        }
        String id = fields.text("rid");
        if (id == null || id.length() != RID || !hex(id)) {
            return "no rid of 16 hex digits";
        }
        long stamp = fields.whole("t0");
        if (stamp < 0) {
            return "no t0";
        }
        int customer = facts.customerNames.isEmpty() ? 0 : fields.among("acct", facts.customerNames);
        if (customer < 0) {
            return "no known acct";
        }
        double kb = fields.number("mem");
        if (!(kb > 0 && kb < LARGEST_KB)) {
            return "no mem within its range";
        }
        double rank = fields.number("prio");
        if (!(rank >= 0 && rank < 1)) {
            return "no prio within its range";
        }
        long peer = fields.whole("peer");
        if (peer < 0) {
            return "no peer";
        }
        String token = null;
        if (facts.deployment.groups.get(group).effect == EndpointGroup.Effect.DEDUPLICATED) {
            token = fields.text("token");
            if (token == null || token.isEmpty() || token.length() > TOKEN) {
                return "no token by which it is known again";
            }
        }
        if (stream == 0) {
            return "an exchange on stream 0";
        }
        if (to - fields.end() > limits.body) {
            return "a body of " + (to - fields.end()) + " bytes";
        }
        if (heldBytes.addAndGet(to - fields.end()) > limits.bodiesInAll) {
            heldBytes.addAndGet(fields.end() - to);
            // An earlier try of it may have run, which a denial would say is not so.
            stub.connection.send(token == null ? Frames.denied(stream, 0, false) : Frames.terminated(stream));
            return null;
        }
        Open ex = new Open(id, facts.groupNames.get(group), stub, stream,
                Arrays.copyOfRange(buf, fields.end(), to));
        ex.group = facts.deployment.groups.get(group);
        ex.groupAt = group;
        ex.customer = customer;
        ex.key = token == null ? null : new Repeats.Key(group, customer, token, ex.body);
        ex.kb = kb;
        ex.peer = peer;
        if (recorder != null) {
            ex.subject = fields.told("obj", recorder::subject);
        }
        ex.arrived = clock.stamped(stamp, limits.oldest);
        stub.onTheWay.incrementAndGet();
        thread.post(() -> admit.arrived(ex));
        return null;
    }

    /** Digits of other scripts are none: the interpreter would not know the id, and may hang up on the line. */
    private static boolean hex(String id) {
        for (int i = 0; i < id.length(); i++) {
            if (id.charAt(i) > 'f' || Character.digit(id.charAt(i), 16) < 0) {
                return false;
            }
        }
        return true;
    }

    @Override
    public boolean oversized(int type, int stream) {
        stub.hears(clock.now());
        if (type == Frames.EXCHANGE) {
            bad(stream, "a frame far beyond what an exchange needs");
        }
        return goesOn();
    }

    private void bad(int stream, String wrong) {
        tell(wrong);
        stub.connection.send(Frames.terminated(stream));
    }

    @Override
    public void broken(String reason) {
        tell(reason);
        stub.connection.send(Frames.terminated(0));
    }

    /** Once for each connection. */
    private void tell(String wrong) {
        if (stub.strikes.getAndIncrement() == 0) {
            lines.tell(LOG, "bad input: {0}", wrong);
        }
    }

    @Override
    public void ended(boolean gone) {
        thread.post(() -> {
            if (gone) {
                admit.left(stub);
            }
            book.ended(stub);
        });
    }
}
