package vetchrill.planner;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import vetchrill.capture.Capture;
import vetchrill.capture.CaptureFault;
import vetchrill.capture.Merged;
import vetchrill.fleet.Fleet;
import vetchrill.fleet.Fleet.Group;
import vetchrill.fleet.Fleet.Kind;
import vetchrill.fleet.Fleet.Zone;
import vetchrill.model.Demand;

/**
 * What a capture tells of a fleet: the demand behind the offered load, the work of each group, what reading costs and how
 * a crowd slows the cores. It sees rows only, never what clients counted; what rows can't tell stays as the file says.
 */
public final class Fit {
    private static final double[] FROM = {1, 1.25, 1.5, 2, 2.5, 3, 4, 6};
    private static final double[] LOSS = {0, 0.02, 0.05, 0.08, 0.12, 0.16, 0.2, 0.3, 0.4, 0.6};
    private static final int BINS = 6;
    /** Fewer rows than this in a bin say nothing of it. */
    private static final int BIN_ROWS = 15;
    /** A relay whose works are this much off those of the others is slow, cold or of another speed. */
    private static final double OFF = 1.25;
    /** Jobs for each core that must have been seen before a crowding curve is read from a capture. */
    private static final double CROWD_SEEN = 1.6;
    /** Runs and readings of one relay that its speed is judged by at least. */
    private static final int JUDGED = 30;

    public final Fleet fleet;
    public final Demand demand;
    public final Merged merged;
    public final List<Told> lines = new ArrayList<>();
    public final List<String> remarks = new ArrayList<>();
    /** All tries for each first one, as estimated from the rows. */
    public final double inflation;
    private final Fleet told;
    private final SplittableRandom chance = new SplittableRandom(16);
    private final List<Kind> kinds = new ArrayList<>();
    private final Sample[] works;
    private final Sample[] sizes;
    private final Sample[] memories;

    /** Throws CaptureFault where the captures are not of this fleet or tell too little. */
    public Fit(Fleet told, List<Capture> captures) {
        this.told = told;
        merged = new Merged(captures);
        remarks.addAll(merged.remarks);
        int[] groupOf = groups(captures);
        belongs(captures);
        works = samples(told.groups.size());
        sizes = samples(told.groups.size());
        memories = samples(told.groups.size());
        Map<String, Sample> readings = work(captures, groupOf);
        List<Group> groups = shares(groupOf);
        double span = (merged.to - merged.from) / 10_000.0;
        if (span < 1) {
            throw new CaptureFault("the captures span " + span + " s, a second at least is needed");
        }
        double firsts = merged.firstTries();
        inflation = merged.rows / firsts;
        double scale = scale(captures);
        double perS = firsts / span * scale;
        double sure = 1.645 * Math.sqrt(firsts) / span * scale;
        lines.add(new Told("first tries", perS, perS - sure, perS + sure, "1/s", Told.CAPTURE));
        lines.add(new Told("tries for each first try", inflation, inflation, inflation / (1 - merged.byChance), "",
                Told.CAPTURE));
        Profile profile = new Profile(merged, scale);
        lines.add(new Told("counts of half a second, variance for the mean", profile.dispersion, profile.dispersion,
                profile.dispersion, "", Told.CAPTURE));
        Fleet.Subjects subjects = subjects();
        for (Map.Entry<String, Sample> each : readings.entrySet()) {
            add("reading, " + each.getKey(), each.getValue());
        }
        fleet = told.fitted(kinds, groups, new Fleet.Load(perS, 0, told.load.period()), subjects);
        List<String> wanting = fleet.wanting();
        if (!wanting.isEmpty()) {
            throw new CaptureFault("neither the captures nor the fleet file tell: " + String.join(", ", wanting));
        }
        demand = new Captured(fleet, merged, groupOf, profile, works, sizes, memories);
        asked();
    }

    /** The captured demand with {@code factor} times as many first tries. */
    public Demand times(double factor) {
        return ((Captured) demand).times(factor);
    }

