package vetchrill.transport;

/**
 * Sizes, counts and times of the program, filled once at start and handed down; nothing in here decides about load.
 * It stands in the lowest layer, since every layer reads it. Times are tenths of a millisecond.
 */
public final class Limits {
    private static final int MIN_CONNECTIONS = 32;
    /** Kept from connections: the runtime's own files, the listener, two links while one moves, reports, a reserve. */
    private static final int RESERVED_DESCRIPTORS = 24;

    /** What a key takes on the heap, with its timer. */
    private static final int KEY_HEAP_BYTES = 320;

    /** What the program is given. */
    public final long memoryBytes;

    /**
     * Past it the longest idle gives way: an eighth of the descriptors, each with 32 exchanges. Every thread is woken
     * whenever the machine stops this process for its share of the core, so idle ones cost what the others need.
     */
    public final int targetConnections;
    /** For a crowd that comes at once: half of the descriptors, as much as stubs may take. */
    public final int maxConnections;
    /** Past that many these are taken as well, only to be told at once that nothing new is taken on them. */
    public final int hardMaxConnections;
    public final int backlog = 1024;
    public final int threadStackBytes = 144 << 10;
    public final int inputQueueCapacity = 4096;

    public final int maxExchangesPerConnection = 32;
    public final int initialBufferBytes = 2 << 10;
    /** Longest frame that is kept whole; a longer one is read past, for no exchange needs as much. */
    public final int maxBufferedFrameBytes = 16 << 10;
    public final int maxFrameLengthBytes = 262_144;
    public final int maxBodyBytes = 2 << 10;
    public final int maxLineBytes = 64 << 10;
    /** Bytes that may wait for one peer that does not read: all its open exchanges with the largest results. */
    public final int maxUnsentPerConnectionBytes = 192 << 10;
    public final long maxTotalUnsentBytes;
    /** Bodies of open exchanges; past it exchanges are denied before they are kept, lest the heap run out. */
    public final long maxTotalBodyBytes;

    /** Answers that are kept for repeats, in bytes; past it the oldest go, and their repeats get errors. */
    public final long maxStoredAnswerBytes;
    /** Exchanges that may come again and are remembered; past it such ones are denied before they are begun. */
    public final int maxStoredKeys;

    /** An arrival stamped earlier is taken to be so old. */
    public final long maxStampAgeTenthsMs = 600_000;
    /** A thread with nothing to do is kept so long, past those that always wait. */
    public final long workerIdleTimeoutTenthsMs = 30_000;
    public final int minIdleReaders = 8;
    public final int minIdleWriters = 4;
    /** The interpreter's gauges are waited for so long; then the last known ones are used. */
    public final long gaugeTimeoutTenthsMs = 500;
    public final long initialConnectTimeoutTenthsMs = 1_000;
    public final long maxConnectTimeoutTenthsMs = 10_000;
    public final long initialRetryPauseTenthsMs = 200;
    public final long maxRetryPauseTenthsMs = 2_000;
    /** Several within the three seconds after which an entry lapses, so that some may be lost or unanswered. */
    public final long reportIntervalTenthsMs = 8_000;
    /** A change of health waits behind a report in hand, so no answer is waited for longer than this. */
    public final long reportTimeoutTenthsMs = 3_000;
    public final long reportRetryTenthsMs = 2_000;
    /** After this an answer has surely been read, and what the interpreter told before it as well. */
    public final long runQueryDelayTenthsMs = 5_000;
    /** A peer told that nothing new is taken on a connection has so long to close it, and a lingering close as well. */
    public final long closeTimeoutTenthsMs = 10_000;
    /** The same for one that still is to read what it is owed. */
    public final long slowReaderTimeoutTenthsMs = 50_000;
    /** A message that has begun to come keeps its connection from being idle for so long. */
    public final long partialMessageTimeoutTenthsMs = 20_000;
    /** Read past after the end was shown, or a peer that goes on sending would cost cores for as long as it likes. */
    public final long maxLingerBytes = 1 << 20;
    /** A connection on which no whole frame has come in this time is closed: a stub opens one to send at once. */
    public final long firstFrameTimeoutTenthsMs = 20_000;
    /** What has crossed a close in this time is sent again elsewhere by its stub. */
    public final long closeRaceWindowTenthsMs = 500;
    public final long makeRoomPollTenthsMs = 50;
    public final int maxMakeRoomAttempts = 100;
    public final int maxConcurrentEvictions = 16;
    /** Accepting looks up so often, to hear that it is to end. */
    public final long acceptPollTenthsMs = 500;
    /** At its end what waits in the backlog is taken, for so long at most. */
    public final long backlogDrainTimeoutTenthsMs = 2_000;
    /** A process under the same address that drains may hold it for so long. */
    public final long bindTimeoutTenthsMs = 100_000;
    public final long bindRetryTenthsMs = 500;
    /** Frames that no stub sends, after which nothing more is read from a connection. */
    public final int maxInvalidFrames = 8;
    /** Log lines on what peers do, between two summaries. */
    public final int maxPeerLogLines = 20;
    /** The end of a drain: no new connections and all told, no new reading, then the end. */
    public final long stopAcceptingLeadTenthsMs = 5_000;
    public final long stopReadingLeadTenthsMs = 900;
    public final long exitLeadTenthsMs = 300;
    public final long summaryIntervalTenthsMs = 100_000;

    public Limits(long memoryBytes, int descriptors) {
        this.memoryBytes = memoryBytes;
        int available = Math.max(1, descriptors - RESERVED_DESCRIPTORS);
        targetConnections = Math.min(Math.max(MIN_CONNECTIONS, descriptors / 8), available);
        maxConnections = Math.min(Math.max(targetConnections + targetConnections / 2, descriptors / 2), available);
        hardMaxConnections = Math.min(maxConnections + maxConnections / 8, available);
        maxTotalUnsentBytes = memoryBytes / 12;
        maxTotalBodyBytes = memoryBytes / 8;
        maxStoredAnswerBytes = memoryBytes / 24;
        maxStoredKeys = (int) Math.min(Integer.MAX_VALUE, memoryBytes / 24 / KEY_HEAP_BYTES);
    }
}
