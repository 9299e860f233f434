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
import vetchrill.auditing.FleetAudit;
import vetchrill.auditing.InstanceAuditLog;
import vetchrill.standin.AuditTestRig.ObservedAnswer;
import vetchrill.standin.AuditTestRig.ObservedApply;
import vetchrill.standin.AuditTestRig.ConfirmedMinVersion;
import vetchrill.standin.AuditTestRig.ProcessDeath;

/**
 * One play of the rig: versions are published and floors raised while processes are killed, stopped, cut off, lose
 * their disks and their clocks step; then all is healed, and what stubs and interpreters counted is held against the
 * records.
 */
public final class AuditScenario {
    /** A record is a prefix of what happened: what is missing of a killed process is later than all that is there. */
    private static final long OBSERVATION_SLACK_NANOS = 50_000_000;
    private static final long MAX_LOST_TAIL_NANOS = 2_000_000_000L;

    /** What came of it. */
    public static final class Outcome {
        public int processes;
        public int faults;
        public long exchanges;
        public long unaccounted;
        public long misattributed;
        public long belowMinVersion;
        /** By how much later than one lease after the confirmation the latest was begun; below 0 for earlier. */
        public long fencingBeyondLeaseMs = Long.MIN_VALUE;
        public int minVersionsConfirmed;
        public int inconsistencies;
        public int disksLost;
        public long omittedEvents;
        /** How long before a kill the first was answered that is missing for it. */
        public long longestLostTailMs;
        public final List<Long> publishTimesMs = new ArrayList<>();
        public final List<String> violations = new ArrayList<>();
        public boolean allExitedCleanly = true;
    }

    private record ExchangeKey(int instance, long id) {
    }

    private AuditScenario() {
    }

    /** Plays so many troubles, drawn from the seed, in a folder that is there and empty. */
    public static Outcome run(int size, int voters, int faults, long seed, Path folder) throws IOException,
            InterruptedException {
        Outcome outcome = new Outcome();
        outcome.processes = size;
        SplittableRandom random = new SplittableRandom(seed);
        try (AuditTestRig rig = new AuditTestRig(size, voters, folder, seed)) {
            rig.awaitVersionOnAll(0);
            rig.startLoad(40);
            for (int i = 0; i < faults; i++) {
                runFault(rig, size, voters, random, outcome);
            }
            shutDownAndVerify(rig, random.nextInt(size), outcome);
        }
        return outcome;
    }

    /** With all healed, one more version comes to all; then the fleet ends in its order and is judged. */
    static void shutDownAndVerify(AuditTestRig rig, int publisher, Outcome outcome) throws IOException,
            InterruptedException {
        rig.awaitServing();
        long lastVersion = rig.lastPublished + 1;
        if (!rig.publish(publisher, lastVersion, 1)) {
            throw new IllegalStateException("nothing can be published though all is well");
        }
        outcome.publishTimesMs.add(rig.awaitVersionOnAll(lastVersion));
        Thread.sleep(300);
        for (int code : rig.shutDownAll()) {
            outcome.allExitedCleanly &= code == 0;
        }
        outcome.faults = rig.faults;
        outcome.minVersionsConfirmed = rig.confirmedMinVersions.size();
        outcome.disksLost = (int) rig.deaths.stream().filter(ProcessDeath::diskLost).count();
        verify(rig, outcome);
    }

    /** How a change came to a fleet while something was broken: by a version, and by a file on each machine. */
    public record RolloutTimes(String fault, long versionMs, long versionHealedMs, int versionMissed, long fileMs,
            int fileMissed) {
    }

    private static final int FAULT_DURATION_MS = 1_500;
    private static final int ROLLOUT_TIMEOUT_MS = 4_000;

