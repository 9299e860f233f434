package vetchrill.planner;

import vetchrill.fleet.Fleet;
import vetchrill.fleet.Fleet.Group;
import vetchrill.fleet.Fleet.Pool;
import vetchrill.fleet.Fleet.Retry;

/**
 * The first cut, in a millisecond: utilisation, Erlang's and Little's laws, and the fixed points of load under retries.
 * With a try accepted with probability p and n tries at most, an exchange is completed with 1 - (1-p)^n after
 * (1 - (1-p)^n) / p tries; each try costs its reading, each completion its work, and the cores have so much time. A p
 * at which they have time to spare grows, one at which they have not shrinks: where both are so for one load, the
 * fleet can be held down by its own retries after the cause is gone.
 */
public final class Laws {
    private static final int STEPS = 2_000;
    /** Tries after which a stub that heeds has been told to give up. */
    private static final double TOLD = 2;

    /** First tries a second, and core time a second and for each reading and each work, in tenths of a millisecond. */
    public final double perS;
    public final double capacity;
    public final double reading;
    public final double work;
    /** Tries that an exchange gets at most, in the mean of all stubs. */
    public final double mostTries;
    /** Core time asked for were every exchange tried once, for what there is. */
    public final double utilisation;
    /** What the fixed point says is completed, of all exchanges, and its tries for each. */
    public final double completed;
    public final double tries;
    /** {@link #completed}, or what is left by waiting alone where that is less, by benefit. */
    public final double service;
    /** Exchanges in the fleet at a time, by Little's law. */
    public final double inside;
    /** A second, worse state holds itself at this load. */
    public final boolean heldDown;
    /** Part of the load to be shed so that only the good state is left; 0 where there is no other. */
    public final double shed;

    public Laws(Fleet fleet, double perS) {
        this.perS = perS;
        capacity = fleet.capacity();
        reading = fleet.meanReading();
        work = fleet.meanWork() - reading;
        mostTries = mostTries(fleet);
        utilisation = perS * (reading + work) / capacity;
        double p = 0;
        boolean fits = false;
        boolean other = false;
        double costliest = 0;
        for (int i = STEPS; i >= 1; i--) {
            double at = i / (double) STEPS;
            double cost = cost(at);
            costliest = Math.max(costliest, cost);
            if (perS * cost <= capacity && !fits) {
                fits = true;
                p = at;
            }
            other |= fits && perS * cost > capacity;
        }
        double swamped = mostTries * reading;
        other |= fits && perS * swamped > capacity;
        costliest = Math.max(costliest, swamped);
        heldDown = fits && p == 1 && other;
        shed = other || !fits ? Math.max(0, 1 - capacity / costliest / Math.max(1e-9, perS)) : 0;
        completed = fits ? share(p) : 0;
        tries = fits ? share(p) / p : mostTries;
        service = Math.min(completed, 1 - late(fleet, utilisation));
        inside = perS * completed * (reading + work) / 10_000;
    }

    private double share(double p) {
        return 1 - Math.pow(1 - p, mostTries);
    }

    private double cost(double p) {
        return share(p) / p * reading + share(p) * work;
    }

    private static double mostTries(Fleet fleet) {
        double sum = 0;
        double timeout = fleet.groups.stream().mapToDouble(group -> group.share() * group.sloTime()).sum();
        double turn = Math.max(1, fleet.meanReading() + 2.0 * fleet.network.across());
        for (Pool pool : fleet.pools) {
            double walks = pool.retry() == Retry.NONE ? 1 : pool.retry() == Retry.LIMITED ? pool.tries()
                    : Math.max(1, timeout / (turn + pool.pause()));
            // Who heeds what it is told comes to be told to give up; the laws don't ask the module when.
            sum += (pool.heed() * Math.min(walks, TOLD) + (1 - pool.heed()) * walks) * pool.count();
        }
        return sum / Math.max(1, fleet.stubs());
    }

    /** Part of the benefit that is lost to waiting at relays where nothing waits that would be late. */
    private static double late(Fleet fleet, double busy) {
        double late = 0;
        double all = 0;
        int cores = fleet.places().stream().mapToInt(place -> place.kind().cores()).sum();
        int c = (int) Math.max(1, Math.round(cores / Math.max(1.0, fleet.relays())));
        for (Group group : fleet.groups) {
            double own = group.work() + fleet.meanReading();
            double patience = Math.max(0, group.sloTime() - own) / fleet.meanWork();
            late += group.share() * group.benefit() * lost(c, c * busy, patience);
            all += group.share() * group.benefit();
        }
        return all == 0 ? 0 : late / all;
    }

    /**
     * The part that is turned away by {@code c} servers offered {@code a} servers' worth, where nobody waits longer
     * than {@code patience} mean services: M/M/c with patience of one length, loads past the servers included.
     */
    public static double lost(int c, double a, double patience) {
        double below = 0;
        double state = 1;
        for (int j = 0; j < c; j++) {
            below += state;
            state = j + 1 < c ? state * a / (j + 1) : state;
        }
        double spare = (c - a) * patience;
        double within = a * state * (Math.abs(c - a) < 1e-9 ? patience : (1 - Math.exp(-spare)) / (c - a));
        double past = a * state * Math.exp(-spare) / c;
        return past / (below + within + past);
    }

    /** Erlang's C: the probability that an arrival waits, with {@code c} servers offered {@code a} servers' worth. */
    public static double erlangC(int c, double a) {
        if (a >= c) {
            return 1;
        }
        double blocked = 1;
        for (int i = 1; i <= c; i++) {
            blocked = a * blocked / (i + a * blocked);
        }
        double busy = a / c;
        return blocked / (1 - busy + busy * blocked);
    }
}
