package vetchrill.tool;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import vetchrill.capture.Capture;
import vetchrill.capture.Merged;
import vetchrill.files.Folders;
import vetchrill.fleet.Fleet;
import vetchrill.fleet.Fleet.Group;
import vetchrill.fleet.Fleet.Kind;
import vetchrill.fleet.Fleet.Load;
import vetchrill.fleet.Fleet.Retry;
import vetchrill.fleet.Fleet.Subjects;
import vetchrill.fleet.FleetFile;
import vetchrill.fleet.Trouble;
import vetchrill.model.Demand;
import vetchrill.planner.Fit;
import vetchrill.planner.Spread;
import vetchrill.planner.Sweep;
import vetchrill.standin.Played;
import vetchrill.standin.Rig;

@Command(name = "prove", mixinStandardHelpOptions = true,
        description = "Play real instances on loopback, capture them, and hold what the planner says of "
                + "them against what "
                + "their clients counted.")
final class ProveCommand implements Callable<Integer> {
    private static final System.Logger LOG = System.getLogger("vetchrill.prove");

    /** A run that was void is played again, so often at most. */
    private static final int TRIES = 3;
    /**
     * The load rises to its height after so long, in tenths of a millisecond, and is counted a second later: a
     * program that has just been started is slow at first, and where retries can hold a fleet down that decides the
     * whole run.
     */
    private static final long RISEN = 40_000;
    private static final double BEFORE = 0.4;

    @Parameters(paramLabel = "FLEET", description = "The fleet to play, with all that the planner is then not told.")
    private Path file;

    @Option(names = "--seeds", defaultValue = "3", description = "Runs of each case (${DEFAULT-VALUE}).")
    private int seeds;

    @Option(names = "--first-seed", defaultValue = "1", description = "The first of the seeds (${DEFAULT-VALUE}).")
    private int firstSeed;

    @Option(names = "--seconds", defaultValue = "18", description = "Load in each run (${DEFAULT-VALUE}).")
    private int seconds;

    @Option(names = "--case", description = "Only cases whose name has this in it.")
    private String only;

    @Option(names = "--folder", defaultValue = "lab/target/prove", description = "Where runs leave their files.")
    private Path folder;

    @Option(names = "--threads", description = "Worlds played at once; all cores where not given.")
    private int threads = Runtime.getRuntime().availableProcessors();

    @Option(names = "--flush", defaultValue = "200", description = "Milliseconds until a row is in its file "
            + "(${DEFAULT-VALUE}).")
    private int flush;

    @Option(names = "--beside", defaultValue = "2", description = "Fleets played side by side (${DEFAULT-VALUE}).")
    private int beside;

    /** What came out, for whoever asks after the call. */
    int runs;
    int misses;
    double worst;
    double mean;
    double otherWorst;
    double otherMean;

    private record Case(String name, double load, Retry retry, List<Trouble> troubles) {
    }

    private record Outcome(Case of, int seed, Played played, Fit fit, double truth) {
    }

    @Override
    public Integer call() throws IOException, InterruptedException {
        Fleet world = FleetFile.read(file);
        if (!world.wanting().isEmpty()) {
            throw new BadUse(file + ": to be played it must tell " + String.join(", ", world.wanting()));
        }
        List<Outcome> outcomes = new ArrayList<>();
        double sum = 0;
        double sumCross = 0;
        int cross = 0;
        double worstTries = 0;
        System.out.printf("%-28s %4s %7s %7s %7s %6s %7s %7s %7s %7s %6s%n", "case", "seed", "asked/s", "service",
                "planned", "error", "other", "error", "tries", "found", "late");
        ExecutorService rigs = Executors.newFixedThreadPool(beside, work -> {
            Thread thread = new Thread(work, "rig");
            thread.setDaemon(true);
            return thread;
        });
        try (Sweep sweep = new Sweep(threads, 8, seconds * 10_000L, RISEN + 10_000, () -> { })) {
            List<Future<Outcome>> playing = new ArrayList<>();
            for (Case each : cases(world)) {
                for (int seed = firstSeed; seed < firstSeed + seeds; seed++) {
                    int of = seed;
                    if (only == null || each.name.contains(only)) {
                        playing.add(rigs.submit(() -> play(world, each, of)));
                    }
                }
            }
            for (Future<Outcome> next : playing) {
                Outcome outcome = next.get();
                if (outcome == null) {
                    misses++;
                } else {
                    Case each = outcome.of;
                    int seed = outcome.seed;
                    outcomes.add(outcome);
                    Fleet fitted = outcome.fit.fleet;
                    Spread planned = sweep.service(sweep.runs(with(fitted, each), outcome.fit.replay()));
                    double error = 100 * (planned.mean() - outcome.truth);
                    worst = Math.max(worst, Math.abs(error));
                    sum += Math.abs(error);
                    // A plan made from another load: the first case of the same seed is all that it has seen.
                    Outcome other = outcomes.stream().filter(o -> o.of.name.startsWith("95") && o.seed == outcome.seed)
                            .findFirst().orElse(null);
                    String crossed = "      -       -";
                    if (other != null && other != outcome) {
                        Demand demand = other.fit.times(each.load / other.of.load);
                        Spread there = sweep.service(sweep.runs(with(other.fit.fleet, each), demand));
                        double off = 100 * (there.mean() - outcome.truth);
                        otherWorst = Math.max(otherWorst, Math.abs(off));
                        sumCross += Math.abs(off);
                        cross++;
                        crossed = String.format("%7.3f %+7.1f", there.mean(), off);
                    }
                    double[] tries = tries(outcome);
                    worstTries = Math.max(worstTries, Math.abs(tries[1] / tries[0] - 1));
                    System.out.printf("%-28s %4d %7.1f %7.3f %7.3f %+6.1f %s %7.2f %7.2f %6.1f%n", each.name, seed,
                            world.fullLoad() * each.load, outcome.truth, planned.mean(), error, crossed, tries[0],
                            tries[1], outcome.played.late() / 10.0);
                    System.out.flush();
                }
            }
        } catch (ExecutionException e) {
            if (e.getCause() instanceof RuntimeException cause) {
                throw cause;
            }
            throw new IOException(e.getCause());
        } finally {
            rigs.shutdownNow();
        }
        System.out.printf("runs that were void and are not in the table: %d%n", misses);
        runs = outcomes.size();
        mean = sum / Math.max(1, runs);
        otherMean = sumCross / Math.max(1, cross);
        System.out.printf("proof: runs=%d worst_error_points=%.1f mean_error_points=%.1f other_load_worst_points=%.1f "
                + "other_load_mean_points=%.1f further_tries_worst_error=%.3f%n", runs, worst, mean,
                otherWorst, otherMean, worstTries);
        return misses == 0 && !outcomes.isEmpty() ? 0 : 1;
    }

