package vetchrill.fuzz;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Changes of bytes that know nothing of any format but its words, and that numbers stand in one, two or four of
 * them.
 */
final class Mutations {
    private static final int LONGEST = 4_096;
    private static final int[] NUMBERS = {0, 1, -1, 4, 5, 9, 16, 127, 128, 255, 256, 32_767, 65_535, 65_536, 262_144,
        262_145, Integer.MAX_VALUE, Integer.MIN_VALUE};

    private Mutations() {
    }

    static byte[] random(SplittableRandom chance) {
        byte[] bytes = new byte[chance.nextInt(chance.nextInt(8) == 0 ? 2_000 : 200)];
        for (int i = 0; i < bytes.length; i++) {
            bytes[i] = (byte) chance.nextInt();
        }
        return bytes;
    }

    static byte[] mutate(byte[] input, byte[] other, List<String> words, SplittableRandom chance) {
        byte[] bytes = input;
        for (int rounds = 1 + chance.nextInt(4); rounds > 0; rounds--) {
            bytes = once(bytes, other, words, chance);
        }
        return bytes.length > LONGEST ? Arrays.copyOf(bytes, LONGEST) : bytes;
    }

    private static byte[] once(byte[] in, byte[] other, List<String> words, SplittableRandom chance) {
        if (in.length == 0) {
            return new byte[] {(byte) chance.nextInt()};
        }
        int at = chance.nextInt(in.length);
        int size = Math.min(in.length - at, 1 + chance.nextInt(chance.nextInt(4) == 0 ? 64 : 8));
        byte[] out = in.clone();
        switch (chance.nextInt(10)) {
            case 0 -> out[at] ^= (byte) (1 << chance.nextInt(8));
            case 1 -> out[at] = (byte) chance.nextInt();
            case 2 -> out[at] += (byte) (chance.nextInt(9) - 4);
            case 3 -> {
                int number = NUMBERS[chance.nextInt(NUMBERS.length)];
                int width = 1 << chance.nextInt(3);
                for (int i = 0; i < width && at + i < out.length; i++) {
                    out[at + i] = (byte) (number >> 8 * (width - 1 - i));
                }
            }
            case 4 -> out = replace(in, at, size, new byte[0]);
            case 5 -> out = replace(in, at, 0, Arrays.copyOfRange(in, at, at + size));
            case 6 -> out = replace(in, at, 0, random(chance));
            case 7 -> {
                if (!words.isEmpty()) {
                    byte[] word = words.get(chance.nextInt(words.size())).getBytes(StandardCharsets.ISO_8859_1);
                    out = replace(in, at, chance.nextInt(2) == 0 ? 0 : Math.min(word.length, in.length - at), word);
                }
            }
            case 8 -> {
                if (other.length > 0) {
                    int from = chance.nextInt(other.length);
                    out = replace(in, at, size, Arrays.copyOfRange(other, from, Math.min(other.length, from + 64)));
                }
            }
            default -> out = Arrays.copyOf(in, at);
        }
        return out;
    }

    static byte[] replace(byte[] in, int at, int size, byte[] by) {
        byte[] out = new byte[in.length - size + by.length];
        System.arraycopy(in, 0, out, 0, at);
        System.arraycopy(by, 0, out, at, by.length);
        System.arraycopy(in, at + size, out, at + by.length, in.length - at - size);
        return out;
    }
}
