package vetchrill.control;

import java.util.List;

/**
 * The settings of a deployment that the controller reads, given once when an instance starts. Times are tenths of a
 * millisecond.
 */
public final class Deployment {
    /** Whether the host can stop a run, and whether its work is then lost (DROP) or kept (PAUSE). */
    public enum Preemption { NONE, DROP, PAUSE }

    /** Which value callers are sent with each answer: none, a minimum rank, or the number of exchanges to have open. */
    public enum LoadHint { NONE, MIN_RANK, TOKENS }

    public List<EndpointGroup> groups;
    /** By customer: exchanges a second within its share, over all instances. */
    public double[] allowancePerSecond;
    /** Share of the benefit that exchanges beyond their customer's share keep. */
    public double benefitBeyondShare;
    /** Whether the benefit of a group is per core time already, so that long exchanges are worth more. */
    public boolean benefitScalesWithWork;
    public int instanceCount;
    public int callerCount;
    /** Whether the callers are instances of the tier above, with pending queues of their own. */
    public boolean backendTier;
    /** Whether callers mark their retries as such. */
    public boolean callersMarkRetries;
    public int cores;
    public double memoryKb;
    /** Memory of a running or paused exchange as a multiple of its size. */
    public double runMemoryFactor;
    public double dedupKeyKb;
    public long callerIdleTime;
    /** Interval at which the host acts; a stored key is kept for one longer. */
    public long hostQuantum;
    public Preemption preemption;
    public LoadHint loadHint;
    /** Whether all instances call the same dependency, so that each must keep to its quota. */
    public boolean sharedDependency;
    /** Average calls in flight that are this instance's part of what a shared dependency withstands. */
    public double callQuota;
    /** Time over which the calls in flight are averaged. */
    public long callQuotaWindow;
    /** Time for which an abandoned call still loads the dependency. */
    public long abandonedCallLinger;
    /** Whether callers find instances through a list that leaves out unhealthy ones. */
    public boolean discoveryFollowsHealth;
    /** Whether the cores start at {@link #coldSpeedRatio} and reach their full speed in {@link #warmUpTime}. */
    public boolean startsCold;
    public double coldSpeedRatio;
    public long warmUpTime;
    /** Concurrent runs per core past which the throughput collapses. */
    public double sustainableRunsPerCore;
    /** Time after the start of a drain in which arrivals are still started. */
    public long drainGrace;
    /** Longest retry-after delay that may be sent with a rejection. */
    public long maxRetryAfter;
}
