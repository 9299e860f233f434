package vetchrill.fuzz;

/** Reads an input as a sequence of values; past its end all of them are zero, or the lower bound. */
public final class FuzzedDataProvider {
    private final byte[] input;
    private int position;

    public FuzzedDataProvider(byte[] input) {
        this.input = input;
    }

    /** Whether all bytes of the input have been read. */
    public boolean isExhausted() {
        return position >= input.length;
    }

    /** The next byte, from 0 to 255. */
    public int nextUnsignedByte() {
        return position < input.length ? input[position++] & 0xff : 0;
    }

    /** A value from 0 to below {@code bound}, of one byte, or of two if {@code bound} is above 256. */
    public int nextInt(int bound) {
        return (bound > 256 ? nextUnsignedByte() << 8 | nextUnsignedByte() : nextUnsignedByte()) % bound;
    }

    public boolean nextBoolean() {
        return (nextUnsignedByte() & 1) == 1;
    }

    /** A value from {@code min} to {@code max} of one byte, in smaller steps near {@code min}. */
    public long nextLong(long min, long max) {
        double fraction = nextUnsignedByte() / 255.0;
        return min + Math.round(fraction * fraction * (max - min));
    }
}
