package vetchrill.capture;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.apache.arrow.memory.RootAllocator;
import org.apache.arrow.vector.BaseIntVector;
import org.apache.arrow.vector.FieldVector;
import org.apache.arrow.vector.Float4Vector;
import org.apache.arrow.vector.VectorSchemaRoot;
import org.apache.arrow.vector.ipc.ArrowStreamReader;
import vetchrill.protocol.DeploymentReader;
import vetchrill.routing.Recorder;

/** What one life of one relay has recorded, read back. Columns are arrays; a row has one place in all of them. */
public final class Capture {
    public final Path file;
    /** The relay, its zone and its kind of machine, as recorded. */
    public final String name;
    public final String zone;
    public final String kind;
    /** When its process started, in tenths of a millisecond of Unix time. */
    public final long startedAt;
    /** What the relay was told of its deployment. */
    public final DeploymentReader deployment;
    /** It was ended in its order; else it is read up to its last whole part. */
    public boolean complete;
    /** What was cut off at the end, in bytes. */
    public long cutBytes;
    /** Exchanges that found no room and are missing. */
    public long droppedRows;
    public int rows;
    public long[] arrivedAt = new long[0];
    public long[] dequeuedAt = new long[0];
    public byte[] group = new byte[0];
    public int[] customer = new int[0];
    public long[] stub = new long[0];
    public long[] subject = new long[0];
    public float[] sizeKb = new float[0];
    public int[] bodyBytes = new int[0];
    /** 0 where it never ran. */
    public long[] runStartedAt = new long[0];
    public long[] runDuration = new long[0];
    public long[] answeredAt = new long[0];
    /** One of those of {@link Recorder}. */
    public byte[] answerKind = new byte[0];
    public long[] retryAfter = new long[0];
    public boolean[] doNotRetry = new boolean[0];
    public int gaugeRows;
    public long[] sampledAt = new long[0];
    public float[] cpu = new float[0];
    public float[] runnable = new float[0];
    public float[] memory = new float[0];
    public int[] connections = new int[0];

    private Capture(Path file, Map<String, String> provenance) {
        this.file = file;
        name = required(provenance, "name");
        zone = required(provenance, "zone");
        kind = required(provenance, "kind");
        try {
            startedAt = 10 * Long.parseLong(required(provenance, "started"));
        } catch (NumberFormatException e) {
            throw new CaptureException(file + ": its start is no time");
        }
        try {
            deployment = new DeploymentReader(required(provenance, "settings"));
        } catch (IllegalArgumentException e) {
            throw new CaptureException(file + ": settings in it can't be read: " + e.getMessage());
        }
    }

    private String required(Map<String, String> provenance, String key) {
        String value = provenance.get(key);
        if (value == null || value.isEmpty()) {
            throw new CaptureException(file + ": does not say its " + key);
        }
        return value;
    }

    /** Reads a file whole, or up to its last whole part; throws CaptureFault where it is damaged or holds nothing. */
    public static Capture read(Path file) {
        byte[] all;
        try {
            all = Files.readAllBytes(file);
        } catch (IOException e) {
            throw new CaptureException(file + ": can't be read");
        }
        return read(file, all);
    }

