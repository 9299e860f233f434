package vetchrill.control;

/** One exchange read by this instance, and what is known of it. Whoever reads it sets the public fields. */
public class Exchange {
    public enum Stage { PENDING, RUNNING, AWAITING_CALL, CALLING, REPLAYING, FINISHED }

    /** How a run or a call ended. */
    public enum Outcome {
        COMPLETED(false), ERRORED(false), CALLEE_SATURATED(true), TIMED_OUT(false), CONNECTION_REFUSED(true),
                CONNECTION_LOST(false),
        PREEMPTED(false), NOT_STARTED(true);

        public final boolean provesNotRun;

        Outcome(boolean provesNotRun) {
            this.provesNotRun = provesNotRun;
        }
    }

    public EndpointGroup group;
    public int customer;
    public long arrivedAt;
    /** When the caller gives up by its own word; 0 where it does not say. */
    public long callerDeadline;
    /** Core time it is said to need; 0 where nothing is said. */
    public long declaredCoreTime;
    public double sizeKb;
    /** By which version it is decided, from its arrival to its end; 0 where there are none. */
    public long version;
    /** It was tried before, here or elsewhere; never set where further tries are not marked. */
    public boolean retry;
    /** It repeats a remembered exchange: {@code prior}, or null when that has long been forgotten. */
    public boolean repeat;
    public Exchange original;

    Stage stage = Stage.PENDING;
    long deadline;
    long sloDeadline;
    long startDeadline;
    boolean answered;
    boolean everStarted;
    boolean keyStored;
    boolean paused;
    boolean interrupting;
    long startedAt;
    long callRequestedAt;
    long timeAtCalls;
    int failedCallAttempts;
    /** Some call that it made may have taken effect. */
    boolean callMayHaveRun;
    long nextCallAt;

    public boolean isFinished() {
        return stage == Stage.FINISHED;
    }
}
