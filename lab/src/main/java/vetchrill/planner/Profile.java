package vetchrill.planner;

import vetchrill.capture.Merged;

/** First tries over time, as captured: a rate for each second, and how much more it jumps than chance would have it. */
final class Profile {
    static final int SECOND = 10_000;
    private static final int HALF = 5_000;

    /** First tries for each tenth of a millisecond. */
    final double[] rates;
    final double peak;
    final double dispersion;

    Profile(Merged merged, double scale) {
        int seconds = (int) Math.max(1, (merged.to - merged.from + SECOND / 2) / SECOND);
        double[] counts = new double[seconds];
        double[] halves = new double[2 * seconds];
        double raw = 0;
        for (int i = 0; i < merged.rows; i++) {
            if (!merged.further[i]) {
                long at = merged.arrived[i] - merged.from;
                counts[(int) Math.min(seconds - 1, at / SECOND)]++;
                halves[(int) Math.min(2 * seconds - 1, at / HALF)]++;
                raw++;
            }
        }
        double all = merged.firstTries() / Math.max(1, raw) * scale;
        rates = new double[seconds];
        double most = 0;
        // A second of its own noise is no shape: each is drawn towards its neighbours.
        for (int i = 0; i < seconds; i++) {
            double near = 0;
            double weights = 0;
            for (int j = Math.max(0, i - 1); j <= Math.min(seconds - 1, i + 1); j++) {
                double weight = j == i ? 2 : 1;
                near += weight * counts[j];
                weights += weight;
            }
            rates[i] = near / weights * all / SECOND;
            most = Math.max(most, rates[i]);
        }
        peak = most;
        double average = raw / halves.length;
        double variance = 0;
        for (double half : halves) {
            variance += (half - average) * (half - average);
        }
        dispersion = average == 0 ? 1 : variance / Math.max(1, halves.length - 1) / average;
    }

    /** Past what was captured it begins anew. */
    double rate(long at) {
        return rates[(int) (at / SECOND % rates.length)];
    }
}
