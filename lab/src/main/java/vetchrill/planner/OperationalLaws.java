package vetchrill.planner;

import vetchrill.fleet.Fleet;
import vetchrill.fleet.Fleet.Group;
import vetchrill.fleet.Fleet.StubPool;
import vetchrill.fleet.Fleet.RetryPolicy;

/**
 * The first cut, in a millisecond: utilisation, Erlang's and Little's laws, and the fixed points of load under retries.
 * With a try accepted with probability p and n tries at most, an exchange is completed with 1 - (1-p)^n after
 * (1 - (1-p)^n) / p tries; each try costs its reading, each completion its work, and the cores have so much time. A p
 * at which they have time to spare grows, one at which they have not shrinks: where both are so for one load, the
 * fleet can be held down by its own retries after the cause is gone.
 */
public final class OperationalLaws {
    private static final int PROBABILITY_STEPS = 2_000;
    /** Tries after which a stub that heeds has been told to give up. */
    private static final double COMPLIANT_MAX_ATTEMPTS = 2;

    /** First tries a second, and core time a second and for each reading and each work, in tenths of a millisecond. */
    public final double loadPerSecond;
    public final double capacity;
    public final double readingTime;
    public final double workTime;
    /** Tries that an exchange gets at most, in the mean of all stubs. */
    public final double maxAttempts;
    /** Core time asked for were every exchange tried once, for what there is. */
    public final double utilisation;
    /** What the fixed point says is completed, of all exchanges, and its tries for each. */
    public final double completedShare;
    public final double attemptsPerExchange;
    /** {@link #completedShare}, or what is left by waiting alone where that is less, by benefit. */
    public final double service;
    /** Exchanges in the fleet at a time, by Little's law. */
    public final double meanInFlight;
    /** A second, worse state holds itself at this load. */
    public final boolean metastable;
    /** Part of the load to be shed so that only the good state is left; 0 where there is no other. */
    public final double shedShare;

    public OperationalLaws(Fleet fleet, double loadPerSecond) {
        this.loadPerSecond = loadPerSecond;
        capacity = fleet.capacity();
        readingTime = fleet.meanReadingTime();
        workTime = fleet.meanCoreTime() - readingTime;
        maxAttempts = meanMaxAttempts(fleet);
        utilisation = loadPerSecond * (readingTime + workTime) / capacity;
        double acceptance = 0;
        boolean feasible = false;
        boolean overloadedState = false;
        double maxCost = 0;
        for (int i = PROBABILITY_STEPS; i >= 1; i--) {
            double candidate = i / (double) PROBABILITY_STEPS;
            double cost = costPerExchange(candidate);
            maxCost = Math.max(maxCost, cost);
            if (loadPerSecond * cost <= capacity && !feasible) {
                feasible = true;
                acceptance = candidate;
            }
            overloadedState |= feasible && loadPerSecond * cost > capacity;
        }
        double saturatedCost = maxAttempts * readingTime;
        overloadedState |= feasible && loadPerSecond * saturatedCost > capacity;
        maxCost = Math.max(maxCost, saturatedCost);
        metastable = feasible && acceptance == 1 && overloadedState;
        shedShare = overloadedState || !feasible ? Math.max(0, 1 - capacity / maxCost / Math.max(1e-9, loadPerSecond))
                : 0;
        completedShare = feasible ? completionProbability(acceptance) : 0;
        attemptsPerExchange = feasible ? completionProbability(acceptance) / acceptance : maxAttempts;
        service = Math.min(completedShare, 1 - lateShare(fleet, utilisation));
        meanInFlight = loadPerSecond * completedShare * (readingTime + workTime) / 10_000;
    }

    private double completionProbability(double acceptance) {
        return 1 - Math.pow(1 - acceptance, maxAttempts);
    }

    private double costPerExchange(double acceptance) {
        return completionProbability(acceptance) / acceptance * readingTime + completionProbability(acceptance)
                * workTime;
    }

    private static double meanMaxAttempts(Fleet fleet) {
        double sum = 0;
        double meanSloTime = fleet.groups.stream().mapToDouble(group -> group.requestShare() * group.sloTime()).sum();
        double attemptTime = Math.max(1, fleet.meanReadingTime() + 2.0 * fleet.network.acrossZones());
        for (StubPool pool : fleet.pools) {
            double attempts = pool.retry() == RetryPolicy.NONE ? 1 : pool.retry() == RetryPolicy.LIMITED
                    ? pool.maxAttempts()
                    : Math.max(1, meanSloTime / (attemptTime + pool.retryPause()));
            // Who heeds what it is told comes to be told to give up; the laws don't ask the module when.
            sum += (pool.followsRetryAfterRatio() * Math.min(attempts, COMPLIANT_MAX_ATTEMPTS)
                    + (1 - pool.followsRetryAfterRatio()) * attempts) * pool.count();
        }
        return sum / Math.max(1, fleet.stubCount());
    }

    /** Part of the benefit that is lost to waiting at relays where nothing waits that would be late. */
    private static double lateShare(Fleet fleet, double utilisation) {
        double lateBenefit = 0;
        double totalBenefit = 0;
        int cores = fleet.placements().stream().mapToInt(place -> place.kind().cores()).sum();
        int coresPerInstance = (int) Math.max(1, Math.round(cores / Math.max(1.0, fleet.instanceCount())));
        for (Group group : fleet.groups) {
            double serviceTime = group.coreTime() + fleet.meanReadingTime();
            double patience = Math.max(0, group.sloTime() - serviceTime) / fleet.meanCoreTime();
            lateBenefit += group.requestShare() * group.benefit() * rejectedShare(coresPerInstance,
                    coresPerInstance * utilisation, patience);
            totalBenefit += group.requestShare() * group.benefit();
        }
        return totalBenefit == 0 ? 0 : lateBenefit / totalBenefit;
    }

    /**
     * The part that is turned away by {@code c} servers offered {@code a} servers' worth, where nobody waits longer
     * than {@code patience} mean services: M/M/c with patience of one length, loads past the servers included.
     */
    public static double rejectedShare(int servers, double offeredLoad, double patience) {
        double idleStates = 0;
        double weight = 1;
        for (int busyServers = 0; busyServers < servers; busyServers++) {
            idleStates += weight;
            weight = busyServers + 1 < servers ? weight * offeredLoad / (busyServers + 1) : weight;
        }
        double exponent = (servers - offeredLoad) * patience;
        double waitingStates = offeredLoad * weight
                * (Math.abs(servers - offeredLoad) < 1e-9 ? patience : (1 - Math.exp(-exponent))
                / (servers - offeredLoad));
        double rejected = offeredLoad * weight * Math.exp(-exponent) / servers;
        return rejected / (idleStates + waitingStates + rejected);
    }

    /** Erlang's C: the probability that an arrival waits, with {@code c} servers offered {@code a} servers' worth. */
    public static double erlangC(int servers, double offeredLoad) {
        if (offeredLoad >= servers) {
            return 1;
        }
        double blocked = 1;
        for (int i = 1; i <= servers; i++) {
            blocked = offeredLoad * blocked / (i + offeredLoad * blocked);
        }
        double utilisation = offeredLoad / servers;
        return blocked / (1 - utilisation + utilisation * blocked);
    }
}
