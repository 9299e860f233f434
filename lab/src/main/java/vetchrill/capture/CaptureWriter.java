package vetchrill.capture;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.InvalidKeyException;
import java.security.NoSuchAlgorithmException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.apache.arrow.memory.RootAllocator;
import org.apache.arrow.vector.FieldVector;
import org.apache.arrow.vector.VectorSchemaRoot;
import org.jctools.queues.SpscArrayQueue;
import vetchrill.routing.Recorder;

/**
 * Records what an instance does in a capture file, from its own thread. Rows circulate between two bounded rings: the
 * decision thread takes an empty row from one and puts it filled into the other, the writer returns it. So neither
 * waits for the other, and no row is allocated after the start. An exchange for which there is no empty row is counted
 * as dropped; the count is in the metadata of the next part.
 */
public final class CaptureWriter implements Recorder {
    private static final System.Logger LOG = System.getLogger("vetchrill.capture");
    private static final int PART_ROWS = 4_096;
    private static final int GAUGE_RING_ROWS = 256;
    private static final long NS_PER_TENTH_MS = 100_000;
    /** Column of {@link CaptureFormat#EXCHANGE_COLUMNS} that is not a whole number. */
    private static final int SIZE_KB_COLUMN = 6;
    private static final int WRITER_STACK_BYTES = 512 << 10;
    private static final long ALLOCATOR_LIMIT_BYTES = 256L << 20;
    private static final long CLOSE_TIMEOUT_S = 5;
    /** Pause of the writer while there is nothing to write. */
    private static final long IDLE_PAUSE_NS = 2_000_000;

    private final CaptureConfig settings;
    private final Path file;
    private final OutputStream out;
    private final Map<String, String> metadata;
    private final SpscArrayQueue<ExchangeRow> emptyExchanges;
    private final SpscArrayQueue<ExchangeRow> exchanges;
    private final SpscArrayQueue<GaugeRow> emptyGauges;
    private final SpscArrayQueue<GaugeRow> gauges;
    private final ThreadLocal<Mac> mac;
    private final RootAllocator allocator = new RootAllocator(ALLOCATOR_LIMIT_BYTES);
    private final VectorSchemaRoot exchangeTable;
    private final VectorSchemaRoot gaugeTable;
    private final Thread writer;
    private volatile boolean closing;
    /** Exchanges for which there was no empty row; written by the decision thread only. */
    private volatile long droppedRows;
    private int exchangeCount;
    private int gaugeCount;
    /** Rows left out as the file has reached its limit; used by the writer only. */
    private long rowsBeyondLimit;
    private long writtenBytes;
    private boolean limitReached;

    /** {@code metadata} is the metadata of each part; {@link Capture} lists the keys that it must have. */
    public CaptureWriter(CaptureConfig settings, Map<String, String> metadata) throws IOException {
        this.settings = settings;
        this.metadata = new LinkedHashMap<>(metadata);
        this.metadata.put("zone", settings.zone);
        this.metadata.put("kind", settings.kind);
        Files.createDirectories(settings.directory);
        file = settings.directory.resolve(metadata.get("name") + "-" + metadata.get("started") + ".vcap");
        out = Files.newOutputStream(file);
        emptyExchanges = new SpscArrayQueue<>(settings.ringRows);
        exchanges = new SpscArrayQueue<>(settings.ringRows);
        emptyGauges = new SpscArrayQueue<>(GAUGE_RING_ROWS);
        gauges = new SpscArrayQueue<>(GAUGE_RING_ROWS);
        for (int i = 0; i < settings.ringRows; i++) {
            emptyExchanges.offer(new ExchangeRow());
        }
        for (int i = 0; i < GAUGE_RING_ROWS; i++) {
            emptyGauges.offer(new GaugeRow());
        }
        mac = ThreadLocal.withInitial(this::createMac);
        exchangeTable = VectorSchemaRoot.create(CaptureFormat.schema(CaptureFormat.EXCHANGES, this.metadata),
                allocator);
        gaugeTable = VectorSchemaRoot.create(CaptureFormat.schema(CaptureFormat.GAUGES, this.metadata), allocator);
        writer = new Thread(null, this::runWriter, "capture", WRITER_STACK_BYTES);
        writer.setDaemon(true);
        writer.start();
    }

    /** Returns the path of the capture file. */
    public Path file() {
        return file;
    }

