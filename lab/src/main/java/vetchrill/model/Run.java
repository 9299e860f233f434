package vetchrill.model;

import java.util.List;

/** What one world came to; {@code batches} are the times at which those of a rolling deploy began. */
public record Run(Tally tally, Peaks peaks, List<Long> batches, long events) {
}
