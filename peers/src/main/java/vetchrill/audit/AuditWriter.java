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
 * The record of one instance: what it decided, by which version, and what it heard of the records of others. Rows are
 * noted on the decision thread, which never waits, and written in blocks by a thread of its own, each block with the
 * digest of all before it. What finds no room, in memory or on the disk, is counted, and the count is written as soon
 * as something can be.
 */
public final class AuditWriter implements Recorder {
    /** Where the octets go; a rig puts a disk in its place that is full or slow. */
    public interface Disk {
        void write(FileChannel channel, ByteBuffer bytes) throws IOException;

        void sync(FileChannel channel) throws IOException;
    }

    /** The disk as it is. */
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

    /** How far the record has come, as others are told. */
    public record Position(long block, String digest) {
    }

    private static final System.Logger LOG = System.getLogger("vetchrill.audit");
    private static final long IDLE_PAUSE_NS = 2_000_000;
    private static final int BLOCK_BYTES = 256 << 10;
    private static final int MAX_QUEUED_NOTICES = 4_096;

    private record Notice(Kind kind, long id, long version, String text, String detail) {
    }

    /** A row on its way, taken up again once it is written. */
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
    /** From whatever thread, seldom. */
    private final ConcurrentLinkedQueue<Notice> queuedNotices = new ConcurrentLinkedQueue<>();
    private final AtomicLongArray counts = new AtomicLongArray(4);
    /** Written by the decision thread only: rows that found no room in the ring. */
    private volatile long droppedEvents;
    private volatile long droppedNotices;
    private volatile Position position;
    private volatile boolean closing;
    private final ExchangeRow exchangeRow = new ExchangeRow();
    private final Thread writerThread;
    // Of the writer alone.
    private final ByteArrayOutputStream blockBuffer = new ByteArrayOutputStream(BLOCK_BYTES);
    private JsonGenerator generator;
    private long eventsInBlock;
    private long reportedLeftOut;
    private long unwrittenEvents;
    private FileChannel segmentFile;
    private long segmentLength;
    private long nextSegment;
    private byte[] lastDigest = new byte[AuditSegments.DIGEST_BYTES];
    private long nextBlock;
    private boolean failing;

    /** {@code what} says what the process is, at the begin of its life. Throws where the folder is of no use. */
    public AuditWriter(AuditConfig config, String name, long nonce, String processInfo, HybridLogicalClock hybridClock,
            Disk disk)
            throws IOException {
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
        writerThread = new Thread(null, this::runWriter, "audit", 512 << 10);
        writerThread.setDaemon(true);
        writerThread.start();
    }

    /** Where the record of the last life ends, this one goes on; a write that was torn by its end is cut off. */
    private void resumeLog() throws IOException {
        List<Path> segments = AuditSegments.filesIn(config.directory()).stream()
                .filter(each -> each.getFileName().toString().startsWith(name + "-")).toList();
        if (segments.isEmpty()) {
            return;
        }
        Path last = segments.get(segments.size() - 1);
        String number = last.getFileName().toString().replaceAll(".*-(\\d+)\\.audit", "$1");
        nextSegment = Long.parseLong(number) + 1;
        long size = Files.size(last);
        AuditSegments.SegmentEnd end = AuditSegments.read(last, each -> { });
        if (end.intactBytes() < size) {
            try (FileChannel channel = FileChannel.open(last, StandardOpenOption.WRITE)) {
                channel.truncate(end.intactBytes());
            }
            LOG.log(System.Logger.Level.WARNING, "{0} ended within a block: {1} octets cut off", last, size
                    - end.intactBytes());
        }
        if (end.intactBytes() > 0) {
            lastDigest = end.digest();
            nextBlock = end.nextBlock();
        }
    }

    /** Exchanges that were decided since the start, and of these denied, failed and broken off. */
    public long counter(int index) {
        return counts.get(index);
    }

    /** How far the record has come on the disk. */
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
        counts.lazySet(0, counts.get(0) + 1);
        int counterIndex = row.answerKind == DENIED ? 1 : row.answerKind == TERMINATED ? row.startedAt > 0 ? 2 : 3 : 0;
        if (counterIndex > 0) {
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
        throw new IllegalStateException("looks are not recorded here");
    }

    // On any thread.

    /** Something that staff was told. */
    public void recordNotice(String name, long version, String detail) {
        enqueue(new Notice(Kind.EVENT, 0, version, name, detail));
    }

    /** What another instance said of its record. */
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

    // On the writer's thread.

    private void runWriter() {
        long flushAt = System.nanoTime() + config.flushPeriod() * 100_000;
        while (true) {
            boolean lastPass = closing;
            try {
                boolean drained = drainQueues();
                if (lastPass) {
                    appendEvent(Kind.END, hybridClock.next(), 0, 0, 0, 0, 0, 0, name, "");
                }
                if (lastPass || blockBuffer.size() >= BLOCK_BYTES || System.nanoTime() >= flushAt) {
                    writeBlock();
                    flushAt = System.nanoTime() + config.flushPeriod() * 100_000;
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
                LockSupport.parkNanos(config.flushPeriod() * 100_000);
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
            // Where this can't be written either, it is not one more that was left out.
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
            LOG.log(System.Logger.Level.INFO, "the record goes on; {0} rows were left out since the start",
                    reportedLeftOut);
        }
    }

    /** What could not be written is left out and counted; what stands in the file by half is cut off again. */
    private void handleWriteFailure(IOException e) {
        if (!failing) {
            LOG.log(System.Logger.Level.ERROR, "the record can''t be written: {0}", String.valueOf(e.getMessage()));
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

    /** The oldest files go first; that they were there shows by the number at which the next one begins. */
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
            LOG.log(System.Logger.Level.WARNING, "{0} is given up for the bound of {1} MB", each,
                    config.maxBytes() >> 20);
        }
    }

    /** On any other thread, once nothing is noted any more; what was noted is written. */
    @Override
    public void close() {
        closing = true;
        try {
            writerThread.join(TimeUnit.SECONDS.toMillis(5));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
