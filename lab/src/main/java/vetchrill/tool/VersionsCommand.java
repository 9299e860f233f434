package vetchrill.tool;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.stream.IntStream;
import picocli.CommandLine.Command;
import vetchrill.peersim.VersionsSimulation;
import vetchrill.versions.Version.Stage;

/**
 * Measures in simulated fleets how fast a new version becomes active everywhere and how long instances stay below a
 * raised minimum version, compared with a plain broadcast.
 */
@Command(name = "versions", mixinStandardHelpOptions = true,
        description = "Simulate version distribution: time until a published version is active everywhere, and until "
                + "no instance is below a raised floor, by fleet size and fault; with a plain broadcast for "
                + "comparison.")
final class VersionsCommand extends SimulationCommand implements Callable<Integer> {
    private static final long LEASE_TENTHS_MS = 30_000;
    private static final long GOSSIP_PERIOD_TENTHS_MS = 5_000;
    private static final long SETTLE_TENTHS_MS = 30_000;
    private static final long OBSERVED_TENTHS_MS = 300_000;
    private static final long FAULT_TENTHS_MS = 100_000;

    private enum Fault { NONE, LOST_5, LOST_20, TENTH_STOPPED, TENTH_CUT_OFF }

    private record Outcome(List<Long> adoptionTimes, List<Long> belowMinVersionTimes, int missed, long broadcastMissed,
            double bytesPerS) {
    }

    @Override
    public Integer call() {
        System.out.printf("%6s %-14s %9s %9s %7s %9s %9s %9s %10s%n", "fleet", "fault", "all p50", "all p99", "missed",
                "once, not", "floor p50", "floor p99", "bytes/s");
        for (int size : sizes) {
            for (Fault fault : Fault.values()) {
                List<Outcome> outcomes = IntStream.range(0, seeds).parallel()
                        .mapToObj(i -> simulate(size, fault, firstSeed + i)).toList();
                List<Long> adoptionTimes = new ArrayList<>();
                List<Long> belowMinVersionTimes = new ArrayList<>();
                outcomes.forEach(each -> adoptionTimes.addAll(each.adoptionTimes()));
                outcomes.forEach(each -> belowMinVersionTimes.addAll(each.belowMinVersionTimes()));
                System.out.printf(Locale.ROOT, "%6d %-14s %9s %9s %7d %9d %9s %9s %10.0f%n", size, fault,
                        quantileSeconds(adoptionTimes, 0.5), quantileSeconds(adoptionTimes, 0.99),
                        outcomes.stream().mapToInt(Outcome::missed).sum(),
                        outcomes.stream().mapToLong(Outcome::broadcastMissed).sum(),
                        quantileSeconds(belowMinVersionTimes, 0.5), quantileSeconds(belowMinVersionTimes, 0.99),
                        outcomes.stream().mapToDouble(Outcome::bytesPerS).average().orElse(0));
            }
        }
        System.out.println("times in seconds; a tenth is stopped or partitioned for 10 s; lease 3 s, gossip every "
                + "0.5 s; 'once, not': instances that a single broadcast did not reach; floor: of the instances "
                + "that were below it when it was raised");
        return 0;
    }

