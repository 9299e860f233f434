package vetchrill.capture;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import vetchrill.routing.Recorder;

/**
 * Captures of several relays as one: rows in the order of their arrival on one clock, and for each whether it was a
 * first try. Further tries are not marked on the way, so that is an estimate: a row is taken for a further try where
 * an earlier one of the same stub, customer, group, subject, size and memory had ended without a result or was not
 * answered yet, and was no older than an exchange may get.
 */
public final class CaptureMerge {
    /** A stub's own clockwork: a further try may seem to come a little before the answer that caused it. */
    private static final long MAX_EARLY_TENTHS_MS = 50;

    public final List<Capture> captures;
    public final ClockOffsets clockOffsets;
    public final int rows;
    /** By row: its capture, its row in there, and its time of arrival on the common clock. */
    public final int[] capture;
    public final int[] row;
    public final long[] arrivedAt;
    public final boolean[] retry;
    /**
     * Of the rows that were taken for further tries, how many are so by chance alone, as far as a shifted match
     * tells.
     */
    public final double falseRetryRatio;
    public final long from;
    public final long to;
    /** What had to be left out or could not be known, one line each. */
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

    private void checkSameFleet() {
        Capture first = captures.get(0);
        for (Capture each : captures) {
            if (!each.deployment.groupNames.equals(first.deployment.groupNames)
                    || !each.deployment.customerNames.equals(first.deployment.customerNames)) {
                throw new CaptureException(each.file + ": is of another fleet than " + first.file
                        + ": its groups or customers differ");
            }
        }
    }

    private void addRemarks() {
        for (int c = 0; c < captures.size(); c++) {
            Capture each = captures.get(c);
            if (!each.complete) {
                remarks.add(each.file.getFileName() + " was not ended in its order: read up to its last whole part"
                        + (each.cutBytes > 0 ? ", " + each.cutBytes + " bytes left out" : ""));
            }
            if (each.droppedRows > 0) {
                remarks.add(each.file.getFileName() + " lacks " + each.droppedRows + " exchanges that found no room");
            }
            if (clockOffsets.offset[c] != 0) {
                remarks.add("the clock of " + each.name + " was off by " + clockOffsets.offset[c] / 10.0
                        + " ms and is set right");
            }
        }
        if (captures.size() > 1 && !clockOffsets.allCompared()) {
            remarks.add("the clocks could not all be compared, as too few exchanges came to two relays: they are taken "
                    + "as they are");
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

    /** Chains of rows that look alike: each is judged by the one before it, and by the age of the chain's first. */
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

    private long maxAge(int i) {
        Capture capture = captureOf(i);
        return capture.deployment.deployment.groups.get(capture.group[row[i]]).asyncTimeout;
    }

    private boolean mayFollow(int before, int i, long time) {
        boolean completed = captureOf(before).answerKind[row[before]] == Recorder.COMPLETED;
        return completed ? answeredAt(before) > time + MAX_EARLY_TENTHS_MS : time >= arrivedAt[before];
    }

    /**
     * The same match against rows a while earlier, past the age of any exchange: what matches there is chance. Where
     * little room is left before it this sees less, and the whole is scaled up by what it could see.
     */
    private double measureFalseRetryRatio() {
        long longest = 0;
        for (vetchrill.control.EndpointGroup group : captures.get(0).deployment.deployment.groups) {
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

    /** The estimate of how many of the rows are first tries, with what chance took for further ones given back. */
    public double firstAttempts() {
        int first = 0;
        for (boolean each : retry) {
            first += each ? 0 : 1;
        }
        return first / (1 - Math.min(0.5, falseRetryRatio));
    }
}
