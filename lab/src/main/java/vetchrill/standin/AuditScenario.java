package vetchrill.standin;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
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
import vetchrill.standin.AuditTestRig.ConfirmedMinVersion;
import vetchrill.standin.AuditTestRig.ObservedAnswer;
import vetchrill.standin.AuditTestRig.ObservedApply;
import vetchrill.standin.AuditTestRig.ProcessDeath;

/**
 * Publishes versions and raises minimum versions in an {@link AuditTestRig} while processes are killed, stopped or
 * partitioned, lose their disks, or have their clocks stepped. Then it heals all faults and compares what stubs and
 * fake interpreters observed with the audit logs.
 */
public final class AuditScenario {
    static final int EXCHANGES_PER_S = 40;
    static final int MIN_VERSION_TIMEOUT_MS = 5_000;
    /** A result may be observed, or an answer read, this long after its instance was killed. */
    private static final long OBSERVATION_SLACK_NANOS = 50_000_000;
    /**
     * An audit log is a prefix of what happened: the events missing from that of a killed process are later than all
     * that it contains, and at most this old at the kill.
     */
    private static final long MAX_LOST_TAIL_NANOS = 2_000_000_000L;
    private static final int LAST_FLUSH_WAIT_MS = 300;
    private static final int MIN_PAUSE_MS = 100;
    private static final int PAUSE_SPREAD_MS = 400;
    private static final int FAULT_DURATION_MS = 1_500;
    private static final int ROLLOUT_TIMEOUT_MS = 4_000;
    private static final int LEASE_EXPIRY_MARGIN_MS = 300;
    private static final int LINK_DELAY_MS = 30;
    private static final int CLOCK_STEP_MS = 3_600_000;

    /** A problem that {@link InstanceAuditLog} reports for a stepped clock, which is an injected fault here. */
    private static final String CLOCK_STEP_PROBLEM = "the clock went back";

    // The faults that are drawn. The first also publishes other content under the same number.
    private static final int KILL_AND_CONFLICT = 0;
    private static final int KILL = 1;
    private static final int STOP = 2;
    private static final int PARTITION = 3;
    private static final int DROP_OUTGOING = 4;
    private static final int DROP_INCOMING = 5;
    private static final int DELAY = 6;
    private static final int STEP_CLOCK = 7;
    private static final int FILL_DISK = 8;
    private static final int CLOSE_CONNECTIONS = 9;
    private static final int FAULT_KINDS = 10;

    /** The result of a scenario: counts over all instances. */
    public static final class Outcome {
        public int processes;
        public int faults;
        public long exchanges;
        /** Violation: exchanges that are missing from the audit logs without a reason. */
        public long unaccounted;
        /** Violation: exchanges that the audit logs show with another answer or version. */
        public long misattributed;
        /** Violation: exchanges started under a version below a minimum version whose lease had expired. */
        public long belowMinVersion;
        /**
         * The latest start of an exchange below a confirmed minimum version, relative to one lease after the
         * confirmation; negative if it was before.
         */
        public long fencingBeyondLeaseMs = Long.MIN_VALUE;
        public int minVersionsConfirmed;
        public int inconsistencies;
        public int disksLost;
        public long omittedEvents;
        /** The longest time before a kill at which an exchange was observed that is missing because of it. */
        public long longestLostTailMs;
        /** The times until a version was active on all instances. */
        public final List<Long> publishTimesMs = new ArrayList<>();
        /** Descriptions of the violations. */
        public final List<String> violations = new ArrayList<>();
        public boolean allExitedCleanly = true;
    }

    private record ExchangeKey(int instance, long id) {
    }

    private AuditScenario() {
    }

    /** Runs that many faults, drawn from the seed, in an empty folder. */
    public static Outcome run(int size, int voters, int faults, long seed, Path folder)
            throws IOException, InterruptedException {
        Outcome outcome = new Outcome();
        outcome.processes = size;
        SplittableRandom random = new SplittableRandom(seed);
        try (AuditTestRig rig = new AuditTestRig(size, voters, folder, seed)) {
            rig.awaitVersionOnAll(0);
            rig.startLoad(EXCHANGES_PER_S);
            for (int i = 0; i < faults; i++) {
                runFault(rig, size, voters, random, outcome);
            }
            shutDownAndVerify(rig, random.nextInt(size), outcome);
        }
        return outcome;
    }

