package vetchrill.fuzz.chain;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import vetchrill.fuzz.InvariantViolation;

/** What every exchange is owed and what became of it, by the rules as the operators wrote them. */
final class ExchangeOracle {
    /** What is taken in just as its connection is closed may be sent again elsewhere by its stub. */
    private static final long CLOSE_RACE_TENTHS_MS = 1_500;
    /** Times on sockets are 50 ms longer; the simulated ways take their time as well. */
    private static final long DEADLINE_SLACK_TENTHS_MS = 500 + 1_200;

    /** What a writer takes to write what it was given, unless its peer is stalled. */
    static final long WRITE_DELAY_TENTHS_MS = 100;

    static final class TrackedExchange {
        final String id;
        final int group;
        final byte[] body;
        final SimStub stub;
        final int stream;
        final long sentAt;
        final long timeout;
        /** What its tries have in common. */
        String token;
        /** Where its last byte stands in what its stub has sent. */
        long endOffset;
        long consumedAt = -1;
        /** By the page no exchange: it is owed an error or a close, and no result. */
        boolean invalid;
        /** It has the id of another that was open as it was sent. */
        TrackedExchange duplicateOf;
        /** When another with its id was run though no answer of this one had been heard; -1 for never. */
        long idReusedAt = -1;
        int answerCount;
        int answerCode;
        long answeredAt = -1;
        int runCount;
        /** When it was run first. */
        long firstRunAt;
        boolean runEnded;
        /** Its stub took its connection away, or can't read. */
        boolean exempt;
        /** Its stub sent what no stub sends before it on the same connection. */
        boolean afterInvalidFrame;

        TrackedExchange(String id, int group, byte[] body, SimStub stub, int stream, long sentAt, long timeout) {
            this.id = id;
            this.group = group;
            this.body = body;
            this.stub = stub;
            this.stream = stream;
            this.sentAt = sentAt;
            this.timeout = timeout;
        }

        boolean mutating() {
            return group >= 1;
        }

        boolean deduplicated() {
            return group == 2;
        }
    }

    private final Map<String, List<TrackedExchange>> byId = new LinkedHashMap<>();
    final List<TrackedExchange> exchanges = new ArrayList<>();
    private final Map<String, byte[]> resultsByRun = new HashMap<>();
    long drainStartedAt = -1;
    long drainGrace;

    void add(TrackedExchange ex) {
        exchanges.add(ex);
        byId.computeIfAbsent(ex.id, key -> new ArrayList<>(1)).add(ex);
    }

    /** A run is asked for, with this body; for which exchange. */
    TrackedExchange onRunRequested(String id, String groupName, byte[] body, long now) {
        List<TrackedExchange> candidates = byId.get(id);
        if (candidates == null) {
            throw new InvariantViolation("a run is asked for that nobody asked for");
        }
        for (TrackedExchange ex : candidates) {
            if (ex.duplicateOf != null && java.util.Arrays.equals(body, ex.body)) {
                // Its id was free again by the time it was decided on: it is one like any other. If it was not, the
                // answer of the first is still to be given, and is heard later than any that is on its way now.
                ex.invalid = false;
                if (ex.duplicateOf.answerCount == 0 && ex.duplicateOf.idReusedAt < 0) {
                    ex.duplicateOf.idReusedAt = now;
                }
            }
            if (java.util.Arrays.equals(body, ex.body) && groupName.equals(ChainSimulation.GROUP_NAMES[ex.group])) {
                return ex;
            }
        }
        throw new InvariantViolation("a run is asked for with another body or group");
    }

    /** A run begins. */
    void onRunStarted(TrackedExchange ex, long now) {
        if (ex.runCount++ > 0 && ex.mutating()) {
            throw new InvariantViolation("a mutating exchange runs twice");
        }
        ex.firstRunAt = ex.runCount == 1 ? now : ex.firstRunAt;
        if (attempts(ex).stream().anyMatch(each -> each != ex && each.runCount > 0
                && ex.sentAt <= each.sentAt + ChainSimulation.DEDUP_WINDOW_TENTHS_MS)) {
            throw new InvariantViolation("a deduplicated exchange runs twice");
        }
        if (ex.answerCount > 0 && ex.answerCode == 66) {
            throw new InvariantViolation("an exchange is run that was denied");
        }
        if (drainStartedAt >= 0 && ex.sentAt > drainStartedAt + drainGrace + DEADLINE_SLACK_TENTHS_MS) {
            throw new InvariantViolation("an exchange is run that arrived past the grace");
        }
    }

