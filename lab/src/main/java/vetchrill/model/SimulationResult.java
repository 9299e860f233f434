package vetchrill.model;

import java.util.List;

/** What one world came to; {@code batches} are the times at which those of a rolling deploy began. */
public record SimulationResult(ServiceStatistics statistics, PeakUsage peakUsage, List<Long> batchStarts,
        long eventCount) {
}
