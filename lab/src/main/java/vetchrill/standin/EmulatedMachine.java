package vetchrill.standin;

import java.io.Closeable;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import vetchrill.fleet.Fleet.MachineKind;
import vetchrill.model.SharedCores;

/**
 * Emulates the cores of an instance's machine in real time: a job completes after as long as it would take there, but
 * nothing is computed. Times are in tenths of a millisecond.
 */
final class EmulatedMachine implements Closeable {
    private static final long NANOS_PER_TENTH_MS = 100_000;
    private static final long IDLE_WAIT_NANOS = 1_000_000_000L;
    private static final double MIN_CORE_TIME_TENTHS_MS = 0.1;

    private static final class PendingJob extends SharedCores.Job {
        final Runnable onComplete;

        PendingJob(Runnable onComplete) {
            this.onComplete = onComplete;
        }
    }

    private final MachineKind kind;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition stateChanged = lock.newCondition();
    private final Thread thread = LoopbackServers.daemonThread("machine", this::completeJobs);
    private SharedCores cores;
    private boolean closed;
    private boolean cold;
    private long startedAt;
    private double slowdown = 1;
    private double lastBusyTime;
    private long lastSampleAt;

    EmulatedMachine(MachineKind kind) {
        this.kind = kind;
        restart(false);
        thread.start();
    }

    private static long now() {
        return System.nanoTime() / NANOS_PER_TENTH_MS;
    }

    /** Discards all jobs and starts again, cold or warm. */
    void restart(boolean cold) {
        lock.lock();
        try {
            this.cold = cold;
            startedAt = now();
            cores = new SharedCores(kind.cores(), currentSpeed(), kind.contentionThreshold(), kind.contentionLoss(),
                    startedAt);
            lastBusyTime = 0;
            lastSampleAt = startedAt;
            stateChanged.signal();
        } finally {
            lock.unlock();
        }
    }

    private double currentSpeed() {
        double warmUpRatio = !cold || kind.warmUpTime() <= 0 ? 1
                : Math.min(1, kind.coldSpeedRatio() + (1 - kind.coldSpeedRatio()) * (now() - startedAt)
                / (double) kind.warmUpTime());
        return kind.speed() * warmUpRatio / slowdown;
    }

    /** Divides the speed of the cores by {@code factor}. */
    void setSlowdown(double factor) {
        lock.lock();
        try {
            slowdown = factor;
            cores.setSpeed(currentSpeed(), now());
            stateChanged.signal();
        } finally {
            lock.unlock();
        }
    }

    /** Calls {@code onComplete} on the machine's thread once the job has received {@code coreTime}. */
    void execute(double coreTime, Runnable onComplete) {
        lock.lock();
        try {
            cores.add(new PendingJob(onComplete), Math.max(MIN_CORE_TIME_TENTHS_MS, coreTime), now());
            stateChanged.signal();
        } finally {
            lock.unlock();
        }
    }

    /** Returns the CPU utilization since the last call and the number of jobs that run or wait for a core. */
    double[] sampleGauges() {
        lock.lock();
        try {
            long now = now();
            cores.setSpeed(currentSpeed(), now);
            double busyTime = cores.busyTime(now);
            double cpuShare = now > lastSampleAt ? (busyTime - lastBusyTime) / (now - lastSampleAt) : 0;
            lastBusyTime = busyTime;
            lastSampleAt = now;
            return new double[] {cpuShare, cores.size()};
        } finally {
            lock.unlock();
        }
    }

    private void completeJobs() {
        try {
            while (true) {
                PendingJob finished;
                lock.lock();
                try {
                    while (true) {
                        if (closed) {
                            return;
                        }
                        long now = now();
                        finished = (PendingJob) cores.pollFinished(now);
                        if (finished != null) {
                            break;
                        }
                        long nextFinish = cores.nextEnd(now);
                        long waitNanos = nextFinish == Long.MAX_VALUE ? IDLE_WAIT_NANOS
                                : nextFinish * NANOS_PER_TENTH_MS - System.nanoTime();
                        if (waitNanos > 0) {
                            stateChanged.awaitNanos(waitNanos);
                        }
                    }
                } finally {
                    lock.unlock();
                }
                finished.onComplete.run();
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
            stateChanged.signal();
        } finally {
            lock.unlock();
        }
    }
}
