package vetchrill.control;

/** What the controller may ask of the process it lives in. Each method is one act, carried out at once. */
public interface Host {
    /** Starts a held exchange, or lets a paused one go on. */
    void begin(Exchange ex);

    /** Final answer: turned away, promising that it never ran; {@code away} as advice, 0 for none. */
    void deny(Exchange ex, long away, boolean giveUp);

    /** Final answer: error, without a promise. */
    void terminate(Exchange ex);

    /** Takes running work off its core; no answer in itself. */
    void interrupt(Exchange ex);

    /** Makes the call that the exchange waits for; given up at {@code until}. */
    void call(Exchange ex, long until);

    /** Lets the exchange go on without its call. */
    void leaveOut(Exchange ex);

    /** Answers a repeat from the exchange it repeats. */
    void replay(Exchange ex);

    /** Remembers a deduplicated exchange for {@code span} from now. */
    void remember(Exchange ex, long span);

    /** Forgets it before its time. */
    void forget(Exchange ex);

    /** What health checks hear from now on. */
    void health(boolean good);

    /** The free value that goes out with every answer. */
    void say(double value);

    /** Connections idle for longer than this are closed. */
    void idleTime(long span);

    /** Asks for one {@link OverloadController#gauges} that long from now. */
    void wakeIn(long span);
}
