package vetchrill.control;

import java.util.ArrayList;
import java.util.List;

/** A controller with a host that only writes down what it is asked, and words to tell a story with. */
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
    final List<String> actions = new ArrayList<>();
    double cpu = 1;
    double runnable = 2;
    double connections;
    long longestRetryAfter;
    long now = 5 * SECOND;
    private OverloadController controller;

    ControllerScenario() {
        deployment.groups = List.of(repeatable, deduplicated, mutating);
        deployment.allowancePerSecond = new double[] {20};
        deployment.benefitBeyondShare = 0.1;
        deployment.serverCount = 1;
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

    /** Runs {@code count} exchanges of {@code span} each, one by one, so that there is something measured. */
    void completeRuns(EndpointGroup group, int count, long span) {
        for (int i = 0; i < count; i++) {
            Exchange ex = arrive("usual", group);
            decide();
            advance(span);
            complete(ex);
        }
        decide();
    }

    /** Lets the controller decide, and returns what it did since the last look. */
    List<String> decide() {
        while (controller().next(this)) { }
        List<String> newActions = List.copyOf(actions);
        actions.clear();
        return newActions;
    }

    /** Time passes with the gauges as they stand, a look at them each 100 ms. */
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
        record(noRetry ? "deny for good" : "deny", ex);
    }

    @Override public void terminate(Exchange ex) { record("terminate", ex); }
    @Override public void interrupt(Exchange ex) { record("interrupt", ex); }
    @Override public void call(Exchange ex, long deadline) { record("call", ex); }
    @Override public void skipCall(Exchange ex) { record("leave out", ex); }
    @Override public void replay(Exchange ex) { record("replay", ex); }
    @Override public void storeDedupKey(Exchange ex, long ttl) { record("remember", ex); }
    @Override public void dropDedupKey(Exchange ex) { record("forget", ex); }
    @Override public void setHealth(boolean healthy) { actions.add(healthy ? "well" : "ill"); }
    @Override public void publishLoadHint(double hint) { actions.add("say " + Math.round(hint * 10) / 10.0); }
    @Override public void setIdleTime(long idleTime) { actions.add("idle " + idleTime); }
    @Override public void scheduleTick(long delay) { /* pass() looks at the gauges whether asked for or not */ }
}
