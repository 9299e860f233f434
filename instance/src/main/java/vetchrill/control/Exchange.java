package vetchrill.control;

/** One exchange read by this instance, and what is known of it. Whoever reads it sets the public fields. */
public class Exchange {
    public enum Stage { HELD, RUNNING, AT_CALL, CALLING, REPLAYING, OVER }

    /** How a run or a call ended. */
    public enum Outcome {
        COMPLETED(false), ERRORED(false), FULL(true), GIVEN_UP(false), OUT_OF_REACH(true), CUT_OFF(false),
        STOPPED(false), NOTHING_STARTED(true);

        public final boolean provesUnrun;

        Outcome(boolean provesUnrun) {
            this.provesUnrun = provesUnrun;
        }
    }

    public EndpointGroup group;
    public int customer;
    public long arrived;
    /** When the caller gives up by its own word; 0 where it does not say. */
    public long callerLeaves;
    /** Core time it is said to need; 0 where nothing is said. */
    public long work;
    public double kb;
    /** By which version it is decided, from its arrival to its end; 0 where there are none. */
    public long version;
    /** It was tried before, here or elsewhere; never set where further tries are not marked. */
    public boolean furtherTry;
    /** It repeats a remembered exchange: {@code prior}, or null when that has long been forgotten. */
    public boolean repeat;
    public Exchange prior;

    Stage stage = Stage.HELD;
    long due;
    long sloAt;
    long startBy;
    boolean answered;
    boolean ran;
    boolean remembered;
    boolean paused;
    boolean stopping;
    long begun;
    long atCallSince;
    long atCalls;
    int callTries;
    /** Some call that it made may have taken effect. */
    boolean callUnproven;
    long callAgainAt;

    public boolean over() {
        return stage == Stage.OVER;
    }
}
