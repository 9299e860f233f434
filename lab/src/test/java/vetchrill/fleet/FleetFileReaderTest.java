package vetchrill.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertSame;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import vetchrill.fleet.Fleet.BalancingPolicy;
import vetchrill.fleet.Fleet.StubPool;
import vetchrill.fleet.Fleet.RetryPolicy;
import vetchrill.hcl.ConfigBlock;

/** Values of a fleet file that are converted to enum constants by name. */
@Test
public class FleetFileReaderTest {
    private static StubPool pool(String keys) {
        return FleetFileReader.read(ConfigBlock.parse("f.hcl",
                "kind \"k\" {\n cores = 1\n reading_ms = 10\n crowd_from = 100\n"
                + " crowd_loss = 0\n memory_mb = 100\n}\nzone \"a\" { relays = { k = 1 } }\n"
                + "group \"g\" {\n slo_ms = 400\n timeout_ms = 1000\n share = 1\n work_ms = 50\n work_cv = 0\n"
                + " memory_kb = 10\n}\nsubjects {\n distinct = 10\n skew = 0\n}\nload { per_s = 1 }\n"
                + "stubs \"s\" {\n count = 2\n" + keys + "}\n")).pools.get(0);
    }

    @DataProvider
    public Object[][] habits() {
        return new Object[][] {{"round", BalancingPolicy.ROUND}, {"least", BalancingPolicy.LEAST},
                {"subject", BalancingPolicy.SUBJECT},
            {"report", BalancingPolicy.REPORT}};
    }

    @Test(dataProvider = "habits")
    public void readsEachHabit(String text, BalancingPolicy expected) {
        assertSame(pool(" habit = \"" + text + "\"\n").balancing(), expected);
    }

    @DataProvider
    public Object[][] retries() {
        return new Object[][] {{"none", RetryPolicy.NONE}, {"limited", RetryPolicy.LIMITED},
                {"unlimited", RetryPolicy.UNLIMITED}};
    }

    @Test(dataProvider = "retries")
    public void readsEachRetryPolicy(String text, RetryPolicy expected) {
        assertSame(pool(" retry = \"" + text + "\"\n").retry(), expected);
    }

    public void hasNoOtherHabitOrRetryPolicy() {
        assertEquals(BalancingPolicy.values().length, habits().length);
        assertEquals(RetryPolicy.values().length, retries().length);
    }

    public void usesRoundRobinWithoutRetriesByDefault() {
        StubPool pool = pool("");
        assertSame(pool.balancing(), BalancingPolicy.ROUND);
        assertSame(pool.retry(), RetryPolicy.NONE);
    }
}
