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
public final class PowerPlay {
    private static final int POINTS = 40;
    private static final int BEFORE_POINT_MS = 1_500;
    private static final int STAGGER_MS = 300;

    /** What came of it. */
    public static final class Outcome {
        public int losses;
        public int wentBack;
        public int damaged;
        public int toldApart;
        /** From the moment in which all were started again until all served. */
        public final List<Long> servingMs = new ArrayList<>();
        public final AuditPlay.Outcome audit = new AuditPlay.Outcome();
        public final List<String> wrong = new ArrayList<>();
    }

    /** What binds one place, as it told last; by keeper also what it knows of their promises. */
    private record Bound(long count, long taken, long floor, long confirmed, TreeMap<String, Long> keepers) {
    }

    private final AuditRig rig;
    private final int size;
    private final int keepers;
    private final SplittableRandom chance;
    private final Outcome outcome = new Outcome();
    private final Bound[] bound;

    private PowerPlay(AuditRig rig, int size, int keepers, long seed) {
        this.rig = rig;
        this.size = size;
        this.keepers = keepers;
        chance = new SplittableRandom(seed);
        bound = new Bound[size];
    }

    /** So many losses, drawn from the seed, in a folder that is there and empty. */
    public static Outcome play(int size, int keepers, int losses, boolean disks, long seed, Path folder)
            throws IOException, InterruptedException {
        try (AuditRig rig = new AuditRig(size, keepers, folder, seed)) {
            PowerPlay play = new PowerPlay(rig, size, keepers, seed);
            rig.untilAll(0);
            rig.load(40);
            for (int i = 0; i < losses; i++) {
                play.loss(disks && i > 0 && i % 3 == 0);
            }
            AuditPlay.end(rig, 0, play.outcome.audit);
            play.outcome.wrong.addAll(play.outcome.audit.wrong);
            return play.outcome;
        }
    }

    private static Bound bound(JsonNode told) {
        TreeMap<String, Long> keepers = new TreeMap<>();
        for (JsonNode each : told.path("keepers")) {
            keepers.put(each.path("name").asText(), each.path("life").asLong() << 32 | each.path("floor").asLong());
        }
        return new Bound(told.path("count").asLong(), told.path("taken").asLong(), told.path("floor").asLong(),
                told.path("confirmed").asLong(), keepers);
    }

    private void look() {
        for (int i = 0; i < size; i++) {
            try {
                bound[i] = bound(rig.status(i));
            } catch (IOException e) {
                // It is gone already: what it told before counts.
            }
        }
    }

    private void loss(boolean disk) throws IOException, InterruptedException {
        rig.serving();
        look();
        int at = chance.nextInt(size);
        int on = chance.nextInt(size);
        if (disk) {
            rig.saveDisk(at, "day-" + outcome.losses);
        }
        long version = rig.number + 1;
        boolean published = rig.publish(on, version, 1);
        if (published && (disk || chance.nextBoolean())) {
            Thread.sleep(chance.nextInt(disk ? 600 : 120));
            rig.orderFloor(on, version);
        }
        Thread.sleep(chance.nextInt(disk ? 400 : 60));
        look();
        rig.powerLoss();
        outcome.losses++;
        boolean[] whole = new boolean[size];
        java.util.Arrays.fill(whole, true);
        if (disk) {
            spoil(at, "day-" + (outcome.losses - 1), whole);
        }
        if (chance.nextInt(3) == 0) {
            again();
        }
        boolean staggered = chance.nextInt(3) == 0;
        for (int i = 0; i < size; i++) {
            rig.start(i);
            if (staggered) {
                Thread.sleep(chance.nextInt(STAGGER_MS));
            }
        }
        long began = System.nanoTime();
        rig.serving();
        outcome.servingMs.add((System.nanoTime() - began) / 1_000_000);
        held(whole);
    }

    /** The power goes once more while they return: of one at a write point, of the others with it. */
    private void again() throws IOException, InterruptedException {
        int at = chance.nextInt(size);
        rig.loseAt(at, 1 + chance.nextInt(POINTS));
        for (int i = 0; i < size; i++) {
            rig.start(i);
        }
        long end = System.nanoTime() + BEFORE_POINT_MS * 1_000_000L;
        while (rig.up(at) && System.nanoTime() < end) {
            Thread.sleep(1);
        }
        rig.powerLoss();
        outcome.losses++;
        rig.loseAt(at, 0);
    }

    private void spoil(int at, String day, boolean[] whole) throws IOException {
        outcome.damaged++;
        whole[at] = false;
        switch (chance.nextInt(4)) {
            case 0 -> rig.loseDisk(at);
            case 1 -> rig.restoreDisk(at, day);
            case 2 -> rig.spoilDisk(at);
            default -> {
                // Two at once are a minority of five keepers only: else of those that keep no floor.
                int other = at == size - 1 ? size - 2 : size - 1;
                if (keepers < 5 && (at < keepers && other < keepers)) {
                    rig.restoreDisk(at, day);
                } else {
                    whole[other] = false;
                    rig.swapDisks(at, other);
                }
            }
        }
    }

    /** What whole disks had promised is there; the others were told apart, and were taught the floor again. */
    private void held(boolean[] whole) throws IOException, InterruptedException {
        long floor = 0;
        for (Bound each : bound) {
            floor = Math.max(floor, each.confirmed);
        }
        for (int i = 0; i < size; i++) {
            JsonNode told = rig.status(i);
            Bound now = bound(told);
            if (whole[i]) {
                went(i, "count", bound[i].count, now.count);
                went(i, "version", bound[i].taken, now.taken);
            } else if (rig.log(i).contains("OLDER") || !told.path("store").asText().matches("WHOLE|TORN|EMPTY")) {
                outcome.toldApart++;
            } else {
                outcome.wrong.add(AuditRig.name(i) + " was not told apart: " + told);
            }
            went(i, "floor", floor, now.floor);
            for (int k = 0; k < keepers; k++) {
                String keeper = AuditRig.name(k);
                went(i, "promise of " + keeper, whole[i] ? bound[i].keepers.get(keeper) : 0, now.keepers.get(keeper));
            }
        }
    }

    private void went(int place, String what, long before, long now) {
        if (now < before) {
            outcome.wentBack++;
            outcome.wrong.add(AuditRig.name(place) + ": its " + what + " went back from " + before + " to " + now);
        }
    }
}
