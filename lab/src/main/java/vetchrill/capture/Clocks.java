package vetchrill.capture;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import vetchrill.routing.Recorder;

/**
 * By how much the clocks of the captured relays differ, as far as the rows tell. A stub that is denied at one relay and
 * asks another leaves two rows of one exchange; what lies between them is the stub's pause and the network, which is
 * the same in both directions, and the difference of the two clocks, which is not.
 */
public final class Clocks {
    /** What counts as the same gap, in tenths of a millisecond. */
    private static final long WIDTH = 100;
    /** Gaps past this are of different exchanges, or of clocks that no plan should be made from. */
    private static final long FARTHEST = 600_000;
    private static final int ENOUGH = 4;
    /** Differences under this are left: the pauses themselves vary by as much. */
    private static final long SMALL = 50;

    /** Tenths of a millisecond to be taken off the times of each capture. */
    public final long[] offset;
    /** Captures whose clock could be compared with that of the first, itself included. */
    public final boolean[] compared;

    private Clocks(int n) {
        offset = new long[n];
        compared = new boolean[n];
    }

    public boolean all() {
        for (boolean each : compared) {
            if (!each) {
                return false;
            }
        }
        return true;
    }

    /** What two tries of one exchange have in common, wherever they came. */
    record Likeness(long stub, int customer, byte group, long subject, int bytes, float kb) {
        static Likeness of(Capture capture, int row) {
            return new Likeness(capture.stub[row], capture.customer[row], capture.group[row], capture.subject[row],
                    capture.bytes[row], capture.kb[row]);
        }
    }

    private record Row(int capture, int row) {
    }

    public static Clocks of(List<Capture> captures) {
        int n = captures.size();
        Clocks clocks = new Clocks(n);
        Map<Likeness, List<Row>> alike = new HashMap<>();
        for (int c = 0; c < n; c++) {
            for (int i = 0; i < captures.get(c).rows; i++) {
                alike.computeIfAbsent(Likeness.of(captures.get(c), i), key -> new ArrayList<>(2)).add(new Row(c, i));
            }
        }
        long[][][] gaps = new long[n][n][0];
        int[][] counts = new int[n][n];
        for (List<Row> rows : alike.values()) {
            // One that was denied here and completed there: which came first is known whatever the clocks say. Where
            // there are more, any of them may have come before any other.
            if (rows.size() != 2) {
                continue;
            }
            Row a = answer(captures, rows.get(0)) == Recorder.DENIED ? rows.get(0) : rows.get(1);
            Row b = a == rows.get(0) ? rows.get(1) : rows.get(0);
            if (a.capture == b.capture || answer(captures, a) != Recorder.DENIED
                    || answer(captures, b) != Recorder.COMPLETED) {
                continue;
            }
            long gap = captures.get(b.capture).arrived[b.row] - captures.get(a.capture).answered[a.row];
            if (Math.abs(gap) < FARTHEST) {
                long[] all = gaps[a.capture][b.capture];
                int count = counts[a.capture][b.capture]++;
                if (count == all.length) {
                    all = Arrays.copyOf(all, Math.max(16, 2 * count));
                    gaps[a.capture][b.capture] = all;
                }
                all[count] = gap;
            }
        }
        clocks.solve(gaps, counts);
        return clocks;
    }

    private static byte answer(List<Capture> captures, Row row) {
        return captures.get(row.capture).answer[row.row];
    }

    private void solve(long[][][] gaps, int[][] counts) {
        int n = offset.length;
        double[][] differences = new double[n][n];
        int[][] weight = new int[n][n];
        for (int a = 0; a < n; a++) {
            for (int b = a + 1; b < n; b++) {
                long[] there = densest(gaps[a][b], counts[a][b]);
                long[] back = densest(gaps[b][a], counts[b][a]);
                if (sharp(there, counts[a][b]) && sharp(back, counts[b][a])) {
                    differences[a][b] = (there[0] - back[0]) / 2.0;
                    differences[b][a] = -differences[a][b];
                    weight[a][b] = (int) Math.min(there[1], back[1]);
                    weight[b][a] = weight[a][b];
                }
            }
        }
        if (n > 0) {
            compared[0] = true;
        }
        double[] solved = new double[n];
        // The strongest link first: a tree over the relays.
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
            offset[a] = Math.abs(solved[a]) < SMALL ? 0 : Math.round(solved[a]);
        }
    }

    /** Enough of them agree, and most of them do: else their pauses vary, and tell nothing of the clocks. */
    private static boolean sharp(long[] found, int of) {
        return found[1] >= ENOUGH && 2 * found[1] > of;
    }

    /** The middle of the narrow span that holds most, and how many it holds. */
    private static long[] densest(long[] gaps, int count) {
        long[] sorted = Arrays.copyOf(gaps, count);
        Arrays.sort(sorted);
        int best = 0;
        int at = 0;
        int to = 0;
        for (int from = 0; from < count; from++) {
            while (to < count && sorted[to] - sorted[from] <= WIDTH) {
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
