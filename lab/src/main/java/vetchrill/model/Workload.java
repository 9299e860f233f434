package vetchrill.model;

import java.util.SplittableRandom;
import vetchrill.fleet.Fleet;

/** The first tries of clients: how often, and what each of them asks for. */
public interface Workload {
    /** First tries for each tenth of a millisecond at a time of the run; troubles are not in it. */
    double rate(long time);

    /** The highest that {@link #rate} gets. */
    double peakRate();

    /** Core time that an exchange of this group needs, in tenths of a millisecond. */
    double coreTime(int group, SplittableRandom random);

    int group(SplittableRandom random);

    int customer(SplittableRandom random);

    /** Never 0. */
    long subject(SplittableRandom random);

    double sizeKb(int group, SplittableRandom random);

    int bodyBytes(int group, SplittableRandom random);

    /**
     * First tries one by one, in the order of their times, where they are known and not drawn; else null. {@code
     * stub} is the number of the stub that they came from; {@code work} is NaN where it has to be drawn.
     */
    default java.util.List<RecordedRequest> recordedRequests() {
        return null;
    }

    /** The same with only {@code part} of its load before {@code until}, so that what plays it is warm by then. */
    static Workload withRampUp(Workload workload, double ratio, long until) {
        return new DelegatingWorkload(workload) {
            @Override
            public double rate(long time) {
                return super.rate(time) * (time < until ? ratio : 1);
            }
        };
    }

    /** Another demand, to be changed in part. */
    class DelegatingWorkload implements Workload {
        private final Workload delegate;

        public DelegatingWorkload(Workload delegate) {
            this.delegate = delegate;
        }

        @Override
        public double rate(long time) {
            return delegate.rate(time);
        }

        @Override
        public double peakRate() {
            return delegate.peakRate();
        }

        @Override
        public double coreTime(int group, SplittableRandom random) {
            return delegate.coreTime(group, random);
        }

        @Override
        public int group(SplittableRandom random) {
            return delegate.group(random);
        }

        @Override
        public int customer(SplittableRandom random) {
            return delegate.customer(random);
        }

        @Override
        public long subject(SplittableRandom random) {
            return delegate.subject(random);
        }

        @Override
        public double sizeKb(int group, SplittableRandom random) {
            return delegate.sizeKb(group, random);
        }

        @Override
        public int bodyBytes(int group, SplittableRandom random) {
            return delegate.bodyBytes(group, random);
        }
    }

    /** One first try that is known. */
    record RecordedRequest(long time, int stub, int group, int customer, long subject, double sizeKb, int bodyBytes,
            double coreTime) {
    }

    /** What the fleet file says: a wave round a mean, works drawn from a lognormal, subjects by Zipf's law. */
    final class ConfiguredWorkload implements Workload {
        /** Subjects past so many are drawn alike: the tail of the law, where each is rare. */
        private static final int INDIVIDUAL_SUBJECTS = 1 << 14;

        private final Fleet fleet;
        private final double[] groupCumulative;
        private final double[] customerCumulative;
        private final double[] mu;
        private final double[] sigma;
        private final double[] subjectCumulative;

        public ConfiguredWorkload(Fleet fleet) {
            this.fleet = fleet;
            groupCumulative = cumulative(fleet.groups.stream().mapToDouble(Fleet.Group::requestShare).toArray());
            customerCumulative = cumulative(fleet.customers.stream().mapToDouble(Fleet.Customer::requestShare)
                    .toArray());
            mu = new double[fleet.groups.size()];
            sigma = new double[mu.length];
            for (int i = 0; i < mu.length; i++) {
                Fleet.Group group = fleet.groups.get(i);
                double variance = Math.log(1 + group.coreTimeCv() * group.coreTimeCv());
                sigma[i] = Math.sqrt(variance);
                mu[i] = Math.log(group.coreTime()) - variance / 2;
            }
            int distinct = Math.max(1, fleet.subjects.distinct());
            double[] weights = new double[Math.min(distinct, INDIVIDUAL_SUBJECTS)
                    + (distinct > INDIVIDUAL_SUBJECTS ? 1 : 0)];
            double skew = fleet.subjects.skew();
            for (int i = 0; i < Math.min(distinct, INDIVIDUAL_SUBJECTS); i++) {
                weights[i] = Math.pow(i + 1.0, -skew);
            }
            if (distinct > INDIVIDUAL_SUBJECTS) {
                weights[INDIVIDUAL_SUBJECTS] = Math.abs(skew - 1) < 1e-9
                        ? Math.log(distinct / (double) INDIVIDUAL_SUBJECTS)
                        : (Math.pow(distinct, 1 - skew) - Math.pow(INDIVIDUAL_SUBJECTS, 1 - skew)) / (1 - skew);
            }
            subjectCumulative = cumulative(weights);
        }

        static double[] cumulative(double[] weights) {
            double[] cumulative = weights.clone();
            for (int i = 1; i < cumulative.length; i++) {
                cumulative[i] += cumulative[i - 1];
            }
            return cumulative;
        }

        static int drawIndex(double[] cumulative, SplittableRandom random) {
            double drawn = random.nextDouble() * cumulative[cumulative.length - 1];
            int found = java.util.Arrays.binarySearch(cumulative, drawn);
            return Math.min(cumulative.length - 1, found < 0 ? -found - 1 : found + 1);
        }

        @Override
        public double rate(long time) {
            Fleet.Load load = fleet.load;
            return load.perSecond() / 10_000 * (1 + load.swingRatio() * Math.sin(2 * Math.PI * time / load.period()));
        }

        @Override
        public double peakRate() {
            return fleet.load.perSecond() / 10_000 * (1 + fleet.load.swingRatio());
        }

        @Override
        public double coreTime(int group, SplittableRandom random) {
            return Math.max(1, Math.exp(mu[group] + sigma[group] * nextGaussian(random)));
        }

        static double nextGaussian(SplittableRandom random) {
            double u = 1 - random.nextDouble();
            return Math.sqrt(-2 * Math.log(u)) * Math.cos(2 * Math.PI * random.nextDouble());
        }

        @Override
        public int group(SplittableRandom random) {
            return drawIndex(groupCumulative, random);
        }

        @Override
        public int customer(SplittableRandom random) {
            return drawIndex(customerCumulative, random);
        }

        @Override
        public long subject(SplittableRandom random) {
            int rank = drawIndex(subjectCumulative, random);
            if (rank == INDIVIDUAL_SUBJECTS) {
                rank += random.nextInt(fleet.subjects.distinct() - INDIVIDUAL_SUBJECTS);
            }
            return 1 + rank;
        }

        @Override
        public double sizeKb(int group, SplittableRandom random) {
            return fleet.groups.get(group).sizeKb() * (0.5 + random.nextInt(1_000) / 1_000.0);
        }

        @Override
        public int bodyBytes(int group, SplittableRandom random) {
            int mean = fleet.groups.get(group).bodyBytes();
            return mean == 0 ? 0 : random.nextInt(Math.min(2 * mean, 2_048) + 1);
        }
    }
}
