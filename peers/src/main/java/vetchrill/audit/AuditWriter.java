package vetchrill.audit;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.concurrent.locks.LockSupport;
import org.jctools.queues.SpscArrayQueue;
import vetchrill.audit.AuditEvent.Kind;
import vetchrill.routing.Recorder;

/**
 * Writes the audit log of one instance: what it decided, by which version, and how far the audit logs of other
 * instances have come as reported by them. Events are queued by the decision thread, which never waits, and written in
 * blocks by a thread of its own; each block has a digest that chains it to all before it. Events that find no room, in
 * memory or on the disk, are counted, and the count is written as soon as writing is possible again.
 */
public final class AuditWriter implements Recorder {
    /** The file operations of the writer, behind an interface so that tests can simulate a full or slow disk. */
    public interface Disk {
        void write(FileChannel channel, ByteBuffer bytes) throws IOException;

        void sync(FileChannel channel) throws IOException;
    }

    /** The real file system. */
    public static final Disk FILE_SYSTEM = new Disk() {
        @Override
        public void write(FileChannel channel, ByteBuffer bytes) throws IOException {
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
        }

        @Override
        public void sync(FileChannel channel) throws IOException {
            channel.force(false);
        }
    };

    /**
     * How far the audit log has come, as reported to other instances.
     *
     * @param block number of the last block; -1 for none
     * @param digest of that block, in hexadecimal digits
     */
    public record Position(long block, String digest) {
    }

    /** Counters for {@link #counter}: exchanges decided since the start, and of these denied, failed and aborted. */
    public static final int DECIDED_COUNTER = 0;
    public static final int DENIED_COUNTER = 1;
    public static final int FAILED_COUNTER = 2;
    public static final int ABORTED_COUNTER = 3;
    private static final int COUNTERS = 4;

    private static final System.Logger LOG = System.getLogger("vetchrill.audit");
    private static final long NS_PER_TENTH_MS = 100_000;
    private static final long IDLE_PAUSE_NS = 2_000_000;
    private static final int WRITER_STACK_BYTES = 512 << 10;
    private static final int CLOSE_TIMEOUT_S = 5;
    /** Size from which on a block is written before the flush period is over. */
    private static final int BLOCK_BYTES = 256 << 10;
    private static final int MAX_QUEUED_NOTICES = 4_096;

    /** An event from another thread than the decision thread; it gets its time when it is written. */
    private record Notice(Kind kind, long id, long version, String text, String detail) {
    }

    /** An event of the decision thread on its way to the writer; reused, so that none is allocated per exchange. */
    private static final class PendingEvent {
        private Kind kind;
        private long hybridTime;
        private long id;
        private long version;
        private int group;
        private int customer;
        private int answer;
        private long instanceTime;
    }

    private final AuditConfig config;
    private final String name;
    private final HybridLogicalClock hybridClock;
    private final Disk disk;
    private final SpscArrayQueue<PendingEvent> freeEvents;
    private final SpscArrayQueue<PendingEvent> queuedEvents;
    /** Filled by any thread, rarely. */
    private final ConcurrentLinkedQueue<Notice> queuedNotices = new ConcurrentLinkedQueue<>();
    private final AtomicLongArray counts = new AtomicLongArray(COUNTERS);
    /** Events that found no room in the ring; written by the decision thread only. */
    private volatile long droppedEvents;
    private volatile long droppedNotices;
    private volatile Position position;
    private volatile boolean closing;
    private final ExchangeRow exchangeRow = new ExchangeRow();
    private final Thread writerThread;
    // Used by the writer thread only, from here on.
    private final ByteArrayOutputStream blockBuffer = new ByteArrayOutputStream(BLOCK_BYTES);
    private JsonGenerator generator;
    private long eventsInBlock;
    /** Events left out since the start, as far as {@link Kind#LEFT_OUT} events tell of them. */
    private long reportedLeftOut;
    /** Events lost by failed writes. */
    private long unwrittenEvents;
    private FileChannel segmentFile;
    private long segmentLength;
    private long nextSegment;
    private byte[] lastDigest = new byte[AuditSegments.DIGEST_BYTES];
    private long nextBlock;
    /** Whether the last write failed; only the first failure in a row is logged. */
    private boolean failing;

