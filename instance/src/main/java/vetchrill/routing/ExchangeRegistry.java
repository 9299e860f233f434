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
final class ExchangeRegistry {
    private final Limits limits;
    private final DecisionThread thread;
    private final AtomicLong openBodyBytes;
    private final Map<String, OpenExchange> exchangesById = new LinkedHashMap<>();
    private final Set<StubConnection> connections = new LinkedHashSet<>();
    /** Closed by this side, the longest ago first, and not by their peers as far as is known. */
    private final Set<StubConnection> lingering = new LinkedHashSet<>();
    /** That of the callers: some hold for good what they don't use any more. */
    private final long callerIdleTime;
    private long idleTime;
    /** Null where nothing is recorded. */
    private final Recorder recorder;
    private boolean connectionsDraining;
    int completed;
    int denied;
    int terminated;
    int closedIdle;
    int evicted;

    ExchangeRegistry(Limits limits, DecisionThread thread, AtomicLong openBodyBytes, long callerIdleTime,
            Recorder recorder) {
        this.recorder = recorder;
        this.callerIdleTime = callerIdleTime;
        idleTime = callerIdleTime;
        this.limits = limits;
        this.thread = thread;
        this.openBodyBytes = openBodyBytes;
    }

    /** {@code open} counts all connections of this moment. */
    void onConnectionOpened(StubConnection stub, int connectionCount) {
        connections.add(stub);
        evictIdleConnections(connectionCount);
        if (connectionsDraining) {
            drainConnections(stub);
        } else if (connectionCount > limits.maxConnections) {
            drainAndClose(stub, thread.now());
        }
    }

    /** Nothing more will be read; what is open may still be answered, as the peer may have shut one way only. */
    void onReadEnd(StubConnection stub) {
        stub.readEnded = true;
        closeIfDrained(stub);
    }

    /** Takes from the stub what it will never hear the answer of. */
    List<OpenExchange> abandonExchanges(StubConnection stub) {
        List<OpenExchange> abandoned = new ArrayList<>(stub.openByStream.values());
        for (OpenExchange ex : abandoned) {
            ex.hasAnswer = true;
            ex.answerKind = Recorder.DISCONNECTED;
            ex.answeredAt = thread.now();
        }
        stub.openByStream.clear();
        return abandoned;
    }

    boolean isRegistered(String id) {
        return exchangesById.containsKey(id);
    }

    OpenExchange find(String id) {
        return exchangesById.get(id);
    }

    /** It never came to be an exchange. */
    void releaseBody(OpenExchange ex) {
        openBodyBytes.addAndGet(-ex.body.length);
    }

    void register(OpenExchange ex) {
        exchangesById.put(ex.id, ex);
        ex.stub.openByStream.put(ex.stream, ex);
        ex.stub.carriedExchange = true;
    }

    /** {@code frame} was made where its stream was not known yet. */
    void complete(OpenExchange ex, byte[] frame, long now) {
        if (!ex.hasAnswer) {
            Frames.setStream(frame, ex.stream);
            completed++;
            sendAnswer(ex, Recorder.COMPLETED, frame, now);
        }
    }

    /** {@code away} in tenths of a millisecond, 0 for no advice. */
    void deny(OpenExchange ex, long retryAfter, boolean doNotRetry, long now) {
        if (!ex.hasAnswer) {
            denied++;
            ex.retryAfter = retryAfter;
            ex.doNotRetry = doNotRetry;
            sendAnswer(ex, Recorder.DENIED, Frames.denied(ex.stream, (retryAfter + 9) / 10, doNotRetry), now);
        }
    }

    void terminate(OpenExchange ex, long now) {
        if (!ex.hasAnswer) {
            terminated++;
            sendAnswer(ex, Recorder.TERMINATED, Frames.terminated(ex.stream), now);
        }
    }

    /** The exchange's one answer. */
    private void sendAnswer(OpenExchange ex, byte answerKind, byte[] frame, long now) {
        ex.hasAnswer = true;
        ex.answerKind = answerKind;
        ex.answeredAt = now;
        ex.stub.openByStream.remove(ex.stream);
        ex.stub.lastUsedAt = now;
        removeIfOver(ex);
        ex.stub.connection.send(frame);
        closeIfDrained(ex.stub);
    }

