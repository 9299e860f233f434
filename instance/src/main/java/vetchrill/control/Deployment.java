package vetchrill.control;

import java.util.List;

/** Facts handed over at start, as far as the controller reads them. */
public final class Deployment {
    public enum Preemption { NONE, DROP, PAUSE }

    public enum LoadHint { NONE, MIN_RANK, TOKENS }

    public List<EndpointGroup> groups;
    /** Exchanges a second within each customer's share, over all servers. */
    public double[] allowancePerSecond;
    public double benefitBeyondShare;
    public boolean benefitScalesWithWork;
    public int serverCount;
    public int callerCount;
    /** Its callers are servers of the tier above, with holds of their own. */
    public boolean backendTier;
    public boolean callersMarkRetries;
    public int cores;
    public double memoryKb;
    public double runMemoryFactor;
    public double dedupKeyKb;
    public long callerIdleTime;
    public long hostQuantum;
    public Preemption preemption;
    public LoadHint loadHint;
    public boolean sharedDependency;
    /** Calls in hand on average that are this server's part of what a shared dependency survives. */
    public double callQuota;
    public long callQuotaWindow;
    public long abandonedCallLinger;
    public boolean discoveryFollowsHealth;
    public boolean startsCold;
    public double coldSpeedRatio;
    public long warmUpTime;
    public double sustainableRunsPerCore;
    public long drainGrace;
    public long maxRetryAfter;
}
