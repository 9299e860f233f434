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
final class Rollout {
    /** What one instance has seen since it heard of the version, or since it took it. */
    record Sample(String zone, long decided, long... bad) {
    }

    static final List<String> KINDS = List.of("denied", "failed", "broken off");
    /** Fewer exchanges on one instance tell nothing. */
    static final int ENOUGH = 500;
    /** Worse by less is nothing to stop a release for. */
    private static final double WORSE = 0.03;
    /** So many standard errors, more where few instances tell of the spread; see docs/versions.md for what it costs. */
    private static final double ERRORS = 5;
    private static final double ERRORS_OF_FEW = 20;

    private Rollout() {
    }

    /** Null, or in what and by how much the first are worse than the others. */
    static String worse(List<Sample> takers, List<Sample> others) {
        List<Sample> first = enough(takers);
        List<Sample> near = enough(others).stream()
                .filter(each -> first.stream().anyMatch(one -> one.zone().equals(each.zone()))).toList();
        // Zones differ: whoever stands in the same one is the better measure, if there are any.
        List<Sample> second = near.size() >= 2 ? near : enough(others);
        if (first.isEmpty() || second.size() < 2) {
            return null;
        }
        for (int kind = 0; kind < KINDS.size(); kind++) {
            double a = mean(first, kind);
            double b = mean(second, kind);
            int free = first.size() + second.size() - 2;
            double spread = (squares(first, kind, a) + squares(second, kind, b)) / free;
            double exchanges = 0;
            for (Sample each : first) {
                exchanges += each.decided();
            }
            for (Sample each : second) {
                exchanges += each.decided();
            }
            double all = (a * first.size() + b * second.size()) / (first.size() + second.size());
            double drawn = (all * (1 - all) + 1 / exchanges) * (first.size() + second.size()) / exchanges;
            double error = Math.sqrt(Math.max(spread, drawn) * (1.0 / first.size() + 1.0 / second.size()));
            if (a - b > WORSE && a - b > (ERRORS + ERRORS_OF_FEW / free) * error) {
                return String.format(Locale.ROOT,
                        "%s %.1f%% of their exchanges on %d that took it, %.1f%% on %d others",
                        KINDS.get(kind), 100 * a, first.size(), 100 * b, second.size());
            }
        }
        return null;
    }

    private static List<Sample> enough(List<Sample> all) {
        List<Sample> enough = new ArrayList<>();
        for (Sample each : all) {
            if (each.decided() >= ENOUGH) {
                enough.add(each);
            }
        }
        return enough;
    }

    private static double rate(Sample each, int kind) {
        return (double) each.bad()[kind] / each.decided();
    }

    private static double mean(List<Sample> all, int kind) {
        return all.stream().mapToDouble(each -> rate(each, kind)).average().orElse(0);
    }

    private static double squares(List<Sample> all, int kind, double mean) {
        return all.stream().mapToDouble(each -> Math.pow(rate(each, kind) - mean, 2)).sum();
    }
}
