package vetchrill.routing;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import vetchrill.transport.Connection;
import vetchrill.transport.Limits;

/** State of one connection of a client stub. Owned by the decision thread, except for what is atomic or volatile. */
final class StubConnection {
    final Connection connection;
    final Map<Integer, OpenExchange> openByStream = new LinkedHashMap<>();
    /** Exchanges that were read from it and still wait for the decision thread. */
    final AtomicInteger queuedArrivals = new AtomicInteger();
    final InputBudget inputBudget;
    /** When the last whole frame was read or the last answer sent; at first, when it was accepted. */
    volatile long lastUsedAt;
    /** A whole frame has been received. */
    volatile boolean frameReceived;
    /** It has carried an exchange; connections for health checks have not, and are idle between checks. */
    boolean carriedExchange;
    /** Its stub was told that no new exchange is accepted on it. */
    boolean draining;
    /** Nothing more is read from it. */
    boolean readEnded;
    /** Closed by this side. What still arrives must not run, since the stub sends it elsewhere. */
    boolean closed;
    long closedAt;

    StubConnection(Connection connection, Limits limits, long now) {
        this.connection = connection;
        inputBudget = new InputBudget(limits, now);
        lastUsedAt = now;
    }

    /** A whole frame was received. On the reader's thread. */
    void onFrame(long now) {
        lastUsedAt = now;
        frameReceived = true;
    }

    /** Whether no exchange is open or on its way to the decision thread. */
    boolean isIdle() {
        return openByStream.isEmpty() && queuedArrivals.get() == 0;
    }
}
