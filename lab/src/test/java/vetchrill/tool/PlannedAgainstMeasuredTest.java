package vetchrill.tool;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.Test;
import vetchrill.capture.Capture;
import vetchrill.capture.CaptureException;
import vetchrill.fleet.Fleet;
import vetchrill.fleet.FleetFileReader;
import vetchrill.fleet.Fault;
import vetchrill.planner.FittedModel;
import vetchrill.planner.ConfidenceInterval;
import vetchrill.planner.SimulationRunner;

/**
 * Compares plans from the stored captures of a run at 110% of capacity with the service that its stubs measured.
 */
@Test
public class PlannedAgainstMeasuredTest {
    private static final double MEASURED_SERVICE = 0.866;
    private static final double WORK_MS = 40;
    private static final double READING_MS = 12;

    private static Fleet fleet() {
        return FleetFileReader.read(Path.of("../examples/rig.hcl"));
    }

    private static FittedModel fitModel() {
        return new FittedModel(ProveCommand.withoutFittedValues(fleet()),
                Capture.readAll(Path.of("src/test/resources/captures/full")));
    }

    public void plannedServiceIsWithinFivePointsOfMeasured() {
        FittedModel model = fitModel();
        try (SimulationRunner runner = new SimulationRunner(4, 6, 180_000, 50_000, () -> { })) {
            ConfidenceInterval planned = runner.meanService(runner.simulate(model.fleet, model.replay()));
            assertEquals(planned.mean(), MEASURED_SERVICE, 0.05);
        }
    }

    public void fittedWorkAndReadingMatchTheRig() {
        FittedModel model = fitModel();
        assertEquals(model.fleet.groups.get(0).coreTime() / 10, WORK_MS, 0.1 * WORK_MS);
        assertEquals(model.fleet.kinds.get(0).readingTime() / 10, READING_MS, 0.15 * READING_MS);
        assertEquals(model.fleet.groups.get(0).requestShare(), 0.68, 0.04);
    }

    /** Guards against a plan that keeps the lateness of the captured load when it is asked for a lower one. */
    public void planForAnotherLoadUsesTheSameCapture() {
        FittedModel model = fitModel();
        try (SimulationRunner runner = new SimulationRunner(4, 3, 180_000, 50_000, () -> { })) {
            assertTrue(runner.meanService(runner.simulate(model.fleet, model.scaledBy(0.6))).mean() > 0.99);
            assertTrue(runner.meanService(runner.simulate(
                    model.fleet.withFaults(List.of(new Fault.Burst(0, 180_000, 2))), model.workload)).mean() < 0.6);
        }
    }

    public void capturesOfUnknownZoneAreRejected() {
        Fleet fleet = fleet();
        Fleet other = fleet.withZones(fleet.zones.subList(0, 2));
        try {
            new FittedModel(other, Capture.readAll(Path.of("src/test/resources/captures/full")));
        } catch (CaptureException e) {
            assertTrue(e.getMessage().endsWith("is of zone 'isafjordur', which is not in the fleet file"),
                    e.getMessage());
            return;
        }
        throw new AssertionError("captures of an unknown zone were accepted");
    }
}
