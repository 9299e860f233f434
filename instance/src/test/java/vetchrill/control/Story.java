package vetchrill.control;

import java.util.ArrayList;
import java.util.List;

/** A controller with a host that only writes down what it is asked, and words to tell a story with. */
final class Story implements Host {
    static final long MS = 10;
    static final long SECOND = 1000 * MS;

    static final class Named extends Exchange {
        final String name;

        Named(String name) {
            this.name = name;
        }
    }

    final Deployment told = new Deployment();
    final EndpointGroup read = group(EndpointGroup.Effect.REPEATABLE, 1);
    final EndpointGroup post = group(EndpointGroup.Effect.DEDUPLICATED, 3);
    final EndpointGroup once = group(EndpointGroup.Effect.MUTATING, 3);
    final List<String> done = new ArrayList<>();
    double cpu = 1;
    double runnable = 2;
    double connections;
    long longestAwayAsked;
    long now = 5 * SECOND;
    private OverloadController controller;

    Story() {
        told.groups = List.of(read, post, once);
        told.allowance = new double[] {20};
        told.benefitBeyondShare = 0.1;
        told.servers = 1;
        told.callers = 2;
        told.cores = 2;
        told.memoryKb = 10_000;
        told.runGrowth = 4;
        told.keyKb = 50;
        told.callerIdleTime = 10 * SECOND;
        told.tick = 5 * MS;
        told.preemption = Deployment.Preemption.NONE;
        told.say = Deployment.Say.NOTHING;
        told.crowdPerCore = 5;
        told.drainGrace = 2 * SECOND;
        told.longestAway = SECOND;
    }

    private static EndpointGroup group(EndpointGroup.Effect effect, double benefit) {
        EndpointGroup group = new EndpointGroup();
        group.effect = effect;
        group.benefit = benefit;
        group.sloTime = 2 * SECOND;
        group.asyncTimeout = 6 * SECOND;
        group.window = 30 * SECOND;
        return group;
    }

    OverloadController controller() {
        if (controller == null) {
            controller = new OverloadController(told, 7, now);
        }
        return controller;
    }

    Named exchange(String name, EndpointGroup group) {
        Named ex = new Named(name);
        ex.group = group;
        ex.kb = 10;
        ex.arrived = now;
        return ex;
    }

    Named arrives(String name, EndpointGroup group) {
        return readAfter(name, group, 0);
    }

    void arrive(int count, String name, EndpointGroup group) {
        for (int i = 0; i < count; i++) {
            arrives(name, group);
        }
    }

    Named readAfter(String name, EndpointGroup group, long waited) {
        Named ex = exchange(name, group);
        ex.arrived = now - waited;
        controller().arrived(ex, now);
        return ex;
    }

    Named repeats(String name, Exchange prior) {
        Named ex = exchange(name, prior.group);
        ex.repeat = true;
        ex.prior = prior;
        controller().arrived(ex, now);
        return ex;
    }

    void completes(Exchange ex) {
        controller().finished(ex, Exchange.Outcome.COMPLETED, now - ex.begun, now);
    }

    /** Runs {@code count} exchanges of {@code span} each, one by one, so that there is something measured. */
    void usualRuns(EndpointGroup group, int count, long span) {
        for (int i = 0; i < count; i++) {
            Exchange ex = arrives("usual", group);
            decide();
            pass(span);
            completes(ex);
        }
        decide();
    }

    /** Lets the controller decide, and returns what it did since the last look. */
    List<String> decide() {
        while (controller().next(this)) { }
        List<String> since = List.copyOf(done);
        done.clear();
        return since;
    }

    /** Time passes with the gauges as they stand, a look at them each 100 ms. */
    List<String> pass(long span) {
        List<String> all = new ArrayList<>(decide());
        long until = now + span;
        while (now < until) {
            long look = now - now % (100 * MS) + 100 * MS;
            now = Math.min(until, look);
            if (now == look) {
                controller().gauges(cpu, runnable, connections, now);
            }
            all.addAll(decide());
        }
        return all;
    }

    private void note(String act, Exchange ex) {
        done.add(act + " " + ((Named) ex).name);
    }

    @Override public void begin(Exchange ex) { note("begin", ex); }
    @Override public void deny(Exchange ex, long away, boolean last) {
        longestAwayAsked = Math.max(longestAwayAsked, away);
        note(last ? "deny for good" : "deny", ex);
    }

    @Override public void terminate(Exchange ex) { note("terminate", ex); }
    @Override public void interrupt(Exchange ex) { note("interrupt", ex); }
    @Override public void call(Exchange ex, long until) { note("call", ex); }
    @Override public void leaveOut(Exchange ex) { note("leave out", ex); }
    @Override public void replay(Exchange ex) { note("replay", ex); }
    @Override public void remember(Exchange ex, long span) { note("remember", ex); }
    @Override public void forget(Exchange ex) { note("forget", ex); }
    @Override public void health(boolean good) { done.add(good ? "well" : "ill"); }
    @Override public void say(double value) { done.add("say " + Math.round(value * 10) / 10.0); }
    @Override public void idleTime(long span) { done.add("idle " + span); }
    @Override public void wakeIn(long span) { /* pass() looks at the gauges whether asked for or not */ }
}
