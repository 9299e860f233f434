package vetchrill.planner;

import java.util.Arrays;
import vetchrill.capture.Capture;
import vetchrill.fleet.Fleet.Kind;
import vetchrill.model.Cores;

/**
 * Core time that readings and runs of one relay got, from when each began and ended: cores are shared alike, so how
 * many wanted one at each moment tells how fast each of them went. The inverse of {@link Cores}.
 */
final class Attained {
    /** Ends of intervals by time, begins and ends of one time apart; the sign of an entry tells which. */
    private final long[] times;
    private final byte[] signs;
    private final long latency;
    private final int cores;
    private final double speed;
    private final int[] wanted;
    private final double[] given;

    /** {@code latency} is the part of each reading in which it waited for the program and not for a core. */
    Attained(Capture capture, Kind kind, long latency) {
        this.latency = latency;
        cores = kind.cores();
        speed = kind.speed();
        int n = 0;
        long[] keys = new long[4 * capture.rows];
        for (int i = 0; i < capture.rows; i++) {
            if (wasRead(capture, i)) {
                keys[n++] = capture.arrived[i] << 1 | 1;
                keys[n++] = capture.heard[i] - latency << 1;
            }
            if (ran(capture, i)) {
                keys[n++] = capture.begun[i] << 1 | 1;
                keys[n++] = capture.begun[i] + capture.took[i] << 1;
            }
        }
        keys = Arrays.copyOf(keys, n);
        // Of one time, what ends comes before what begins.
        Arrays.sort(keys);
        times = new long[n];
        signs = new byte[n];
        wanted = new int[n];
        given = new double[n];
        int wants = 0;
        for (int i = 0; i < n; i++) {
            times[i] = keys[i] >> 1;
            signs[i] = (byte) ((keys[i] & 1) == 1 ? 1 : -1);
            wants += signs[i];
            wanted[i] = wants;
        }
    }

    boolean wasRead(Capture capture, int row) {
        return capture.heard[row] - latency > capture.arrived[row];
    }

    double reading(Capture capture, int row) {
        return between(capture.arrived[row], capture.heard[row] - latency);
    }

    double run(Capture capture, int row) {
        return between(capture.begun[row], capture.begun[row] + capture.took[row]);
    }

    static boolean ran(Capture capture, int row) {
        return capture.begun[row] > 0 && capture.took[row] > 0;
    }

    /** With a crowding curve: to be called before the questions below. */
    void with(double crowdFrom, double crowdLoss) {
        double got = 0;
        for (int i = 0; i < times.length; i++) {
            given[i] = got;
            if (i + 1 < times.length) {
                got += (times[i + 1] - times[i]) * speed * Cores.part(wanted[i], cores, crowdFrom, crowdLoss);
            }
        }
    }

    /** Core time that a job present from one time to another got, both ends of intervals told at the start. */
    private double between(long from, long to) {
        return given[at(to)] - given[at(from)];
    }

    /** Jobs for each core at a time, those that begin then included. */
    double perCore(long time) {
        int i = at(time);
        while (i + 1 < times.length && times[i + 1] == time) {
            i++;
        }
        return wanted[i] / (double) cores;
    }

    private int at(long time) {
        int found = Arrays.binarySearch(times, time);
        return found >= 0 ? found : Math.max(0, Math.min(times.length - 1, -found - 2));
    }

    /** The most jobs for each core that were ever seen. */
    double mostPerCore() {
        return Arrays.stream(wanted).max().orElse(0) / (double) cores;
    }
}
