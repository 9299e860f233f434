package vetchrill.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

@Test
public class ClockTest {
    public void whatCameTogetherStaysTogetherAndNothingIsFromTheFutureOrAbsurdlyOld() {
        Clock clock = new Clock();
        long stamp = System.currentTimeMillis() - 40;
        for (int i = 0; i < 1000; i++) {
            assertEquals(clock.stamped(stamp, 10_000), stamp * 10);
        }
        assertTrue(clock.stamped(stamp + 3_600_000, 10_000) <= clock.now());
        long before = clock.now();
        assertTrue(clock.stamped(0, 10_000) >= before - 10_000);
    }
}
