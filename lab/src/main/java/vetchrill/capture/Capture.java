package vetchrill.capture;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32C;
import org.apache.arrow.memory.RootAllocator;
import org.apache.arrow.vector.BaseIntVector;
import org.apache.arrow.vector.FieldVector;
import org.apache.arrow.vector.Float4Vector;
import org.apache.arrow.vector.VectorSchemaRoot;
import org.apache.arrow.vector.ipc.ArrowStreamReader;
import vetchrill.protocol.DeploymentReader;
import vetchrill.routing.Recorder;

/**
 * The recording of one incarnation of one instance, read from its file. Each column is an array; a row has the same
 * index in all of them. Times and durations are tenths of a millisecond.
 */
public final class Capture {
    private static final int TENTHS_PER_MS = 10;
    private static final long ALLOCATOR_LIMIT_BYTES = 512L << 20;

    public final Path file;
    /** The names of the instance, of its zone and of its machine kind. */
    public final String name;
    public final String zone;
    public final String kind;
    /** When its process started, in tenths of a millisecond since the Unix epoch. */
    public final long startedAt;
    /** The deployment settings with which the instance ran. */
    public final DeploymentReader deployment;
    /** Whether the recorder was closed; else the file is read up to its last complete part. */
    public boolean complete;
    /** Bytes of an incomplete part at the end, which are ignored. */
    public long cutBytes;
    /** Exchanges that were not recorded, as the ring or the file was full. */
    public long droppedRows;
    /** How many exchanges were recorded; the columns that follow have this many values. */
    public int rows;
    public long[] arrivedAt = new long[0];
    public long[] dequeuedAt = new long[0];
    public byte[] group = new byte[0];
    public int[] customer = new int[0];
    public long[] stub = new long[0];
    public long[] subject = new long[0];
    public float[] sizeKb = new float[0];
    public int[] bodyBytes = new int[0];
    /** 0 if it never ran. */
    public long[] runStartedAt = new long[0];
    public long[] runDuration = new long[0];
    public long[] answeredAt = new long[0];
    /** {@link Recorder#COMPLETED} and so on. */
    public byte[] answerKind = new byte[0];
    public long[] retryAfter = new long[0];
    public boolean[] doNotRetry = new boolean[0];
    /** How many samples of the gauges were recorded; the columns that follow have this many values. */
    public int gaugeRows;
    public long[] sampledAt = new long[0];
    public float[] cpu = new float[0];
    public float[] runnable = new float[0];
    public float[] memory = new float[0];
    public int[] connections = new int[0];

    private Capture(Path file, Map<String, String> metadata) {
        this.file = file;
        name = required(metadata, "name");
        zone = required(metadata, "zone");
        kind = required(metadata, "kind");
        try {
            startedAt = TENTHS_PER_MS * Long.parseLong(required(metadata, "started"));
        } catch (NumberFormatException e) {
            throw new CaptureException(file + ": its start time is not a number");
        }
        try {
            deployment = new DeploymentReader(required(metadata, "settings"));
        } catch (IllegalArgumentException e) {
            throw new CaptureException(file + ": its settings are invalid: " + e.getMessage());
        }
    }

    private String required(Map<String, String> metadata, String key) {
        String value = metadata.get(key);
        if (value == null || value.isEmpty()) {
            throw new CaptureException(file + ": has no " + key);
        }
        return value;
    }

    /** Reads a file up to its last complete part; throws CaptureException if it is damaged or has no complete part. */
    public static Capture read(Path file) {
        byte[] all;
        try {
            all = Files.readAllBytes(file);
        } catch (IOException e) {
            throw new CaptureException(file + ": can't be read");
        }
        return read(file, all);
    }

