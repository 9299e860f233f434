package vetchrill.planner;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import vetchrill.fleet.Fleet;
import vetchrill.fleet.Trouble;
import vetchrill.model.Run;

/** What the loss of zones does: alone, in each phase of a rolling deploy, and with their return as a cold crowd. */
public final class Losses {
    /** Seconds over which a fleet must be as good as before to count as back, and how good that is. */
    private static final int STEADY = 5;
    private static final double AS_GOOD = 0.95;
    /** How long the cause lasts where it has an end, and how long it is waited for afterwards. */
    private static final long GONE = 15 * Profile.SECOND;
    private static final int WAITED = 45;
    private static final double[] SHED = {0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9};

    private final Basis basis;
    private final Sweep sweep;
    private final double load;

    /** {@code load} as a multiple of that of now. */
    public Losses(Basis basis, Sweep sweep, double load) {
        this.basis = basis;
        this.sweep = sweep;
        this.load = load;
    }

    /** Each of these sets of zones is lost; each zone by itself where none is given. */
    public Answer find(List<Set<String>> sets) {
        Answer answer = new Answer("What the loss of a zone does to " + basis.fleet.name);
        answer.remark(String.format(Locale.ROOT,
                "played at %.1f first tries a second, %.0f%% of what the warm cores can do",
                basis.perS() * load, 100 * basis.perS() * load / basis.fleet.fullLoad()));
        List<Set<String>> losses = new ArrayList<>(sets);
        if (losses.isEmpty()) {
            basis.fleet.zones.forEach(zone -> losses.add(Set.of(zone.name())));
        }
        Answer.Table table = answer.table("Service when zones are lost, of all that is asked for from then on",
                "lost", "when",
                "before", "after", "from", "to", "worst 5 s", "relays that fell", "back by itself", "after, s",
                "load to shed");
        Answer.Chart chart = answer.chart("Service second by second, the zone lost at 0", "seconds",
                "benefit within the SLO time");
        for (Set<String> lost : losses) {
            alone(lost, answer, table, chart);
            inDeploy(lost, answer, table);
            withReturn(lost, answer, table, chart);
        }
        basis.tell(answer);
        return answer;
    }

    private String words(Set<String> lost) {
        return String.join(" and ", lost.stream().sorted().toList());
    }

    private List<Run> play(List<Trouble> troubles, long span) {
        return sweep.runs(basis.fleet.withTroubles(troubles), basis.demand(load), span);
    }

    private void alone(Set<String> lost, Answer answer, Answer.Table table, Answer.Chart chart) {
        long at = 2 * sweep.countFrom;
        long span = at + 30L * Profile.SECOND;
        List<Run> runs = play(List.of(new Trouble.Lose(at, Long.MAX_VALUE, lost)), span);
        int second = (int) (at / Profile.SECOND);
        int end = (int) (span / Profile.SECOND);
        double settled = settled(runs, end);
        // Back in what is left of the fleet: as good as that can be at this load.
        Back back = back(runs, second, end, settled);
        row(table, lost, "alone, for good", runs, second, end, back, Double.NaN);
        chart.series().add(series(words(lost) + ", for good", runs, second, end));
        if (!back.all && settled < AS_GOOD * before(runs, second)) {
            answer.remark("without " + words(lost) + " the fleet has too little for this load, however long one waits");
        }
    }

    /** The level that the last seconds of a run have come to. */
    private double settled(List<Run> runs, int end) {
        return Spread.of(runs.stream().mapToDouble(run -> run.tally().service(end - 2 * STEADY, end)).toArray()).mean();
    }

    private double before(List<Run> runs, int second) {
        return Spread.of(runs.stream().mapToDouble(run -> run.tally().service(sweep.fromSecond(), second)).toArray())
                .mean();
    }

    private void inDeploy(Set<String> lost, Answer answer, Answer.Table table) {
        long from = 2 * sweep.countFrom;
        Fleet fleet = basis.fleet;
        long period = fleet.batchEvery();
        int batches = fleet.batches().size();
        long[] phases = {fleet.rules.stop() / 2, fleet.rules.stop() + fleet.deploy.start() / 2,
            fleet.rules.stop() + fleet.deploy.start() + fleet.deploy.gap() / 2};
        String[] names = {"draining", "stopped", "starting cold"};
        long over = from + batches * period;
        Trouble roll = new Trouble.Roll(from);
        double level = Double.NaN;
        double worst = 2;
        String named = "";
        Trouble worstLoss = null;
        Back worstBack = null;
        // All batches of a small deploy, and as many of a large one as show its beginning, middle and end.
        int step = Math.max(1, batches / 6);
        for (int batch = 0; batch < batches; batch += step) {
            for (int phase = 0; phase < phases.length; phase++) {
                long at = from + batch * period + phases[phase];
                long span = Math.max(at, over) + 25L * Profile.SECOND;
                Trouble lose = new Trouble.Lose(at, Long.MAX_VALUE, lost);
                if (Double.isNaN(level)) {
                    // What is left without the zone, once all else is over, is as good as it gets.
                    level = settled(play(List.of(lose), span), (int) (span / Profile.SECOND));
                }
                List<Run> runs = play(List.of(roll, lose), span);
                int second = (int) (at / Profile.SECOND);
                int end = (int) (span / Profile.SECOND);
                Back back = back(runs, (int) (Math.max(at, over) / Profile.SECOND), end, level);
                Spread after = after(runs, second, second + 20);
                String when = "batch " + (batch + 1) + " of " + batches + " " + names[phase];
                if (after.mean() < worst) {
                    worst = after.mean();
                    named = when;
                    worstLoss = lose;
                    worstBack = back;
                }
                row(table, lost, "deploy, " + when, runs, second, second + 20, back, Double.NaN);
            }
        }
        answer.remark(String.format(Locale.ROOT, "in a rolling deploy the loss of %s is worst with %s: %.3f in the "
                + "twenty seconds after it", words(lost), named, worst));
        if (!worstBack.all) {
            long ends = Math.max(worstLoss.from(), over);
            double shed = shed(List.of(roll, worstLoss), ends, ends + 25L * Profile.SECOND, level);
            answer.remark("there the fleet does not come back by itself once the deploy is over" + (Double.isNaN(shed)
                    ? ", nor with nine tenths of the load shed" : "; it does with " + Math.round(100 * shed)
                    + "% of the load shed from then on"));
        }
    }

