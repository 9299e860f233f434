package vetchrill.routing;

/**
 * Records what an instance does, if its operator has enabled this. The decision thread claims a row, fills it and puts
 * it; neither call ever blocks, and a row for which there is no space is dropped and counted by the recorder.
 */
public interface Recorder {
    // Kinds of answers.
    byte COMPLETED = 1;
    byte DENIED = 2;
    byte TERMINATED = 3;
    /** The connection was reset, so that no answer could reach the caller. */
    byte DISCONNECTED = 4;

    /** One exchange, recorded once it is answered and its run has ended. Times as on {@link Clock}. */
    final class ExchangeRow {
        /** The id that its stub gave it. */
        public long id;
        /** The version that was active on its arrival. */
        public long version;
        public long arrivedAt;
        /** When the decision thread received it; the time since its arrival was spent on reading and queueing. */
        public long dequeuedAt;
        public int group;
        public int customer;
        /** The number by which its stub identifies itself. */
        public long stubNumber;
        /** What {@link Recorder#subject} returned for its subject; 0 if it names none. */
        public long subject;
        public float kb;
        public int bytes;
        /** When its run was started; 0 if it never ran. */
        public long startedAt;
        /** Duration of its run as reported by the interpreter, in tenths of a millisecond. */
        public long runDuration;
        public long answeredAt;
        public byte answerKind;
        /** The retry-after delay sent with a denial, in tenths of a millisecond; 0 for none. */
        public long retryAfter;
        /** The denial told the stub not to retry. */
        public boolean noRetry;

        /** Sets all fields to those of {@code other}. */
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
            noRetry = other.noRetry;
        }
    }

    /** The gauges at one tick. */
    final class GaugeRow {
        public long sampledAt;
        public float cpu;
        public float runnable;
        public float memory;
        public int connections;
        public int open;
        /** How many of the open exchanges run. */
        public int running;
    }

    /** Returns a number, never 0, that stands for the subject in the slice. On any reader's thread. */
    long subject(byte[] buf, int from, int to);

    /** Returns a row to fill, or null if there is no space. On the decision thread. */
    ExchangeRow claimExchangeRow();

    /** Hands in a claimed row. */
    void put(ExchangeRow row);

    /** The run of an exchange is requested for the first time. On the decision thread. */
    default void runRequested(long id, long version, int group, int customer, long at) {
    }

    /** The version applies to all exchanges that arrive from now on. On the decision thread. */
    default void versionActivated(long version) {
    }

    /** Returns a row to fill, or null if there is no space. On the decision thread. */
    GaugeRow claimGaugeRow();

    /** Hands in a claimed row. */
    void put(GaugeRow row);

    /** Writes all rows that were put. At the end of the drain, on the main thread. */
    void close();
}
