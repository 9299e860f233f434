package vetchrill.model;

import java.util.List;

/** The result of one simulation; {@code batchStarts} are the times at which batches of a rolling deploy begin. */
public record SimulationResult(ServiceStatistics statistics, PeakUsage peakUsage, List<Long> batchStarts,
        long eventCount) {
}