    /** Reads the content of a file; {@code file} is the name used in error messages. */
    public static Capture read(Path file, byte[] all) {
        if (all.length == 0) {
            throw new CaptureException(file + ": is empty");
        }
        Capture capture = null;
        int offset = 0;
        try (RootAllocator allocator = new RootAllocator(ALLOCATOR_LIMIT_BYTES)) {
            while (offset < all.length) {
                for (int i = 0; i < Math.min(CaptureFormat.MAGIC.length, all.length - offset); i++) {
                    if (all[offset + i] != CaptureFormat.MAGIC[i]) {
                        throw new CaptureException(file + ": "
                                + (offset == 0 ? "is not a capture" : "is damaged at byte " + offset));
                    }
                }
                if (all.length - offset < CaptureFormat.HEADER_BYTES) {
                    break;
                }
                if (all[offset + CaptureFormat.VERSION_OFFSET_BYTES] != CaptureFormat.VERSION) {
                    throw new CaptureException(file + ": has the format version "
                            + all[offset + CaptureFormat.VERSION_OFFSET_BYTES] + ", expected " + CaptureFormat.VERSION);
                }
                byte table = all[offset + CaptureFormat.TABLE_OFFSET_BYTES];
                int length = CaptureFormat.getInt(all, offset + CaptureFormat.LENGTH_OFFSET_BYTES);
                if (length <= 0 || length > CaptureFormat.MAX_PART_BYTES || table < CaptureFormat.EXCHANGES
                        || table > CaptureFormat.END
                        || all[offset + CaptureFormat.RESERVED_OFFSET_BYTES] != 0
                        || all[offset + (CaptureFormat.RESERVED_OFFSET_BYTES + 1)] != 0) {
                    throw new CaptureException(file + ": is damaged at byte " + offset);
                }
                if (length > all.length - offset - CaptureFormat.HEADER_BYTES) {
                    break;
                }
                CRC32C checksum = new CRC32C();
                checksum.update(all, offset + CaptureFormat.HEADER_BYTES, length);
                if ((int) checksum.getValue()
                        != CaptureFormat.getInt(all, offset + CaptureFormat.CHECKSUM_OFFSET_BYTES)) {
                    throw new CaptureException(file + ": is damaged between bytes " + offset + " and "
                            + (offset + CaptureFormat.HEADER_BYTES + length));
                }
                if (capture != null && capture.complete) {
                    throw new CaptureException(file + ": has data after its end part, at byte " + offset);
                }
                capture = readPart(file, capture, table, all, offset + CaptureFormat.HEADER_BYTES, length, allocator);
                offset += CaptureFormat.HEADER_BYTES + length;
            }
        }
        if (capture == null) {
            throw new CaptureException(file + ": has no complete part");
        }
        capture.cutBytes = all.length - offset;
        return capture;
    }

    private static Capture readPart(Path file, Capture earlier, byte table, byte[] all, int from, int length,
            RootAllocator allocator) {
        try (ArrowStreamReader reader = new ArrowStreamReader(new ByteArrayInputStream(all, from, length), allocator)) {
            if (!CaptureFormat.declaredLengthsFit(all, from, length)) {
                throw new CaptureException(file + ": a part declares more data than it has");
            }
            VectorSchemaRoot root = reader.getVectorSchemaRoot();
            Map<String, String> metadata = root.getSchema().getCustomMetadata();
            Capture capture = earlier == null ? new Capture(file, metadata) : earlier;
            if (!capture.name.equals(metadata.get("name"))) {
                throw new CaptureException(file + ": has parts of different instances");
            }
            List<String> expected = table == CaptureFormat.GAUGES ? CaptureFormat.GAUGE_COLUMNS
                    : CaptureFormat.EXCHANGE_COLUMNS;
            List<String> names = root.getSchema().getFields().stream().map(field -> field.getName()).toList();
            if (!names.equals(expected)) {
                throw new CaptureException(file + ": has the columns " + names + ", expected " + expected);
            }
            capture.droppedRows = Long.parseLong(metadata.getOrDefault("lost", "0"));
            while (table != CaptureFormat.END && reader.loadNextBatch()) {
                if (root.getRowCount() > length) {
                    throw new CaptureException(file + ": a part declares " + root.getRowCount() + " rows in " + length
                            + " bytes");
                }
                if (table == CaptureFormat.GAUGES) {
                    capture.addGauges(root);
                } else {
                    capture.addExchanges(root);
                }
            }
            capture.complete = table == CaptureFormat.END;
            return capture;
        } catch (CaptureException e) {
            throw e;
        } catch (IOException | RuntimeException e) {
            // The library fails with any exception on a part that is not valid.
            throw new CaptureException(file + ": can't be read: " + String.valueOf(e.getMessage()).split("\n")[0]);
        }
    }

