package vetchrill.control;

import java.util.ArrayList;
import java.util.List;

/**
 * A test fixture: a controller whose host only records its actions, with methods to play events and to let time pass.
 * Times are tenths of a millisecond.
 */
final class ControllerScenario implements Host {
    static final long MS = 10;
    static final long SECOND = 1000 * MS;

    static final class NamedExchange extends Exchange {
        final String name;

        NamedExchange(String name) {
            this.name = name;
        }
    }

    final Deployment deployment = new Deployment();
    final EndpointGroup repeatable = group(EndpointGroup.Effect.REPEATABLE, 1);
    final EndpointGroup deduplicated = group(EndpointGroup.Effect.DEDUPLICATED, 3);
    final EndpointGroup mutating = group(EndpointGroup.Effect.MUTATING, 3);
    /** What the controller has asked for since the last {@link #decide}: a verb and the name of the exchange. */
    final List<String> actions = new ArrayList<>();
    double cpu = 1;
    double runnable = 2;
    double connections;
    /** The longest retry-after delay of all rejections. */
    long longestRetryAfter;
    long now = 5 * SECOND;
    private OverloadController controller;

    ControllerScenario() {
        deployment.groups = List.of(repeatable, deduplicated, mutating);
        deployment.allowancePerSecond = new double[] {20};
        deployment.benefitBeyondShare = 0.1;
        deployment.instanceCount = 1;
        deployment.callerCount = 2;
        deployment.cores = 2;
        deployment.memoryKb = 10_000;
        deployment.runMemoryFactor = 4;
        deployment.dedupKeyKb = 50;
        deployment.callerIdleTime = 10 * SECOND;
        deployment.hostQuantum = 5 * MS;
        deployment.preemption = Deployment.Preemption.NONE;
        deployment.loadHint = Deployment.LoadHint.NONE;
        deployment.sustainableRunsPerCore = 5;
        deployment.drainGrace = 2 * SECOND;
        deployment.maxRetryAfter = SECOND;
    }

    private static EndpointGroup group(EndpointGroup.Effect effect, double benefit) {
        EndpointGroup group = new EndpointGroup();
        group.effect = effect;
        group.benefit = benefit;
        group.sloTime = 2 * SECOND;
        group.asyncTimeout = 6 * SECOND;
        group.dedupWindow = 30 * SECOND;
        return group;
    }

    /** The controller, created at its first use so that a test can change the deployment before. */
    OverloadController controller() {
        if (controller == null) {
            controller = new OverloadController(deployment, 7, now);
        }
        return controller;
    }

    NamedExchange exchange(String name, EndpointGroup group) {
        NamedExchange ex = new NamedExchange(name);
        ex.group = group;
        ex.sizeKb = 10;
        ex.arrivedAt = now;
        return ex;
    }

    NamedExchange arrive(String name, EndpointGroup group) {
        return arriveAfterReadDelay(name, group, 0);
    }

    void arriveMany(int count, String name, EndpointGroup group) {
        for (int i = 0; i < count; i++) {
            arrive(name, group);
        }
    }

    NamedExchange arriveAfterReadDelay(String name, EndpointGroup group, long readDelay) {
        NamedExchange ex = exchange(name, group);
        ex.arrivedAt = now - readDelay;
        controller().onArrival(ex, now);
        return ex;
    }

    NamedExchange repeat(String name, Exchange original) {
        NamedExchange ex = exchange(name, original.group);
        ex.repeat = true;
        ex.original = original;
        controller().onArrival(ex, now);
        return ex;
    }

    void complete(Exchange ex) {
        controller().onRunEnded(ex, Exchange.Outcome.COMPLETED, now - ex.startedAt, now);
    }

    /** Completes {@code count} runs of {@code span} each, one after the other, so that there are measurements. */
    void completeRuns(EndpointGroup group, int count, long span) {
        for (int i = 0; i < count; i++) {
            Exchange ex = arrive("usual", group);
            decide();
            advance(span);
            complete(ex);
        }
        decide();
    }

    /** Lets the controller decide, and returns its actions since the last call of this method. */
    List<String> decide() {
        while (controller().next(this)) { }
        List<String> newActions = List.copyOf(actions);
        actions.clear();
        return newActions;
    }

    /** Lets {@code span} pass, with a tick every 100 ms at the present gauges, and returns the actions. */
    List<String> advance(long span) {
        List<String> all = new ArrayList<>(decide());
        long until = now + span;
        while (now < until) {
            long nextTick = now - now % (100 * MS) + 100 * MS;
            now = Math.min(until, nextTick);
            if (now == nextTick) {
                controller().onTick(cpu, runnable, connections, now);
            }
            all.addAll(decide());
        }
        return all;
    }

    private void record(String action, Exchange ex) {
        actions.add(action + " " + ((NamedExchange) ex).name);
    }

    @Override public void begin(Exchange ex) { record("begin", ex); }
    @Override public void reject(Exchange ex, long retryAfter, boolean noRetry) {
        longestRetryAfter = Math.max(longestRetryAfter, retryAfter);
        record(noRetry ? "reject without retry" : "reject", ex);
    }

    @Override public void terminate(Exchange ex) { record("terminate", ex); }
    @Override public void interrupt(Exchange ex) { record("interrupt", ex); }
    @Override public void call(Exchange ex, long deadline) { record("call", ex); }
    @Override public void skipCall(Exchange ex) { record("skip call", ex); }
    @Override public void replay(Exchange ex) { record("replay", ex); }
    @Override public void storeDedupKey(Exchange ex, long ttl) { record("store key", ex); }
    @Override public void dropDedupKey(Exchange ex) { record("drop key", ex); }
    @Override public void setHealth(boolean healthy) { actions.add(healthy ? "healthy" : "unhealthy"); }
    @Override public void publishLoadHint(double hint) { actions.add("hint " + Math.round(hint * 10) / 10.0); }
    @Override public void setIdleTime(long idleTime) { actions.add("idle " + idleTime); }
    @Override public void scheduleTick(long delay) { /* advance() ticks whether requested or not */ }
}
