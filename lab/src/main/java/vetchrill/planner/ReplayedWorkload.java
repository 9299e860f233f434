package vetchrill.planner;

import java.util.List;
import vetchrill.model.Workload;

/** Replays the first attempts of a capture one by one; only values missing from the capture are random. */
final class ReplayedWorkload extends Workload.DelegatingWorkload {
    private final List<RecordedRequest> firstAttempts;

    ReplayedWorkload(Workload workload, List<RecordedRequest> firstAttempts) {
        super(workload);
        this.firstAttempts = firstAttempts;
    }

    @Override
    public List<RecordedRequest> recordedRequests() {
        return firstAttempts;
    }
}
