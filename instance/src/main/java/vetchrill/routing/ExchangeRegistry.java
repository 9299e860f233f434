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

/**
 * The open exchanges and stub connections of this instance. Sends each exchange its single final answer, closes idle
 * connections and evicts the longest idle ones when the connection table is full. On the decision thread only.
 */
final class ExchangeRegistry {
    private static final System.Logger LOG = System.getLogger("vetchrill.registry");

    /** Why a connection is closed by this side, for the log. */
    private enum CloseReason { NO_FRAME, GO_AWAY_TIMEOUT, EVICTED, INPUT_ENDED }

    private final Limits limits;
    private final DecisionThread thread;
    private final AtomicLong openBodyBytes;
    private final Map<String, OpenExchange> exchangesById = new LinkedHashMap<>();
    private final RecentRunIds recentRunIds;
    private final Set<StubConnection> connections = new LinkedHashSet<>();
    /** Connections closed by this side that their peers are not known to have closed, the earliest closed first. */
    private final Set<StubConnection> lingering = new LinkedHashSet<>();
    /** The callers' own idle time, applied here too since some callers never close connections they don't use. */
    private final long callerIdleTime;
    /** The idle time that the controller allows a connection which has carried an exchange. */
    private long idleTime;
    /** Null when recording is off. */
    private final Recorder recorder;
    /** All connections are being drained, new ones included. */
    private boolean connectionsDraining;
    // Totals since the start.
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
        recentRunIds = new RecentRunIds(limits.maxRecentRunIds);
        this.thread = thread;
        this.openBodyBytes = openBodyBytes;
    }

    /** {@code connectionCount} is the current number of all connections. */
    void onConnectionOpened(StubConnection stub, int connectionCount) {
        connections.add(stub);
        evictIdleConnections(connectionCount);
        if (connectionsDraining) {
            drainConnection(stub);
        } else if (connectionCount > limits.maxConnections) {
            drainAndClose(stub);
        }
    }

    /** The peer may have shut down its sending side only, so open exchanges are still answered. */
    void onReadEnd(StubConnection stub) {
        stub.readEnded = true;
        closeIfDrained(stub);
        if (stub.connection.isInputEnded() && connections.contains(stub)) {
            probePeer(stub);
        }
    }

    /**
     * Finds out whether a peer that has shut down its output still reads. One that has left answers the first message
     * with a reset, and the next one can't be written then.
     */
    private void probePeer(StubConnection stub) {
        stub.draining = true;
        stub.connection.send(Frames.goAway());
        thread.schedule(thread.now() + limits.peerProbeIntervalTenthsMs, () -> {
            if (connections.contains(stub)) {
                stub.connection.send(Frames.goAway());
            }
        });
    }

    /**
     * Removes the exchanges whose answers can no longer reach the stub from its connection, and the connection where
     * its reading has ended before.
     */
    List<OpenExchange> abandonExchanges(StubConnection stub) {
        List<OpenExchange> abandoned = new ArrayList<>(stub.openByStream.values());
        for (OpenExchange ex : abandoned) {
            ex.hasAnswer = true;
            ex.answerKind = Recorder.DISCONNECTED;
            ex.answeredAt = thread.now();
        }
        stub.openByStream.clear();
        closeIfDrained(stub);
        return abandoned;
    }

    /** The open exchange with this id, or null. */
    OpenExchange find(String id) {
        return exchangesById.get(id);
    }

    /** Deducts the bytes of its body from the total of all open exchanges. */
    void releaseBody(OpenExchange ex) {
        openBodyBytes.addAndGet(-ex.body.length);
    }

    void register(OpenExchange ex) {
        exchangesById.put(ex.id, ex);
        ex.stub.openByStream.put(ex.stream, ex);
        ex.stub.carriedExchange = true;
    }

    /** {@code frame} was built where the stream was not known; its stream id is filled in here. */
    void complete(OpenExchange ex, byte[] frame, long now) {
        if (!ex.hasAnswer) {
            Frames.setStream(frame, ex.stream);
            completed++;
            sendAnswer(ex, Recorder.COMPLETED, frame, now);
        }
    }

    /** {@code retryAfter} in tenths of a millisecond, 0 for none. */
    void deny(OpenExchange ex, long retryAfter, boolean noRetry, long now) {
        if (!ex.hasAnswer) {
            denied++;
            ex.retryAfter = retryAfter;
            ex.noRetry = noRetry;
            sendAnswer(ex, Recorder.DENIED, Frames.denied(ex.stream, (retryAfter + 9) / 10, noRetry), now);
        }
    }

    void terminate(OpenExchange ex, long now) {
        if (!ex.hasAnswer) {
            terminated++;
            sendAnswer(ex, Recorder.TERMINATED, Frames.terminated(ex.stream), now);
        }
    }

    /** Sends the single final answer of the exchange. */
    private void sendAnswer(OpenExchange ex, byte answerKind, byte[] frame, long now) {
        ex.hasAnswer = true;
        ex.answerKind = answerKind;
        ex.answeredAt = now;
        ex.stub.openByStream.remove(ex.stream);
        ex.stub.lastUsedAt = now;
        removeIfFinished(ex);
        ex.stub.connection.send(frame);
        closeIfDrained(ex.stub);
    }

    /** Removes the exchange once it has its answer and nothing more can come from a run of it. */
    void removeIfFinished(OpenExchange ex) {
        if (ex.hasAnswer && ex.isFinished() && exchangesById.remove(ex.id) != null) {
            releaseBody(ex);
            if (ex.mayHaveRun()) {
                recentRunIds.add(ex.id);
            }
            if (recorder != null) {
                record(ex);
            }
        }
    }

    /** Whether an exchange with this id may have run, which is no longer open. */
    boolean hasRecentRun(String id) {
        return recentRunIds.contains(id);
    }

    /** For an exchange that was answered before it was registered. */
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
            row.noRetry = ex.noRetry;
            recorder.put(row);
        }
    }

    List<OpenExchange> openExchanges() {
        return new ArrayList<>(exchangesById.values());
    }

    /** Exchanges that have started and not finished; needed only when gauges are recorded. */
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

    /** Connections that have carried an exchange and are not draining: the number that the controller uses. */
    int connectionsInUse() {
        int count = 0;
        for (StubConnection stub : connections) {
            count += stub.carriedExchange && !stub.draining ? 1 : 0;
        }
        return count;
    }

    void setIdleTime(long idleTime) {
        this.idleTime = idleTime;
    }

    /**
     * Closes connections that have been idle for longer than the controller allows, the longest idle first, and those
     * that have not sent a whole frame in time.
     */
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
                drainAndClose(stub);
            } else {
                closeConnection(stub, CloseReason.NO_FRAME);
            }
        }
    }

    /**
     * Whether bytes have arrived beyond the last whole frame. Unread ones may be a whole request, which this process
     * has not had time to read, however long the connection has been idle. Part of a request counts for a limited time
     * only, and for less on a connection that never sent a whole one, which has to be closed soon.
     */
    private boolean isReceiving(StubConnection stub, long allowedIdleTime, long now) {
        if (stub.connection.hasUnreadInput()) {
            return true;
        }
        long messageTime = stub.frameReceived ? limits.partialMessageTimeoutTenthsMs : limits.closeRaceWindowTenthsMs;
        return now - stub.lastUsedAt <= allowedIdleTime + messageTime && stub.connection.hasPartialMessage();
    }

    /** Asks the stub to close the connection: requests that cross this message are answered and not lost. */
    void drainAndClose(StubConnection stub) {
        drainConnection(stub);
        scheduleClose(thread.now() + limits.closeTimeoutTenthsMs, stub);
    }

    /** Closes the connection if the stub has not; waits again while an exchange is open or partly received. */
    private void scheduleClose(long dueAt, StubConnection stub) {
        thread.schedule(dueAt, () -> {
            if (connections.contains(stub) && stub.isIdle()
                    && !isReceiving(stub, limits.closeTimeoutTenthsMs, thread.now())) {
                closeConnection(stub, CloseReason.GO_AWAY_TIMEOUT);
            } else if (connections.contains(stub)) {
                scheduleClose(dueAt + limits.closeTimeoutTenthsMs, stub);
            }
        });
    }

    /**
     * Evicts the longest idle connections when the table is full, rather than refusing new ones: a new connection
     * brings an exchange, while one that has long been idle may never bring another. A connection that was used within
     * the close race window is not evicted. The stub is asked to close first; a connection is closed at once only if
     * the next one can't be accepted otherwise, and then those already asked go first. {@code connectionCount} is the
     * current number of all connections, including closed ones that linger.
     */
    void evictIdleConnections(int connectionCount) {
        long now = thread.now();
        long usedBefore = now - limits.closeRaceWindowTenthsMs;
        int notDraining = 0;
        for (StubConnection stub : connections) {
            notDraining += stub.draining ? 0 : 1;
        }
        while (notDraining > limits.targetConnections) {
            StubConnection evictee = longestIdleConnection(usedBefore, false);
            if (evictee == null) {
                break;
            }
            notDraining--;
            evicted++;
            if (evictee.frameReceived) {
                drainAndClose(evictee);
            } else {
                closeConnection(evictee, CloseReason.EVICTED);
            }
        }
        lingering.removeIf(stub -> stub.connection.isClosed());
        int freeSlots = limits.maxConnections - connectionCount;
        for (StubConnection stub : List.copyOf(lingering)) {
            // During a burst lingering connections would fill the table and keep new ones waiting.
            if (connectionCount > limits.targetConnections && stub.closedAt < usedBefore) {
                stub.connection.abort();
                lingering.remove(stub);
                freeSlots++;
            }
        }
        // A descriptor is free only once lingering has ended, so a few more are evicted than are needed right now.
        while (freeSlots < 1 && lingering.size() < limits.maxConcurrentEvictions) {
            StubConnection evictee = longestIdleConnection(usedBefore, true);
            if (evictee == null) {
                return;
            }
            evicted += evictee.draining ? 0 : 1;
            closeConnection(evictee, CloseReason.EVICTED);
        }
    }

    /** With {@code includeDraining}, connections that already drain are preferred. Null if none qualifies. */
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

    private void closeConnection(StubConnection stub, CloseReason reason) {
        if (LOG.isLoggable(System.Logger.Level.DEBUG)) {
            LOG.log(System.Logger.Level.DEBUG, "closing a connection: {0}, last used {1} ms ago, go-away sent {2}, "
                    + "frames received {3}, input left {4}, {5} connections", reason,
                    (thread.now() - stub.lastUsedAt) / 10, stub.draining, stub.frameReceived,
                    stub.connection.isReceiving(), connections.size());
        }
        stub.closed = true;
        stub.closedAt = thread.now();
        connections.remove(stub);
        if (stub.frameReceived || stub.readEnded) {
            stub.connection.close();
        } else {
            // It has no answer to receive, and hundreds of lingering ones would cost what the others need.
            stub.connection.abort();
        }
        if (!stub.connection.isClosed()) {
            lingering.add(stub);
            scheduleAbort(stub.closedAt + limits.closeTimeoutTenthsMs, stub);
        }
    }

    /** Bounds the wait for a peer that never closes its side or does not read its answers. */
    private void scheduleAbort(long dueAt, StubConnection stub) {
        thread.schedule(dueAt, () -> {
            if (stub.connection.isHalfClosed() || dueAt - stub.closedAt >= limits.slowReaderTimeoutTenthsMs) {
                stub.connection.abort();
                lingering.remove(stub);
            } else {
                scheduleAbort(dueAt + limits.closeTimeoutTenthsMs, stub);
            }
        });
    }

    /** Tells all stubs, and those of later connections, that no new exchange is accepted on their connection. */
    void drainConnections() {
        connectionsDraining = true;
        for (StubConnection stub : connections) {
            drainConnection(stub);
        }
    }

    void closeAllConnections() {
        for (StubConnection stub : connections) {
            stub.connection.close();
        }
    }

    /** Whether the end of the stream has been sent on every connection, and thus all answers before it. */
    boolean isAllFlushed() {
        return connections.stream().allMatch(stub -> stub.connection.isHalfClosed() || stub.connection.isClosed())
                && lingering.stream().allMatch(stub -> stub.connection.isHalfClosed() || stub.connection.isClosed());
    }

    private void drainConnection(StubConnection stub) {
        if (!stub.draining) {
            stub.draining = true;
            stub.connection.send(Frames.goAway());
        }
    }

    private void closeIfDrained(StubConnection stub) {
        if (stub.readEnded && stub.openByStream.isEmpty() && connections.contains(stub)) {
            closeConnection(stub, CloseReason.INPUT_ENDED);
        }
    }
}
