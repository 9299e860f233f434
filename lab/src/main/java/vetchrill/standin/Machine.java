package vetchrill.standin;

import java.io.Closeable;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import vetchrill.fleet.Fleet.Kind;
import vetchrill.model.Cores;

/** The cores of one relay's machine in real time: work takes as long as it would there, with nothing computed. */
final class Machine implements Closeable {
    private static final class Task extends Cores.Job {
        final Runnable then;

        Task(Runnable then) {
            this.then = then;
        }
    }

    private final Kind kind;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private final Thread thread = Peers.daemon("machine", this::keep);
    private Cores cores;
    private boolean closed;
    private boolean cold;
    private long born;
    private double slowed = 1;
    private double busyBefore;
    private long lookedAt;

    Machine(Kind kind) {
        this.kind = kind;
        start(false);
        thread.start();
    }

    private static long now() {
        return System.nanoTime() / 100_000;
    }

    /** From nothing: what it was at is forgotten. */
    void start(boolean cold) {
        lock.lock();
        try {
            this.cold = cold;
            born = now();
            cores = new Cores(kind.cores(), speed(), kind.crowdFrom(), kind.crowdLoss(), born);
            busyBefore = 0;
            lookedAt = born;
            changed.signal();
        } finally {
            lock.unlock();
        }
    }

    private double speed() {
        double warm = !cold || kind.warmUp() <= 0 ? 1
                : Math.min(1, kind.coldShare() + (1 - kind.coldShare()) * (now() - born) / (double) kind.warmUp());
        return kind.speed() * warm / slowed;
    }

    void slow(double factor) {
        lock.lock();
        try {
            slowed = factor;
            cores.pace(speed(), now());
            changed.signal();
        } finally {
            lock.unlock();
        }
    }

    /** {@code then} is called on the machine's thread once it has got so much core time, in tenths of a millisecond. */
    void work(double work, Runnable then) {
        lock.lock();
        try {
            cores.add(new Task(then), Math.max(0.1, work), now());
            changed.signal();
        } finally {
            lock.unlock();
        }
    }

    /** The cpu share since it was asked last, and the jobs that want a core. */
    double[] gauges() {
        lock.lock();
        try {
            long now = now();
            cores.pace(speed(), now);
            double busy = cores.busyTime(now);
            double cpu = now > lookedAt ? (busy - busyBefore) / (now - lookedAt) : 0;
            busyBefore = busy;
            lookedAt = now;
            return new double[] {cpu, cores.size()};
        } finally {
            lock.unlock();
        }
    }

    private void keep() {
        try {
            while (true) {
                Task ended;
                lock.lock();
                try {
                    while (true) {
                        if (closed) {
                            return;
                        }
                        long now = now();
                        ended = (Task) cores.ended(now);
                        if (ended != null) {
                            break;
                        }
                        long next = cores.nextEnd(now);
                        long wait = next == Long.MAX_VALUE ? 1_000_000_000L
                                : next * 100_000 - System.nanoTime();
                        if (wait > 0) {
                            changed.awaitNanos(wait);
                        }
                    }
                } finally {
                    lock.unlock();
                }
                ended.then.run();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        lock.lock();
        try {
            closed = true;
            changed.signal();
        } finally {
            lock.unlock();
        }
    }
}
