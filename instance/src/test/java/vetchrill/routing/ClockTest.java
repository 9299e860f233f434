package vetchrill.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

@Test
public class ClockTest {
    /** The clock steps forward or back between the timestamp and its conversion, which must not change its age. */
    public void timestampTakenBeforeAClockStepKeepsItsTime() {
        for (long step : new long[] {25_000, -25_000}) {
            long[] clocks = {17_645_760_000_000L, 0};
            Clock clock = new Clock(() -> clocks[0], () -> clocks[1] * 100_000);
            clocks[0] += 300;
            clocks[1] += 300;
            long millisBeforeStep = clocks[0] / 10;
            long expected = clock.now();
            clocks[0] += step + 200;
            clocks[1] += 200;
            assertEquals(clock.fromWallMillis(millisBeforeStep, 600_000), expected,
                    "timestamp before a step of " + step);
            long now = clock.now();
            assertEquals(clock.fromWallMillis(clocks[0] / 10, 600_000), now, "timestamp after the step");
            assertEquals(clock.fromWallMillis(millisBeforeStep, 600_000), expected,
                    "timestamp before the step, converted later");
        }
    }

    public void equalTimestampsStayEqualAndAgesAreBounded() {
        Clock clock = new Clock();
        long wallMillis = System.currentTimeMillis() - 40;
        for (int i = 0; i < 1000; i++) {
            assertEquals(clock.fromWallMillis(wallMillis, 10_000), wallMillis * 10);
        }
        assertTrue(clock.fromWallMillis(wallMillis + 3_600_000, 10_000) <= clock.now());
        long before = clock.now();
        assertTrue(clock.fromWallMillis(0, 10_000) >= before - 10_000);
    }
}
