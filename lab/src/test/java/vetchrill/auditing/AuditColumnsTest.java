package vetchrill.auditing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.apache.arrow.memory.RootAllocator;
import org.apache.arrow.vector.FieldVector;
import org.apache.arrow.vector.VectorSchemaRoot;
import org.apache.arrow.vector.ipc.ArrowFileReader;
import org.testng.annotations.Test;

/**
 * The columns of the exported audit log, which users' queries name. The input is the segment file of the module peers
 * that has an event of each kind; see SegmentFormatTest there.
 */
@Test
public class AuditColumnsTest {
    private static final long ID = 0x1234567890abcdefL;
    private static final long NONCE = 1L << 60;
    private static final long FIRST = 1_700_000_000_000L << 16;

    public void theExportHasTheseColumnsAndValues() throws Exception {
        Path folder = Path.of(AuditColumnsTest.class.getResource("/formats/instance-1-00000000.audit").toURI())
                .getParent();
        Path export = Files.createTempDirectory("audit-columns").resolve("audit.arrow");
        assertEquals(AuditColumns.write(new FleetAudit(List.of(folder)), export), 8);
        try (RootAllocator memory = new RootAllocator();
                FileChannel file = FileChannel.open(export);
                ArrowFileReader reader = new ArrowFileReader(file, memory)) {
            VectorSchemaRoot root = reader.getVectorSchemaRoot();
            assertEquals(root.getSchema().getFields().stream().map(Object::toString).toList(), List.of(
                    "instance: Utf8", "kind: Utf8", "life: Int(64, true)", "hybrid: Int(64, true)",
                    "id: Int(64, true)", "version: Int(64, true)", "group: Int(32, true)", "customer: Int(32, true)",
                    "answer: Int(32, true)", "at: Int(64, true)", "text: Utf8", "more: Utf8"));
            assertTrue(reader.loadNextBatch());
            assertEquals(column(root, "kind"),
                    List.of("LIFE", "TAKEN", "BEGUN", "OVER", "EVENT", "HEAD", "LEFT_OUT", "END"));
            assertEquals(column(root, "instance"), Collections.nCopies(8, "instance-1"));
            assertEquals(column(root, "life"), Collections.nCopies(8, NONCE));
            assertEquals(column(root, "hybrid"), List.of(FIRST, FIRST + 1, FIRST + 2, FIRST + 3, FIRST + 4, FIRST + 5,
                    FIRST + 7, FIRST + 8));
            assertEquals(column(root, "id"), List.of(NONCE, 0L, ID, ID, 0L, 99L, 1L, 0L));
            assertEquals(column(root, "version"), List.of(0L, 17L, 17L, 17L, 17L, 0L, 0L, 0L));
            assertEquals(column(root, "group"), List.of(0, 0, 2, 2, 0, 0, 0, 0));
            assertEquals(column(root, "customer"), List.of(0, 0, 3, 3, 0, 0, 0, 0));
            assertEquals(column(root, "answer"), List.of(0, 0, 0, 3, 0, 0, 0, 0));
            assertEquals(column(root, "at"), List.of(0L, 0L, 40_000L, 41_000L, 0L, 0L, 0L, 0L));
            assertEquals(column(root, "text"),
                    List.of("instance-1", "", "", "", "TAKEN", "instance-2", "", "instance-1"));
            assertEquals(column(root, "more"),
                    List.of("an example", "", "", "", "instance-2: text", "ab".repeat(32), "", ""));
            assertFalse(reader.loadNextBatch());
        }
    }

    private static List<Object> column(VectorSchemaRoot root, String name) {
        FieldVector vector = root.getVector(name);
        List<Object> values = new ArrayList<>();
        for (int i = 0; i < root.getRowCount(); i++) {
            Object value = vector.getObject(i);
            values.add(value instanceof Number ? value : value.toString());
        }
        return values;
    }
}
