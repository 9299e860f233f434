package vetchrill.fuzz.targets;

import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import vetchrill.fuzz.Draws;
import vetchrill.fuzz.Finding;
import vetchrill.fuzz.Scripts;
import vetchrill.fuzz.Target;
import vetchrill.members.SwimMembership;
import vetchrill.members.MembershipConfig;
import vetchrill.peersim.MembersWorld;

/** A small fleet whose instances hear each other: an octet for its size, eight of seed, then steps of four. */
public final class MembersTarget implements Target {
    private static final MembershipConfig PACE = new MembershipConfig(5_000, 1_500, 3, 4, 4, 30_000);
    private static final int HEAD = 9;
    private static final int STEP = 4;
    private static final int MOST_STEPS = 40;
    private static final Scripts SCRIPTS = new Scripts(HEAD, STEP, MOST_STEPS);

    @Override
    public String name() {
        return "members";
    }

    @Override
    public List<Class<?>> covers() {
        return List.of(SwimMembership.class);
    }

    @Override
    public void run(byte[] input) {
        long seed = 0;
        for (int i = 1; i < HEAD && i < input.length; i++) {
            seed = seed << 8 | input[i] & 0xff;
        }
        int size = 3 + (input.length > 0 ? (input[0] & 0xff) % 5 : 0);
        int end = Math.min(input.length, HEAD + STEP * MOST_STEPS);
        try {
            MembersWorld world = new MembersWorld(size, PACE, false, seed);
            world.until(4 * PACE.syncPeriod());
            Draws draws = new Draws(input.length <= HEAD ? new byte[0] : Arrays.copyOfRange(input, HEAD, end));
            while (!draws.over()) {
                step(world, size, draws.below(16), draws.octet() % size, draws.octet(), draws.octet());
            }
            world.heal();
            for (int i = 0; i < size; i++) {
                // Whoever is gone comes back, but for the first, so that a death is seen to its end as well.
                if (i > 0 && !world.isUp(i)) {
                    world.start(i, 1);
                }
            }
            world.until(world.settles());
            world.settled();
        } catch (MembersWorld.Broken e) {
            throw new Finding(e.getMessage());
        }
    }

    private static void step(MembersWorld world, int size, int what, int at, int b, int c) {
        int other = (at + 1 + b % (size - 1)) % size;
        switch (what) {
            case 0 -> world.kill(at);
            case 1 -> {
                if (!world.isUp(at)) {
                    world.start(at, 1);
                }
            }
            case 2 -> {
                world.kill(at);
                world.start(at, 1);
            }
            // Beside one that is not dead.
            case 3 -> world.start(at, 1);
            case 4, 5 -> world.pause(at, 1_000L * c);
            case 6 -> world.cut(at, other, true);
            case 7 -> world.cut(at, other, false);
            case 8 -> world.part(size, b ^ c);
            case 9 -> world.loss = b % 6 / 10.0;
            case 10 -> world.doubled = b % 4 / 4.0;
            case 11 -> world.longestDelay = 2 + 8L * b;
            case 12 -> world.leave(at);
            case 13 -> world.heal();
            default -> world.until(world.now() + 200L * b + (what == 15 ? 3_000L * c : 0));
        }
    }

    @Override
    public List<byte[]> seeds() {
        return SCRIPTS.seeds(200, 10);
    }

    @Override
    public byte[] mutate(byte[] input, SplittableRandom chance) {
        return SCRIPTS.mutate(input, chance);
    }
}
