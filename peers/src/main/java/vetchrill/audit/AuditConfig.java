package vetchrill.audit;

import java.nio.file.Path;

/**
 * The audit log's settings in the operator's configuration file.
 *
 * @param ringCapacity events that may be queued for the writer; events past them are left out of the log and counted
 * @param flushPeriod tenths of a millisecond after which an event is on the disk at the latest; a crash loses at most
 *     the events of that time
 * @param segmentBytes size from which on a new segment is started
 * @param maxBytes maximum size of all segments together; past it the oldest are deleted
 */
public record AuditConfig(Path directory, int ringCapacity, long flushPeriod, long segmentBytes, long maxBytes) {
}
