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
public final class Merged {
    /** A stub's own clockwork: a further try may seem to come a little before the answer that caused it. */
    private static final long EARLY = 50;

    public final List<Capture> captures;
    public final Clocks clocks;
    public final int rows;
    /** By row: its capture, its row in there, and its time of arrival on the common clock. */
    public final int[] capture;
    public final int[] row;
    public final long[] arrived;
    public final boolean[] further;
    /**
     * Of the rows that were taken for further tries, how many are so by chance alone, as far as a shifted match
     * tells.
     */
    public final double byChance;
    public final long from;
    public final long to;
    /** What had to be left out or could not be known, one line each. */
    public final List<String> remarks = new ArrayList<>();

    public Merged(List<Capture> captures) {
        this.captures = List.copyOf(captures);
        sameFleet();
        clocks = Clocks.of(captures);
        rows = captures.stream().mapToInt(each -> each.rows).sum();
        record Place(int capture, int row, long arrived) {
        }
        Place[] places = new Place[rows];
        int n = 0;
        for (int c = 0; c < captures.size(); c++) {
            Capture each = captures.get(c);
            for (int i = 0; i < each.rows; i++) {
                places[n++] = new Place(c, i, each.arrived[i] - clocks.offset[c]);
            }
        }
        Arrays.sort(places, (a, b) -> a.arrived != b.arrived ? Long.compare(a.arrived, b.arrived)
                : a.capture != b.capture ? a.capture - b.capture : a.row - b.row);
        capture = new int[rows];
        row = new int[rows];
        arrived = new long[rows];
        for (int i = 0; i < rows; i++) {
            capture[i] = places[i].capture;
            row[i] = places[i].row;
            arrived[i] = places[i].arrived;
        }
        from = rows == 0 ? 0 : arrived[0];
        to = rows == 0 ? 0 : arrived[rows - 1];
        further = new boolean[rows];
        match();
        byChance = placebo();
        remark();
    }

    private void sameFleet() {
        Capture first = captures.get(0);
        for (Capture each : captures) {
            if (!each.facts.groupNames.equals(first.facts.groupNames)
                    || !each.facts.customerNames.equals(first.facts.customerNames)) {
                throw new CaptureFault(each.file + ": is of another fleet than " + first.file
                        + ": its groups or customers differ");
            }
        }
    }

    private void remark() {
        for (int c = 0; c < captures.size(); c++) {
            Capture each = captures.get(c);
            if (!each.whole) {
                remarks.add(each.file.getFileName() + " was not ended in its order: read up to its last whole part"
                        + (each.cutBytes > 0 ? ", " + each.cutBytes + " bytes left out" : ""));
            }
            if (each.lost > 0) {
                remarks.add(each.file.getFileName() + " lacks " + each.lost + " exchanges that found no room");
            }
            if (clocks.offset[c] != 0) {
                remarks.add("the clock of " + each.name + " was off by " + clocks.offset[c] / 10.0
                        + " ms and is set right");
            }
        }
        if (captures.size() > 1 && !clocks.all()) {
            remarks.add("the clocks could not all be compared, as too few exchanges came to two relays: they are taken "
                    + "as they are");
        }
    }

    private Capture at(int i) {
        return captures.get(capture[i]);
    }

    private Clocks.Likeness likeness(int i) {
        return Clocks.Likeness.of(at(i), row[i]);
    }

    private long answered(int i) {
        return at(i).answered[row[i]] - clocks.offset[capture[i]];
    }

    /** Chains of rows that look alike: each is judged by the one before it, and by the age of the chain's first. */
    private void match() {
        Map<Clocks.Likeness, int[]> chains = new HashMap<>();
        for (int i = 0; i < rows; i++) {
            Clocks.Likeness likeness = likeness(i);
            int[] chain = chains.get(likeness);
            if (chain != null && follows(chain[1], i, arrived[i])
                    && arrived[i] - arrived[chain[0]] <= oldest(i)) {
                further[i] = true;
                chain[1] = i;
            } else {
                chains.put(likeness, new int[] {i, i});
            }
        }
    }

    private long oldest(int i) {
        Capture of = at(i);
        return of.facts.deployment.groups.get(of.group[row[i]]).asyncTimeout;
    }

    private boolean follows(int before, int i, long when) {
        boolean completed = at(before).answer[row[before]] == Recorder.COMPLETED;
        return completed ? answered(before) > when + EARLY : when >= arrived[before];
    }

    /**
     * The same match against rows a while earlier, past the age of any exchange: what matches there is chance. Where
     * little room is left before it this sees less, and the whole is scaled up by what it could see.
     */
    private double placebo() {
        long longest = 0;
        for (vetchrill.control.EndpointGroup group : captures.get(0).facts.deployment.groups) {
            longest = Math.max(longest, group.asyncTimeout);
        }
        Map<Clocks.Likeness, List<Integer>> firsts = new HashMap<>();
        int matched = 0;
        int seen = 0;
        for (int i = 0; i < rows; i++) {
            if (further[i]) {
                continue;
            }
            Clocks.Likeness likeness = likeness(i);
            if (arrived[i] - from >= 2 * longest) {
                seen++;
                for (int before : firsts.getOrDefault(likeness, List.of())) {
                    long age = arrived[i] - arrived[before];
                    if (age >= longest && age < longest + oldest(i) && follows(before, i, arrived[i])) {
                        matched++;
                        break;
                    }
                }
            }
            firsts.computeIfAbsent(likeness, key -> new ArrayList<>(1)).add(i);
        }
        return seen == 0 ? 0 : matched / (double) seen;
    }

    /** The estimate of how many of the rows are first tries, with what chance took for further ones given back. */
    public double firstTries() {
        int first = 0;
        for (boolean each : further) {
            first += each ? 0 : 1;
        }
        return first / (1 - Math.min(0.5, byChance));
    }
}
