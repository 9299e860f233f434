package review2;
import java.net.*;
import java.util.*;
/**
 * Probe, not a case: bad clients of one kind that come again and again. Arguments: root, folder, clients, kind, core or
 * "-". Kinds: 0 unreadable data, 1 60 MB, 2 silent, 3 half a request, 4 300 requests at once, 5 the same withdrawn, 6 again
 * after each refusal, 7 half a request and a close, 8 endless messages of type 2, 9 endless health checks.
 */
final class Rude {
    public static void main(String[] args) {
        int n = Integer.parseInt(args[2]); int kind = Integer.parseInt(args[3]); String core = args[4];
        Rig.main(args, rig -> {
            Rig.Interpreter interpreter = rig.new Interpreter(6, false);
            Rig.Members members = rig.new Members();
            Rig.Instance instance = rig.new Instance("n1");
            instance.sockets = 384;
            String settings = Rig.settings(6, 2500, Rig.group("level-read", "free", 1500, 3700, 5000, 1), Rig.group("field-log", "single_shot", 2500, 6000, 2000, 3), Rig.group("series-put", "guarded", 2500, 6000, 5000, 3));
            instance.writeConfig(interpreter.port(), members.port(), 3200, settings);
            instance.start();
            instance.awaitHealthy();
            interpreter.quiet = true;
            if (!core.equals("-")) new ProcessBuilder("taskset", "-a", "-cp", core, "" + instance.process.pid()).start().waitFor();
            Thread.sleep(1000);
            long t0 = Rig.now(); int[] noReply = new int[2]; long[] maxReply = new long[1];
            for (int i = 0; i < n; i++) {
                Rig.daemon("bad", () -> {
                    Random r = new Random();
                    while (Rig.now() < t0 + 12000) {
                        long c0 = Rig.now();
                        Socket s = new Socket(); 
                        try { s.connect(new InetSocketAddress("127.0.0.1", instance.port), 3000); } catch (java.io.IOException e) { continue; }
                        long[] first = new long[1]; boolean[] closed = new boolean[1];
                        int[] refusals = new int[1];
                        Thread rd = Rig.daemon("badr", () -> { byte[] b = new byte[8192]; try { int k; while ((k = s.getInputStream().read(b)) > 0) { if (first[0] == 0) first[0] = Rig.now(); synchronized (refusals) { refusals[0] += k; refusals.notifyAll(); } } } catch (java.io.IOException e) { } if (first[0] == 0) first[0] = Rig.now(); closed[0] = true; synchronized (refusals) { refusals.notifyAll(); } });
                        try {
                            var out = s.getOutputStream();
                            switch (kind) {
                                case 0 -> { byte[] j = new byte[300]; r.nextBytes(j); out.write(j); }
                                case 1 -> { out.write(new byte[]{3, (byte) 0x93, (byte) 0x87, 0, 2, 0, 0, 0, 1}); byte[] b = new byte[65536]; for (int k = 0; k < 920; k++) out.write(b); }
                                case 2 -> { }
                                case 3 -> { byte[] f = valid(r); out.write(f, 0, f.length / 2); }
                                case 4 -> { for (int k = 0; k < 300; k++) out.write(valid(r, k + 1)); }
                                case 5 -> { for (int k = 0; k < 300; k++) out.write(valid(r, k + 1)); Thread.sleep(r.nextInt(30)); s.setSoLinger(true, 0); s.close(); continue; }
                                case 6 -> { int k = 1; while (!closed[0] && Rig.now() < t0 + 12000) { int before = refusals[0]; out.write(valid(r, k++)); synchronized (refusals) { if (refusals[0] == before && !closed[0]) refusals.wait(3000); } } }
                                case 7 -> { byte[] f = valid(r); out.write(f, 0, f.length / 2); s.close(); continue; }
                                case 8 -> { byte[] f = Rig.frame(2, 1, new byte[262139]); while (Rig.now() < t0 + 12000) out.write(f); }
                                default -> { byte[] f = Rig.frame(16, 1, Rig.payload(new byte[0])); while (Rig.now() < t0 + 12000) out.write(f); }
                            }
                        } catch (java.io.IOException e) { }
                        long lim = kind == 1 ? 6000 : 3000;
                        while (first[0] == 0 && Rig.now() < c0 + lim + 1500) Thread.sleep(10);
                        synchronized (noReply) { noReply[0]++; if (first[0] == 0 || first[0] > c0 + lim) noReply[1]++; if (first[0] > 0) maxReply[0] = Math.max(maxReply[0], first[0] - c0); }
                        if (kind == 2) { while (!closed[0] && Rig.now() < t0 + 12000) Thread.sleep(50); }
                        s.close();
                    }
                });
            }
            List<Rig.Try> all = new ArrayList<>();
            Rig.Stub stub = null;
            while (Rig.now() < t0 + 12000) {
                Thread.sleep(50);
                Rig.Try t = rig.newTry(all.size() % 4 == 0 ? "field-log" : "level-read", null, 100, "b".getBytes());
                try { if (stub == null || !stub.usable()) stub = rig.new Stub(instance.port, 1, "flaedivakt"); try { stub.send(t); } catch (java.io.IOException e) { stub = rig.new Stub(instance.port, 1, "flaedivakt"); stub.send(t); } all.add(t); } catch (java.io.IOException e) { System.out.println("send: " + e + " at " + (Rig.now() - t0)); stub = null; }
            }
            Thread.sleep(7000);
            int none = 0, late = 0, max = 0, served = 0;
            for (Rig.Try t : all) { if (t.answers.isEmpty()) none++; else { int d = (int) (t.answers.get(0).at() - t.t0); max = Math.max(max, d); if (d > 3850) late++; if (t.answers.get(0).code() == 79) served++; } }
            System.out.println("sent " + all.size() + " served " + served + " none " + none + " late " + late + " max " + max + " badtries " + noReply[0] + " unanswered " + noReply[1] + " slowest " + maxReply[0] + " alive " + instance.process.isAlive());
            return 0;
        });
    }
    static byte[] valid(Random r) { return valid(r, 1); }
    static byte[] valid(Random r, int stream) {
        return Rig.frame(2, stream, Rig.payload(new byte[50], "method", "level-read", "rid", String.format("%016x", r.nextLong()), "t0", "" + Rig.now(), "peer", "9", "acct", "flaedivakt", "mem", "20", "prio", "0.5"));
    }
}
