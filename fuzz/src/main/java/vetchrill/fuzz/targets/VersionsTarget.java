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
import vetchrill.versions.Version.Stage;
import vetchrill.versions.VersionManager;

/**
 * A small fleet that agrees on versions and floors: an octet for its size, one for its keepers and zones, eight of
 * seed, then steps of four.
 */
public final class VersionsTarget implements Target {
    private static final int HEAD = 10;
    private static final int STEP = 4;
    private static final int MOST_STEPS = 40;
    static final long LEASE = 20_000;
    static final long EVERY = 2_000;
    public static final Scripts SCRIPTS = new Scripts(HEAD, STEP, MOST_STEPS);

    @Override
    public String name() {
        return "versions";
    }

    @Override
    public List<Class<?>> covers() {
        return List.of(VersionManager.class);
    }

    @Override
    public void run(byte[] input) {
        Draws draws = new Draws(Arrays.copyOf(input, Math.min(input.length, SCRIPTS.longest())));
        int size = 3 + draws.octet() % 6;
        int of = draws.octet();
        int keepers = of % 3 == 0 && size >= 5 ? 5 : 3;
        long seed = 0;
        for (int i = 0; i < 8; i++) {
            seed = seed << 8 | draws.octet();
        }
        try {
            VersionsWorld world = new VersionsWorld(size, keepers, 1 + of / 3 % 3, LEASE, EVERY, seed);
            world.until(4 * EVERY);
            while (!draws.over()) {
                step(world, size, draws.below(23), draws.octet() % size, draws.octet(), draws.octet());
            }
            world.heal();
            world.until(world.settles());
            world.settled();
        } catch (VersionsWorld.Broken e) {
            throw new Finding(e.getMessage());
        }
    }

    static void step(VersionsWorld world, int size, int what, int at, int b, int c) {
        int other = (at + 1 + b % (size - 1)) % size;
        switch (what) {
            case 0 -> world.kill(at);
            case 1 -> world.start(at);
            case 2 -> {
                world.kill(at);
                world.start(at);
            }
            case 3 -> world.loseDisk(at, null);
            case 4, 5 -> world.pause(at, 500L * c);
            case 6 -> world.cut(at, other, true);
            case 7 -> world.cut(at, other, false);
            case 8 -> world.part(size, b ^ c);
            case 9 -> world.loss = b % 6 / 10.0;
            case 10 -> world.doubled = b % 4 / 4.0;
            case 11 -> world.longestDelay = 2 + 40L * b;
            case 12 -> {
                if (b % 3 == 2) {
                    world.slow(at, 150L * c);
                } else {
                    world.fill(at, b % 3 == 0);
                }
            }
            case 21 -> world.twin(at, b ^ c);
            case 22 -> world.spoilt = b % 3 / 4.0;
            case 13, 14 -> world.publish(at, 1 + b % 6, content(b, c), c % 16 == 15 ? "b".repeat(64)
                    : c % 16 == 14 ? VersionsWorld.TEXT : "", c % 5 == 4 ? List.of(new Stage("", 0.5), new Stage("", 1))
                    : List.of(new Stage("", 1)), c % 5 == 4 ? 5_000 : 0);
            case 15, 16 -> world.floor(at, 1 + b % 6);
            case 17 -> {
                if (c % 4 == 0) {
                    world.halt(at, 1 + b % 6);
                }
            }
            case 18 -> world.heal();
            default -> world.until(world.now() + 100L * b + (what == 20 ? 1_000L * c : 0));
        }
    }

    /** Some are refused on one machine, some are sent in several pieces, some are alike under two numbers. */
    private static byte[] content(int b, int c) {
        byte[] content = new byte[c % 8 == 7 ? 40_000 : 1 + c % 3];
        Arrays.fill(content, (byte) (b / 6));
        content[0] = (byte) (c % 8 == 6 ? 1 + b % 3 : 100 + c % 4);
        return content;
    }

    /** A keeper lives twice: one is taught by three, the other is still heard by two who did not hear of that. */
    private static int[][] twice() {
        List<int[]> steps = new ArrayList<>(List.of(new int[] {21, 1, 0b011001, 0}, new int[] {19, 0, 255, 0}));
        int[][] apart = {{4, 0}, {4, 3}, {4, 1}, {2, 0}, {2, 3}, {5, 0}, {5, 3}};
        for (int[] pair : apart) {
            steps.add(new int[] {6, pair[0], Math.floorMod(pair[1] - pair[0] - 1, 6), 0});
            steps.add(new int[] {6, pair[1], Math.floorMod(pair[0] - pair[1] - 1, 6), 0});
        }
        steps.add(new int[] {13, 0, 0, 0});
        steps.add(new int[] {19, 0, 20, 0});
        steps.add(new int[] {15, 0, 0, 0});
        steps.add(new int[] {20, 0, 0, 40});
        return steps.toArray(new int[0][]);
    }