    /**
     * The same change both ways under each trouble, which lasts for a second and a half: how long until all that lived
     * and heard had it, and whom it had not come to two and a half seconds after all was healed.
     */
    public static List<RolloutTimes> compareRollouts(int size, int voters, Path folder) throws IOException,
            InterruptedException {
        List<RolloutTimes> results = new ArrayList<>();
        try (AuditTestRig rig = new AuditTestRig(size, voters, folder, 1)) {
            rig.awaitVersionOnAll(0);
            rig.startLoad(40);
            int target = size - 1;
            for (String fault : List.of("none", "delayed by 30 ms", "stopped", "cut off", "killed")) {
                long[][] durationsMs = new long[2][];
                for (int method = 0; method < 2; method++) {
                    injectFault(rig, fault, target);
                    Thread healer = new Thread(() -> {
                        try {
                            Thread.sleep(FAULT_DURATION_MS);
                            healFault(rig, fault, target);
                        } catch (IOException e) {
                            throw new java.io.UncheckedIOException(e);
                        } catch (InterruptedException e) {
                            Thread.currentThread().interrupt();
                        }
                    });
                    healer.start();
                    if (method == 0) {
                        rig.publish(0, rig.lastPublished + 1, 1);
                        durationsMs[method] = rig.measureVersionRollout(rig.lastPublished, ROLLOUT_TIMEOUT_MS);
                    } else {
                        durationsMs[method] = rig.measureFileRollout(ROLLOUT_TIMEOUT_MS);
                    }
                    healer.join();
                    rig.awaitServing();
                }
                results.add(new RolloutTimes(fault, latestBefore(durationsMs[0], FAULT_DURATION_MS),
                        latestBefore(durationsMs[0], ROLLOUT_TIMEOUT_MS), countMissed(durationsMs[0]),
                        latestBefore(durationsMs[1], ROLLOUT_TIMEOUT_MS), countMissed(durationsMs[1])));
            }
            rig.shutDownAll();
        }
        return results;
    }

    private static void injectFault(AuditTestRig rig, String fault, int target) throws IOException,
            InterruptedException {
        switch (fault) {
            case "delayed by 30 ms" -> rig.setLinkDelay(target, 30);
            case "stopped" -> rig.signal(target, "STOP");
            case "cut off" -> rig.setPartition(1 << target, true);
            case "killed" -> rig.kill(target);
            default -> {
            }
        }
    }

    private static void healFault(AuditTestRig rig, String fault, int target) throws IOException, InterruptedException {
        switch (fault) {
            case "delayed by 30 ms" -> rig.setLinkDelay(target, 0);
            case "stopped" -> rig.signal(target, "CONT");
            case "cut off" -> rig.setPartition(1 << target, false);
            case "killed" -> rig.start(target);
            default -> {
            }
        }
    }

    /** The latest of those that came before so many milliseconds. */
    private static long latestBefore(long[] durationsMs, int limitMs) {
        return java.util.Arrays.stream(durationsMs).filter(each -> each < limitMs).max().orElse(-1);
    }

    private static int countMissed(long[] durationsMs) {
        return (int) java.util.Arrays.stream(durationsMs).filter(each -> each < 0).count();
    }

