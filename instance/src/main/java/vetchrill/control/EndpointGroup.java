package vetchrill.control;

/** The settings of an endpoint group, and what this instance has measured of it. Times are tenths of a millisecond. */
public final class EndpointGroup {
    /**
     * What running an exchange twice does: nothing more than running it once (REPEATABLE), nothing as repeats are
     * answered from the first run (DEDUPLICATED), or a second effect (MUTATING).
     */
    public enum Effect { REPEATABLE, DEDUPLICATED, MUTATING }

    public Effect effect;
    public long sloTime;
    /** The SLO time grows by this multiple of the core time that an exchange declares. */
    public double sloWorkFactor;
    /** Time from the arrival to the deadline, where the caller gives none. */
    public long asyncTimeout;
    public double benefit;
    /** Share of the benefit kept by an answer after the SLO time. */
    public double lateBenefitShare;
    /** Time after its arrival in which a deduplicated exchange may be repeated. */
    public long dedupWindow;
    public boolean mayCall;
    /** Share of the benefit kept by an answer made without the call; 0 where the call is mandatory. */
    public double benefitWithoutCall;

    final Histogram coreTime;
    /** Core time declared by the completed exchanges that declared one. */
    final Histogram declaredCoreTime;
    final Histogram timeAtCalls;

    public EndpointGroup() {
        coreTime = new Histogram();
        declaredCoreTime = new Histogram();
        timeAtCalls = new Histogram();
    }

    /** The same group under another version of the settings, which are still to be set; the measurements are shared. */
    public EndpointGroup(EndpointGroup measured) {
        coreTime = measured.coreTime;
        declaredCoreTime = measured.declaredCoreTime;
        timeAtCalls = measured.timeAtCalls;
    }
}
