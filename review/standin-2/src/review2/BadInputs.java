package review2;
import java.net.*;
import java.util.*;
import java.nio.charset.StandardCharsets;
/**
 * Probe, not a case: which malformed inputs get neither a reply nor a close within 3 s. Arguments: root, folder.
 */
final class BadInputs {
    public static void main(String[] args) {
        Rig.main(args, rig -> {
            Rig.Interpreter interpreter = rig.new Interpreter(6, false);
            Rig.Members members = rig.new Members();
            Rig.Instance instance = rig.new Instance("n1");
            String settings = Rig.settings(6, 2500, Rig.group("level-read", "free", 1500, 3700, 5000, 1),
                    Rig.group("field-log", "single_shot", 2500, 6000, 2000, 3), Rig.group("series-put", "guarded", 2500, 6000, 5000, 3));
            instance.writeConfig(interpreter.port(), members.port(), 3200, settings);
            instance.start();
            instance.awaitHealthy();
            Map<String, byte[]> in = new LinkedHashMap<>();
            Random r = new Random(1);
            byte[] junk = new byte[200]; r.nextBytes(junk);
            in.put("junk", junk);
            for (int type : new int[]{0, 1, 2, 4, 8, 16, 32, 64, 99}) {
                in.put("small type " + type, Rig.frame(type, 1, junk));
                byte[] f = Rig.frame(type, 1, new byte[20000]);
                in.put("big whole type " + type, f);
                in.put("big part type " + type, Arrays.copyOf(f, 17000));
                byte[] g = Rig.frame(type, 1, new byte[200000]);
                in.put("big part200 type " + type, Arrays.copyOf(g, 1000));
                in.put("length only " + type, Arrays.copyOf(g, 9));
            }
            in.put("zeros", new byte[100]);
            in.put("minlen2", new byte[]{0,0,0,5,2,0,0,0,1});
            in.put("minlen16", new byte[]{0,0,0,5,16,0,0,0,1});
            String[] base = {"method","level-read","rid","0123456789abcdef","t0",""+Rig.now(),"peer","9","acct","flaedivakt","mem","20","prio","0.5"};
            in.put("unknown id", Rig.frame(2,1,Rig.payload(new byte[5], base)));
            for (int i = 1; i < base.length; i += 2) for (String v : new String[]{"", "-1", "NaN", "1e400", "999999999999999999", "x", "0", "1e-300", "Infinity", "0x10", "٣"}) {
                String[] c = base.clone(); c[i] = v;
                in.put("field " + c[i-1] + "=" + v, Rig.frame(2,1,Rig.payload(new byte[5], c)));
            }
            for (int i = 0; i < base.length; i += 2) { List<String> c = new ArrayList<>(Arrays.asList(base)); c.remove(i); c.remove(i); in.put("without " + base[i], Rig.frame(2,1,Rig.payload(new byte[5], c.toArray(new String[0])))); }
            in.put("stream0", Rig.frame(2,0,Rig.payload(new byte[5], base)));
            in.put("keyed no token", Rig.frame(2,1,Rig.payload(new byte[5], "method","series-put","rid","0123456789abcde1","t0",""+Rig.now(),"peer","9","acct","flaedivakt","mem","20","prio","0.5")));
            in.put("keyed unknown id", Rig.frame(2,1,Rig.payload(new byte[5], "method","series-put","rid","0123456789abcde1","t0",""+Rig.now(),"peer","9","acct","flaedivakt","mem","20","prio","0.5","token","zz")));
            List<Thread> ts = new ArrayList<>();
            for (var e : in.entrySet()) {
                ts.add(Rig.daemon("x", () -> {
                    Socket s = new Socket(); s.connect(new InetSocketAddress("127.0.0.1", instance.port)); s.setSoTimeout(20000);
                    long t = Rig.now(); s.getOutputStream().write(e.getValue());
                    String what;
                    byte[] b = new byte[100];
                    try { int n = s.getInputStream().read(b); what = n < 0 ? "closed" : "type " + b[4] + " code " + (n > 9 ? b[9] : -1); } catch (java.net.SocketTimeoutException x) { what = "NOTHING"; } catch (Exception x) { what = x.toString(); }
                    long d = Rig.now() - t;
                    if (d > 2900 || what.contains("79")) System.out.println(e.getKey() + ": " + what + " after " + d);
                    s.close();
                }));
                if (ts.size() % 40 == 0) Thread.sleep(300);
            }
            for (Thread t : ts) t.join();
            System.out.println("tried " + in.size() + " alive " + instance.process.isAlive());
            return 0;
        });
    }
}
