package vetchrill.planner;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import vetchrill.fleet.Fleet;
import vetchrill.fleet.Trouble;
import vetchrill.model.Peaks;
import vetchrill.model.Run;

/** Which limit is reached first, and at what load: the fleet is played at growing loads and watched for each. */
public final class LimitFinder {
    private static final double[] LOADS = {0.3, 0.5, 0.65, 0.8, 0.9, 1, 1.1, 1.2, 1.35, 1.5, 1.75, 2, 2.5};

    /** By so much the laws may be off before the plan says so. */
    private static final double EXPLAINED = 0.05;
    /** Where the load of now stands among them. */
    private static final int NOW = 5;

    /** What is watched: a limit is reached where {@code of} gets to {@code at}. */
    private record Watch(String name, String at, double limit, ToDoubleFunction<Played> of) {
    }

    /** The two runs of one load and seed: a steady one, and one with a relay that dies and a deploy. */
    private record Played(Run steady, Run rough, double lag) {
        Peaks peaks() {
            return steady.peaks();
        }
    }

    /** One limit with the load at which it is reached, as a multiple of the load of now; NaN where it never was. */
    public record Reached(String name, String at, Spread load, double now) {
    }

    private final Basis basis;
    private final Sweep sweep;
    private final List<Watch> watches = new ArrayList<>();
    public final List<Reached> reached = new ArrayList<>();
    private final List<Spread> services = new ArrayList<>();
    private final List<Double> laws = new ArrayList<>();

    public LimitFinder(Basis basis, Sweep sweep) {
        this.basis = basis;
        this.sweep = sweep;
        watches.add(new Watch("cores of the fleet", "95% busy", 0.95, each -> each.peaks().cores));
        watches.add(new Watch("cores of the busiest relay", "98% busy", 0.98, each -> each.peaks().coresOfOne));
        watches.add(new Watch("reading", "35% of all core time", 0.35, each -> each.peaks().reading));
        watches.add(new Watch("crowd on the cores", "80% of what is survived", 0.8, each -> each.peaks().crowd));
        watches.add(new Watch("memory", "watermark, 85%", 0.85, each -> each.peaks().memory));
        watches.add(new Watch("hold", "1% of tries denied", 0.01, each -> each.peaks().deniedTries));
        watches.add(new Watch("connection table of a relay", "full", 1, each -> each.peaks().connections));
        watches.add(new Watch("descriptors of a relay", "half, what stubs may take", 0.5,
                each -> each.peaks().descriptors));
        watches.add(new Watch("advice", "1% of choices find all relays advised away", 0.01,
                each -> each.peaks().allAway));
        watches.add(new Watch("drain time", "90% of the time until the stop", 0.9, each -> each.rough.peaks().drain));
        watches.add(new Watch("roster", "5% of benefit lost while a dead relay is listed", 0.05, each -> each.lag));
        watches.add(new Watch("retries", "two tries for each first one", 2, each ->
                each.steady.tally().inflation(sweep.fromSecond(), sweep.toSecond())));
        watches.add(new Watch("service", "95% of benefit within the SLO time", 0.05, each ->
                1 - each.steady.tally().service(sweep.fromSecond(), sweep.toSecond())));
        watches.add(new Watch("relays that die of their load", "one", 1, each -> each.peaks().fell));
        watches.add(new Watch("exchanges unanswered at a stop", "one", 1, each -> each.rough.peaks().lostAtStop));
        if (basis.fleet.tier != null) {
            watches.add(new Watch("slots of the tier below", "all in use", 1, each -> each.peaks().tier));
        }
    }

    /** Finds them, and leaves what it found so far where it is interrupted. */
    public Answer find() {
        Fleet steady = basis.fleet;
        long deathAt = sweep.countFrom + 5_000;
        List<Trouble> troubles = List.of(new Trouble.Roll(deathAt + basis.fleet.roster.silent()),
                new Trouble.Crash(deathAt, Long.MAX_VALUE, 1.0 / Math.max(1, steady.relays())));
        Fleet rough = steady.withTroubles(troubles);
        List<List<Played>> all = new ArrayList<>();
        for (double load : LOADS) {
            List<Run> steadies = sweep.runs(steady, basis.demand(load));
            List<Run> roughs = sweep.runs(rough, basis.demand(load));
            List<Played> played = new ArrayList<>();
            for (int i = 0; i < steadies.size(); i++) {
                int from = (int) (deathAt / Profile.SECOND);
                int to = (int) Math.max(from + 1, (deathAt + basis.fleet.roster.silent()) / Profile.SECOND);
                double lag = steadies.get(i).tally().service(from, to) - roughs.get(i).tally().service(from, to);
                played.add(new Played(steadies.get(i), roughs.get(i), Double.isNaN(lag) ? 0 : lag));
            }
            all.add(played);
            services.add(sweep.service(steadies));
            laws.add(new Laws(steady, basis.perS() * load).service);
        }
        for (Watch watch : watches) {
            reached.add(crossing(watch, all));
        }
        reached.sort(Comparator.comparingDouble(each -> Double.isNaN(each.load.mean()) ? Double.MAX_VALUE
                : each.load.mean()));
        return answer();
    }

