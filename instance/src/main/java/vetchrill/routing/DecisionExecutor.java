package vetchrill.routing;

import vetchrill.control.Exchange;
import vetchrill.control.Host;

/** Carries out the controller's decisions one by one: towards the interpreter, the stub or the registry. */
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
    public void reject(Exchange ex, long retryAfter, boolean noRetry) {
        OpenExchange open = (OpenExchange) ex;
        traceDecision("deny", open);
        registry.deny(open, retryAfter, noRetry, clock.now());
    }

    @Override
    public void terminate(Exchange ex) {
        OpenExchange open = (OpenExchange) ex;
        traceDecision("terminate", open);
        registry.terminate(open, clock.now());
        interpreterClient.scheduleRunQuery(open);
    }

    /**
     * Queries the state of its run, if that is unknown, as for an answered exchange; without the query its slot would
     * never be released.
     */
    void onCallerDisconnected(OpenExchange ex) {
        interpreterClient.scheduleRunQuery(ex);
    }

    private void traceDecision(String decision, OpenExchange ex) {
        if (LOG.isLoggable(System.Logger.Level.DEBUG)) {
            LOG.log(System.Logger.Level.DEBUG, "decision {0}: group {1}, exchange {2}, {3} ms after its arrival",
                    decision, ex.groupName, ex.id, (clock.now() - ex.arrivedAt) / 10);
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
    public void storeDedupKey(Exchange ex, long ttl) {
        idempotencyCache.storeKey((OpenExchange) ex, ttl);
    }

    @Override
    public void dropDedupKey(Exchange ex) {
        idempotencyCache.dropKey((OpenExchange) ex);
    }

    // StartConfiguration rejects settings that would need one of the following, as the protocol does not support them.

    @Override
    public void interrupt(Exchange ex) {
        throw new IllegalStateException("the protocol does not support the interruption of runs");
    }

    @Override
    public void call(Exchange ex, long deadline) {
        throw new IllegalStateException("the protocol does not support calls");
    }

    @Override
    public void skipCall(Exchange ex) {
        throw new IllegalStateException("the protocol does not support calls, so none can be skipped");
    }

    @Override
    public void publishLoadHint(double hint) {
        throw new IllegalStateException("the protocol does not support load hints");
    }
}
