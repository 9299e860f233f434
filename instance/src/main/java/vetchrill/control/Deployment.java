package vetchrill.control;

import java.util.List;

/** Facts handed over at start, as far as the controller reads them. */
public final class Deployment {
    public enum Preemption { NONE, DROP, PAUSE }

    public enum Say { NOTHING, LEAST_RANK, TOKENS }

    public List<EndpointGroup> groups;
    /** Exchanges a second within each customer's share, over all servers. */
    public double[] allowance;
    public double benefitBeyondShare;
    public boolean benefitByWork;
    public int servers;
    public int callers;
    /** Its callers are servers of the tier above, with holds of their own. */
    public boolean below;
    public boolean marksFurtherTries;
    public int cores;
    public double memoryKb;
    public double runGrowth;
    public double keyKb;
    public long callerIdleTime;
    public long tick;
    public Preemption preemption;
    public Say say;
    public boolean callsShared;
    /** Calls in hand on average that are this server's part of what a shared dependency survives. */
    public double callsOut;
    public long callsWindow;
    public long callLingers;
    public boolean listFollowsHealth;
    public boolean cold;
    public double coldShare;
    public long warmUp;
    public double crowdPerCore;
    public long drainGrace;
    public long longestAway;
}