    private static Sample[] samples(int n) {
        Sample[] samples = new Sample[n];
        for (int i = 0; i < n; i++) {
            samples[i] = new Sample();
        }
        return samples;
    }

    /** By group of the captures, its place in the fleet file. */
    private int[] groups(List<Capture> captures) {
        List<String> names = captures.get(0).facts.groupNames;
        int[] groupOf = new int[names.size()];
        for (int i = 0; i < groupOf.length; i++) {
            groupOf[i] = told.groups.stream().map(Group::name).toList().indexOf(names.get(i));
            if (groupOf[i] < 0) {
                throw new CaptureFault(captures.get(0).file + ": names group '" + names.get(i)
                        + "', which the fleet file has not");
            }
        }
        return groupOf;
    }

    private void belongs(List<Capture> captures) {
        for (Capture capture : captures) {
            Zone zone = told.zones.stream().filter(each -> each.name().equals(capture.zone)).findFirst().orElse(null);
            if (zone == null) {
                throw new CaptureFault(capture.file + ": is of zone '" + capture.zone + "', which the fleet file has not");
            }
            if (told.kinds.stream().noneMatch(each -> each.name().equals(capture.kind))) {
                throw new CaptureFault(capture.file + ": is of kind '" + capture.kind + "', which the fleet file has not");
            }
            if (capture.facts.deployment.cores != told.kind(capture.kind).cores()) {
                throw new CaptureFault(capture.file + ": has " + capture.facts.deployment.cores + " cores, kind '"
                        + capture.kind + "' of the fleet file " + told.kind(capture.kind).cores());
            }
        }
    }

    private double scale(List<Capture> captures) {
        Set<String> names = new HashSet<>();
        captures.forEach(each -> names.add(each.name));
        if (names.size() > told.relays()) {
            throw new CaptureFault("the captures are of " + names.size() + " relays, the fleet file has "
                    + told.relays());
        }
        if (names.size() < told.relays()) {
            remarks.add("captured are " + names.size() + " of " + told.relays()
                    + " relays: their load is taken to be that of all, in proportion");
        }
        return told.relays() / (double) names.size();
    }

    // Work, reading and crowding.

    private Map<String, Sample> work(List<Capture> captures, int[] groupOf) {
        Map<String, Sample> readings = new java.util.LinkedHashMap<>();
        for (Kind kind : told.kinds) {
            List<Capture> its = captures.stream().filter(each -> each.kind.equals(kind.name())).toList();
            if (its.isEmpty()) {
                kinds.add(kind);
                if (Double.isNaN(kind.reading())) {
                    remarks.add("no capture is of kind '" + kind.name() + "'");
                }
                continue;
            }
            List<Attained> attained = its.stream().map(each -> new Attained(each, kind)).toList();
            double[] crowd = crowd(kind, its, attained);
            for (Attained each : attained) {
                each.with(crowd[0], crowd[1]);
            }
            boolean[] steady = steady(its, attained);
            Sample reading = new Sample();
            for (int c = 0; c < its.size(); c++) {
                Capture capture = its.get(c);
                for (int i = 0; i < capture.rows; i++) {
                    int group = groupOf[capture.group[i]];
                    if (!steady[c]) {
                        continue;
                    }
                    if (capture.heard[i] > capture.arrived[i]) {
                        reading.add(attained.get(c).between(capture.arrived[i], capture.heard[i]));
                    }
                    if (Attained.ran(capture, i)) {
                        works[group].add(Math.max(1, attained.get(c).between(capture.begun[i],
                                capture.begun[i] + capture.took[i])));
                    }
                }
            }
            readings.put(kind.name(), reading);
            kinds.add(new Kind(kind.name(), kind.cores(), kind.speed(), kind.speedSpread(),
                    reading.count() == 0 ? kind.reading() : reading.mean(), crowd[0], crowd[1], kind.memoryKb(),
                    kind.table(), kind.tableTax(), kind.connect(), kind.descriptors(), kind.coldShare(), kind.warmUp(),
                    kind.price()));
        }
        return readings;
    }