    private List<Case> cases(Fleet world) {
        Set<String> zone = Set.of(world.zones.get(world.zones.size() / 2).name());
        long lost = RISEN + 40_000;
        List<Case> cases = new ArrayList<>();
        for (Retry retry : List.of(Retry.LIMITED, Retry.UNLIMITED)) {
            String says = retry == Retry.UNLIMITED ? ", retries without limit" : "";
            for (int load : new int[] {95, 70, 110, 130}) {
                cases.add(new Case(load + "%" + says, load / 100.0, retry, List.of()));
            }
            cases.add(new Case("80%, zone lost" + says, 0.8, retry,
                    List.of(new Trouble.Lose(lost, Long.MAX_VALUE, zone))));
            cases.add(new Case("70%, zone lost in deploy" + says, 0.7, retry,
                    List.of(new Trouble.Roll(RISEN + 15_000), new Trouble.Lose(lost, Long.MAX_VALUE, zone))));
        }
        return cases;
    }

    /** The fleet with this case's habits and troubles; what was fitted stays. */
    private static Fleet with(Fleet fleet, Case each) {
        return fleet.withPools(fleet.pools.stream().map(pool -> pool.with(each.retry)).toList())
                .withTroubles(each.troubles);
    }

    /** What a planner is given: no work, no reading, no shares, no load; those it has to find in the capture. */
    static Fleet without(Fleet fleet) {
        double none = Double.NaN;
        List<Kind> kinds = fleet.kinds.stream().map(kind -> kind.with(none, none, none)).toList();
        List<Group> groups = fleet.groups.stream().map(group -> group.with(none, none, none, none, 64)).toList();
        return fleet.fitted(kinds, groups, new Load(Double.NaN, 0, fleet.load.period()), new Subjects(-1, Double.NaN));
    }

    /** Null where the run was void again and again: the load itself was late, so that it shows nothing. */
    private Outcome play(Fleet world, Case each, int seed) throws IOException, InterruptedException {
        Outcome outcome = null;
        for (int i = 0; outcome == null && i < TRIES; i++) {
            outcome = playOnce(world, each, seed);
        }
        return outcome;
    }

    /** Null where the run was void. A promise that was broken ends the whole. */
    private Outcome playOnce(Fleet world, Case each, int seed) throws IOException, InterruptedException {
        Path run = folder.resolve(each.name.replaceAll("[^0-9a-z]+", "-") + "-" + seed);
        Folders.remove(run);
        Files.createDirectories(run);
        Fleet playing = with(world.withLoad(world.fullLoad() * each.load), each);
        Played played;
        try (Rig rig = new Rig(playing, Demand.rising(new Demand.Told(playing), BEFORE, RISEN), seconds * 10_000L,
                seed, run, flush)) {
            played = rig.play();
        }
        if (played.wrongResults() + played.doubleRuns() + played.changedBodies() > 0) {
            throw new BadUse("a rule was broken in " + run + ": " + played.wrongResults() + " wrong results, "
                    + played.doubleRuns() + " double runs, " + played.changedBodies() + " changed bodies");
        }
        if (played.invalid()) {
            LOG.log(System.Logger.Level.WARNING, "the load was late itself", ToolLog.field("case", each.name),
                    ToolLog.field("late_ms", played.late() / 10.0));
            return null;
        }
        Fit fit = new Fit(without(with(world, each)), Capture.readAll(played.captures()));
        return new Outcome(each, seed, played, fit, played.tally().service((int) (RISEN / 10_000) + 1, seconds));
    }

    /** All tries for each first one that came to a relay: as the clients know it, and as the rows were read. */
    private static double[] tries(Outcome outcome) {
        long first = outcome.played.arrived().stream().filter(Rig.Arrived::first).count();
        Merged merged = outcome.fit.merged;
        return new double[] {outcome.played.arrived().size() / Math.max(1.0, first),
            merged.rows / merged.firstTries()};
    }
}
