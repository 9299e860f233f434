package vetchrill.capture;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import vetchrill.control.EndpointGroup;
import vetchrill.routing.Recorder;

/**
 * Merges the captures of several instances: rows in the order of their arrival on a common clock, each marked as a
 * first attempt or a retry. Requests do not identify retries, so this is an estimate: a row is taken for a retry if an
 * earlier row of the same stub, customer, group, subject, size and memory had ended without a result or was not
 * answered yet, and is not older than the timeout of an exchange.
 */
public final class CaptureMerge {
    /**
     * A request may seem to arrive up to this long before the answer that its stub reacted to, as stubs have timers of
     * their own.
     */
    private static final long MAX_EARLY_TENTHS_MS = 50;

    public final List<Capture> captures;
    public final ClockOffsets clockOffsets;
    public final int rows;
    /** By row: the index of its capture, its row in that capture, and its time of arrival on the common clock. */
    public final int[] capture;
    public final int[] row;
    public final long[] arrivedAt;
    public final boolean[] retry;
    /** Estimated share of first attempts that are taken for retries by coincidence. */
    public final double falseRetryRatio;
    /** Arrival of the first and of the last row. */
    public final long from;
    public final long to;
    /** What was left out or could not be determined, one line each. */
    public final List<String> remarks = new ArrayList<>();

    public CaptureMerge(List<Capture> captures) {
        this.captures = List.copyOf(captures);
        checkSameFleet();
        clockOffsets = ClockOffsets.of(captures);
        rows = captures.stream().mapToInt(each -> each.rows).sum();
        record Place(int capture, int row, long arrived) {
        }
        Place[] places = new Place[rows];
        int n = 0;
        for (int c = 0; c < captures.size(); c++) {
            Capture each = captures.get(c);
            for (int i = 0; i < each.rows; i++) {
                places[n++] = new Place(c, i, each.arrivedAt[i] - clockOffsets.offset[c]);
            }
        }
        Arrays.sort(places, (a, b) -> a.arrived != b.arrived ? Long.compare(a.arrived, b.arrived)
                : a.capture != b.capture ? a.capture - b.capture : a.row - b.row);
        capture = new int[rows];
        row = new int[rows];
        arrivedAt = new long[rows];
        for (int i = 0; i < rows; i++) {
            capture[i] = places[i].capture;
            row[i] = places[i].row;
            arrivedAt[i] = places[i].arrived;
        }
        from = rows == 0 ? 0 : arrivedAt[0];
        to = rows == 0 ? 0 : arrivedAt[rows - 1];
        retry = new boolean[rows];
        markRetries();
        falseRetryRatio = measureFalseRetryRatio();
        addRemarks();
    }

    /** Throws CaptureException if the captures differ in their groups or customers. */
    private void checkSameFleet() {
        Capture first = captures.get(0);
        for (Capture each : captures) {
            if (!each.deployment.groupNames.equals(first.deployment.groupNames)
                    || !each.deployment.customerNames.equals(first.deployment.customerNames)) {
                throw new CaptureException(each.file + ": is not of the same fleet as " + first.file
                        + ": its groups or customers differ");
            }
        }
    }

    private void addRemarks() {
        for (int c = 0; c < captures.size(); c++) {
            Capture each = captures.get(c);
            if (!each.complete) {
                remarks.add(each.file.getFileName()
                        + " was not closed by its recorder: read up to its last complete part"
                        + (each.cutBytes > 0 ? ", " + each.cutBytes + " bytes ignored" : ""));
            }
            if (each.droppedRows > 0) {
                remarks.add(each.file.getFileName() + " lacks " + each.droppedRows + " exchanges that were dropped");
            }
            if (clockOffsets.offset[c] != 0) {
                remarks.add("the clock of " + each.name + " was off by " + clockOffsets.offset[c] / 10.0
                        + " ms and is corrected");
            }
        }
        if (captures.size() > 1 && !clockOffsets.allCompared()) {
            remarks.add("the clocks could not all be compared, as too few exchanges reached two instances: those "
                    + "that could not be compared are not corrected");
        }
    }

    private Capture captureOf(int i) {
        return captures.get(capture[i]);
    }

    private ClockOffsets.RequestSignature signature(int i) {
        return ClockOffsets.RequestSignature.of(captureOf(i), row[i]);
    }

    private long answeredAt(int i) {
        return captureOf(i).answeredAt[row[i]] - clockOffsets.offset[capture[i]];
    }

    /**
     * Marks retries. A row is one if it may follow the previous row of the same signature, and if the first row of
     * this chain is not too old.
     */
    private void markRetries() {
        Map<ClockOffsets.RequestSignature, int[]> chains = new HashMap<>();
        for (int i = 0; i < rows; i++) {
            ClockOffsets.RequestSignature signature = signature(i);
            int[] chain = chains.get(signature);
            if (chain != null && mayFollow(chain[1], i, arrivedAt[i])
                    && arrivedAt[i] - arrivedAt[chain[0]] <= maxAge(i)) {
                retry[i] = true;
                chain[1] = i;
            } else {
                chains.put(signature, new int[] {i, i});
            }
        }
    }

    /** Returns the timeout of the group of a row: no attempt of the same exchange is older. */
    private long maxAge(int i) {
        Capture capture = captureOf(i);
        return capture.deployment.deployment.groups.get(capture.group[row[i]]).asyncTimeout;
    }

    /** Whether a row that arrived at {@code time} may be a retry of an earlier row of the same signature. */
    private boolean mayFollow(int before, int i, long time) {
        boolean completed = captureOf(before).answerKind[row[before]] == Recorder.COMPLETED;
        return completed ? answeredAt(before) > time + MAX_EARLY_TENTHS_MS : time >= arrivedAt[before];
    }

    /**
     * Matches first attempts against rows that are too old to be of the same exchange, so that every match is a
     * coincidence. Rows near the start of the captures have no such older rows and are not counted.
     */
    private double measureFalseRetryRatio() {
        long longest = 0;
        for (EndpointGroup group : captures.get(0).deployment.deployment.groups) {
            longest = Math.max(longest, group.asyncTimeout);
        }
        Map<ClockOffsets.RequestSignature, List<Integer>> rowsBySignature = new HashMap<>();
        int matched = 0;
        int compared = 0;
        for (int i = 0; i < rows; i++) {
            if (retry[i]) {
                continue;
            }
            ClockOffsets.RequestSignature signature = signature(i);
            if (arrivedAt[i] - from >= 2 * longest) {
                compared++;
                for (int before : rowsBySignature.getOrDefault(signature, List.of())) {
                    long age = arrivedAt[i] - arrivedAt[before];
                    if (age >= longest && age < longest + maxAge(i) && mayFollow(before, i, arrivedAt[i])) {
                        matched++;
                        break;
                    }
                }
            }
            rowsBySignature.computeIfAbsent(signature, key -> new ArrayList<>(1)).add(i);
        }
        return compared == 0 ? 0 : matched / (double) compared;
    }

    /** Returns the estimated number of first attempts, corrected by those that coincidence marked as retries. */
    public double firstAttempts() {
        int first = 0;
        for (boolean each : retry) {
            first += each ? 0 : 1;
        }
        return first / (1 - Math.min(0.5, falseRetryRatio));
    }
}
