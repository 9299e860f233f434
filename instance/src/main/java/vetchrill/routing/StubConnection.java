package vetchrill.routing;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import vetchrill.transport.Connection;

/** One connection of a client stub, as the decision thread knows it. */
final class StubConnection {
    final Connection connection;
    final Map<Integer, OpenExchange> openByStream = new LinkedHashMap<>();
    /** Exchanges that were read from it and have not come to the decision thread. */
    final AtomicInteger queuedArrivals = new AtomicInteger();
    /** What it did that no stub does; past a few of them nothing more is read from it. */
    final AtomicInteger violations = new AtomicInteger();
    /** When the last whole frame was read or the last answer given; its accept before either. */
    volatile long lastUsedAt;
    /** A whole frame has come. */
    volatile boolean frameReceived;
    /** It carried an exchange; one for health checks is idle between any two of them. */
    boolean carriedExchange;
    /** It was told that nothing new is taken. */
    boolean draining;
    /** Nothing more is read from it. */
    boolean readEnded;
    /** Closed by this side: what still arrives is not to be run, as its stub sends it elsewhere. */
    boolean closed;
    long closedAt;

    StubConnection(Connection connection, long now) {
        this.connection = connection;
        lastUsedAt = now;
    }

    /** On the reader's thread: a whole frame has come. */
    void onFrame(long now) {
        lastUsedAt = now;
        frameReceived = true;
    }

    boolean isIdle() {
        return openByStream.isEmpty() && queuedArrivals.get() == 0;
    }
}
