package vetchrill.versions;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Statistical test whether the instances that have activated a version do worse than those that have not. The exchanges
 * of one instance arrive and fail in bursts, so an instance counts as one observation, however many exchanges it had:
 * the variance between instances, not the number of exchanges, decides how far two means may differ by chance. If that
 * variance is below the sampling variance of independent exchanges, the latter is used.
 */
final class RolloutComparison {
    /**
     * The counters of one instance since it learned of the version, or since it activated it.
     *
     * @param decided all its exchanges
     * @param unsuccessful the number of unsuccessful ones by kind, in the order of {@link #UNSUCCESSFUL_KINDS}
     */
    record Sample(String zone, long decided, long... unsuccessful) {
    }

    static final List<String> UNSUCCESSFUL_KINDS = List.of("denied", "failed", "aborted");
    /** Instances with fewer exchanges are not counted. */
    static final int MIN_EXCHANGES = 500;
    /** A smaller difference of the rates is no reason to stop a rollout. */
    private static final double MIN_DIFFERENCE_RATIO = 0.03;
    /**
     * The difference must exceed this many standard errors, plus {@link #SMALL_SAMPLE_STANDARD_ERRORS} divided by the
     * degrees of freedom, since few instances estimate the variance badly. For the rates of wrong and missed stops see
     * docs/versions.md.
     */
    private static final double MIN_STANDARD_ERRORS = 5;
    private static final double SMALL_SAMPLE_STANDARD_ERRORS = 20;

    private RolloutComparison() {
    }

    /** Describes in what and by how much the updated instances do worse than the others; null if they don't. */
    static String findRegression(List<Sample> updated, List<Sample> notUpdated) {
        List<Sample> treatment = withEnoughExchanges(updated);
        List<Sample> sameZone = withEnoughExchanges(notUpdated).stream()
                .filter(each -> treatment.stream().anyMatch(sample -> sample.zone().equals(each.zone()))).toList();
        // Zones differ, so instances of the same zones are the better control group if there are enough of them.
        List<Sample> control = sameZone.size() >= 2 ? sameZone : withEnoughExchanges(notUpdated);
        if (treatment.isEmpty() || control.size() < 2) {
            return null;
        }
        for (int kind = 0; kind < UNSUCCESSFUL_KINDS.size(); kind++) {
            double treatmentRate = mean(treatment, kind);
            double controlRate = mean(control, kind);
            int degreesOfFreedom = treatment.size() + control.size() - 2;
            double observedVariance = (squaredDeviations(treatment, kind, treatmentRate)
                    + squaredDeviations(control, kind, controlRate)) / degreesOfFreedom;
            double exchanges = 0;
            for (Sample each : treatment) {
                exchanges += each.decided();
            }
            for (Sample each : control) {
                exchanges += each.decided();
            }
            double pooledRate = (treatmentRate * treatment.size() + controlRate * control.size())
                    / (treatment.size() + control.size());
            double samplingVariance = (pooledRate * (1 - pooledRate) + 1 / exchanges)
                    * (treatment.size() + control.size()) / exchanges;
            double standardError = Math.sqrt(Math.max(observedVariance, samplingVariance)
                    * (1.0 / treatment.size() + 1.0 / control.size()));
            if (treatmentRate - controlRate > MIN_DIFFERENCE_RATIO && treatmentRate - controlRate
                    > (MIN_STANDARD_ERRORS + SMALL_SAMPLE_STANDARD_ERRORS / degreesOfFreedom) * standardError) {
                return String.format(Locale.ROOT,
                        "%s %.1f%% of the exchanges on %d updated instances, %.1f%% on %d others",
                        UNSUCCESSFUL_KINDS.get(kind), 100 * treatmentRate, treatment.size(), 100 * controlRate,
                        control.size());
            }
        }
        return null;
    }

    private static List<Sample> withEnoughExchanges(List<Sample> samples) {
        List<Sample> enough = new ArrayList<>();
        for (Sample each : samples) {
            if (each.decided() >= MIN_EXCHANGES) {
                enough.add(each);
            }
        }
        return enough;
    }

    private static double rate(Sample sample, int kind) {
        return (double) sample.unsuccessful()[kind] / sample.decided();
    }

    private static double mean(List<Sample> samples, int kind) {
        return samples.stream().mapToDouble(each -> rate(each, kind)).average().orElse(0);
    }

    private static double squaredDeviations(List<Sample> samples, int kind, double mean) {
        return samples.stream().mapToDouble(each -> Math.pow(rate(each, kind) - mean, 2)).sum();
    }
}