    /** One trouble, begun before a version or a floor and healed after it. */
    private static void runFault(AuditTestRig rig, int size, int voters, SplittableRandom random, Outcome outcome)
            throws IOException, InterruptedException {
        int target = random.nextInt(size);
        int publisher = (target + 1 + random.nextInt(size - 1)) % size;
        int kind = random.nextInt(10);
        int partition = 0;
        switch (kind) {
            case 0, 1 -> rig.kill(target);
            case 2 -> rig.signal(target, "STOP");
            case 3 -> {
                // Fewer than half of the keepers, and of all.
                partition = 1 << target;
                rig.setPartition(partition, true);
            }
            case 4 -> rig.setOneWayDrop(target, true, true);
            case 5 -> rig.setOneWayDrop(target, false, true);
            case 6 -> rig.setLinkDelay(target, 30);
            case 7 -> rig.stepClock(target, random.nextBoolean() ? 3_600_000 : -3_600_000);
            case 8 -> rig.setDiskFull(target, true);
            default -> rig.closeConnections(target);
        }
        long version = rig.lastPublished + 1;
        boolean published = rig.publish(publisher, version, 1);
        if (kind == 0 && random.nextBoolean()) {
            // The other half hears of another content under the same number.
            published &= !rig.publish((publisher + 1) % size, version, 2);
        }
        boolean allReachable = published && (kind == 6 || kind == 7 || kind == 9);
        if (allReachable) {
            outcome.publishTimesMs.add(rig.awaitVersionOnAll(version));
        } else {
            Thread.sleep(100 + random.nextInt(400));
        }
        if (published && random.nextInt(3) > 0 && rig.awaitMinVersion(publisher, version, 5_000)) {
            // Whoever can't follow must have come to an end by then.
            Thread.sleep(AuditTestRig.LEASE_MS + 300);
        }
        switch (kind) {
            case 0, 1 -> {
                int diskFault = random.nextInt(4);
                if (diskFault == 0) {
                    rig.loseDisk(target);
                } else if (diskFault == 1) {
                    rig.tearAuditLog(target);
                }
                rig.start(target);
            }
            case 2 -> rig.signal(target, "CONT");
            case 3 -> rig.setPartition(partition, false);
            case 4 -> rig.setOneWayDrop(target, true, false);
            case 5 -> rig.setOneWayDrop(target, false, false);
            case 6 -> rig.setLinkDelay(target, 0);
            case 7 -> rig.stepClock(target, 0);
            case 8 -> rig.setDiskFull(target, false);
            default -> {
            }
        }
        // By which version the next one meets them depends on what became of this one.
        rig.awaitServing();
    }

    /** Holds what stubs and interpreters counted against the records, of a rig that has ended. */
    public static void verify(AuditTestRig rig, Outcome outcome) throws IOException {
        FleetAudit fleet = new FleetAudit(rig.auditFolders());
        Map<ExchangeKey, Long> begun = new ConcurrentHashMap<>();
        Map<ExchangeKey, AuditEvent> ended = new ConcurrentHashMap<>();
        fleet.read((log, event) -> {
            ExchangeKey key = new ExchangeKey(Integer.parseInt(log.name.substring(1)), event.id());
            if (event.kind() == AuditEvent.Kind.BEGUN) {
                begun.put(key, event.version());
            } else if (event.kind() == AuditEvent.Kind.OVER) {
                ended.put(key, event);
            }
        });
        for (InstanceAuditLog each : fleet.logs) {
            outcome.omittedEvents += each.omittedEvents;
            outcome.violations.addAll(each.problems.stream().map(problem -> each.name + ": " + problem)
                    .filter(problem -> !problem.contains("the clock went back")).toList());
        }
        outcome.inconsistencies = fleet.findInconsistencies().size();
        Set<Integer> omitting = new HashSet<>();
        fleet.logs.forEach(each -> {
            if (each.omittedEvents > 0) {
                omitting.add(Integer.parseInt(each.name.substring(1)));
            }
        });
        Map<Integer, Long> missing = new HashMap<>();
        Map<ProcessDeath, Long> lastRecorded = new HashMap<>();
        rig.answers.forEach(each -> updateLastRecorded(rig, each.instance(), each.atNanos(), ended.containsKey(
                new ExchangeKey(each.instance(), each.id())), lastRecorded));
        rig.applies.forEach(each -> updateLastRecorded(rig, each.instance(), each.atNanos(), begun.containsKey(
                new ExchangeKey(each.instance(), each.id())), lastRecorded));
        for (ObservedAnswer each : rig.answers) {
            if (each.code() == 0) {
                continue;
            }
            outcome.exchanges++;
            AuditEvent event = ended.get(new ExchangeKey(each.instance(), each.id()));
            if (event == null) {
                classifyMissing(rig, each.instance(), each.atNanos(), omitting, lastRecorded, missing, outcome);
            } else if (each.code() == StubFrames.COMPLETED && AuditTestRig.expiresOnArrival(event.version())
                    || each.code() != answerCode(event.answer())) {
                outcome.misattributed++;
                outcome.violations.add(String.format("%016x was answered %d by %s, its record says %s", each.id(),
                        each.code(), AuditTestRig.instanceName(each.instance()), event));
            }
        }
        for (ObservedApply each : rig.applies) {
            Long version = begun.get(new ExchangeKey(each.instance(), each.id()));
            if (version == null) {
                classifyMissing(rig, each.instance(), each.atNanos(), omitting, lastRecorded, missing, outcome);
                continue;
            }
            if (AuditTestRig.expiresOnArrival(version)) {
                outcome.misattributed++;
                outcome.violations.add(String.format("%016x was begun by %s, by version %d that denies it", each.id(),
                        AuditTestRig.instanceName(each.instance()), version));
            }
            for (ConfirmedMinVersion minVersion : rig.confirmedMinVersions) {
                if (version < minVersion.minVersion()) {
                    long lateMs = (each.atNanos() - minVersion.atNanos()) / 1_000_000 - AuditTestRig.LEASE_MS;
                    outcome.fencingBeyondLeaseMs = Math.max(outcome.fencingBeyondLeaseMs, lateMs);
                    if (lateMs > 0) {
                        outcome.belowMinVersion++;
                        outcome.violations.add(AuditTestRig.instanceName(each.instance()) + " began version " + version
                                + " " + lateMs
                                + " ms past the lease of the floor " + minVersion.minVersion());
                    }
                }
            }
        }
    }

