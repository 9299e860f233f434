package vetchrill.audit;

import java.nio.file.Path;

/**
 * What an operator's file says of the record.
 *
 * @param ringCapacity rows that may wait for the writer; past them they are counted and left out
 * @param flushPeriod tenths of a millisecond: what was noted is on the disk so long after at most, so much a crash
 * loses
 * @param segmentBytes a new file is begun past it
 * @param maxBytes of all files; past it the oldest are given up
 */
public record AuditConfig(Path directory, int ringCapacity, long flushPeriod, long segmentBytes, long maxBytes) {
}
