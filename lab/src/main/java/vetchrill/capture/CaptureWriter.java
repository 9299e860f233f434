package vetchrill.capture;

import java.io.IOException;
import java.io.OutputStream;
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
 * Writes what an instance does to a capture file, from a thread of its own. Rows go round between two bounded rings:
 * the decision thread takes an empty one and gives it back filled, the writer the other way round, so that neither
 * waits for the other and no row is ever allocated. What finds no empty row is counted, and the count stands in the
 * next part.
 */
public final class CaptureWriter implements Recorder {
    private static final System.Logger LOG = System.getLogger("vetchrill.capture");
    private static final int PART_ROWS = 4_096;
    private static final long PAUSE_NS = 2_000_000;

    private final CaptureOrder order;
    private final Path file;
    private final OutputStream out;
    private final Map<String, String> provenance;
    private final SpscArrayQueue<ExchangeRow> emptyExchanges;
    private final SpscArrayQueue<ExchangeRow> exchanges;
    private final SpscArrayQueue<GaugeRow> emptyLooks;
    private final SpscArrayQueue<GaugeRow> looks;
    private final ThreadLocal<Mac> mac;
    private final RootAllocator memory = new RootAllocator(256L << 20);
    private final VectorSchemaRoot exchangeRows;
    private final VectorSchemaRoot lookRows;
    private final Thread writer;
    private volatile boolean closing;
    /** Written by the decision thread only. */
    private volatile long lost;
    private int exchangeCount;
    private int lookCount;
    /** Of the writer alone: rows that the bound on the file left out. */
    private long spared;
    private long written;
    private boolean full;

    /** {@code provenance} says what the rows are of; see {@link Capture} for the names it must have. */
    public CaptureWriter(CaptureOrder order, Map<String, String> provenance) throws IOException {
        this.order = order;
        this.provenance = new LinkedHashMap<>(provenance);
        this.provenance.put("zone", order.zone);
        this.provenance.put("kind", order.kind);
        Files.createDirectories(order.directory);
        file = order.directory.resolve(provenance.get("name") + "-" + provenance.get("started") + ".vcap");
        out = Files.newOutputStream(file);
        emptyExchanges = new SpscArrayQueue<>(order.ring);
        exchanges = new SpscArrayQueue<>(order.ring);
        emptyLooks = new SpscArrayQueue<>(256);
        looks = new SpscArrayQueue<>(256);
        for (int i = 0; i < order.ring; i++) {
            emptyExchanges.offer(new ExchangeRow());
        }
        for (int i = 0; i < 256; i++) {
            emptyLooks.offer(new GaugeRow());
        }
        mac = ThreadLocal.withInitial(this::keyed);
        exchangeRows = VectorSchemaRoot.create(Parts.schema(Parts.EXCHANGES, this.provenance), memory);
        lookRows = VectorSchemaRoot.create(Parts.schema(Parts.LOOKS, this.provenance), memory);
        writer = new Thread(null, this::keep, "capture", 512 << 10);
        writer.setDaemon(true);
        writer.start();
    }

    public Path file() {
        return file;
    }

    private Mac keyed() {
        try {
            Mac keyed = Mac.getInstance("HmacSHA256");
            keyed.init(new SecretKeySpec(order.key, "HmacSHA256"));
            return keyed;
        } catch (NoSuchAlgorithmException | InvalidKeyException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public long subject(byte[] buf, int from, int to) {
        Mac keyed = mac.get();
        keyed.update(buf, from, to - from);
        long value = java.nio.ByteBuffer.wrap(keyed.doFinal()).getLong();
        return value == 0 ? 1 : value;
    }

    // On the decision thread.

    @Override
    public ExchangeRow claimExchangeRow() {
        ExchangeRow row = emptyExchanges.relaxedPoll();
        if (row == null) {
            lost++;
        }
        return row;
    }

    @Override
    public void put(ExchangeRow row) {
        exchanges.offer(row);
    }

    @Override
    public GaugeRow claimGaugeRow() {
        return emptyLooks.relaxedPoll();
    }

    @Override
    public void put(GaugeRow row) {
        looks.offer(row);
    }

    // On the writer's thread.

    private void keep() {
        long flushAt = System.nanoTime() + order.flushEvery * 100_000;
        try {
            // Whose rows they would be is in the file from the first moment, however soon the process is killed.
            write(exchangeRows, Parts.EXCHANGES);
            out.flush();
            while (true) {
                boolean last = closing;
                boolean any = drain();
                long now = System.nanoTime();
                if (last || now >= flushAt) {
                    flush();
                    flushAt = now + order.flushEvery * 100_000;
                }
                if (last) {
                    end();
                    return;
                }
                if (!any) {
                    LockSupport.parkNanos(PAUSE_NS);
                }
            }
        } catch (IOException | RuntimeException e) {
            // The instance goes on serving: from here on its rows find no room and are counted, by no file any more.
            LOG.log(System.Logger.Level.ERROR, "the capture has ended early: {0}", e.toString());
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
        for (GaugeRow row = looks.relaxedPoll(); row != null; row = looks.relaxedPoll()) {
            fill(row);
            emptyLooks.offer(row);
            any = true;
            if (++lookCount == PART_ROWS) {
                flush();
            }
        }
        return any;
    }

    private void fill(ExchangeRow row) {
        int at = exchangeCount;
        long[] values = {row.arrivedAt, row.dequeuedAt - row.arrivedAt, row.group, row.customer, row.stubNumber,
                row.subject, 0,
            row.bytes, row.startedAt, row.runDuration, row.answeredAt, row.answerKind, row.retryAfter,
            row.doNotRetry ? 1 : 0};
        for (int i = 0; i < values.length; i++) {
            FieldVector column = exchangeRows.getVector(i);
            if (i == 6) {
                Parts.set(column, at, (double) row.kb);
            } else {
                Parts.set(column, at, values[i]);
            }
        }
    }

    private void fill(GaugeRow row) {
        double[] values = {0, row.cpu, row.runnable, row.memory, row.connections, row.open, row.running};
        Parts.set(lookRows.getVector(0), lookCount, row.sampledAt);
        for (int i = 1; i < values.length; i++) {
            Parts.set(lookRows.getVector(i), lookCount, values[i]);
        }
    }

    private void flush() throws IOException {
        flush(exchangeRows, Parts.EXCHANGES, exchangeCount);
        exchangeCount = 0;
        flush(lookRows, Parts.LOOKS, lookCount);
        lookCount = 0;
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
        provenance.put("lost", Long.toString(lost + spared));
        // It shares the columns, so that only the owner of those closes them.
        byte[] part = Parts.write(new VectorSchemaRoot(Parts.schema(table, provenance), rows.getFieldVectors(),
                rows.getRowCount()), table);
        if (written + part.length > order.mostBytes) {
            // What the disk was promised to be spared counts as lost.
            spared += table == Parts.EXCHANGES ? rows.getRowCount() : 0;
            if (!full) {
                LOG.log(System.Logger.Level.WARNING, "the capture has reached its {0} MB", order.mostBytes >> 20);
            }
            full = true;
            return;
        }
        out.write(part);
        written += part.length;
    }

    private void end() throws IOException {
        provenance.put("lost", Long.toString(lost + spared));
        try (VectorSchemaRoot none = VectorSchemaRoot.create(Parts.schema(Parts.END, provenance), memory)) {
            none.setRowCount(0);
            out.write(Parts.write(none, Parts.END));
        }
        out.close();
    }

    /** On any other thread, once nothing is put any more; what was put is written. */
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
