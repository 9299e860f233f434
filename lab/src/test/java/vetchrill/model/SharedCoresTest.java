package vetchrill.model;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertSame;

import java.util.SplittableRandom;
import org.testng.annotations.Test;
import vetchrill.planner.OperationalLaws;

@Test
public class SharedCoresTest {
    public void twoJobsOnOneCoreTakeTwiceAsLong() {
        SharedCores cores = new SharedCores(1, 1, 10, 0, 0);
        SharedCores.Job one = new SharedCores.Job();
        SharedCores.Job two = new SharedCores.Job();
        cores.add(one, 100, 0);
        cores.add(two, 100, 50);
        assertEquals(cores.nextEnd(50), 150);
        assertNull(cores.pollFinished(149));
        assertSame(cores.pollFinished(150), one);
        assertEquals(cores.nextEnd(150), 200);
        assertSame(cores.pollFinished(200), two);
        assertEquals(cores.busyTime(300), 200, 1e-6);
    }

    public void contentionSlowsAllJobs() {
        SharedCores cores = new SharedCores(2, 1, 1, 0.5, 0);
        for (int i = 0; i < 4; i++) {
            cores.add(new SharedCores.Job(), 100, 0);
        }
        // Four jobs on two cores get half a core each. Two jobs per core are one past the threshold: a third is lost.
        assertEquals(cores.nextEnd(0), 300);
    }

    /**
     * Poisson arrivals with exponential core times on four cores: by Erlang's C formula the mean number of jobs is
     * a + C * rho / (1 - rho), for processor sharing as for a queue. At rho = 0.8: C = 0.5964, so 3.2 + 2.386 = 5.586.
     */
    public void meanNumberOfJobsFollowsErlangC() {
        double offered = 3.2;
        double mean = offered + OperationalLaws.erlangC(4, offered) * 0.8 / 0.2;
        assertEquals(mean, 5.586, 0.001);
        SplittableRandom random = new SplittableRandom(3);
        TimingWheelQueue events = new TimingWheelQueue();
        SharedCores cores = new SharedCores(4, 1, 1_000, 0, 0);
        double work = 100;
        long end = 40_000_000;
        long[] at = {0};
        long arrival = 0;
        while (arrival < end) {
            long next = cores.nextEnd(at[0]);
            while (next <= arrival) {
                at[0] = next;
                while (cores.pollFinished(next) != null) {
                    continue;
                }
                next = cores.nextEnd(next);
            }
            at[0] = arrival;
            cores.add(new SharedCores.Job(), -work * Math.log(1 - random.nextDouble()), arrival);
            arrival += Math.max(1, Math.round(-work / offered * Math.log(1 - random.nextDouble())));
        }
        assertNull(events.poll());
        assertEquals(cores.jobTime(at[0]) / at[0], mean, 0.25);
    }

    /**
     * One server at an offered load of 1: the wait has a uniform distribution over the patience of three, so
     * 1 / (1 + 3 + 1) is lost.
     */
    public void lossFromImpatienceFollowsTheFormula() {
        assertEquals(OperationalLaws.rejectedShare(1, 1, 3), 0.2, 1e-9);
        assertEquals(OperationalLaws.rejectedShare(1, 2, 50), 0.5, 1e-6);
        assertEquals(OperationalLaws.rejectedShare(2, 0.5, 20), 0, 1e-6);
    }

    public void erlangCMatchesPublishedTables() {
        assertEquals(OperationalLaws.erlangC(1, 0.5), 0.5, 1e-9);
        assertEquals(OperationalLaws.erlangC(2, 1), 1 / 3.0, 1e-9);
        assertEquals(OperationalLaws.erlangC(3, 3), 1, 1e-9);
    }
}
