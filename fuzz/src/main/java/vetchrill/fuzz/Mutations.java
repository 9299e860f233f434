package vetchrill.fuzz;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Mutations of bytes without knowledge of the format, except for its words and for numbers of one, two or four bytes.
 */
final class Mutations {
    private static final int MAX_BYTES = 4_096;
    /** Numbers at the limits of bytes, shorts and frames, where parsers fail most often. */
    private static final int[] BOUNDARY_VALUES = {0, 1, -1, 4, 5, 9, 16, 127, 128, 255, 256, 32_767, 65_535, 65_536,
            262_144,
        262_145, Integer.MAX_VALUE, Integer.MIN_VALUE};

    private Mutations() {
    }

    static byte[] random(SplittableRandom random) {
        byte[] bytes = new byte[random.nextInt(random.nextInt(8) == 0 ? 2_000 : 200)];
        for (int i = 0; i < bytes.length; i++) {
            bytes[i] = (byte) random.nextInt();
        }
        return bytes;
    }

    static byte[] mutate(byte[] input, byte[] donor, List<String> words, SplittableRandom random) {
        byte[] bytes = input;
        for (int rounds = 1 + random.nextInt(4); rounds > 0; rounds--) {
            bytes = mutateOnce(bytes, donor, words, random);
        }
        return bytes.length > MAX_BYTES ? Arrays.copyOf(bytes, MAX_BYTES) : bytes;
    }

    private static byte[] mutateOnce(byte[] in, byte[] donor, List<String> words, SplittableRandom random) {
        if (in.length == 0) {
            return new byte[] {(byte) random.nextInt()};
        }
        int at = random.nextInt(in.length);
        int size = Math.min(in.length - at, 1 + random.nextInt(random.nextInt(4) == 0 ? 64 : 8));
        byte[] out = in.clone();
        switch (random.nextInt(10)) {
            case 0 -> out[at] ^= (byte) (1 << random.nextInt(8));
            case 1 -> out[at] = (byte) random.nextInt();
            case 2 -> out[at] += (byte) (random.nextInt(9) - 4);
            case 3 -> {
                int number = BOUNDARY_VALUES[random.nextInt(BOUNDARY_VALUES.length)];
                int width = 1 << random.nextInt(3);
                for (int i = 0; i < width && at + i < out.length; i++) {
                    out[at + i] = (byte) (number >> 8 * (width - 1 - i));
                }
            }
            case 4 -> out = replace(in, at, size, new byte[0]);
            case 5 -> out = replace(in, at, 0, Arrays.copyOfRange(in, at, at + size));
            case 6 -> out = replace(in, at, 0, random(random));
            case 7 -> {
                if (!words.isEmpty()) {
                    byte[] word = words.get(random.nextInt(words.size())).getBytes(StandardCharsets.ISO_8859_1);
                    out = replace(in, at, random.nextInt(2) == 0 ? 0 : Math.min(word.length, in.length - at), word);
                }
            }
            case 8 -> {
                if (donor.length > 0) {
                    int from = random.nextInt(donor.length);
                    out = replace(in, at, size, Arrays.copyOfRange(donor, from, Math.min(donor.length, from + 64)));
                }
            }
            default -> out = Arrays.copyOf(in, at);
        }
        return out;
    }

    static byte[] replace(byte[] in, int at, int size, byte[] replacement) {
        byte[] out = new byte[in.length - size + replacement.length];
        System.arraycopy(in, 0, out, 0, at);
        System.arraycopy(replacement, 0, out, at, replacement.length);
        System.arraycopy(in, at + size, out, at + replacement.length, in.length - at - size);
        return out;
    }
}
