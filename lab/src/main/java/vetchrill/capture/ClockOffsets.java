package vetchrill.capture;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import vetchrill.routing.Recorder;

/**
 * Estimates by how much the clocks of the captured instances differ. A stub that is denied at one instance and retries
 * at another leaves two rows of one exchange. The gap between them is the stub's pause and the network delay, which
 * are the same in both directions, plus the difference of the two clocks, which has the opposite sign in the other
 * direction.
 */
public final class ClockOffsets {
    /** Gaps that differ by at most this are counted as equal. */
    private static final long CLUSTER_WIDTH_TENTHS_MS = 100;
    /** Longer gaps are between different exchanges, or clocks differ too much to plan from the captures. */
    private static final long MAX_GAP_TENTHS_MS = 600_000;
    private static final int MIN_CLUSTER_SIZE = 4;
    /** Smaller offsets are ignored: the pauses of stubs vary by as much. */
    private static final long MIN_OFFSET_TENTHS_MS = 50;

    /** By capture: tenths of a millisecond to subtract from its times. */
    public final long[] offset;
    /** By capture: whether its clock could be compared with that of the first; true for the first. */
    public final boolean[] compared;

    private ClockOffsets(int n) {
        offset = new long[n];
        compared = new boolean[n];
    }

    /** Whether the clocks of all captures could be compared. */
    public boolean allCompared() {
        for (boolean each : compared) {
            if (!each) {
                return false;
            }
        }
        return true;
    }

    /** The values that all attempts of one exchange have in common, at any instance. */
    record RequestSignature(long stub, int customer, byte group, long subject, int bodyBytes, float sizeKb) {
        static RequestSignature of(Capture capture, int row) {
            return new RequestSignature(capture.stub[row], capture.customer[row], capture.group[row],
                    capture.subject[row], capture.bodyBytes[row], capture.sizeKb[row]);
        }
    }

    private record CaptureRow(int capture, int row) {
    }

    /** Estimates the offsets from all pairs of a denied and a completed attempt at different instances. */
    public static ClockOffsets of(List<Capture> captures) {
        int n = captures.size();
        ClockOffsets clocks = new ClockOffsets(n);
        Map<RequestSignature, List<CaptureRow>> rowsBySignature = new HashMap<>();
        for (int c = 0; c < n; c++) {
            for (int i = 0; i < captures.get(c).rows; i++) {
                rowsBySignature.computeIfAbsent(RequestSignature.of(captures.get(c), i), key -> new ArrayList<>(2))
                        .add(new CaptureRow(c, i));
            }
        }
        long[][][] gaps = new long[n][n][0];
        int[][] counts = new int[n][n];
        for (List<CaptureRow> rows : rowsBySignature.values()) {
            // With one denied and one completed attempt the order is known, whatever the clocks are. With more than
            // two attempts it is not.
            if (rows.size() != 2) {
                continue;
            }
            CaptureRow denied = answerKind(captures, rows.get(0)) == Recorder.DENIED ? rows.get(0) : rows.get(1);
            CaptureRow completed = denied == rows.get(0) ? rows.get(1) : rows.get(0);
            if (denied.capture == completed.capture || answerKind(captures, denied) != Recorder.DENIED
                    || answerKind(captures, completed) != Recorder.COMPLETED) {
                continue;
            }
            long gap = captures.get(completed.capture).arrivedAt[completed.row]
                    - captures.get(denied.capture).answeredAt[denied.row];
            if (Math.abs(gap) < MAX_GAP_TENTHS_MS) {
                long[] all = gaps[denied.capture][completed.capture];
                int count = counts[denied.capture][completed.capture]++;
                if (count == all.length) {
                    all = Arrays.copyOf(all, Math.max(16, 2 * count));
                    gaps[denied.capture][completed.capture] = all;
                }
                all[count] = gap;
            }
        }
        clocks.solve(gaps, counts);
        return clocks;
    }

    private static byte answerKind(List<Capture> captures, CaptureRow row) {
        return captures.get(row.capture).answerKind[row.row];
    }

    private void solve(long[][][] gaps, int[][] counts) {
        int n = offset.length;
        double[][] differences = new double[n][n];
        int[][] weight = new int[n][n];
        for (int a = 0; a < n; a++) {
            for (int b = a + 1; b < n; b++) {
                long[] forward = densestCluster(gaps[a][b], counts[a][b]);
                long[] backward = densestCluster(gaps[b][a], counts[b][a]);
                if (isConclusive(forward, counts[a][b]) && isConclusive(backward, counts[b][a])) {
                    differences[a][b] = (forward[0] - backward[0]) / 2.0;
                    differences[b][a] = -differences[a][b];
                    weight[a][b] = (int) Math.min(forward[1], backward[1]);
                    weight[b][a] = weight[a][b];
                }
            }
        }
        if (n > 0) {
            compared[0] = true;
        }
        double[] solved = new double[n];
        // A maximum spanning tree over the instances, by the number of gaps that agree.
        for (int round = 1; round < n; round++) {
            int bestFrom = -1;
            int bestTo = -1;
            for (int a = 0; a < n; a++) {
                for (int b = 0; b < n; b++) {
                    if (compared[a] && !compared[b] && weight[a][b] > 0
                            && (bestFrom < 0 || weight[a][b] > weight[bestFrom][bestTo])) {
                        bestFrom = a;
                        bestTo = b;
                    }
                }
            }
            if (bestFrom < 0) {
                break;
            }
            compared[bestTo] = true;
            solved[bestTo] = solved[bestFrom] + differences[bestFrom][bestTo];
        }
        for (int a = 0; a < n; a++) {
            offset[a] = Math.abs(solved[a]) < MIN_OFFSET_TENTHS_MS ? 0 : Math.round(solved[a]);
        }
    }

    /** Whether enough gaps agree, and more than half do; else the pauses vary too much to compare the clocks. */
    private static boolean isConclusive(long[] cluster, int gapCount) {
        return cluster[1] >= MIN_CLUSTER_SIZE && 2 * cluster[1] > gapCount;
    }

    /** Returns the median of the largest cluster of gaps, and how many gaps are in it. */
    private static long[] densestCluster(long[] gaps, int count) {
        long[] sorted = Arrays.copyOf(gaps, count);
        Arrays.sort(sorted);
        int best = 0;
        int at = 0;
        int to = 0;
        for (int from = 0; from < count; from++) {
            while (to < count && sorted[to] - sorted[from] <= CLUSTER_WIDTH_TENTHS_MS) {
                to++;
            }
            if (to - from > best) {
                best = to - from;
                at = from;
            }
        }
        return new long[] {best == 0 ? 0 : sorted[at + best / 2], best};
    }
}
