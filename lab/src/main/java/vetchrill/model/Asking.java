package vetchrill.model;

/** What a client asks of its stub, from the first try to the end of the last. */
public class Asking {
    public enum Answer { COMPLETED, DENIED, TERMINATED, RESET, UNREACHABLE, TIMED_OUT }

    public final int group;
    public final int customer;
    public final long subject;
    public final double kb;
    public final int bytes;
    /** When it came to the stub, and when its client gives up; tenths of a millisecond. */
    public final long from;
    public final long until;
    /** Tries sent so far. */
    public int tries;
    /** Its end is known: nothing more is sent for it. */
    public boolean over;
    /** Relays tried since all of those listed had been tried last. */
    int[] tried = new int[4];
    int triedCount;

    public Asking(int group, int customer, long subject, double kb, int bytes, long from, long until) {
        this.group = group;
        this.customer = customer;
        this.subject = subject;
        this.kb = kb;
        this.bytes = bytes;
        this.from = from;
        this.until = until;
    }

    boolean hasTried(int relay) {
        for (int i = 0; i < triedCount; i++) {
            if (tried[i] == relay) {
                return true;
            }
        }
        return false;
    }

    void noteTried(int relay) {
        if (triedCount == tried.length) {
            tried = java.util.Arrays.copyOf(tried, 2 * triedCount);
        }
        tried[triedCount++] = relay;
        tries++;
    }
}
