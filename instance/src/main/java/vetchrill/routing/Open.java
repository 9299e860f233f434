package vetchrill.routing;

import vetchrill.control.Exchange;

/** An exchange between its arrival and the end of its run, with what the door needs to answer it. */
final class Open extends Exchange {
    final String id;
    final String groupName;
    final Stub stub;
    final int stream;
    /** The only part of its frame that outlives the buffer. */
    final byte[] body;
    int groupAt;
    /** The number that its stub goes by, and what stands for its subject where this is recorded. */
    long peer;
    long subject;
    /** What is recorded of it: when the decision thread heard of it, began it and answered it, and its run. */
    long heard;
    long begunAt;
    long answeredAt;
    long took;
    byte answer;
    long away;
    boolean giveUp;
    /** By which a further try is known as one; null where tries are not told apart. */
    Repeats.Key key;
    /** It stands for all its tries. */
    Repeats.Kept kept;
    /** It has its one final answer. */
    boolean done;
    /** The module has begun it. */
    boolean begun;
    /** The link on which its run was asked for; 0 while that was not possible. */
    int appliedOn;

    Open(String id, String groupName, Stub stub, int stream, byte[] body) {
        this.id = id;
        this.groupName = groupName;
        this.stub = stub;
        this.stream = stream;
        this.body = body;
    }
}
