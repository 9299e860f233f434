package vetchrill.planner;

import java.util.List;
import vetchrill.model.Workload;

/** The first tries of a capture one by one; only what it does not tell of them is drawn. */
final class ReplayedDemand extends Workload.DelegatingWorkload {
    private final List<RecordedRequest> firstAttempts;

    ReplayedDemand(Workload demand, List<RecordedRequest> firstAttempts) {
        super(demand);
        this.firstAttempts = firstAttempts;
    }

    @Override
    public List<RecordedRequest> recordedRequests() {
        return firstAttempts;
    }
}
