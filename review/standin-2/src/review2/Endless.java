package review2;
import java.net.*;
import java.util.*;
/**
 * Probe, not a case: endless messages of one type. Arguments: root, folder, clients, type, core or "-".
 */
final class Endless {
    public static void main(String[] args) {
        int n = Integer.parseInt(args[2]); int type = Integer.parseInt(args[3]); String core = args[4];
        Rig.main(args, rig -> {
            Rig.Interpreter interpreter = rig.new Interpreter(6, false);
            Rig.Members members = rig.new Members();
            Rig.Instance instance = rig.new Instance("n1");
            instance.sockets = 384;
            String settings = Rig.settings(6, 2500, Rig.group("level-read", "free", 1500, 3700, 5000, 1), Rig.group("field-log", "single_shot", 2500, 6000, 2000, 3));
            instance.writeConfig(interpreter.port(), members.port(), 3200, settings);
            instance.start();
            instance.awaitHealthy();
            if (!core.equals("-")) new ProcessBuilder("taskset", "-a", "-cp", core, "" + instance.process.pid()).start().waitFor();
            Thread.sleep(1000);
            int[] closed = new int[1]; long t0 = Rig.now();
            for (int i = 0; i < n; i++) {
                Rig.daemon("bad", () -> {
                    Socket s = new Socket(); s.connect(new InetSocketAddress("127.0.0.1", instance.port));
                    Rig.daemon("badr", () -> { byte[] b = new byte[4096]; while (s.getInputStream().read(b) > 0) { } synchronized (closed) { closed[0]++; } });
                    byte[] f = Rig.frame(type, 1, new byte[262139]);
                    while (Rig.now() < t0 + 12000) s.getOutputStream().write(f);
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
            System.out.println("sent " + all.size() + " served " + served + " none " + none + " late " + late + " max " + max + " closed " + closed[0] + " alive " + instance.process.isAlive());
            return 0;
        });
    }
}
