package vetchrill.fuzz.chain;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import vetchrill.fuzz.Finding;

/**
 * The interpreter of the simulated chain: it runs what it is asked for, tells of it, and may be cut off at any byte.
 */
final class SimInterpreter {
    private record Notice(int number, byte[] bytes) {
    }

    private final ChainRun run;
    private final List<Notice> kept = new ArrayList<>();
    private final Map<String, Integer> running = new HashMap<>();
    private Link link;
    private int numbered;
    /** Counts its starts; what belongs to an earlier one never ends. */
    private int life;
    private boolean fresh;
    private long started;
    boolean bannerHeld;
    boolean answersGauges = true;
    boolean doubles;
    /** Runs end when they are told to. */
    boolean byHand;
    /** The next run that is asked for is lost, and the link with it. */
    boolean losesNext;
    int longest = 60;
    int bad;
    private final int cores = 2;
    private final List<Runnable> ends = new ArrayList<>();

    SimInterpreter(ChainRun run) {
        this.run = run;
        started = run.now() - 600_000;
    }

    /** One link: commands come in pieces and take their time, and so do notices. */
    final class Link implements SimPipe.Peer {
        final SimPipe pipe = new SimPipe(this);
        private byte[] heard = new byte[0];
        private final ChainRun.Way in = run.new Way();
        private final ChainRun.Way out = run.new Way();
        private boolean cut;
        private int waitingBanner = -1;

        @Override
        public void written(byte[] bytes) {
            if (losesNext && new String(bytes, StandardCharsets.ISO_8859_1).contains("APPLY ")) {
                losesNext = false;
                cut();
                return;
            }
            in.send(bytes, this::hears);
        }

        @Override
        public void ended() {
            // The chain closes its links at once.
        }

        @Override
        public void closed(boolean unread) {
            cut = true;
            link = link == this ? null : link;
        }

        /** Between any two bytes: what is on its way in either direction is lost. */
        void cut() {
            cut = true;
            link = link == this ? null : link;
            pipe.reset();
            run.ready(pipe);
        }

        void send(byte[] bytes) {
            out.send(bytes, piece -> {
                if (!cut) {
                    pipe.arrive(piece);
                    run.ready(pipe);
                }
            });
        }

        private void hears(byte[] bytes) {
            if (cut) {
                return;
            }
            heard = SimPipe.joined(heard, bytes);
            while (true) {
                int end = 0;
                while (end < heard.length && heard[end] != '\n') {
                    end++;
                }
                if (end == heard.length) {
                    return;
                }
                String line = new String(heard, 0, end - 1, StandardCharsets.ISO_8859_1);
                String[] words = line.split(" ");
                int after = end + 1;
                switch (words[0]) {
                    case "CONNECT" -> connected(this, Integer.parseInt(words[1]));
                    case "TOP" -> {
                        if (answersGauges && waitingBanner < 0) {
                            send(gauges(words[1]));
                        }
                    }
                    case "APPLY" -> {
                        int length = Integer.parseInt(words[3]);
                        if (heard.length < after + length + 2) {
                            return;
                        }
                        byte[] body = Arrays.copyOfRange(heard, after, after + length);
                        after += length + 2;
                        apply(words[1], words[2], body);
                    }
                    default -> throw new Finding("a command that the interpreter does not know");
                }
                heard = Arrays.copyOfRange(heard, after, heard.length);
            }
        }
    }

    private byte[] gauges(String tag) {
        double busy = Math.min(1, running.size() / (double) cores);
        return ("TOPS " + tag + " " + busy + " " + running.size() + " 0.1 3\r\n").getBytes(StandardCharsets.US_ASCII);
    }

    Link link() {
        return link;
    }

    Link dialled() {
        return new Link();
    }

    private void connected(Link to, int lastRead) {
        if (link != null && link != to) {
            link.cut();
        }
        link = to;
        if (lastRead > numbered) {
            // It has started anew, and takes its numbers up where the other side has got to.
            numbered = lastRead;
        }
        to.waitingBanner = lastRead;
        if (!bannerHeld) {
            banner();
        }
    }

    void banner() {
        if (link == null || link.waitingBanner < 0) {
            return;
        }
        int after = link.waitingBanner;
        link.waitingBanner = -1;
        link.send(("BANNER " + (fresh ? "new " : "old ") + (run.now() - started) / 10 + "\r\n")
                .getBytes(StandardCharsets.US_ASCII));
        for (Notice notice : kept) {
            if (notice.number > after) {
                link.send(notice.bytes);
            }
        }
    }

    private void tell(String text, byte[] rest) {
        byte[] bytes = SimPipe.joined(text.replace("#",
                Integer.toString(++numbered)).getBytes(StandardCharsets.US_ASCII),
                rest);
        kept.add(new Notice(numbered, bytes));
        if (link != null && link.waitingBanner < 0) {
            link.send(bytes);
            if (doubles) {
                link.send(bytes);
            }
        }
    }

    void remark() {
        tell("TRACE # VALUE is a word like any other\r\n", new byte[0]);
    }

    private void value(String id, String end, long took, byte[] result) {
        byte[] rest = SimPipe.joined(result, new byte[] {'\r', '\n'});
        tell("VALUE # " + id + " " + end + " " + took / 10.0 + " " + result.length + "\r\n", rest);
    }

    private void apply(String id, String group, byte[] body) {
        Ledger.Ex ex = run.ledger.asked(id, group, body, run.now());
        if (running.containsKey(id)) {
            return;
        }
        if (ex.answers > 0 || ex.excused) {
            // Its request is over: nothing is started.
            value(id, "gone", 0, new byte[0]);
            return;
        }
        run.ledger.begins(ex, run.now());
        int of = life;
        int n = ex.runs;
        long began = run.now();
        running.put(id, n);
        Runnable end = () -> {
            if (of == life && running.remove(id) != null) {
                ex.runOver = true;
                boolean fails = bad > 0 && run.below(bad + 1) > 0;
                value(id, fails ? "bad" : "good", run.now() - began, fails ? new byte[0] : run.ledger.result(ex, n));
            }
        };
        if (byHand) {
            ends.add(end);
        } else {
            run.at(began + 10L * run.below(1 + longest), end);
        }
    }

    /** All that runs by hand ends now. */
    void endAll() {
        List<Runnable> now = List.copyOf(ends);
        ends.clear();
        now.forEach(Runnable::run);
    }

    /** Its process dies and another comes up: what ran is gone, and nothing tells of it. */
    void restart() {
        life++;
        running.clear();
        kept.clear();
        fresh = true;
        started = run.now();
        if (link != null) {
            link.cut();
        }
    }
}
