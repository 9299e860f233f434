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
public final class Fleetwide {
    /** A row and whose it is. */
    public record Told(String name, long life, AuditEvent row) {
    }

    /** What one instance began under a floor, after somebody had held that floor to be confirmed. */
    public record Below(String name, long floor, long count, long first, long last, long confirmed) {
    }

    public final List<History> histories;

    public Fleetwide(List<Path> folders) throws IOException {
        histories = History.below(folders);
    }

    /** Reads all, one history on each core; {@code to} is called by several threads at once, and may be null. */
    public void read(History.Rows to) throws IOException {
        try {
            histories.parallelStream().forEach(each -> {
                try {
                    each.read(to);
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            });
        } catch (UncheckedIOException e) {
            throw e.getCause();
        }
    }

    /** After a reading: what no single record shows. A history that was changed later, cut off, or lived twice. */
    public List<String> forks() {
        List<String> forks = new ArrayList<>();
        Map<String, List<History>> byName = new TreeMap<>();
        histories.forEach(each -> byName.computeIfAbsent(each.name, any -> new ArrayList<>()).add(each));
        byName.forEach((name, its) -> {
            for (int i = 1; i < its.size(); i++) {
                twice(name, its.get(0), its.get(i), forks);
            }
        });
        Map<String, String> once = new TreeMap<>();
        for (History teller : histories) {
            Map<String, History.Head> latest = new HashMap<>();
            for (History.Head head : teller.heads) {
                History.Head before = latest.put(head.of(), head);
                if (before != null && head.block() < before.block()) {
                    once.putIfAbsent(head.of() + " back", head.of() + " told " + teller.name + " of block "
                            + before.block() + " and later of block " + head.block()
                            + ": it lost its record, or lived twice");
                }
                List<History> its = byName.getOrDefault(head.of(), List.of());
                if (!its.isEmpty() && head.block() >= its.stream().mapToLong(History::next).max().orElse(0)) {
                    once.putIfAbsent(head.of() + " short", head.of() + " told " + teller.name + " of block "
                            + head.block() + ", and its record ends before: it was cut off");
                }
                boolean there = its.stream().anyMatch(each -> each.at(head.block()) != 0);
                if (there && its.stream().noneMatch(each -> each.at(head.block()) == head.prefix())) {
                    once.putIfAbsent(head.of() + " changed", "block " + head.block() + " of " + head.of()
                            + " is not the one that " + teller.name
                            + " was told of: it was changed later, or lived twice");
                }
            }
        }
        forks.addAll(once.values());
        return forks;
    }

    private static void twice(String name, History one, History other, List<String> forks) {
        for (long block = Math.max(one.first(), other.first()); block < Math.min(one.next(), other.next()); block++) {
            if (one.at(block) != other.at(block)) {
                forks.add(name + " has two records that part at block " + block + ": " + one.folder + " and "
                        + other.folder);
                return;
            }
        }
    }

    /** All but exchanges and heads, in hybrid time. */
    public List<Told> timeline() throws IOException {
        List<Told> all = new ArrayList<>();
        read((history, row) -> {
            switch (row.kind()) {
                case BEGUN, OVER, HEAD -> {
                }
                default -> {
                    synchronized (all) {
                        all.add(new Told(history.name, history.life, row));
                    }
                }
            }
        });
        all.sort(Comparator.comparingLong((Told each) -> each.row().hybridTime()).thenComparing(Told::name));
        return all;
    }

    /** What is told of one exchange. */
    public List<Told> who(long id) throws IOException {
        List<Told> all = new ArrayList<>();
        read((history, row) -> {
            if (row.id() == id && (row.kind() == AuditEvent.Kind.BEGUN || row.kind() == AuditEvent.Kind.OVER)) {
                synchronized (all) {
                    all.add(new Told(history.name, history.life, row));
                }
            }
        });
        all.sort(Comparator.comparingLong((Told each) -> each.row().hybridTime()).thenComparing(Told::name));
        return all;
    }

    /** Who acted under a floor after it was confirmed, by hybrid time. */
    public List<Below> stragglers() throws IOException {
        TreeMap<Long, Long> confirmed = new TreeMap<>();
        for (Told each : timeline()) {
            if (each.row().kind() == AuditEvent.Kind.EVENT && each.row().text().equals("CONFIRMED")) {
                confirmed.merge(each.row().version(), each.row().hybridTime(), Math::min);
            }
        }
        Map<String, long[]> sums = new TreeMap<>();
        read((history, row) -> {
            Map.Entry<Long, Long> above = row.kind() == AuditEvent.Kind.BEGUN ? confirmed.higherEntry(row.version())
                    : null;
            if (above != null && row.hybridTime() > above.getValue()) {
                synchronized (sums) {
                    long[] sum = sums.computeIfAbsent(history.name + " " + above.getKey(),
                            any -> new long[] {0, row.hybridTime(), row.hybridTime()});
                    sum[0]++;
                    sum[1] = Math.min(sum[1], row.hybridTime());
                    sum[2] = Math.max(sum[2], row.hybridTime());
                }
            }
        });
        List<Below> all = new ArrayList<>();
        sums.forEach((key, sum) -> {
            long floor = Long.parseLong(key.substring(key.lastIndexOf(' ') + 1));
            all.add(new Below(key.substring(0, key.lastIndexOf(' ')), floor, sum[0],
                    HybridLogicalClock.toMillis(sum[1]),
                    HybridLogicalClock.toMillis(sum[2]), HybridLogicalClock.toMillis(confirmed.get(floor))));
        });
        return all;
    }
}
