package vetchrill.fuzz.targets;

import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import vetchrill.fuzz.Draws;
import vetchrill.fuzz.Finding;
import vetchrill.fuzz.Scripts;
import vetchrill.fuzz.Target;
import vetchrill.peersim.VersionsWorld;
import vetchrill.versions.Version;
import vetchrill.versions.Version.Stage;
import vetchrill.versions.Versions;

/**
 * A small fleet that agrees on versions and floors: an octet for its size, one for its keepers and zones, eight of
 * seed, then steps of four.
 */
public final class VersionsTarget implements Target {
    private static final int HEAD = 10;
    private static final int STEP = 4;
    private static final int MOST_STEPS = 40;
    private static final long LEASE = 20_000;
    private static final long EVERY = 2_000;
    private static final Scripts SCRIPTS = new Scripts(HEAD, STEP, MOST_STEPS);

    @Override
    public String name() {
        return "versions";
    }

    @Override
    public List<Class<?>> covers() {
        return List.of(Versions.class);
    }

    @Override
    public void run(byte[] input) {
        Draws draws = new Draws(Arrays.copyOf(input, Math.min(input.length, HEAD + STEP * MOST_STEPS)));
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
                step(world, size, draws.below(21), draws.octet() % size, draws.octet(), draws.octet());
            }
            world.heal();
            world.until(world.settles());
            world.settled();
        } catch (VersionsWorld.Broken e) {
            throw new Finding(e.getMessage());
        }
    }

    private static void step(VersionsWorld world, int size, int what, int at, int b, int c) {
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
            case 12 -> world.fill(at, b % 2 == 0);
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

    @Override
    public List<byte[]> seeds() {
        return SCRIPTS.seeds(700, 12);
    }

    @Override
    public byte[] mutate(byte[] input, SplittableRandom chance) {
        return SCRIPTS.mutate(input, chance);
    }
}
