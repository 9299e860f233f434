package vetchrill.model;

import java.util.PriorityQueue;

/**
 * The cores of one machine, shared alike by all that wants one: n jobs each get the part min(1, cores / n) of a core,
 * and past a crowd the whole gets slower. No clock and no thread of its own: whoever owns it says what time it is, in
 * tenths of a millisecond, so that the model and the stand-in of real time share it.
 */
public final class SharedCores {
    /** Slowest that a crowd makes the cores. */
    private static final double MIN_SPEED_RATIO = 0.1;

    /** Something that wants core time. */
    public static class Job implements Comparable<Job> {
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
    /** Core time that each job present from the start on would have got. */
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

    /** The part of a core that each of {@code n} jobs gets on cores of speed 1. */
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

    private void advance(long now) {
        if (now > advancedTo) {
            int n = jobs.size();
            servicePerJob += rate() * (now - advancedTo);
            busyTimeSum += Math.min(1, n / (double) cores) * (now - advancedTo);
            jobTimeSum += n * (double) (now - advancedTo);
            advancedTo = now;
        }
    }

    public void add(Job job, double coreTime, long now) {
        advance(now);
        job.endsAtService = servicePerJob + coreTime;
        job.sequence = jobsAdded++;
        jobs.add(job);
    }

    /** Another speed from now on: of a cold or a slowed machine. */
    public void setSpeed(double speed, long now) {
        advance(now);
        this.speed = speed;
    }

    /** A job that has what it wants by now, or null; to be asked again until null. */
    public Job pollFinished(long now) {
        advance(now);
        Job first = jobs.peek();
        if (first == null || first.endsAtService > servicePerJob + 1e-6) {
            return null;
        }
        jobs.poll();
        return first;
    }

    /** When the next job ends if nothing changes; Long.MAX_VALUE for never. */
    public long nextEnd(long now) {
        advance(now);
        Job first = jobs.peek();
        if (first == null) {
            return Long.MAX_VALUE;
        }
        return now + Math.max(1, (long) Math.ceil((first.endsAtService - servicePerJob - 1e-6) / rate()));
    }

    public int size() {
        return jobs.size();
    }

    /** Time in which all cores would have been as busy as they were, since the start; its growth is the cpu share. */
    public double busyTime(long now) {
        advance(now);
        return busyTimeSum;
    }

    /** The sum over time of jobs that wanted a core, since the start. */
    public double jobTime(long now) {
        advance(now);
        return jobTimeSum;
    }
}
