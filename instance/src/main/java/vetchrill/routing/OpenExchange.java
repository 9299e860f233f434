package vetchrill.routing;

import vetchrill.control.Exchange;

/** An exchange between its arrival and the end of its run, with what the door needs to answer it. */
final class OpenExchange extends Exchange {
    final String id;
    final String groupName;
    final StubConnection stub;
    final int stream;
    /** The only part of its frame that outlives the buffer. */
    final byte[] body;
    int groupIndex;
    /** The number that its stub goes by, and what stands for its subject where this is recorded. */
    long stubNumber;
    long subject;
    /** What is recorded of it: when the decision thread heard of it, began it and answered it, and its run. */
    long dequeuedAt;
    long startedAt;
    long answeredAt;
    long runDuration;
    byte answerKind;
    long retryAfter;
    boolean doNotRetry;
    /** By which a further try is known as one; null where tries are not told apart. */
    IdempotencyCache.Key idempotencyKey;
    /** It stands for all its tries. */
    IdempotencyCache.Entry cacheEntry;
    /** It has its one final answer. */
    boolean hasAnswer;
    /** The module has begun it. */
    boolean started;
    /** The link on which its run was asked for; 0 while that was not possible. */
    int requestedOnLink;

    OpenExchange(String id, String groupName, StubConnection stub, int stream, byte[] body) {
        this.id = id;
        this.groupName = groupName;
        this.stub = stub;
        this.stream = stream;
        this.body = body;
    }
}
