package vetchrill.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import vetchrill.protocol.Frames;
import vetchrill.transport.Limits;

/** Which exchanges and connections are open, which of these are idle, and the one answer of each exchange. */
final class Book {
    private final Limits limits;
    private final DecisionThread thread;
    private final AtomicLong heldBytes;
    private final Map<String, Open> byId = new LinkedHashMap<>();
    private final Set<Stub> stubs = new LinkedHashSet<>();
    /** Closed by this side, the longest ago first, and not by their peers as far as is known. */
    private final Set<Stub> lingering = new LinkedHashSet<>();
    /** That of the callers: some hold for good what they don't use any more. */
    private final long callerIdleTime;
    private long idleTime;
    /** Null where nothing is recorded. */
    private final Recorder recorder;
    private boolean drained;
    int completed;
    int denied;
    int terminated;
    int idleClosed;
    int evicted;

    Book(Limits limits, DecisionThread thread, AtomicLong heldBytes, long callerIdleTime, Recorder recorder) {
        this.recorder = recorder;
        this.callerIdleTime = callerIdleTime;
        idleTime = callerIdleTime;
        this.limits = limits;
        this.thread = thread;
        this.heldBytes = heldBytes;
    }

    /** {@code open} counts all connections of this moment. */
    void opened(Stub stub, int open) {
        stubs.add(stub);
        makeRoom(open);
        if (drained) {
            takeNothingNew(stub);
        } else if (open > limits.connectionsAtMost) {
            announce(stub, thread.now());
        }
    }

    /** Nothing more will be read; what is open may still be answered, as the peer may have shut one way only. */
    void ended(Stub stub) {
        stub.ended = true;
        closeIfDone(stub);
    }

    /** Takes from the stub what it will never hear the answer of. */
    List<Open> lost(Stub stub) {
        List<Open> lost = new ArrayList<>(stub.open.values());
        for (Open ex : lost) {
            ex.done = true;
            ex.answer = Recorder.LEFT;
            ex.answeredAt = thread.now();
        }
        stub.open.clear();
        return lost;
    }

    boolean has(String id) {
        return byId.containsKey(id);
    }

    Open find(String id) {
        return byId.get(id);
    }

    /** It never came to be an exchange. */
    void drop(Open ex) {
        heldBytes.addAndGet(-ex.body.length);
    }

    void add(Open ex) {
        byId.put(ex.id, ex);
        ex.stub.open.put(ex.stream, ex);
        ex.stub.carried = true;
    }

    /** {@code frame} was made where its stream was not known yet. */
    void complete(Open ex, byte[] frame, long now) {
        if (!ex.done) {
            Frames.onStream(frame, ex.stream);
            completed++;
            answer(ex, Recorder.COMPLETED, frame, now);
        }
    }

    /** {@code away} in tenths of a millisecond, 0 for no advice. */
    void deny(Open ex, long away, boolean giveUp, long now) {
        if (!ex.done) {
            denied++;
            ex.away = away;
            ex.giveUp = giveUp;
            answer(ex, Recorder.DENIED, Frames.denied(ex.stream, (away + 9) / 10, giveUp), now);
        }
    }

    void terminate(Open ex, long now) {
        if (!ex.done) {
            terminated++;
            answer(ex, Recorder.TERMINATED, Frames.terminated(ex.stream), now);
        }
    }

    /** The exchange's one answer. */
    private void answer(Open ex, byte answer, byte[] frame, long now) {
        ex.done = true;
        ex.answer = answer;
        ex.answeredAt = now;
        ex.stub.open.remove(ex.stream);
        ex.stub.lastUsed = now;
        forgetIfOver(ex);
        ex.stub.connection.send(frame);
        closeIfDone(ex.stub);
    }

    /** Forgotten once it is answered and no word of a run can come any more. */
    void forgetIfOver(Open ex) {
        if (ex.done && ex.over() && byId.remove(ex.id) != null) {
            drop(ex);
            if (recorder != null) {
                record(ex);
            }
        }
    }

    /** It was turned away before it came to be open. */
    void turnedAway(Open ex, byte answer) {
        drop(ex);
        if (recorder != null) {
            ex.answer = answer;
            ex.heard = thread.now();
            ex.answeredAt = ex.heard;
            record(ex);
        }
    }

    private void record(Open ex) {
        Recorder.ExchangeRow row = recorder.claimExchange();
        if (row != null) {
            row.arrived = ex.arrived;
            row.heard = ex.heard;
            row.id = Long.parseUnsignedLong(ex.id, 16);
            row.version = ex.version;
            row.group = ex.groupAt;
            row.customer = ex.customer;
            row.stub = ex.peer;
            row.subject = ex.subject;
            row.kb = (float) ex.kb;
            row.bytes = ex.body.length;
            row.begun = ex.begunAt;
            row.took = ex.took;
            row.answered = ex.answeredAt;
            row.answer = ex.answer;
            row.away = ex.away;
            row.giveUp = ex.giveUp;
            recorder.put(row);
        }
    }

    List<Open> all() {
        return new ArrayList<>(byId.values());
    }

    /** Begun and not over; asked for where looks are recorded only. */
    int running() {
        int running = 0;
        for (Open ex : byId.values()) {
            running += ex.begun && !ex.over() ? 1 : 0;
        }
        return running;
    }

    int size() {
        return byId.size();
    }

    int connections() {
        return stubs.size();
    }

    /** Those that have carried something and may go on doing so: what the module is told as its connections. */
    int inUse() {
        int inUse = 0;
        for (Stub stub : stubs) {
            inUse += stub.carried && !stub.closing ? 1 : 0;
        }
        return inUse;
    }

