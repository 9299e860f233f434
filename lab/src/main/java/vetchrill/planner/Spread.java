package vetchrill.planner;

import java.util.Arrays;

/** The mean over seeds, and where it lies nine times of ten. */
public record Spread(double mean, double low, double high) {
    /** Student's quantile at 0.95 by degrees of freedom; past the table the normal's. */
    private static final double[] T = {6.31, 2.92, 2.35, 2.13, 2.02, 1.94, 1.89, 1.86, 1.83, 1.81};

    /** The same for shares, which no interval takes past 0 and 1. */
    public static Spread ofShares(double... values) {
        Spread spread = of(values);
        return new Spread(spread.mean, Math.max(0, spread.low), Math.min(1, spread.high));
    }

    public static Spread of(double... values) {
        double[] known = Arrays.stream(values).filter(value -> !Double.isNaN(value)).toArray();
        int n = known.length;
        if (n == 0) {
            return new Spread(Double.NaN, Double.NaN, Double.NaN);
        }
        double mean = Arrays.stream(known).sum() / n;
        if (n == 1) {
            return new Spread(mean, mean, mean);
        }
        double variance = Arrays.stream(known).map(value -> (value - mean) * (value - mean)).sum() / (n - 1);
        double half = (n - 2 < T.length ? T[n - 2] : 1.645) * Math.sqrt(variance / n);
        return new Spread(mean, mean - half, mean + half);
    }
}