    /**
     * Resumes the log in the directory of {@code config} and starts the writer thread. {@code processInfo} describes
     * the program and its settings, for the event that marks the start of this process. Throws IOException if the
     * directory can't be used.
     */
    public AuditWriter(AuditConfig config, String name, long nonce, String processInfo, HybridLogicalClock hybridClock,
            Disk disk) throws IOException {
        this.config = config;
        this.name = name;
        this.hybridClock = hybridClock;
        this.disk = disk;
        freeEvents = new SpscArrayQueue<>(config.ringCapacity());
        queuedEvents = new SpscArrayQueue<>(config.ringCapacity());
        for (int i = 0; i < config.ringCapacity(); i++) {
            freeEvents.offer(new PendingEvent());
        }
        Files.createDirectories(config.directory());
        resumeLog();
        generator = AuditSegments.CBOR.createGenerator(blockBuffer);
        position = new Position(nextBlock - 1, AuditSegments.hex(lastDigest));
        queuedNotices.add(new Notice(Kind.LIFE, nonce, 0, name, processInfo));
        writerThread = new Thread(null, this::runWriter, "audit", WRITER_STACK_BYTES);
        writerThread.setDaemon(true);
        writerThread.start();
    }

    /** Continues the log of the previous process; what it left incomplete at the end is removed. */
    private void resumeLog() throws IOException {
        List<Path> segments = AuditSegments.filesIn(config.directory()).stream()
                .filter(each -> each.getFileName().toString().startsWith(name + "-")).toList();
        int count = countWithoutTornStart(segments);
        if (count == 0) {
            return;
        }
        Path last = segments.get(count - 1);
        nextSegment = segmentNumber(last) + 1;
        long size = Files.size(last);
        AuditSegments.SegmentEnd end = AuditSegments.read(last, each -> { });
        if (end.intactBytes() < size) {
            try (FileChannel channel = FileChannel.open(last, StandardOpenOption.WRITE)) {
                channel.truncate(end.intactBytes());
            }
            LOG.log(System.Logger.Level.WARNING, "{0} ended with an incomplete block: {1} bytes cut off", last,
                    size - end.intactBytes());
        }
        lastDigest = end.digest();
        nextBlock = end.nextBlock();
    }

    /**
     * Deletes the segments at the end of the log that the previous process created without writing their whole header;
     * they hold no block. Returns how many segments are left.
     */
    private static int countWithoutTornStart(List<Path> segments) throws IOException {
        int count = segments.size();
        while (count > 0 && Files.size(segments.get(count - 1)) < AuditSegments.HEADER_BYTES) {
            count--;
            Path torn = segments.get(count);
            LOG.log(System.Logger.Level.WARNING, "{0} ended within its header: {1} bytes deleted", torn,
                    Files.size(torn));
            Files.delete(torn);
        }
        return count;
    }

    private static long segmentNumber(Path segment) {
        return Long.parseLong(segment.getFileName().toString().replaceAll(".*-(\\d+)\\.audit", "$1"));
    }

    /** The value of a counter, such as {@link #DECIDED_COUNTER}. */
    public long counter(int index) {
        return counts.get(index);
    }

    /** How far the log has come on the disk. */
    public Position position() {
        return position;
    }

    // On the decision thread.

    @Override
    public long subject(byte[] buf, int from, int to) {
        return 0;
    }

    @Override
    public ExchangeRow claimExchangeRow() {
        return exchangeRow;
    }

