import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * A client stub that stops waiting for reads without a word, waits for each write to the end of its time, and never
 * waits for more than 32 requests on a connection; and an interpreter that is slow for a while. Rule: every request
 * that the instance has gets its final answer in time. Counted are those that the stub goes on waiting for.
 */
final class CaseGivenUp {
    private static final int PATIENCE_MS = 500;
    private static final int STUB_PERIOD_MS = 17;
    private static final int RUN_MS = 70;
    private static final int SLOWER = 8;
    private static final int QUIET_MS = 5_000;
    private static final int SLOW_MS = 12_000;
    private static final int AFTER_MS = 5_000;
    private static final int MOST_OPEN = 32;
    private static final int SLACK_MS = 150;

    public static void main(String[] args) {
        Rig.run(args[0], CaseGivenUp::start);
    }

    private static int start(Rig rig, boolean trouble) throws Exception {
        try (Rig.Membership members = new Rig.Membership(rig);
                Rig.Interpreter interpreter = new Rig.Interpreter(rig, 6)) {
            interpreter.runMs = RUN_MS;
            int port = Rig.freePort();
            Process process = rig.startInstance("n1", Setup.config(rig, "n1", port, interpreter.port(),
                    members.port(), 3200, 192, 512, "single_shot", 5000));
            if (rig.awaitReady(interpreter, port, process)) {
                return play(rig, interpreter, process, port, trouble);
            }
            rig.say("the instance was not ready in 30 s");
            return 2;
        }
    }

    private static int play(Rig rig, Rig.Interpreter interpreter, Process process, int port, boolean trouble)
            throws Exception {
        List<Rig.Request> sent = new ArrayList<>();
        List<Rig.Line> lines = new ArrayList<>();
        int mostWaitedFor = 0;
        int noConnection = 0;
        Set<Rig.Request> givenUp = new HashSet<>();
        long start = System.currentTimeMillis();
        long slowFrom = start + QUIET_MS;
        long slowTo = slowFrom + SLOW_MS;
        long end = slowTo + AFTER_MS;
        boolean slow = false;
        for (int n = 0; System.currentTimeMillis() < end && process.isAlive(); n++) {
            long now = System.currentTimeMillis();
            boolean nowSlow = trouble && now >= slowFrom && now < slowTo;
            if (nowSlow != slow) {
                slow = nowSlow;
                interpreter.runMs = slow ? RUN_MS * SLOWER : RUN_MS;
                rig.note((slow ? "interpreter runs " + SLOWER + " times slower from here" : "interpreter as before")
                        + "; sent so far " + sent.size());
            }
            Rig.Line line = null;
            for (Rig.Line each : lines) {
                int waitedFor = 0;
                synchronized (each) {
                    for (Rig.Request request : each.open.values()) {
                        if (!request.over && request.method.equals("read")
                                && now - request.writtenAt >= PATIENCE_MS) {
                            request.over = true;
                            givenUp.add(request);
                            rig.note("stub stops waiting for " + request.id);
                        }
                        waitedFor += request.over ? 0 : 1;
                    }
                }
                mostWaitedFor = Math.max(mostWaitedFor, waitedFor);
                if (line == null && !each.closing && !each.ended && waitedFor < MOST_OPEN) {
                    line = each;
                }
            }
            try {
                if (line == null) {
                    line = new Rig.Line(rig, interpreter, port);
                    lines.add(line);
                    rig.note("stub opens connection " + lines.size());
                }
                Rig.Request request = new Rig.Request(rig.newId(), n % 5 == 0 ? "write" : "read", new byte[200],
                        System.currentTimeMillis(), null);
                line.send(request, 1, 24.5, (n % 10) / 10.0);
                sent.add(request);
            } catch (IOException e) {
                noConnection++;
            }
            Thread.sleep(Math.max(1, start + (long) (n + 1) * STUB_PERIOD_MS - System.currentTimeMillis()));
        }
        Thread.sleep(6_500);
        int[] ends = new int[4];
        int late = 0;
        int lostWaitedFor = 0;
        for (Rig.Request request : sent) {
            long due = request.t0 + (request.method.equals("read") ? 3700 : 6000) + SLACK_MS;
            if (request.answers == 0) {
                ends[3]++;
                lostWaitedFor += givenUp.contains(request) ? 0 : 1;
                rig.note("no final answer to " + request.id + (givenUp.contains(request) ? ", given up by the stub"
                        : ", waited for by the stub") + ", written at " + (request.writtenAt - rig.begun)
                        + " ms" + (request.connectionEnded ? "; the instance ended the connection" : ""));
            } else {
                ends[request.code == Rig.SERVED ? 0 : request.code == Rig.REFUSED ? 1 : 2]++;
                late += request.answeredAt > due && !givenUp.contains(request) ? 1 : 0;
            }
        }
        rig.say("sent " + sent.size() + ": served " + ends[0] + ", refused " + ends[1] + ", failed " + ends[2]
                + ", no answer " + ends[3] + ", of these waited for " + lostWaitedFor + ", late " + late
                + "; reads given up " + givenUp.size() + "; connections "
                + lines.size() + ", waited for at a time on one " + mostWaitedFor + " at most, no connection "
                + noConnection);
        rig.noteLog("n1", 20);
        boolean broken = 1000 * (lostWaitedFor + late) > 3 * sent.size() || !process.isAlive();
        rig.say(broken ? "RULE BROKEN" : "rule held");
        return broken ? 1 : 0;
    }
}
