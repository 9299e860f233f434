import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A client that sends the ids of open requests with a different body on sixteen connections, beside a usual client stub whose requests these
 * are. Rule: what the stub has written gets its final answer by its due time.
 */
final class CaseSameId {
    private static final int BAD_CONNECTIONS = 16;
    private static final int RUN_MS = 90;
    private static final int STUB_PERIOD_MS = 17;
    private static final int QUIET_MS = 3_000;
    private static final int PLAY_MS = 30_000;
    private static final int SLACK_MS = 150;

    /** For each connection of the bad client, the open requests whose ids it has still to send. */
    private final List<LinkedBlockingQueue<Rig.Request>> written = new ArrayList<>();
    private final AtomicLong badSent = new AtomicLong();
    private final AtomicLong badServed = new AtomicLong();
    private final AtomicLong badAnswered = new AtomicLong();

    public static void main(String[] args) {
        Rig.run(args[0], CaseSameId::start);
    }

    private static int start(Rig rig, boolean trouble) throws Exception {
        try (Rig.Membership members = new Rig.Membership(rig);
                Rig.Interpreter interpreter = new Rig.Interpreter(rig, 6)) {
            interpreter.runMs = RUN_MS;
            int port = Rig.freePort();
            Process process = rig.startInstance("n1", Setup.config(rig, "n1", port, interpreter.port(),
                    members.port(), 3200, 192, 512, "single_shot", 5000));
            if (rig.awaitReady(interpreter, port, process)) {
                return new CaseSameId().play(rig, interpreter, process, port, trouble);
            }
            rig.say("the instance was not ready in 30 s");
            return 2;
        }
    }

    private int play(Rig rig, Rig.Interpreter interpreter, Process process, int port, boolean trouble)
            throws Exception {
        long start = System.currentTimeMillis();
        long end = start + PLAY_MS;
        for (int i = 0; trouble && i < BAD_CONNECTIONS; i++) {
            int number = i;
            written.add(new LinkedBlockingQueue<>());
            Rig.daemon("bad" + i, () -> badClient(port, number, end));
        }
        List<Rig.Request> sent = new ArrayList<>();
        Rig.Line line = null;
        int connections = 0;
        int noConnection = 0;
        for (int n = 0; System.currentTimeMillis() < end && process.isAlive(); n++) {
            try {
                if (line == null || !line.usable()) {
                    line = new Rig.Line(rig, interpreter, port);
                    connections++;
                    rig.note("stub opens connection " + connections);
                }
                Rig.Request request = new Rig.Request(rig.newId(), n % 5 == 0 ? "write" : "read", new byte[200],
                        System.currentTimeMillis(), null);
                line.send(request, 1, 24.5, (n % 10) / 10.0);
                sent.add(request);
                if (System.currentTimeMillis() > start + QUIET_MS) {
                    written.forEach(each -> each.add(request));
                }
            } catch (IOException e) {
                noConnection++;
            }
            Thread.sleep(Math.max(1, start + (long) (n + 1) * STUB_PERIOD_MS - System.currentTimeMillis()));
        }
        Thread.sleep(6_500);
        int[] ends = new int[4];
        int late = 0;
        for (Rig.Request request : sent) {
            long due = request.t0 + (request.method.equals("read") ? 3700 : 6000) + SLACK_MS;
            if (request.answers == 0) {
                ends[3]++;
                rig.note("no final answer to " + request.id + ", written at " + (request.writtenAt - rig.begun)
                        + " ms" + (request.connectionEnded ? "; the instance ended the connection" : ""));
            } else {
                ends[request.code == Rig.SERVED ? 0 : request.code == Rig.REFUSED ? 1 : 2]++;
                late += request.answeredAt > due ? 1 : 0;
            }
        }
        rig.say("bad requests: sent " + badSent + ", answered " + badAnswered + ", served " + badServed
                + "; changed bodies at the interpreter " + interpreter.changed);
        rig.say("stub's requests: sent " + sent.size() + " on " + connections + " connections, served " + ends[0]
                + ", refused " + ends[1] + ", failed " + ends[2] + ", no answer " + ends[3] + ", late " + late
                + ", no connection " + noConnection);
        rig.noteLog("n1", 20);
        boolean broken = 1000 * (ends[3] + late) > 3 * sent.size() || badServed.get() > 0 || !process.isAlive();
        rig.say(broken ? "RULE BROKEN" : "rule held");
        return broken ? 1 : 0;
    }

    private void badClient(int port, int number, long end) throws InterruptedException {
        while (System.currentTimeMillis() < end) {
            try (Socket socket = new Socket()) {
                socket.setTcpNoDelay(true);
                socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1000);
                DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
                for (int stream = 1; System.currentTimeMillis() < end; stream++) {
                    Rig.Request open = written.get(number).poll(1000, TimeUnit.MILLISECONDS);
                    if (open == null) {
                        break;
                    }
                    Rig.Request other = new Rig.Request(open.id, open.method, new byte[] {1, 2, 3},
                            System.currentTimeMillis(), null);
                    socket.getOutputStream().write(Rig.requestFrame(stream, other, 900 + number, 24.5, 0.5));
                    badSent.incrementAndGet();
                    int type;
                    do {
                        int length = in.readInt();
                        type = in.readUnsignedByte();
                        in.readInt();
                        byte[] payload = in.readNBytes(length - 5);
                        if (type == Rig.ANSWER) {
                            badAnswered.incrementAndGet();
                            if ((payload[0] & 0xff) == Rig.SERVED) {
                                badServed.incrementAndGet();
                            }
                        }
                    } while (type != Rig.ANSWER);
                }
            } catch (IOException e) {
                Thread.sleep(5);
            }
        }
    }
}
