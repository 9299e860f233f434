package vetchrill.model;

/** How near to its limits a run came; shares of the limit, 1 where it is reached, unless said otherwise. */
public final class PeakUsage {
    /** Cores busy in the mean of all relays and of the time counted, and of the busiest relay. */
    public double meanCoreUsage;
    public double busiestInstanceCores;
    /** Core time spent on reading, of all there is. */
    public double readingShare;
    /** Running for each core in the mean of the span that is survived, of what is survived. */
    public double runsPerCore;
    public double memory;
    /** Tries denied, of all tries. */
    public double deniedAttempts;
    /** Connections open at one relay, of its table; and with what a relay keeps open besides, of its descriptors. */
    public double connections;
    public double descriptors;
    /** Choices of a stub that heeds advice which found every listed relay to be kept away from, of all its choices. */
    public double allAvoided;
    /** From the notice to leave until the last answer, of the time until the stop. */
    public double drainTime;
    /** Calls in hand at the tier below, of its slots. */
    public double tierCalls;
    /** Relays that died of their memory or of their crowd; and exchanges open at a stop. */
    public int crashes;
    public int openAtStop;
}
