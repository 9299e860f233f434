package vetchrill.fuzz;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/** The format of the scripts of simulations: a header, then up to {@code maxSteps} steps of {@code stepBytes} each. */
public record ScriptFormat(int headerBytes, int stepBytes, int maxSteps) {
    /** The length of the longest script; bytes after it are ignored. */
    public int maxBytes() {
        return headerBytes + stepBytes * maxSteps;
    }

    /** Four random scripts of the given number of steps, as seeds. */
    public List<byte[]> seeds(int firstSeed, int stepCount) {
        List<byte[]> seeds = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            SplittableRandom random = new SplittableRandom(firstSeed + i);
            byte[] seed = new byte[headerBytes + stepBytes * stepCount];
            for (int j = 0; j < seed.length; j++) {
                seed[j] = (byte) random.nextInt();
            }
            seeds.add(seed);
        }
        return seeds;
    }

    /** Encodes a scenario as a script with a header of zeros. */
    public byte[] encode(int[][] scenario) {
        byte[] script = new byte[headerBytes + stepBytes * scenario.length];
        for (int i = 0; i < stepBytes * scenario.length; i++) {
            script[headerBytes + i] = (byte) scenario[i / stepBytes][i % stepBytes];
        }
        return script;
    }

    /** The given number of scripts of 4 to 27 steps each, of random bytes. */
    public List<byte[]> randomScripts(long seed, int count) {
        SplittableRandom random = new SplittableRandom(seed);
        List<byte[]> scripts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            byte[] script = new byte[headerBytes + stepBytes * (4 + random.nextInt(24))];
            for (int j = 0; j < script.length; j++) {
                script[j] = (byte) random.nextInt();
            }
            scripts.add(script);
        }
        return scripts;
    }

    /** Inserts, removes, copies or changes a step, or changes a byte of the header. */
    public byte[] mutate(byte[] input, SplittableRandom random) {
        int stepCount = (input.length - headerBytes) / stepBytes;
        if (stepCount < 1) {
            return null;
        }
        byte[] out = input.clone();
        int offset = headerBytes + stepBytes * random.nextInt(stepCount);
        switch (random.nextInt(5)) {
            case 0 -> out[random.nextInt(headerBytes)] = (byte) random.nextInt();
            case 1 -> {
                for (int i = 0; i < stepBytes; i++) {
                    out[offset + i] = (byte) random.nextInt();
                }
            }
            case 2 -> {
                out = new byte[input.length + stepBytes];
                System.arraycopy(input, 0, out, 0, offset);
                for (int i = 0; i < stepBytes; i++) {
                    out[offset + i] = (byte) random.nextInt();
                }
                System.arraycopy(input, offset, out, offset + stepBytes, input.length - offset);
            }
            case 3 -> {
                out = new byte[input.length - stepBytes];
                System.arraycopy(input, 0, out, 0, offset);
                System.arraycopy(input, offset + stepBytes, out, offset, input.length - offset - stepBytes);
            }
            default -> System.arraycopy(input, headerBytes + stepBytes * random.nextInt(stepCount), out, offset,
                    stepBytes);
        }
        return out.length > maxBytes() ? Arrays.copyOf(out, maxBytes()) : out;
    }
}