    private void addExchanges(VectorSchemaRoot root) {
        int from = rows;
        int n = root.getRowCount();
        rows += n;
        arrivedAt = longs(arrivedAt, root.getVector("arrived"), from, n);
        dequeuedAt = longs(dequeuedAt, root.getVector("heard"), from, n);
        stub = longs(stub, root.getVector("stub"), from, n);
        subject = longs(subject, root.getVector("subject"), from, n);
        runStartedAt = longs(runStartedAt, root.getVector("begun"), from, n);
        runDuration = longs(runDuration, root.getVector("took"), from, n);
        answeredAt = longs(answeredAt, root.getVector("answered"), from, n);
        retryAfter = longs(retryAfter, root.getVector("away"), from, n);
        customer = ints(customer, root.getVector("customer"), from, n);
        bodyBytes = ints(bodyBytes, root.getVector("bytes"), from, n);
        sizeKb = floats(sizeKb, root.getVector("kb"), from, n);
        int[] groups = ints(new int[0], root.getVector("group"), 0, n);
        int[] answerKinds = ints(new int[0], root.getVector("answer"), 0, n);
        int[] doNotRetries = ints(new int[0], root.getVector("give_up"), 0, n);
        group = Arrays.copyOf(group, rows);
        answerKind = Arrays.copyOf(answerKind, rows);
        doNotRetry = Arrays.copyOf(doNotRetry, rows);
        for (int i = 0; i < n; i++) {
            dequeuedAt[from + i] += arrivedAt[from + i];
            group[from + i] = (byte) groups[i];
            answerKind[from + i] = (byte) answerKinds[i];
            doNotRetry[from + i] = doNotRetries[i] != 0;
            check(from + i);
        }
    }

    /** Checks that the values of a row are possible: a checksum detects changed bytes, but not an incorrect writer. */
    private void check(int row) {
        boolean valid = group[row] >= 0 && group[row] < deployment.groupNames.size() && customer[row] >= 0
                && customer[row] < Math.max(1, deployment.customerNames.size()) && dequeuedAt[row] >= arrivedAt[row]
                && runDuration[row] >= 0 && answerKind[row] >= Recorder.COMPLETED && answerKind[row]
                <= Recorder.DISCONNECTED
                && answeredAt[row] >= arrivedAt[row] && sizeKb[row] > 0 && bodyBytes[row] >= 0
                && (runStartedAt[row] == 0 || runStartedAt[row] >= dequeuedAt[row]);
        if (!valid) {
            throw new CaptureException(file + ": row " + row
                    + " is inconsistent in its times, group, customer, answer or sizes");
        }
    }

    private void addGauges(VectorSchemaRoot root) {
        int from = gaugeRows;
        int n = root.getRowCount();
        gaugeRows += n;
        sampledAt = longs(sampledAt, root.getVector("at"), from, n);
        cpu = floats(cpu, root.getVector("cpu"), from, n);
        runnable = floats(runnable, root.getVector("runnable"), from, n);
        memory = floats(memory, root.getVector("memory"), from, n);
        connections = ints(connections, root.getVector("connections"), from, n);
    }

    private static long[] longs(long[] into, FieldVector column, int from, int n) {
        long[] all = Arrays.copyOf(into, from + n);
        for (int i = 0; i < n; i++) {
            all[from + i] = ((BaseIntVector) column).getValueAsLong(i);
        }
        return all;
    }

    private static int[] ints(int[] into, FieldVector column, int from, int n) {
        int[] all = Arrays.copyOf(into, from + n);
        for (int i = 0; i < n; i++) {
            all[from + i] = (int) ((BaseIntVector) column).getValueAsLong(i);
        }
        return all;
    }

    private static float[] floats(float[] into, FieldVector column, int from, int n) {
        float[] all = Arrays.copyOf(into, from + n);
        for (int i = 0; i < n; i++) {
            all[from + i] = ((Float4Vector) column).get(i);
        }
        return all;
    }

    /** Reads all captures of a directory in the order of their names; at least one exchange must be among them. */
    public static List<Capture> readAll(Path folder) {
        List<Path> files;
        try (var list = Files.list(folder)) {
            files = list.filter(file -> file.toString().endsWith(".vcap")).sorted().toList();
        } catch (IOException e) {
            throw new CaptureException(folder + ": is not a readable directory");
        }
        List<Capture> captures = new ArrayList<>();
        for (Path file : files) {
            captures.add(read(file));
        }
        if (captures.stream().mapToInt(capture -> capture.rows).sum() == 0) {
            throw new CaptureException(folder + ": holds no exchange");
        }
        return captures;
    }
}
