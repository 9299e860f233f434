package review2;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Bad clients that send the ids of open requests with another body, and the same again as soon as they are turned away,
 * while the link to the interpreter breaks now and then and its notices come in pieces. Now and then a bad client is
 * answered 'served', with the result that was made for the request of the usual client stub.
 */
final class Case7 {
    private static final int BAD_CLIENTS = 5;
    private static final int LOAD_MS = 60_000;
    private static final int BREAK_EVERY_MS = 1_000;
    private static final int PIECE_DELAY_MS = 30;
    private static final double WORK_MS = 400;
    private static final int SEND_EVERY_MS = 160;
    private static final int FOLLOW_MS = 1_200;

    private Case7() {
    }

    public static void main(String[] args) {
        Rig.main(args, Case7::run);
    }

    private static int run(Rig rig) throws Exception {
        Rig.Interpreter interpreter = rig.new Interpreter(6, false);
        interpreter.quiet = true;
        interpreter.sendInPieces(PIECE_DELAY_MS);
        Rig.Members members = rig.new Members();
        Rig.Instance instance = rig.new Instance("n1");
        String settings = Rig.settings(6, 2500, Rig.group("level-read", "free", 1500, 3700, 5000, 1),
                Rig.group("field-log", "single_shot", 2500, 6000, 5000, 3));
        instance.writeConfig(interpreter.port(), members.port(), 3200, settings);
        instance.start();
        instance.awaitHealthy();

        List<Rig.Try> fresh = Collections.synchronizedList(new ArrayList<>());
        AtomicInteger served = new AtomicInteger();
        AtomicInteger answers = new AtomicInteger();
        long end = Rig.now() + LOAD_MS;
        for (int i = 0; i < BAD_CLIENTS; i++) {
            int number = 90 + i;
            Rig.daemon("bad client", () -> {
                while (Rig.now() < end) {
                    Rig.Try victim = null;
                    synchronized (fresh) {
                        if (!fresh.isEmpty()) {
                            victim = fresh.remove(fresh.size() - 1);
                            fresh.clear();
                        }
                    }
                    if (victim == null || victim.over) {
                        Thread.sleep(1);
                    } else {
                        follow(rig, instance.port, number, victim, served, answers);
                    }
                }
            });
        }
        if (rig.trouble) {
            rig.timer.scheduleAtFixedRate(() -> {
                try {
                    rig.note("the link to the interpreter breaks");
                    interpreter.breakLink();
                } catch (IOException e) {
                    rig.note("%s", e);
                }
            }, BREAK_EVERY_MS, BREAK_EVERY_MS, java.util.concurrent.TimeUnit.MILLISECONDS);
        }
        Rig.Stub stub = null;
        int sent = 0;
        while (Rig.now() < end) {
            Thread.sleep(SEND_EVERY_MS);
            if (stub == null || !stub.usable()) {
                stub = rig.new Stub(instance.port, 1, "flaedivakt");
            }
            Rig.Try attempt = rig.newTry("level-read", null, WORK_MS,
                    ("read gauge " + sent).getBytes(StandardCharsets.UTF_8));
            stub.send(attempt);
            sent++;
            fresh.add(attempt);
        }
        int twice = 0;
        for (Rig.Try attempt : rig.tries.values()) {
            twice += attempt.runStarts.size() > 1 ? 1 : 0;
        }
        rig.note("%d requests of the usual stub, %d of them (repeatable) run twice", sent, twice);
        rig.note("%d answers to bad clients, %d of them 'served'", answers.get(), served.get());
        return served.get() > 0 ? 1 : 0;
    }

    /** Sends the id of the victim with another body, and the same again as soon as it is turned away. */
    private static void follow(Rig rig, int port, int number, Rig.Try victim, AtomicInteger served,
            AtomicInteger answers) {
        long until = Rig.now() + FOLLOW_MS;
        while (Rig.now() < until) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress("127.0.0.1", port), 2000);
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(5000);
                DataInputStream in = new DataInputStream(socket.getInputStream());
                int stream = 0;
                boolean mayAskAgain = true;
                while (mayAskAgain && Rig.now() < until) {
                    Rig.Try copy = new Rig.Try();
                    copy.rid = victim.rid;
                    copy.group = victim.group;
                    copy.body = "another body".getBytes(StandardCharsets.UTF_8);
                    copy.t0 = Rig.now();
                    socket.getOutputStream().write(Rig.requestFrame(copy, ++stream, number, "flaedivakt", 24.5, 0.5));
                    byte[] frame = Rig.frameFrom(in);
                    while (frame != null && frame[0] == 64) {
                        mayAskAgain = false;
                        frame = Rig.frameFrom(in);
                    }
                    if (frame == null) {
                        break;
                    }
                    answers.incrementAndGet();
                    if ((frame[5] & 0xff) == Rig.SERVED) {
                        served.incrementAndGet();
                        rig.note("bad client %d, which sent the id %s with another body, is answered served: %s", number,
                                victim.rid, new String(frame, 7, frame.length - 7, StandardCharsets.UTF_8));
                    }
                }
            } catch (IOException e) {
                // It connects again.
            }
        }
    }
}
