package vetchrill.planner;

import vetchrill.fleet.Fleet;
import vetchrill.fleet.Fleet.Group;
import vetchrill.fleet.Fleet.StubPool;
import vetchrill.fleet.Fleet.RetryPolicy;

/**
 * An analytic estimate that takes about a millisecond: utilisation, Erlang's and Little's laws, and the fixed points of
 * load under retries. With acceptance probability p per attempt and at most n attempts, an exchange completes with
 * probability 1 - (1-p)^n after (1 - (1-p)^n) / p attempts on average; each attempt costs its reading, each completion
 * its work, and the core time per second is limited. While cores have spare time, p grows; while they are overloaded, p
 * shrinks. Where one load has values of p of both kinds, the fleet is metastable: its own retries can keep it
 * overloaded after the cause is gone.
 */
public final class OperationalLaws {
    private static final int PROBABILITY_STEPS = 2_000;
    /** Attempts after which a stub that follows retry-after delays has been told to stop retrying. */
    private static final double COMPLIANT_MAX_ATTEMPTS = 2;

    /** First attempts per second. */
    public final double loadPerSecond;
    /** Core time per second that the fleet has, in tenths of a millisecond. */
    public final double capacity;
    /** Mean core time of a reading and of the work of an exchange, in tenths of a millisecond. */
    public final double readingTime;
    public final double workTime;
    /** Maximum number of attempts per exchange, averaged over all stubs. */
    public final double maxAttempts;
    /** Core time required with one attempt per exchange, as a ratio of the capacity. */
    public final double utilisation;
    /** Share of the exchanges that complete at the fixed point, and attempts per exchange there. */
    public final double completedShare;
    public final double attemptsPerExchange;
    /** {@link #completedShare}, or the share of the benefit that is not lost to waiting if that is lower. */
    public final double service;
    /** Mean number of exchanges in progress in the fleet, by Little's law. */
    public final double meanInFlight;
    /** Whether a second stable state, overloaded by retries, exists at this load. */
    public final boolean metastable;
    /** Share of the load to shed so that only the good state remains; 0 if there is no other state. */
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
            // A stub that follows retry-after delays is eventually told to stop retrying; the laws approximate when,
            // without consulting the overload controller.
            sum += (pool.followsRetryAfterRatio() * Math.min(attempts, COMPLIANT_MAX_ATTEMPTS)
                    + (1 - pool.followsRetryAfterRatio()) * attempts) * pool.count();
        }
        return sum / Math.max(1, fleet.stubCount());
    }

    /** Share of the benefit that is lost to waiting, at instances that reject exchanges which would be late. */
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
     * Share of arrivals that is rejected in an M/M/c queue with constant patience; also valid for loads above the
     * number of servers.
     *
     * @param servers the number of servers, c
     * @param offeredLoad the offered load in servers
     * @param patience the longest wait, in mean service times
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

    /** Erlang's C formula: the probability that an arrival waits, given an offered load in servers. */
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
