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
 * What a capture tells of a fleet: the demand behind the offered load, the work of each group, what reading costs and
 * how a crowd slows the cores. It sees rows only, never what clients counted; what rows can't tell stays as the file
 * says.
 */
public final class Fit {
    private static final double[] FROM = {1, 1.25, 1.5, 2, 2.5, 3, 4, 6};
    private static final double[] LOSS = {0, 0.02, 0.05, 0.08, 0.12, 0.16, 0.2, 0.3, 0.4, 0.6};
    /** Latencies that a program may have of its own, in tenths of a millisecond. */
    private static final long[] LATENCY = {0, 5, 10, 20, 40};
    /** More rows than this make a curve no better. */
    private static final int CURVE_ROWS = 60_000;
    /** As many must have come to a crowd before a curve is read from them. */
    private static final int CROWD_ROWS = 60;
    /** A difference in fit that chance may well make. */
    private static final double ABOUT_AS_WELL = 2;
    /** Starts further apart than this are not those of one start of the fleet, in tenths of a millisecond. */
    private static final long COLD_APART = 30_000;
    private static final int BINS = 20;
    /** Differences between bins that are of no account. */
    private static final double UNEVEN = 0.03;
    /** Fewer rows than this in a bin say nothing of it. */
    private static final int BIN_ROWS = 15;
    /** A relay whose works are this much off those of the others is slow, cold or of another speed. */
    private static final double OFF = 1.25;
    /** Jobs for each core from which on a relay counts as crowded. */
    private static final double CROWD_SEEN = 3;
    /** Runs and readings of one relay that its speed is judged by at least. */
    private static final int JUDGED = 30;

