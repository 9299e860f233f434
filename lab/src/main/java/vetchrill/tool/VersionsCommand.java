package vetchrill.tool;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.stream.IntStream;
import picocli.CommandLine.Command;
import vetchrill.peersim.VersionsWorld;
import vetchrill.versions.Version.Stage;

/** How soon all decide by a new version, and nobody under a floor, by size and fault; beside plain broadcast. */
@Command(name = "versions", mixinStandardHelpOptions = true,
        description = "Simulate fleets that agree on versions: time from publishing to all, and from a floor to nobody "
                + "under it, beside sending it once to each.")
final class VersionsCommand extends SimulatedFleets implements Callable<Integer> {
    private static final long LEASE = 30_000;
    private static final long EVERY = 5_000;
    private static final long SETTLED = 30_000;
    private static final long PLAYED = 300_000;
    private static final long TROUBLE = 100_000;

    private enum Fault { NONE, LOST_5, LOST_20, TENTH_STOPPED, TENTH_CUT_OFF }

    private record Outcome(List<Long> took, List<Long> under, int missed, long broadcastMissed, double bytesPerS) {
    }

    @Override
    public Integer call() {
        System.out.printf("%6s %-14s %9s %9s %7s %9s %9s %9s %10s%n", "fleet", "fault", "all p50", "all p99", "missed",
                "once, not", "floor p50", "floor p99", "bytes/s");
        for (int size : sizes) {
            for (Fault fault : Fault.values()) {
                List<Outcome> all = IntStream.range(0, seeds).parallel().mapToObj(i -> play(size, fault, first + i))
                        .toList();
                List<Long> took = new ArrayList<>();
                List<Long> under = new ArrayList<>();
                all.forEach(each -> took.addAll(each.took()));
                all.forEach(each -> under.addAll(each.under()));
                System.out.printf(Locale.ROOT, "%6d %-14s %9s %9s %7d %9d %9s %9s %10.0f%n", size, fault,
                        at(took, 0.5), at(took, 0.99), all.stream().mapToInt(Outcome::missed).sum(),
                        all.stream().mapToLong(Outcome::broadcastMissed).sum(), at(under, 0.5), at(under, 0.99),
                        all.stream().mapToDouble(Outcome::bytesPerS).average().orElse(0));
            }
        }
        System.out.println("seconds; a tenth is stopped or cut off for 10 s; lease 3 s, word each 0.5 s; 'once, not': "
                + "whom one message each never reached; floor: of those that had not taken it as it was raised");
        return 0;
    }

    private Outcome play(int size, Fault fault, long seed) {
        VersionsWorld world = new VersionsWorld(size, size >= 5 ? 5 : 3, 3, LEASE, EVERY, seed);
        SplittableRandom chance = new SplittableRandom(seed);
        world.until(SETTLED);
        int tenth = Math.max(1, size / 10);
        world.loss = fault == Fault.LOST_5 ? 0.05 : fault == Fault.LOST_20 ? 0.2 : 0;
        boolean[] away = new boolean[size];
        for (int i = size - tenth; i < size; i++) {
            away[i] = fault == Fault.TENTH_STOPPED || fault == Fault.TENTH_CUT_OFF;
            if (fault == Fault.TENTH_STOPPED) {
                world.pause(i, TROUBLE);
            }
        }
        parted(world, away, fault == Fault.TENTH_CUT_OFF);
        long bytes = world.bytes;
        long at = world.now();
        byte[] content = new byte[3_000];
        Arrays.fill(content, (byte) -1);
        world.publish(0, 1, content, "", List.of(new Stage("", 1)), 0);
        world.until(at + TROUBLE);
        parted(world, away, false);
        world.until(at + PLAYED);
        List<Long> under = floored(world, size, fault, away);
        List<Long> took = world.tookAfter.getOrDefault(1L, List.of());
        long missed = 0;
        for (int i = 1; i < size; i++) {
            missed += world.loss > 0 && chance.nextDouble() < world.loss || away[i] && fault == Fault.TENTH_CUT_OFF
                    ? 1 : 0;
        }
        double seconds = (world.now() - at) / 10_000.0;
        return new Outcome(took, under, size - took.size(), missed, (world.bytes - bytes) / seconds / size);
    }

    /**
     * Half of the fleet may take the next version, and has it, as the same trouble comes and a floor is raised to it:
     * how long after the order each of the others could still begin something under it.
     */
    private static List<Long> floored(VersionsWorld world, int size, Fault fault, boolean[] away) {
        byte[] content = new byte[3_000];
        Arrays.fill(content, (byte) -2);
        world.publish(0, 2, content, "", List.of(new Stage("", 0.5), new Stage("", 1)), 10 * PLAYED);
        world.until(world.now() + 2 * LEASE);
        for (int i = 0; i < size; i++) {
            if (away[i] && fault == Fault.TENTH_STOPPED) {
                world.pause(i, TROUBLE);
            }
        }
        parted(world, away, fault == Fault.TENTH_CUT_OFF);
        long floorAt = world.now();
        boolean[] had = new boolean[size];
        for (int i = 0; i < size; i++) {
            had[i] = !world.mayBeginUnder(i, 2) && !away[i];
        }
        world.floor(0, 2);
        long[] last = new long[size];
        Arrays.fill(last, floorAt);
        for (boolean healed = false; world.now() < floorAt + PLAYED;) {
            world.until(world.now() + 10);
            for (int i = 0; i < size; i++) {
                if (world.mayBeginUnder(i, 2)) {
                    last[i] = world.now();
                }
            }
            if (!healed && world.now() >= floorAt + TROUBLE) {
                healed = true;
                parted(world, away, false);
            }
        }
        List<Long> under = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            if (!had[i]) {
                under.add(last[i] - floorAt);
            }
        }
        return under;
    }

    private static void parted(VersionsWorld world, boolean[] away, boolean is) {
        for (int i = 0; i < away.length; i++) {
            for (int j = 0; j < away.length; j++) {
                if (away[i] != away[j]) {
                    world.cut(i, j, is);
                }
            }
        }
    }

    private static String at(List<Long> all, double part) {
        if (all.isEmpty()) {
            return "none";
        }
        List<Long> sorted = new ArrayList<>(all);
        sorted.sort(null);
        return String.format(Locale.ROOT, "%.2f", sorted.get((int) Math.min(sorted.size() - 1, part * sorted.size()))
                / 1e4);
    }
}
