package vetchrill.planner;

import java.util.Arrays;
import java.util.SplittableRandom;

/** Observed values, with estimates of their mean and dispersion. */
final class Sample {
    private static final int BOOTSTRAP_RESAMPLES = 200;
    /** Draws per resample; for larger samples the interval is scaled to the size of the sample. */
    private static final int MAX_DRAWS = 4_000;

    private double[] values = new double[64];
    private int count;

    void add(double value) {
        if (count == values.length) {
            values = Arrays.copyOf(values, 2 * count);
        }
        values[count++] = value;
    }

    int count() {
        return count;
    }

    double mean() {
        double sum = 0;
        for (int i = 0; i < count; i++) {
            sum += values[i];
        }
        return count == 0 ? Double.NaN : sum / count;
    }

    double variance() {
        double mean = mean();
        double sum = 0;
        for (int i = 0; i < count; i++) {
            sum += (values[i] - mean) * (values[i] - mean);
        }
        return count < 2 ? 0 : sum / (count - 1);
    }

    /** Standard deviation as a ratio of the mean. */
    double coefficientOfVariation() {
        return Math.sqrt(variance()) / mean();
    }

    /** The 90% bootstrap confidence interval of the mean, as its lower and upper limit. */
    double[] meanConfidenceInterval(SplittableRandom random) {
        if (count < 2) {
            return new double[] {mean(), mean()};
        }
        double[] means = new double[BOOTSTRAP_RESAMPLES];
        int draws = Math.min(count, MAX_DRAWS);
        double intervalScale = Math.sqrt(draws / (double) count);
        for (int i = 0; i < BOOTSTRAP_RESAMPLES; i++) {
            double sum = 0;
            for (int j = 0; j < draws; j++) {
                sum += values[random.nextInt(count)];
            }
            means[i] = mean() + (sum / draws - mean()) * intervalScale;
        }
        Arrays.sort(means);
        return new double[] {means[BOOTSTRAP_RESAMPLES / 20],
                means[BOOTSTRAP_RESAMPLES - BOOTSTRAP_RESAMPLES / 20 - 1]};
    }

    /** The sample without its lowest and highest tenth. */
    Sample trimmed() {
        double[] sorted = Arrays.copyOf(values, count);
        Arrays.sort(sorted);
        Sample inner = new Sample();
        for (int i = count / 10; i < count - count / 10; i++) {
            inner.add(sorted[i]);
        }
        return inner;
    }

    /** A random one of the values. */
    double draw(SplittableRandom random) {
        return values[random.nextInt(count)];
    }

    double quantile(double fraction) {
        double[] sorted = Arrays.copyOf(values, count);
        Arrays.sort(sorted);
        return count == 0 ? Double.NaN : sorted[(int) Math.min(count - 1, fraction * count)];
    }
}