    /** Forgotten once it is answered and no word of a run can come any more. */
    void removeIfOver(OpenExchange ex) {
        if (ex.hasAnswer && ex.isFinished() && exchangesById.remove(ex.id) != null) {
            releaseBody(ex);
            if (recorder != null) {
                record(ex);
            }
        }
    }

    /** It was turned away before it came to be open. */
    void closeUnregistered(OpenExchange ex, byte answerKind) {
        releaseBody(ex);
        if (recorder != null) {
            ex.answerKind = answerKind;
            ex.dequeuedAt = thread.now();
            ex.answeredAt = ex.dequeuedAt;
            record(ex);
        }
    }

    private void record(OpenExchange ex) {
        Recorder.ExchangeRow row = recorder.claimExchangeRow();
        if (row != null) {
            row.arrivedAt = ex.arrivedAt;
            row.dequeuedAt = ex.dequeuedAt;
            row.id = Long.parseUnsignedLong(ex.id, 16);
            row.version = ex.version;
            row.group = ex.groupIndex;
            row.customer = ex.customer;
            row.stubNumber = ex.stubNumber;
            row.subject = ex.subject;
            row.kb = (float) ex.sizeKb;
            row.bytes = ex.body.length;
            row.startedAt = ex.startedAt;
            row.runDuration = ex.runDuration;
            row.answeredAt = ex.answeredAt;
            row.answerKind = ex.answerKind;
            row.retryAfter = ex.retryAfter;
            row.doNotRetry = ex.doNotRetry;
            recorder.put(row);
        }
    }

    List<OpenExchange> openExchanges() {
        return new ArrayList<>(exchangesById.values());
    }

    /** Begun and not over; asked for where looks are recorded only. */
    int runningCount() {
        int count = 0;
        for (OpenExchange ex : exchangesById.values()) {
            count += ex.started && !ex.isFinished() ? 1 : 0;
        }
        return count;
    }

    int openCount() {
        return exchangesById.size();
    }

    int connectionCount() {
        return connections.size();
    }

    /** Those that have carried something and may go on doing so: what the module is told as its connections. */
    int connectionsInUse() {
        int count = 0;
        for (StubConnection stub : connections) {
            count += stub.carriedExchange && !stub.draining ? 1 : 0;
        }
        return count;
    }

    void setIdleTime(long span) {
        idleTime = span;
    }

    /** Closes what is idle for longer than the module allows, the longest idle first; and what says nothing. */
    void closeIdleConnections(long now) {
        List<StubConnection> idle = new ArrayList<>();
        for (StubConnection stub : connections) {
            long allowedIdleTime = stub.carriedExchange ? idleTime : stub.frameReceived ? callerIdleTime
                    : limits.firstFrameTimeoutTenthsMs;
            if (stub.isIdle() && !stub.draining && now - stub.lastUsedAt > allowedIdleTime
                    && !isReceiving(stub, allowedIdleTime, now)) {
                idle.add(stub);
            }
        }
        idle.sort(Comparator.comparingLong(stub -> stub.lastUsedAt));
        for (StubConnection stub : idle) {
            if (stub.frameReceived) {
                closedIdle++;
                drainAndClose(stub, now);
            } else {
                closeConnection(stub);
            }
        }
    }

    /**
     * Whether more has come than was read as whole frames: a request in pieces, or one that this process had no time to
     * read yet. One that never sent a whole frame is owed a close soon, so what lies unread is all that helps it.
     */
    private boolean isReceiving(StubConnection stub, long allowedIdleTime, long now) {
        long messageTime = stub.frameReceived ? limits.partialMessageTimeoutTenthsMs : limits.closeRaceWindowTenthsMs;
        return now - stub.lastUsedAt <= allowedIdleTime + messageTime && stub.connection.isReceiving();
    }

    /** Told first, closed by the stub: what crosses the word on its way is answered and not lost. */
    private void drainAndClose(StubConnection stub, long now) {
        drainConnections(stub);
        scheduleClose(now + limits.closeTimeoutTenthsMs, stub);
    }

    /** For a stub that does not follow; one with something open, or half of it, has as long again. */
    private void scheduleClose(long time, StubConnection stub) {
        thread.schedule(time, () -> {
            if (connections.contains(stub) && stub.isIdle() && !isReceiving(stub, limits.closeTimeoutTenthsMs,
                    thread.now())) {
                closeConnection(stub);
            } else if (connections.contains(stub)) {
                scheduleClose(time + limits.closeTimeoutTenthsMs, stub);
            }
        });
    }

