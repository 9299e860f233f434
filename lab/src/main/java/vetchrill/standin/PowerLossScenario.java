package vetchrill.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Real processes that lose power together, again and again, in the middle of versions and floors, some of them at a
 * write point of their store; that return at once or one after the other, lose power again as they return, and some
 * of whose disks are lost, of an earlier day, swapped or damaged. What binds is asked of each before and after.
 */
public final class PowerLossScenario {
    private static final int MAX_WRITE_POINT = 40;
    private static final int WRITE_POINT_TIMEOUT_MS = 1_500;
    private static final int MAX_START_STAGGER_MS = 300;

    /** What came of it. */
    public static final class Outcome {
        public int powerLosses;
        public int regressions;
        public int disksDamaged;
        public int damageDetected;
        /** From the moment in which all were started again until all served. */
        public final List<Long> recoveryTimesMs = new ArrayList<>();
        public final AuditScenario.Outcome audit = new AuditScenario.Outcome();
        public final List<String> violations = new ArrayList<>();
    }

    /** What binds one place, as it told last; by keeper also what it knows of their promises. */
    private record ReportedState(long count, long activeVersion, long minVersion, long confirmedMinVersion,
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

    /** So many losses, drawn from the seed, in a folder that is there and empty. */
    public static Outcome run(int size, int voters, int powerLosses, boolean damageDisks, long seed, Path folder)
            throws IOException, InterruptedException {
        try (AuditTestRig rig = new AuditTestRig(size, voters, folder, seed)) {
            PowerLossScenario scenario = new PowerLossScenario(rig, size, voters, seed);
            rig.awaitVersionOnAll(0);
            rig.startLoad(40);
            for (int i = 0; i < powerLosses; i++) {
                scenario.runPowerLoss(damageDisks && i > 0 && i % 3 == 0);
            }
            AuditScenario.shutDownAndVerify(rig, 0, scenario.outcome.audit);
            scenario.outcome.violations.addAll(scenario.outcome.audit.violations);
            return scenario.outcome;
        }
    }

    private static ReportedState parseState(JsonNode status) {
        TreeMap<String, Long> voterPromises = new TreeMap<>();
        for (JsonNode each : status.path("keepers")) {
            voterPromises.put(each.path("name").asText(), each.path("life").asLong() << 32 | each.path("floor")
                    .asLong());
        }
        return new ReportedState(status.path("count").asLong(), status.path("taken").asLong(),
                status.path("floor").asLong(),
                status.path("confirmed").asLong(), voterPromises);
    }

    private void recordState() {
        for (int i = 0; i < size; i++) {
            try {
                lastReported[i] = parseState(rig.status(i));
            } catch (IOException e) {
                // It is gone already: what it told before counts.
            }
        }
    }

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
            Thread.sleep(random.nextInt(damageDisk ? 600 : 120));
            rig.orderMinVersion(publisher, version);
        }
        Thread.sleep(random.nextInt(damageDisk ? 400 : 60));
        recordState();
        rig.losePowerOfAll();
        outcome.powerLosses++;
        boolean[] intact = new boolean[size];
        java.util.Arrays.fill(intact, true);
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

    /** The power goes once more while they return: of one at a write point, of the others with it. */
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

    private void damageDisk(int target, String savedName, boolean[] intact) throws IOException {
        outcome.disksDamaged++;
        intact[target] = false;
        switch (random.nextInt(4)) {
            case 0 -> rig.loseDisk(target);
            case 1 -> rig.restoreDisk(target, savedName);
            case 2 -> rig.corruptDisk(target);
            default -> {
                // Two at once are a minority of five keepers only: else of those that keep no floor.
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

    /** What whole disks had promised is there; the others were told apart, and were taught the floor again. */
    private void verifyState(boolean[] intact) throws IOException, InterruptedException {
        long minVersion = 0;
        for (ReportedState each : lastReported) {
            minVersion = Math.max(minVersion, each.confirmedMinVersion);
        }
        for (int i = 0; i < size; i++) {
            JsonNode status = rig.status(i);
            ReportedState now = parseState(status);
            if (intact[i]) {
                checkNoRegression(i, "count", lastReported[i].count, now.count);
                checkNoRegression(i, "version", lastReported[i].activeVersion, now.activeVersion);
            } else if (rig.readLog(i).contains("OLDER") || !status.path("store").asText().matches("WHOLE|TORN|EMPTY")) {
                outcome.damageDetected++;
            } else {
                outcome.violations.add(AuditTestRig.instanceName(i) + " was not told apart: " + status);
            }
            checkNoRegression(i, "floor", minVersion, now.minVersion);
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
            outcome.violations.add(AuditTestRig.instanceName(instance) + ": its " + value + " went back from " + before
                    + " to " + now);
        }
    }
}
