package vetchrill.control;

/** An exchange read by this instance, and its state. Whoever reads it sets the public fields. */
public class Exchange {
    /** AWAITING_CALL is before a call, or between its attempts; CALLING is during one. */
    public enum Stage { PENDING, RUNNING, AWAITING_CALL, CALLING, REPLAYING, FINISHED }

    /** How a run, a replay or a call ended. */
    public enum Outcome {
        COMPLETED(false), ERRORED(false), CALLEE_SATURATED(true), TIMED_OUT(false),
        CONNECTION_REFUSED(true), CONNECTION_LOST(false), PREEMPTED(false), NOT_STARTED(true);

        /** Whether the work certainly was not started, so that even a mutating call may be retried. */
        public final boolean provesNotRun;

        Outcome(boolean provesNotRun) {
            this.provesNotRun = provesNotRun;
        }
    }

    public EndpointGroup group;
    public int customer;
    public long arrivedAt;
    /** When the caller stops waiting; 0 where it does not say. */
    public long callerDeadline;
    /** Core time that the caller declares it to need; 0 where none is declared. */
    public long declaredCoreTime;
    public double sizeKb;
    /** Version of the settings that applies to it from its arrival to its end; 0 where there are none. */
    public long version;
    /** Whether it was attempted before, here or at another instance; never set where callers do not mark retries. */
    public boolean retry;
    /** Whether it repeats an exchange with a stored key: {@link #original}, or null if that is no longer known. */
    public boolean repeat;
    public Exchange original;

    Stage stage = Stage.PENDING;
    long deadline;
    long sloDeadline;
    long startDeadline;
    /** It has its final answer, or its caller has disconnected. */
    boolean answered;
    boolean everStarted;
    /** Null if its key has not been stored; it may have expired or been dropped since. */
    StoredKey storedKey;
    /** Its run was preempted, and its work is kept until it resumes. */
    boolean paused;
    /** Its run is to be preempted and has not ended yet. */
    boolean interrupting;
    long startedAt;
    long callRequestedAt;
    long timeAtCalls;
    int failedCallAttempts;
    /** Whether some failed attempt of the present call may have taken effect. */
    boolean callMayHaveRun;
    long nextCallAt;

    public boolean isFinished() {
        return stage == Stage.FINISHED;
    }
}
