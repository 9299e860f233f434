package vetchrill.fuzz.chain;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import vetchrill.fuzz.InvariantViolation;

/**
 * The interpreter of the simulation: starts the requested runs and sends notices. Its link may break after any byte,
 * and it keeps its notices to send them again when the instance has reconnected.
 */
final class SimInterpreter {
    /** A numbered message to the instance, kept for reconnects. */
    private record Notice(int number, byte[] bytes) {
    }

    private static final long UPTIME_AT_START_TENTHS_MS = 600_000;

    private final ChainSimulation simulation;
    private final List<Notice> noticeLog = new ArrayList<>();
    private final Map<String, Integer> activeRuns = new HashMap<>();
    private Link link;
    private int lastNoticeNumber;
    /** Counts restarts; runs of an earlier incarnation never end. */
    private int incarnation;
    private boolean restarted;
    private long startedAt;
    boolean bannerWithheld;
    boolean answersGauges = true;
    boolean duplicatesNotices;
    /** Whether runs end only on {@link #completeAll}. */
    boolean manualCompletion;
    /** The next run request is lost, and the link breaks with it. */
    boolean dropsNextApply;
    /** Runs last a random time up to this. */
    int maxRunMs = 60;
    /** Of {@code failureOdds + 1} runs, on average this many fail. */
    int failureOdds;
    private final int cores = 2;
    private final List<Runnable> pendingCompletions = new ArrayList<>();

    SimInterpreter(ChainSimulation simulation) {
        this.simulation = simulation;
        startedAt = simulation.now() - UPTIME_AT_START_TENTHS_MS;
    }

    /** One connection of the instance: commands and notices are delivered in pieces and with delays. */
    final class Link implements SimChannel.Peer {
        final SimChannel channel = new SimChannel(this);
        private byte[] received = new byte[0];
        private final ChainSimulation.DelayedStream inbound = simulation.new DelayedStream();
        private final ChainSimulation.DelayedStream outbound = simulation.new DelayedStream();
        private boolean disconnected;
        /** Number of the last notice read, from a CONNECT that awaits its banner; -1 if the banner has been sent. */
        private int unansweredLastRead = -1;

        @Override
        public void onWritten(byte[] bytes) {
            if (dropsNextApply && new String(bytes, StandardCharsets.ISO_8859_1).contains("APPLY ")) {
                dropsNextApply = false;
                disconnect();
                return;
            }
            inbound.send(bytes, this::onBytes);
        }

        @Override
        public void onOutputShutdown() {
            // The chain closes links at once, never only their output.
        }

        @Override
        public void onClosed(boolean unread) {
            disconnected = true;
            link = link == this ? null : link;
        }

        /** Breaks the link between any two bytes; bytes in flight in both directions are lost. */
        void disconnect() {
            disconnected = true;
            link = link == this ? null : link;
            channel.reset();
            simulation.scheduleRead(channel);
        }

        void send(byte[] bytes) {
            outbound.send(bytes, piece -> {
                if (!disconnected) {
                    channel.receive(piece);
                    simulation.scheduleRead(channel);
                }
            });
        }

        private void onBytes(byte[] bytes) {
            if (disconnected) {
                return;
            }
            received = SimChannel.concatenate(received, bytes);
            while (true) {
                int end = 0;
                while (end < received.length && received[end] != '\n') {
                    end++;
                }
                if (end == received.length) {
                    return;
                }
                String line = new String(received, 0, end - 1, StandardCharsets.ISO_8859_1);
                String[] words = line.split(" ");
                int next = end + 1;
                switch (words[0]) {
                    case "CONNECT" -> onConnect(this, Integer.parseInt(words[1]));
                    case "TOP" -> {
                        if (answersGauges && unansweredLastRead < 0) {
                            send(gauges(words[1]));
                        }
                    }
                    case "APPLY" -> {
                        int length = Integer.parseInt(words[3]);
                        if (received.length < next + length + 2) {
                            return;
                        }
                        byte[] body = Arrays.copyOfRange(received, next, next + length);
                        next += length + 2;
                        startRun(words[1], words[2], body);
                    }
                    default -> throw new InvariantViolation("the interpreter gets an unknown command");
                }
                received = Arrays.copyOfRange(received, next, received.length);
            }
        }
    }

