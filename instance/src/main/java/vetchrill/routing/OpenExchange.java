package vetchrill.routing;

import vetchrill.control.Exchange;

/** An exchange from its arrival to the end of its run, with all that is needed to answer and record it. */
final class OpenExchange extends Exchange {
    final String id;
    final String groupName;
    final StubConnection stub;
    final int stream;
    /** A copy, and the only part of its frame that outlives the reader's buffer. */
    final byte[] body;
    int groupIndex;
    /** The number by which its stub identifies itself. */
    long stubNumber;

    // For the recorder only.
    /** What {@link Recorder#subject} returned for its subject; 0 if it names none. */
    long subject;
    /** When the decision thread received it. */
    long dequeuedAt;
    /** When the controller started it; 0 before. */
    long startedAt;
    long answeredAt;
    long runDuration;
    byte answerKind;
    long retryAfter;
    boolean noRetry;

    /** Identifies the attempts of one exchange; null if its group is not deduplicated. */
    IdempotencyCache.Key idempotencyKey;
    /** The stored key for which this attempt runs; null if there is none. */
    IdempotencyCache.Entry cacheEntry;
    /** It has its single final answer, or was abandoned as its connection was reset. */
    boolean hasAnswer;
    /** The controller has started it. */
    boolean started;
    /** Number of the link over which its run was last requested; 0 if it has not been requested. */
    int requestedOnLink;
    /** Its run was requested again, so that the interpreter may report two runs of it. */
    boolean requestedAgain;
    /** The interpreter has reported that it started no run. */
    boolean runDeclined;

    OpenExchange(String id, String groupName, StubConnection stub, int stream, byte[] body) {
        this.id = id;
        this.groupName = groupName;
        this.stub = stub;
        this.stream = stream;
        this.body = body;
    }

    /** Whether a run of it may have taken place, or another report of one may follow. */
    boolean mayHaveRun() {
        return requestedOnLink != 0 && (requestedAgain || !runDeclined);
    }
}
