package vetchrill.control;

/** What is told at start about one endpoint group, and what this instance has measured of it. */
public final class EndpointGroup {
    public enum Effect { REPEATABLE, DEDUPLICATED, MUTATING }

    public Effect effect;
    public long sloTime;
    /** The SLO time grows by this multiple of an exchange's own work. */
    public double sloStretch;
    public long asyncTimeout;
    public double benefit;
    public double lateShare;
    /** How long after its arrival a deduplicated exchange may come again. */
    public long window;
    public boolean mayCall;
    /** Part of the benefit kept by an answer made without the call. */
    public double benefitWithoutCall;

    final Histogram onCore;
    /** Core time that the completed ones were said to need. */
    final Histogram said;
    final Histogram atCalls;

    public EndpointGroup() {
        onCore = new Histogram();
        said = new Histogram();
        atCalls = new Histogram();
    }

    /** The same group as another version tells of it: what was measured of it stays. */
    public EndpointGroup(EndpointGroup measured) {
        onCore = measured.onCore;
        said = measured.said;
        atCalls = measured.atCalls;
    }
}
