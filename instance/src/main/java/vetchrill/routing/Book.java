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

    void opened(Stub stub) {
        stubs.add(stub);
        makeRoom();
        if (drained) {
            takeNothingNew(stub);
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
            if (stub.idle() && !stub.closing && now - stub.lastUsed > allowed) {
                idle.add(stub);
            }
        }
        idle.sort(Comparator.comparingLong(stub -> stub.lastUsed));
        for (Stub stub : idle) {
            if (!stub.heard) {
                close(stub);
                continue;
            }
            takeNothingNew(stub);
            idleClosed++;
            // Told first, closed by the stub: what crosses the word on its way is answered and not lost.
            closeAt(now + limits.closeWait, stub);
        }
    }

    /** For a stub that does not follow; one with something open has as long again. */
    private void closeAt(long time, Stub stub) {
        thread.at(time, () -> {
            if (stubs.contains(stub) && stub.idle()) {
                close(stub);
            } else if (stubs.contains(stub)) {
                closeAt(time + limits.closeWait, stub);
            }
        });
    }

    /**
     * With the table full the longest idle gives way, not whoever comes: a new connection brings an exchange, one
     * that has long been idle may never bring another. One that is used again just now is not caught by it.
     */
    void makeRoom() {
        long latest = thread.now() - limits.crossing;
        while (stubs.size() > limits.connections) {
            Stub longest = null;
            for (Stub stub : stubs) {
                if (stub.idle() && stub.lastUsed < latest && (longest == null || stub.lastUsed < longest.lastUsed)) {
                    longest = stub;
                }
            }
            if (longest == null) {
                return;
            }
            evicted++;
            close(longest);
        }
    }

    private void close(Stub stub) {
        stub.closed = true;
        stubs.remove(stub);
        stub.connection.closeWhenSent();
        // What it is owed by then may wait for ever for a peer that does not read.
        thread.at(thread.now() + limits.closeWait, stub.connection::abort);
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
            stub.connection.closeWhenSent();
        }
    }

    private void takeNothingNew(Stub stub) {
        if (!stub.closing) {
            stub.closing = true;
            stub.connection.send(Frames.nothingNew());
        }
    }

    private void closeIfDone(Stub stub) {
        if (stub.ended && stub.open.isEmpty()) {
            stub.connection.closeWhenSent();
            stubs.remove(stub);
        }
    }
}
