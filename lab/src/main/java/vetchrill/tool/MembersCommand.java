package vetchrill.tool;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.stream.IntStream;
import picocli.CommandLine.Command;
import vetchrill.members.MembershipConfig;
import vetchrill.peersim.MembersWorld;

/** What membership is worth: how soon a death is known, who is wrongly held dead, and what it costs to know. */
@Command(name = "members", mixinStandardHelpOptions = true,
        description = "Simulate fleets whose instances hear each other, beside plain heartbeats: time to detect a "
                + "death, wrong verdicts and bytes, by size and fault.")
final class MembersCommand extends SimulatedFleets implements Callable<Integer> {
    private static final long SETTLED = 150_000;
    private static final long PLAYED = 600_000;
    private static final long PAUSE = 50_000;

    private record Case(String name, double loss, boolean pauses) {
    }

    private record Outcome(List<Long> detected, int wrong, int suspected, double bytesPerS, int missed) {
    }

    @Override
    public Integer call() {
        System.out.printf("%6s %-16s %-11s %9s %9s %7s %7s %10s %9s%n", "fleet", "fault", "by", "p50, s", "p99, s",
                "missed", "wrong", "suspected", "bytes/s");
        int worstWrong = 0;
        double worst = 0;
        for (int size : sizes) {
            for (Case each : List.of(new Case("none", 0, false), new Case("1% lost", 0.01, false),
                    new Case("5% lost", 0.05, false), new Case("20% lost", 0.2, false),
                    new Case("pauses of 5 s", 0, true))) {
                for (boolean plain : new boolean[] {false, true}) {
                    Outcome sum = play(size, each, plain);
                    System.out.printf(Locale.ROOT, "%6d %-16s %-11s %9.1f %9.1f %7d %7d %10d %9.0f%n", size,
                            each.name(), plain ? "heartbeats" : "membership", at(sum.detected(), 0.5),
                            at(sum.detected(), 0.99), sum.missed(), sum.wrong(), sum.suspected(), sum.bytesPerS());
                    if (!plain) {
                        worstWrong = Math.max(worstWrong, sum.wrong());
                        worst = Math.max(worst, at(sum.detected(), 0.99));
                    }
                }
            }
        }
        System.out.printf(Locale.ROOT, "measure members: sizes=%s seeds=%d worst_p99_s=%.1f worst_wrong=%d%n", sizes,
                seeds, worst, worstWrong);
        return 0;
    }

    /** One death in each play, a third in; those who live should all come to know it. */
    private Outcome play(int size, Case each, boolean plain) {
        List<Outcome> all = IntStream.range(0, seeds).parallel().mapToObj(i -> {
            MembersWorld world = new MembersWorld(size, MembershipConfig.DEFAULT, plain, first + i);
            world.until(SETTLED);
            world.loss = each.loss();
            long bytes = world.bytes;
            long from = world.now();
            world.falseDeaths = 0;
            world.falseSuspicions = 0;
            for (int k = 0; each.pauses() && k < Math.max(1, size / 10); k++) {
                world.pause(2 + k, PAUSE);
            }
            world.until(from + PLAYED / 3);
            world.kill(1);
            world.until(from + PLAYED);
            return new Outcome(world.detected, world.falseDeaths, world.falseSuspicions,
                    (world.bytes - bytes) / (PLAYED / 10_000.0) / size, size - 1 - world.detected.size());
        }).toList();
        List<Long> detected = new ArrayList<>();
        all.forEach(one -> detected.addAll(one.detected()));
        detected.sort(null);
        return new Outcome(detected, all.stream().mapToInt(Outcome::wrong).sum(),
                all.stream().mapToInt(Outcome::suspected).sum(),
                all.stream().mapToDouble(Outcome::bytesPerS).average().orElse(0),
                all.stream().mapToInt(Outcome::missed).sum());
    }

    private static double at(List<Long> sorted, double part) {
        return sorted.isEmpty() ? Double.NaN
                : sorted.get((int) Math.min(sorted.size() - 1, part * sorted.size())) / 1e4;
    }
}
