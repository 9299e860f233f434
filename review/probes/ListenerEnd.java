import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/** Connects in a tight loop while an instance drains and closes its listener: a probe of KNOWN-RED, not a case. */
final class ListenerEnd {
    private static final int STOP_MS = 900;
    /** The listener closes 500 ms before the stop. */
    private static final int LOOP_AFTER_NOTICE_MS = 330;

    public static void main(String[] args) throws Exception {
        int rounds = Integer.getInteger("rounds", 40);
        int threads = Integer.getInteger("threads", 16);
        int drainsWithCut = 0;
        long cutOff = 0;
        long answered = 0;
        try (Rig rig = new Rig(args[0]); Rig.Membership members = new Rig.Membership(rig);
                Rig.Interpreter interpreter = new Rig.Interpreter(rig, 6)) {
            interpreter.runMs = 1;
            for (int round = 0; round < rounds; round++) {
                int port = Rig.freePort();
                String name = "n" + round;
                Process process = rig.startInstance(name, Setup.config(rig, name, port, interpreter.port(),
                        members.port(), STOP_MS, 192, 512, "single_shot", 5000));
                if (!rig.awaitReady(interpreter, port, process)) {
                    System.out.println("not ready");
                    System.exit(2);
                }
                AtomicLong whole = new AtomicLong();
                AtomicLong cut = new AtomicLong();
                AtomicBoolean over = new AtomicBoolean();
                Rig.signal(process, "TERM");
                Thread.sleep(LOOP_AFTER_NOTICE_MS);
                List<Thread> loops = new ArrayList<>();
                for (int i = 0; i < threads; i++) {
                    loops.add(Rig.daemon("loop" + i, () -> {
                        while (!over.get()) {
                            connect(rig, interpreter, port, whole, cut);
                        }
                    }));
                }
                Thread.sleep(500);
                over.set(true);
                for (Thread loop : loops) {
                    loop.join(1500);
                }
                process.waitFor(3, TimeUnit.SECONDS);
                answered += whole.get();
                cutOff += cut.get();
                drainsWithCut += cut.get() > 0 ? 1 : 0;
            }
        }
        System.out.println("drains with a connection cut off " + drainsWithCut + " of " + rounds
                + ", connections cut off " + cutOff + ", answered " + answered);
        System.exit(0);
    }

    private static void connect(Rig rig, Rig.Interpreter interpreter, int port, AtomicLong whole, AtomicLong cut)
            throws InterruptedException {
        boolean connected = false;
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 500);
            connected = true;
            Rig.Request request = new Rig.Request(rig.newId(), "read", new byte[20], System.currentTimeMillis(), null);
            interpreter.known.put(request.id, request);
            socket.getOutputStream().write(Rig.requestFrame(1, request, 1, 5, 0.5));
            socket.setSoTimeout(1000);
            DataInputStream in = new DataInputStream(socket.getInputStream());
            int type;
            do {
                int length = in.readInt();
                type = in.readUnsignedByte();
                in.readInt();
                in.readNBytes(length - 5);
            } while (type != Rig.ANSWER);
            whole.incrementAndGet();
        } catch (IOException e) {
            if (connected) {
                cut.incrementAndGet();
            } else {
                Thread.sleep(1);
            }
        }
    }
}
