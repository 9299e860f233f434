package vetchrill.standin;

import java.nio.file.Path;
import java.util.List;
import vetchrill.model.ServiceStatistics;

/**
 * What a rig came to. {@code tally} and {@code arrived} are what the clients' side knows; {@code late} is how late
 * first tries went out at the 99th percentile, in tenths of a millisecond, past which the run is {@code invalid}. The
 * last three count broken promises: a result of another exchange, a run begun twice, a body that came changed.
 */
public record RigResult(ServiceStatistics statistics, List<FleetTestRig.AttemptArrival> arrivals, Path captureFolder,
        long latenessP99TenthsMs, boolean invalid,
        int wrongResults,
        int duplicateRuns, int corruptedBodies) {
}
