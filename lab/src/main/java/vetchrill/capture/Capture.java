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
    public final long started;
    /** What the relay was told of its deployment. */
    public final DeploymentReader facts;
    /** It was ended in its order; else it is read up to its last whole part. */
    public boolean whole;
    /** What was cut off at the end, in bytes. */
    public long cutBytes;
    /** Exchanges that found no room and are missing. */
    public long lost;
    public int rows;
    public long[] arrived = new long[0];
    public long[] heard = new long[0];
    public byte[] group = new byte[0];
    public int[] customer = new int[0];
    public long[] stub = new long[0];
    public long[] subject = new long[0];
    public float[] kb = new float[0];
    public int[] bytes = new int[0];
    /** 0 where it never ran. */
    public long[] begun = new long[0];
    public long[] took = new long[0];
    public long[] answered = new long[0];
    /** One of those of {@link Recorder}. */
    public byte[] answer = new byte[0];
    public long[] away = new long[0];
    public boolean[] giveUp = new boolean[0];
    public int looks;
    public long[] lookAt = new long[0];
    public float[] cpu = new float[0];
    public float[] runnable = new float[0];
    public float[] memory = new float[0];
    public int[] connections = new int[0];

    private Capture(Path file, Map<String, String> provenance) {
        this.file = file;
        name = needed(provenance, "name");
        zone = needed(provenance, "zone");
        kind = needed(provenance, "kind");
        try {
            started = 10 * Long.parseLong(needed(provenance, "started"));
        } catch (NumberFormatException e) {
            throw new CaptureFault(file + ": its start is no time");
        }
        try {
            facts = new DeploymentReader(needed(provenance, "settings"));
        } catch (IllegalArgumentException e) {
            throw new CaptureFault(file + ": settings in it can't be read: " + e.getMessage());
        }
    }

    private String needed(Map<String, String> provenance, String key) {
        String value = provenance.get(key);
        if (value == null || value.isEmpty()) {
            throw new CaptureFault(file + ": does not say its " + key);
        }
        return value;
    }

    /** Reads a file whole, or up to its last whole part; throws CaptureFault where it is damaged or holds nothing. */
    public static Capture read(Path file) {
        byte[] all;
        try {
            all = Files.readAllBytes(file);
        } catch (IOException e) {
            throw new CaptureFault(file + ": can't be read");
        }
        return read(file, all);
    }

    public static Capture read(Path file, byte[] all) {
        if (all.length == 0) {
            throw new CaptureFault(file + ": is empty");
        }
        Capture capture = null;
        int at = 0;
        try (RootAllocator allocator = new RootAllocator(512L << 20)) {
            while (at < all.length) {
                for (int i = 0; i < Math.min(Parts.MAGIC.length, all.length - at); i++) {
                    if (all[at + i] != Parts.MAGIC[i]) {
                        throw new CaptureFault(file + ": " + (at == 0 ? "is no capture" : "is damaged at byte " + at));
                    }
                }
                if (all.length - at < Parts.HEAD) {
                    break;
                }
                if (all[at + 4] != Parts.VERSION) {
                    throw new CaptureFault(file + ": is of version " + all[at + 4] + ", known is " + Parts.VERSION);
                }
                byte table = all[at + 5];
                int length = Parts.number(all, at + 8);
                if (length <= 0 || length > Parts.LONGEST || table < Parts.EXCHANGES || table > Parts.END
                        || all[at + 6] != 0 || all[at + 7] != 0) {
                    throw new CaptureFault(file + ": is damaged at byte " + at);
                }
                if (length > all.length - at - Parts.HEAD) {
                    break;
                }
                java.util.zip.CRC32C sum = new java.util.zip.CRC32C();
                sum.update(all, at + Parts.HEAD, length);
                if ((int) sum.getValue() != Parts.number(all, at + 12)) {
                    throw new CaptureFault(file + ": is damaged between bytes " + at + " and "
                            + (at + Parts.HEAD + length));
                }
                if (capture != null && capture.whole) {
                    throw new CaptureFault(file + ": goes on after its end at byte " + at);
                }
                capture = part(file, capture, table, all, at + Parts.HEAD, length, allocator);
                at += Parts.HEAD + length;
            }
        }
        if (capture == null) {
            throw new CaptureFault(file + ": holds no whole part");
        }
        capture.cutBytes = all.length - at;
        return capture;
    }

    private static Capture part(Path file, Capture before, byte table, byte[] all, int from, int length,
            RootAllocator allocator) {
        try (ArrowStreamReader reader = new ArrowStreamReader(new ByteArrayInputStream(all, from, length), allocator)) {
            if (!Parts.claimsWhatItHas(all, from, length)) {
                throw new CaptureFault(file + ": a part claims more than it holds");
            }
            VectorSchemaRoot root = reader.getVectorSchemaRoot();
            Map<String, String> provenance = root.getSchema().getCustomMetadata();
            Capture capture = before == null ? new Capture(file, provenance) : before;
            if (!capture.name.equals(provenance.get("name"))) {
                throw new CaptureFault(file + ": has parts of different relays");
            }
            List<String> wanted = table == Parts.LOOKS ? Parts.LOOK_COLUMNS : Parts.EXCHANGE_COLUMNS;
            List<String> names = root.getSchema().getFields().stream().map(field -> field.getName()).toList();
            if (!names.equals(wanted)) {
                throw new CaptureFault(file + ": has the columns " + names + ", wanted are " + wanted);
            }
            capture.lost = Long.parseLong(provenance.getOrDefault("lost", "0"));
            while (table != Parts.END && reader.loadNextBatch()) {
                if (root.getRowCount() > length) {
                    throw new CaptureFault(file + ": a part claims " + root.getRowCount() + " rows in " + length
                            + " bytes");
                }
                if (table == Parts.LOOKS) {
                    capture.takeLooks(root);
                } else {
                    capture.takeExchanges(root);
                }
            }
            capture.whole = table == Parts.END;
            return capture;
        } catch (CaptureFault e) {
            throw e;
        } catch (IOException | RuntimeException e) {
            // Whatever the library stumbles on in a part that is no part of a capture.
            throw new CaptureFault(file + ": can't be read: " + String.valueOf(e.getMessage()).split("\n")[0]);
        }
    }

    private void takeExchanges(VectorSchemaRoot root) {
        int from = rows;
        int n = root.getRowCount();
        rows += n;
        arrived = longs(arrived, root.getVector("arrived"), from, n);
        heard = longs(heard, root.getVector("heard"), from, n);
        stub = longs(stub, root.getVector("stub"), from, n);
        subject = longs(subject, root.getVector("subject"), from, n);
        begun = longs(begun, root.getVector("begun"), from, n);
        took = longs(took, root.getVector("took"), from, n);
        answered = longs(answered, root.getVector("answered"), from, n);
        away = longs(away, root.getVector("away"), from, n);
        customer = ints(customer, root.getVector("customer"), from, n);
        bytes = ints(bytes, root.getVector("bytes"), from, n);
        kb = floats(kb, root.getVector("kb"), from, n);
        int[] groups = ints(new int[0], root.getVector("group"), 0, n);
        int[] answers = ints(new int[0], root.getVector("answer"), 0, n);
        int[] lasts = ints(new int[0], root.getVector("give_up"), 0, n);
        group = Arrays.copyOf(group, rows);
        answer = Arrays.copyOf(answer, rows);
        giveUp = Arrays.copyOf(giveUp, rows);
        for (int i = 0; i < n; i++) {
            heard[from + i] += arrived[from + i];
            group[from + i] = (byte) groups[i];
            answer[from + i] = (byte) answers[i];
            giveUp[from + i] = lasts[i] != 0;
            check(from + i);
        }
    }

    /** A checksum tells of bytes that changed; this, of a writer that was wrong: no plan is made from nonsense. */
    private void check(int row) {
        boolean right = group[row] >= 0 && group[row] < facts.groupNames.size() && customer[row] >= 0
                && customer[row] < Math.max(1, facts.customerNames.size()) && heard[row] >= arrived[row]
                && took[row] >= 0 && answer[row] >= Recorder.COMPLETED && answer[row] <= Recorder.DISCONNECTED
                && answered[row] >= arrived[row] && kb[row] > 0 && bytes[row] >= 0
                && (begun[row] == 0 || begun[row] >= heard[row]);
        if (!right) {
            throw new CaptureFault(file + ": row " + row + " can't be: its times, its group or its answer are at odds");
        }
    }

    private void takeLooks(VectorSchemaRoot root) {
        int from = looks;
        int n = root.getRowCount();
        looks += n;
        lookAt = longs(lookAt, root.getVector("at"), from, n);
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
            throw new CaptureFault(folder + ": is no folder of captures");
        }
        List<Capture> captures = new ArrayList<>();
        for (Path file : files) {
            captures.add(read(file));
        }
        if (captures.stream().mapToInt(capture -> capture.rows).sum() == 0) {
            throw new CaptureFault(folder + ": holds no exchange");
        }
        return captures;
    }
}
