package vetchrill.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertSame;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import vetchrill.fleet.Fleet.Habit;
import vetchrill.fleet.Fleet.Pool;
import vetchrill.fleet.Fleet.Retry;
import vetchrill.hcl.Block;

/** The words of a fleet file that are read by enum name. */
@Test
public class FleetFileTest {
    private static Pool pool(String keys) {
        return FleetFile.read(Block.parse("f.hcl", "kind \"k\" {\n cores = 1\n reading_ms = 10\n crowd_from = 100\n"
                + " crowd_loss = 0\n memory_mb = 100\n}\nzone \"a\" { relays = { k = 1 } }\n"
                + "group \"g\" {\n slo_ms = 400\n timeout_ms = 1000\n share = 1\n work_ms = 50\n work_cv = 0\n"
                + " memory_kb = 10\n}\nsubjects {\n distinct = 10\n skew = 0\n}\nload { per_s = 1 }\n"
                + "stubs \"s\" {\n count = 2\n" + keys + "}\n")).pools.get(0);
    }

    @DataProvider
    public Object[][] habits() {
        return new Object[][] {{"round", Habit.ROUND}, {"least", Habit.LEAST}, {"subject", Habit.SUBJECT},
            {"report", Habit.REPORT}};
    }

    @Test(dataProvider = "habits")
    public void readsEachHabit(String text, Habit expected) {
        assertSame(pool(" habit = \"" + text + "\"\n").habit(), expected);
    }

    @DataProvider
    public Object[][] retries() {
        return new Object[][] {{"none", Retry.NONE}, {"limited", Retry.LIMITED}, {"unlimited", Retry.UNLIMITED}};
    }

    @Test(dataProvider = "retries")
    public void readsEachRetryPolicy(String text, Retry expected) {
        assertSame(pool(" retry = \"" + text + "\"\n").retry(), expected);
    }

    public void hasNoOtherHabitOrRetryPolicy() {
        assertEquals(Habit.values().length, habits().length);
        assertEquals(Retry.values().length, retries().length);
    }

    public void usesRoundRobinWithoutRetriesByDefault() {
        Pool pool = pool("");
        assertSame(pool.habit(), Habit.ROUND);
        assertSame(pool.retry(), Retry.NONE);
    }
}
