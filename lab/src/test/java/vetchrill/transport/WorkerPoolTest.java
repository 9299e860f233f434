package vetchrill.transport;

import static org.testng.Assert.assertTrue;
import static vetchrill.InstanceRig.awaitNext;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import org.testng.annotations.Test;

@Test
public class WorkerPoolTest {
    private final Limits limits = new Limits(64 << 20, 512);

    private static IoTask task(Runnable action) {
        return new IoTask() {
            @Override
            public boolean step() {
                action.run();
                return false;
            }

            @Override
            public DuplexChannel channel() {
                return null;
            }
        };
    }

    public void reusesIdleThreads() {
        WorkerPool pool = new WorkerPool("kept", 2, limits);
        Set<Thread> threadsUsed = ConcurrentHashMap.newKeySet();
        LinkedBlockingQueue<Thread> ranOn = new LinkedBlockingQueue<>();
        for (int i = 0; i < 200; i++) {
            pool.execute(task(() -> {
                threadsUsed.add(Thread.currentThread());
                ranOn.add(Thread.currentThread());
            }));
            awaitNext(ranOn, "task " + i);
        }
        assertTrue(threadsUsed.size() <= 4, threadsUsed.size() + " threads for one task at a time");
    }

    public void blockedTasksDoNotDelayOthers() {
        WorkerPool pool = new WorkerPool("held", 2, limits);
        CountDownLatch release = new CountDownLatch(1);
        LinkedBlockingQueue<Integer> started = new LinkedBlockingQueue<>();
        for (int i = 0; i < 50; i++) {
            int number = i;
            pool.execute(task(() -> {
                started.add(number);
                try {
                    release.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }));
        }
        for (int i = 0; i < 50; i++) {
            awaitNext(started, "task " + i);
        }
        release.countDown();
    }
}
