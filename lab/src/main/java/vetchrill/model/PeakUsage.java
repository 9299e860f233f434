package vetchrill.model;

/** How close a run came to its limits: peak shares of each limit, 1 if it was reached, unless stated otherwise. */
public final class PeakUsage {
    /** Mean share of busy cores, over all instances and the counted time, and that of the busiest instance. */
    public double meanCoreUsage;
    public double busiestInstanceCores;
    /** Core time spent on reading, as a share of the core time of all instances. */
    public double readingShare;
    /** Running exchanges per core, averaged over the time that the limit allows, as a share of the limit. */
    public double runsPerCore;
    /** Memory in use by an instance. */
    public double memory;
    /** Denied attempts as a share of all attempts. */
    public double deniedAttempts;
    /** Open connections of an instance as a share of its table, and with its other files of its descriptors. */
    public double connections;
    public double descriptors;
    /** Choices of stubs in which every listed instance was to be avoided, as a share of all choices. */
    public double allAvoided;
    /** Time from the start of a drain to the last answer, as a share of the time until the stop. */
    public double drainTime;
    /** Concurrent calls to the shared tier as a share of its slots. */
    public double tierCalls;
    /** Number of crashes from a lack of memory or too many runs, and of exchanges open at a stop. */
    public int crashes;
    public int openAtStop;
}