    /** The stories that floors are made for, beside those that are drawn. */
    @Override
    public List<byte[]> seeds() {
        List<byte[]> seeds = new ArrayList<>(SCRIPTS.seeds(700, 12));
        int[][][] stories = {
            // One stands still, one is cut off, while a floor is raised.
            {{13, 0, 0, 0}, {19, 0, 30, 0}, {4, 4, 0, 120}, {15, 0, 0, 0}, {19, 0, 255, 0}, {20, 0, 0, 40}},
            {{13, 0, 0, 0}, {19, 0, 30, 0}, {8, 0, 8, 0}, {15, 0, 0, 0}, {19, 0, 255, 0}, {20, 0, 0, 40}},
            // A keeper promises, loses its disk, and another that did not hear of it asks.
            {{13, 0, 0, 0}, {19, 0, 30, 0}, {8, 0, 20, 0}, {15, 0, 0, 0}, {19, 0, 20, 0}, {3, 1, 0, 0},
                {8, 0, 1, 0}, {20, 0, 0, 30}},
            {{13, 0, 0, 0}, {19, 0, 30, 0}, {3, 1, 0, 0}, {15, 0, 0, 0}, {19, 0, 4, 0}, {3, 2, 0, 0}, {20, 0, 0, 30}},
            // Words come late and twice, processes come back while they are on their way.
            {{11, 0, 250, 0}, {10, 0, 3, 0}, {13, 0, 0, 0}, {2, 3, 0, 0}, {15, 0, 0, 0}, {2, 4, 0, 0}, {20, 0, 0, 30},
                {2, 1, 0, 0}, {20, 0, 0, 30}},
            // A promise that is not on the disk yet goes with its process.
            {{8, 0, 4, 0}, {12, 1, 2, 20}, {13, 0, 0, 0}, {19, 0, 3, 0}, {15, 0, 0, 0}, {19, 0, 34, 0}, {2, 1, 0, 0},
                {8, 0, 1, 0}, {20, 0, 0, 30}},
            {{8, 0, 4, 0}, {12, 1, 2, 60}, {13, 0, 0, 0}, {19, 0, 3, 0}, {15, 0, 0, 0}, {19, 0, 100, 0}, {2, 1, 0, 0},
                {8, 0, 1, 0}, {20, 0, 0, 30}},
            // A keeper lives twice, and the one from before goes on answering.
            {{8, 0, 4, 0}, {13, 0, 0, 0}, {19, 0, 20, 0}, {21, 1, 1, 0}, {19, 0, 80, 0}, {15, 0, 0, 0}, {19, 0, 80, 0},
                {8, 0, 1, 0}, {20, 0, 0, 30}},
            {{8, 0, 4, 0}, {13, 0, 0, 0}, {15, 0, 0, 0}, {19, 0, 20, 0}, {21, 1, 1, 0}, {8, 0, 0, 0}, {20, 0, 0, 30}},
            // Answers to a process come when another has its name.
            {{13, 0, 5, 4}, {11, 0, 250, 0}, {2, 3, 0, 0}, {19, 0, 60, 0}, {8, 0, 8, 0}, {11, 0, 0, 0}, {13, 0, 0, 0},
                {19, 0, 4, 0}, {15, 0, 0, 0}, {19, 0, 4, 0}, {2, 3, 0, 0}, {20, 0, 0, 40}},
            {{11, 0, 250, 0}, {2, 3, 0, 0}, {19, 0, 80, 0}, {8, 0, 8, 0}, {11, 0, 0, 0}, {13, 0, 0, 0},
                {19, 0, 3, 0}, {15, 0, 0, 0}, {19, 0, 3, 0}, {2, 3, 0, 0}, {20, 0, 0, 40}},
            // Pieces are spoilt on their way.
            {{22, 0, 2, 0}, {13, 0, 0, 7}, {20, 0, 0, 20}},
            // Disks are full, contents large, refused, under one number twice.
            {{12, 1, 0, 0}, {13, 0, 0, 7}, {15, 0, 0, 0}, {20, 0, 0, 30}, {12, 1, 1, 0}, {20, 0, 0, 30}},
            {{8, 0, 24, 0}, {13, 0, 0, 7}, {13, 4, 0, 8}, {8, 0, 0, 0}, {20, 0, 0, 30}, {15, 0, 0, 0}},
            {{13, 0, 0, 6}, {20, 0, 0, 10}, {15, 0, 0, 0}, {20, 0, 0, 30}, {13, 1, 1, 15}, {15, 1, 1, 0}},
            // Higher first, then lower; the publisher goes before anybody has its content.
            {{13, 0, 3, 0}, {13, 0, 1, 0}, {20, 0, 0, 10}, {13, 1, 1, 1}, {20, 0, 0, 10}},
            {{13, 3, 2, 7}, {3, 3, 0, 0}, {13, 1, 1, 0}, {20, 0, 0, 30}},
        };
        // Of five keepers one promises, forgets, is taught by three who did not hear of it; one of these promises.
        int[][][] ofFive = {
            {{8, 0, 1, 0}, {13, 0, 0, 0}, {19, 0, 10, 0}, {15, 0, 0, 0}, {19, 0, 20, 0}, {8, 0, 3, 0}, {19, 0, 20, 0},
                {3, 1, 0, 0}, {8, 0, 1, 0}, {19, 0, 255, 0}, {8, 0, 9, 0}, {20, 0, 0, 40}},
            {{8, 0, 1, 0}, {13, 0, 0, 0}, {19, 0, 10, 0}, {15, 0, 0, 0}, {19, 0, 20, 0}, {8, 0, 3, 0}, {19, 0, 20, 0},
                {12, 3, 2, 100}, {3, 1, 0, 0}, {8, 0, 1, 0}, {19, 0, 40, 0}, {2, 3, 0, 0}, {8, 0, 9, 0},
                {20, 0, 0, 40}},
            twice(),
        };
        for (int i = 0; i < stories.length + ofFive.length; i++) {
            boolean five = i >= stories.length;
            int[][] story = five ? ofFive[i - stories.length] : stories[i];
            byte[] seed = SCRIPTS.told(story);
            seed[0] = (byte) (five ? 3 : 2);
            seed[1] = (byte) (five ? 0 : 1);
            seeds.add(seed);
        }
        return seeds;
    }

    @Override
    public byte[] mutate(byte[] input, SplittableRandom chance) {
        return SCRIPTS.mutate(input, chance);
    }
}