    /** The curve under which what a job is found to have got does not depend on how many there were as it began. */
    private double[] crowd(Kind kind, List<Capture> its, List<Attained> attained) {
        double most = attained.stream().mapToDouble(Attained::mostPerCore).max().orElse(0);
        String what = "crowding of " + kind.name() + ", speed lost for each job past ";
        if (most < CROWD_SEEN) {
            boolean toldCrowd = !Double.isNaN(kind.crowdFrom());
            double from = toldCrowd ? kind.crowdFrom() : 1_000;
            double loss = toldCrowd ? kind.crowdLoss() : 0;
            remarks.add("no relay of kind '" + kind.name() + "' was crowded: " + (toldCrowd
                    ? "its crowding is that of the fleet file" : "it is taken to lose nothing by a crowd"));
            lines.add(new Told(what + from + " a core", loss, loss, loss, "", Told.UNSEEN));
            return new double[] {from, loss};
        }
        double best = Double.MAX_VALUE;
        double[] found = {FROM[0], 0};
        double[][] at = new double[FROM.length][LOSS.length];
        for (int f = 0; f < FROM.length; f++) {
            for (int l = 0; l < LOSS.length; l++) {
                if (l == 0 && f > 0) {
                    at[f][l] = at[0][0];
                    continue;
                }
                for (Attained each : attained) {
                    each.with(FROM[f], LOSS[l]);
                }
                at[f][l] = unevenness(its, attained);
                if (at[f][l] < best) {
                    best = at[f][l];
                    found = new double[] {FROM[f], LOSS[l]};
                }
            }
        }
        double low = Double.MAX_VALUE;
        double high = 0;
        for (int f = 0; f < FROM.length; f++) {
            for (int l = 0; l < LOSS.length; l++) {
                // What a crowd as large as the largest seen takes, over all curves that explain the rows about as well.
                if (at[f][l] <= best + 4) {
                    low = Math.min(low, lost(FROM[f], LOSS[l], most));
                    high = Math.max(high, lost(FROM[f], LOSS[l], most));
                }
            }
        }
        double value = lost(found[0], found[1], most);
        lines.add(new Told("speed lost by " + kind.name() + " with " + Math.round(most * 10) / 10.0
                + " jobs for each core, past " + found[0], value, low, high, "", Told.CAPTURE));
        return found;
    }

    private static double lost(double from, double loss, double perCore) {
        return perCore <= from ? 0 : 1 - 1 / (1 + loss * (perCore - from));
    }

    private double unevenness(List<Capture> its, List<Attained> attained) {
        int groups = its.get(0).facts.groupNames.size() + 1;
        double[][] sum = new double[groups][BINS];
        double[][] squares = new double[groups][BINS];
        int[][] count = new int[groups][BINS];
        for (int c = 0; c < its.size(); c++) {
            Capture capture = its.get(c);
            Attained of = attained.get(c);
            for (int i = 0; i < capture.rows; i++) {
                if (capture.heard[i] > capture.arrived[i]) {
                    note(sum, squares, count, groups - 1, of.perCore(capture.arrived[i]),
                            of.between(capture.arrived[i], capture.heard[i]));
                }
                if (Attained.ran(capture, i)) {
                    note(sum, squares, count, capture.group[i], of.perCore(capture.begun[i]),
                            of.between(capture.begun[i], capture.begun[i] + capture.took[i]));
                }
            }
        }
        double all = 0;
        for (int g = 0; g < groups; g++) {
            double total = Arrays.stream(sum[g]).sum();
            int n = Arrays.stream(count[g]).sum();
            for (int b = 0; b < BINS; b++) {
                if (count[g][b] >= BIN_ROWS) {
                    double mean = sum[g][b] / count[g][b];
                    double variance = Math.max(1e-6, squares[g][b] / count[g][b] - mean * mean);
                    double off = mean - total / n;
                    all += off * off / (variance / count[g][b] + 1e-6 * mean * mean);
                }
            }
        }
        return all;
    }

