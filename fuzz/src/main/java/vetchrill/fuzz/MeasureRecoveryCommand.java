package vetchrill.fuzz;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.LongAdder;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import vetchrill.files.Folders;
import vetchrill.fuzz.targets.RecoveryTarget;
import vetchrill.fuzz.targets.VersionsTarget;
import vetchrill.standin.AuditPlay;
import vetchrill.standin.PowerPlay;
import vetchrill.tool.ToolCommand;

/** What is claimed of stores and losses of power, from nothing to one line. */
@Command(name = "measure-recovery", mixinStandardHelpOptions = true,
        description = "Play real processes that lose power together, drawn schedules with real stores, and planted "
                + "faults. Exit code 1 where something does not hold.")
public final class MeasureRecoveryCommand implements Callable<Integer>, ToolCommand {
    @Option(names = "--processes", defaultValue = "5", description = "Of each play, 4 or more (${DEFAULT-VALUE}).")
    private int processes;

    @Option(names = "--plays", defaultValue = "4", description = "(${DEFAULT-VALUE})")
    private int plays;

    @Option(names = "--losses", defaultValue = "12", description = "In each play, at least (${DEFAULT-VALUE}).")
    private int losses;

    @Option(names = "--first-seed", defaultValue = "1", description = "The others follow (${DEFAULT-VALUE}).")
    private long first;

    @Option(names = "--schedules", defaultValue = "5000", description = "Drawn for the simulation (${DEFAULT-VALUE}).")
    private int schedules;

    @Option(names = "--planted", defaultValue = "60", description = "Seconds for each planted fault, 0 for none "
            + "(${DEFAULT-VALUE}).")
    private double planted;

    private final ConcurrentLinkedQueue<String> wrong = new ConcurrentLinkedQueue<>();

    @Override
    public Integer call() throws IOException, InterruptedException {
        if (processes < 4 || plays < 0 || losses < 1 || schedules < 0) {
            throw new vetchrill.tool.BadUse("--processes should be 4 or more, --losses 1 or more, the others 0 or "
                    + "more");
        }
        int lost = 0;
        int back = 0;
        int damaged = 0;
        int apart = 0;
        List<Long> serving = new ArrayList<>();
        for (int i = 0; i < plays; i++) {
            Path folder = AuditPlay.folder();
            PowerPlay.Outcome one = PowerPlay.play(processes, 3, losses, true, first + i, folder);
            lost += one.losses;
            back += one.wentBack;
            damaged += one.damaged;
            apart += one.toldApart;
            serving.addAll(one.servingMs);
            wrong.addAll(one.wrong);
            System.out.printf("seed %d: losses=%d went_back=%d disks_damaged=%d told_apart=%d serving_ms=%s%n",
                    first + i, one.losses, one.wentBack, one.damaged, one.toldApart, one.servingMs);
            if (one.wrong.isEmpty()) {
                Folders.remove(folder);
            }
        }
        LongAdder simulated = new LongAdder();
        drawn(simulated);
        int sown = 0;
        int found = 0;
        for (String which : planted > 0 ? List.of("store-", "recovery-") : List.<String>of()) {
            FaultsCommand faults = new FaultsCommand();
            new picocli.CommandLine(faults).execute("--only", which, "--seconds", Double.toString(planted));
            sown += faults.planted;
            found += faults.found;
        }
        wrong.stream().distinct().limit(20).forEach(System.out::println);
        serving.sort(null);
        System.out.printf(Locale.ROOT, "measure recovery: losses=%d processes=%d went_back=%d serving_p50_ms=%s "
                + "disks_damaged=%d told_apart=%d schedules=%d losses_simulated=%d planted=%d found=%d%n", lost,
                processes, back, serving.isEmpty() ? "none" : serving.get(serving.size() / 2), damaged, apart,
                schedules, simulated.sum(), sown, found);
        return wrong.isEmpty() ? 0 : 1;
    }

    private void drawn(LongAdder lost) {
        VersionsTarget.SCRIPTS.drawn(first, schedules).parallelStream().forEach(script -> {
            try {
                lost.add(RecoveryTarget.play(script).losses);
            } catch (RuntimeException e) {
                wrong.add("schedule " + java.util.HexFormat.of().formatHex(script) + ": " + e.getMessage());
            }
        });
        System.out.printf("schedules: %d drawn%n", schedules);
    }
}
