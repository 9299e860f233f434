package vetchrill.model;

import java.util.PriorityQueue;

/**
 * The cores of one machine, shared alike by all that wants one: n jobs each get the part min(1, cores / n) of a core,
 * and past a crowd the whole gets slower. No clock and no thread of its own: whoever owns it says what time it is, in
 * tenths of a millisecond, so that the model and the stand-in of real time share it.
 */
public final class Cores {
    /** Slowest that a crowd makes the cores. */
    private static final double LEAST = 0.1;

    /** Something that wants core time. */
    public static class Job implements Comparable<Job> {
        private double endsAt;
        private long number;

        @Override
        public final int compareTo(Job other) {
            int by = Double.compare(endsAt, other.endsAt);
            return by != 0 ? by : Long.compare(number, other.number);
        }
    }

    private final int cores;
    private final double crowdFrom;
    private final double crowdLoss;
    private final PriorityQueue<Job> jobs = new PriorityQueue<>();
    private double pace;
    /** Core time that each job present from the start on would have got. */
    private double given;
    private long at;
    private long numbered;
    private double busy;
    private double wanting;

    public Cores(int cores, double pace, double crowdFrom, double crowdLoss, long now) {
        this.cores = cores;
        this.pace = pace;
        this.crowdFrom = crowdFrom;
        this.crowdLoss = crowdLoss;
        at = now;
    }

    /** The part of a core that each of {@code n} jobs gets on cores of speed 1. */
    public static double part(int n, int cores, double crowdFrom, double crowdLoss) {
        if (n == 0) {
            return 0;
        }
        double perCore = n / (double) cores;
        double speed = perCore <= crowdFrom ? 1 : Math.max(LEAST, 1 / (1 + crowdLoss * (perCore - crowdFrom)));
        return Math.min(1, 1 / perCore) * speed;
    }

    private double rate() {
        return pace * part(jobs.size(), cores, crowdFrom, crowdLoss);
    }

    private void advance(long now) {
        if (now > at) {
            int n = jobs.size();
            given += rate() * (now - at);
            busy += Math.min(1, n / (double) cores) * (now - at);
            wanting += n * (double) (now - at);
            at = now;
        }
    }

    public void add(Job job, double work, long now) {
        advance(now);
        job.endsAt = given + work;
        job.number = numbered++;
        jobs.add(job);
    }

    /** Another speed from now on: of a cold or a slowed machine. */
    public void pace(double pace, long now) {
        advance(now);
        this.pace = pace;
    }

    /** A job that has what it wants by now, or null; to be asked again until null. */
    public Job ended(long now) {
        advance(now);
        Job first = jobs.peek();
        if (first == null || first.endsAt > given + 1e-6) {
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
        return now + Math.max(1, (long) Math.ceil((first.endsAt - given - 1e-6) / rate()));
    }

    public int size() {
        return jobs.size();
    }

    /** Time in which all cores would have been as busy as they were, since the start; its growth is the cpu share. */
    public double busyTime(long now) {
        advance(now);
        return busy;
    }

    /** The sum over time of jobs that wanted a core, since the start. */
    public double wantingTime(long now) {
        advance(now);
        return wanting;
    }
}