    private byte[] gauges(String tag) {
        double busy = Math.min(1, activeRuns.size() / (double) cores);
        return ("TOPS " + tag + " " + busy + " " + activeRuns.size() + " 0.1 3\r\n")
                .getBytes(StandardCharsets.US_ASCII);
    }

    Link link() {
        return link;
    }

    Link openLink() {
        return new Link();
    }

    private void onConnect(Link newLink, int lastRead) {
        if (link != null && link != newLink) {
            link.disconnect();
        }
        link = newLink;
        if (lastRead > lastNoticeNumber) {
            // After a restart it continues with the number that the instance has read last.
            lastNoticeNumber = lastRead;
        }
        newLink.unansweredLastRead = lastRead;
        if (!bannerWithheld) {
            sendBanner();
        }
    }

    void sendBanner() {
        if (link == null || link.unansweredLastRead < 0) {
            return;
        }
        int lastRead = link.unansweredLastRead;
        link.unansweredLastRead = -1;
        link.send(("BANNER " + (restarted ? "new " : "old ") + (simulation.now() - startedAt) / 10 + "\r\n")
                .getBytes(StandardCharsets.US_ASCII));
        for (Notice notice : noticeLog) {
            if (notice.number > lastRead) {
                link.send(notice.bytes);
            }
        }
    }

    private void sendNotice(String text, byte[] payload) {
        byte[] bytes = SimChannel.concatenate(text.replace("#",
                Integer.toString(++lastNoticeNumber)).getBytes(StandardCharsets.US_ASCII),
                payload);
        noticeLog.add(new Notice(lastNoticeNumber, bytes));
        if (link != null && link.unansweredLastRead < 0) {
            link.send(bytes);
            if (duplicatesNotices) {
                link.send(bytes);
            }
        }
    }

    void sendTrace() {
        sendNotice("TRACE # VALUE is a word like any other\r\n", new byte[0]);
    }

    private void sendValue(String id, String outcome, long duration, byte[] result) {
        byte[] payload = SimChannel.concatenate(result, new byte[] {'\r', '\n'});
        sendNotice("VALUE # " + id + " " + outcome + " " + duration / 10.0 + " " + result.length + "\r\n", payload);
    }

    private void startRun(String id, String group, byte[] body) {
        ExchangeOracle.TrackedExchange ex = simulation.oracle.onRunRequested(id, group, body, simulation.now());
        if (activeRuns.containsKey(id)) {
            return;
        }
        if (ex.answerCount > 0 || ex.exempt) {
            // The exchange is over: no run is started.
            sendValue(id, "gone", 0, new byte[0]);
            return;
        }
        simulation.oracle.onRunStarted(ex, simulation.now());
        int startedIn = incarnation;
        int runNumber = ex.runCount;
        long startedAt = simulation.now();
        activeRuns.put(id, runNumber);
        Runnable completion = () -> {
            if (startedIn == incarnation && activeRuns.remove(id) != null) {
                ex.runEnded = true;
                boolean fails = failureOdds > 0 && simulation.nextInt(failureOdds + 1) > 0;
                sendValue(id, fails ? "bad" : "good", simulation.now() - startedAt,
                        fails ? new byte[0] : simulation.oracle.createResult(ex, runNumber));
            }
        };
        if (manualCompletion) {
            pendingCompletions.add(completion);
        } else {
            simulation.schedule(startedAt + 10L * simulation.nextInt(1 + maxRunMs), completion);
        }
    }

    /** Ends all runs that wait for it, see {@link #manualCompletion}. */
    void completeAll() {
        List<Runnable> due = List.copyOf(pendingCompletions);
        pendingCompletions.clear();
        due.forEach(Runnable::run);
    }

    /** Simulates a crash and restart of the interpreter: all runs and notices are lost without any message. */
    void restart() {
        incarnation++;
        activeRuns.clear();
        noticeLog.clear();
        restarted = true;
        startedAt = simulation.now();
        if (link != null) {
            link.disconnect();
        }
    }
}
