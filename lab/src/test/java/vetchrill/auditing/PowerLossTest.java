package vetchrill.auditing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import vetchrill.standin.AuditPlay;
import vetchrill.standin.PowerPlay;

/** Real processes whose power goes together, under load, in the middle of versions and floors. */
@Test
public class PowerLossTest {
    @DataProvider
    public Object[][] plays() {
        return new Object[][] {{3, 3, 14, false, 1}, {5, 3, 10, true, 2}};
    }

    /** Nothing that binds goes back, and disks that are not what they were are told apart. */
    @Test(dataProvider = "plays")
    public void nothingThatBindsGoesBack(int size, int keepers, int losses, boolean disks, int seed) throws Exception {
        PowerPlay.Outcome outcome = PowerPlay.play(size, keepers, losses, disks, seed, AuditPlay.folder());
        assertEquals(outcome.wrong.toString(), "[]");
        assertEquals(outcome.wentBack, 0);
        assertTrue(outcome.losses >= losses);
        assertTrue(outcome.audit.exchanges > 100, outcome.audit.exchanges + " exchanges");
        assertTrue(!disks || outcome.damaged > 2 && outcome.toldApart >= outcome.damaged, outcome.toldApart + " of "
                + outcome.damaged);
    }
}
