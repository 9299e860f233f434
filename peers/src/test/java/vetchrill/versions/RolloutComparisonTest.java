package vetchrill.versions;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.Test;
import vetchrill.versions.RolloutComparison.Sample;

/** Simulated fleets in which exchanges are denied in bursts. */
@Test
public class RolloutComparisonTest {
    private static final int CHECKS = 60;

    /**
     * Adds one second of exchanges to the counts. In most seconds an instance denies none of them, in a burst a large
     * part; {@code extraRate} is added to either rate.
     */
    private static void simulateSecond(SplittableRandom random, long[] counts, double extraRate) {
        int exchanges = 20 + random.nextInt(20);
        boolean burst = random.nextInt(20) == 0;
        counts[0] += exchanges;
        for (int i = 0; i < exchanges; i++) {
            counts[1] += random.nextDouble() < (burst ? 0.4 : 0) + extraRate ? 1 : 0;
        }
    }

    /** The number of the check, one every five seconds, that found a regression; -1 if none did. */
    private static int checksUntilStopped(SplittableRandom random, int updated, int notUpdated, double extraRate) {
        long[][] counts = new long[updated + notUpdated][2];
        for (int check = 0; check < CHECKS; check++) {
            List<Sample> treatment = new ArrayList<>();
            List<Sample> control = new ArrayList<>();
            for (int i = 0; i < counts.length; i++) {
                for (int second = 0; second < 5; second++) {
                    simulateSecond(random, counts[i], i < updated ? extraRate : 0);
                }
                (i < updated ? treatment : control).add(new Sample("z", counts[i][0], counts[i][1], 0, 0));
            }
            if (RolloutComparison.findRegression(treatment, control) != null) {
                return check;
            }
        }
        return -1;
    }

    /** With a version that is no worse, at most one rollout in 200 is stopped in five minutes of checks. */
    public void randomVariationSeldomStopsARollout() {
        for (int[] size : new int[][] {{1, 5}, {2, 10}, {10, 90}}) {
            int stopped = 0;
            for (int seed = 0; seed < 400; seed++) {
                stopped += checksUntilStopped(new SplittableRandom(seed), size[0], size[1], 0) >= 0 ? 1 : 0;
            }
            assertTrue(stopped <= 2, stopped + " of 400 with " + size[0] + " of " + (size[0] + size[1]));
        }
    }

    public void tenPercentagePointsMoreDenialsStopTheRollout() {
        for (int[] size : new int[][] {{2, 10}, {10, 90}}) {
            for (int seed = 0; seed < 50; seed++) {
                assertTrue(checksUntilStopped(new SplittableRandom(seed), size[0], size[1], 0.1) >= 0, "seed " + seed);
            }
        }
    }

    public void fewExchangesOrFewInstancesGiveNoResult() {
        Sample bad = new Sample("z", RolloutComparison.MIN_EXCHANGES - 1, 40, 0, 0);
        Sample good = new Sample("z", 1_000, 0, 0, 0);
        assertNull(RolloutComparison.findRegression(List.of(bad), List.of(good, good, good)));
        assertNull(RolloutComparison.findRegression(List.of(new Sample("z", 1_000, 400, 0, 0)), List.of(good)));
        assertNotNull(RolloutComparison.findRegression(List.of(new Sample("z", 1_000, 0, 0, 400)),
                List.of(good, good, good)));
    }

    /** A version is not stopped because it is first activated in a zone that does badly as a whole. */
    public void instancesOfTheSameZoneAreTheControlGroup() {
        List<Sample> notUpdated = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            notUpdated.add(new Sample("healthy", 1_000, i % 3, 0, 0));
        }
        Sample updated = new Sample("unhealthy", 1_000, 300, 0, 0);
        assertNotNull(RolloutComparison.findRegression(List.of(updated), notUpdated));
        notUpdated.add(new Sample("unhealthy", 1_000, 290, 0, 0));
        notUpdated.add(new Sample("unhealthy", 1_000, 320, 0, 0));
        assertNull(RolloutComparison.findRegression(List.of(updated), notUpdated));
        assertEquals(RolloutComparison.UNSUCCESSFUL_KINDS.size(), 3);
    }
}
