package vetchrill.planner;

import java.util.Arrays;
import vetchrill.capture.Capture;
import vetchrill.fleet.Fleet.MachineKind;
import vetchrill.model.SharedCores;

/**
 * Core time that readings and runs of one relay got, from when each began and ended: cores are shared alike, so how
 * many wanted one at each moment tells how fast each of them went. The inverse of {@link SharedCores}.
 */
final class CoreTimeEstimator {
    /** Ends of intervals by time, begins and ends of one time apart; the sign of an entry tells which. */
    private final long[] eventTimes;
    private final byte[] jobDeltas;
    private final long readLatency;
    private final int cores;
    private final double speed;
    private final int[] runnableJobs;
    private final double[] cumulativeCoreTime;

    /** {@code latency} is the part of each reading in which it waited for the program and not for a core. */
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
        // Of one time, what ends comes before what begins.
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

    /** With a crowding curve: to be called before the questions below. */
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

    /** Core time that a job present from one time to another got, both ends of intervals told at the start. */
    private double coreTimeBetween(long from, long to) {
        return cumulativeCoreTime[indexAt(to)] - cumulativeCoreTime[indexAt(from)];
    }

    /** Jobs for each core at a time, those that begin then included. */
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

    /** The most jobs for each core that were ever seen. */
    double maxJobsPerCore() {
        return Arrays.stream(runnableJobs).max().orElse(0) / (double) cores;
    }
}