    public static Capture read(Path file, byte[] all) {
        if (all.length == 0) {
            throw new CaptureException(file + ": is empty");
        }
        Capture capture = null;
        int offset = 0;
        try (RootAllocator allocator = new RootAllocator(512L << 20)) {
            while (offset < all.length) {
                for (int i = 0; i < Math.min(CaptureFormat.MAGIC.length, all.length - offset); i++) {
                    if (all[offset + i] != CaptureFormat.MAGIC[i]) {
                        throw new CaptureException(file + ": "
                                + (offset == 0 ? "is no capture" : "is damaged at byte " + offset));
                    }
                }
                if (all.length - offset < CaptureFormat.HEADER_BYTES) {
                    break;
                }
                if (all[offset + 4] != CaptureFormat.VERSION) {
                    throw new CaptureException(file + ": is of version " + all[offset + 4] + ", known is "
                            + CaptureFormat.VERSION);
                }
                byte table = all[offset + 5];
                int length = CaptureFormat.getInt(all, offset + 8);
                if (length <= 0 || length > CaptureFormat.MAX_PART_BYTES || table < CaptureFormat.EXCHANGES
                        || table > CaptureFormat.END
                        || all[offset + 6] != 0 || all[offset + 7] != 0) {
                    throw new CaptureException(file + ": is damaged at byte " + offset);
                }
                if (length > all.length - offset - CaptureFormat.HEADER_BYTES) {
                    break;
                }
                java.util.zip.CRC32C checksum = new java.util.zip.CRC32C();
                checksum.update(all, offset + CaptureFormat.HEADER_BYTES, length);
                if ((int) checksum.getValue() != CaptureFormat.getInt(all, offset + 12)) {
                    throw new CaptureException(file + ": is damaged between bytes " + offset + " and "
                            + (offset + CaptureFormat.HEADER_BYTES + length));
                }
                if (capture != null && capture.complete) {
                    throw new CaptureException(file + ": goes on after its end at byte " + offset);
                }
                capture = readPart(file, capture, table, all, offset + CaptureFormat.HEADER_BYTES, length, allocator);
                offset += CaptureFormat.HEADER_BYTES + length;
            }
        }
        if (capture == null) {
            throw new CaptureException(file + ": holds no whole part");
        }
        capture.cutBytes = all.length - offset;
        return capture;
    }

    private static Capture readPart(Path file, Capture earlier, byte table, byte[] all, int from, int length,
            RootAllocator allocator) {
        try (ArrowStreamReader reader = new ArrowStreamReader(new ByteArrayInputStream(all, from, length), allocator)) {
            if (!CaptureFormat.declaredLengthsFit(all, from, length)) {
                throw new CaptureException(file + ": a part claims more than it holds");
            }
            VectorSchemaRoot root = reader.getVectorSchemaRoot();
            Map<String, String> provenance = root.getSchema().getCustomMetadata();
            Capture capture = earlier == null ? new Capture(file, provenance) : earlier;
            if (!capture.name.equals(provenance.get("name"))) {
                throw new CaptureException(file + ": has parts of different relays");
            }
            List<String> expected = table == CaptureFormat.GAUGES ? CaptureFormat.GAUGE_COLUMNS
                    : CaptureFormat.EXCHANGE_COLUMNS;
            List<String> names = root.getSchema().getFields().stream().map(field -> field.getName()).toList();
            if (!names.equals(expected)) {
                throw new CaptureException(file + ": has the columns " + names + ", wanted are " + expected);
            }
            capture.droppedRows = Long.parseLong(provenance.getOrDefault("lost", "0"));
            while (table != CaptureFormat.END && reader.loadNextBatch()) {
                if (root.getRowCount() > length) {
                    throw new CaptureException(file + ": a part claims " + root.getRowCount() + " rows in " + length
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
            // Whatever the library stumbles on in a part that is no part of a capture.
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

    /** A checksum tells of bytes that changed; this, of a writer that was wrong: no plan is made from nonsense. */
    private void check(int row) {
        boolean valid = group[row] >= 0 && group[row] < deployment.groupNames.size() && customer[row] >= 0
                && customer[row] < Math.max(1, deployment.customerNames.size()) && dequeuedAt[row] >= arrivedAt[row]
                && runDuration[row] >= 0 && answerKind[row] >= Recorder.COMPLETED && answerKind[row]
                <= Recorder.DISCONNECTED
                && answeredAt[row] >= arrivedAt[row] && sizeKb[row] > 0 && bodyBytes[row] >= 0
                && (runStartedAt[row] == 0 || runStartedAt[row] >= dequeuedAt[row]);
        if (!valid) {
            throw new CaptureException(file + ": row " + row
                    + " can't be: its times, its group or its answer are at odds");
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

    /** All captures in a folder, in the order of their names. */
    public static List<Capture> readAll(Path folder) {
        List<Path> files;
        try (var list = Files.list(folder)) {
            files = list.filter(file -> file.toString().endsWith(".vcap")).sorted().toList();
        } catch (IOException e) {
            throw new CaptureException(folder + ": is no folder of captures");
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