    /** After all faults are healed, rolls out one more version, shuts the fleet down and verifies its audit logs. */
    static void shutDownAndVerify(AuditTestRig rig, int publisher, Outcome outcome) throws IOException,
            InterruptedException {
        rig.awaitServing();
        long lastVersion = rig.lastPublished + 1;
        if (!rig.publish(publisher, lastVersion, 1)) {
            throw new IllegalStateException("a version can't be published although all faults are healed");
        }
        outcome.publishTimesMs.add(rig.awaitVersionOnAll(lastVersion));
        Thread.sleep(LAST_FLUSH_WAIT_MS);
        for (int code : rig.shutDownAll()) {
            outcome.allExitedCleanly &= code == 0;
        }
        outcome.faults = rig.faults;
        outcome.minVersionsConfirmed = rig.confirmedMinVersions.size();
        outcome.disksLost = (int) rig.deaths.stream().filter(ProcessDeath::diskLost).count();
        verify(rig, outcome);
    }

    /**
     * How long the rollout of a change took under a fault, by a version and by a file on each machine.
     *
     * @param versionMs until the last instance reached while the fault lasted
     * @param versionHealedMs until the last instance reached before the timeout
     */
    public record RolloutTimes(String fault, long versionMs, long versionHealedMs, int versionMissed, long fileMs,
            int fileMissed) {
    }

