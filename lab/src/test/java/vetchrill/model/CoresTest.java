package vetchrill.model;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertSame;

import java.util.SplittableRandom;
import org.testng.annotations.Test;
import vetchrill.planner.Laws;

@Test
public class CoresTest {
    public void twoJobsOnOneCoreTakeTwiceAsLongEach() {
        Cores cores = new Cores(1, 1, 10, 0, 0);
        Cores.Job one = new Cores.Job();
        Cores.Job two = new Cores.Job();
        cores.add(one, 100, 0);
        cores.add(two, 100, 50);
        assertEquals(cores.nextEnd(50), 150);
        assertNull(cores.ended(149));
        assertSame(cores.ended(150), one);
        assertEquals(cores.nextEnd(150), 200);
        assertSame(cores.ended(200), two);
        assertEquals(cores.busyTime(300), 200, 1e-6);
    }

    public void aCrowdSlowsAllOfIt() {
        Cores cores = new Cores(2, 1, 1, 0.5, 0);
        for (int i = 0; i < 4; i++) {
            cores.add(new Cores.Job(), 100, 0);
        }
        // Four jobs on two cores get half a core each, and two a core is one past the first: a third is lost.
        assertEquals(cores.nextEnd(0), 300);
    }

    /**
     * Poisson arrivals with exponential works on four cores: by Erlang's C there are a + C * rho / (1 - rho) jobs in
     * the mean, shared cores or a line before them alike. At rho = 0.8: C = 0.5964, so 3.2 + 2.386 = 5.586.
     */
    public void manyJobsAreAsMErlangSays() {
        double offered = 3.2;
        double mean = offered + Laws.erlangC(4, offered) * 0.8 / 0.2;
        assertEquals(mean, 5.586, 0.001);
        SplittableRandom chance = new SplittableRandom(3);
        TimeWheel events = new TimeWheel();
        Cores cores = new Cores(4, 1, 1_000, 0, 0);
        double work = 100;
        long end = 40_000_000;
        long[] at = {0};
        long arrival = 0;
        while (arrival < end) {
            long next = cores.nextEnd(at[0]);
            while (next <= arrival) {
                at[0] = next;
                while (cores.ended(next) != null) {
                    continue;
                }
                next = cores.nextEnd(next);
            }
            at[0] = arrival;
            cores.add(new Cores.Job(), -work * Math.log(1 - chance.nextDouble()), arrival);
            arrival += Math.max(1, Math.round(-work / offered * Math.log(1 - chance.nextDouble())));
        }
        assertNull(events.poll());
        assertEquals(cores.wantingTime(at[0]) / at[0], mean, 0.25);
    }

    /** One server offered just its worth: the wait is alike over the patience of three, so 1 / (1 + 3 + 1) is lost. */
    public void impatienceIsAsTheFormulaSays() {
        assertEquals(Laws.lost(1, 1, 3), 0.2, 1e-9);
        assertEquals(Laws.lost(1, 2, 50), 0.5, 1e-6);
        assertEquals(Laws.lost(2, 0.5, 20), 0, 1e-6);
    }

    public void erlangsFormulaIsThatOfTheTables() {
        assertEquals(Laws.erlangC(1, 0.5), 0.5, 1e-9);
        assertEquals(Laws.erlangC(2, 1), 1 / 3.0, 1e-9);
        assertEquals(Laws.erlangC(3, 3), 1, 1e-9);
    }
}
