package vetchrill.routing;

import java.util.LinkedHashMap;
import java.util.Map;
import vetchrill.transport.Connection;

/** One connection of a client stub, as the decision thread knows it. */
final class Stub {
    final Connection connection;
    final Map<Integer, Open> open = new LinkedHashMap<>();
    long lastUsed;
    /** It carried an exchange; one for health checks is never closed for being idle. */
    boolean carried;
    /** It was told that nothing new is taken. */
    boolean closing;
    /** Nothing more is read from it. */
    boolean ended;

    Stub(Connection connection, long now) {
        this.connection = connection;
        lastUsed = now;
    }
}
