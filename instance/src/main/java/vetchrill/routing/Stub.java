package vetchrill.routing;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import vetchrill.transport.Connection;

/** One connection of a client stub, as the decision thread knows it. */
final class Stub {
    final Connection connection;
    final Map<Integer, Open> open = new LinkedHashMap<>();
    /** Exchanges that were read from it and have not come to the decision thread. */
    final AtomicInteger onTheWay = new AtomicInteger();
    /** What it did that no stub does; past a few of them nothing more is read from it. */
    final AtomicInteger strikes = new AtomicInteger();
    /** When the last whole frame was read or the last answer given; its accept before either. */
    volatile long lastUsed;
    /** A whole frame has come. */
    volatile boolean heard;
    /** It carried an exchange; one for health checks is idle between any two of them. */
    boolean carried;
    /** It was told that nothing new is taken. */
    boolean closing;
    /** Nothing more is read from it. */
    boolean ended;
    /** Closed by this side: what still arrives is not to be run, as its stub sends it elsewhere. */
    boolean closed;
    long closedAt;

    Stub(Connection connection, long now) {
        this.connection = connection;
        lastUsed = now;
    }

    /** On the reader's thread: a whole frame has come. */
    void hears(long now) {
        lastUsed = now;
        heard = true;
    }

    boolean idle() {
        return open.isEmpty() && onTheWay.get() == 0;
    }
}
