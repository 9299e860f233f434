package vetchrill.auditing;

import java.io.IOException;
import java.io.UncheckedIOException;
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

/** Exports the events of all audit logs, one log after the other, to an Arrow file. */
public final class AuditColumns {
    private static final int BATCH_ROWS = 16_384;
    private static final long MAX_MEMORY_BYTES = 256L << 20;

    private AuditColumns() {
    }

    /** Writes a new file and returns the number of rows. */
    public static long write(FleetAudit fleet, Path target) throws IOException {
        long[] written = {0};
        try (RootAllocator allocator = new RootAllocator(MAX_MEMORY_BYTES);
                VarCharVector instance = new VarCharVector("instance", allocator);
                VarCharVector kind = new VarCharVector("kind", allocator);
                BigIntVector life = new BigIntVector("life", allocator);
                BigIntVector hybrid = new BigIntVector("hybrid", allocator);
                BigIntVector id = new BigIntVector("id", allocator);
                BigIntVector version = new BigIntVector("version", allocator);
                IntVector group = new IntVector("group", allocator);
                IntVector customer = new IntVector("customer", allocator);
                IntVector answer = new IntVector("answer", allocator);
                BigIntVector at = new BigIntVector("at", allocator);
                VarCharVector text = new VarCharVector("text", allocator);
                VarCharVector more = new VarCharVector("more", allocator);
                VectorSchemaRoot root = new VectorSchemaRoot(List.of(instance, kind, life, hybrid, id, version, group,
                        customer, answer, at, text, more));
                FileChannel file = FileChannel.open(target, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
                ArrowFileWriter out = new ArrowFileWriter(root, null, file)) {
            out.start();
            int[] rows = {0};
            for (InstanceAuditLog log : fleet.logs) {
                log.read((source, event) -> {
                    int i = rows[0]++;
                    instance.setSafe(i, source.name.getBytes(StandardCharsets.UTF_8));
                    kind.setSafe(i, event.kind().name().getBytes(StandardCharsets.UTF_8));
                    life.setSafe(i, source.processNonce);
                    hybrid.setSafe(i, event.hybridTime());
                    id.setSafe(i, event.id());
                    version.setSafe(i, event.version());
                    group.setSafe(i, event.group());
                    customer.setSafe(i, event.customer());
                    answer.setSafe(i, event.kind() == AuditEvent.Kind.OVER ? event.answer() : 0);
                    at.setSafe(i, event.instanceTime());
                    text.setSafe(i, event.text().getBytes(StandardCharsets.UTF_8));
                    more.setSafe(i, event.detail().getBytes(StandardCharsets.UTF_8));
                    if (rows[0] == BATCH_ROWS) {
                        writeBatch(root, out, rows, written);
                    }
                });
            }
            writeBatch(root, out, rows, written);
            out.end();
        }
        return written[0];
    }

    private static void writeBatch(VectorSchemaRoot root, ArrowFileWriter out, int[] rows, long[] written) {
        if (rows[0] == 0) {
            return;
        }
        root.setRowCount(rows[0]);
        try {
            out.writeBatch();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        written[0] += rows[0];
        rows[0] = 0;
        root.clear();
    }
}
