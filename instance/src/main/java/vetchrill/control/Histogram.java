package vetchrill.control;

/** Counts in bins that each span half an octave, halved when full so that the past fades. */
final class Histogram {
    private static final int BINS = 48;
    private static final int FULL = 64;
    private static final double[] MIDDLE = new double[BINS];

    static {
        MIDDLE[0] = 0;
        for (int i = 1; i < BINS; i++) {
            MIDDLE[i] = Math.pow(2, (i - 1) / 2.0) * 1.19;
        }
    }

    private final float[] counts = new float[BINS];
    private float total;
    /** The mean, or NaN until it is asked for again: a crowd asks for it many times between two additions. */
    private double mean = Double.NaN;

    void add(long value) {
        mean = Double.NaN;
        counts[bin(value)]++;
        if (++total >= FULL) {
            total = 0;
            for (int i = 0; i < BINS; i++) {
                counts[i] /= 2;
                total += counts[i];
            }
        }
    }

    double count() {
        return total;
    }

    double mean(double ifEmpty) {
        if (total == 0) {
            return ifEmpty;
        }
        if (Double.isNaN(mean)) {
            double sum = 0;
            for (int i = 0; i < BINS; i++) {
                sum += counts[i] * MIDDLE[i];
            }
            mean = sum / total;
        }
        return mean;
    }

    double quantile(double part, double ifEmpty) {
        if (total == 0) {
            return ifEmpty;
        }
        double below = 0;
        for (int i = 0; i < BINS; i++) {
            below += counts[i];
            if (below >= part * total) {
                return MIDDLE[i];
            }
        }
        return MIDDLE[BINS - 1];
    }

    private static int bin(long value) {
        if (value <= 0) {
            return 0;
        }
        int octave = 63 - Long.numberOfLeadingZeros(value);
        boolean upper = octave > 0 && value >= 1.4142135623730951 * (1L << octave);
        return Math.min(BINS - 1, 1 + 2 * octave + (upper ? 1 : 0));
    }
}