    /**
     * Rolls out the same change in both ways under each fault, which lasts 1.5 s. The results show how long it took
     * until all reachable instances had the change, and how many did not have it 2.5 s after the fault was healed.
     */
    public static List<RolloutTimes> compareRollouts(int size, int voters, Path folder) throws IOException,
            InterruptedException {
        List<RolloutTimes> results = new ArrayList<>();
        try (AuditTestRig rig = new AuditTestRig(size, voters, folder, 1)) {
            rig.awaitVersionOnAll(0);
            rig.startLoad(EXCHANGES_PER_S);
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
                            throw new UncheckedIOException(e);
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
            case "delayed by 30 ms" -> rig.setLinkDelay(target, LINK_DELAY_MS);
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

    /** The longest of the durations below the limit; -1 if there is none. */
    private static long latestBefore(long[] durationsMs, int limitMs) {
        return Arrays.stream(durationsMs).filter(each -> each < limitMs).max().orElse(-1);
    }

    private static int countMissed(long[] durationsMs) {
        return (int) Arrays.stream(durationsMs).filter(each -> each < 0).count();
    }

    /** Injects a fault, publishes a version and perhaps raises the minimum version to it, and heals the fault. */
    private static void runFault(AuditTestRig rig, int size, int voters, SplittableRandom random, Outcome outcome)
            throws IOException, InterruptedException {
        int target = random.nextInt(size);
        int publisher = (target + 1 + random.nextInt(size - 1)) % size;
        int kind = random.nextInt(FAULT_KINDS);
        int partition = 0;
        switch (kind) {
            case KILL_AND_CONFLICT, KILL -> rig.kill(target);
            case STOP -> rig.signal(target, "STOP");
            case PARTITION -> {
                // One instance: a minority of the voters, and of all instances.
                partition = 1 << target;
                rig.setPartition(partition, true);
            }
            case DROP_OUTGOING -> rig.setOneWayDrop(target, true, true);
            case DROP_INCOMING -> rig.setOneWayDrop(target, false, true);
            case DELAY -> rig.setLinkDelay(target, LINK_DELAY_MS);
            case STEP_CLOCK -> rig.stepClock(target, random.nextBoolean() ? CLOCK_STEP_MS : -CLOCK_STEP_MS);
            case FILL_DISK -> rig.setDiskFull(target, true);
            default -> rig.closeConnections(target);
        }
        long version = rig.lastPublished + 1;
        boolean published = rig.publish(publisher, version, 1);
        if (kind == KILL_AND_CONFLICT && random.nextBoolean()) {
            // Another instance is ordered to publish other content under the same number.
            published &= !rig.publish((publisher + 1) % size, version, 2);
        }
        boolean allReachable = published && (kind == DELAY || kind == STEP_CLOCK || kind == CLOSE_CONNECTIONS);
        if (allReachable) {
            outcome.publishTimesMs.add(rig.awaitVersionOnAll(version));
        } else {
            Thread.sleep(MIN_PAUSE_MS + random.nextInt(PAUSE_SPREAD_MS));
        }
        if (published && random.nextInt(3) > 0 && rig.awaitMinVersion(publisher, version,
                MIN_VERSION_TIMEOUT_MS)) {
            // By then the lease of an instance that can't reach the minimum version has expired.
            Thread.sleep(AuditTestRig.LEASE_MS + LEASE_EXPIRY_MARGIN_MS);
        }
        switch (kind) {
            case KILL_AND_CONFLICT, KILL -> {
                int diskFault = random.nextInt(4);
                if (diskFault == 0) {
                    rig.loseDisk(target);
                } else if (diskFault == 1) {
                    rig.tearAuditLog(target);
                }
                rig.start(target);
            }
            case STOP -> rig.signal(target, "CONT");
            case PARTITION -> rig.setPartition(partition, false);
            case DROP_OUTGOING -> rig.setOneWayDrop(target, true, false);
            case DROP_INCOMING -> rig.setOneWayDrop(target, false, false);
            case DELAY -> rig.setLinkDelay(target, 0);
            case STEP_CLOCK -> rig.stepClock(target, 0);
            case FILL_DISK -> rig.setDiskFull(target, false);
            default -> {
            }
        }
        // Which version is active at the next fault depends on the outcome of this one.
        rig.awaitServing();
    }

    /** Compares the observations of stubs and fake interpreters with the audit logs, after the rig has shut down. */
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
                    .filter(problem -> !problem.contains(CLOCK_STEP_PROBLEM)).toList());
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
                outcome.violations.add(String.format("%016x was answered with code %d by %s, its audit log has %s",
                        each.id(), each.code(), AuditTestRig.instanceName(each.instance()), event));
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
                outcome.violations.add(String.format("%016x was begun by %s under version %d, which rejects it",
                        each.id(), AuditTestRig.instanceName(each.instance()), version));
            }
            for (ConfirmedMinVersion minVersion : rig.confirmedMinVersions) {
                if (version < minVersion.minVersion()) {
                    long lateMs = (each.atNanos() - minVersion.atNanos()) / 1_000_000 - AuditTestRig.LEASE_MS;
                    outcome.fencingBeyondLeaseMs = Math.max(outcome.fencingBeyondLeaseMs, lateMs);
                    if (lateMs > 0) {
                        outcome.belowMinVersion++;
                        outcome.violations.add(AuditTestRig.instanceName(each.instance())
                                + " began an exchange under version " + version + " " + lateMs
                                + " ms after the lease for the minimum version " + minVersion.minVersion()
                                + " had expired");
                    }
                }
            }
        }
    }

    /** Maps the answer of an audit event to the code of the frame that the stub received. */
    private static int answerCode(int answer) {
        return switch (answer) {
            case 1 -> StubFrames.COMPLETED;
            case 2 -> StubFrames.DENIED;
            case 3 -> StubFrames.TERMINATED;
            default -> 0;
        };
    }

    /** Keeps, for each death of the instance, the latest observation before it that the audit log contains. */
    private static void updateLastRecorded(AuditTestRig rig, int instance, long atNanos, boolean recorded,
            Map<ProcessDeath, Long> lastRecorded) {
        for (ProcessDeath each : rig.deaths) {
            if (recorded && each.instance() == instance && atNanos <= each.atNanos()) {
                lastRecorded.merge(each, atNanos, Math::max);
            }
        }
    }

    /**
     * Handles an observation that is missing from the audit log. It may belong to the unflushed tail of a process that
     * was killed, or to the events that the log reports as omitted; else it is a violation.
     */
    private static void classifyMissing(AuditTestRig rig, int instance, long atNanos, Set<Integer> omitting,
            Map<ProcessDeath, Long> lastRecorded, Map<Integer, Long> missing, Outcome outcome) {
        for (ProcessDeath each : rig.deaths) {
            if (each.instance() == instance && atNanos >= each.atNanos() - MAX_LOST_TAIL_NANOS
                    && atNanos <= each.atNanos() + OBSERVATION_SLACK_NANOS
                    && atNanos >= lastRecorded.getOrDefault(each, 0L) - OBSERVATION_SLACK_NANOS) {
                outcome.longestLostTailMs = Math.max(outcome.longestLostTailMs, (each.atNanos() - atNanos) / 1_000_000);
                return;
            }
        }
        if (omitting.contains(instance) && missing.merge(instance, 1L, Long::sum) <= outcome.omittedEvents) {
            return;
        }
        outcome.unaccounted++;
        outcome.violations.add("not in the audit log of " + AuditTestRig.instanceName(instance) + ", "
                + (atNanos - rig.deaths.stream().filter(each -> each.instance() == instance)
                .mapToLong(ProcessDeath::atNanos).max().orElse(atNanos)) / 1_000_000
                + " ms after its process was last killed");
    }

    /** Creates a temporary folder for a scenario. */
    public static Path createFolder() throws IOException {
        return Files.createTempDirectory("vetchrill-audit");
    }
}
