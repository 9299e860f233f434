package vetchrill.fuzz;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/** Inputs that are a head and then steps of so many octets each, as the scripts of what is simulated are. */
public record Scripts(int head, int step, int most) {
    /** Octets past which nothing of a script is played. */
    public int longest() {
        return head + step * most;
    }

    /** A few to begin with, of so many steps. */
    public List<byte[]> seeds(int from, int steps) {
        List<byte[]> seeds = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            SplittableRandom chance = new SplittableRandom(from + i);
            byte[] seed = new byte[head + step * steps];
            for (int j = 0; j < seed.length; j++) {
                seed[j] = (byte) chance.nextInt();
            }
            seeds.add(seed);
        }
        return seeds;
    }

    /** A story as a script, its head empty. */
    public byte[] told(int[][] story) {
        byte[] script = new byte[head + step * story.length];
        for (int i = 0; i < step * story.length; i++) {
            script[head + i] = (byte) story[i / step][i % step];
        }
        return script;
    }

    /** So many of four to 27 steps each, every octet drawn. */
    public List<byte[]> drawn(long seed, int n) {
        SplittableRandom chance = new SplittableRandom(seed);
        List<byte[]> all = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            byte[] script = new byte[head + step * (4 + chance.nextInt(24))];
            for (int j = 0; j < script.length; j++) {
                script[j] = (byte) chance.nextInt();
            }
            all.add(script);
        }
        return all;
    }

    /** A step is put in, taken out, moved, or made another; or all of it is played in another order of things. */
    public byte[] mutate(byte[] input, SplittableRandom chance) {
        int steps = (input.length - head) / step;
        if (steps < 1) {
            return null;
        }
        byte[] out = input.clone();
        int at = head + step * chance.nextInt(steps);
        switch (chance.nextInt(5)) {
            case 0 -> out[chance.nextInt(head)] = (byte) chance.nextInt();
            case 1 -> {
                for (int i = 0; i < step; i++) {
                    out[at + i] = (byte) chance.nextInt();
                }
            }
            case 2 -> {
                out = new byte[input.length + step];
                System.arraycopy(input, 0, out, 0, at);
                for (int i = 0; i < step; i++) {
                    out[at + i] = (byte) chance.nextInt();
                }
                System.arraycopy(input, at, out, at + step, input.length - at);
            }
            case 3 -> {
                out = new byte[input.length - step];
                System.arraycopy(input, 0, out, 0, at);
                System.arraycopy(input, at + step, out, at, input.length - at - step);
            }
            default -> System.arraycopy(input, head + step * chance.nextInt(steps), out, at, step);
        }
        return out.length > longest() ? Arrays.copyOf(out, longest()) : out;
    }
}
