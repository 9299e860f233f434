package vetchrill.fuzz.chain;

import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import vetchrill.fuzz.Draws;
import vetchrill.fuzz.Scripts;
import vetchrill.fuzz.Target;
import vetchrill.routing.ProcessingChain;

/** The whole chain by a script: eight octets of seed, then steps of four octets. */
public final class ChainTarget implements Target {
    private static final int SEED = 8;
    private static final int STEP = 4;
    private static final int MOST_STEPS = 120;
    private static final Scripts SCRIPTS = new Scripts(SEED, STEP, MOST_STEPS);

    @Override
    public String name() {
        return "chain";
    }

    @Override
    public List<Class<?>> covers() {
        return List.of(ProcessingChain.class);
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
        return SCRIPTS.seeds(100, 20);
    }

    @Override
    public byte[] mutate(byte[] input, SplittableRandom chance) {
        return SCRIPTS.mutate(input, chance);
    }
}
