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

/** Connects the controller of one instance to the wire: maps ids to exchanges and writes each action as a line. */
final class InstanceAdapter implements Host {
    /** An exchange with its id on the wire. */
    private static final class WireExchange extends Exchange {
        final long id;

        WireExchange(long id) {
            this.id = id;
        }
    }

    private static final long TIMER_TOKEN = 1;

    private final int instance;
    private final LineWriter out;
    private final Deployment deployment;
    private final DeploymentReader deploymentReader;
    /** The gauges of the last timer message, in the order that the settings give. */
    private final double[] gauges = new double[16];
    private final Map<Long, WireExchange> exchangesById = new LinkedHashMap<>();
    /** Time from its arrival for which a finished exchange is kept, as late events and repeats may name it. */
    private final long retentionTime;
    private long now;
    /** Whether the reply to the present batch has the line that names this instance. */
    private boolean headerWritten;
    final OverloadController controller;

    InstanceAdapter(int instance, LineWriter out, DeploymentReader deploymentReader, long seed, long now) {
        this.instance = instance;
        this.out = out;
        this.deploymentReader = deploymentReader;
        deployment = deploymentReader.deployment;
        long longestRetention = 0;
        for (EndpointGroup group : deployment.groups) {
            longestRetention = Math.max(longestRetention, 2 * Math.max(group.asyncTimeout, group.dedupWindow));
        }
        retentionTime = longestRetention;
        controller = new OverloadController(deployment, seed, now);
    }

    /** An exchange arrived. What it has waited unread is rounded up, so that no deadline is overestimated. */
    void onInbound(LineParser line, long now) {
        long id = -1;
        long type = -1;
        long originalId = 0;
        double waitedMs = 0;
        long customer = 0;
        long callerDeadline = 0;
        long declaredCoreTime = 0;
        double sizeKb = 0;
        boolean retry = false;
        while (line.nextField()) {
            if (line.keyIs("rid")) {
                id = line.wholeNumber();
            } else if (line.keyIs("type")) {
                type = line.wholeNumber();
            } else if (line.keyIs("team")) {
                customer = line.wholeNumber();
            } else if (line.keyIs("clientDeadlineMs")) {
                callerDeadline = line.tenthsOfMs();
            } else if (line.keyIs("expectedMs")) {
                declaredCoreTime = line.tenthsOfMs();
            } else if (line.keyIs("sizeKb")) {
                sizeKb = line.number();
            } else if (line.keyIs("resent")) {
                retry = line.valueIs("1");
            } else if (line.keyIs("waitedMs")) {
                waitedMs = line.number();
            } else if (line.keyIs("repeats")) {
                originalId = line.wholeNumber();
            }
        }
        if (id < 0) {
            throw line.error("'inbound' without a valid 'rid'");
        }
        if (type < 0 || type >= deployment.groups.size()) {
            throw line.error("'inbound' without a known 'type'");
        }
        if (customer < 0 || customer >= Math.max(1, deployment.allowancePerSecond.length)) {
            throw line.error("'inbound' without a known 'team'");
        }
        if (exchangesById.containsKey(id)) {
            throw line.error("'inbound' with a duplicate 'rid': " + id);
        }
        WireExchange ex = new WireExchange(id);
        ex.group = deployment.groups.get((int) type);
        ex.customer = (int) customer;
        ex.arrivedAt = now - (long) Math.ceil(waitedMs * 10);
        ex.callerDeadline = callerDeadline;
        ex.declaredCoreTime = declaredCoreTime;
        ex.sizeKb = sizeKb;
        ex.retry = retry;
        ex.repeat = originalId != 0;
        ex.original = originalId == 0 ? null : exchangesById.get(originalId);
        exchangesById.put(id, ex);
        controller.onArrival(ex, now);
    }

    /** The exchange with this id, or null if it has finished: events for finished exchanges are ignored. */
    Exchange lookUp(LineParser line, long id) {
        Exchange ex = exchangesById.get(id);
        if (ex == null) {
            throw line.error("'" + line.name() + "' with an 'rid' unknown to instance " + instance + ": " + id);
        }
        return ex.isFinished() ? null : ex;
    }

    /** The timer requested by {@link #scheduleTick} expired; the message carries the gauges. */
    void onTimer(LineParser line, long now) {
        int count = 0;
        while (line.nextField()) {
            if (line.keyIs("stats")) {
                count = line.numberList(gauges);
            }
        }
        double connections = gauge(deploymentReader.connectionsIndex, count);
        controller.onTick(gauge(deploymentReader.cpuIndex, count), gauge(deploymentReader.runnableIndex, count),
                connections, now);
    }

    private double gauge(int index, int count) {
        return index >= 0 && index < count ? gauges[index] : 0;
    }

    /** Lets the controller decide until it has nothing left to do, then forgets old finished exchanges. */
    void runDecisions(long now) {
        this.now = now;
        headerWritten = false;
        while (controller.next(this)) {
            continue;
        }
        Iterator<WireExchange> oldest = exchangesById.values().iterator();
        while (oldest.hasNext()) {
            WireExchange ex = oldest.next();
            if (!ex.isFinished() || ex.arrivedAt > now - retentionTime) {
                break;
            }
            oldest.remove();
        }
    }

    /** Tells the other side that this instance has failed. */
    void reportFailure(String reason) {
        startLine("die").field("reasonText", reason.replace('\n', ' ').replace('\r', ' ')).endLine();
    }

    private LineWriter startLine(String name) {
        if (!headerWritten) {
            out.startLine("from").field("instance", instance).endLine();
            headerWritten = true;
        }
        return out.startLine(name);
    }

    private LineWriter startLine(String name, Exchange ex) {
        return startLine(name).field("rid", ((WireExchange) ex).id);
    }

    @Override
    public void begin(Exchange ex) {
        startLine("begin", ex).endLine();
    }

    @Override
    public void reject(Exchange ex, long retryAfter, boolean noRetry) {
        LineWriter line = startLine("not_now", ex);
        if (retryAfter > 0) {
            line.millis("retryInMs", retryAfter);
        }
        if (noRetry) {
            line.field("giveUp", true);
        }
        line.endLine();
    }

    @Override
    public void terminate(Exchange ex) {
        startLine("finish_error", ex).endLine();
    }

    @Override
    public void interrupt(Exchange ex) {
        startLine("interrupt", ex).endLine();
    }

    @Override
    public void call(Exchange ex, long deadline) {
        startLine("invoke", ex).millis("untilMs", deadline).endLine();
    }

    @Override
    public void skipCall(Exchange ex) {
        startLine("omit", ex).endLine();
    }

    @Override
    public void replay(Exchange ex) {
        startLine("replay", ex).endLine();
    }

    @Override
    public void storeDedupKey(Exchange ex, long ttl) {
        startLine("store_key", ex).millis("spanMs", ttl).endLine();
    }

    @Override
    public void dropDedupKey(Exchange ex) {
        startLine("drop_key", ex).endLine();
    }

    @Override
    public void setHealth(boolean healthy) {
        startLine("status").field("enable", healthy).field("stored", true).endLine();
    }

    @Override
    public void publishLoadHint(double hint) {
        startLine("hint_out").field("x", hint).endLine();
    }

    @Override
    public void setIdleTime(long idleTime) {
        startLine("reap_after").millis("spanMs", idleTime).endLine();
    }

    @Override
    public void scheduleTick(long delay) {
        startLine("schedule").field("token", TIMER_TOKEN).millis("offsetMs", delay).endLine();
    }
}