    private Reached crossing(Watch watch, List<List<Played>> all) {
        List<Double> loads = new ArrayList<>();
        double now = 0;
        for (int seed = 0; seed < sweep.seeds; seed++) {
            now += watch.of.applyAsDouble(all.get(NOW).get(seed)) / sweep.seeds;
            double before = 0;
            double loadBefore = 0;
            for (int i = 0; i < LOADS.length; i++) {
                double value = watch.of.applyAsDouble(all.get(i).get(seed));
                if (value >= watch.limit) {
                    double part = value > before ? (watch.limit - before) / (value - before) : 1;
                    loads.add(loadBefore + Math.max(0, part) * (LOADS[i] - loadBefore));
                    break;
                }
                before = value;
                loadBefore = LOADS[i];
            }
        }
        Spread spread = loads.size() * 2 <= sweep.seeds ? new Spread(Double.NaN, Double.NaN, Double.NaN)
                : Spread.of(loads.stream().mapToDouble(Double::doubleValue).toArray());
        return new Reached(watch.name, watch.at, spread, now / watch.limit);
    }

    private Answer answer() {
        Answer answer = new Answer("Limits of " + basis.fleet.name);
        double perS = basis.perS();
        Answer.Table table = answer.table("Limits in the order in which they are reached", "limit", "reached at",
                "load, 1/s", "from", "to", "times the load of now", "margin", "now, of the limit");
        for (Reached each : reached) {
            if (Double.isNaN(each.load.mean())) {
                table.row(each.name, each.at, "not up to " + Math.round(LOADS[LOADS.length - 1] * perS),
                        "", "", "", "", each.now);
            } else {
                table.row(each.name, each.at, each.load.mean() * perS, each.load.low() * perS, each.load.high() * perS,
                        each.load.mean(), Math.round(100 * (each.load.mean() - 1)) + "%", each.now);
            }
        }
        Answer.Table cut = answer.table("Service by load: the model beside the first cut by operational laws",
                "load, 1/s", "times the load of now", "service", "from", "to", "by laws", "apart");
        Answer.Chart chart = answer.chart("Service by load", "first tries a second", "benefit within the SLO time");
        double[] x = new double[LOADS.length];
        double[][] y = new double[4][LOADS.length];
        double apartFrom = Double.MAX_VALUE;
        int worst = 0;
        for (int i = 0; i < LOADS.length; i++) {
            Spread each = services.get(i);
            x[i] = LOADS[i] * perS;
            y[0][i] = each.mean();
            y[1][i] = each.low();
            y[2][i] = each.high();
            y[3][i] = laws.get(i);
            double apart = laws.get(i) - each.mean();
            cut.row(x[i], LOADS[i], each.mean(), each.low(), each.high(), laws.get(i), apart);
            if (Math.abs(apart) > EXPLAINED + (each.high() - each.low())) {
                apartFrom = Math.min(apartFrom, x[i]);
                worst = Math.abs(apart) > Math.abs(laws.get(worst) - services.get(worst).mean()) ? i : worst;
            }
        }
        if (apartFrom < Double.MAX_VALUE) {
            answer.remark(String.format(java.util.Locale.ROOT, "from %.0f 1/s on the laws and the model differ by more "
                    + "than the laws' simplicity explains, most at %.0f 1/s: %.2f by laws, %.2f by the model; the laws "
                    + "know no hot subjects, no lag of the roster, no order of the hold and nothing of what the module "
                    + "advises", apartFrom, x[worst], laws.get(worst), services.get(worst).mean()));
        }
        chart.series().add(new Answer.Series("model", x, y[0], y[1], y[2]));
        chart.series().add(new Answer.Series("operational laws", x, y[3], null, null));
        Laws now = new Laws(basis.fleet, perS);
        if (now.heldDown) {
            answer.remark(String.format(java.util.Locale.ROOT, "by the laws, retries could hold this fleet down at the "
                    + "load of now; %.0f%% of it shed would free it", 100 * now.shed));
        }
        basis.tell(answer);
        return answer;
    }

    /** For whoever reads them by name. */
    public Map<String, Spread> byName() {
        Map<String, Spread> names = new java.util.LinkedHashMap<>();
        reached.forEach(each -> names.put(each.name, each.load));
        return names;
    }
}