    void idleTime(long span) {
        idleTime = span;
    }

    /** Closes what is idle for longer than the module allows, the longest idle first; and what says nothing. */
    void closeIdle(long now) {
        List<Stub> idle = new ArrayList<>();
        for (Stub stub : stubs) {
            long allowed = stub.carried ? idleTime : stub.heard ? callerIdleTime : limits.silence;
            if (stub.idle() && !stub.closing && now - stub.lastUsed > allowed && !receiving(stub, allowed, now)) {
                idle.add(stub);
            }
        }
        idle.sort(Comparator.comparingLong(stub -> stub.lastUsed));
        for (Stub stub : idle) {
            if (stub.heard) {
                idleClosed++;
                announce(stub, now);
            } else {
                close(stub);
            }
        }
    }

    /**
     * Whether more has come than was read as whole frames: a request in pieces, or one that this process had no time to
     * read yet. One that never sent a whole frame is owed a close soon, so what lies unread is all that helps it.
     */
    private boolean receiving(Stub stub, long allowed, long now) {
        long extra = stub.heard ? limits.slowMessage : limits.crossing;
        return now - stub.lastUsed <= allowed + extra && stub.connection.isReceiving();
    }

    /** Told first, closed by the stub: what crosses the word on its way is answered and not lost. */
    private void announce(Stub stub, long now) {
        takeNothingNew(stub);
        closeAt(now + limits.closeWait, stub);
    }

    /** For a stub that does not follow; one with something open, or half of it, has as long again. */
    private void closeAt(long time, Stub stub) {
        thread.at(time, () -> {
            if (stubs.contains(stub) && stub.idle() && !receiving(stub, limits.closeWait, thread.now())) {
                close(stub);
            } else if (stubs.contains(stub)) {
                closeAt(time + limits.closeWait, stub);
            }
        });
    }

    /**
     * With the table full the longest idle gives way, not whoever comes: a new connection brings an exchange, one
     * that has long been idle may never bring another. One that is used again just now is not caught by it. It is told
     * first; only where the next can't be let in otherwise it is closed at once, one that was told sooner.
     * {@code open} are all connections of this moment, closed ones that linger among them.
     */
    void makeRoom(int open) {
        long now = thread.now();
        long latest = now - limits.crossing;
        int kept = 0;
        for (Stub stub : stubs) {
            kept += stub.closing ? 0 : 1;
        }
        while (kept > limits.connections) {
            Stub longest = longestIdle(latest, false);
            if (longest == null) {
                break;
            }
            kept--;
            evicted++;
            if (longest.heard) {
                announce(longest, now);
            } else {
                close(longest);
            }
        }
        lingering.removeIf(stub -> stub.connection.isClosed());
        int room = limits.connectionsAtMost - open;
        for (Stub stub : List.copyOf(lingering)) {
            // A crowd would fill the table with what lingers, and keep others waiting for it.
            if (open > limits.connections && stub.closedAt < latest) {
                stub.connection.abort();
                lingering.remove(stub);
                room++;
            }
        }
        // What was closed gives its descriptor back only then, so a few more give way than there are to come just now.
        while (room < 1 && lingering.size() < limits.roomAtOnce) {
            Stub longest = longestIdle(latest, true);
            if (longest == null) {
                return;
            }
            evicted += longest.closing ? 0 : 1;
            close(longest);
        }
    }

    /** Those that were told come first where {@code told} ones are asked for. */
    private Stub longestIdle(long latest, boolean told) {
        Stub longest = null;
        for (Stub stub : stubs) {
            boolean sooner = longest == null || stub.closing && !longest.closing
                    || stub.closing == longest.closing && stub.lastUsed < longest.lastUsed;
            if (sooner && (told || !stub.closing) && stub.idle() && stub.lastUsed < latest
                    && !receiving(stub, 0, latest + limits.crossing)) {
                longest = stub;
            }
        }
        return longest;
    }

    private void close(Stub stub) {
        stub.closed = true;
        stub.closedAt = thread.now();
        stubs.remove(stub);
        if (stub.heard || stub.ended) {
            stub.connection.close();
        } else {
            // It is owed nothing, and by hundreds those would cost what the others need.
            stub.connection.abort();
        }
        if (!stub.connection.isClosed()) {
            lingering.add(stub);
            endAt(stub.closedAt + limits.closeWait, stub);
        }
    }

    /** A peer that never closes, or that does not read what it is owed, is not waited for for ever. */
    private void endAt(long time, Stub stub) {
        thread.at(time, () -> {
            if (stub.connection.isHalfClosed() || time - stub.closedAt >= limits.slowReader) {
                stub.connection.abort();
                lingering.remove(stub);
            } else {
                endAt(time + limits.closeWait, stub);
            }
        });
    }

    /** From now on nothing new is taken on any connection. */
    void takeNothingNew() {
        drained = true;
        for (Stub stub : stubs) {
            takeNothingNew(stub);
        }
    }

    void closeAll() {
        for (Stub stub : stubs) {
            stub.connection.close();
        }
    }

    /** Whether every connection has been shown its end, so that nothing is left of what it is owed. */
    boolean isAllWritten() {
        return stubs.stream().allMatch(stub -> stub.connection.isHalfClosed() || stub.connection.isClosed())
                && lingering.stream().allMatch(stub -> stub.connection.isHalfClosed() || stub.connection.isClosed());
    }

    private void takeNothingNew(Stub stub) {
        if (!stub.closing) {
            stub.closing = true;
            stub.connection.send(Frames.nothingNew());
        }
    }

    private void closeIfDone(Stub stub) {
        if (stub.ended && stub.open.isEmpty() && stubs.contains(stub)) {
            close(stub);
        }
    }
}
