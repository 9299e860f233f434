import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Drawn disruptions, to look for faults: not a case. Checks answers, runs, keys, the drain and the process; reads
 * system properties: seed, seconds, what (kinds of disruption), window, every, run, gap, span, lines, sockets.
 */
final class Stress {
    public static void main(String[] args) throws Exception {
        long seed = Long.getLong("seed", 1);
        int seconds = Integer.getInteger("seconds", 40);
        String what = System.getProperty("what", "link,move,reset,drain,impatient,pause");
        int window = Integer.getInteger("window", 5000);
        Random random = new Random(seed);
        Rig rig = new Rig(args[0]);
        int broken = 0;
        try (rig) {
            Rig.Membership[] members = {new Rig.Membership(rig)};
            Rig.Interpreter interpreter = new Rig.Interpreter(rig, 6);
            interpreter.commandDelayMs = what.contains("link") ? 15 : 0;
            int port = Rig.freePort();
            int vm = interpreter.port();
            Path config = Setup.config(rig, "n1", port, vm, members[0].port(), 3200, 192, Integer.getInteger("sockets", 512), "single_shot", window);
            String base = Files.readString(config).replace("\"gain\":3,\"lateShare\":0.2,\"keyTtlMs\":" + window + "}]",
                    "\"gain\":3,\"lateShare\":0.2,\"keyTtlMs\":" + window + "},{\"name\":\"post\",\"effect\":\"guarded\","
                    + "\"aimMs\":2500,\"deadlineMs\":6000,\"gain\":2,\"lateShare\":0.2,\"keyTtlMs\":" + window + "}]")
                    .replace("[false,false]", "[false,false,false]").replace("\"idleMs\":15000", "\"idleMs\":1000");
            Files.writeString(config, base);
            Process process = rig.startInstance("n1", config);
            if (!rig.awaitReady(interpreter, port, process)) {
                rig.say("not ready");
                System.exit(2);
            }
            interpreter.runMs = Integer.getInteger("run", 100);
            List<Rig.Request> all = new ArrayList<>();
            List<Rig.Line> lines = new ArrayList<>();
            Map<String, List<Rig.Request>> byToken = new HashMap<>();
            Map<Rig.Request, Long> retryAt = new HashMap<>();
            long start = System.currentTimeMillis();
            long end = start + seconds * 1000L;
            long nextTrouble = start + 2000;
            long termAt = 0;
            int every = Integer.getInteger("every", 20);
            for (int n = 0; System.currentTimeMillis() < end; n++) {
                long now = System.currentTimeMillis();
                if (!process.isAlive() && termAt == 0) {
                    rig.say("CRASHED with " + process.exitValue());
                    broken++;
                    break;
                }
                if (now > nextTrouble) {
                    nextTrouble = now + Integer.getInteger("gap", 200) + random.nextInt(Integer.getInteger("span", 1500));
                    String[] kinds = what.split(",");
                    switch (kinds[random.nextInt(kinds.length)]) {
                        case "link" -> {
                            boolean within = random.nextBoolean();
                            rig.note("TROUBLE break link " + within);
                            interpreter.breakLink(within);
                        }
                        case "move" -> {
                            rig.note("TROUBLE move");
                            int newVm = interpreter.move();
                            members[0] = new Rig.Membership(rig);
                            Path next = rig.temp.resolve("next.json");
                            String text = Files.readString(config).replaceAll("\"vm\":\"[^\"]*\"",
                                    "\"vm\":\"127.0.0.1:" + newVm + "\"").replaceAll("\"members\":\"[^\"]*\"",
                                    "\"members\":\"127.0.0.1:" + members[0].port() + "\"");
                            Files.writeString(next, text);
                            Files.move(next, config, java.nio.file.StandardCopyOption.ATOMIC_MOVE);
                            Rig.signal(process, "HUP");
                        }
                        case "reset" -> {
                            if (!lines.isEmpty()) {
                                Rig.Line line = lines.get(random.nextInt(lines.size()));
                                rig.note("TROUBLE reset with " + line.openCount() + " open");
                                line.reset = true;
                                try {
                                    line.socket.setSoLinger(true, 0);
                                    line.close();
                                } catch (IOException e) {
                                    // It is closed.
                                }
                            }
                        }
                        case "pause" -> {
                            int ms = 50 + random.nextInt(500);
                            rig.note("TROUBLE pause " + ms);
                            Rig.signal(process, "STOP");
                            Thread.sleep(ms);
                            Rig.signal(process, "CONT");
                        }
                        case "slow" -> {
                            interpreter.runMs = interpreter.runMs > 100 ? 100 : 600;
                            rig.note("TROUBLE run " + interpreter.runMs);
                        }
                        case "rest" -> {
                            int ms = 900 + random.nextInt(400);
                            rig.note("TROUBLE rest " + ms);
                            Thread.sleep(ms);
                        }
                        case "hang" -> {
                            interpreter.hung = !interpreter.hung;
                            rig.note("TROUBLE hung " + interpreter.hung);
                        }
                        default -> { }
                    }
                }
                for (int i = 0; i < (what.contains("burst") && n % 50 == 0 ? 60 : 1); i++) {
                    Rig.Line line = null;
                    lines.removeIf(each -> each.ended);
                    List<Rig.Line> usable = new ArrayList<>();
                    for (Rig.Line each : lines) {
                        if (each.usable()) {
                            usable.add(each);
                        }
                    }
                    try {
                        if (usable.size() < Integer.getInteger("lines", 4)) {
                            line = new Rig.Line(rig, interpreter, port);
                            lines.add(line);
                        } else {
                            line = usable.get(random.nextInt(usable.size()));
                        }
                        int kind = random.nextInt(3);
                        Rig.Request request;
                        Rig.Request again = null;
                        for (Map.Entry<Rig.Request, Long> each : retryAt.entrySet()) {
                            if (each.getValue() <= now) {
                                again = each.getKey();
                                break;
                            }
                        }
                        if (again != null) {
                            retryAt.remove(again);
                            request = new Rig.Request(rig.newId(), "post", again.body, System.currentTimeMillis(),
                                    again.token);
                        } else {
                            byte[] body = new byte[random.nextInt(2000)];
                            random.nextBytes(body);
                            request = new Rig.Request(rig.newId(), kind == 0 ? "read" : kind == 1 ? "write" : "post",
                                    body, System.currentTimeMillis(), kind == 2 ? rig.newId() + rig.newId() : null);
                        }
                        all.add(request);
                        if (request.token != null) {
                            List<Rig.Request> tries = byToken.computeIfAbsent(request.token, any -> new ArrayList<>());
                            tries.add(request);
                            if (tries.size() < 5 && random.nextInt(3) > 0) {
                                retryAt.put(request, now + random.nextInt(window - 500));
                            }
                        }
                        line.send(request, 1, 24.5, random.nextDouble());
                    } catch (IOException e) {
                        rig.note("stub: " + e.getMessage());
                    }
                }
                Thread.sleep(Math.max(1, start + (long) (n + 1) * every - System.currentTimeMillis()));
            }
            interpreter.hung = false;
            if (process.isAlive() && what.contains("drain")) {
                rig.note("SIGTERM");
                termAt = System.currentTimeMillis();
                Rig.signal(process, "TERM");
                long next = termAt;
                while (process.isAlive() && System.currentTimeMillis() < termAt + 3200) {
                    next += 15;
                    try {
                        Rig.Line line = null;
                        for (Rig.Line each : lines) {
                            line = each.usable() ? each : line;
                        }
                        if (line == null) {
                            line = new Rig.Line(rig, interpreter, port);
                            lines.add(line);
                        }
                        Rig.Request request = new Rig.Request(rig.newId(), random.nextBoolean() ? "read" : "write",
                                new byte[50], System.currentTimeMillis(), null);
                        all.add(request);
                        line.send(request, 1, 24.5, random.nextDouble());
                    } catch (IOException e) {
                        // Refused.
                    }
                    Thread.sleep(Math.max(1, next - System.currentTimeMillis()));
                }
                long more = System.currentTimeMillis() + 3000;
                while (process.isAlive() && System.currentTimeMillis() < more) {
                    Thread.sleep(2);
                }
                rig.say("exit " + (System.currentTimeMillis() - termAt) + " ms after the notice");
                rig.note(process.isAlive() ? "STILL ALIVE at stop" : "ended with " + process.exitValue() + " after "
                        + (System.currentTimeMillis() - termAt));
                if (process.isAlive()) {
                    broken++;
                }
            } else {
                Thread.sleep(6500);
            }
            Thread.sleep(300);
            int none = 0, served = 0, refused = 0, failed = 0, late = 0, ended = 0;
            for (Rig.Request r : all) {
                long due = r.t0 + (r.method.equals("read") ? 3700 : 6000) + 150;
                if (r.writtenAt == 0) {
                    continue;
                }
                if (r.answers == 0 && r.resetByStub) {
                    continue;
                }
                if (r.answers == 0) {
                    if (r.connectionEnded) {
                        ended++;
                        rig.note("ENDED " + r.id);
                    } else {
                        none++;
                        rig.note("NO ANSWER " + r.id);
                    }
                } else {
                    if (r.answers > 1) {
                        broken++;
                        rig.say("TWO ANSWERS " + r.id);
                    }
                    served += r.code == Rig.SERVED ? 1 : 0;
                    refused += r.code == Rig.REFUSED ? 1 : 0;
                    failed += r.code == Rig.FAILED ? 1 : 0;
                    if (r.answeredAt > due) {
                        late++;
                        rig.note("LATE " + r.id + " " + (r.answeredAt - r.t0));
                    }
                    if (r.code == Rig.REFUSED && r.runs > 0) {
                        broken++;
                        rig.say("REFUSED AFTER RUN " + r.id + " " + r.method);
                    }
                    if (r.code == Rig.SERVED) {
                        boolean own = r.made != null && Arrays.equals(r.made, r.result);
                        boolean others = false;
                        if (r.token != null) {
                            for (Rig.Request other : byToken.get(r.token)) {
                                others |= other.made != null && Arrays.equals(other.made, r.result);
                            }
                        }
                        if (!own && !others) {
                            broken++;
                            rig.say("FOREIGN RESULT " + r.id);
                        }
                    }
                }
                if (r.runs > 1 && !r.method.equals("read")) {
                    broken++;
                    rig.say("RUN TWICE " + r.id);
                }
                if (termAt > 0 && r.runs > 0 && r.t0 > termAt + 2500 + 50) {
                    broken++;
                    rig.say("RUN IN DRAIN " + r.id + " " + (r.t0 - termAt));
                }
            }
            for (List<Rig.Request> tries : byToken.values()) {
                for (Rig.Request a : tries) {
                    for (Rig.Request b : tries) {
                        if (a != b && a.runs > 0 && b.runs > 0 && b.t0 >= a.t0 && b.t0 - a.t0 <= window) {
                            broken++;
                            rig.say("KEY RUN TWICE " + a.id + " " + b.id);
                        }
                        if (a != b && a.runs > 0 && b.t0 >= a.t0 && b.t0 - a.t0 <= window && b.code == Rig.REFUSED
                                && a.runAt < b.answeredAt) {
                            broken++;
                            rig.say("KEY REFUSED AFTER RUN " + a.id + " " + b.id);
                        }
                    }
                }
            }
            rig.say("seed " + seed + " sent " + all.size() + " served " + served + " refused " + refused + " failed "
                    + failed + " none " + none + " ended " + ended + " late " + late + " changed " + interpreter.changed
                    + " BROKEN " + broken);
            rig.noteLog("n1", 60);
        }
        System.exit(broken > 0 ? 1 : 0);
    }
}