    @Override
    public void put(ExchangeRow row) {
        counts.lazySet(DECIDED_COUNTER, counts.get(DECIDED_COUNTER) + 1);
        int counterIndex = row.answerKind == DENIED ? DENIED_COUNTER
                : row.answerKind == TERMINATED ? row.startedAt > 0 ? FAILED_COUNTER : ABORTED_COUNTER
                : DECIDED_COUNTER;
        if (counterIndex > DECIDED_COUNTER) {
            counts.lazySet(counterIndex, counts.get(counterIndex) + 1);
        }
        enqueue(Kind.OVER, row.id, row.version, row.group, row.customer, row.answerKind, row.answeredAt);
    }

    @Override
    public void runRequested(long id, long version, int group, int customer, long at) {
        enqueue(Kind.BEGUN, id, version, group, customer, 0, at);
    }

    @Override
    public void versionActivated(long version) {
        enqueue(Kind.TAKEN, 0, version, 0, 0, 0, 0);
    }

    private void enqueue(Kind kind, long id, long version, int group, int customer, int answer, long instanceTime) {
        PendingEvent event = freeEvents.relaxedPoll();
        if (event == null) {
            droppedEvents++;
            return;
        }
        event.kind = kind;
        event.hybridTime = hybridClock.next();
        event.id = id;
        event.version = version;
        event.group = group;
        event.customer = customer;
        event.answer = answer;
        event.instanceTime = instanceTime;
        queuedEvents.offer(event);
    }

    @Override
    public GaugeRow claimGaugeRow() {
        return null;
    }

    @Override
    public void put(GaugeRow row) {
        throw new IllegalStateException("gauges are not recorded in the audit log");
    }

    // On any thread.

    /** Records a notice to staff. */
    public void recordNotice(String name, long version, String detail) {
        enqueue(new Notice(Kind.EVENT, 0, version, name, detail));
    }

    /** Records how far another instance's audit log has come, as reported by it. */
    public void recordPeerPosition(String peer, long block, String digest) {
        enqueue(new Notice(Kind.HEAD, block, 0, peer, digest));
    }

    private void enqueue(Notice notice) {
        if (queuedNotices.size() < MAX_QUEUED_NOTICES) {
            queuedNotices.add(notice);
        } else {
            droppedNotices++;
        }
    }

    // On the writer thread.

    private void runWriter() {
        long flushAt = System.nanoTime() + config.flushPeriod() * NS_PER_TENTH_MS;
        while (true) {
            boolean lastPass = closing;
            try {
                boolean drained = drainQueues();
                if (lastPass) {
                    appendEvent(Kind.END, hybridClock.next(), 0, 0, 0, 0, 0, 0, name, "");
                }
                if (lastPass || blockBuffer.size() >= BLOCK_BYTES || System.nanoTime() >= flushAt) {
                    writeBlock();
                    flushAt = System.nanoTime() + config.flushPeriod() * NS_PER_TENTH_MS;
                }
                if (lastPass) {
                    if (segmentFile != null) {
                        segmentFile.close();
                    }
                    return;
                }
                if (!drained) {
                    LockSupport.parkNanos(IDLE_PAUSE_NS);
                }
            } catch (IOException e) {
                handleWriteFailure(e);
                if (lastPass) {
                    return;
                }
                LockSupport.parkNanos(config.flushPeriod() * NS_PER_TENTH_MS);
            }
        }
    }

    private boolean drainQueues() throws IOException {
        boolean drained = false;
        for (Notice each = queuedNotices.poll(); each != null; each = queuedNotices.poll()) {
            appendEvent(each.kind(), hybridClock.next(), each.id(), each.version(), 0, 0, 0, 0, each.text(),
                    each.detail());
            drained = true;
        }
        for (PendingEvent each = queuedEvents.relaxedPoll(); each != null; each = queuedEvents.relaxedPoll()) {
            appendEvent(each.kind, each.hybridTime, each.id, each.version, each.group, each.customer, each.answer,
                    each.instanceTime, "",
                    "");
            freeEvents.offer(each);
            drained = true;
            if (blockBuffer.size() >= BLOCK_BYTES) {
                writeBlock();
            }
        }
        return drained;
    }

