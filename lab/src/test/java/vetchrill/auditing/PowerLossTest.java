package vetchrill.auditing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import vetchrill.standin.AuditScenario;
import vetchrill.standin.PowerLossScenario;

/** Real processes that lose power together, under load, while versions and minimum versions are being agreed on. */
@Test
public class PowerLossTest {
    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{3, 3, 14, false, 1}, {5, 3, 10, true, 2}};
    }

    /** No acknowledged promise or version goes back, and altered disks are detected. */
    @Test(dataProvider = "fleets")
    public void committedStateNeverGoesBack(int size, int voters, int losses, boolean damageDisks, int seed)
            throws Exception {
        PowerLossScenario.Outcome outcome = PowerLossScenario.run(size, voters, losses, damageDisks, seed,
                AuditScenario.createFolder());
        assertEquals(outcome.violations.toString(), "[]");
        assertEquals(outcome.regressions, 0);
        assertTrue(outcome.powerLosses >= losses);
        assertTrue(outcome.audit.exchanges > 100, outcome.audit.exchanges + " exchanges");
        assertTrue(!damageDisks || outcome.disksDamaged > 2 && outcome.damageDetected >= outcome.disksDamaged,
                outcome.damageDetected + " of " + outcome.disksDamaged);
    }
}
