package vetchrill.fuzz;

/** An input read as decisions, one after the other; past its end all of them are zero. */
public final class Draws {
    private final byte[] input;
    private int at;

    public Draws(byte[] input) {
        this.input = input;
    }

    public boolean over() {
        return at >= input.length;
    }

    public int octet() {
        return at < input.length ? input[at++] & 0xff : 0;
    }

    /** From 0 to below {@code n}. */
    public int below(int n) {
        return (n > 256 ? octet() << 8 | octet() : octet()) % n;
    }

    public boolean flag() {
        return (octet() & 1) == 1;
    }

    /** From {@code least} to {@code most}, small steps near the least. */
    public long span(long least, long most) {
        double part = octet() / 255.0;
        return least + Math.round(part * part * (most - least));
    }
}