    private static void note(double[][] sum, double[][] squares, int[][] count, int group, double perCore, double got) {
        int bin = (int) Math.min(BINS - 1, Math.max(0, Math.floor(2 * (perCore - 0.25))));
        sum[group][bin] += got;
        squares[group][bin] += got * got;
        count[group][bin]++;
    }

    /** Relays whose works differ from all others are cold, slowed or of another speed: not what the kind is like. */
    private boolean[] steady(List<Capture> its, List<Attained> attained) {
        double[] mean = new double[its.size()];
        int[] count = new int[its.size()];
        for (int c = 0; c < its.size(); c++) {
            Capture capture = its.get(c);
            for (int i = 0; i < capture.rows; i++) {
                if (capture.heard[i] > capture.arrived[i]) {
                    mean[c] += attained.get(c).between(capture.arrived[i], capture.heard[i]);
                    count[c]++;
                }
            }
            mean[c] /= Math.max(1, count[c]);
        }
        double middle = median(mean, count);
        boolean[] steady = new boolean[its.size()];
        int off = 0;
        for (int c = 0; c < steady.length; c++) {
            steady[c] = count[c] < JUDGED || mean[c] < middle * OFF && mean[c] > middle / OFF;
            if (!steady[c]) {
                off++;
                remarks.add(its.get(c).file.getFileName() + ": its readings take " + Math.round(mean[c] / middle * 100)
                        + "% of what they take elsewhere; it is left out of the works");
            }
        }
        if (2 * off > steady.length) {
            Arrays.fill(steady, true);
            remarks.add("the relays differ too much in speed to leave any out");
        }
        return steady;
    }

    private static double median(double[] means, int[] counts) {
        double[] known = new double[means.length];
        int n = 0;
        for (int i = 0; i < means.length; i++) {
            if (counts[i] >= JUDGED) {
                known[n++] = means[i];
            }
        }
        known = Arrays.copyOf(known, n);
        Arrays.sort(known);
        return n == 0 ? 1 : known[n / 2];
    }

    // Demand.

    private List<Group> shares(int[] groupOf) {
        double[] firsts = new double[told.groups.size()];
        double[] all = new double[firsts.length];
        double total = 0;
        for (int i = 0; i < merged.rows; i++) {
            Capture capture = merged.captures.get(merged.capture[i]);
            int row = merged.row[i];
            int group = groupOf[capture.group[row]];
            all[group]++;
            if (!merged.further[i]) {
                firsts[group]++;
                total++;
                sizes[group].add(capture.bytes[row]);
                memories[group].add(capture.kb[row]);
            }
        }
        List<Group> groups = new ArrayList<>();
        for (int g = 0; g < firsts.length; g++) {
            Group group = told.groups.get(g);
            double share = firsts[g] / total;
            double sure = 1.645 * Math.sqrt(share * (1 - share) / total);
            lines.add(new Told("share of " + group.name(), share, Math.max(0, share - sure), share + sure, "",
                    Told.CAPTURE));
            if (works[g].count() > 0) {
                add("work of " + group.name(), works[g]);
                lines.add(new Told("spread of the work of " + group.name(), works[g].spread(), works[g].spread(),
                        works[g].spread(), "", Told.CAPTURE));
            }
            if (works[g].count() == 0 && !Double.isNaN(group.work())) {
                Demand.Told drawn = new Demand.Told(told.fitted(told.kinds, withShares(told.groups), told.load,
                        new Fleet.Subjects(1, 0)));
                for (int i = 0; i < 1_000; i++) {
                    works[g].add(drawn.work(g, chance));
                }
                lines.add(Told.file("work of " + group.name(), group.work() / 10, "ms"));
            }
            groups.add(new Group(group.name(), group.effect(), group.sloTime(), group.asyncTimeout(), group.benefit(),
                    group.lateShare(), share, works[g].count() > 0 ? works[g].mean() : group.work(),
                    works[g].count() > 0 ? works[g].spread() : group.workSpread(),
                    memories[g].count() > 0 ? memories[g].mean() : group.kb(), (int) Math.round(
                            sizes[g].count() > 0 ? sizes[g].mean() : group.bytes()), group.calls(), group.withoutCall()));
        }
        return groups;
    }

