package vetchrill.wire;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import vetchrill.control.Deployment;
import vetchrill.control.EndpointGroup;
import vetchrill.control.Exchange;
import vetchrill.control.Host;
import vetchrill.control.OverloadController;
import vetchrill.protocol.DeploymentReader;

/** One instance as the wire sees it: its ids, its controller, and what it writes. */
final class Door implements Host {
    /** An exchange with the number by which the wire knows it. */
    private static final class Numbered extends Exchange {
        final long id;

        Numbered(long id) {
            this.id = id;
        }
    }

    private static final long TICK_TOKEN = 1;

    private final int instance;
    private final LineWriter out;
    private final Deployment deployment;
    private final DeploymentReader facts;
    private final double[] gauges = new double[16];
    private final Map<Long, Numbered> byId = new LinkedHashMap<>();
    private final long keepFor;
    private long now;
    private boolean named;
    final OverloadController controller;

    Door(int instance, LineWriter out, DeploymentReader facts, long seed, long now) {
        this.instance = instance;
        this.out = out;
        this.facts = facts;
        deployment = facts.deployment;
        long longest = 0;
        for (EndpointGroup group : deployment.groups) {
            longest = Math.max(longest, 2 * Math.max(group.asyncTimeout, group.window));
        }
        keepFor = longest;
        controller = new OverloadController(deployment, seed, now);
    }

    void inbound(LineParser line, long now) {
        long id = -1;
        long type = -1;
        long prior = 0;
        double waited = 0;
        long team = 0;
        long leaves = 0;
        long work = 0;
        double kb = 0;
        boolean further = false;
        while (line.nextField()) {
            if (line.keyIs("rid")) {
                id = line.whole();
            } else if (line.keyIs("type")) {
                type = line.whole();
            } else if (line.keyIs("team")) {
                team = line.whole();
            } else if (line.keyIs("clientDeadlineMs")) {
                leaves = line.tenths();
            } else if (line.keyIs("expectedMs")) {
                work = line.tenths();
            } else if (line.keyIs("sizeKb")) {
                kb = line.number();
            } else if (line.keyIs("resent")) {
                further = line.valueIs("1");
            } else if (line.keyIs("waitedMs")) {
                waited = line.number();
            } else if (line.keyIs("repeats")) {
                prior = line.whole();
            }
        }
        if (id < 0) {
            throw line.fault("'inbound' without a usable 'rid'");
        }
        if (type < 0 || type >= deployment.groups.size()) {
            throw line.fault("'inbound' with no known 'type'");
        }
        if (team < 0 || team >= Math.max(1, deployment.allowance.length)) {
            throw line.fault("'inbound' with no known 'team'");
        }
        if (byId.containsKey(id)) {
            throw line.fault("'inbound' with an 'rid' given before: " + id);
        }
        Numbered arrived = new Numbered(id);
        arrived.group = deployment.groups.get((int) type);
        arrived.customer = (int) team;
        arrived.arrived = now - (long) Math.ceil(waited * 10);
        arrived.callerLeaves = leaves;
        arrived.work = work;
        arrived.kb = kb;
        arrived.furtherTry = further;
        arrived.repeat = prior != 0;
        arrived.prior = prior == 0 ? null : byId.get(prior);
        byId.put(id, arrived);
        controller.arrived(arrived, now);
    }

    /** The exchange that a line names, or null when it is over, which does no harm. */
    Exchange known(LineParser line, long id) {
        Exchange ex = byId.get(id);
        if (ex == null) {
            throw line.fault("'" + line.name() + "' names an rid never given to instance " + instance
                    + ": " + id);
        }
        return ex.over() ? null : ex;
    }

    void ring(LineParser line, long now) {
        int n = 0;
        while (line.nextField()) {
            if (line.keyIs("stats")) {
                n = line.row(gauges);
            }
        }
        double connections = gauge(facts.connectionsAt, n);
        controller.gauges(gauge(facts.cpuAt, n), gauge(facts.runnableAt, n), connections, now);
    }

    private double gauge(int at, int n) {
        return at >= 0 && at < n ? gauges[at] : 0;
    }

    void decide(long now) {
        this.now = now;
        named = false;
        while (controller.next(this)) {
            continue;
        }
        Iterator<Numbered> oldest = byId.values().iterator();
        while (oldest.hasNext()) {
            Numbered ex = oldest.next();
            if (!ex.over() || ex.arrived > now - keepFor) {
                break;
            }
            oldest.remove();
        }
    }

    void die(String reason) {
        line("die").field("reasonText", reason.replace('\n', ' ').replace('\r', ' ')).endLine();
    }

    private LineWriter line(String name) {
        if (!named) {
            out.line("from").field("instance", instance).endLine();
            named = true;
        }
        return out.line(name);
    }

    private LineWriter line(String name, Exchange ex) {
        return line(name).field("rid", ((Numbered) ex).id);
    }

    @Override
    public void begin(Exchange ex) {
        line("begin", ex).endLine();
    }

    @Override
    public void deny(Exchange ex, long away, boolean giveUp) {
        LineWriter line = line("not_now", ex);
        if (away > 0) {
            line.millis("retryInMs", away);
        }
        if (giveUp) {
            line.field("giveUp", true);
        }
        line.endLine();
    }

    @Override
    public void terminate(Exchange ex) {
        line("finish_error", ex).endLine();
    }

    @Override
    public void interrupt(Exchange ex) {
        line("interrupt", ex).endLine();
    }

    @Override
    public void call(Exchange ex, long until) {
        line("invoke", ex).millis("untilMs", until).endLine();
    }

    @Override
    public void leaveOut(Exchange ex) {
        line("omit", ex).endLine();
    }

    @Override
    public void replay(Exchange ex) {
        line("replay", ex).endLine();
    }

    @Override
    public void remember(Exchange ex, long span) {
        line("store_key", ex).millis("spanMs", span).endLine();
    }

    @Override
    public void forget(Exchange ex) {
        line("drop_key", ex).endLine();
    }

    @Override
    public void health(boolean good) {
        line("status").field("enable", good).field("stored", true).endLine();
    }

    @Override
    public void say(double value) {
        line("hint_out").field("x", value).endLine();
    }

    @Override
    public void idleTime(long span) {
        line("reap_after").millis("spanMs", span).endLine();
    }

    @Override
    public void wakeIn(long span) {
        line("schedule").field("token", TICK_TOKEN).millis("offsetMs", span).endLine();
    }
}
