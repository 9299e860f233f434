package vetchrill.fuzz.targets;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import vetchrill.fuzz.Draws;
import vetchrill.fuzz.Finding;
import vetchrill.fuzz.Scripts;
import vetchrill.fuzz.Target;
import vetchrill.peersim.VersionsWorld;
import vetchrill.powerloss.MemoryMedia;
import vetchrill.store.DurableStore;
import vetchrill.versions.VersionManager;

/**
 * A small fleet with its stores as they are, on media whose power goes at each write point, and which are put back to
 * an earlier day, swapped, spoilt and cut off; beside all that breaks versions and floors. An octet for its size, one
 * for its keepers, eight of seed, then steps of four.
 */
public final class RecoveryTarget implements Target {
    private static final Scripts SCRIPTS = VersionsTarget.SCRIPTS;
    private static final long LEASE = VersionsTarget.LEASE;
    private static final long EVERY = VersionsTarget.EVERY;
    /** Steps that {@link VersionsTarget} knows; those of stores follow. A second process has no media of its own. */
    private static final int OTHERS = 23;
    private static final int TWIN = 21;
    private static final int STEPS = OTHERS + 9;

    @Override
    public String name() {
        return "recovery";
    }

    @Override
    public List<Class<?>> covers() {
        return List.of(VersionManager.class, DurableStore.class);
    }

    @Override
    public void run(byte[] input) {
        play(input);
    }

    /** The world as it ends, for whoever counts. */
    public static VersionsWorld play(byte[] input) {
        Draws draws = new Draws(Arrays.copyOf(input, Math.min(input.length, SCRIPTS.longest())));
        int size = 3 + draws.octet() % 4;
        int of = draws.octet();
        int keepers = of % 3 == 0 && size >= 5 ? 5 : 3;
        long seed = 0;
        for (int i = 0; i < 8; i++) {
            seed = seed << 8 | draws.octet();
        }
        try {
            VersionsWorld world = new VersionsWorld(size, keepers, 1, LEASE, EVERY, seed, true);
            MemoryMedia[] days = new MemoryMedia[size];
            world.until(4 * EVERY);
            while (!draws.over()) {
                int what = draws.below(STEPS);
                int at = draws.octet() % size;
                int b = draws.octet();
                int c = draws.octet();
                if (what < OTHERS && what != TWIN) {
                    VersionsTarget.step(world, size, what, at, b, c);
                } else {
                    step(world, days, what, at, b, c);
                }
            }
            world.heal();
            world.until(world.settles());
            world.settled();
            return world;
        } catch (VersionsWorld.Broken e) {
            throw new Finding(e.getMessage());
        }
    }

    private static void step(VersionsWorld world, MemoryMedia[] days, int what, int at, int b, int c) {
        switch (what) {
            case OTHERS -> world.loseAll(0);
            case OTHERS + 1, OTHERS + 2 -> world.loseAll(1 + b % 64);
            case OTHERS + 3 -> world.returnAll(0);
            case OTHERS + 4 -> world.returnAll(50L * b);
            case OTHERS + 5 -> days[at] = world.day(at);
            case OTHERS + 6 -> {
                if (days[at] != null) {
                    world.otherMedia(at, new MemoryMedia(days[at]));
                }
            }
            case OTHERS + 7 -> world.otherMedia(at, world.day((at + 1 + b % (days.length - 1)) % days.length));
            default -> world.spoilMedia(at, b % 2 == 0, c);
        }
    }

    /** A version, a floor and a loss in the middle of them, with disks that come back otherwise, beside drawn ones. */
    @Override
    public List<byte[]> seeds() {
        List<byte[]> seeds = new ArrayList<>(SCRIPTS.seeds(900, 12));
        int lose = OTHERS;
        int later = OTHERS + 1;
        int back = OTHERS + 3;
        int save = OTHERS + 5;
        int older = OTHERS + 6;
        int swap = OTHERS + 7;
        int spoil = OTHERS + 8;
        int[][][] stories = {
            {{13, 0, 0, 0}, {19, 0, 10, 0}, {15, 0, 0, 0}, {later, 0, 1, 0}, {19, 0, 20, 0}, {back, 0, 0, 0},
                {20, 0, 0, 30}},
            {{13, 0, 0, 0}, {19, 0, 10, 0}, {15, 0, 0, 0}, {later, 0, 6, 0}, {19, 0, 20, 0}, {back, 0, 0, 0},
                {later, 0, 9, 0}, {19, 0, 20, 0}, {back, 0, 0, 0}, {20, 0, 0, 30}},
            {{save, 1, 0, 0}, {13, 0, 0, 0}, {19, 0, 30, 0}, {15, 0, 0, 0}, {20, 0, 0, 20}, {lose, 0, 0, 0},
                {older, 1, 0, 0}, {back, 0, 0, 0}, {20, 0, 0, 30}},
            // Of three keepers one was not there for the floor, and comes back with the one whose disk is older.
            {{save, 1, 0, 0}, {13, 0, 0, 0}, {19, 0, 30, 0}, {8, 0, 4, 0}, {15, 0, 0, 0}, {19, 0, 60, 0},
                {lose, 0, 0, 0}, {older, 1, 0, 0}, {18, 0, 0, 0}, {0, 0, 0, 0}, {20, 0, 0, 30}},
            {{13, 0, 0, 0}, {19, 0, 30, 0}, {lose, 0, 0, 0}, {swap, 1, 0, 0}, {back, 0, 0, 0}, {15, 0, 0, 0},
                {20, 0, 0, 30}},
            {{13, 0, 0, 7}, {20, 0, 0, 10}, {lose, 0, 0, 0}, {spoil, 1, 1, 9}, {back, 0, 0, 0}, {20, 0, 0, 30}},
            {{13, 0, 0, 7}, {20, 0, 0, 10}, {lose, 0, 0, 0}, {spoil, 2, 0, 40}, {back, 0, 0, 0}, {20, 0, 0, 30}},
        };
        for (int[][] story : stories) {
            seeds.add(SCRIPTS.told(story));
        }
        return seeds;
    }

    @Override
    public byte[] mutate(byte[] input, SplittableRandom chance) {
        return SCRIPTS.mutate(input, chance);
    }
}
