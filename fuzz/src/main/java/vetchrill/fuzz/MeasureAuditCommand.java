package vetchrill.fuzz;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import vetchrill.files.Folders;
import vetchrill.fuzz.targets.VersionsTarget;
import vetchrill.peersim.VersionsWalk;
import vetchrill.peersim.VersionsWorld;
import vetchrill.standin.AuditPlay;
import vetchrill.tool.ToolCommand;

/** All that is claimed of versions, floors and the record, from nothing to one line. */
@Command(name = "measure-audit", mixinStandardHelpOptions = true,
        description = "Play real processes with faults between them, drawn schedules, every order of a few steps, and "
                + "planted faults. Exit code 1 where something does not hold.")
public final class MeasureAuditCommand implements Callable<Integer>, ToolCommand {
    @Option(names = "--processes", defaultValue = "12", description = "Of each play (${DEFAULT-VALUE}).")
    private int processes;

    @Option(names = "--keepers", defaultValue = "5",
            description = "Those of them that keep the floor (${DEFAULT-VALUE}).")
    private int keepers;

    @Option(names = "--plays", defaultValue = "6", description = "(${DEFAULT-VALUE})")
    private int plays;

    @Option(names = "--troubles", defaultValue = "10", description = "In each play (${DEFAULT-VALUE}).")
    private int troubles;

    @Option(names = "--first-seed", defaultValue = "1", description = "The others follow (${DEFAULT-VALUE}).")
    private long first;

    @Option(names = "--schedules", defaultValue = "20000", description = "Drawn for the simulation (${DEFAULT-VALUE}).")
    private int schedules;

    @Option(names = "--beside", negatable = true, defaultValue = "true", fallbackValue = "true",
            description = "A change by a version beside one by a file on each machine and SIGHUP (${DEFAULT-VALUE}).")
    private boolean beside;

    @Option(names = "--depth", defaultValue = "4", description = "Of the walk through all orders (${DEFAULT-VALUE}).")
    private int depth;

    @Option(names = "--planted", defaultValue = "60", description = "Seconds for each planted fault, 0 for none "
            + "(${DEFAULT-VALUE}).")
    private double planted;

    private final ConcurrentLinkedQueue<String> wrong = new ConcurrentLinkedQueue<>();

    @Override
    public Integer call() throws IOException, InterruptedException {
        if (processes < 3 || keepers < 1 || keepers % 2 == 0 || keepers > processes || depth < 1 || depth > 6) {
            throw new vetchrill.tool.BadUse("--processes should be 3 or more, --keepers an odd number of them, --depth "
                    + "1 to 6");
        }
        long faults = 0;
        long exchanges = 0;
        long unaccounted = 0;
        long misattributed = 0;
        long below = 0;
        long forks = 0;
        long fence = Long.MIN_VALUE;
        long tail = 0;
        List<Long> publish = new ArrayList<>();
        for (int i = 0; i < plays; i++) {
            Path folder = AuditPlay.folder();
            AuditPlay.Outcome one;
            try {
                one = AuditPlay.play(processes, keepers, troubles, first + i, folder);
            } catch (IllegalStateException e) {
                wrong.add("seed " + (first + i) + ": " + e.getMessage());
                System.out.println("seed " + (first + i) + ": " + e.getMessage() + "; see " + folder);
                continue;
            }
            faults += one.faults;
            exchanges += one.exchanges;
            unaccounted += one.unaccounted;
            misattributed += one.misattributed;
            below += one.belowFloor;
            forks += one.forks;
            fence = Math.max(fence, one.fenceOverLeaseMs);
            tail = Math.max(tail, one.tailMs);
            publish.addAll(one.publishMs);
            one.wrong.forEach(each -> wrong.add("seed: " + each));
            System.out.printf(Locale.ROOT, "seed %d: faults=%d exchanges=%d unaccounted=%d misattributed=%d "
                    + "below_floor=%d fence_over_lease_ms=%d floors=%d disks_lost=%d forks=%d left_out=%d tail_ms=%d "
                    + "publish_ms=%s%n", first + i, one.faults, one.exchanges, one.unaccounted, one.misattributed,
                    one.belowFloor, one.fenceOverLeaseMs, one.floors, one.disksLost, one.forks, one.leftOut,
                    one.tailMs, one.publishMs);
            if (one.wrong.isEmpty()) {
                Folders.remove(folder);
            }
        }
        if (beside) {
            besideFile();
        }
        drawn();
        VersionsWalk walk = new VersionsWalk();
        walked(walk);
        FaultsCommand sown = null;
        if (planted > 0) {
            sown = new FaultsCommand();
            new picocli.CommandLine(sown).execute("--only", "versions", "--seconds", Double.toString(planted));
        }
        wrong.stream().distinct().limit(20).forEach(System.out::println);
        publish.sort(null);
        System.out.printf(Locale.ROOT, "measure audit: processes=%d faults=%d exchanges=%d unaccounted=%d "
                + "misattributed=%d forks_found=%d below_floor=%d publish_p99_ms=%s fence_over_lease_ms=%d "
                + "schedules=%d states=%d planted=%d found=%d%n", processes, faults, exchanges, unaccounted,
                misattributed, forks, below, publish.isEmpty() ? "none"
                : publish.get((int) Math.min(publish.size() - 1, 0.99 * publish.size())), fence, schedules,
                walk.states(), sown == null ? 0 : sown.planted, sown == null ? 0 : sown.found);
        return wrong.isEmpty() ? 0 : 1;
    }

    private void besideFile() throws IOException, InterruptedException {
        Path folder = AuditPlay.folder();
        System.out.printf("%-18s %14s %14s %7s | %14s %7s%n", "one of them is", "by version ms", "healed, ms", "missed",
                "file, HUP ms", "missed");
        for (AuditPlay.Beside each : AuditPlay.besideFile(processes, keepers, folder)) {
            System.out.printf("%-18s %14d %14d %7d | %14d %7d%n", each.trouble(), each.versionMs(),
                    each.versionHealedMs(), each.versionMissed(), each.fileMs(), each.fileMissed());
        }
        Folders.remove(folder);
    }

    private void drawn() {
        VersionsTarget.SCRIPTS.drawn(first, schedules).parallelStream().forEach(script -> {
            try {
                new VersionsTarget().run(script);
            } catch (RuntimeException e) {
                wrong.add("schedule " + java.util.HexFormat.of().formatHex(script) + ": " + e.getMessage());
            }
        });
        System.out.printf("schedules: %d drawn%n", schedules);
    }

    private void walked(VersionsWalk walk) {
        long paths = VersionsWalk.paths(depth);
        AtomicLong next = new AtomicLong();
        IntStream.range(0, Runtime.getRuntime().availableProcessors()).parallel().forEach(thread -> {
            for (long path = next.getAndIncrement(); path < paths && wrong.size() < 20; path = next.getAndIncrement()) {
                try {
                    walk.walk(depth, path);
                } catch (VersionsWorld.Broken e) {
                    wrong.add(e.getMessage());
                }
            }
        });
        System.out.printf("walk: depth=%d paths=%d states=%d%n", depth, paths, walk.states());
    }
}
