package vetchrill.planner;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import org.testng.annotations.Test;
import vetchrill.fleet.Fleet;
import vetchrill.fleet.FleetFileReader;
import vetchrill.hcl.ConfigBlock;
import vetchrill.hcl.ConfigErrors;

@Test
public class PlanTest {
    private static final int SECOND_TENTHS_MS = LoadProfile.SECOND_TENTHS_MS;

    private static Fleet fleet(int relays, double perS, String retry, double readingMs) {
        return FleetFileReader.read(ConfigBlock.parse("f.hcl", "kind \"k\" {\n cores = 2\n reading_ms = " + readingMs
                + "\n crowd_from = 100\n crowd_loss = 0\n memory_mb = 100\n price = 2\n}\nkind \"dear\" {\n cores = 2\n"
                + " reading_ms = " + readingMs
                        + "\n crowd_from = 100\n crowd_loss = 0\n memory_mb = 100\n price = 9\n}\n"
                + "zone \"a\" { relays = { k = " + relays + " } }\nzone \"b\" { relays = { k = " + relays + " } }\n"
                + "group \"g\" {\n slo_ms = 500\n timeout_ms = 1200\n share = 1\n work_ms = 40\n work_cv = 0.5\n"
                + " memory_kb = 10\n}\nstubs \"s\" {\n count = 3\n retry = \"" + retry + "\"\n heed = 0\n}\n"
                + "subjects {\n distinct = 10\n skew = 0\n}\nload { per_s = " + perS + " }\n"
                + "rules {\n stop_ms = 2000\n grace_ms = 1000\n}\ndeploy { batch = 0.5 }\n"));
    }

    private static SimulationRunner newRunner(int seconds) {
        return new SimulationRunner(4, 3, seconds * (long) SECOND_TENTHS_MS, 2 * SECOND_TENTHS_MS, () -> { });
    }

    private static Goal goal(Fleet fleet, String text) {
        return Goal.read(ConfigBlock.parse("g.hcl", "goal \"g\" {\n" + text + "}\n"), fleet).get(0);
    }

    /** Four instances with two cores and 50 ms per exchange can serve 160/s; 100/s is 62% of that. */
    public void coresAreTheFirstLimitAndMarginIsTheRemainder() {
        LimitFinder finder = new LimitFinder(new PlanInputs(fleet(2, 100, "none", 10)), newRunner(12));
        Report report = finder.find();
        ConfidenceInterval cores = finder.loadFactorsByName().get("cores of the fleet");
        assertEquals(cores.mean(), 0.95 * 160 / 100, 0.25);
        assertTrue(finder.loadFactorsByName().get("service").mean() < cores.mean() * 1.1);
        assertTrue(Double.isNaN(finder.loadFactorsByName().get("descriptors of a relay").mean()));
        assertTrue(ReportRenderer.toText(report).contains("cores of the fleet"));
    }

    /** 150/s at 50 ms need 7.5 cores: at least four instances with two cores, and no more than six. */
    public void sizeMatchesTheWorkOfTheLoad() {
        Fleet fleet = fleet(1, 150, "none", 10);
        Report report = new FleetSizer(new PlanInputs(fleet), newRunner(8), goal(fleet, " service = 0.9\n")).find();
        assertTrue(report.goalMet);
        Report.Table allSizes = report.tables.get(1);
        int instances = (Integer) allSizes.rows().get(0).get(1);
        assertTrue(instances >= 4 && instances <= 6, "instances " + instances);
        assertEquals(report.tables.get(0).rows().get(2).get(1), instances + " k",
                "the expensive kind has no more capacity");
    }

    public void zoneLossGoalNeedsMoreInstances() {
        Fleet fleet = fleet(1, 150, "limited", 10);
        Report report = new FleetSizer(new PlanInputs(fleet), newRunner(8),
                goal(fleet, " service = 0.85\n any_zone_lost = true\n")).find();
        int instances = (Integer) report.tables.get(1).rows().get(0).get(1);
        assertTrue(instances >= 8 && instances <= 13, "instances " + instances);
    }

    /** Work of 40 ms can't complete within 5 ms: no number of instances helps, and the report says so. */
    public void unreachableGoalIsReported() {
        Fleet fleet = FleetFileReader.read(ConfigBlock.parse("f.hcl",
                "kind \"k\" {\n cores = 1\n reading_ms = 1\n crowd_from = 9\n"
                + " crowd_loss = 0\n memory_mb = 10\n}\nzone \"a\" { relays = { k = 1 } }\ngroup \"g\" {\n slo_ms = 5\n"
                + " timeout_ms = 500\n share = 1\n work_ms = 40\n work_cv = 0\n memory_kb = 1\n}\nstubs "
                + "\"s\" { count = 1 }\n"
                + "subjects {\n distinct = 1\n skew = 0\n}\nload { per_s = 5 }\n"));
        Report report = new FleetSizer(new PlanInputs(fleet), newRunner(5), goal(fleet, " service = 0.9\n")).find();
        assertFalse(report.goalMet);
        assertTrue(report.remarks.stream().anyMatch(each -> each.startsWith("no size up to")),
                report.remarks.toString());
    }

    public void invalidGoalIsRejected() {
        Fleet fleet = fleet(1, 10, "none", 10);
        try {
            goal(fleet, " service = 1.2\n zones_lost = [\"c\"]\n");
        } catch (ConfigErrors e) {
            assertEquals(e.messages, List.of("g.hcl:2: service: is 1.2, should be a number from 0.01 to 1",
                    "g.hcl:3: zones_lost: 'c' is no zone of the fleet, which has a, b"));
            return;
        }
        throw new AssertionError("the invalid goal was accepted");
    }

    public void zoneLossIsReportedAloneInDeployAndWithReturn() {
        Report report = new ZoneLossAnalysis(new PlanInputs(fleet(2, 60, "limited", 10)), newRunner(10), 1)
                .find(List.of(Set.of("a")));
        Report.Table table = report.tables.get(0);
        assertEquals(table.rows().size(), 1 + 2 * 3 + 1);
        assertEquals(table.rows().get(0).get(1), "alone, for good");
        double serviceAfterLoss = (Double) table.rows().get(0).get(3);
        assertTrue(serviceAfterLoss > 0.9, "60/s fit into the remaining capacity of 80/s: " + serviceAfterLoss);
        List<Object> returnRow = table.rows().get(7);
        assertEquals(returnRow.get(8), "yes", returnRow.toString());
        assertTrue(report.remarks.stream().anyMatch(each -> each.contains("is worst with batch")));
    }

    /** With readings that cost half as much as the work, unlimited retries alone can keep the fleet overloaded. */
    public void unlimitedRetriesMakeTheFleetMetastable() {
        OperationalLaws laws = new OperationalLaws(fleet(2, 70, "unlimited", 25), 70);
        assertTrue(laws.utilisation < 1 && laws.metastable, "utilisation " + laws.utilisation);
        assertTrue(laws.shedShare > 0.2 && laws.shedShare < 1, "shed share " + laws.shedShare);
        assertFalse(new OperationalLaws(fleet(2, 70, "none", 25), 70).metastable);
    }

    public void lawsOfLightLoadMatchArithmetic() {
        OperationalLaws laws = new OperationalLaws(fleet(2, 60, "none", 10), 60);
        assertEquals(laws.utilisation, 60 * 0.050 / 8, 1e-9);
        assertEquals(laws.meanInFlight, 60 * 0.050, 1e-9);
        assertEquals(laws.completedShare, 1.0);
        assertEquals(laws.attemptsPerExchange, 1.0);
        assertEquals(laws.service, 1.0, 0.001);
    }
}
