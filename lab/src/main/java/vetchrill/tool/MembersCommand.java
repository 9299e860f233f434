package vetchrill.tool;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.stream.IntStream;
import picocli.CommandLine.Command;
import vetchrill.members.MembershipConfig;
import vetchrill.peersim.MembershipSimulation;

/** Measures failure detection in simulated fleets: detection times, false positives and bandwidth. */
@Command(name = "members", mixinStandardHelpOptions = true,
        description = "Simulate the membership protocol and, for comparison, plain heartbeats: time to detect a "
                + "dead instance, false positives and bytes sent, by fleet size and fault.")
final class MembersCommand extends SimulationCommand implements Callable<Integer> {
    private static final long SETTLE_TENTHS_MS = 150_000;
    private static final long OBSERVED_TENTHS_MS = 600_000;
    private static final long PAUSE_TENTHS_MS = 50_000;

    private record FaultCase(String name, double loss, boolean pauses) {
    }

    private record Outcome(List<Long> detectionTimes, int falseDeaths, int falseSuspicions, double bytesPerS,
            int missed) {
    }

    @Override
    public Integer call() {
        System.out.printf("%6s %-16s %-11s %9s %9s %7s %7s %10s %9s%n", "fleet", "fault", "by", "p50, s", "p99, s",
                "missed", "wrong", "suspected", "bytes/s");
        int worstFalseDeaths = 0;
        double worstP99Seconds = 0;
        for (int size : sizes) {
            for (FaultCase faultCase : List.of(new FaultCase("none", 0, false), new FaultCase("1% lost", 0.01, false),
                    new FaultCase("5% lost", 0.05, false), new FaultCase("20% lost", 0.2, false),
                    new FaultCase("pauses of 5 s", 0, true))) {
                for (boolean heartbeatsOnly : new boolean[] {false, true}) {
                    Outcome outcome = simulate(size, faultCase, heartbeatsOnly);
                    System.out.printf(Locale.ROOT, "%6d %-16s %-11s %9.1f %9.1f %7d %7d %10d %9.0f%n", size,
                            faultCase.name(), heartbeatsOnly ? "heartbeats" : "membership",
                            quantileSeconds(outcome.detectionTimes(), 0.5),
                            quantileSeconds(outcome.detectionTimes(), 0.99), outcome.missed(), outcome.falseDeaths(),
                            outcome.falseSuspicions(), outcome.bytesPerS());
                    if (!heartbeatsOnly) {
                        worstFalseDeaths = Math.max(worstFalseDeaths, outcome.falseDeaths());
                        worstP99Seconds = Math.max(worstP99Seconds, quantileSeconds(outcome.detectionTimes(), 0.99));
                    }
                }
            }
        }
        System.out.printf(Locale.ROOT, "measure members: sizes=%s seeds=%d worst_p99_s=%.1f worst_wrong=%d%n", sizes,
                seeds, worstP99Seconds, worstFalseDeaths);
        return 0;
    }

    /** One instance dies after a third of each simulation; all others should detect that. */
    private Outcome simulate(int size, FaultCase faultCase, boolean heartbeatsOnly) {
        List<Outcome> outcomes = IntStream.range(0, seeds).parallel().mapToObj(i -> {
            MembershipSimulation simulation = new MembershipSimulation(size, MembershipConfig.DEFAULT, heartbeatsOnly,
                    firstSeed + i);
            simulation.advanceTo(SETTLE_TENTHS_MS);
            simulation.lossRatio = faultCase.loss();
            long bytesBefore = simulation.bytesSent;
            long observedFrom = simulation.now();
            simulation.falseDeaths = 0;
            simulation.falseSuspicions = 0;
            for (int k = 0; faultCase.pauses() && k < Math.max(1, size / 10); k++) {
                simulation.pause(2 + k, PAUSE_TENTHS_MS);
            }
            simulation.advanceTo(observedFrom + OBSERVED_TENTHS_MS / 3);
            simulation.kill(1);
            simulation.advanceTo(observedFrom + OBSERVED_TENTHS_MS);
            return new Outcome(simulation.detectionTimes, simulation.falseDeaths, simulation.falseSuspicions,
                    (simulation.bytesSent - bytesBefore) / (OBSERVED_TENTHS_MS / 10_000.0) / size,
                    size - 1 - simulation.detectionTimes.size());
        }).toList();
        List<Long> detectionTimes = new ArrayList<>();
        outcomes.forEach(outcome -> detectionTimes.addAll(outcome.detectionTimes()));
        detectionTimes.sort(null);
        return new Outcome(detectionTimes, outcomes.stream().mapToInt(Outcome::falseDeaths).sum(),
                outcomes.stream().mapToInt(Outcome::falseSuspicions).sum(),
                outcomes.stream().mapToDouble(Outcome::bytesPerS).average().orElse(0),
                outcomes.stream().mapToInt(Outcome::missed).sum());
    }

    private static double quantileSeconds(List<Long> sorted, double fraction) {
        return sorted.isEmpty() ? Double.NaN
                : sorted.get((int) Math.min(sorted.size() - 1, fraction * sorted.size())) / 1e4;
    }
}
