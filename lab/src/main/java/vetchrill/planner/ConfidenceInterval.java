package vetchrill.planner;

import java.util.Arrays;

/** A mean over seeds with the limits of its 90% confidence interval. */
public record ConfidenceInterval(double mean, double low, double high) {
    /** Quantiles of Student's t distribution at 0.95, by degrees of freedom from 1; beyond, the normal quantile. */
    private static final double[] STUDENT_T_95 = {6.31, 2.92, 2.35, 2.13, 2.02, 1.94, 1.89, 1.86, 1.83, 1.81};

    /** The interval for shares, limited to 0 and 1. */
    public static ConfidenceInterval ofShares(double... values) {
        ConfidenceInterval interval = of(values);
        return new ConfidenceInterval(interval.mean, Math.max(0, interval.low), Math.min(1, interval.high));
    }

    /** The interval for values, of which NaN are ignored. */
    public static ConfidenceInterval of(double... values) {
        double[] finite = Arrays.stream(values).filter(value -> !Double.isNaN(value)).toArray();
        int count = finite.length;
        if (count == 0) {
            return new ConfidenceInterval(Double.NaN, Double.NaN, Double.NaN);
        }
        double mean = Arrays.stream(finite).sum() / count;
        if (count == 1) {
            return new ConfidenceInterval(mean, mean, mean);
        }
        double variance = Arrays.stream(finite).map(value -> (value - mean) * (value - mean)).sum() / (count - 1);
        double halfWidth = (count - 2 < STUDENT_T_95.length ? STUDENT_T_95[count - 2] : 1.645)
                * Math.sqrt(variance / count);
        return new ConfidenceInterval(mean, mean - halfWidth, mean + halfWidth);
    }
}
