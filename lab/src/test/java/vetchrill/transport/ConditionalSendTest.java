package vetchrill.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.Test;

/** A conditional message queued behind a slow write is checked again before it is written. */
@Test
public class ConditionalSendTest {
    private static final Limits LIMITS = new Limits(64 << 20, 64);

    public void dropsOnlyMessagesWhoseConditionNoLongerHolds() throws Exception {
        CountDownLatch allowWrites = new CountDownLatch(1);
        CountDownLatch allWritten = new CountDownLatch(3);
        List<String> written = new CopyOnWriteArrayList<>();
        DuplexChannel channel = new DuplexChannel() {
            @Override
            public int read(byte[] buf, int from, int size) {
                return -1;
            }

            @Override
            public void write(byte[] buf, int from, int size) {
                try {
                    allowWrites.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                written.add(new String(buf, from, size));
                allWritten.countDown();
            }

            @Override
            public void shutdownOutput() {
            }

            @Override
            public void close() {
            }
        };
        AtomicLong unsent = new AtomicLong();
        Connection connection = new Connection(channel, LIMITS, new WorkerPool("r", 1, LIMITS),
                new WorkerPool("w", 1, LIMITS), unsent, () -> { });
        AtomicBoolean valid = new AtomicBoolean(true);
        CountDownLatch dropped = new CountDownLatch(1);
        connection.send("first".getBytes());
        connection.send("still".getBytes(), () -> true, () -> { });
        connection.send("no more".getBytes(), valid::get, dropped::countDown);
        connection.send("last".getBytes());
        Thread.sleep(50);
        valid.set(false);
        allowWrites.countDown();
        assertTrue(dropped.await(10, TimeUnit.SECONDS));
        assertTrue(allWritten.await(10, TimeUnit.SECONDS));
        assertEquals(String.join(" ", written), "first still last");
        for (int i = 0; i < 100 && unsent.get() > 0; i++) {
            Thread.sleep(10);
        }
        assertEquals(unsent.get(), 0);
    }
}
