package vetchrill.routing;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;
import vetchrill.control.EndpointGroup;
import vetchrill.transport.Limits;

@Test
public class IdempotencyCacheTest {
    private static final long WINDOW_TENTHS_MS = 300_000;
    private static final int MEMORY_BYTES = 64 << 20;
    private static final int DESCRIPTORS = 512;

    /** Guards against a heap full of expiry timers while a client sends rejected exchanges without a pause. */
    public void droppedKeyLeavesNoTimer() {
        Limits limits = new Limits(MEMORY_BYTES, DESCRIPTORS);
        DecisionThread thread = new DecisionThread(new Clock(() -> 0, () -> 0), limits);
        IdempotencyCache cache = new IdempotencyCache(limits, thread, null, null);
        for (int i = 0; i < 1000; i++) {
            OpenExchange ex = exchange("token" + i);
            cache.storeKey(ex, WINDOW_TENTHS_MS);
            cache.dropKey(ex);
        }
        assertEquals(cache.keyCount(), 0);
        assertEquals(thread.timerCount(), 0);
    }

    private static OpenExchange exchange(String token) {
        OpenExchange ex = new OpenExchange("00000000000000aa", "pay", null, 1, new byte[0]);
        ex.group = new EndpointGroup();
        ex.idempotencyKey = new IdempotencyCache.Key(0, 0, token, ex.body);
        return ex;
    }
}
