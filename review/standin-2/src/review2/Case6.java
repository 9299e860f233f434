package review2;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * A relay that is 8.4 times slower, and a client stub that gives a try of a deduplicated exchange up after 0.34 of the
 * deadline and tries again. On the slow machine reading alone takes longer than the window for repeats, and both tries
 * are run, though the second reaches the machine within the window of the first.
 */
final class Case6 {
    private static final int WINDOW_MS = 1100;
    private static final double MEAN_WORK_MS = 520;
    private static final double READ_SHARE = 0.28;
    private static final int DEADLINE_MS = 3000;
    /** The smallest share of the deadline after which a try is given up, try_share in BENCH-vetchrill.md. */
    private static final int TRY_AGAIN_AFTER_MS = (int) (0.34 * DEADLINE_MS);
    private static final int EXCHANGES = 3;

    private Case6() {
    }

    public static void main(String[] args) {
        Rig.main(args, Case6::run);
    }

    private static int run(Rig rig) throws Exception {
        double slowdown = rig.trouble ? 8.4 : 1;
        long readMs = Math.round(MEAN_WORK_MS * READ_SHARE * slowdown);
        rig.note("the machine is %.1f times slower; reading takes it %d ms; the window is %d ms", slowdown, readMs,
                WINDOW_MS);
        Rig.Interpreter interpreter = rig.new Interpreter(6, false);
        interpreter.slowdown = slowdown;
        Rig.Members members = rig.new Members();
        Rig.Instance instance = rig.new Instance("n1");
        String settings = Rig.settings(6, 2500, Rig.group("level-read", "free", 1500, 3700, 5000, 1),
                Rig.group("field-log", "guarded", 2500, DEADLINE_MS, WINDOW_MS, 3));
        instance.writeConfig(interpreter.port(), members.port(), 3200, settings);
        instance.start();
        instance.awaitHealthy();

        List<List<Rig.Try>> exchanges = new ArrayList<>();
        for (int i = 0; i < EXCHANGES; i++) {
            String token = "measurement-" + i;
            byte[] body = ("discharge at gauge " + i).getBytes(StandardCharsets.UTF_8);
            List<Rig.Try> attempts = new ArrayList<>();
            exchanges.add(attempts);
            attempts.add(reachMachine(rig, instance, token, body, readMs));
            Thread.sleep(TRY_AGAIN_AFTER_MS);
            attempts.add(reachMachine(rig, instance, token, body, readMs));
            Thread.sleep(6000);
        }
        Thread.sleep(5000);

        int broken = 0;
        for (List<Rig.Try> attempts : exchanges) {
            List<Rig.Try> run = new ArrayList<>();
            for (Rig.Try attempt : attempts) {
                for (int i = 0; i < attempt.runStarts.size(); i++) {
                    run.add(attempt);
                }
            }
            boolean twice = run.size() > 1 && run.get(1).t0 - run.get(0).t0 <= WINDOW_MS;
            rig.note("%s: %d tries, run %d times%s", attempts.get(0).token, attempts.size(), run.size(),
                    run.size() < 2 ? "" : ", the second try reached the machine "
                            + (run.get(1).t0 - run.get(0).t0) + " ms after the first");
            broken += twice ? 1 : 0;
        }
        return broken > 0 ? 1 : 0;
    }

    /** A try reaches the machine now, and is written to the instance once the machine has read it. */
    private static Rig.Try reachMachine(Rig rig, Rig.Instance instance, String token, byte[] body, long readMs) {
        Rig.Try attempt = rig.newTry("field-log", token, MEAN_WORK_MS, body);
        rig.note("%s, token %s, reaches the machine", attempt.rid, token);
        ScheduledFuture<?> ignored = rig.timer.schedule(() -> {
            try {
                rig.new Stub(instance.port, 1, "flaedivakt").send(attempt);
            } catch (IOException e) {
                rig.note("%s could not be sent: %s", attempt.rid, e);
            }
        }, readMs, TimeUnit.MILLISECONDS);
        return attempt;
    }
}
