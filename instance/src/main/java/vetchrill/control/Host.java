package vetchrill.control;

/**
 * The actions that the controller can ask of the process it runs in. Each method is one action, carried out at once.
 * Times and durations are tenths of a millisecond.
 */
public interface Host {
    /** Starts a pending exchange, or resumes a paused one. */
    void begin(Exchange ex);

    /**
     * Gives the final answer that the exchange is rejected, which promises that it never took effect.
     *
     * @param retryAfter the retry-after delay, 0 for none
     * @param noRetry whether the caller is asked not to retry at another instance either
     */
    void reject(Exchange ex, long retryAfter, boolean noRetry);

    /** Gives the final answer that the exchange failed; it may have taken effect. */
    void terminate(Exchange ex);

    /** Interrupts a run, which frees its core; gives no answer. */
    void interrupt(Exchange ex);

    /** Makes the call that the run waits for; it times out at {@code deadline}. */
    void call(Exchange ex, long deadline);

    /** Resumes the run without its call. */
    void skipCall(Exchange ex);

    /** Answers a repeat with the result of its original. */
    void replay(Exchange ex);

    /** Stores the key of a deduplicated exchange for {@code ttl} from now. */
    void storeDedupKey(Exchange ex, long ttl);

    /** Drops the key of a deduplicated exchange before its time. */
    void dropDedupKey(Exchange ex);

    /** Sets the answer to health checks. */
    void setHealth(boolean healthy);

    /** Sets the load hint that is sent with every answer. */
    void publishLoadHint(double hint);

    /** Sets the idle time after which connections are closed. */
    void setIdleTime(long idleTime);

    /** Requests one {@link OverloadController#onTick} after {@code delay}. */
    void scheduleTick(long delay);
}
