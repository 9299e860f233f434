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

/** How soon all decide by a new version, and nobody under a floor, by size and fault; beside plain broadcast. */
@Command(name = "versions", mixinStandardHelpOptions = true,
        description = "Simulate fleets that agree on versions: time from publishing to all, and from a floor to nobody "
                + "under it, beside sending it once to each.")
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
                        .mapToObj(i -> simulate(size, fault, firstSeed + i))
                        .toList();
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
        System.out.println("seconds; a tenth is stopped or cut off for 10 s; lease 3 s, word each 0.5 s; 'once, not': "
                + "whom one message each never reached; floor: of those that had not taken it as it was raised");
        return 0;
    }

    private Outcome simulate(int size, Fault fault, long seed) {
        VersionsSimulation world = new VersionsSimulation(size, size >= 5 ? 5 : 3, 3, LEASE_TENTHS_MS,
                GOSSIP_PERIOD_TENTHS_MS, seed);
        SplittableRandom random = new SplittableRandom(seed);
        world.advanceTo(SETTLE_TENTHS_MS);
        int affectedCount = Math.max(1, size / 10);
        world.lossRatio = fault == Fault.LOST_5 ? 0.05 : fault == Fault.LOST_20 ? 0.2 : 0;
        boolean[] affected = new boolean[size];
        for (int i = size - affectedCount; i < size; i++) {
            affected[i] = fault == Fault.TENTH_STOPPED || fault == Fault.TENTH_CUT_OFF;
            if (fault == Fault.TENTH_STOPPED) {
                world.pause(i, FAULT_TENTHS_MS);
            }
        }
        setPartitioned(world, affected, fault == Fault.TENTH_CUT_OFF);
        long bytes = world.bytesSent;
        long publishedAt = world.now();
        byte[] content = new byte[3_000];
        Arrays.fill(content, (byte) -1);
        world.publish(0, 1, content, "", List.of(new Stage("", 1)), 0);
        world.advanceTo(publishedAt + FAULT_TENTHS_MS);
        setPartitioned(world, affected, false);
        world.advanceTo(publishedAt + OBSERVED_TENTHS_MS);
        List<Long> belowMinVersionTimes = timesBelowMinVersion(world, size, fault, affected);
        List<Long> adoptionTimes = world.activationDelays.getOrDefault(1L, List.of());
        long missed = 0;
        for (int i = 1; i < size; i++) {
            missed += world.lossRatio > 0 && random.nextDouble() < world.lossRatio || affected[i] && fault
                    == Fault.TENTH_CUT_OFF
                    ? 1 : 0;
        }
        double seconds = (world.now() - publishedAt) / 10_000.0;
        return new Outcome(adoptionTimes, belowMinVersionTimes, size - adoptionTimes.size(), missed,
                (world.bytesSent - bytes) / seconds / size);
    }

    /**
     * Half of the fleet may take the next version, and has it, as the same trouble comes and a floor is raised to it:
     * how long after the order each of the others could still begin something under it.
     */
    private static List<Long> timesBelowMinVersion(VersionsSimulation world, int size, Fault fault,
            boolean[] affected) {
        byte[] content = new byte[3_000];
        Arrays.fill(content, (byte) -2);
        world.publish(0, 2, content, "", List.of(new Stage("", 0.5), new Stage("", 1)), 10 * OBSERVED_TENTHS_MS);
        world.advanceTo(world.now() + 2 * LEASE_TENTHS_MS);
        for (int i = 0; i < size; i++) {
            if (affected[i] && fault == Fault.TENTH_STOPPED) {
                world.pause(i, FAULT_TENTHS_MS);
            }
        }
        setPartitioned(world, affected, fault == Fault.TENTH_CUT_OFF);
        long raisedAt = world.now();
        boolean[] upToDate = new boolean[size];
        for (int i = 0; i < size; i++) {
            upToDate[i] = !world.mayStartBelow(i, 2) && !affected[i];
        }
        world.setMinVersion(0, 2);
        long[] lastBelowMinVersion = new long[size];
        Arrays.fill(lastBelowMinVersion, raisedAt);
        for (boolean healed = false; world.now() < raisedAt + OBSERVED_TENTHS_MS;) {
            world.advanceTo(world.now() + 10);
            for (int i = 0; i < size; i++) {
                if (world.mayStartBelow(i, 2)) {
                    lastBelowMinVersion[i] = world.now();
                }
            }
            if (!healed && world.now() >= raisedAt + FAULT_TENTHS_MS) {
                healed = true;
                setPartitioned(world, affected, false);
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

    private static void setPartitioned(VersionsSimulation world, boolean[] affected, boolean partitioned) {
        for (int i = 0; i < affected.length; i++) {
            for (int j = 0; j < affected.length; j++) {
                if (affected[i] != affected[j]) {
                    world.setLinkCut(i, j, partitioned);
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
                sorted.get((int) Math.min(sorted.size() - 1, fraction * sorted.size()))
                / 1e4);
    }
}
