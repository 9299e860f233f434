package vetchrill.model;

/** What a client asks of its stub, from the first try to the end of the last. */
public class ClientRequest {
    public enum Answer { COMPLETED, DENIED, TERMINATED, RESET, UNREACHABLE, TIMED_OUT }

    public final int group;
    public final int customer;
    public final long subject;
    public final double sizeKb;
    public final int bodyBytes;
    /** When it came to the stub, and when its client gives up; tenths of a millisecond. */
    public final long receivedAt;
    public final long deadline;
    /** Tries sent so far. */
    public int attempts;
    /** Its end is known: nothing more is sent for it. */
    public boolean finished;
    /** Relays tried since all of those listed had been tried last. */
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
            attempted = java.util.Arrays.copyOf(attempted, 2 * attemptedCount);
        }
        attempted[attemptedCount++] = instance;
        attempts++;
    }
}
