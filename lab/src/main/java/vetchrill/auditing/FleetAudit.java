package vetchrill.auditing;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import vetchrill.audit.AuditEvent;
import vetchrill.audit.HybridLogicalClock;

/** The audit logs of all instances, read together and checked against each other. */
public final class FleetAudit {
    /** An event with the instance and the process that wrote it. */
    public record InstanceEvent(String instance, long processNonce, AuditEvent event) {
    }

    /**
     * An instance that started exchanges of a version below a minimum version after an instance had reported that as
     * confirmed. Times are Unix milliseconds of the hybrid clock.
     *
     * @param count the number of these exchanges
     * @param firstMs when the first of them started, and {@code lastMs} the last
     * @param confirmedMs when the minimum version was first reported as confirmed
     */
    public record Straggler(String instance, long minVersion, long count, long firstMs, long lastMs, long confirmedMs) {
    }

    public final List<InstanceAuditLog> logs;

    /** Finds the logs below these folders; reads none yet. */
    public FleetAudit(List<Path> folders) throws IOException {
        logs = InstanceAuditLog.findIn(folders);
    }

    /** Reads all logs in parallel; {@code visitor} may be null and is called by several threads at once. */
    public void read(InstanceAuditLog.EventVisitor visitor) throws IOException {
        try {
            logs.parallelStream().forEach(each -> {
                try {
                    each.read(visitor);
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            });
        } catch (UncheckedIOException e) {
            throw e.getCause();
        }
    }

    /**
     * Finds what no single log shows: logs that were changed later, truncated, or written by two processes under one
     * name. Call it after {@link #read}.
     */
    public List<String> findInconsistencies() {
        List<String> findings = new ArrayList<>();
        Map<String, List<InstanceAuditLog>> byName = new TreeMap<>();
        logs.forEach(each -> byName.computeIfAbsent(each.name, any -> new ArrayList<>()).add(each));
        byName.forEach((name, copies) -> {
            for (int i = 1; i < copies.size(); i++) {
                compareCopies(name, copies.get(0), copies.get(i), findings);
            }
        });
        Map<String, String> distinctFindings = new TreeMap<>();
        for (InstanceAuditLog reporter : logs) {
            Map<String, InstanceAuditLog.ReportedPosition> latest = new HashMap<>();
            for (InstanceAuditLog.ReportedPosition position : reporter.reportedPositions) {
                InstanceAuditLog.ReportedPosition previous = latest.put(position.instance(), position);
                if (previous != null && position.block() < previous.block()) {
                    distinctFindings.putIfAbsent(position.instance() + " back", position.instance() + " reported to "
                            + reporter.name + " block " + previous.block() + " and later block " + position.block()
                            + ": its audit log was lost, or two processes used its name");
                }
                List<InstanceAuditLog> copies = byName.getOrDefault(position.instance(), List.of());
                if (!copies.isEmpty()
                        && position.block() >= copies.stream().mapToLong(InstanceAuditLog::nextBlock).max().orElse(0)) {
                    distinctFindings.putIfAbsent(position.instance() + " short", position.instance()
                            + " reported to " + reporter.name + " block " + position.block()
                            + ", but its audit log ends before that block: it was truncated");
                }
                boolean present = copies.stream().anyMatch(each -> each.digestPrefixAt(position.block()) != 0);
                if (present && copies.stream()
                        .noneMatch(each -> each.digestPrefixAt(position.block()) == position.digestPrefix())) {
                    distinctFindings.putIfAbsent(position.instance() + " changed", "block " + position.block() + " of "
                            + position.instance() + " differs from the one reported to " + reporter.name
                            + ": the audit log was changed later, or two processes used the name");
                }
            }
        }
        findings.addAll(distinctFindings.values());
        return findings;
    }

    private static void compareCopies(String name, InstanceAuditLog one, InstanceAuditLog other,
            List<String> findings) {
        for (long block = Math.max(one.firstBlock(), other.firstBlock());
                block < Math.min(one.nextBlock(), other.nextBlock()); block++) {
            if (one.digestPrefixAt(block) != other.digestPrefixAt(block)) {
                findings.add(name + " has two audit logs that differ from block " + block + " on: " + one.folder
                        + " and " + other.folder);
                return;
            }
        }
    }

    /** All events but those of exchanges and reported positions, in the order of hybrid time. */
    public List<InstanceEvent> timeline() throws IOException {
        List<InstanceEvent> all = new ArrayList<>();
        read((log, event) -> {
            switch (event.kind()) {
                case BEGUN, OVER, HEAD -> {
                }
                default -> {
                    synchronized (all) {
                        all.add(new InstanceEvent(log.name, log.processNonce, event));
                    }
                }
            }
        });
        all.sort(Comparator.comparingLong((InstanceEvent each) -> each.event().hybridTime())
                .thenComparing(InstanceEvent::instance));
        return all;
    }

    /** The events of the exchange with that id, in the order of hybrid time. */
    public List<InstanceEvent> eventsOf(long id) throws IOException {
        List<InstanceEvent> all = new ArrayList<>();
        read((log, event) -> {
            if (event.id() == id && (event.kind() == AuditEvent.Kind.BEGUN || event.kind() == AuditEvent.Kind.OVER)) {
                synchronized (all) {
                    all.add(new InstanceEvent(log.name, log.processNonce, event));
                }
            }
        });
        all.sort(Comparator.comparingLong((InstanceEvent each) -> each.event().hybridTime())
                .thenComparing(InstanceEvent::instance));
        return all;
    }

    /** Instances that started exchanges of a version below the minimum version after it was confirmed. */
    public List<Straggler> stragglers() throws IOException {
        TreeMap<Long, Long> confirmed = new TreeMap<>();
        for (InstanceEvent each : timeline()) {
            if (each.event().kind() == AuditEvent.Kind.EVENT && each.event().text().equals("CONFIRMED")) {
                confirmed.merge(each.event().version(), each.event().hybridTime(), Math::min);
            }
        }
        Map<String, long[]> sums = new TreeMap<>();
        read((log, event) -> {
            Map.Entry<Long, Long> violated = event.kind() == AuditEvent.Kind.BEGUN
                    ? confirmed.higherEntry(event.version()) : null;
            if (violated != null && event.hybridTime() > violated.getValue()) {
                synchronized (sums) {
                    long[] sum = sums.computeIfAbsent(log.name + " " + violated.getKey(),
                            any -> new long[] {0, event.hybridTime(), event.hybridTime()});
                    sum[0]++;
                    sum[1] = Math.min(sum[1], event.hybridTime());
                    sum[2] = Math.max(sum[2], event.hybridTime());
                }
            }
        });
        List<Straggler> all = new ArrayList<>();
        sums.forEach((key, sum) -> {
            long minVersion = Long.parseLong(key.substring(key.lastIndexOf(' ') + 1));
            all.add(new Straggler(key.substring(0, key.lastIndexOf(' ')), minVersion, sum[0],
                    HybridLogicalClock.toMillis(sum[1]),
                    HybridLogicalClock.toMillis(sum[2]), HybridLogicalClock.toMillis(confirmed.get(minVersion))));
        });
        return all;
    }
}
