package vetchrill.fuzz;

/** An input read as decisions, one after the other; past its end all of them are zero. */
public final class FuzzedDataProvider {
    private final byte[] input;
    private int position;

    public FuzzedDataProvider(byte[] input) {
        this.input = input;
    }

    public boolean isExhausted() {
        return position >= input.length;
    }

    public int nextUnsignedByte() {
        return position < input.length ? input[position++] & 0xff : 0;
    }

    /** From 0 to below {@code n}. */
    public int nextInt(int bound) {
        return (bound > 256 ? nextUnsignedByte() << 8 | nextUnsignedByte() : nextUnsignedByte()) % bound;
    }

    public boolean nextBoolean() {
        return (nextUnsignedByte() & 1) == 1;
    }

    /** From {@code least} to {@code most}, small steps near the least. */
    public long nextLong(long min, long max) {
        double fraction = nextUnsignedByte() / 255.0;
        return min + Math.round(fraction * fraction * (max - min));
    }
}