    /** All tries of a deduplicated exchange; none of another. */
    private List<TrackedExchange> attempts(TrackedExchange ex) {
        return !ex.deduplicated() ? List.of()
                : exchanges.stream().filter(each -> each.deduplicated() && each.token.equals(ex.token)).toList();
    }

    byte[] createResult(TrackedExchange ex, int runNumber) {
        byte[] result = ("result " + runNumber + " of " + ex.id + " on "
                + ex.stream).getBytes(java.nio.charset.StandardCharsets.US_ASCII);
        resultsByRun.put(resultKey(ex, runNumber), result);
        return result;
    }

    private static String resultKey(TrackedExchange ex, int runNumber) {
        return ex.id + " " + java.util.HexFormat.of().formatHex(ex.body) + " " + runNumber;
    }

    void onAnswer(TrackedExchange ex, int code, byte[] body, long now) {
        if (ex.answerCount++ > 0) {
            throw new InvariantViolation("an exchange is answered twice");
        }
        if (ex.idReusedAt >= 0 && !ex.exempt && now > Math.max(ex.idReusedAt, ex.stub.channel.writesStalledUntil)
                + WRITE_DELAY_TENTHS_MS) {
            throw new InvariantViolation("the id of an open exchange is run with another body");
        }
        ex.answerCode = code;
        ex.answeredAt = now;
        if (code == 66 && ex.runCount > 0 && ex.mutating()) {
            throw new InvariantViolation("an exchange is denied that has run");
        }
        if (code == 66 && attempts(ex).stream().anyMatch(each -> each.runCount > 0 && each.firstRunAt < ex.sentAt
                && ex.sentAt <= each.sentAt + ChainSimulation.DEDUP_WINDOW_TENTHS_MS)) {
            throw new InvariantViolation("an exchange is denied of which an earlier try has run");
        }
        if (code == 79) {
            if (ex.invalid) {
                throw new InvariantViolation("what is no exchange is completed");
            }
            boolean ownResult = isResultOf(ex, body);
            for (TrackedExchange each : attempts(ex)) {
                ownResult |= isResultOf(each, body);
            }
            if (!ownResult) {
                throw new InvariantViolation("a result goes to an exchange that it is not of");
            }
        }
    }

    private boolean isResultOf(TrackedExchange ex, byte[] body) {
        boolean found = false;
        for (int n = 1; n <= ex.runCount; n++) {
            byte[] result = resultsByRun.get(resultKey(ex, n));
            found |= result != null && java.util.Arrays.equals(result, body);
        }
        return found;
    }

    /** A connection was closed by the instance. */
    void onConnectionClosed(SimStub stub, long now) {
        for (TrackedExchange ex : exchanges) {
            if (ex.stub == stub && ex.answerCount == 0 && !ex.exempt) {
                boolean inCloseRace = ex.consumedAt < 0 || now - ex.consumedAt <= CLOSE_RACE_TENTHS_MS;
                if (!inCloseRace && !ex.invalid && !ex.afterInvalidFrame) {
                    throw new InvariantViolation("a connection is closed on an exchange without an answer");
                }
                ex.exempt = true;
            }
        }
    }

    /** What is past its time by now without an answer. */
    void checkDeadlines(long now) {
        for (TrackedExchange ex : exchanges) {
            if (ex.consumedAt >= 0 && ex.answerCount == 0 && !ex.exempt && !ex.invalid && !ex.afterInvalidFrame
                    && now > Math.max(ex.sentAt + ex.timeout, ex.consumedAt + 3_000) + DEADLINE_SLACK_TENTHS_MS) {
                throw new InvariantViolation("an exchange has no answer in its time");
            }
        }
    }

    /** At the end of a drain, or of a run that has come to rest. */
    void checkAllAnswered(boolean drained, long stopAt) {
        for (TrackedExchange ex : exchanges) {
            boolean readJustBeforeStop = drained && ex.consumedAt > stopAt - 900;
            if (ex.consumedAt >= 0 && ex.answerCount == 0 && !ex.exempt && !ex.invalid && !ex.afterInvalidFrame
                    && !readJustBeforeStop) {
                throw new InvariantViolation(drained ? "an exchange has no answer at the stop"
                        : "an exchange is never answered");
            }
        }
    }
}
