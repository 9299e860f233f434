package review2;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Bad clients that send endless messages, at full speed, to an instance that has one core. The messages have a legal
 * length and the type of a health check. They are read without end, without a reply, and the usual client stub's
 * requests get no answer in their time.
 */
final class Case8 {
    private static final int BAD_CLIENTS = 100;
    private static final int LOAD_MS = 12_000;
    private static final int SEND_EVERY_MS = 50;
    private static final int READ_DEADLINE_MS = 3700;
    private static final int LOG_DEADLINE_MS = 6000;
    /** The slack in the settings, and the 50 ms that sockets add. */
    private static final int SLACK_MS = 150;

    private Case8() {
    }

    public static void main(String[] args) {
        Rig.main(args, Case8::run);
    }

    private static int run(Rig rig) throws Exception {
        Rig.Interpreter interpreter = rig.new Interpreter(6, false);
        interpreter.quiet = true;
        Rig.Members members = rig.new Members();
        Rig.Instance instance = rig.new Instance("n1");
        instance.sockets = 384;
        String settings = Rig.settings(6, 2500, Rig.group("level-read", "free", 1500, READ_DEADLINE_MS, 5000, 1),
                Rig.group("field-log", "single_shot", 2500, LOG_DEADLINE_MS, 5000, 3));
        instance.writeConfig(interpreter.port(), members.port(), 3200, settings);
        instance.start();
        instance.awaitHealthy();
        instance.keepOnOneCore();
        Thread.sleep(1000);

        AtomicInteger replied = new AtomicInteger();
        AtomicInteger connected = new AtomicInteger();
        long start = Rig.now();
        for (int i = 0; rig.trouble && i < BAD_CLIENTS; i++) {
            Rig.daemon("bad client", () -> sendEndlessly(instance.port, start + LOAD_MS, connected, replied));
        }
        List<Rig.Try> sent = new ArrayList<>();
        Rig.Stub stub = null;
        while (Rig.now() < start + LOAD_MS) {
            Thread.sleep(SEND_EVERY_MS);
            Rig.Try attempt = rig.newTry(sent.size() % 4 == 0 ? "field-log" : "level-read", null, 100,
                    "gauge 12".getBytes(StandardCharsets.UTF_8));
            for (int i = 0; i < 2; i++) {
                if (stub == null || !stub.usable()) {
                    stub = rig.new Stub(instance.port, 1, "flaedivakt");
                }
                try {
                    stub.send(attempt);
                    sent.add(attempt);
                    break;
                } catch (IOException e) {
                    stub = null;
                }
            }
        }
        rig.note("bad clients: %d connected, %d got a reply or a close within 3 s", connected.get(), replied.get());
        Thread.sleep(LOG_DEADLINE_MS + 1500);

        int lost = 0;
        for (Rig.Try attempt : sent) {
            long due = attempt.t0 + (attempt.group.equals("field-log") ? LOG_DEADLINE_MS : READ_DEADLINE_MS) + SLACK_MS;
            boolean inTime = !attempt.answers.isEmpty() && attempt.answers.get(0).at() <= due;
            if (!inTime) {
                lost++;
                rig.note("%s (%s): %s", attempt.rid, attempt.group, attempt.answers.isEmpty() ? "no answer"
                        : "answered " + (attempt.answers.get(0).at() - due) + " ms after its time");
            }
        }
        rig.note("%d requests sent, %d without a final answer in their time; the rule allows 3 in 1,000", sent.size(),
                lost);
        return lost * 1000 > 3 * sent.size() ? 1 : 0;
    }

    private static void sendEndlessly(int port, long until, AtomicInteger connected, AtomicInteger replied)
            throws IOException {
        long connectedAt = Rig.now();
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 3000);
            connected.incrementAndGet();
            Rig.daemon("bad client's reader", () -> {
                byte[] buf = new byte[4096];
                boolean first = true;
                try {
                    for (int size = socket.getInputStream().read(buf); size > 0;
                            size = socket.getInputStream().read(buf)) {
                        if (first && Rig.now() <= connectedAt + 3000) {
                            replied.incrementAndGet();
                        }
                        first = false;
                    }
                } finally {
                    if (first && Rig.now() <= connectedAt + 3000) {
                        replied.incrementAndGet();
                    }
                }
            });
            OutputStream out = socket.getOutputStream();
            byte[] message = Rig.frame(16, 1, new byte[262_144 - 5]);
            while (Rig.now() < until) {
                out.write(message);
            }
        }
    }
}
