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
import vetchrill.audit.Row.Kind;
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
        void write(FileChannel to, ByteBuffer bytes) throws IOException;

        void sync(FileChannel of) throws IOException;
    }

    /** The disk as it is. */
    public static final Disk PLAIN = new Disk() {
        @Override
        public void write(FileChannel to, ByteBuffer bytes) throws IOException {
            while (bytes.hasRemaining()) {
                to.write(bytes);
            }
        }

        @Override
        public void sync(FileChannel of) throws IOException {
            of.force(false);
        }
    };

    /** How far the record has come, as others are told. */
    public record Reached(long block, String digest) {
    }

    private static final System.Logger LOG = System.getLogger("vetchrill.audit");
    private static final long PAUSE_NS = 2_000_000;
    private static final int BLOCK = 256 << 10;
    private static final int NOTES = 4_096;

    private record Note(Kind kind, long id, long version, String text, String more) {
    }

    /** A row on its way, taken up again once it is written. */
    private static final class Waiting {
        private Kind kind;
        private long hybrid;
        private long id;
        private long version;
        private int group;
        private int customer;
        private int answer;
        private long at;
    }

    private final AuditTerms terms;
    private final String name;
    private final HybridTime time;
    private final Disk disk;
    private final SpscArrayQueue<Waiting> empty;
    private final SpscArrayQueue<Waiting> full;
    /** From whatever thread, seldom. */
    private final ConcurrentLinkedQueue<Note> notes = new ConcurrentLinkedQueue<>();
    private final AtomicLongArray counts = new AtomicLongArray(4);
    /** Written by the decision thread only: rows that found no room in the ring. */
    private volatile long missed;
    private volatile long notesMissed;
    private volatile Reached reached;
    private volatile boolean closing;
    private final ExchangeRow row = new ExchangeRow();
    private final Thread writer;
    // Of the writer alone.
    private final ByteArrayOutputStream rows = new ByteArrayOutputStream(BLOCK);
    private JsonGenerator out;
    private long rowsInBlock;
    private long told;
    private long lost;
    private FileChannel file;
    private long fileBytes;
    private long segment;
    private byte[] digest = new byte[Segments.DIGEST];
    private long nextBlock;
    private boolean failing;

    /** {@code what} says what the process is, at the begin of its life. Throws where the folder is of no use. */
    public AuditWriter(AuditTerms terms, String name, long nonce, String what, HybridTime time, Disk disk)
            throws IOException {
        this.terms = terms;
        this.name = name;
        this.time = time;
        this.disk = disk;
        empty = new SpscArrayQueue<>(terms.ring());
        full = new SpscArrayQueue<>(terms.ring());
        for (int i = 0; i < terms.ring(); i++) {
            empty.offer(new Waiting());
        }
        Files.createDirectories(terms.directory());
        goOn();
        out = Segments.CBOR.createGenerator(rows);
        reached = new Reached(nextBlock - 1, Segments.hex(digest));
        notes.add(new Note(Kind.LIFE, nonce, 0, name, what));
        writer = new Thread(null, this::keep, "audit", 512 << 10);
        writer.setDaemon(true);
        writer.start();
    }

    /** Where the record of the last life ends, this one goes on; a write that was torn by its end is cut off. */
    private void goOn() throws IOException {
        List<Path> mine = Segments.in(terms.directory()).stream()
                .filter(each -> each.getFileName().toString().startsWith(name + "-")).toList();
        if (mine.isEmpty()) {
            return;
        }
        Path last = mine.get(mine.size() - 1);
        String number = last.getFileName().toString().replaceAll(".*-(\\d+)\\.audit", "$1");
        segment = Long.parseLong(number) + 1;
        long size = Files.size(last);
        Segments.End end = Segments.read(last, each -> { });
        if (end.whole() < size) {
            try (FileChannel channel = FileChannel.open(last, StandardOpenOption.WRITE)) {
                channel.truncate(end.whole());
            }
            LOG.log(System.Logger.Level.WARNING, "{0} ended within a block: {1} octets cut off", last, size
                    - end.whole());
        }
        if (end.whole() > 0) {
            digest = end.digest();
            nextBlock = end.nextBlock();
        }
    }

    /** Exchanges that were decided since the start, and of these denied, failed and broken off. */
    public long count(int which) {
        return counts.get(which);
    }

    /** How far the record has come on the disk. */
    public Reached reached() {
        return reached;
    }

    // On the decision thread.

    @Override
    public long subject(byte[] buf, int from, int to) {
        return 0;
    }

    @Override
    public ExchangeRow claimExchange() {
        return row;
    }

    @Override
    public void put(ExchangeRow row) {
        counts.lazySet(0, counts.get(0) + 1);
        int kind = row.answer == DENIED ? 1 : row.answer == TERMINATED ? row.begun > 0 ? 2 : 3 : 0;
        if (kind > 0) {
            counts.lazySet(kind, counts.get(kind) + 1);
        }
        note(Kind.OVER, row.id, row.version, row.group, row.customer, row.answer, row.answered);
    }

    @Override
    public void begun(long id, long version, int group, int customer, long at) {
        note(Kind.BEGUN, id, version, group, customer, 0, at);
    }

    @Override
    public void taken(long version) {
        note(Kind.TAKEN, 0, version, 0, 0, 0, 0);
    }

    private void note(Kind kind, long id, long version, int group, int customer, int answer, long at) {
        Waiting each = empty.relaxedPoll();
        if (each == null) {
            missed++;
            return;
        }
        each.kind = kind;
        each.hybrid = time.next();
        each.id = id;
        each.version = version;
        each.group = group;
        each.customer = customer;
        each.answer = answer;
        each.at = at;
        full.offer(each);
    }

    @Override
    public LookRow claimLook() {
        return null;
    }

    @Override
    public void put(LookRow row) {
        throw new IllegalStateException("looks are not recorded here");
    }

    // On any thread.

    /** Something that staff was told. */
    public void event(String what, long version, String of) {
        note(new Note(Kind.EVENT, 0, version, what, of));
    }

    /** What another instance said of its record. */
    public void head(String peer, long block, String digest) {
        note(new Note(Kind.HEAD, block, 0, peer, digest));
    }

    private void note(Note note) {
        if (notes.size() < NOTES) {
            notes.add(note);
        } else {
            notesMissed++;
        }
    }

    // On the writer's thread.

    private void keep() {
        long flushAt = System.nanoTime() + terms.flush() * 100_000;
        while (true) {
            boolean last = closing;
            try {
                boolean any = drain();
                if (last) {
                    row(Kind.END, time.next(), 0, 0, 0, 0, 0, 0, name, "");
                }
                if (last || rows.size() >= BLOCK || System.nanoTime() >= flushAt) {
                    flush();
                    flushAt = System.nanoTime() + terms.flush() * 100_000;
                }
                if (last) {
                    if (file != null) {
                        file.close();
                    }
                    return;
                }
                if (!any) {
                    LockSupport.parkNanos(PAUSE_NS);
                }
            } catch (IOException e) {
                failed(e);
                if (last) {
                    return;
                }
                LockSupport.parkNanos(terms.flush() * 100_000);
            }
        }
    }

    private boolean drain() throws IOException {
        boolean any = false;
        for (Note each = notes.poll(); each != null; each = notes.poll()) {
            row(each.kind(), time.next(), each.id(), each.version(), 0, 0, 0, 0, each.text(), each.more());
            any = true;
        }
        for (Waiting each = full.relaxedPoll(); each != null; each = full.relaxedPoll()) {
            row(each.kind, each.hybrid, each.id, each.version, each.group, each.customer, each.answer, each.at, "",
                    "");
            empty.offer(each);
            any = true;
            if (rows.size() >= BLOCK) {
                flush();
            }
        }
        return any;
    }

    private void row(Kind kind, long hybrid, long id, long version, int group, int customer, int answer, long at,
            String text, String more) throws IOException {
        Row.write(out, kind, hybrid, id, version, group, customer, answer, at, text, more);
        out.flush();
        rowsInBlock++;
    }

    private void flush() throws IOException {
        long out = missed + notesMissed + lost;
        if (out > told) {
            row(Kind.LEFT_OUT, time.next(), out - told, 0, 0, 0, 0, 0, "", "");
            // Where this can't be written either, it is not one more that was left out.
            rowsInBlock--;
        }
        if (rows.size() == 0) {
            return;
        }
        if (file == null || fileBytes >= terms.segmentBytes()) {
            begin();
        }
        byte[] bytes = rows.toByteArray();
        byte[] its = Segments.digest(digest, bytes, bytes.length);
        byte[] block = Segments.block(its, bytes, bytes.length);
        disk.write(file, ByteBuffer.wrap(block));
        disk.sync(file);
        digest = its;
        fileBytes += block.length;
        reached = new Reached(nextBlock, Segments.hex(its));
        nextBlock++;
        told = Math.max(told, out);
        rows.reset();
        rowsInBlock = 0;
        if (failing) {
            failing = false;
            LOG.log(System.Logger.Level.INFO, "the record goes on; {0} rows were left out since the start", told);
        }
    }

    /** What could not be written is left out and counted; what stands in the file by half is cut off again. */
    private void failed(IOException e) {
        if (!failing) {
            LOG.log(System.Logger.Level.ERROR, "the record can''t be written: {0}", String.valueOf(e.getMessage()));
        }
        failing = true;
        lost += rowsInBlock;
        rows.reset();
        rowsInBlock = 0;
        try {
            if (file != null) {
                file.truncate(fileBytes);
                file.position(fileBytes);
            }
        } catch (IOException again) {
            file = null;
        }
    }

    private void begin() throws IOException {
        if (file != null) {
            file.close();
            file = null;
        }
        spare();
        Path path = Segments.file(terms.directory(), name, segment);
        FileChannel fresh = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
                StandardOpenOption.TRUNCATE_EXISTING);
        try {
            disk.write(fresh, ByteBuffer.wrap(new Segments.Head(name, segment, nextBlock, digest).bytes()));
        } catch (IOException e) {
            fresh.close();
            throw e;
        }
        file = fresh;
        fileBytes = Segments.HEAD;
        segment++;
    }

    /** The oldest files go first; that they were there shows by the number at which the next one begins. */
    private void spare() throws IOException {
        List<Path> mine = Segments.in(terms.directory());
        long all = 0;
        for (Path each : mine) {
            all += Files.size(each);
        }
        for (Path each : mine) {
            if (all + terms.segmentBytes() <= terms.mostBytes()) {
                return;
            }
            all -= Files.size(each);
            Files.delete(each);
            LOG.log(System.Logger.Level.WARNING, "{0} is given up for the bound of {1} MB", each,
                    terms.mostBytes() >> 20);
        }
    }

    /** On any other thread, once nothing is noted any more; what was noted is written. */
    @Override
    public void close() {
        closing = true;
        try {
            writer.join(TimeUnit.SECONDS.toMillis(5));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
