package vetchrill.routing;

import vetchrill.control.Exchange;
import vetchrill.control.Host;

/** Carries out the module's decisions one by one: to the interpreter, to the stub, or into the book. */
final class DecisionExecutor implements Host {
    private static final System.Logger LOG = System.getLogger("vetchrill.route");

    private final Clock clock;
    private final DecisionThread thread;
    private final ExchangeRegistry registry;
    private final InterpreterClient interpreterClient;
    private final HealthReporter healthReporter;
    private final IdempotencyCache idempotencyCache;

    DecisionExecutor(Clock clock, DecisionThread thread, ExchangeRegistry registry, InterpreterClient interpreterClient,
            HealthReporter healthReporter, IdempotencyCache idempotencyCache) {
        this.idempotencyCache = idempotencyCache;
        this.clock = clock;
        this.thread = thread;
        this.registry = registry;
        this.interpreterClient = interpreterClient;
        this.healthReporter = healthReporter;
    }

    @Override
    public void begin(Exchange ex) {
        traceDecision("begin", (OpenExchange) ex);
        ((OpenExchange) ex).startedAt = clock.now();
        interpreterClient.startRun((OpenExchange) ex);
    }

    @Override
    public void reject(Exchange ex, long retryAfter, boolean doNotRetry) {
        OpenExchange open = (OpenExchange) ex;
        traceDecision("deny", open);
        registry.deny(open, retryAfter, doNotRetry, clock.now());
    }

    @Override
    public void terminate(Exchange ex) {
        OpenExchange open = (OpenExchange) ex;
        traceDecision("terminate", open);
        registry.terminate(open, clock.now());
        interpreterClient.scheduleRunQuery(open);
    }

    /**
     * Its caller has left: what is in doubt of it is asked after as if it were answered, or its slot is held for
     * good.
     */
    void onCallerDisconnected(OpenExchange ex) {
        interpreterClient.scheduleRunQuery(ex);
    }

    private void traceDecision(String decision, OpenExchange ex) {
        if (LOG.isLoggable(System.Logger.Level.DEBUG)) {
            LOG.log(System.Logger.Level.DEBUG, "{0} {1} {2} after {3} ms", decision, ex.groupName, ex.id,
                    (clock.now() - ex.arrivedAt) / 10);
        }
    }

    @Override
    public void setHealth(boolean healthy) {
        LOG.log(System.Logger.Level.INFO, "health is {0}", healthy ? "good" : "bad");
        healthReporter.onHealthDecision(healthy);
    }

    @Override
    public void setIdleTime(long idleTime) {
        registry.setIdleTime(idleTime);
    }

    @Override
    public void scheduleTick(long delay) {
        thread.schedule(clock.now() + delay, interpreterClient::tick);
    }

    @Override
    public void replay(Exchange ex) {
        traceDecision("replay", (OpenExchange) ex);
        idempotencyCache.replay((OpenExchange) ex);
    }

    @Override
    public void storeDedupKey(Exchange ex, long timeToLive) {
        idempotencyCache.remember((OpenExchange) ex, timeToLive);
    }

    @Override
    public void dropDedupKey(Exchange ex) {
        idempotencyCache.forget((OpenExchange) ex);
    }

    // The start refuses settings that would need one of these: the protocol has no words for them.

    @Override
    public void interrupt(Exchange ex) {
        throw new IllegalStateException("work can't be stopped here");
    }

    @Override
    public void call(Exchange ex, long until) {
        throw new IllegalStateException("calls can't be made here");
    }

    @Override
    public void skipCall(Exchange ex) {
        throw new IllegalStateException("calls can't be left out here");
    }

    @Override
    public void publishLoadHint(double value) {
        throw new IllegalStateException("no free value is sent here");
    }
}
