package vetchrill.control;

/** What is told at start about one endpoint group, and what this instance has measured of it. */
public final class EndpointGroup {
    public enum Effect { REPEATABLE, DEDUPLICATED, MUTATING }

    public Effect effect;
    public long sloTime;
    /** The SLO time grows by this multiple of an exchange's own work. */
    public double sloWorkFactor;
    public long asyncTimeout;
    public double benefit;
    public double lateBenefitShare;
    /** How long after its arrival a deduplicated exchange may come again. */
    public long dedupWindow;
    public boolean mayCall;
    /** Part of the benefit kept by an answer made without the call. */
    public double benefitWithoutCall;

    final Histogram coreTime;
    /** Core time that the completed ones were said to need. */
    final Histogram declaredCoreTime;
    final Histogram timeAtCalls;

    public EndpointGroup() {
        coreTime = new Histogram();
        declaredCoreTime = new Histogram();
        timeAtCalls = new Histogram();
    }

    /** The same group as another version tells of it: what was measured of it stays. */
    public EndpointGroup(EndpointGroup measured) {
        coreTime = measured.coreTime;
        declaredCoreTime = measured.declaredCoreTime;
        timeAtCalls = measured.timeAtCalls;
    }
}
