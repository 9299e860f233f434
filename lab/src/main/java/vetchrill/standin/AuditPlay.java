package vetchrill.standin;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import vetchrill.audit.AuditEvent;
import vetchrill.auditing.Fleetwide;
import vetchrill.auditing.History;
import vetchrill.standin.AuditRig.Answered;
import vetchrill.standin.AuditRig.Applied;
import vetchrill.standin.AuditRig.Confirmed;
import vetchrill.standin.AuditRig.Gone;

/**
 * One play of the rig: versions are published and floors raised while processes are killed, stopped, cut off, lose
 * their disks and their clocks step; then all is healed, and what stubs and interpreters counted is held against the
 * records.
 */
public final class AuditPlay {
    /** A record is a prefix of what happened: what is missing of a killed process is later than all that is there. */
    private static final long SLACK_NS = 50_000_000;
    private static final long LONGEST_TAIL_NS = 2_000_000_000L;

    /** What came of it. */
    public static final class Outcome {
        public int processes;
        public int faults;
        public long exchanges;
        public long unaccounted;
        public long misattributed;
        public long belowFloor;
        /** By how much later than one lease after the confirmation the latest was begun; below 0 for earlier. */
        public long fenceOverLeaseMs = Long.MIN_VALUE;
        public int floors;
        public int forks;
        public int disksLost;
        public long leftOut;
        /** How long before a kill the first was answered that is missing for it. */
        public long tailMs;
        public final List<Long> publishMs = new ArrayList<>();
        public final List<String> wrong = new ArrayList<>();
        public boolean ended = true;
    }

    private record At(int place, long id) {
    }

    private AuditPlay() {
    }

    /** Plays so many troubles, drawn from the seed, in a folder that is there and empty. */
    public static Outcome play(int size, int keepers, int troubles, long seed, Path folder) throws IOException,
            InterruptedException {
        Outcome outcome = new Outcome();
        outcome.processes = size;
        SplittableRandom chance = new SplittableRandom(seed);
        try (AuditRig rig = new AuditRig(size, keepers, folder, seed)) {
            rig.untilAll(0);
            rig.load(40);
            for (int i = 0; i < troubles; i++) {
                trouble(rig, size, keepers, chance, outcome);
            }
            end(rig, chance.nextInt(size), outcome);
        }
        return outcome;
    }

    /** With all healed, one more version comes to all; then the fleet ends in its order and is judged. */
    static void end(AuditRig rig, int on, Outcome outcome) throws IOException, InterruptedException {
        rig.serving();
        long last = rig.number + 1;
        if (!rig.publish(on, last, 1)) {
            throw new IllegalStateException("nothing can be published though all is well");
        }
        outcome.publishMs.add(rig.untilAll(last));
        Thread.sleep(300);
        for (int code : rig.end()) {
            outcome.ended &= code == 0;
        }
        outcome.faults = rig.faults;
        outcome.floors = rig.confirmed.size();
        outcome.disksLost = (int) rig.gone.stream().filter(Gone::diskLost).count();
        judge(rig, outcome);
    }

    /** How a change came to a fleet while something was broken: by a version, and by a file on each machine. */
    public record Beside(String trouble, long versionMs, long versionHealedMs, int versionMissed, long fileMs,
            int fileMissed) {
    }

    private static final int TROUBLE_MS = 1_500;
    private static final int BESIDE_MS = 4_000;

    /**
     * The same change both ways under each trouble, which lasts for a second and a half: how long until all that lived
     * and heard had it, and whom it had not come to two and a half seconds after all was healed.
     */
    public static List<Beside> besideFile(int size, int keepers, Path folder) throws IOException,
            InterruptedException {
        List<Beside> all = new ArrayList<>();
        try (AuditRig rig = new AuditRig(size, keepers, folder, 1)) {
            rig.untilAll(0);
            rig.load(40);
            int at = size - 1;
            for (String trouble : List.of("none", "delayed by 30 ms", "stopped", "cut off", "killed")) {
                long[][] took = new long[2][];
                for (int way = 0; way < 2; way++) {
                    breakOne(rig, trouble, at);
                    Thread healing = new Thread(() -> {
                        try {
                            Thread.sleep(TROUBLE_MS);
                            mendOne(rig, trouble, at);
                        } catch (IOException e) {
                            throw new java.io.UncheckedIOException(e);
                        } catch (InterruptedException e) {
                            Thread.currentThread().interrupt();
                        }
                    });
                    healing.start();
                    if (way == 0) {
                        rig.publish(0, rig.number + 1, 1);
                        took[way] = rig.taken(rig.number, BESIDE_MS);
                    } else {
                        took[way] = rig.byFile(BESIDE_MS);
                    }
                    healing.join();
                    rig.serving();
                }
                all.add(new Beside(trouble, most(took[0], TROUBLE_MS), most(took[0], BESIDE_MS), missed(took[0]),
                        most(took[1], BESIDE_MS), missed(took[1])));
            }
            rig.end();
        }
        return all;
    }

