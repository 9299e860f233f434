package vetchrill.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Real instance processes lose power together, again and again, while versions are published and minimum versions are
 * raised, and one of them sometimes at a write point of its store. They restart at once or one after the other,
 * sometimes lose power again during the restart, and some disks are lost, replaced by an older copy, swapped or
 * corrupted. The scenario compares the durable state that each instance reports before and after.
 */
public final class PowerLossScenario {
    /** The last write point of the store, counted from the start of the process, at which power is cut. */
    private static final int MAX_WRITE_POINT = 40;
    private static final int WRITE_POINT_TIMEOUT_MS = 1_500;
    private static final int MAX_START_STAGGER_MS = 300;
    /** One in this many power losses also damages a disk. */
    private static final int DISK_DAMAGE_PERIOD = 3;
    private static final int MAX_ORDER_DELAY_MS = 120;
    private static final int MAX_ORDER_DELAY_WITH_DISK_DAMAGE_MS = 600;
    private static final int MAX_POWER_LOSS_DELAY_MS = 60;
    private static final int MAX_POWER_LOSS_DELAY_WITH_DISK_DAMAGE_MS = 400;

    /** The result of a run; each regression and each undetected damage is one of the violations. */
    public static final class Outcome {
        public int powerLosses;
        public int regressions;
        public int disksDamaged;
        public int damageDetected;
        /** The times from the restart of all instances until all served again. */
        public final List<Long> recoveryTimesMs = new ArrayList<>();
        public final AuditScenario.Outcome audit = new AuditScenario.Outcome();
        public final List<String> violations = new ArrayList<>();
    }

    /** The durable state of an instance as it last reported it, with the voters' promises that it knows, by voter. */
    private record ReportedState(long revision, long activeVersion, long minVersion, long confirmedMinVersion,
            TreeMap<String, Long> voterPromises) {
    }

    private final AuditTestRig rig;
    private final int size;
    private final int voters;
    private final SplittableRandom random;
    private final Outcome outcome = new Outcome();
    private final ReportedState[] lastReported;

    private PowerLossScenario(AuditTestRig rig, int size, int voters, long seed) {
        this.rig = rig;
        this.size = size;
        this.voters = voters;
        random = new SplittableRandom(seed);
        lastReported = new ReportedState[size];
    }

    /** Runs that many power losses, drawn from the seed, in an empty folder. */
    public static Outcome run(int size, int voters, int powerLosses, boolean damageDisks, long seed, Path folder)
            throws IOException, InterruptedException {
        try (AuditTestRig rig = new AuditTestRig(size, voters, folder, seed)) {
            PowerLossScenario scenario = new PowerLossScenario(rig, size, voters, seed);
            rig.awaitVersionOnAll(0);
            rig.startLoad(AuditScenario.EXCHANGES_PER_S);
            for (int i = 0; i < powerLosses; i++) {
                scenario.runPowerLoss(damageDisks && i > 0 && i % DISK_DAMAGE_PERIOD == 0);
            }
            AuditScenario.shutDownAndVerify(rig, 0, scenario.outcome.audit);
            scenario.outcome.violations.addAll(scenario.outcome.audit.violations);
            return scenario.outcome;
        }
    }

    private static ReportedState parseState(JsonNode status) {
        TreeMap<String, Long> voterPromises = new TreeMap<>();
        for (JsonNode each : status.path("keepers")) {
            voterPromises.put(each.path("name").asText(),
                    each.path("life").asLong() << 32 | each.path("floor").asLong());
        }
        return new ReportedState(status.path("count").asLong(), status.path("taken").asLong(),
                status.path("floor").asLong(), status.path("confirmed").asLong(), voterPromises);
    }

    /** Records the state that each instance reports now. */
    private void recordState() {
        for (int i = 0; i < size; i++) {
            try {
                lastReported[i] = parseState(rig.status(i));
            } catch (IOException e) {
                // The instance is already down: its earlier report counts.
            }
        }
    }

