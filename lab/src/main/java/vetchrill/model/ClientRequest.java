package vetchrill.model;

import java.util.Arrays;

/** A request of a client to its stub, from the first attempt to the end of the last. */
public class ClientRequest {
    /** How an attempt ended. */
    public enum Answer { COMPLETED, DENIED, TERMINATED, RESET, UNREACHABLE, TIMED_OUT }

    public final int group;
    public final int customer;
    public final long subject;
    public final double sizeKb;
    public final int bodyBytes;
    /** When the stub received it, and when its client stops waiting, in tenths of a millisecond. */
    public final long receivedAt;
    public final long deadline;
    /** Attempts sent so far. */
    public int attempts;
    /** Whether its outcome is known, so that no more attempts are sent. */
    public boolean finished;
    /** Instances attempted; cleared once all listed instances were attempted. */
    int[] attempted = new int[4];
    int attemptedCount;

    public ClientRequest(int group, int customer, long subject, double sizeKb, int bodyBytes, long receivedAt,
            long deadline) {
        this.group = group;
        this.customer = customer;
        this.subject = subject;
        this.sizeKb = sizeKb;
        this.bodyBytes = bodyBytes;
        this.receivedAt = receivedAt;
        this.deadline = deadline;
    }

    boolean wasAttempted(int instance) {
        for (int i = 0; i < attemptedCount; i++) {
            if (attempted[i] == instance) {
                return true;
            }
        }
        return false;
    }

    void recordAttempt(int instance) {
        if (attemptedCount == attempted.length) {
            attempted = Arrays.copyOf(attempted, 2 * attemptedCount);
        }
        attempted[attemptedCount++] = instance;
        attempts++;
    }
}
