package vetchrill.fuzz.chain;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import vetchrill.fuzz.Draws;
import vetchrill.fuzz.Target;
import vetchrill.routing.Chain;

/** The whole chain by a script: eight octets of seed, then steps of four octets. */
public final class ChainTarget implements Target {
    private static final int SEED = 8;
    private static final int STEP = 4;
    private static final int MOST_STEPS = 120;

    @Override
    public String name() {
        return "chain";
    }

    @Override
    public List<Class<?>> covers() {
        return List.of(Chain.class);
    }

    @Override
    public void run(byte[] input) {
        long seed = 0;
        for (int i = 0; i < SEED; i++) {
            seed = seed << 8 | (i < input.length ? input[i] & 0xff : 0);
        }
        int end = Math.min(input.length, SEED + STEP * MOST_STEPS);
        new ChainRun(seed).play(new Draws(input.length <= SEED ? new byte[0] : Arrays.copyOfRange(input, SEED, end)));
    }

    @Override
    public List<byte[]> seeds() {
        List<byte[]> seeds = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            SplittableRandom chance = new SplittableRandom(100 + i);
            byte[] seed = new byte[SEED + STEP * 20];
            for (int j = 0; j < seed.length; j++) {
                seed[j] = (byte) chance.nextInt();
            }
            seeds.add(seed);
        }
        return seeds;
    }

    /** A step is put in, taken out, moved, or made another; or all of it is played in another order of things. */
    @Override
    public byte[] mutate(byte[] input, SplittableRandom chance) {
        int steps = (input.length - SEED) / STEP;
        if (steps < 1) {
            return null;
        }
        byte[] out = input.clone();
        int at = SEED + STEP * chance.nextInt(steps);
        switch (chance.nextInt(5)) {
            case 0 -> out[chance.nextInt(SEED)] = (byte) chance.nextInt();
            case 1 -> {
                for (int i = 0; i < STEP; i++) {
                    out[at + i] = (byte) chance.nextInt();
                }
            }
            case 2 -> {
                out = new byte[input.length + STEP];
                System.arraycopy(input, 0, out, 0, at);
                for (int i = 0; i < STEP; i++) {
                    out[at + i] = (byte) chance.nextInt();
                }
                System.arraycopy(input, at, out, at + STEP, input.length - at);
            }
            case 3 -> {
                out = new byte[input.length - STEP];
                System.arraycopy(input, 0, out, 0, at);
                System.arraycopy(input, at + STEP, out, at, input.length - at - STEP);
            }
            default -> System.arraycopy(input, SEED + STEP * chance.nextInt(steps), out, at, STEP);
        }
        return out.length > SEED + STEP * MOST_STEPS ? Arrays.copyOf(out, SEED + STEP * MOST_STEPS) : out;
    }
}
