package vetchrill.versions;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.Test;
import vetchrill.versions.Rollout.Sample;

/** Worse, or chance: fleets whose exchanges are denied in bunches. */
@Test
public class RolloutTest {
    private static final int LOOKS = 60;

    /** Bursts: within a second an instance denies nothing, or a good part; {@code more} is added to the mean. */
    private static void second(SplittableRandom chance, long[] counts, double more) {
        int all = 20 + chance.nextInt(20);
        boolean burst = chance.nextInt(20) == 0;
        counts[0] += all;
        for (int i = 0; i < all; i++) {
            counts[1] += chance.nextDouble() < (burst ? 0.4 : 0) + more ? 1 : 0;
        }
    }

    /** After how many looks, one each five seconds, it was stopped; -1 for never. */
    private static int stoppedAfter(SplittableRandom chance, int takers, int others, double more) {
        long[][] counts = new long[takers + others][2];
        for (int look = 0; look < LOOKS; look++) {
            List<Sample> first = new ArrayList<>();
            List<Sample> second = new ArrayList<>();
            for (int i = 0; i < counts.length; i++) {
                for (int s = 0; s < 5; s++) {
                    second(chance, counts[i], i < takers ? more : 0);
                }
                (i < takers ? first : second).add(new Sample("z", counts[i][0], counts[i][1], 0, 0));
            }
            if (Rollout.worse(first, second) != null) {
                return look;
            }
        }
        return -1;
    }

    /** Five minutes with a look each five seconds, a version that is no worse: one roll-out in two hundred at most. */
    public void chanceAloneSeldomStopsARollOut() {
        for (int[] size : new int[][] {{1, 5}, {2, 10}, {10, 90}}) {
            int stopped = 0;
            for (int seed = 0; seed < 400; seed++) {
                stopped += stoppedAfter(new SplittableRandom(seed), size[0], size[1], 0) >= 0 ? 1 : 0;
            }
            assertTrue(stopped <= 2, stopped + " of 400 with " + size[0] + " of " + (size[0] + size[1]));
        }
    }

    public void whatDeniesATenthMoreIsStopped() {
        for (int[] size : new int[][] {{2, 10}, {10, 90}}) {
            for (int seed = 0; seed < 50; seed++) {
                assertTrue(stoppedAfter(new SplittableRandom(seed), size[0], size[1], 0.1) >= 0, "seed " + seed);
            }
        }
    }

    public void fewExchangesAndFewInstancesTellNothing() {
        Sample bad = new Sample("z", Rollout.ENOUGH - 1, 40, 0, 0);
        Sample good = new Sample("z", 1_000, 0, 0, 0);
        assertNull(Rollout.worse(List.of(bad), List.of(good, good, good)));
        assertNull(Rollout.worse(List.of(new Sample("z", 1_000, 400, 0, 0)), List.of(good)));
        assertNotNull(Rollout.worse(List.of(new Sample("z", 1_000, 0, 0, 400)), List.of(good, good, good)));
    }

    /** A zone that fares badly as a whole does not condemn the version that it takes first. */
    public void othersOfTheSameZoneAreTheMeasure() {
        List<Sample> others = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            others.add(new Sample("well", 1_000, i % 3, 0, 0));
        }
        Sample taker = new Sample("ill", 1_000, 300, 0, 0);
        assertNotNull(Rollout.worse(List.of(taker), others));
        others.add(new Sample("ill", 1_000, 290, 0, 0));
        others.add(new Sample("ill", 1_000, 320, 0, 0));
        assertNull(Rollout.worse(List.of(taker), others));
        assertEquals(Rollout.KINDS.size(), 3);
    }
}
