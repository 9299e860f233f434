package vetchrill.wire;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import vetchrill.control.Exchange;
import vetchrill.protocol.DeploymentReader;

/**
 * Serves any number of instances over a line protocol. Input comes in batches of events; each event is passed to its
 * instance as it is read, and at the end of a batch the instances that had events make their decisions.
 */
public final class WireHost {
    private final LineParser line;
    private final OutputStream out;
    private final LineWriter reply = new LineWriter();
    private final Map<Integer, InstanceAdapter> instances = new TreeMap<>();
    private final Set<InstanceAdapter> instancesToDecide = new LinkedHashSet<>();
    private long now;
    private long batchNumber;
    private boolean batchOpen;
    /** The instance that the events of the batch belong to, -1 until one is named. */
    private int instance = -1;

    public WireHost(InputStream in, OutputStream out) {
        line = new LineParser(in);
        this.out = out;
    }

    /**
     * Runs until the input ends.
     *
     * @throws WireFormatException if the input is invalid or ends within a batch
     */
    public void run() throws IOException {
        while (line.nextLine()) {
            String name = line.name();
            if (name.equals("sync")) {
                beginBatch();
            } else if (!batchOpen) {
                throw line.error("'" + name + "' outside of a batch");
            } else if (name.equals("commit")) {
                endBatch();
            } else if (name.equals("at")) {
                instance = (int) requiredNumber("instance");
            } else if (instance < 0) {
                throw line.error("'" + name + "' before any 'at'");
            } else if (name.equals("born")) {
                createInstance();
            } else {
                handleEvent(name);
            }
        }
        if (batchOpen) {
            throw line.error("the input ends in the middle of a batch");
        }
    }

    private void beginBatch() {
        if (batchOpen) {
            throw line.error("'sync' within a batch");
        }
        boolean timeGiven = false;
        boolean numberGiven = false;
        while (line.nextField()) {
            if (line.keyIs("tsMs")) {
                now = line.tenthsOfMs();
                timeGiven = true;
            } else if (line.keyIs("seq")) {
                batchNumber = line.wholeNumber();
                numberGiven = true;
            }
        }
        if (!timeGiven || !numberGiven) {
            throw line.error("'sync' without 'tsMs' and 'seq'");
        }
        batchOpen = true;
        instance = -1;
    }

    private void endBatch() throws IOException {
        for (InstanceAdapter adapter : instancesToDecide) {
            try {
                adapter.runDecisions(now);
            } catch (RuntimeException e) {
                e.printStackTrace();
                adapter.reportFailure("the controller failed: " + e);
            }
        }
        instancesToDecide.clear();
        batchOpen = false;
        reply.startLine("end").field("seq", batchNumber).endLine();
        reply.sendTo(out);
    }

    private void createInstance() {
        long seed = 0;
        boolean seedGiven = false;
        String options = null;
        while (line.nextField()) {
            if (line.keyIs("salt")) {
                seed = line.wholeNumber();
                seedGiven = true;
            } else if (line.keyIs("options")) {
                options = line.restOfLine();
            }
        }
        if (!seedGiven || options == null) {
            throw line.error("'born' without 'salt' and 'options'");
        }
        DeploymentReader deploymentReader;
        try {
            deploymentReader = new DeploymentReader(options);
        } catch (IllegalArgumentException e) {
            throw line.error(e.getMessage());
        }
        InstanceAdapter adapter = new InstanceAdapter(instance, reply, deploymentReader, seed, now);
        instancesToDecide.remove(instances.put(instance, adapter));
        instancesToDecide.add(adapter);
    }

    private void handleEvent(String name) {
        InstanceAdapter adapter = instances.get(instance);
        if (adapter == null) {
            throw line.error("'" + name + "' for an unknown instance: " + instance);
        }
        instancesToDecide.add(adapter);
        switch (name) {
            case "inbound" -> adapter.onInbound(line, now);
            case "ring" -> adapter.onTimer(line, now);
            case "wants_call" -> {
                Exchange ex = adapter.lookUp(line, requiredNumber("rid"));
                if (ex != null) {
                    adapter.controller.onCallRequested(ex, now);
                }
            }
            case "client_left" -> {
                Exchange ex = adapter.lookUp(line, requiredNumber("rid"));
                if (ex != null) {
                    adapter.controller.onCallerDisconnected(ex, now);
                }
            }
            case "run_over" -> onRunOrCallEnded(adapter, true);
            case "call_result" -> onRunOrCallEnded(adapter, false);
            case "wind_down" -> {
                long stopAt = Long.MIN_VALUE;
                while (line.nextField()) {
                    if (line.keyIs("clientDeadlineMs")) {
                        stopAt = line.tenthsOfMs();
                    }
                }
                if (stopAt == Long.MIN_VALUE) {
                    throw line.error("'wind_down' without 'clientDeadlineMs'");
                }
                adapter.controller.startDrain(stopAt, now);
            }
            case "halt" -> {
                instancesToDecide.remove(adapter);
                instances.remove(instance);
            }
            default -> throw line.error("unknown message '" + name + "'");
        }
    }

    private void onRunOrCallEnded(InstanceAdapter adapter, boolean isRun) {
        long id = -1;
        Exchange.Outcome outcome = null;
        long duration = 0;
        while (line.nextField()) {
            if (line.keyIs("rid")) {
                id = line.wholeNumber();
            } else if (line.keyIs("disposition")) {
                outcome = parseOutcome();
            } else if (line.keyIs("costTimeMs")) {
                duration = line.tenthsOfMs();
            }
        }
        if (id < 0 || outcome == null) {
            throw line.error("'" + line.name() + "' without 'rid' and 'disposition'");
        }
        Exchange ex = adapter.lookUp(line, id);
        if (ex == null) {
            return;
        }
        if (isRun) {
            adapter.controller.onRunEnded(ex, outcome, duration, now);
        } else {
            adapter.controller.onCallEnded(ex, outcome, duration, now);
        }
    }

    private Exchange.Outcome parseOutcome() {
        return switch (line.text()) {
            case "completed" -> Exchange.Outcome.COMPLETED;
            case "errored" -> Exchange.Outcome.ERRORED;
            case "saturated" -> Exchange.Outcome.CALLEE_SATURATED;
            case "overdue" -> Exchange.Outcome.TIMED_OUT;
            case "refused_conn" -> Exchange.Outcome.CONNECTION_REFUSED;
            case "severed" -> Exchange.Outcome.CONNECTION_LOST;
            case "recalled" -> Exchange.Outcome.PREEMPTED;
            case "superseded" -> Exchange.Outcome.NOT_STARTED;
            default -> throw line.badValue("a known outcome");
        };
    }

    private long requiredNumber(String key) {
        long value = -1;
        while (line.nextField()) {
            if (line.keyIs(key)) {
                value = line.wholeNumber();
            }
        }
        if (value < 0) {
            throw line.error("'" + line.name() + "' without a valid '" + key + "'");
        }
        return value;
    }
}
