package vetchrill.tool;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.Test;
import vetchrill.capture.Capture;
import vetchrill.fleet.Fleet;
import vetchrill.fleet.FleetFile;
import vetchrill.fleet.Trouble;
import vetchrill.planner.Fit;
import vetchrill.planner.Spread;
import vetchrill.planner.Sweep;

/** A run of the proof at 110% of capacity, kept: what its stubs counted, against what a plan makes of its captures. */
@Test
public class PlannedAgainstMeasuredTest {
    private static final double SERVICE = 0.866;
    private static final double WORK_MS = 40;
    private static final double READING_MS = 12;

    private static Fleet fleet() {
        return FleetFile.read(Path.of("../examples/rig.hcl"));
    }

    private static Fit fit() {
        return new Fit(ProveCommand.without(fleet()), Capture.readAll(Path.of("src/test/resources/captures/full")));
    }

    public void thePlanIsWithinFivePointsOfWhatClientsCounted() {
        Fit fit = fit();
        try (Sweep sweep = new Sweep(4, 6, 180_000, 50_000, () -> { })) {
            Spread planned = sweep.service(sweep.runs(fit.fleet, fit.replay()));
            assertEquals(planned.mean(), SERVICE, 0.05);
        }
    }

    public void worksAndReadingsAreThoseThatTheStandInWasGiven() {
        Fit fit = fit();
        assertEquals(fit.fleet.groups.get(0).work() / 10, WORK_MS, 0.1 * WORK_MS);
        assertEquals(fit.fleet.kinds.get(0).reading() / 10, READING_MS, 0.15 * READING_MS);
        assertEquals(fit.fleet.groups.get(0).share(), 0.68, 0.04);
    }

    /** What a plan may not say of the capture it was made from: that a load half as high is late. */
    public void aPlanForAnotherLoadIsMadeFromTheSameCapture() {
        Fit fit = fit();
        try (Sweep sweep = new Sweep(4, 3, 180_000, 50_000, () -> { })) {
            assertTrue(sweep.service(sweep.runs(fit.fleet, fit.times(0.6))).mean() > 0.99);
            assertTrue(sweep.service(sweep.runs(fit.fleet.withTroubles(List.of(new Trouble.Burst(0, 180_000, 2))),
                    fit.demand)).mean() < 0.6);
        }
    }

    public void capturesOfAZoneThatTheFleetHasNotAreRefused() {
        Fleet fleet = fleet();
        Fleet other = fleet.withZones(fleet.zones.subList(0, 2));
        try {
            new Fit(other, Capture.readAll(Path.of("src/test/resources/captures/full")));
        } catch (vetchrill.capture.CaptureFault e) {
            assertTrue(e.getMessage().endsWith("is of zone 'isafjordur', which the fleet file has not"),
                    e.getMessage());
            return;
        }
        throw new AssertionError("taken as it is");
    }
}
