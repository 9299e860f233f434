package vetchrill.model;

import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import vetchrill.fleet.Fleet;

/** The requests of clients: the rate of their arrival and the random values of each. */
public interface Workload {
    /** Returns the requests per tenth of a millisecond at a time of the run, without the effect of faults. */
    double rate(long time);

    /** Returns an upper bound of {@link #rate}. */
    double peakRate();

    /** Draws the core time of an exchange of the group, in tenths of a millisecond. */
    double coreTime(int group, SplittableRandom random);

    /** Draws the index of a group. */
    int group(SplittableRandom random);

    /** Draws the index of a customer. */
    int customer(SplittableRandom random);

    /** Draws a subject, which is never 0. */
    long subject(SplittableRandom random);

    /** Draws the memory size of an exchange of the group. */
    double sizeKb(int group, SplittableRandom random);

    /** Draws the length of the body of an exchange of the group. */
    int bodyBytes(int group, SplittableRandom random);

    /** Returns the requests in the order of their times if they are replayed, or null if they are drawn. */
    default List<RecordedRequest> recordedRequests() {
        return null;
    }

    /** Returns a workload with {@code ratio} of its rate before {@code until}, so that instances can warm up. */
    static Workload withRampUp(Workload workload, double ratio, long until) {
        return new DelegatingWorkload(workload) {
            @Override
            public double rate(long time) {
                return super.rate(time) * (time < until ? ratio : 1);
            }
        };
    }

    /** Delegates to another workload; subclasses change a part of it. */
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

    /**
     * One recorded request.
     *
     * @param stub number of the stub that sent it; -1 if it is to be drawn
     * @param coreTime NaN if it is to be drawn
     */
    record RecordedRequest(long time, int stub, int group, int customer, long subject, double sizeKb, int bodyBytes,
            double coreTime) {
    }

    /**
     * The workload of a fleet file: a rate that varies as a sine around its mean, core times with a lognormal
     * distribution, subjects with a Zipf distribution.
     */
    final class ConfiguredWorkload implements Workload {
        /**
         * Subjects of a higher rank are drawn with equal probability: in the tail of the distribution each of them is
         * rare.
         */
        private static final int INDIVIDUAL_SUBJECTS = 1 << 14;
        private static final int MAX_BODY_BYTES = 2_048;

        private final Fleet fleet;
        private final double[] groupCumulative;
        private final double[] customerCumulative;
        /** By group: parameters of the lognormal distribution of core times. */
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
                // The integral of the density over the tail.
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

        /** Draws an index with a probability proportional to its weight, of which the cumulative sums are given. */
        static int drawIndex(double[] cumulative, SplittableRandom random) {
            double drawn = random.nextDouble() * cumulative[cumulative.length - 1];
            int found = Arrays.binarySearch(cumulative, drawn);
            return Math.min(cumulative.length - 1, found < 0 ? -found - 1 : found + 1);
        }

        @Override
        public double rate(long time) {
            Fleet.Load load = fleet.load;
            return load.perSecond() / ServiceStatistics.SECOND_TENTHS_MS
                    * (1 + load.swingRatio() * Math.sin(2 * Math.PI * time / load.period()));
        }

        @Override
        public double peakRate() {
            return fleet.load.perSecond() / ServiceStatistics.SECOND_TENTHS_MS * (1 + fleet.load.swingRatio());
        }

        @Override
        public double coreTime(int group, SplittableRandom random) {
            return Math.max(1, Math.exp(mu[group] + sigma[group] * nextGaussian(random)));
        }

        /** Box-Muller transform; draws two values. */
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
            return mean == 0 ? 0 : random.nextInt(Math.min(2 * mean, MAX_BODY_BYTES) + 1);
        }
    }
}
