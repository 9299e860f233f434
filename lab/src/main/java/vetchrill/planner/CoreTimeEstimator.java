package vetchrill.planner;

import java.util.Arrays;
import vetchrill.capture.Capture;
import vetchrill.fleet.Fleet.MachineKind;
import vetchrill.model.SharedCores;

/**
 * Estimates the core time that each reading and run of one instance received, from their start and end times: cores
 * are shared equally, so the number of runnable jobs at each moment gives the speed of each job. The inverse of
 * {@link SharedCores}.
 */
final class CoreTimeEstimator {
    /** Start and end times of jobs in order; {@link #jobDeltas} holds +1 for a start and -1 for an end. */
    private final long[] eventTimes;
    private final byte[] jobDeltas;
    private final long readLatency;
    private final int cores;
    private final double speed;
    private final int[] runnableJobs;
    private final double[] cumulativeCoreTime;

    /**
     * @param readLatency the part of each reading during which it waits for the program rather than for a core, in
     *        tenths of a millisecond
     */
    CoreTimeEstimator(Capture capture, MachineKind kind, long readLatency) {
        this.readLatency = readLatency;
        cores = kind.cores();
        speed = kind.speed();
        int eventCount = 0;
        long[] encodedEvents = new long[4 * capture.rows];
        for (int i = 0; i < capture.rows; i++) {
            if (hasReading(capture, i)) {
                encodedEvents[eventCount++] = capture.arrivedAt[i] << 1 | 1;
                encodedEvents[eventCount++] = capture.dequeuedAt[i] - readLatency << 1;
            }
            if (hasRun(capture, i)) {
                encodedEvents[eventCount++] = capture.runStartedAt[i] << 1 | 1;
                encodedEvents[eventCount++] = capture.runStartedAt[i] + capture.runDuration[i] << 1;
            }
        }
        encodedEvents = Arrays.copyOf(encodedEvents, eventCount);
        // The lowest bit is 1 for a start: at equal times, ends sort before starts.
        Arrays.sort(encodedEvents);
        eventTimes = new long[eventCount];
        jobDeltas = new byte[eventCount];
        runnableJobs = new int[eventCount];
        cumulativeCoreTime = new double[eventCount];
        int runnable = 0;
        for (int i = 0; i < eventCount; i++) {
            eventTimes[i] = encodedEvents[i] >> 1;
            jobDeltas[i] = (byte) ((encodedEvents[i] & 1) == 1 ? 1 : -1);
            runnable += jobDeltas[i];
            runnableJobs[i] = runnable;
        }
    }

    /** Whether the reading of this row took any time on a core. */
    boolean hasReading(Capture capture, int row) {
        return capture.dequeuedAt[row] - readLatency > capture.arrivedAt[row];
    }

    double readingCoreTime(Capture capture, int row) {
        return coreTimeBetween(capture.arrivedAt[row], capture.dequeuedAt[row] - readLatency);
    }

    double runCoreTime(Capture capture, int row) {
        return coreTimeBetween(capture.runStartedAt[row], capture.runStartedAt[row] + capture.runDuration[row]);
    }

    static boolean hasRun(Capture capture, int row) {
        return capture.runStartedAt[row] > 0 && capture.runDuration[row] > 0;
    }

    /**
     * Computes core times for a contention curve; must be called before {@link #readingCoreTime} and
     * {@link #runCoreTime}.
     */
    void applyContention(double threshold, double lossPerJob) {
        double cumulative = 0;
        for (int i = 0; i < eventTimes.length; i++) {
            cumulativeCoreTime[i] = cumulative;
            if (i + 1 < eventTimes.length) {
                cumulative += (eventTimes[i + 1] - eventTimes[i]) * speed * SharedCores.coreShare(runnableJobs[i],
                        cores, threshold, lossPerJob);
            }
        }
    }

    /** Core time received by a job that was runnable from {@code from} to {@code to}, both of them event times. */
    private double coreTimeBetween(long from, long to) {
        return cumulativeCoreTime[indexAt(to)] - cumulativeCoreTime[indexAt(from)];
    }

    /** Runnable jobs per core at a time, including those that start at that time. */
    double jobsPerCore(long time) {
        int index = indexAt(time);
        while (index + 1 < eventTimes.length && eventTimes[index + 1] == time) {
            index++;
        }
        return runnableJobs[index] / (double) cores;
    }

    private int indexAt(long time) {
        int index = Arrays.binarySearch(eventTimes, time);
        return index >= 0 ? index : Math.max(0, Math.min(eventTimes.length - 1, -index - 2));
    }

    /** The largest number of runnable jobs per core in the capture. */
    double maxJobsPerCore() {
        return Arrays.stream(runnableJobs).max().orElse(0) / (double) cores;
    }
}