    private static void breakOne(AuditRig rig, String trouble, int at) throws IOException, InterruptedException {
        switch (trouble) {
            case "delayed by 30 ms" -> rig.delay(at, 30);
            case "stopped" -> rig.signal(at, "STOP");
            case "cut off" -> rig.part(1 << at, true);
            case "killed" -> rig.kill(at);
            default -> {
            }
        }
    }

    private static void mendOne(AuditRig rig, String trouble, int at) throws IOException, InterruptedException {
        switch (trouble) {
            case "delayed by 30 ms" -> rig.delay(at, 0);
            case "stopped" -> rig.signal(at, "CONT");
            case "cut off" -> rig.part(1 << at, false);
            case "killed" -> rig.start(at);
            default -> {
            }
        }
    }

    /** The latest of those that came before so many milliseconds. */
    private static long most(long[] took, int before) {
        return java.util.Arrays.stream(took).filter(each -> each < before).max().orElse(-1);
    }

    private static int missed(long[] took) {
        return (int) java.util.Arrays.stream(took).filter(each -> each < 0).count();
    }

    /** One trouble, begun before a version or a floor and healed after it. */
    private static void trouble(AuditRig rig, int size, int keepers, SplittableRandom chance, Outcome outcome)
            throws IOException, InterruptedException {
        int at = chance.nextInt(size);
        int other = (at + 1 + chance.nextInt(size - 1)) % size;
        int kind = chance.nextInt(10);
        int bits = 0;
        switch (kind) {
            case 0, 1 -> rig.kill(at);
            case 2 -> rig.signal(at, "STOP");
            case 3 -> {
                // Fewer than half of the keepers, and of all.
                bits = 1 << at;
                rig.part(bits, true);
            }
            case 4 -> rig.mute(at, true, true);
            case 5 -> rig.mute(at, false, true);
            case 6 -> rig.delay(at, 30);
            case 7 -> rig.stepClock(at, chance.nextBoolean() ? 3_600_000 : -3_600_000);
            case 8 -> rig.fill(at, true);
            default -> rig.cut(at);
        }
        long version = rig.number + 1;
        boolean published = rig.publish(other, version, 1);
        if (kind == 0 && chance.nextBoolean()) {
            // The other half hears of another content under the same number.
            published &= !rig.publish((other + 1) % size, version, 2);
        }
        boolean untouched = published && (kind == 6 || kind == 7 || kind == 9);
        if (untouched) {
            outcome.publishMs.add(rig.untilAll(version));
        } else {
            Thread.sleep(100 + chance.nextInt(400));
        }
        if (published && chance.nextInt(3) > 0 && rig.floor(other, version, 5_000)) {
            // Whoever can't follow must have come to an end by then.
            Thread.sleep(AuditRig.LEASE_MS + 300);
        }
        switch (kind) {
            case 0, 1 -> {
                int back = chance.nextInt(4);
                if (back == 0) {
                    rig.loseDisk(at);
                } else if (back == 1) {
                    rig.tear(at);
                }
                rig.start(at);
            }
            case 2 -> rig.signal(at, "CONT");
            case 3 -> rig.part(bits, false);
            case 4 -> rig.mute(at, true, false);
            case 5 -> rig.mute(at, false, false);
            case 6 -> rig.delay(at, 0);
            case 7 -> rig.stepClock(at, 0);
            case 8 -> rig.fill(at, false);
            default -> {
            }
        }
        // By which version the next one meets them depends on what became of this one.
        rig.serving();
    }

