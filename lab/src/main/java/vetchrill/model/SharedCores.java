package vetchrill.model;

import java.util.PriorityQueue;

/**
 * The cores of one machine under processor sharing: n jobs each get the share min(1, cores / n) of a core, and past a
 * threshold of jobs per core all of them become slower. It has no clock and no thread: its owner passes the time, in
 * tenths of a millisecond, so that the simulation and the fake interpreter, which runs in real time, share it.
 */
public final class SharedCores {
    /** Contention does not make the cores slower than this share of their speed. */
    private static final double MIN_SPEED_RATIO = 0.1;

    /** Tolerance in the comparison of core times, for rounding errors of their sums. */
    private static final double CORE_TIME_TOLERANCE_TENTHS_MS = 1e-6;

    /** A job that needs core time. */
    public static class Job implements Comparable<Job> {
        /** Value of {@link #servicePerJob} at which the job has had its core time. */
        private double endsAtService;
        private long sequence;

        @Override
        public final int compareTo(Job other) {
            int order = Double.compare(endsAtService, other.endsAtService);
            return order != 0 ? order : Long.compare(sequence, other.sequence);
        }
    }

    private final int cores;
    private final double contentionThreshold;
    private final double contentionLoss;
    private final PriorityQueue<Job> jobs = new PriorityQueue<>();
    private double speed;
    /** Core time that a job present since the start would have had. */
    private double servicePerJob;
    private long advancedTo;
    private long jobsAdded;
    private double busyTimeSum;
    private double jobTimeSum;

    public SharedCores(int cores, double speed, double contentionThreshold, double contentionLoss, long now) {
        this.cores = cores;
        this.speed = speed;
        this.contentionThreshold = contentionThreshold;
        this.contentionLoss = contentionLoss;
        advancedTo = now;
    }

    /** Returns the share of a core that each of {@code n} jobs gets on cores of speed 1, less what contention takes. */
    public static double coreShare(int n, int cores, double contentionThreshold, double contentionLoss) {
        if (n == 0) {
            return 0;
        }
        double perCore = n / (double) cores;
        double speedRatio = perCore <= contentionThreshold ? 1 : Math.max(MIN_SPEED_RATIO,
                1 / (1 + contentionLoss * (perCore - contentionThreshold)));
        return Math.min(1, 1 / perCore) * speedRatio;
    }

    private double rate() {
        return speed * coreShare(jobs.size(), cores, contentionThreshold, contentionLoss);
    }

    /** Updates the sums up to {@code now}; called before any change. */
    private void advance(long now) {
        if (now > advancedTo) {
            int n = jobs.size();
            servicePerJob += rate() * (now - advancedTo);
            busyTimeSum += Math.min(1, n / (double) cores) * (now - advancedTo);
            jobTimeSum += n * (double) (now - advancedTo);
            advancedTo = now;
        }
    }

    /** Starts a job that needs {@code coreTime} on a core of speed 1. */
    public void add(Job job, double coreTime, long now) {
        advance(now);
        job.endsAtService = servicePerJob + coreTime;
        job.sequence = jobsAdded++;
        jobs.add(job);
    }

    /** Changes the speed, of a machine that warms up or is slowed down. */
    public void setSpeed(double speed, long now) {
        advance(now);
        this.speed = speed;
    }

    /** Removes and returns a job that has ended by now, or null; to be called until it returns null. */
    public Job pollFinished(long now) {
        advance(now);
        Job first = jobs.peek();
        if (first == null || first.endsAtService > servicePerJob + CORE_TIME_TOLERANCE_TENTHS_MS) {
            return null;
        }
        jobs.poll();
        return first;
    }

    /** Returns when the next job ends if nothing changes; Long.MAX_VALUE if there is none. */
    public long nextEnd(long now) {
        advance(now);
        Job first = jobs.peek();
        if (first == null) {
            return Long.MAX_VALUE;
        }
        return now + Math.max(1,
                (long) Math.ceil((first.endsAtService - servicePerJob - CORE_TIME_TOLERANCE_TENTHS_MS) / rate()));
    }

    /** Returns the number of jobs. */
    public int size() {
        return jobs.size();
    }

    /** Returns the busy share of the cores integrated over the time since the start. */
    public double busyTime(long now) {
        advance(now);
        return busyTimeSum;
    }

    /** Returns the number of jobs integrated over the time since the start. */
    public double jobTime(long now) {
        advance(now);
        return jobTimeSum;
    }
}
