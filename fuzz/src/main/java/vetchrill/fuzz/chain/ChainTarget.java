package vetchrill.fuzz.chain;

import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import vetchrill.fuzz.FuzzedDataProvider;
import vetchrill.fuzz.ScriptFormat;
import vetchrill.fuzz.Target;
import vetchrill.routing.ProcessingChain;

/** The whole processing chain of an instance in simulation. An input has an 8-byte seed, then steps of 4 bytes each. */
public final class ChainTarget implements Target {
    private static final int SEED_BYTES = 8;
    private static final int STEP_BYTES = 4;
    private static final int MAX_STEPS = 120;
    private static final ScriptFormat SCRIPT_FORMAT = new ScriptFormat(SEED_BYTES, STEP_BYTES, MAX_STEPS);

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
        for (int i = 0; i < SEED_BYTES; i++) {
            seed = seed << 8 | (i < input.length ? input[i] & 0xff : 0);
        }
        int end = Math.min(input.length, SEED_BYTES + STEP_BYTES * MAX_STEPS);
        new ChainSimulation(seed)
                .play(new FuzzedDataProvider(input.length <= SEED_BYTES ? new byte[0] : Arrays.copyOfRange(input,
                SEED_BYTES, end)));
    }

    @Override
    public List<byte[]> seeds() {
        return SCRIPT_FORMAT.seeds(100, 20);
    }

    @Override
    public byte[] mutate(byte[] input, SplittableRandom random) {
        return SCRIPT_FORMAT.mutate(input, random);
    }
}
