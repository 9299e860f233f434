package vetchrill.transport;

/**
 * Sizes, counts and timeouts of the program, computed once at startup. The rules for admission and load are elsewhere.
 * The class is in the lowest layer because all layers read it.
 */
public final class Limits {
    private static final int MIN_CONNECTIONS = 32;
    /**
     * Descriptors not available to connections: files of the Java runtime, the listener, two interpreter links while
     * one is moved, health reports, and a reserve.
     */
    private static final int RESERVED_DESCRIPTORS = 24;

    /** Heap use of one idempotency key with its timer. */
    private static final int KEY_HEAP_BYTES = 320;
    /** Heap use of one remembered id of an exchange that has run. */
    private static final int RUN_ID_HEAP_BYTES = 72;

    /** Memory limit of the program. */
    public final long memoryBytes;

    /**
     * Above this count the connection that has been idle longest is evicted: one eighth of the descriptors, each
     * connection with up to 32 exchanges. Every thread is woken whenever the host throttles this process to its share
     * of the core, so idle connections take time from the others.
     */
    public final int targetConnections;
    /** Connections allowed during a burst: half of the descriptors, as many as stubs may use. */
    public final int maxConnections;
    /** Connections between {@link #maxConnections} and this count are accepted, but get a go-away frame at once. */
    public final int hardMaxConnections;
    /** Backlog of the listening socket. */
    public final int backlog = 1024;
    public final int threadStackBytes = 144 << 10;
    /** Events that may wait for the decision thread. */
    public final int inputQueueCapacity = 4096;

    public final int maxExchangesPerConnection = 32;
    /** Initial size of a connection's read buffer. */
    public final int initialBufferBytes = 2 << 10;
    /** Longest frame that is buffered; a longer one is skipped, because no exchange needs as much. */
    public final int maxBufferedFrameBytes = 16 << 10;
    /** Largest value of a frame's length field; a larger one ends the reading of the connection. */
    public final int maxFrameLengthBytes = 262_144;
    public final int maxBodyBytes = 2 << 10;
    /** Longest message of the interpreter, with its result. */
    public final int maxLineBytes = 64 << 10;
    /** Unsent bytes for a peer that does not read: all its open exchanges with results of the largest size. */
    public final int maxUnsentPerConnectionBytes = 192 << 10;
    /** Unsent bytes of all connections together. */
    public final long maxTotalUnsentBytes;
    /** Bodies of all open exchanges; above it exchanges are denied before they are stored, to protect the heap. */
    public final long maxTotalBodyBytes;

    /** Answers stored for repeated exchanges; above it the oldest are evicted, and their repeats get errors. */
    public final long maxStoredAnswerBytes;
    /** Deduplicated exchanges that are remembered; above it such exchanges are denied before they are started. */
    public final int maxStoredKeys;
    /** Ids of exchanges that have run and under which no other is accepted; above it the oldest are dropped. */
    public final int maxRecentRunIds;

    /** An earlier arrival timestamp is clamped to this age. */
    public final long maxStampAgeTenthsMs = 600_000;
    /** Idle threads beyond the minimum end after this time. */
    public final long workerIdleTimeoutTenthsMs = 30_000;
    public final int minIdleReaders = 8;
    public final int minIdleWriters = 4;
    /** Wait for the interpreter's gauges; after it the last known values are used. */
    public final long gaugeTimeoutTenthsMs = 500;
    public final long initialConnectTimeoutTenthsMs = 1_000;
    public final long maxConnectTimeoutTenthsMs = 10_000;
    public final long initialRetryPauseTenthsMs = 200;
    public final long maxRetryPauseTenthsMs = 2_000;
    /** Several reports fit into the 3 s after which a membership entry expires, so some may be lost or unanswered. */
    public final long reportIntervalTenthsMs = 8_000;
    /** A change of health is not sent while a report is in progress, so no response is awaited longer than this. */
    public final long reportTimeoutTenthsMs = 3_000;
    public final long reportRetryTenthsMs = 2_000;
    /**
     * Delay before the interpreter is queried about a run: by then the answer has certainly been read, and so have the
     * notices that the interpreter sent before.
     */
    public final long runQueryDelayTenthsMs = 5_000;
    /** Time for a peer to close its connection after a go-away frame; also the duration of a lingering close. */
    public final long closeTimeoutTenthsMs = 10_000;
    /** Duration of a lingering close while the peer has not yet read all its answers. */
    public final long slowReaderTimeoutTenthsMs = 50_000;
    /** An incomplete message keeps its connection from counting as idle for this time. */
    public final long partialMessageTimeoutTenthsMs = 20_000;
    /** Input discarded after a half-close; without a limit a peer that keeps sending would use CPU time for ever. */
    public final long maxLingerBytes = 1 << 20;
    /** A connection without a complete frame in this time is closed: a stub opens a connection to send at once. */
    public final long firstFrameTimeoutTenthsMs = 20_000;
    /** An exchange that crosses a close in this time is sent to another instance by its stub. */
    public final long closeRaceWindowTenthsMs = 500;
    /** Time for the reset of a peer that has left, between the two messages that find out whether it has. */
    public final long peerProbeIntervalTenthsMs = 500;
    /** Interval at which a new connection waits for a free slot, and the end of a drain for unsent answers. */
    public final long makeRoomPollTenthsMs = 50;
    /** After this many attempts {@link #hardMaxConnections} applies. */
    public final int maxMakeRoomAttempts = 100;
    /** Connections that may be in a lingering close while others are evicted to free descriptors. */
    public final int maxConcurrentEvictions = 16;
    /** The accept loop checks at this interval whether it is to end. */
    public final long acceptPollTenthsMs = 500;
    /** Time to accept the connections in the backlog when the listener closes. */
    public final long backlogDrainTimeoutTenthsMs = 2_000;
    /** A draining process may hold the same address for this time. */
    public final long bindTimeoutTenthsMs = 100_000;
    public final long bindRetryTenthsMs = 500;
    /** Invalid frames, each of the longest length that is buffered, after which the stub is told to close. */
    public final int maxInvalidFrames = 8;
    /** Health checks that a connection may send at once. */
    public final int maxHealthCheckBurst = 64;
    /** A connection may send one more health check in each such time. */
    public final long healthCheckIntervalTenthsMs = 500;
    /** Log lines about the behaviour of peers between two summaries. */
    public final int maxPeerLogLines = 20;
    /** Time before the end of a drain at which the listener closes and all connections get a go-away frame. */
    public final long stopAcceptingLeadTenthsMs = 5_000;
    /** Time before the end of a drain at which all connections are half-closed; later input is discarded. */
    public final long stopReadingLeadTenthsMs = 900;
    /** Time before the end of a drain at which the process exits. */
    public final long exitLeadTenthsMs = 300;
    public final long summaryIntervalTenthsMs = 100_000;

    /** Computes the limits from the memory limit and the number of file descriptors. */
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
        maxRecentRunIds = (int) Math.min(Integer.MAX_VALUE, memoryBytes / 96 / RUN_ID_HEAP_BYTES);
    }
}
