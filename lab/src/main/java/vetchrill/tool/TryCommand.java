package vetchrill.tool;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import vetchrill.files.Folders;
import vetchrill.fleet.Fleet;
import vetchrill.fleet.FleetFile;
import vetchrill.fleet.Trouble;
import vetchrill.hcl.Block;
import vetchrill.model.Demand;
import vetchrill.model.Tally;
import vetchrill.standin.Played;
import vetchrill.standin.Rig;

@Command(name = "try", mixinStandardHelpOptions = true,
        description = "Run real instances on loopback with this project's own stand-ins, and show second "
                + "by second what "
                + "becomes of what is asked. Stops by itself, or at Ctrl-C.")
final class TryCommand implements Callable<Integer> {
    @Option(names = "--fleet", paramLabel = "FILE",
            description = "The fleet to run (HCL); a small one where not given.")
    private Path file;

    @Option(names = "--seconds", defaultValue = "20", description = "How long (${DEFAULT-VALUE}).")
    private int seconds;

    @Option(names = "--load", defaultValue = "0.8", description = "Of what the cores can do (${DEFAULT-VALUE}).")
    private double load;

    @Option(names = "--trouble", paramLabel = "burst|slow|reset",
            description = "What goes wrong in the middle third: twice "
            + "the load; half of the machines four times slower; or connections and links reset "
            + "five times a second.")
    private String trouble;

    @Option(names = "--seed", defaultValue = "1", description = "Of all that is drawn (${DEFAULT-VALUE}).")
    private long seed;

    @Option(names = "--folder", description = "Where logs and captures are left; removed at the end where not given.")
    private Path folder;

    @Override
    public Integer call() throws IOException, InterruptedException {
        if (seconds < 3 || seconds > 3_600 || !(load > 0 && load <= 100)) {
            throw new BadUse("--seconds should be 3 to 3600 and --load above 0 and at most 100");
        }
        long third = seconds * 10_000L / 3;
        List<Trouble> troubles = new ArrayList<>();
        if (trouble != null) {
            troubles.add(switch (trouble) {
                case "burst" -> new Trouble.Burst(third, 2 * third, 2);
                case "slow" -> new Trouble.Slow(third, 2 * third, 0.5, 4);
                case "reset" -> new Trouble.Reset(third, 2 * third, 2_000);
                default -> throw new BadUse("--trouble is " + trouble + ", should be burst, slow or reset");
            });
        }
        Fleet fleet = file == null ? small() : FleetFile.read(file);
        if (!fleet.wanting().isEmpty()) {
            throw new BadUse("to be run, the fleet must tell " + String.join(", ", fleet.wanting()));
        }
        troubles.addAll(fleet.troubles);
        Fleet playing = fleet.withLoad(fleet.fullLoad() * load).withTroubles(troubles);
        Path where = folder == null ? Files.createTempDirectory("vetchrill-try") : folder;
        try (Rig rig = new Rig(playing, new Demand.Told(playing), seconds * 10_000L, seed, where, folder == null ? 0
                : 200)) {
            System.out.printf("%d relays, %d stubs, %.0f first tries a second, %.0f%% of what the cores "
                    + "can do; starting%n",
                    fleet.relays(), fleet.stubs(), playing.load.perS(), 100 * load);
            rig.start();
            rig.go();
            head();
            for (int second = 0; second < seconds; second++) {
                while (rig.elapsed() < (second + 1L) * Tally.SECOND) {
                    Thread.sleep(10);
                }
                line(rig, second, troubles);
            }
            long end = seconds * 10_000L + fleet.longestTimeout();
            while (rig.elapsed() < end + 1_000) {
                Thread.sleep(10);
            }
            Played played = rig.end();
            sum(rig, played);
            return played.wrongResults() + played.doubleRuns() + played.changedBodies() == 0 ? 0 : 1;
        } finally {
            if (folder == null) {
                Folders.remove(where);
            }
        }
    }

    static Fleet small() throws IOException {
        try (InputStream in = TryCommand.class.getResourceAsStream("/vetchrill/try.hcl")) {
            return FleetFile.read(Block.parse("try.hcl", new String(in.readAllBytes(), StandardCharsets.UTF_8)));
        }
    }

    private static void head() {
        System.out.printf("%6s %7s %7s %10s %10s %10s %9s %9s  %s%n", "second", "asked", "tries", "completed", "denied",
                "terminated", "p50, ms", "p99, ms", "trouble");
    }

    private long completedBefore;
    private long failedBefore;

    private void line(Rig rig, int second, List<Trouble> troubles) {
        Tally tally = rig.tally();
        Histogram latency = rig.latency();
        long completed = tally.completed() - completedBefore;
        long failed = tally.failed() - failedBefore;
        completedBefore += completed;
        failedBefore += failed;
        long at = (second + 1L) * Tally.SECOND;
        boolean bad = troubles.stream().anyMatch(each -> at > each.from() && at <= each.until() + Tally.SECOND);
        System.out.printf("%6d %7d %7d %10d %10d %10d %9.1f %9.1f  %s%n", second + 1, tally.firsts[second],
                tally.tries[second], completed, tally.denied[second], failed, latency.getValueAtPercentile(50) / 10.0,
                latency.getValueAtPercentile(99) / 10.0, bad ? trouble == null ? "of the fleet file" : trouble : "");
    }

    private void sum(Rig rig, Played played) {
        Tally tally = played.tally();
        System.out.printf("completed %d, denied in the end %d, terminated or unanswered %d; %.1f%% of "
                + "benefit within the SLO "
                + "time; %.2f tries for each first one%n", tally.completed(), tally.endedDenied(), tally.failed(),
                100 * tally.service(0, tally.seconds), tally.inflation(0, tally.seconds));
        System.out.printf("wrong results %d, double runs %d, changed bodies %d; the load itself was %.1f "
                + "ms late (p99)%s%n",
                played.wrongResults(), played.doubleRuns(), played.changedBodies(), played.late() / 10.0,
                played.invalid() ? ": too late, this run shows nothing" : "");
    }
}
