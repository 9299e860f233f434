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
import vetchrill.audit.HybridLogicalClock;
import vetchrill.audit.AuditEvent;

/** The records of all instances, held against each other. */
public final class FleetAudit {
    /** A row and whose it is. */
    public record InstanceEvent(String instance, long processNonce, AuditEvent event) {
    }

    /** What one instance began under a floor, after somebody had held that floor to be confirmed. */
    public record Straggler(String instance, long minVersion, long count, long firstMs, long lastMs, long confirmedMs) {
    }

    public final List<InstanceAuditLog> logs;

    public FleetAudit(List<Path> folders) throws IOException {
        logs = InstanceAuditLog.findIn(folders);
    }

    /** Reads all, one history on each core; {@code to} is called by several threads at once, and may be null. */
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

    /** After a reading: what no single record shows. A history that was changed later, cut off, or lived twice. */
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
                    distinctFindings.putIfAbsent(position.instance() + " back",
                            position.instance() + " told " + reporter.name + " of block "
                            + previous.block() + " and later of block " + position.block()
                            + ": it lost its record, or lived twice");
                }
                List<InstanceAuditLog> copies = byName.getOrDefault(position.instance(), List.of());
                if (!copies.isEmpty() && position.block() >= copies.stream().mapToLong(InstanceAuditLog::nextBlock)
                        .max().orElse(0)) {
                    distinctFindings.putIfAbsent(position.instance() + " short",
                            position.instance() + " told " + reporter.name + " of block "
                            + position.block() + ", and its record ends before: it was cut off");
                }
                boolean present = copies.stream().anyMatch(each -> each.digestPrefixAt(position.block()) != 0);
                if (present && copies.stream()
                        .noneMatch(each -> each.digestPrefixAt(position.block()) == position.digestPrefix())) {
                    distinctFindings.putIfAbsent(position.instance() + " changed",
                            "block " + position.block() + " of " + position.instance()
                            + " is not the one that " + reporter.name
                            + " was told of: it was changed later, or lived twice");
                }
            }
        }
        findings.addAll(distinctFindings.values());
        return findings;
    }

    private static void compareCopies(String name, InstanceAuditLog one, InstanceAuditLog other,
            List<String> findings) {
        for (long block = Math.max(one.firstBlock(), other.firstBlock()); block < Math.min(one.nextBlock(),
                other.nextBlock()); block++) {
            if (one.digestPrefixAt(block) != other.digestPrefixAt(block)) {
                findings.add(name + " has two records that part at block " + block + ": " + one.folder + " and "
                        + other.folder);
                return;
            }
        }
    }

    /** All but exchanges and heads, in hybrid time. */
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

    /** What is told of one exchange. */
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

    /** Who acted under a floor after it was confirmed, by hybrid time. */
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
                    ? confirmed.higherEntry(event.version())
                    : null;
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
