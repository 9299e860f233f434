package vetchrill.transport;

import static org.testng.Assert.assertTrue;
import static vetchrill.StandIns.soon;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import org.testng.annotations.Test;

@Test
public class WorkersTest {
    private final Limits limits = new Limits(64 << 20, 512);

    private static Job job(Runnable once) {
        return new Job() {
            @Override
            public boolean step() {
                once.run();
                return false;
            }

            @Override
            public Pipe pipe() {
                return null;
            }
        };
    }

    public void connectionsThatComeAndGoShareTheThreadsOfThoseBefore() {
        Workers workers = new Workers("kept", 2, limits);
        Set<Thread> used = ConcurrentHashMap.newKeySet();
        LinkedBlockingQueue<Thread> ran = new LinkedBlockingQueue<>();
        for (int i = 0; i < 200; i++) {
            workers.give(job(() -> {
                used.add(Thread.currentThread());
                ran.add(Thread.currentThread());
            }));
            soon(ran, "job " + i);
        }
        assertTrue(used.size() <= 4, used.size() + " threads for one job at a time");
    }

    public void jobsThatLastForEverKeepNoOtherWaiting() {
        Workers workers = new Workers("held", 2, limits);
        CountDownLatch never = new CountDownLatch(1);
        LinkedBlockingQueue<Integer> begun = new LinkedBlockingQueue<>();
        for (int i = 0; i < 50; i++) {
            int number = i;
            workers.give(job(() -> {
                begun.add(number);
                try {
                    never.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }));
        }
        for (int i = 0; i < 50; i++) {
            soon(begun, "job " + i);
        }
        never.countDown();
    }
}
