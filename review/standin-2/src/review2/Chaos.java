package review2;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.*;
import java.util.concurrent.*;

/**
 * Probe, not a case: one instance under random load with random troubles, and a check of the rules on each request.
 * Arguments: root, folder, seed, kinds (link, loss, garble, hup, reset, stop, bad, herd, wide, drain), seconds, requests a
 * second, and a core to keep the instance on, if any.
 */
final class Chaos { static int maxStubs = 30;
    public static void main(String[] args) {
        long seed = Long.parseLong(args[2]);
        Set<String> kinds = new HashSet<>(Arrays.asList(args[3].split(",")));
        int seconds = Integer.parseInt(args[4]);
        double rate = Double.parseDouble(args[5]);
        Rig.main(args, rig -> {
            Random random = new Random(seed);
            Rig.Interpreter interpreter = rig.new Interpreter(6, false);
            Rig.Members[] members = {rig.new Members(), rig.new Members()};
            Rig.Instance instance = rig.new Instance("n1");
            String settings = Rig.settings(6, 2500, Rig.group("level-read", "free", 1500, 3700, 5000, 1),
                    Rig.group("field-log", "single_shot", 2500, 6000, 5000, 3),
                    Rig.group("series-put", "guarded", 2500, 6000, 5000, 1));
            if (kinds.contains("wide")) { instance.sockets = 384; maxStubs = 175; } instance.writeConfig(interpreter.port(), members[0].port(), 3200, settings);
            interpreter.garbles = kinds.contains("garble");
            instance.start();
            instance.awaitHealthy(); if (args.length > 6) { new ProcessBuilder("taskset", "-a", "-cp", args[6], "" + instance.process.pid()).start().waitFor(); interpreter.quiet = true; }
            List<Rig.Try> all = Collections.synchronizedList(new ArrayList<>());
            Map<String, List<Rig.Try>> byToken = new ConcurrentHashMap<>();
            long end = Rig.now() + seconds * 1000L;
            ExecutorService pool = Executors.newCachedThreadPool(r -> { Thread t = new Thread(r); t.setDaemon(true); return t; });
            List<Rig.Stub> stubs = new CopyOnWriteArrayList<>();
            long drainAt = kinds.contains("drain") ? end - 3200 : Long.MAX_VALUE;
            Thread trouble = Rig.daemon("trouble", () -> {
                int n = 0;
                while (Rig.now() < end - 500) {
                    Thread.sleep(300 + random.nextInt(900));
                    n++;
                    if (kinds.contains("link") && random.nextInt(3) == 0) { rig.note("BREAK"); interpreter.breakLink(); }
                    if (kinds.contains("loss") && random.nextInt(2) == 0) { rig.note("LOSS"); interpreter.breakWithLoss(random.nextInt(3) == 0); }
                    if (kinds.contains("hup") && random.nextInt(4) == 0) {
                        interpreter.move();
                        instance.writeConfig(interpreter.port(), members[n % 2].port(), 3200, settings);
                        instance.signal("HUP");
                    }
                    if (kinds.contains("reset") && random.nextInt(2) == 0 && !stubs.isEmpty()) {
                        try { stubs.get(random.nextInt(stubs.size())).reset(); } catch (Exception e) { }
                    }
                    if (kinds.contains("stop") && random.nextInt(4) == 0) {
                        instance.signal("STOP"); Thread.sleep(200 + random.nextInt(300)); instance.signal("CONT");
                    }
                    if (kinds.contains("herd") && random.nextInt(4) == 0) { rig.note("HERD"); for (Rig.Stub s : stubs) if (random.nextInt(10) < 7) { try { s.reset(); } catch (Exception e) { } } }
                    if (kinds.contains("bad")) {
                        pool.submit(() -> { bad(instance.port, random.nextInt(5)); return null; });
                    }
                }
            });
            int k = 0;
            boolean drained = false;
            long termAt = 0;
            while (Rig.now() < end) {
                Thread.sleep((long) (-Math.log(1 - random.nextDouble()) * 1000 / rate));
                if (Rig.now() > drainAt && !drained) { drained = true; termAt = Rig.now(); instance.signal("TERM"); }
                int kind = random.nextInt(10);
                String g = kind < 5 ? "level-read" : kind < 7 ? "field-log" : "series-put";
                String token = kind < 7 ? null : "t" + k++;
                Rig.Try t = rig.newTry(g, token, 40 + random.nextInt(200), ("body " + k).getBytes());
                try { send(rig, instance, stubs, t, random); all.add(t); } catch (IOException e) { rig.note("send failed %s", e); continue; }
                if (token != null) {
                    byToken.computeIfAbsent(token, x -> new CopyOnWriteArrayList<>()).add(t);
                    if (random.nextInt(3) == 0) {
                        int d = random.nextInt(1500);
                        rig.timer.schedule(() -> {
                            Rig.Try r = rig.newTry(g, token, t.workMs, t.body);
                            try { synchronized (random) { send(rig, instance, stubs, r, random); } all.add(r); byToken.get(token).add(r); } catch (IOException e) { }
                            return null;
                        }, d, TimeUnit.MILLISECONDS);
                    }
                }
            }
            Thread.sleep(drained ? 500 : 7500);
            if (!drained && !instance.process.isAlive()) { rig.note("CRASHED"); }
            int bad = 0, served = 0, refused = 0, failed = 0, lostReset = 0;
            for (Rig.Try t : all) {
                int dl = t.group.equals("level-read") ? 3700 : 6000;
                String why = null;
                if (t.answers.isEmpty()) {
                    if (t.over && t.connectionEndedAt == 0) lostReset++;
                    else if (t.connectionEndedAt > 0) why = "connection ended, written " + (t.connectionEndedAt - t.writtenAt) + " ms before";
                    else if (Rig.now() - t.t0 > dl) why = "no answer";
                } else {
                    Rig.Answer a = t.answers.get(0);
                    if (t.answers.size() > 1) why = "two answers";
                    if (a.at() > t.t0 + dl + 150) why = "late answer " + (a.at() - t.t0);
                    if (a.code() == Rig.SERVED) { served++;
                        String text = new String(a.body());
                        boolean ok = text.equals(t.result());
                        if (t.token != null) for (Rig.Try o : byToken.get(t.token)) ok |= text.equals(o.result()) && !o.runStarts.isEmpty();
                        if (!ok) why = "foreign result " + text;
                    } else if (a.code() == Rig.REFUSED) { refused++; if (!t.runStarts.isEmpty() && !t.group.equals("level-read")) why = "refused after run"; }
                    else failed++;
                }
                if (t.group.equals("field-log") && t.runStarts.size() > 1) why = "ran twice";
                if (drained) for (long s : t.runStarts) if (t.t0 > termAt + 2550) why = "run after grace";
                if (why != null) { bad++; rig.note("VIOLATION %s %s: %s", t.rid, t.group, why); System.out.println("VIOLATION " + t.rid + " " + t.group + " " + why); }
            }
            for (List<Rig.Try> l : byToken.values()) {
                int runs = 0; for (Rig.Try t : l) runs += t.runStarts.size();
                if (runs > 1) { bad++; System.out.println("VIOLATION token " + l.get(0).token + " runs " + runs); rig.note("VIOLATION token %s runs %d", l.get(0).token, runs); }
            }
            System.out.println("sent " + all.size() + " served " + served + " refused " + refused + " failed " + failed + " reset " + lostReset + " bad " + bad + " errors " + interpreter.errors + " alive " + instance.process.isAlive());
            return bad > 0 ? 1 : 0;
        });
    }
    static synchronized void send(Rig rig, Rig.Instance instance, List<Rig.Stub> stubs, Rig.Try t, Random random) throws IOException {
        stubs.removeIf(s -> s.toldToClose || s.endedAt > 0 || s.socket.isClosed());
        Rig.Stub stub = null;
        for (Rig.Stub s : stubs) if (s.usable() && random.nextInt(maxStubs > 30 ? 120 : 3) == 0) { stub = s; break; }
        if (stub == null) { stub = rig.new Stub(instance.port, random.nextInt(20), "flaedivakt"); stubs.add(stub); if (stubs.size() > maxStubs) stubs.remove(0); }
        stub.send(t);
    }
    static void bad(int port, int kind) throws Exception {
        List<Socket> l = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            Socket s = new Socket(); s.connect(new InetSocketAddress("127.0.0.1", port), 1000); l.add(s);
            Rig.daemon("badreader", () -> { byte[] b = new byte[4096]; while (s.getInputStream().read(b) > 0) { } });
            byte[] junk = new byte[200]; new Random().nextBytes(junk);
            try {
            switch (kind) {
                case 0 -> { }
                case 1 -> s.getOutputStream().write(junk);
                case 2 -> { for (int j = 0; j < 50; j++) s.getOutputStream().write(Rig.frame(2, j + 1, junk)); }
                case 3 -> { byte[] f = Rig.frame(2, 1, Rig.payload(new byte[10], "method", "level-read", "rid", String.format("%016x", new Random().nextLong()), "t0", "" + Rig.now(), "peer", "9", "acct", "flaedivakt", "mem", "20", "prio", "0.5")); s.getOutputStream().write(f); }
                default -> s.getOutputStream().write(new byte[]{0, 0, 1});
            }
            } catch (IOException e) { }
        }
        Thread.sleep(3000);
        for (Socket s : l) s.close();
    }
}