    /** Holds what stubs and interpreters counted against the records, of a rig that has ended. */
    public static void judge(AuditRig rig, Outcome outcome) throws IOException {
        Fleetwide fleet = new Fleetwide(rig.records());
        Map<At, Long> begun = new ConcurrentHashMap<>();
        Map<At, AuditEvent> over = new ConcurrentHashMap<>();
        fleet.read((history, row) -> {
            At key = new At(Integer.parseInt(history.name.substring(1)), row.id());
            if (row.kind() == AuditEvent.Kind.BEGUN) {
                begun.put(key, row.version());
            } else if (row.kind() == AuditEvent.Kind.OVER) {
                over.put(key, row);
            }
        });
        for (History each : fleet.histories) {
            outcome.leftOut += each.leftOut;
            outcome.wrong.addAll(each.wrong.stream().map(what -> each.name + ": " + what)
                    .filter(what -> !what.contains("the clock went back")).toList());
        }
        outcome.forks = fleet.forks().size();
        Set<Integer> leftOut = new HashSet<>();
        fleet.histories.forEach(each -> {
            if (each.leftOut > 0) {
                leftOut.add(Integer.parseInt(each.name.substring(1)));
            }
        });
        Map<Integer, Long> missing = new HashMap<>();
        Map<Gone, Long> last = new HashMap<>();
        rig.answered.forEach(each -> recorded(rig, each.place(), each.atNanos(), over.containsKey(
                new At(each.place(), each.id())), last));
        rig.applied.forEach(each -> recorded(rig, each.place(), each.atNanos(), begun.containsKey(
                new At(each.place(), each.id())), last));
        for (Answered each : rig.answered) {
            if (each.code() == 0) {
                continue;
            }
            outcome.exchanges++;
            AuditEvent row = over.get(new At(each.place(), each.id()));
            if (row == null) {
                missing(rig, each.place(), each.atNanos(), leftOut, last, missing, outcome);
            } else if (each.code() == StubFrames.COMPLETED && AuditRig.narrow(row.version())
                    || each.code() != code(row.answer())) {
                outcome.misattributed++;
                outcome.wrong.add(String.format("%016x was answered %d by %s, its record says %s", each.id(),
                        each.code(), AuditRig.name(each.place()), row));
            }
        }
        for (Applied each : rig.applied) {
            Long version = begun.get(new At(each.place(), each.id()));
            if (version == null) {
                missing(rig, each.place(), each.atNanos(), leftOut, last, missing, outcome);
                continue;
            }
            if (AuditRig.narrow(version)) {
                outcome.misattributed++;
                outcome.wrong.add(String.format("%016x was begun by %s, by version %d that denies it", each.id(),
                        AuditRig.name(each.place()), version));
            }
            for (Confirmed floor : rig.confirmed) {
                if (version < floor.floor()) {
                    long late = (each.atNanos() - floor.atNanos()) / 1_000_000 - AuditRig.LEASE_MS;
                    outcome.fenceOverLeaseMs = Math.max(outcome.fenceOverLeaseMs, late);
                    if (late > 0) {
                        outcome.belowFloor++;
                        outcome.wrong.add(AuditRig.name(each.place()) + " began version " + version + " " + late
                                + " ms past the lease of the floor " + floor.floor());
                    }
                }
            }
        }
    }

    private static int code(int answer) {
        return switch (answer) {
            case 1 -> StubFrames.COMPLETED;
            case 2 -> StubFrames.DENIED;
            case 3 -> StubFrames.TERMINATED;
            default -> 0;
        };
    }

    /** The latest of each life that is in the record. */
    private static void recorded(AuditRig rig, int place, long at, boolean there, Map<Gone, Long> last) {
        for (Gone each : rig.gone) {
            if (there && each.place() == place && at <= each.atNanos()) {
                last.merge(each, at, Math::max);
            }
        }
    }

    /** It may lie in the tail of a process that was killed, or be one of those that the record says it left out. */
    private static void missing(AuditRig rig, int place, long at, Set<Integer> leftOut, Map<Gone, Long> last,
            Map<Integer, Long> missing, Outcome outcome) {
        for (Gone each : rig.gone) {
            // A result may be told, or an answer read, a moment after the kill.
            if (each.place() == place && at >= each.atNanos() - LONGEST_TAIL_NS && at <= each.atNanos() + SLACK_NS
                    && at >= last.getOrDefault(each, 0L) - SLACK_NS) {
                outcome.tailMs = Math.max(outcome.tailMs, (each.atNanos() - at) / 1_000_000);
                return;
            }
        }
        if (leftOut.contains(place) && missing.merge(place, 1L, Long::sum) <= outcome.leftOut) {
            return;
        }
        outcome.unaccounted++;
        outcome.wrong.add("not in the record of " + AuditRig.name(place) + ", " + (at - rig.gone.stream()
                .filter(each -> each.place() == place).mapToLong(Gone::atNanos).max().orElse(at)) / 1_000_000
                + " ms after it last went");
    }

    /** A folder of its own for a play. */
    public static Path folder() throws IOException {
        return Files.createTempDirectory("vetchrill-audit");
    }
}