    private static List<Group> withShares(List<Group> groups) {
        return groups.stream().map(group -> new Group(group.name(), group.effect(), group.sloTime(),
                group.asyncTimeout(), group.benefit(), group.lateShare(), 1.0 / groups.size(),
                Double.isNaN(group.work()) ? 1 : group.work(), Double.isNaN(group.workSpread()) ? 0.5
                        : group.workSpread(), 1, 1, 0, 0)).toList();
    }

    private void add(String what, Sample sample) {
        double[] interval = sample.meanInterval(chance);
        lines.add(new Told(what, sample.mean() / 10, interval[0] / 10, interval[1] / 10, "ms", Told.CAPTURE));
    }

    /** How much the most popular subjects stand out: the slope of frequency over rank, both as logarithms. */
    private Fleet.Subjects subjects() {
        Map<Long, Integer> counts = new HashMap<>();
        for (int i = 0; i < merged.rows; i++) {
            long subject = merged.captures.get(merged.capture[i]).subject[merged.row[i]];
            if (!merged.further[i] && subject != 0) {
                counts.merge(subject, 1, Integer::sum);
            }
        }
        if (counts.isEmpty()) {
            remarks.add("no exchange names a subject");
            return told.subjects.distinct() > 0 && !Double.isNaN(told.subjects.skew()) ? told.subjects
                    : new Fleet.Subjects(1, 0);
        }
        List<Integer> sorted = new ArrayList<>(counts.values());
        sorted.sort((a, b) -> b - a);
        int heads = 0;
        while (heads < sorted.size() && sorted.get(heads) >= 5) {
            heads++;
        }
        double skew = told.subjects.skew();
        double sure = 0;
        if (heads >= 10) {
            double sx = 0;
            double sy = 0;
            double sxx = 0;
            double sxy = 0;
            for (int i = 0; i < heads; i++) {
                double x = Math.log(i + 1.0);
                double y = Math.log(sorted.get(i));
                sx += x;
                sy += y;
                sxx += x * x;
                sxy += x * y;
            }
            skew = Math.max(0, -(heads * sxy - sx * sy) / (heads * sxx - sx * sx));
            sure = 1.645 * skew / Math.sqrt(heads);
            lines.add(new Told("skew of subjects", skew, Math.max(0, skew - sure), skew + sure, "", Told.CAPTURE));
        } else {
            remarks.add("no subject came often enough to tell how skewed they are");
            skew = Double.isNaN(skew) ? 0 : skew;
            lines.add(new Told("skew of subjects", skew, skew, skew, "", Told.UNSEEN));
        }
        lines.add(new Told("subjects seen", counts.size(), counts.size(), Double.POSITIVE_INFINITY, "", Told.CAPTURE));
        return new Fleet.Subjects(Math.max(counts.size(), told.subjects.distinct()), skew);
    }

    /** What no row could tell. */
    private void asked() {
        for (Kind kind : told.kinds) {
            lines.add(Told.file("cores of " + kind.name(), kind.cores(), ""));
            lines.add(Told.file("memory of " + kind.name(), kind.memoryKb() / 1024, "MB"));
            lines.add(Told.file("speed of " + kind.name() + " at a cold start", kind.coldShare(), ""));
            lines.add(Told.file("warm-up of " + kind.name(), kind.warmUp() / 10_000.0, "s"));
        }
        for (Fleet.Pool pool : told.pools) {
            lines.add(Told.file("stubs " + pool.name() + ": " + pool.habit().name().toLowerCase() + ", retry "
                    + pool.retry().name().toLowerCase() + ", part that heeds advice", pool.heed(), ""));
        }
        lines.add(Told.file("lag of the roster", told.roster.lag() / 10_000.0, "s"));
        lines.add(Told.file("lag of the roster after a silent death", told.roster.silent() / 10_000.0, "s"));
        lines.add(Told.file("network across zones", told.network.across() / 10.0, "ms"));
        lines.add(Told.file("relays replaced at a time", told.deploy.batch(), ""));
    }
}