    public final Fleet fleet;
    public final Demand demand;
    public final Merged merged;
    public final List<Told> lines = new ArrayList<>();
    public final List<String> remarks = new ArrayList<>();
    /** All tries for each first one, as estimated from the rows. */
    public final double inflation;
    private final List<Demand.Known> known;
    private final Fleet told;
    private final SplittableRandom chance = new SplittableRandom(16);
    private final List<Kind> kinds = new ArrayList<>();
    private final Map<String, Curve> curves = new HashMap<>();
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
        known = firsts(groupOf);
        asked();
    }

    /** The captured demand with {@code factor} times as many first tries. */
    public Demand times(double factor) {
        return ((Captured) demand).times(factor);
    }

    /**
     * The captured first tries one by one, as they came, for a plan of the very time that was captured; what was
     * never run has its work drawn. {@link #demand} has their shape only, and is for any other time.
     */
    public Demand replay() {
        return new Replay(demand, known);
    }

    private List<Demand.Known> firsts(int[] groupOf) {
        Map<String, Attained> attained = new HashMap<>();
        List<Demand.Known> known = new ArrayList<>();
        for (int i = 0; i < merged.rows; i++) {
            if (merged.further[i]) {
                continue;
            }
            Capture capture = merged.captures.get(merged.capture[i]);
            int row = merged.row[i];
            double work = Double.NaN;
            if (Attained.ran(capture, row)) {
                Attained of = attained.computeIfAbsent(capture.file.toString(), key -> {
                    Kind kind = told.kind(capture.kind);
                    return curves.get(kind.name()).applied(List.of(capture), kind).get(0);
                });
                work = Math.max(1, of.run(capture, row));
            }
            int stub = (int) Math.min(Integer.MAX_VALUE, capture.stub[row]);
            known.add(new Demand.Known(merged.arrived[i] - merged.from, stub, groupOf[capture.group[row]],
                    capture.customer[row], capture.subject[row], capture.kb[row], capture.bytes[row], work));
        }
        return known;
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
                throw new CaptureFault(capture.file + ": is of zone '" + capture.zone
                        + "', which the fleet file has not");
            }
            if (told.kinds.stream().noneMatch(each -> each.name().equals(capture.kind))) {
                throw new CaptureFault(capture.file + ": is of kind '" + capture.kind
                        + "', which the fleet file has not");
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
            // A life that began under way began cold: it shows the warm-up and not what the kind is like.
            long first = its.stream().mapToLong(each -> each.started).min().orElse(0);
            List<Capture> warm = its.stream().filter(each -> each.started - first < kind.warmUp()
                    + COLD_APART).toList();
            Curve curve = crowd(kind, warm);
            curves.put(kind.name(), curve);
            List<Attained> attained = curve.applied(warm, kind);
            boolean[] steady = steady(warm, attained);
            Sample reading = new Sample();
            for (int c = 0; c < warm.size(); c++) {
                Capture capture = warm.get(c);
                for (int i = 0; i < capture.rows && steady[c]; i++) {
                    if (attained.get(c).wasRead(capture, i)) {
                        reading.add(attained.get(c).reading(capture, i));
                    }
                    if (Attained.ran(capture, i)) {
                        works[groupOf[capture.group[i]]].add(Math.max(1, attained.get(c).run(capture, i)));
                    }
                }
            }
            // What waited for a start or for the garbage collector is no core time of the machine.
            Sample trimmed = reading.trimmed();
            readings.put(kind.name(), trimmed);
            kinds.add(kind.with(trimmed.count() == 0 ? kind.reading() : trimmed.mean(), curve.from, curve.loss));
        }
        return readings;
    }

    /** How a crowd slows the cores, and how long a reading waits for the program besides. */
    private record Curve(double from, double loss, long latency) {
        List<Attained> applied(List<Capture> captures, Kind kind) {
            List<Attained> attained = new ArrayList<>();
            for (Capture capture : captures) {
                Attained each = new Attained(capture, kind, latency);
                each.with(from, loss);
                attained.add(each);
            }
            return attained;
        }

        /** The part of the speed that is lost with so many jobs for each core. */
        double lost(double perCore) {
            return perCore <= from ? 0 : 1 - 1 / (1 + loss * (perCore - from));
        }
    }

    /**
     * The curve under which what a job is found to have got does not depend on how many there were as it began. Among
     * those that explain the rows about as well the mildest is taken.
     */
    private Curve crowd(Kind kind, List<Capture> warm) {
        List<Capture> used = new ArrayList<>();
        int rows = 0;
        for (Capture each : warm) {
            if (rows == 0 || rows + each.rows <= CURVE_ROWS) {
                used.add(each);
                rows += each.rows;
            }
        }
        double most = 0;
        int crowded = 0;
        for (Capture each : used) {
            Attained attained = new Attained(each, kind, 0);
            for (int i = 0; i < each.rows; i++) {
                double perCore = attained.perCore(each.arrived[i]);
                most = Math.max(most, perCore);
                crowded += perCore > CROWD_SEEN ? 1 : 0;
            }
        }
        if (crowded < CROWD_ROWS) {
            return unseen(kind);
        }
        List<Curve> curves = new ArrayList<>();
        List<Double> off = new ArrayList<>();
        double best = Double.MAX_VALUE;
        for (long latency : LATENCY) {
            List<Attained> attained = new Curve(1, 0, latency).applied(used, kind);
            for (double from : FROM) {
                for (double loss : LOSS) {
                    if (loss == 0 && from > FROM[0]) {
                        continue;
                    }
                    for (Attained each : attained) {
                        each.with(from, loss);
                    }
                    double uneven = unevenness(used, attained);
                    best = Math.min(best, uneven);
                    curves.add(new Curve(from, loss, latency));
                    off.add(uneven);
                }
            }
        }
        Curve found = null;
        double low = 1;
        double high = 0;
        for (int i = 0; i < curves.size(); i++) {
            double lost = curves.get(i).lost(most);
            if (off.get(i) <= best + ABOUT_AS_WELL && (found == null || lost < found.lost(most))) {
                found = curves.get(i);
            }
            if (off.get(i) <= best + 2 * ABOUT_AS_WELL) {
                low = Math.min(low, lost);
                high = Math.max(high, lost);
            }
        }
        lines.add(new Told("speed lost by " + kind.name() + " with " + Math.round(most * 10) / 10.0
                + " jobs for each core, " + found.loss + " for each past " + found.from, found.lost(most), low, high,
                "", Told.CAPTURE));
        return found;
    }

    /** What is taken for a kind of which hardly a relay was crowded. */
    private Curve unseen(Kind kind) {
        boolean known = !Double.isNaN(kind.crowdFrom());
        double from = known ? kind.crowdFrom() : 1_000;
        double loss = known ? kind.crowdLoss() : 0;
        remarks.add("hardly a relay of kind '" + kind.name() + "' was crowded: " + (known
                ? "its crowding is that of the fleet file" : "it is taken to lose nothing by a crowd"));
        lines.add(new Told("speed lost by " + kind.name() + " for each job past " + from + " a core", loss, loss,
                loss, "",
                Told.UNSEEN));
        return new Curve(from, loss, 0);
    }

    /**
     * How much what jobs are found to have got differs by the crowd that they began in, for what chance and
     * unevenness of no account would give. A reading costs the same each time, and its middle is proof against the
     * odd one that waited for something else than a core; a run is drawn, and goes by its mean.
     */
    private double unevenness(List<Capture> its, List<Attained> attained) {
        int groups = its.get(0).facts.groupNames.size();
        Sample[][] got = new Sample[groups + 1][];
        for (int g = 0; g <= groups; g++) {
            got[g] = samples(BINS);
        }
        for (int c = 0; c < its.size(); c++) {
            Capture capture = its.get(c);
            Attained of = attained.get(c);
            for (int i = 0; i < capture.rows; i++) {
                if (of.wasRead(capture, i)) {
                    got[groups][bin(of.perCore(capture.arrived[i]))].add(of.reading(capture, i));
                }
                if (Attained.ran(capture, i)) {
                    got[capture.group[i]][bin(of.perCore(capture.begun[i]))].add(of.run(capture, i));
                }
            }
        }
        double all = 0;
        for (int g = 0; g <= groups; g++) {
            double[] middle = new double[BINS];
            double[] weight = new double[BINS];
            double sum = 0;
            double weights = 0;
            for (int b = 0; b < BINS; b++) {
                Sample sample = got[g][b];
                if (sample.count() < BIN_ROWS) {
                    continue;
                }
                middle[b] = Math.log(Math.max(1, g == groups ? sample.quantile(0.5) : sample.mean()));
                double sure = g == groups ? (sample.quantile(0.75) / sample.quantile(0.25)
                        - 1) / Math.sqrt(sample.count())
                        : sample.spread() / Math.sqrt(sample.count());
                weight[b] = 1 / (sure * sure + UNEVEN * UNEVEN);
                sum += weight[b] * middle[b];
                weights += weight[b];
            }
            for (int b = 0; b < BINS; b++) {
                all += weight[b] * (middle[b] - sum / weights) * (middle[b] - sum / weights);
            }
        }
        return all;
    }

    private static int bin(double perCore) {
        return (int) Math.min(BINS - 1, 5 * Math.log1p(perCore));
    }

    /** Relays whose works differ from all others are cold, slowed or of another speed: not what the kind is like. */
    private boolean[] steady(List<Capture> its, List<Attained> attained) {
        double[] mean = new double[its.size()];
        int[] count = new int[its.size()];
        for (int c = 0; c < its.size(); c++) {
            Capture capture = its.get(c);
            Sample readings = new Sample();
            for (int i = 0; i < capture.rows; i++) {
                if (attained.get(c).wasRead(capture, i)) {
                    readings.add(attained.get(c).reading(capture, i));
                    count[c]++;
                }
            }
            mean[c] = count[c] == 0 ? 0 : readings.quantile(0.5);
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
        double total = 0;
        for (int i = 0; i < merged.rows; i++) {
            Capture capture = merged.captures.get(merged.capture[i]);
            int row = merged.row[i];
            int group = groupOf[capture.group[row]];
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
            groups.add(group.with(share, works[g].count() > 0 ? works[g].mean() : group.work(),
                    works[g].count() > 0 ? works[g].spread() : group.workSpread(),
                    memories[g].count() > 0 ? memories[g].mean() : group.kb(),
                    (int) Math.round(sizes[g].count() > 0 ? sizes[g].mean() : group.bytes())));
        }
        return groups;
    }

    private static List<Group> withShares(List<Group> groups) {
        return groups.stream().map(group -> group.with(1.0 / groups.size(), Double.isNaN(group.work()) ? 1
                : group.work(),
                Double.isNaN(group.workSpread()) ? 0.5 : group.workSpread(), 1, 1)).toList();
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
