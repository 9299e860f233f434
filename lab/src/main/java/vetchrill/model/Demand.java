package vetchrill.model;

import java.util.SplittableRandom;
import vetchrill.fleet.Fleet;

/** The first tries of clients: how often, and what each of them asks for. */
public interface Demand {
    /** First tries for each tenth of a millisecond at a time of the run; troubles are not in it. */
    double rate(long at);

    /** The highest that {@link #rate} gets. */
    double peak();

    /** Core time that an exchange of this group needs, in tenths of a millisecond. */
    double work(int group, SplittableRandom chance);

    int group(SplittableRandom chance);

    int customer(SplittableRandom chance);

    /** Never 0. */
    long subject(SplittableRandom chance);

    double kb(int group, SplittableRandom chance);

    int bytes(int group, SplittableRandom chance);

    /**
     * First tries one by one, in the order of their times, where they are known and not drawn; else null. {@code
     * stub} is the number of the stub that they came from; {@code work} is NaN where it has to be drawn.
     */
    default java.util.List<Known> known() {
        return null;
    }

    /** The same with only {@code part} of its load before {@code until}, so that what plays it is warm by then. */
    static Demand rising(Demand demand, double part, long until) {
        return new Like(demand) {
            @Override
            public double rate(long at) {
                return super.rate(at) * (at < until ? part : 1);
            }
        };
    }

    /** Another demand, to be changed in part. */
    class Like implements Demand {
        private final Demand like;

        public Like(Demand like) {
            this.like = like;
        }

        @Override
        public double rate(long at) {
            return like.rate(at);
        }

        @Override
        public double peak() {
            return like.peak();
        }

        @Override
        public double work(int group, SplittableRandom chance) {
            return like.work(group, chance);
        }

        @Override
        public int group(SplittableRandom chance) {
            return like.group(chance);
        }

        @Override
        public int customer(SplittableRandom chance) {
            return like.customer(chance);
        }

        @Override
        public long subject(SplittableRandom chance) {
            return like.subject(chance);
        }

        @Override
        public double kb(int group, SplittableRandom chance) {
            return like.kb(group, chance);
        }

        @Override
        public int bytes(int group, SplittableRandom chance) {
            return like.bytes(group, chance);
        }
    }

    /** One first try that is known. */
    record Known(long at, int stub, int group, int customer, long subject, double kb, int bytes, double work) {
    }

    /** What the fleet file says: a wave round a mean, works drawn from a lognormal, subjects by Zipf's law. */
    final class Told implements Demand {
        /** Subjects past so many are drawn alike: the tail of the law, where each is rare. */
        private static final int HEADS = 1 << 14;

        private final Fleet fleet;
        private final double[] groups;
        private final double[] customers;
        private final double[] mu;
        private final double[] sigma;
        private final double[] heads;

        public Told(Fleet fleet) {
            this.fleet = fleet;
            groups = sums(fleet.groups.stream().mapToDouble(Fleet.Group::share).toArray());
            customers = sums(fleet.customers.stream().mapToDouble(Fleet.Customer::share).toArray());
            mu = new double[fleet.groups.size()];
            sigma = new double[mu.length];
            for (int i = 0; i < mu.length; i++) {
                Fleet.Group group = fleet.groups.get(i);
                double variance = Math.log(1 + group.workSpread() * group.workSpread());
                sigma[i] = Math.sqrt(variance);
                mu[i] = Math.log(group.work()) - variance / 2;
            }
            int distinct = Math.max(1, fleet.subjects.distinct());
            double[] weights = new double[Math.min(distinct, HEADS) + (distinct > HEADS ? 1 : 0)];
            double skew = fleet.subjects.skew();
            for (int i = 0; i < Math.min(distinct, HEADS); i++) {
                weights[i] = Math.pow(i + 1.0, -skew);
            }
            if (distinct > HEADS) {
                weights[HEADS] = Math.abs(skew - 1) < 1e-9 ? Math.log(distinct / (double) HEADS)
                        : (Math.pow(distinct, 1 - skew) - Math.pow(HEADS, 1 - skew)) / (1 - skew);
            }
            heads = sums(weights);
        }

        static double[] sums(double[] weights) {
            double[] sums = weights.clone();
            for (int i = 1; i < sums.length; i++) {
                sums[i] += sums[i - 1];
            }
            return sums;
        }

        static int drawn(double[] sums, SplittableRandom chance) {
            double at = chance.nextDouble() * sums[sums.length - 1];
            int found = java.util.Arrays.binarySearch(sums, at);
            return Math.min(sums.length - 1, found < 0 ? -found - 1 : found + 1);
        }

        @Override
        public double rate(long at) {
            Fleet.Load load = fleet.load;
            return load.perS() / 10_000 * (1 + load.swing() * Math.sin(2 * Math.PI * at / load.period()));
        }

        @Override
        public double peak() {
            return fleet.load.perS() / 10_000 * (1 + fleet.load.swing());
        }

        @Override
        public double work(int group, SplittableRandom chance) {
            return Math.max(1, Math.exp(mu[group] + sigma[group] * gauss(chance)));
        }

        static double gauss(SplittableRandom chance) {
            double u = 1 - chance.nextDouble();
            return Math.sqrt(-2 * Math.log(u)) * Math.cos(2 * Math.PI * chance.nextDouble());
        }

        @Override
        public int group(SplittableRandom chance) {
            return drawn(groups, chance);
        }

        @Override
        public int customer(SplittableRandom chance) {
            return drawn(customers, chance);
        }

        @Override
        public long subject(SplittableRandom chance) {
            int rank = drawn(heads, chance);
            if (rank == HEADS) {
                rank += chance.nextInt(fleet.subjects.distinct() - HEADS);
            }
            return 1 + rank;
        }

        @Override
        public double kb(int group, SplittableRandom chance) {
            return fleet.groups.get(group).kb() * (0.5 + chance.nextInt(1_000) / 1_000.0);
        }

        @Override
        public int bytes(int group, SplittableRandom chance) {
            int mean = fleet.groups.get(group).bytes();
            return mean == 0 ? 0 : chance.nextInt(Math.min(2 * mean, 2_048) + 1);
        }
    }
}
