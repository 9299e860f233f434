package vetchrill.standin;

import java.nio.file.Path;
import java.util.List;
import vetchrill.model.ServiceStatistics;

/**
 * The result of a run of a {@link FleetTestRig}.
 *
 * @param statistics what the client stubs observed
 * @param arrivals the attempts that arrived at machines
 * @param latenessP99TenthsMs the 99th percentile of how late first attempts were sent, in tenths of a millisecond
 * @param invalid whether that lateness is above the limit, so that the run measures nothing
 * @param wrongResults violation: results that belong to another exchange
 * @param duplicateRuns violation: mutating exchanges that were started twice
 * @param corruptedBodies violation: bodies that arrived changed
 */
public record RigResult(ServiceStatistics statistics, List<FleetTestRig.AttemptArrival> arrivals, Path captureFolder,
        long latenessP99TenthsMs, boolean invalid, int wrongResults, int duplicateRuns, int corruptedBodies) {
}
