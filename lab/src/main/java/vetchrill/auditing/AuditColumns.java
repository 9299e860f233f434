package vetchrill.auditing;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import org.apache.arrow.memory.RootAllocator;
import org.apache.arrow.vector.BigIntVector;
import org.apache.arrow.vector.IntVector;
import org.apache.arrow.vector.VarCharVector;
import org.apache.arrow.vector.VectorSchemaRoot;
import org.apache.arrow.vector.ipc.ArrowFileWriter;
import vetchrill.audit.AuditEvent;

/** All rows of all records in one Arrow file, whole batches at a time, one record after the other. */
public final class AuditColumns {
    private static final int BATCH = 16_384;
    private static final long MEMORY = 256L << 20;

    private AuditColumns() {
    }

    /** How many rows were written. */
    public static long write(Fleetwide fleet, Path to) throws IOException {
        long[] written = {0};
        try (RootAllocator memory = new RootAllocator(MEMORY);
                VarCharVector instance = new VarCharVector("instance", memory);
                VarCharVector kind = new VarCharVector("kind", memory);
                BigIntVector life = new BigIntVector("life", memory);
                BigIntVector hybrid = new BigIntVector("hybrid", memory);
                BigIntVector id = new BigIntVector("id", memory);
                BigIntVector version = new BigIntVector("version", memory);
                IntVector group = new IntVector("group", memory);
                IntVector customer = new IntVector("customer", memory);
                IntVector answer = new IntVector("answer", memory);
                BigIntVector at = new BigIntVector("at", memory);
                VarCharVector text = new VarCharVector("text", memory);
                VarCharVector more = new VarCharVector("more", memory);
                VectorSchemaRoot root = new VectorSchemaRoot(List.of(instance, kind, life, hybrid, id, version, group,
                        customer, answer, at, text, more));
                FileChannel file = FileChannel.open(to, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
                ArrowFileWriter out = new ArrowFileWriter(root, null, file)) {
            out.start();
            int[] rows = {0};
            for (History history : fleet.histories) {
                history.read((its, row) -> {
                    int i = rows[0]++;
                    instance.setSafe(i, its.name.getBytes(StandardCharsets.UTF_8));
                    kind.setSafe(i, row.kind().name().getBytes(StandardCharsets.UTF_8));
                    life.setSafe(i, its.life);
                    hybrid.setSafe(i, row.hybridTime());
                    id.setSafe(i, row.id());
                    version.setSafe(i, row.version());
                    group.setSafe(i, row.group());
                    customer.setSafe(i, row.customer());
                    answer.setSafe(i, row.kind() == AuditEvent.Kind.OVER ? row.answer() : 0);
                    at.setSafe(i, row.instanceTime());
                    text.setSafe(i, row.text().getBytes(StandardCharsets.UTF_8));
                    more.setSafe(i, row.detail().getBytes(StandardCharsets.UTF_8));
                    if (rows[0] == BATCH) {
                        batch(root, out, rows, written);
                    }
                });
            }
            batch(root, out, rows, written);
            out.end();
        }
        return written[0];
    }

    private static void batch(VectorSchemaRoot root, ArrowFileWriter out, int[] rows, long[] written) {
        if (rows[0] == 0) {
            return;
        }
        root.setRowCount(rows[0]);
        try {
            out.writeBatch();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
        written[0] += rows[0];
        rows[0] = 0;
        root.clear();
    }
}
