import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A client that sends 256 requests at once, with ids that the interpreter does not know, and each the same again as
 * soon as it is turned away, beside a usual client stub. Rule: the instance does not end by itself, and what the stub
 * has written gets its final answer by its due time.
 */
final class CaseBadClient {
    private static final int CONNECTIONS = 8;
    private static final int OPEN_ON_EACH = 32;
    private static final int BODY_BYTES = 2048;
    private static final int WINDOW_MS = 5000;
    private static final int RUN_MS = 400;
    private static final int STUB_PERIOD_MS = 62;
    private static final int QUIET_MS = 5_000;
    private static final int PLAY_MS = 30_000;
    private static final int SLACK_MS = 150;

    private final AtomicLong sent = new AtomicLong();
    private final AtomicLong refused = new AtomicLong();
    private final AtomicLong failed = new AtomicLong();
    private final AtomicLong served = new AtomicLong();

    public static void main(String[] args) {
        Rig.run(args[0], CaseBadClient::start);
    }

    private static int start(Rig rig, boolean trouble) throws Exception {
        try (Rig.Membership members = new Rig.Membership(rig);
                Rig.Interpreter interpreter = new Rig.Interpreter(rig, 6)) {
            interpreter.runMs = RUN_MS;
            int port = Rig.freePort();
            Process process = rig.startInstance("n1", Setup.config(rig, "n1", port, interpreter.port(),
                    members.port(), 3200, 192, 512, "guarded", WINDOW_MS));
            if (rig.awaitReady(interpreter, port, process)) {
                return new CaseBadClient().play(rig, interpreter, process, port, trouble);
            }
            rig.say("the instance was not ready in 30 s");
            return 2;
        }
    }

    private int play(Rig rig, Rig.Interpreter interpreter, Process process, int port, boolean trouble)
            throws Exception {
        long start = System.currentTimeMillis();
        long end = start + PLAY_MS;
        for (int i = 0; trouble && i < CONNECTIONS; i++) {
            int number = i;
            Rig.daemon("bad" + i, () -> badClient(port, number, start + QUIET_MS, end));
        }
        rig.note(trouble ? "bad client from " + QUIET_MS + " ms on" : "no bad client");
        List<Rig.Request> requests = new ArrayList<>();
        Rig.Line line = null;
        int noConnection = 0;
        long nextNote = 0;
        for (int n = 0; System.currentTimeMillis() < end && process.isAlive(); n++) {
            try {
                if (line == null || !line.usable()) {
                    line = new Rig.Line(rig, interpreter, port);
                }
                boolean write = n % 7 == 0;
                Rig.Request request = new Rig.Request(rig.newId(), write ? "write" : "read", new byte[100],
                        System.currentTimeMillis(), write ? rig.newId() + rig.newId() : null);
                line.send(request, 1, 24.5, 0.9);
                requests.add(request);
            } catch (IOException e) {
                noConnection++;
            }
            if (System.currentTimeMillis() >= nextNote) {
                nextNote = System.currentTimeMillis() + 1000;
                rig.note("resident " + Math.round(Rig.memoryMb(process)[0]) + " MB; bad requests sent " + sent
                        + ", refused " + refused + ", failed " + failed + ", served " + served);
            }
            Thread.sleep(Math.max(1, start + (long) (n + 1) * STUB_PERIOD_MS - System.currentTimeMillis()));
        }
        boolean ended = !process.isAlive();
        if (!ended) {
            Thread.sleep(6_500);
            ended = !process.isAlive();
        }
        if (ended) {
            rig.say("the instance ended by itself, exit code " + process.exitValue());
        }
        int[] ends = new int[4];
        int late = 0;
        for (Rig.Request request : requests) {
            if (request.answers == 0) {
                ends[3]++;
            } else {
                ends[request.code == Rig.SERVED ? 0 : request.code == Rig.REFUSED ? 1 : 2]++;
                late += request.answeredAt > request.t0 + (request.method.equals("read") ? 3700 : 6000) + SLACK_MS
                        ? 1 : 0;
            }
        }
        rig.say("bad requests: sent " + sent + ", refused " + refused + ", failed " + failed + ", served " + served);
        rig.say("stub's requests: sent " + requests.size() + ", served " + ends[0] + ", refused " + ends[1]
                + ", failed " + ends[2] + ", no answer " + ends[3] + ", late " + late + ", no connection "
                + noConnection);
        rig.noteLog("n1", 40);
        boolean broken = ended || 1000 * (ends[3] + late) > 3 * requests.size();
        rig.say(broken ? "RULE BROKEN" : "rule held");
        return broken ? 1 : 0;
    }

    private void badClient(int port, int number, long from, long end) throws InterruptedException {
        Random random = new Random(number);
        Thread.sleep(Math.max(1, from - System.currentTimeMillis()));
        while (System.currentTimeMillis() < end) {
            try (Socket socket = new Socket()) {
                socket.setTcpNoDelay(true);
                socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1000);
                talk(socket, number, random, end);
            } catch (IOException e) {
                Thread.sleep(20);
            }
        }
    }

    private Rig.Request unknown(Random random) {
        return new Rig.Request(String.format("%016x", random.nextLong()), "write", new byte[BODY_BYTES],
                System.currentTimeMillis(), String.format("%016x%016x", random.nextLong(), random.nextLong()));
    }

    private void talk(Socket socket, int number, Random random, long end) throws IOException {
        DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream(), 1 << 15));
        Map<Integer, Rig.Request> open = new HashMap<>();
        List<Rig.Request> next = new ArrayList<>();
        for (int i = 0; i < OPEN_ON_EACH; i++) {
            next.add(unknown(random));
        }
        int stream = 0;
        ByteArrayOutputStream batch = new ByteArrayOutputStream();
        while (System.currentTimeMillis() < end) {
            batch.reset();
            for (Rig.Request request : next) {
                open.put(++stream, request);
                // The same id, key and body, stamped as it comes to the machine again.
                batch.writeBytes(Rig.requestFrame(stream, new Rig.Request(request.id, request.method, request.body,
                        System.currentTimeMillis(), request.token), 900 + number, 24.5, 0.5));
                sent.incrementAndGet();
            }
            next.clear();
            socket.getOutputStream().write(batch.toByteArray());
            do {
                int length = in.readInt();
                int type = in.readUnsignedByte();
                Rig.Request request = open.remove(in.readInt());
                byte[] payload = in.readNBytes(length - 5);
                if (type == Rig.ANSWER && request != null) {
                    int code = payload[0] & 0xff;
                    (code == Rig.REFUSED ? refused : code == Rig.SERVED ? served : failed).incrementAndGet();
                    next.add(code == Rig.REFUSED ? request : unknown(random));
                }
            } while (next.isEmpty() || in.available() >= 11);
        }
    }
}
