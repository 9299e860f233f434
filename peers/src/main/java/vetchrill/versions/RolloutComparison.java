package vetchrill.versions;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Whether those that took a version fare worse than those that did not, told from chance. Exchanges of one instance
 * come and fail in bunches, so an instance counts as one observation however many exchanges it had: the spread between
 * instances, not the number of exchanges, says how far two means may lie apart. Where that spread is less than that of
 * independent draws, the latter counts.
 */
final class RolloutComparison {
    /** What one instance has seen since it heard of the version, or since it took it. */
    record Sample(String zone, long decided, long... unsuccessful) {
    }

    static final List<String> UNSUCCESSFUL_KINDS = List.of("denied", "failed", "broken off");
    /** Fewer exchanges on one instance tell nothing. */
    static final int MIN_EXCHANGES = 500;
    /** Worse by less is nothing to stop a release for. */
    private static final double MIN_DIFFERENCE_RATIO = 0.03;
    /** So many standard errors, more where few instances tell of the spread; see docs/versions.md for what it costs. */
    private static final double MIN_STANDARD_ERRORS = 5;
    private static final double SMALL_SAMPLE_STANDARD_ERRORS = 20;

    private RolloutComparison() {
    }

    /** Null, or in what and by how much the first are worse than the others. */
    static String findRegression(List<Sample> updated, List<Sample> notUpdated) {
        List<Sample> treatment = withEnoughExchanges(updated);
        List<Sample> sameZone = withEnoughExchanges(notUpdated).stream()
                .filter(each -> treatment.stream().anyMatch(sample -> sample.zone().equals(each.zone()))).toList();
        // Zones differ: whoever stands in the same one is the better measure, if there are any.
        List<Sample> control = sameZone.size() >= 2 ? sameZone : withEnoughExchanges(notUpdated);
        if (treatment.isEmpty() || control.size() < 2) {
            return null;
        }
        for (int kind = 0; kind < UNSUCCESSFUL_KINDS.size(); kind++) {
            double treatmentRate = mean(treatment, kind);
            double controlRate = mean(control, kind);
            int degreesOfFreedom = treatment.size() + control.size() - 2;
            double observedVariance = (squaredDeviations(treatment, kind, treatmentRate) + squaredDeviations(control,
                    kind, controlRate)) / degreesOfFreedom;
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
            if (treatmentRate - controlRate > MIN_DIFFERENCE_RATIO && treatmentRate
                    - controlRate > (MIN_STANDARD_ERRORS + SMALL_SAMPLE_STANDARD_ERRORS / degreesOfFreedom)
                    * standardError) {
                return String.format(Locale.ROOT,
                        "%s %.1f%% of their exchanges on %d that took it, %.1f%% on %d others",
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
