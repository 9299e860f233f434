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

/** Speaks the wire: hands each event to its instance as it is read, asks for decisions when a batch ends. */
public final class WireHost {
    private final LineParser line;
    private final OutputStream out;
    private final LineWriter reply = new LineWriter();
    private final Map<Integer, Door> doors = new TreeMap<>();
    private final Set<Door> touched = new LinkedHashSet<>();
    private long now;
    private long batch;
    private boolean open;
    private int instance = -1;

    public WireHost(InputStream in, OutputStream out) {
        line = new LineParser(in);
        this.out = out;
    }

    /** Runs until the input ends. */
    public void run() throws IOException {
        while (line.nextLine()) {
            String name = line.name();
            if (name.equals("sync")) {
                sync();
            } else if (!open) {
                throw line.fault("'" + name + "' outside of a batch");
            } else if (name.equals("commit")) {
                commit();
            } else if (name.equals("at")) {
                instance = (int) needed("instance");
            } else if (instance < 0) {
                throw line.fault("'" + name + "' before any 'at'");
            } else if (name.equals("born")) {
                born();
            } else {
                event(name);
            }
        }
        if (open) {
            throw line.fault("the input ends in the middle of a batch");
        }
    }

    private void sync() {
        if (open) {
            throw line.fault("'sync' within a batch");
        }
        boolean timed = false;
        boolean counted = false;
        while (line.nextField()) {
            if (line.keyIs("tsMs")) {
                now = line.tenths();
                timed = true;
            } else if (line.keyIs("seq")) {
                batch = line.whole();
                counted = true;
            }
        }
        if (!timed || !counted) {
            throw line.fault("'sync' without 'tsMs' and 'seq'");
        }
        open = true;
        instance = -1;
    }

    private void commit() throws IOException {
        for (Door door : touched) {
            try {
                door.decide(now);
            } catch (RuntimeException e) {
                e.printStackTrace();
                door.die("the controller failed: " + e);
            }
        }
        touched.clear();
        open = false;
        reply.line("end").field("seq", batch).endLine();
        reply.sendTo(out);
    }

    private void born() {
        long seed = 0;
        boolean seeded = false;
        String options = null;
        while (line.nextField()) {
            if (line.keyIs("salt")) {
                seed = line.whole();
                seeded = true;
            } else if (line.keyIs("options")) {
                options = line.restOfLine();
            }
        }
        if (!seeded || options == null) {
            throw line.fault("'born' without 'salt' and 'options'");
        }
        DeploymentReader facts;
        try {
            facts = new DeploymentReader(options);
        } catch (IllegalArgumentException e) {
            throw line.fault(e.getMessage());
        }
        Door door = new Door(instance, reply, facts, seed, now);
        touched.remove(doors.put(instance, door));
        touched.add(door);
    }

    private void event(String name) {
        Door door = doors.get(instance);
        if (door == null) {
            throw line.fault("'" + name + "' for an instance never born: " + instance);
        }
        touched.add(door);
        switch (name) {
            case "inbound" -> door.inbound(line, now);
            case "ring" -> door.ring(line, now);
            case "wants_call" -> {
                Exchange ex = door.known(line, needed("rid"));
                if (ex != null) {
                    door.controller.wantsCall(ex, now);
                }
            }
            case "client_left" -> {
                Exchange ex = door.known(line, needed("rid"));
                if (ex != null) {
                    door.controller.callerLeft(ex, now);
                }
            }
            case "run_over" -> ended(door, true);
            case "call_result" -> ended(door, false);
            case "wind_down" -> {
                long stop = Long.MIN_VALUE;
                while (line.nextField()) {
                    if (line.keyIs("clientDeadlineMs")) {
                        stop = line.tenths();
                    }
                }
                if (stop == Long.MIN_VALUE) {
                    throw line.fault("'wind_down' without 'clientDeadlineMs'");
                }
                door.controller.leave(stop, now);
            }
            case "halt" -> {
                touched.remove(door);
                doors.remove(instance);
            }
            default -> throw line.fault("unknown message '" + name + "'");
        }
    }

    private void ended(Door door, boolean run) {
        long id = -1;
        Exchange.Outcome outcome = null;
        long took = 0;
        while (line.nextField()) {
            if (line.keyIs("rid")) {
                id = line.whole();
            } else if (line.keyIs("disposition")) {
                outcome = outcome();
            } else if (line.keyIs("costTimeMs")) {
                took = line.tenths();
            }
        }
        if (id < 0 || outcome == null) {
            throw line.fault("'" + line.name() + "' without 'rid' and 'disposition'");
        }
        Exchange ex = door.known(line, id);
        if (ex == null) {
            return;
        }
        if (run) {
            door.controller.finished(ex, outcome, took, now);
        } else {
            door.controller.callEnded(ex, outcome, took, now);
        }
    }

    private Exchange.Outcome outcome() {
        return switch (line.text()) {
            case "completed" -> Exchange.Outcome.COMPLETED;
            case "errored" -> Exchange.Outcome.ERRORED;
            case "saturated" -> Exchange.Outcome.FULL;
            case "overdue" -> Exchange.Outcome.GIVEN_UP;
            case "refused_conn" -> Exchange.Outcome.OUT_OF_REACH;
            case "severed" -> Exchange.Outcome.CUT_OFF;
            case "recalled" -> Exchange.Outcome.STOPPED;
            case "superseded" -> Exchange.Outcome.NOTHING_STARTED;
            default -> throw line.badValue("a known outcome");
        };
    }

    private long needed(String key) {
        long value = -1;
        while (line.nextField()) {
            if (line.keyIs(key)) {
                value = line.whole();
            }
        }
        if (value < 0) {
            throw line.fault("'" + line.name() + "' without a usable '" + key + "'");
        }
        return value;
    }
}