    /** Publishes a version, orders a minimum version perhaps, and cuts the power of all instances meanwhile. */
    private void runPowerLoss(boolean damageDisk) throws IOException, InterruptedException {
        rig.awaitServing();
        recordState();
        int target = random.nextInt(size);
        int publisher = random.nextInt(size);
        if (damageDisk) {
            rig.saveDisk(target, "day-" + outcome.powerLosses);
        }
        long version = rig.lastPublished + 1;
        boolean published = rig.publish(publisher, version, 1);
        if (published && (damageDisk || random.nextBoolean())) {
            Thread.sleep(random.nextInt(damageDisk ? MAX_ORDER_DELAY_WITH_DISK_DAMAGE_MS : MAX_ORDER_DELAY_MS));
            rig.orderMinVersion(publisher, version);
        }
        Thread.sleep(random.nextInt(
                damageDisk ? MAX_POWER_LOSS_DELAY_WITH_DISK_DAMAGE_MS : MAX_POWER_LOSS_DELAY_MS));
        recordState();
        rig.losePowerOfAll();
        outcome.powerLosses++;
        boolean[] intact = new boolean[size];
        Arrays.fill(intact, true);
        if (damageDisk) {
            damageDisk(target, "day-" + (outcome.powerLosses - 1), intact);
        }
        if (random.nextInt(3) == 0) {
            losePowerDuringRestart();
        }
        boolean staggered = random.nextInt(3) == 0;
        for (int i = 0; i < size; i++) {
            rig.start(i);
            if (staggered) {
                Thread.sleep(random.nextInt(MAX_START_STAGGER_MS));
            }
        }
        long startNanos = System.nanoTime();
        rig.awaitServing();
        outcome.recoveryTimesMs.add((System.nanoTime() - startNanos) / 1_000_000);
        verifyState(intact);
    }

    /** Cuts the power again during the restart: one instance loses it at a write point, the others at the same time. */
    private void losePowerDuringRestart() throws IOException, InterruptedException {
        int target = random.nextInt(size);
        rig.setPowerLossPoint(target, 1 + random.nextInt(MAX_WRITE_POINT));
        for (int i = 0; i < size; i++) {
            rig.start(i);
        }
        long end = System.nanoTime() + WRITE_POINT_TIMEOUT_MS * 1_000_000L;
        while (rig.isUp(target) && System.nanoTime() < end) {
            Thread.sleep(1);
        }
        rig.losePowerOfAll();
        outcome.powerLosses++;
        rig.setPowerLossPoint(target, 0);
    }

    /** Loses, replaces by an older copy, corrupts or swaps the disk of an instance that is down. */
    private void damageDisk(int target, String savedName, boolean[] intact) throws IOException {
        outcome.disksDamaged++;
        intact[target] = false;
        switch (random.nextInt(4)) {
            case 0 -> rig.loseDisk(target);
            case 1 -> rig.restoreDisk(target, savedName);
            case 2 -> rig.corruptDisk(target);
            default -> {
                // Two damaged voters are a minority of five or more voters only. With fewer, at most one of the two
                // swapped instances may be a voter.
                int other = target == size - 1 ? size - 2 : size - 1;
                if (voters < 5 && (target < voters && other < voters)) {
                    rig.restoreDisk(target, savedName);
                } else {
                    intact[other] = false;
                    rig.swapDisks(target, other);
                }
            }
        }
    }

    /**
     * Checks that intact disks kept their state, that the instances with other disks detected the damage, and that
     * these learned the minimum version again.
     */
    private void verifyState(boolean[] intact) throws IOException, InterruptedException {
        long minVersion = 0;
        for (ReportedState each : lastReported) {
            minVersion = Math.max(minVersion, each.confirmedMinVersion);
        }
        for (int i = 0; i < size; i++) {
            JsonNode status = rig.status(i);
            ReportedState now = parseState(status);
            if (intact[i]) {
                checkNoRegression(i, "state revision", lastReported[i].revision, now.revision);
                checkNoRegression(i, "active version", lastReported[i].activeVersion, now.activeVersion);
            } else if (rig.readLog(i).contains("OLDER") || !status.path("store").asText().matches("WHOLE|TORN|EMPTY")) {
                outcome.damageDetected++;
            } else {
                outcome.violations.add(AuditTestRig.instanceName(i)
                        + " did not detect that its disk was damaged or replaced: " + status);
            }
            checkNoRegression(i, "minimum version", minVersion, now.minVersion);
            for (int k = 0; k < voters; k++) {
                String voter = AuditTestRig.instanceName(k);
                checkNoRegression(i, "promise of " + voter, intact[i] ? lastReported[i].voterPromises.get(voter) : 0,
                        now.voterPromises.get(voter));
            }
        }
    }

    private void checkNoRegression(int instance, String value, long before, long now) {
        if (now < before) {
            outcome.regressions++;
            outcome.violations.add(AuditTestRig.instanceName(instance) + ": its " + value + " went back from "
                    + before + " to " + now);
        }
    }
}
