package vetchrill.routing;

/**
 * Who writes down what an instance does, where an operator has asked for it. The decision thread claims a row, fills it
 * and puts it: neither ever waits, and a row that there is no room for is counted by the recorder and left out.
 */
public interface Recorder {
    /** How an exchange was answered. */
    byte COMPLETED = 1;
    byte DENIED = 2;
    byte TERMINATED = 3;
    /** Its connection was reset, so that no answer could reach its caller. */
    byte DISCONNECTED = 4;

    /** One exchange, written down when it is answered and nothing of it runs any more. Times as on {@link Clock}. */
    final class ExchangeRow {
        /** As its stub names it, and the version by which it was decided. */
        public long id;
        public long version;
        public long arrivedAt;
        /** When it came to the decision thread: what lies between is its reading. */
        public long dequeuedAt;
        public int group;
        public int customer;
        /** The number that its stub goes by. */
        public long stubNumber;
        /** What {@link Recorder#subject} made of its subject; 0 where it names none. */
        public long subject;
        public float kb;
        public int bytes;
        /** When its run was begun; 0 where it never ran. */
        public long startedAt;
        /** How long its run took by the interpreter's word, in tenths of a millisecond. */
        public long runDuration;
        public long answeredAt;
        public byte answerKind;
        /** The advice that went with a denial: tenths of a millisecond to stay away, 0 for none. */
        public long retryAfter;
        public boolean doNotRetry;

        public void copyFrom(ExchangeRow other) {
            id = other.id;
            version = other.version;
            arrivedAt = other.arrivedAt;
            dequeuedAt = other.dequeuedAt;
            group = other.group;
            customer = other.customer;
            stubNumber = other.stubNumber;
            subject = other.subject;
            kb = other.kb;
            bytes = other.bytes;
            startedAt = other.startedAt;
            runDuration = other.runDuration;
            answeredAt = other.answeredAt;
            answerKind = other.answerKind;
            retryAfter = other.retryAfter;
            doNotRetry = other.doNotRetry;
        }
    }

    /** One look at the gauges. */
    final class GaugeRow {
        public long sampledAt;
        public float cpu;
        public float runnable;
        public float memory;
        public int connections;
        public int open;
        /** Of those open, how many run. */
        public int running;
    }

    /** On any reader's thread: a number that stands for the subject in the slice, never 0. */
    long subject(byte[] buf, int from, int to);

    /** On the decision thread; null where there is no room. */
    ExchangeRow claimExchangeRow();

    void put(ExchangeRow row);

    /** On the decision thread: a run of it is asked for, for the first time. */
    default void runRequested(long id, long version, int group, int customer, long at) {
    }

    /** On the decision thread: what arrives from now on is decided by this version. */
    default void versionActivated(long version) {
    }

    /** On the decision thread; null where there is no room. */
    GaugeRow claimGaugeRow();

    void put(GaugeRow row);

    /** At the end of the drain, on the main thread: what was put is written. */
    void close();
}
