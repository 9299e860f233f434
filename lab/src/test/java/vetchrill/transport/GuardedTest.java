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

/** A message that must not go out once something no longer holds, behind a peer that is slow to read. */
@Test
public class GuardedTest {
    private static final Limits LIMITS = new Limits(64 << 20, 64);

    public void whatNoLongerHoldsIsNotWrittenAndTheRestIs() throws Exception {
        CountDownLatch held = new CountDownLatch(1);
        CountDownLatch all = new CountDownLatch(3);
        List<String> written = new CopyOnWriteArrayList<>();
        Pipe pipe = new Pipe() {
            @Override
            public int read(byte[] buf, int from, int size) {
                return -1;
            }

            @Override
            public void write(byte[] buf, int from, int size) {
                try {
                    held.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                written.add(new String(buf, from, size));
                all.countDown();
            }

            @Override
            public void shutdownOutput() {
            }

            @Override
            public void close() {
            }
        };
        AtomicLong unsent = new AtomicLong();
        Connection connection = new Connection(pipe, LIMITS, new Workers("r", 1, LIMITS), new Workers("w", 1, LIMITS),
                unsent, () -> { });
        AtomicBoolean holds = new AtomicBoolean(true);
        CountDownLatch dropped = new CountDownLatch(1);
        connection.send("first".getBytes());
        connection.send("still".getBytes(), () -> true, () -> { });
        connection.send("no more".getBytes(), holds::get, dropped::countDown);
        connection.send("last".getBytes());
        Thread.sleep(50);
        holds.set(false);
        held.countDown();
        assertTrue(dropped.await(10, TimeUnit.SECONDS));
        assertTrue(all.await(10, TimeUnit.SECONDS));
        assertEquals(String.join(" ", written), "first still last");
        for (int i = 0; i < 100 && unsent.get() > 0; i++) {
            Thread.sleep(10);
        }
        assertEquals(unsent.get(), 0);
    }
}
