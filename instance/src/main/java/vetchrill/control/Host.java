package vetchrill.control;

/** What the controller may ask of the process it lives in. Each method is one act, carried out at once. */
public interface Host {
    /** Starts a held exchange, or lets a paused one go on. */
    void begin(Exchange ex);

    /** Final answer: turned away, promising that it never ran; {@code away} as advice, 0 for none. */
    void reject(Exchange ex, long retryAfter, boolean noRetry);

    /** Final answer: error, without a promise. */
    void terminate(Exchange ex);

    /** Takes running work off its core; no answer in itself. */
    void interrupt(Exchange ex);

    /** Makes the call that the exchange waits for; given up at {@code until}. */
    void call(Exchange ex, long deadline);

    /** Lets the exchange go on without its call. */
    void skipCall(Exchange ex);

    /** Answers a repeat from the exchange it repeats. */
    void replay(Exchange ex);

    /** Remembers a deduplicated exchange for {@code span} from now. */
    void storeDedupKey(Exchange ex, long ttl);

    /** Forgets it before its time. */
    void dropDedupKey(Exchange ex);

    /** What health checks hear from now on. */
    void setHealth(boolean healthy);

    /** The free value that goes out with every answer. */
    void publishLoadHint(double hint);

    /** Connections idle for longer than this are closed. */
    void setIdleTime(long idleTime);

    /** Asks for one {@link OverloadController#onTick} that long from now. */
    void scheduleTick(long delay);
}