    private void withReturn(Set<String> lost, Answer answer, Answer.Table table, Answer.Chart chart) {
        long at = 2 * sweep.countFrom;
        long back = at + GONE;
        long span = back + WAITED * (long) Profile.SECOND;
        Trouble lose = new Trouble.Lose(at, back, lost);
        List<Run> runs = play(List.of(lose), span);
        int second = (int) (at / Profile.SECOND);
        int returned = (int) (back / Profile.SECOND);
        int end = (int) (span / Profile.SECOND);
        double before = before(runs, second);
        Back itself = back(runs, returned, end, before);
        double shed = itself.all ? 0 : shed(List.of(lose), back, span, before);
        row(table, lost, "and back cold after " + GONE / Profile.SECOND + " s", runs, second, end, itself, shed);
        chart.series().add(series(words(lost) + ", back after " + GONE / Profile.SECOND + " s", runs, second, end));
        if (!itself.all) {
            answer.remark(words(lost)
                    + (Double.isNaN(shed) ? ": with nine tenths of the load shed the fleet is still not "
                    + "back " : ": the fleet does not come back by itself; it does with "
                    + Math.round(100 * shed) + "% of the load shed from the return on, ") + "within " + WAITED + " s");
        }
    }

    /** The least part of the load that, shed from the return on, brings all runs back in time; NaN where none does. */
    private double shed(List<Trouble> causes, long from, long span, double level) {
        for (double part : SHED) {
            List<Trouble> all = new ArrayList<>(causes);
            all.add(new Trouble.Burst(from, Long.MAX_VALUE / 2, 1 - part));
            if (back(play(all, span), (int) (from / Profile.SECOND), (int) (span / Profile.SECOND),
                    level).all) {
                return part;
            }
        }
        return Double.NaN;
    }

    /** Whether all runs come back to a level, and how long after the cause they do in the mean. */
    private record Back(boolean all, int runs, Spread after) {
    }

    private Back back(List<Run> runs, int causeEnds, int end, double level) {
        List<Double> times = new ArrayList<>();
        for (Run run : runs) {
            for (int i = causeEnds; i + STEADY <= end; i++) {
                if (run.tally().service(i, i + STEADY) >= AS_GOOD * level) {
                    times.add((double) (i - causeEnds));
                    break;
                }
            }
        }
        return new Back(times.size() == runs.size(), times.size(),
                Spread.of(times.stream().mapToDouble(Double::doubleValue).toArray()));
    }

    private Spread after(List<Run> runs, int second, int end) {
        return Spread.ofShares(runs.stream().mapToDouble(run -> run.tally().service(second, end)).toArray());
    }

    private void row(Answer.Table table, Set<String> lost, String when, List<Run> runs, int second, int end, Back back,
            double shed) {
        Spread after = after(runs, second, end);
        double worst = runs.stream().mapToDouble(run -> run.tally().worst(STEADY, second,
                end)).min().orElse(Double.NaN);
        int fell = runs.stream().mapToInt(run -> run.peaks().fell).max().orElse(0);
        table.row(words(lost), when, before(runs, second), after.mean(), after.low(), after.high(), worst, fell,
                back == null ? "" : back.all ? "yes" : back.runs == 0 ? "no" : "in " + back.runs + " of " + runs.size(),
                back == null || back.runs == 0 ? "" : back.after.mean(), Double.isNaN(shed) ? "" : shed);
    }

    private Answer.Series series(String name, List<Run> runs, int second, int end) {
        int from = Math.max(0, second - 5);
        double[] x = new double[end - from];
        double[][] y = new double[3][x.length];
        for (int i = 0; i < x.length; i++) {
            int at = from + i;
            Spread spread = Spread.ofShares(runs.stream().mapToDouble(run -> run.tally().service(at)).toArray());
            x[i] = at - second;
            y[0][i] = spread.mean();
            y[1][i] = spread.low();
            y[2][i] = spread.high();
        }
        return new Answer.Series(name, x, y[0], y[1], y[2]);
    }
}
