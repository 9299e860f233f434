package vetchrill.control;

/** A histogram of bins that each span half an octave; all counts are halved regularly, so that old values fade. */
final class Histogram {
    private static final int BIN_COUNT = 48;
    /** Total count at which all counts are halved. */
    private static final int HALVE_AT_COUNT = 64;
    private static final double[] BIN_MIDDLE = new double[BIN_COUNT];

    static {
        BIN_MIDDLE[0] = 0;
        for (int i = 1; i < BIN_COUNT; i++) {
            // Half of a half octave: 2 to the power of 1/4 is about 1.19.
            BIN_MIDDLE[i] = Math.pow(2, (i - 1) / 2.0) * 1.19;
        }
    }

    private final float[] counts = new float[BIN_COUNT];
    private float total;
    /** The mean, or NaN until it is next read: a long pending queue reads it many times between two additions. */
    private double cachedMean = Double.NaN;

    void add(long value) {
        cachedMean = Double.NaN;
        counts[bin(value)]++;
        if (++total >= HALVE_AT_COUNT) {
            total = 0;
            for (int i = 0; i < BIN_COUNT; i++) {
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
        if (Double.isNaN(cachedMean)) {
            double sum = 0;
            for (int i = 0; i < BIN_COUNT; i++) {
                sum += counts[i] * BIN_MIDDLE[i];
            }
            cachedMean = sum / total;
        }
        return cachedMean;
    }

    /** The middle of the bin that holds the quantile {@code ratio}, from 0 to 1. */
    double quantile(double ratio, double ifEmpty) {
        if (total == 0) {
            return ifEmpty;
        }
        double cumulative = 0;
        for (int i = 0; i < BIN_COUNT; i++) {
            cumulative += counts[i];
            if (cumulative >= ratio * total) {
                return BIN_MIDDLE[i];
            }
        }
        return BIN_MIDDLE[BIN_COUNT - 1];
    }

    /** Bin 0 for zero and below, then two bins for each power of two. */
    private static int bin(long value) {
        if (value <= 0) {
            return 0;
        }
        int octave = 63 - Long.numberOfLeadingZeros(value);
        boolean upperHalf = octave > 0 && value >= 1.4142135623730951 * (1L << octave);
        return Math.min(BIN_COUNT - 1, 1 + 2 * octave + (upperHalf ? 1 : 0));
    }
}