    private static int answerCode(int answer) {
        return switch (answer) {
            case 1 -> StubFrames.COMPLETED;
            case 2 -> StubFrames.DENIED;
            case 3 -> StubFrames.TERMINATED;
            default -> 0;
        };
    }

    /** The latest of each life that is in the record. */
    private static void updateLastRecorded(AuditTestRig rig, int instance, long atNanos, boolean recorded,
            Map<ProcessDeath, Long> lastRecorded) {
        for (ProcessDeath each : rig.deaths) {
            if (recorded && each.instance() == instance && atNanos <= each.atNanos()) {
                lastRecorded.merge(each, atNanos, Math::max);
            }
        }
    }

    /** It may lie in the tail of a process that was killed, or be one of those that the record says it left out. */
    private static void classifyMissing(AuditTestRig rig, int instance, long atNanos, Set<Integer> omitting,
            Map<ProcessDeath, Long> lastRecorded,
            Map<Integer, Long> missing, Outcome outcome) {
        for (ProcessDeath each : rig.deaths) {
            // A result may be told, or an answer read, a moment after the kill.
            if (each.instance() == instance && atNanos >= each.atNanos() - MAX_LOST_TAIL_NANOS && atNanos
                    <= each.atNanos() + OBSERVATION_SLACK_NANOS
                    && atNanos >= lastRecorded.getOrDefault(each, 0L) - OBSERVATION_SLACK_NANOS) {
                outcome.longestLostTailMs = Math.max(outcome.longestLostTailMs, (each.atNanos() - atNanos) / 1_000_000);
                return;
            }
        }
        if (omitting.contains(instance) && missing.merge(instance, 1L, Long::sum) <= outcome.omittedEvents) {
            return;
        }
        outcome.unaccounted++;
        outcome.violations.add("not in the record of " + AuditTestRig.instanceName(instance) + ", "
                + (atNanos - rig.deaths.stream()
                .filter(each -> each.instance() == instance).mapToLong(ProcessDeath::atNanos).max().orElse(atNanos))
                / 1_000_000
                + " ms after it last went");
    }

    /** A folder of its own for a play. */
    public static Path createFolder() throws IOException {
        return Files.createTempDirectory("vetchrill-audit");
    }
}