    /**
     * With the table full the longest idle gives way, not whoever comes: a new connection brings an exchange, one
     * that has long been idle may never bring another. One that is used again just now is not caught by it. It is told
     * first; only where the next can't be let in otherwise it is closed at once, one that was told sooner.
     * {@code open} are all connections of this moment, closed ones that linger among them.
     */
    void evictIdleConnections(int connectionCount) {
        long now = thread.now();
        long usedBefore = now - limits.closeRaceWindowTenthsMs;
        int notDraining = 0;
        for (StubConnection stub : connections) {
            notDraining += stub.draining ? 0 : 1;
        }
        while (notDraining > limits.targetConnections) {
            StubConnection longest = longestIdleConnection(usedBefore, false);
            if (longest == null) {
                break;
            }
            notDraining--;
            evicted++;
            if (longest.frameReceived) {
                drainAndClose(longest, now);
            } else {
                closeConnection(longest);
            }
        }
        lingering.removeIf(stub -> stub.connection.isClosed());
        int freeSlots = limits.maxConnections - connectionCount;
        for (StubConnection stub : List.copyOf(lingering)) {
            // A crowd would fill the table with what lingers, and keep others waiting for it.
            if (connectionCount > limits.targetConnections && stub.closedAt < usedBefore) {
                stub.connection.abort();
                lingering.remove(stub);
                freeSlots++;
            }
        }
        // What was closed gives its descriptor back only then, so a few more give way than there are to come just now.
        while (freeSlots < 1 && lingering.size() < limits.maxConcurrentEvictions) {
            StubConnection longest = longestIdleConnection(usedBefore, true);
            if (longest == null) {
                return;
            }
            evicted += longest.draining ? 0 : 1;
            closeConnection(longest);
        }
    }

    /** Those that were told come first where {@code told} ones are asked for. */
    private StubConnection longestIdleConnection(long usedBefore, boolean includeDraining) {
        StubConnection longest = null;
        for (StubConnection stub : connections) {
            boolean preferred = longest == null || stub.draining && !longest.draining
                    || stub.draining == longest.draining && stub.lastUsedAt < longest.lastUsedAt;
            if (preferred && (includeDraining || !stub.draining) && stub.isIdle() && stub.lastUsedAt < usedBefore
                    && !isReceiving(stub, 0, usedBefore + limits.closeRaceWindowTenthsMs)) {
                longest = stub;
            }
        }
        return longest;
    }

    private void closeConnection(StubConnection stub) {
        stub.closed = true;
        stub.closedAt = thread.now();
        connections.remove(stub);
        if (stub.frameReceived || stub.readEnded) {
            stub.connection.close();
        } else {
            // It is owed nothing, and by hundreds those would cost what the others need.
            stub.connection.abort();
        }
        if (!stub.connection.isClosed()) {
            lingering.add(stub);
            scheduleAbort(stub.closedAt + limits.closeTimeoutTenthsMs, stub);
        }
    }

    /** A peer that never closes, or that does not read what it is owed, is not waited for for ever. */
    private void scheduleAbort(long time, StubConnection stub) {
        thread.schedule(time, () -> {
            if (stub.connection.isHalfClosed() || time - stub.closedAt >= limits.slowReaderTimeoutTenthsMs) {
                stub.connection.abort();
                lingering.remove(stub);
            } else {
                scheduleAbort(time + limits.closeTimeoutTenthsMs, stub);
            }
        });
    }

    /** From now on nothing new is taken on any connection. */
    void drainConnections() {
        connectionsDraining = true;
        for (StubConnection stub : connections) {
            drainConnections(stub);
        }
    }

    void closeAllConnections() {
        for (StubConnection stub : connections) {
            stub.connection.close();
        }
    }

    /** Whether every connection has been shown its end, so that nothing is left of what it is owed. */
    boolean isAllFlushed() {
        return connections.stream().allMatch(stub -> stub.connection.isHalfClosed() || stub.connection.isClosed())
                && lingering.stream().allMatch(stub -> stub.connection.isHalfClosed() || stub.connection.isClosed());
    }

    private void drainConnections(StubConnection stub) {
        if (!stub.draining) {
            stub.draining = true;
            stub.connection.send(Frames.goAway());
        }
    }

    private void closeIfDrained(StubConnection stub) {
        if (stub.readEnded && stub.openByStream.isEmpty() && connections.contains(stub)) {
            closeConnection(stub);
        }
    }
}
