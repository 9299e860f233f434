package review2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Bad clients that send hundreds of requests at once, and the same again as soon as they are turned away, to an instance
 * whose configuration gives it 64 MB. It takes more.
 */
final class Case9 {
    private static final int MEMORY_MB = 64;
    private static final int DESCRIPTORS = 384;
    private static final int BAD_CONNECTIONS = 150;
    private static final int OPEN_ON_EACH = 32;
    private static final int BODY_BYTES = 2048;
    private static final int LOAD_MS = 10_000;
    private static final int SEND_EVERY_MS = 100;

    private Case9() {
    }

    public static void main(String[] args) {
        Rig.main(args, Case9::run);
    }

    private static int run(Rig rig) throws Exception {
        Rig.Interpreter interpreter = rig.new Interpreter(6, false);
        interpreter.quiet = true;
        Rig.Members members = rig.new Members();
        Rig.Instance instance = rig.new Instance("n1");
        instance.sockets = DESCRIPTORS;
        instance.memoryMb = MEMORY_MB;
        String settings = Rig.settings(6, 2500, Rig.group("level-read", "free", 1500, 3700, 5000, 1),
                Rig.group("field-log", "single_shot", 2500, 6000, 5000, 3));
        instance.writeConfig(interpreter.port(), members.port(), 3200, settings);
        instance.start();
        instance.awaitHealthy();

        long end = Rig.now() + LOAD_MS;
        AtomicInteger answered = new AtomicInteger();
        for (int i = 0; rig.trouble && i < BAD_CONNECTIONS; i++) {
            Rig.daemon("bad client", () -> {
                while (Rig.now() < end) {
                    flood(instance.port, end, answered);
                }
            });
        }
        long peakKb = 0;
        long sampledAt = 0;
        Rig.Stub stub = null;
        while (Rig.now() < end && instance.process.isAlive()) {
            Thread.sleep(SEND_EVERY_MS);
            if (stub == null || !stub.usable()) {
                stub = rig.new Stub(instance.port, 1, "flaedivakt");
            }
            try {
                stub.send(rig.newTry("level-read", null, 100, "gauge 12".getBytes(StandardCharsets.UTF_8)));
            } catch (IOException e) {
                stub = null;
            }
            long anonymousKb = anonymousKb(instance.process.pid());
            peakKb = Math.max(peakKb, anonymousKb);
            if (Rig.now() - sampledAt > 1000) {
                sampledAt = Rig.now();
                rig.note("memory of the process, without mapped files: %d kB", anonymousKb);
            }
        }
        rig.note("bad clients: %d requests answered", answered.get());
        rig.note("most memory, without mapped files: %d kB; the limit is %d MB, %d kB", peakKb, MEMORY_MB,
                MEMORY_MB << 10);
        return peakKb > MEMORY_MB << 10 ? 1 : 0;
    }

    private static long anonymousKb(long pid) throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + pid + "/status"))) {
            if (line.startsWith("RssAnon:")) {
                return Long.parseLong(line.replaceAll("[^0-9]", ""));
            }
        }
        throw new IOException("the system does not tell the memory of a process");
    }

    /** Sends as many requests as may be open on a connection, and the next as soon as all are answered. */
    private static void flood(int port, long end, AtomicInteger answered) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 3000);
            socket.setSoTimeout(10_000);
            DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
            int stream = 0;
            boolean toldToClose = false;
            while (!toldToClose && Rig.now() < end) {
                ByteArrayOutputStream requests = new ByteArrayOutputStream();
                for (int i = 0; i < OPEN_ON_EACH; i++) {
                    Rig.Try request = new Rig.Try();
                    request.rid = String.format("%016x", ThreadLocalRandom.current().nextLong());
                    request.group = "level-read";
                    request.body = new byte[BODY_BYTES];
                    request.t0 = Rig.now();
                    requests.writeBytes(Rig.requestFrame(request, ++stream, 9, "flaedivakt", 20, 0.5));
                }
                socket.getOutputStream().write(requests.toByteArray());
                for (int i = 0; i < OPEN_ON_EACH;) {
                    byte[] frame = Rig.frameFrom(in);
                    if (frame == null) {
                        return;
                    }
                    if (frame[0] == 64) {
                        toldToClose = true;
                    } else {
                        i++;
                        answered.incrementAndGet();
                    }
                }
            }
        } catch (IOException e) {
            // It connects again.
        }
    }
}
