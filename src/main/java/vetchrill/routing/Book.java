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
    private long idleTime = Long.MAX_VALUE;
    private boolean drained;
    int completed;
    int denied;
    int terminated;
    int idleClosed;

    Book(Limits limits, DecisionThread thread, AtomicLong heldBytes) {
        this.limits = limits;
        this.thread = thread;
        this.heldBytes = heldBytes;
    }

    void opened(Stub stub) {
        stubs.add(stub);
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

    /** Gives the exchange its answer, unless it has one. */
    void answer(Open ex, byte[] frame, long now) {
        if (ex.done) {
            return;
        }
        ex.done = true;
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
        }
    }

    List<Open> all() {
        return new ArrayList<>(byId.values());
    }

    int size() {
        return byId.size();
    }

    int connections() {
        return stubs.size();
    }

    void idleTime(long span) {
        idleTime = span;
    }

    /** Closes what is idle for longer than the module allows, the longest idle first. */
    void closeIdle(long now) {
        List<Stub> idle = new ArrayList<>();
        for (Stub stub : stubs) {
            if (stub.carried && !stub.closing && stub.open.isEmpty() && now - stub.lastUsed > idleTime) {
                idle.add(stub);
            }
        }
        idle.sort(Comparator.comparingLong(stub -> stub.lastUsed));
        for (Stub stub : idle) {
            takeNothingNew(stub);
            idleClosed++;
            // Told first, closed by the stub: what crosses the word on its way is answered and not lost.
            closeAt(now + limits.closeWait, stub);
        }
    }

    /** For a stub that does not follow; one with something open has as long again. */
    private void closeAt(long time, Stub stub) {
        thread.at(time, () -> {
            if (stubs.contains(stub) && stub.open.isEmpty()) {
                stub.connection.closeWhenSent();
            } else if (stubs.contains(stub)) {
                closeAt(time + limits.closeWait, stub);
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