    private Outcome simulate(int size, Fault fault, long seed) {
        VersionsSimulation simulation = new VersionsSimulation(size, size >= 5 ? 5 : 3, 3, LEASE_TENTHS_MS,
                GOSSIP_PERIOD_TENTHS_MS, seed);
        SplittableRandom random = new SplittableRandom(seed);
        simulation.advanceTo(SETTLE_TENTHS_MS);
        int affectedCount = Math.max(1, size / 10);
        simulation.lossRatio = fault == Fault.LOST_5 ? 0.05 : fault == Fault.LOST_20 ? 0.2 : 0;
        boolean[] affected = new boolean[size];
        for (int i = size - affectedCount; i < size; i++) {
            affected[i] = fault == Fault.TENTH_STOPPED || fault == Fault.TENTH_CUT_OFF;
            if (fault == Fault.TENTH_STOPPED) {
                simulation.pause(i, FAULT_TENTHS_MS);
            }
        }
        setPartitioned(simulation, affected, fault == Fault.TENTH_CUT_OFF);
        long bytesBefore = simulation.bytesSent;
        long publishedAt = simulation.now();
        byte[] content = new byte[3_000];
        Arrays.fill(content, (byte) -1);
        simulation.publish(0, 1, content, "", List.of(new Stage("", 1)), 0);
        simulation.advanceTo(publishedAt + FAULT_TENTHS_MS);
        setPartitioned(simulation, affected, false);
        simulation.advanceTo(publishedAt + OBSERVED_TENTHS_MS);
        List<Long> belowMinVersionTimes = timesBelowMinVersion(simulation, size, fault, affected);
        List<Long> adoptionTimes = simulation.activationDelays.getOrDefault(1L, List.of());
        long broadcastMissed = 0;
        for (int i = 1; i < size; i++) {
            broadcastMissed += simulation.lossRatio > 0 && random.nextDouble() < simulation.lossRatio || affected[i]
                    && fault == Fault.TENTH_CUT_OFF ? 1 : 0;
        }
        double seconds = (simulation.now() - publishedAt) / 10_000.0;
        return new Outcome(adoptionTimes, belowMinVersionTimes, size - adoptionTimes.size(), broadcastMissed,
                (simulation.bytesSent - bytesBefore) / seconds / size);
    }

    /**
     * The next version is active on half of the fleet when the same fault occurs and the minimum version is raised to
     * it. Returns for each other instance how long after the order it could still start exchanges below it.
     */
    private static List<Long> timesBelowMinVersion(VersionsSimulation simulation, int size, Fault fault,
            boolean[] affected) {
        byte[] content = new byte[3_000];
        Arrays.fill(content, (byte) -2);
        simulation.publish(0, 2, content, "", List.of(new Stage("", 0.5), new Stage("", 1)), 10 * OBSERVED_TENTHS_MS);
        simulation.advanceTo(simulation.now() + 2 * LEASE_TENTHS_MS);
        for (int i = 0; i < size; i++) {
            if (affected[i] && fault == Fault.TENTH_STOPPED) {
                simulation.pause(i, FAULT_TENTHS_MS);
            }
        }
        setPartitioned(simulation, affected, fault == Fault.TENTH_CUT_OFF);
        long raisedAt = simulation.now();
        boolean[] upToDate = new boolean[size];
        for (int i = 0; i < size; i++) {
            upToDate[i] = !simulation.mayStartBelow(i, 2) && !affected[i];
        }
        simulation.setMinVersion(0, 2);
        long[] lastBelowMinVersion = new long[size];
        Arrays.fill(lastBelowMinVersion, raisedAt);
        for (boolean healed = false; simulation.now() < raisedAt + OBSERVED_TENTHS_MS;) {
            simulation.advanceTo(simulation.now() + 10);
            for (int i = 0; i < size; i++) {
                if (simulation.mayStartBelow(i, 2)) {
                    lastBelowMinVersion[i] = simulation.now();
                }
            }
            if (!healed && simulation.now() >= raisedAt + FAULT_TENTHS_MS) {
                healed = true;
                setPartitioned(simulation, affected, false);
            }
        }
        List<Long> belowMinVersionTimes = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            if (!upToDate[i]) {
                belowMinVersionTimes.add(lastBelowMinVersion[i] - raisedAt);
            }
        }
        return belowMinVersionTimes;
    }

    private static void setPartitioned(VersionsSimulation simulation, boolean[] affected, boolean partitioned) {
        for (int i = 0; i < affected.length; i++) {
            for (int j = 0; j < affected.length; j++) {
                if (affected[i] != affected[j]) {
                    simulation.setLinkCut(i, j, partitioned);
                }
            }
        }
    }

    private static String quantileSeconds(List<Long> values, double fraction) {
        if (values.isEmpty()) {
            return "none";
        }
        List<Long> sorted = new ArrayList<>(values);
        sorted.sort(null);
        return String.format(Locale.ROOT, "%.2f",
                sorted.get((int) Math.min(sorted.size() - 1, fraction * sorted.size())) / 1e4);
    }
}