    private Mac createMac() {
        try {
            Mac created = Mac.getInstance("HmacSHA256");
            created.init(new SecretKeySpec(settings.subjectKey, "HmacSHA256"));
            return created;
        } catch (NoSuchAlgorithmException | InvalidKeyException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public long subject(byte[] buf, int from, int to) {
        Mac subjectMac = mac.get();
        subjectMac.update(buf, from, to - from);
        long value = ByteBuffer.wrap(subjectMac.doFinal()).getLong();
        return value == 0 ? 1 : value;
    }

    // Called on the decision thread.

    @Override
    public ExchangeRow claimExchangeRow() {
        ExchangeRow row = emptyExchanges.relaxedPoll();
        if (row == null) {
            droppedRows++;
        }
        return row;
    }

    @Override
    public void put(ExchangeRow row) {
        exchanges.offer(row);
    }

    @Override
    public GaugeRow claimGaugeRow() {
        return emptyGauges.relaxedPoll();
    }

    @Override
    public void put(GaugeRow row) {
        gauges.offer(row);
    }

    // Called on the writer's thread.

    private void runWriter() {
        long flushAt = System.nanoTime() + settings.flushPeriod * NS_PER_TENTH_MS;
        try {
            // The metadata is in the file from the start, even if the process is killed before it records a row.
            write(exchangeTable, CaptureFormat.EXCHANGES);
            out.flush();
            while (true) {
                boolean last = closing;
                boolean any = drain();
                long now = System.nanoTime();
                if (last || now >= flushAt) {
                    flush();
                    flushAt = now + settings.flushPeriod * NS_PER_TENTH_MS;
                }
                if (last) {
                    writeEnd();
                    return;
                }
                if (!any) {
                    LockSupport.parkNanos(IDLE_PAUSE_NS);
                }
            }
        } catch (IOException | RuntimeException e) {
            // The instance continues to serve. Its rings fill up, so further exchanges are dropped.
            LOG.log(System.Logger.Level.ERROR, "recording has stopped: {0}", e.toString());
        }
    }

    private boolean drain() throws IOException {
        boolean any = false;
        for (ExchangeRow row = exchanges.relaxedPoll(); row != null; row = exchanges.relaxedPoll()) {
            fill(row);
            emptyExchanges.offer(row);
            any = true;
            if (++exchangeCount == PART_ROWS) {
                flush();
            }
        }
        for (GaugeRow row = gauges.relaxedPoll(); row != null; row = gauges.relaxedPoll()) {
            fill(row);
            emptyGauges.offer(row);
            any = true;
            if (++gaugeCount == PART_ROWS) {
                flush();
            }
        }
        return any;
    }

    private void fill(ExchangeRow row) {
        int index = exchangeCount;
        long[] values = {row.arrivedAt, row.dequeuedAt - row.arrivedAt, row.group, row.customer, row.stubNumber,
            row.subject, 0, row.bytes, row.startedAt, row.runDuration, row.answeredAt, row.answerKind, row.retryAfter,
            row.noRetry ? 1 : 0};
        for (int i = 0; i < values.length; i++) {
            FieldVector column = exchangeTable.getVector(i);
            if (i == SIZE_KB_COLUMN) {
                CaptureFormat.set(column, index, (double) row.kb);
            } else {
                CaptureFormat.set(column, index, values[i]);
            }
        }
    }

    private void fill(GaugeRow row) {
        double[] values = {0, row.cpu, row.runnable, row.memory, row.connections, row.open, row.running};
        CaptureFormat.set(gaugeTable.getVector(0), gaugeCount, row.sampledAt);
        for (int i = 1; i < values.length; i++) {
            CaptureFormat.set(gaugeTable.getVector(i), gaugeCount, values[i]);
        }
    }

    private void flush() throws IOException {
        flush(exchangeTable, CaptureFormat.EXCHANGES, exchangeCount);
        exchangeCount = 0;
        flush(gaugeTable, CaptureFormat.GAUGES, gaugeCount);
        gaugeCount = 0;
        out.flush();
    }

    private void flush(VectorSchemaRoot rows, byte table, int count) throws IOException {
        if (count > 0) {
            rows.setRowCount(count);
            write(rows, table);
            rows.clear();
        }
    }

    private void write(VectorSchemaRoot rows, byte table) throws IOException {
        metadata.put("lost", Long.toString(droppedRows + rowsBeyondLimit));
        // This table shares the columns of the other, which closes them, so it is not closed here.
        byte[] part = CaptureFormat.encode(new VectorSchemaRoot(CaptureFormat.schema(table, metadata),
                rows.getFieldVectors(),
                rows.getRowCount()), table);
        if (writtenBytes + part.length > settings.maxBytes) {
            // Rows past the limit on the file count as dropped.
            rowsBeyondLimit += table == CaptureFormat.EXCHANGES ? rows.getRowCount() : 0;
            if (!limitReached) {
                LOG.log(System.Logger.Level.WARNING,
                        "the capture file has reached its limit of {0} MB; further rows are dropped",
                        settings.maxBytes >> 20);
            }
            limitReached = true;
            return;
        }
        out.write(part);
        writtenBytes += part.length;
    }

    private void writeEnd() throws IOException {
        metadata.put("lost", Long.toString(droppedRows + rowsBeyondLimit));
        try (VectorSchemaRoot empty = VectorSchemaRoot.create(CaptureFormat.schema(CaptureFormat.END, metadata),
                allocator)) {
            empty.setRowCount(0);
            out.write(CaptureFormat.encode(empty, CaptureFormat.END));
        }
        out.close();
    }

    /** Writes all rows that were put, and the end part. Called on another thread, after the last row was put. */
    @Override
    public void close() {
        closing = true;
        try {
            writer.join(TimeUnit.SECONDS.toMillis(CLOSE_TIMEOUT_S));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
