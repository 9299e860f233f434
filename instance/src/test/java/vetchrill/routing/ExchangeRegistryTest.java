package vetchrill.routing;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.Test;
import vetchrill.transport.Connection;
import vetchrill.transport.DuplexChannel;
import vetchrill.transport.Limits;

@Test
public class ExchangeRegistryTest {
    private static final long SECOND_TENTHS_MS = 10_000;
    private static final int MEMORY_BYTES = 64 << 20;
    private static final int DESCRIPTORS = 64;

    private final Limits limits = new Limits(MEMORY_BYTES, DESCRIPTORS);

    /** A channel whose reader has not run yet, and that may hold a request. */
    private record UnreadChannel(boolean hasUnread) implements DuplexChannel {
        @Override
        public int read(byte[] buf, int from, int size) {
            throw new IllegalStateException("nothing is read in this test");
        }

        @Override
        public void write(byte[] buf, int from, int size) {
        }

        @Override
        public void shutdownOutput() {
        }

        @Override
        public void close() {
        }
    }

    /** Guards against requests that are lost as their new connections are evicted before this process reads them. */
    public void connectionWithUnreadInputIsNotEvicted() {
        long[] now = {0};
        Clock clock = new Clock(() -> 0, () -> now[0] * 100_000);
        ExchangeRegistry registry = new ExchangeRegistry(limits, new DecisionThread(clock, limits), new AtomicLong(),
                10 * SECOND_TENTHS_MS, null);
        List<StubConnection> silent = new ArrayList<>();
        List<StubConnection> withRequest = new ArrayList<>();
        for (int i = 0; i < limits.hardMaxConnections; i++) {
            withRequest.add(connection(clock, true));
            silent.add(connection(clock, false));
            registry.onConnectionOpened(withRequest.get(i), 2 * i + 1);
            registry.onConnectionOpened(silent.get(i), 2 * i + 2);
        }
        for (int i = 0; i < 5; i++) {
            now[0] += SECOND_TENTHS_MS;
            registry.evictIdleConnections(2 * limits.hardMaxConnections);
            registry.closeIdleConnections(now[0]);
        }
        assertTrue(silent.stream().allMatch(each -> each.closed), "those that say nothing are closed");
        assertFalse(withRequest.stream().anyMatch(each -> each.closed), "none with a request is");
    }

    private StubConnection connection(Clock clock, boolean hasUnread) {
        Connection connection = new Connection(new UnreadChannel(hasUnread), limits, task -> { }, task -> { },
                new AtomicLong(), () -> { });
        return new StubConnection(connection, limits, clock.now());
    }
}
