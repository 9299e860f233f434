package vetchrill.routing;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

@Test
public class RecentRunIdsTest {
    /** Guards against memory that grows with each exchange that has run. */
    public void oldestIdIsDroppedWhenFull() {
        RecentRunIds ids = new RecentRunIds(2);
        ids.add("00000000000000aa");
        ids.add("ffffffffffffffff");
        ids.add("00000000000000aa");
        assertTrue(ids.contains("00000000000000AA"), "the same number in other letters");
        ids.add("00000000000000bb");
        assertFalse(ids.contains("00000000000000aa"));
        assertTrue(ids.contains("ffffffffffffffff"));
        assertTrue(ids.contains("00000000000000bb"));
    }
}