    private void appendEvent(Kind kind, long hybridTime, long id, long version, int group, int customer, int answer,
            long instanceTime,
            String text, String detail) throws IOException {
        AuditEvent.write(generator, kind, hybridTime, id, version, group, customer, answer, instanceTime, text, detail);
        generator.flush();
        eventsInBlock++;
    }

    private void writeBlock() throws IOException {
        long leftOut = droppedEvents + droppedNotices + unwrittenEvents;
        if (leftOut > reportedLeftOut) {
            appendEvent(Kind.LEFT_OUT, hybridClock.next(), leftOut - reportedLeftOut, 0, 0, 0, 0, 0, "", "");
            // If this one can't be written either, it must not be counted as another event that was left out.
            eventsInBlock--;
        }
        if (blockBuffer.size() == 0) {
            return;
        }
        if (segmentFile == null || segmentLength >= config.segmentBytes()) {
            startSegment();
        }
        byte[] payload = blockBuffer.toByteArray();
        byte[] blockDigest = AuditSegments.chainedDigest(lastDigest, payload, payload.length);
        byte[] block = AuditSegments.encodeBlock(blockDigest, payload, payload.length);
        disk.write(segmentFile, ByteBuffer.wrap(block));
        disk.sync(segmentFile);
        lastDigest = blockDigest;
        segmentLength += block.length;
        position = new Position(nextBlock, AuditSegments.hex(blockDigest));
        nextBlock++;
        reportedLeftOut = Math.max(reportedLeftOut, leftOut);
        blockBuffer.reset();
        eventsInBlock = 0;
        if (failing) {
            failing = false;
            LOG.log(System.Logger.Level.INFO,
                    "writing the audit log works again; {0} events were left out since the start", reportedLeftOut);
        }
    }

    /** Counts the events of the block as left out, and cuts off what was written of it. */
    private void handleWriteFailure(IOException e) {
        if (!failing) {
            LOG.log(System.Logger.Level.ERROR, "writing the audit log fails: {0}", String.valueOf(e.getMessage()));
        }
        failing = true;
        unwrittenEvents += eventsInBlock;
        blockBuffer.reset();
        eventsInBlock = 0;
        try {
            if (segmentFile != null) {
                segmentFile.truncate(segmentLength);
                segmentFile.position(segmentLength);
            }
        } catch (IOException again) {
            segmentFile = null;
        }
    }

    private void startSegment() throws IOException {
        if (segmentFile != null) {
            segmentFile.close();
            segmentFile = null;
        }
        deleteOldSegments();
        Path path = AuditSegments.segmentPath(config.directory(), name, nextSegment);
        FileChannel channel = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
                StandardOpenOption.TRUNCATE_EXISTING);
        try {
            disk.write(channel,
                    ByteBuffer.wrap(new AuditSegments.Header(name, nextSegment, nextBlock, lastDigest).encode()));
        } catch (IOException e) {
            channel.close();
            throw e;
        }
        segmentFile = channel;
        segmentLength = AuditSegments.HEADER_BYTES;
        nextSegment++;
    }

    /**
     * Deletes the oldest segments while there is no room for another one. That they are missing is detectable: the
     * header of the next one has the number of its first block.
     */
    private void deleteOldSegments() throws IOException {
        List<Path> segments = AuditSegments.filesIn(config.directory());
        long totalBytes = 0;
        for (Path each : segments) {
            totalBytes += Files.size(each);
        }
        for (Path each : segments) {
            if (totalBytes + config.segmentBytes() <= config.maxBytes()) {
                return;
            }
            totalBytes -= Files.size(each);
            Files.delete(each);
            LOG.log(System.Logger.Level.WARNING, "deleted {0}: the audit log is limited to {1} MB", each,
                    config.maxBytes() >> 20);
        }
    }

    /** Writes all queued events and ends the log. To be called on another thread, when no more events come. */
    @Override
    public void close() {
        closing = true;
        try {
            writerThread.join(TimeUnit.SECONDS.toMillis(CLOSE_TIMEOUT_S));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
