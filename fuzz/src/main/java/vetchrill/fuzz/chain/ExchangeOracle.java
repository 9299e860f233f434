package vetchrill.fuzz.chain;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import vetchrill.fuzz.InvariantViolation;
import vetchrill.standin.StubFrames;

/**
 * Checks the rules that the operators have stated for exchanges, such as one answer each, in time, and at most one run
 * of a mutating exchange. It knows only what the stubs and the interpreter have sent and received.
 */
final class ExchangeOracle {
    /**
     * An exchange read this shortly before its connection is closed may stay unanswered: its stub may send it again on
     * another connection.
     */
    private static final long CLOSE_RACE_TENTHS_MS = 1_500;
    /**
     * Socket timeouts are 50 ms longer than the timeouts of exchanges, and the simulated network adds delays as well.
     */
    private static final long DEADLINE_SLACK_TENTHS_MS = 500 + 1_200;

    /** Time within which a writer has written its output, unless the peer does not read. */
    static final long WRITE_DELAY_TENTHS_MS = 100;

    /** An exchange may take this long from the time at which it was read, even if its deadline is earlier. */
    private static final long MIN_ANSWER_TIME_TENTHS_MS = 3_000;
    /** An exchange read this shortly before the end of the drain may stay unanswered. */
    private static final long STOP_RACE_TENTHS_MS = 900;

    /** An exchange as its stub sent it, and what has become of it. */
    static final class TrackedExchange {
        final String id;
        final int group;
        final byte[] body;
        final SimStub stub;
        final int stream;
        final long sentAt;
        final long timeout;
        /** Idempotency token, which all attempts have in common. */
        String token;
        /** Number of bytes that its stub had sent on the connection up to its last byte. */
        long endOffset;
        long consumedAt = -1;
        /** Not a valid exchange by the protocol: it must get an error or a closed connection, and no result. */
        boolean invalid;
        /** The exchange with the same id that was open when this one was sent, or null. */
        TrackedExchange duplicateOf;
        /** When another exchange with this id was run although this one had no answer yet; -1 for never. */
        long idReusedAt = -1;
        int answerCount;
        int answerCode;
        long answeredAt = -1;
        int runCount;
        /** When its first run started. */
        long firstRunAt;
        boolean runEnded;
        /** Needs no answer any more: its connection is closed, or its stub does not read. */
        boolean exempt;
        /** Its stub had violated the protocol on the same connection before. */
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

    /** The interpreter was asked for a run with this body; returns the exchange that it belongs to. */
    TrackedExchange onRunRequested(String id, String groupName, byte[] body, long now) {
        List<TrackedExchange> candidates = byId.get(id);
        if (candidates == null) {
            throw new InvariantViolation("a run is requested for an unknown exchange");
        }
        for (TrackedExchange ex : candidates) {
            if (ex.duplicateOf != null && java.util.Arrays.equals(body, ex.body)) {
                // Its id was free again when it was admitted, so that it counts as a valid exchange. If the id was not
                // free, the original still gets its answer, later than any answer that is being delivered now.
                ex.invalid = false;
                if (ex.duplicateOf.answerCount == 0 && ex.duplicateOf.idReusedAt < 0) {
                    ex.duplicateOf.idReusedAt = now;
                }
            }
            if (java.util.Arrays.equals(body, ex.body) && groupName.equals(ChainSimulation.GROUP_NAMES[ex.group])) {
                return ex;
            }
        }
        throw new InvariantViolation("a run is requested with another body or group");
    }

    /** A run has started at the interpreter. */
    void onRunStarted(TrackedExchange ex, long now) {
        if (ex.runCount++ > 0 && ex.mutating()) {
            throw new InvariantViolation("a mutating exchange runs twice");
        }
        ex.firstRunAt = ex.runCount == 1 ? now : ex.firstRunAt;
        if (attempts(ex).stream().anyMatch(each -> each != ex && each.runCount > 0
                && ex.sentAt <= each.sentAt + ChainSimulation.DEDUP_WINDOW_TENTHS_MS)) {
            throw new InvariantViolation("a deduplicated exchange runs twice");
        }
        if (ex.answerCount > 0 && ex.answerCode == StubFrames.DENIED) {
            throw new InvariantViolation("a rejected exchange is run");
        }
        if (drainStartedAt >= 0 && ex.sentAt > drainStartedAt + drainGrace + DEADLINE_SLACK_TENTHS_MS) {
            throw new InvariantViolation("an exchange that arrived after the drain grace period is run");
        }
    }

    /** All attempts of a deduplicated exchange; empty for other groups. */
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
            throw new InvariantViolation("another body is run under the id of an open exchange");
        }
        ex.answerCode = code;
        ex.answeredAt = now;
        if (code == StubFrames.DENIED && ex.runCount > 0 && ex.mutating()) {
            throw new InvariantViolation("an exchange that has run is rejected");
        }
        if (code == StubFrames.DENIED && attempts(ex).stream()
                .anyMatch(each -> each.runCount > 0 && each.firstRunAt < ex.sentAt
                && ex.sentAt <= each.sentAt + ChainSimulation.DEDUP_WINDOW_TENTHS_MS)) {
            throw new InvariantViolation("an exchange is rejected although an earlier attempt has run");
        }
        if (code == StubFrames.COMPLETED) {
            if (ex.invalid) {
                throw new InvariantViolation("an invalid exchange is completed");
            }
            boolean ownResult = isResultOf(ex, body);
            for (TrackedExchange each : attempts(ex)) {
                ownResult |= isResultOf(each, body);
            }
            if (!ownResult) {
                throw new InvariantViolation("an exchange gets the result of another one");
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

    /** The instance has closed a connection. */
    void onConnectionClosed(SimStub stub, long now) {
        for (TrackedExchange ex : exchanges) {
            if (ex.stub == stub && ex.answerCount == 0 && !ex.exempt) {
                boolean inCloseRace = ex.consumedAt < 0 || now - ex.consumedAt <= CLOSE_RACE_TENTHS_MS;
                if (!inCloseRace && !ex.invalid && !ex.afterInvalidFrame) {
                    throw new InvariantViolation("a connection is closed while an exchange on it has no answer");
                }
                ex.exempt = true;
            }
        }
    }

    /** Checks that no exchange is past its deadline without an answer. */
    void checkDeadlines(long now) {
        for (TrackedExchange ex : exchanges) {
            if (ex.consumedAt >= 0 && ex.answerCount == 0 && !ex.exempt && !ex.invalid && !ex.afterInvalidFrame
                    && now > Math.max(ex.sentAt + ex.timeout, ex.consumedAt + MIN_ANSWER_TIME_TENTHS_MS)
                    + DEADLINE_SLACK_TENTHS_MS) {
                throw new InvariantViolation("an exchange has no answer by its deadline");
            }
        }
    }

    /** Checks at the end of a drain, or once the chain is idle, that every exchange has an answer. */
    void checkAllAnswered(boolean drained, long stopAt) {
        for (TrackedExchange ex : exchanges) {
            boolean readJustBeforeStop = drained && ex.consumedAt > stopAt - STOP_RACE_TENTHS_MS;
            if (ex.consumedAt >= 0 && ex.answerCount == 0 && !ex.exempt && !ex.invalid && !ex.afterInvalidFrame
                    && !readJustBeforeStop) {
                throw new InvariantViolation(drained ? "an exchange has no answer at the end of the drain"
                        : "an exchange is never answered");
            }
        }
    }
}
