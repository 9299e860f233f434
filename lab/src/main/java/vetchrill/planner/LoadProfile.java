package vetchrill.planner;

import vetchrill.capture.CaptureMerge;

/** The captured rate of first attempts for each second, and its dispersion. */
final class LoadProfile {
    static final int SECOND_TENTHS_MS = 10_000;
    private static final int HALF_SECOND_TENTHS_MS = 5_000;

    /** First attempts per tenth of a millisecond, by second. */
    final double[] rates;
    final double peakRate;
    /** Variance to mean ratio of the counts per half second; 1 for a Poisson process. */
    final double dispersion;

    LoadProfile(CaptureMerge merged, double scale) {
        int seconds = (int) Math.max(1, (merged.to - merged.from + SECOND_TENTHS_MS / 2) / SECOND_TENTHS_MS);
        double[] secondCounts = new double[seconds];
        double[] halfSecondCounts = new double[2 * seconds];
        double observed = 0;
        for (int i = 0; i < merged.rows; i++) {
            if (!merged.retry[i]) {
                long offset = merged.arrivedAt[i] - merged.from;
                secondCounts[(int) Math.min(seconds - 1, offset / SECOND_TENTHS_MS)]++;
                halfSecondCounts[(int) Math.min(2 * seconds - 1, offset / HALF_SECOND_TENTHS_MS)]++;
                observed++;
            }
        }
        double countScale = merged.firstAttempts() / Math.max(1, observed) * scale;
        rates = new double[seconds];
        double maxRate = 0;
        // Smooths each second with its neighbours, to keep random variation out of the shape.
        for (int i = 0; i < seconds; i++) {
            double weightedSum = 0;
            double weightSum = 0;
            for (int j = Math.max(0, i - 1); j <= Math.min(seconds - 1, i + 1); j++) {
                double weight = j == i ? 2 : 1;
                weightedSum += weight * secondCounts[j];
                weightSum += weight;
            }
            rates[i] = weightedSum / weightSum * countScale / SECOND_TENTHS_MS;
            maxRate = Math.max(maxRate, rates[i]);
        }
        peakRate = maxRate;
        double meanCount = observed / halfSecondCounts.length;
        double variance = 0;
        for (double count : halfSecondCounts) {
            variance += (count - meanCount) * (count - meanCount);
        }
        dispersion = meanCount == 0 ? 1 : variance / Math.max(1, halfSecondCounts.length - 1) / meanCount;
    }

    /** The rate at a time; after the end of the capture it repeats from the start. */
    double rate(long time) {
        return rates[(int) (time / SECOND_TENTHS_MS % rates.length)];
    }
}
