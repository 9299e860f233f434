package vetchrill.audit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.testng.annotations.Test;
import vetchrill.routing.Recorder;

/**
 * The bytes of the audit log. {@code instance-1-00000000.audit} was written by {@link #writeExamples} with the build of
 * commit 04d6cf3; logs are read years later and go on where an earlier build ended, so it is not to be written again.
 */
@Test
public class SegmentFormatTest {
    private static final String NAME = "instance-1";
    private static final String FILE = NAME + "-00000000.audit";
    private static final long WALL_MS = 1_700_000_000_000L;
    private static final long FIRST = WALL_MS << HybridTime.COUNTER_BITS;
    private static final int BLOCK_DEADLINE_MS = 20_000;

    /** Fails once when told to. */
    private static final class FailingOnce implements AuditWriter.Disk {
        private volatile boolean failing;

        @Override
        public void write(FileChannel to, ByteBuffer bytes) throws IOException {
            if (failing) {
                failing = false;
                throw new IOException("the test wants it");
            }
            AuditWriter.PLAIN.write(to, bytes);
        }

        @Override
        public void sync(FileChannel of) throws IOException {
            AuditWriter.PLAIN.sync(of);
        }
    }

    /** A block for each row, so that the order and the times are the same in each run. */
    static void writeExamples(Path folder) throws Exception {
        FailingOnce disk = new FailingOnce();
        AuditWriter writer = new AuditWriter(new AuditTerms(folder, 16, 10, 1 << 20, 1 << 22), NAME, 1L << 60,
                "an example", new HybridTime(() -> WALL_MS), disk);
        awaitBlock(writer, 0);
        writer.taken(17);
        awaitBlock(writer, 1);
        writer.begun(0x1234567890abcdefL, 17, 2, 3, 40_000);
        awaitBlock(writer, 2);
        Recorder.ExchangeRow exchange = writer.claimExchange();
        exchange.id = 0x1234567890abcdefL;
        exchange.version = 17;
        exchange.group = 2;
        exchange.customer = 3;
        exchange.answer = Recorder.TERMINATED;
        exchange.answered = 41_000;
        writer.put(exchange);
        awaitBlock(writer, 3);
        writer.event("TAKEN", 17, "instance-2: text");
        awaitBlock(writer, 4);
        writer.head("instance-2", 99, "ab".repeat(32));
        awaitBlock(writer, 5);
        disk.failing = true;
        writer.taken(18);
        awaitBlock(writer, 6);
        writer.close();
    }

    private static void awaitBlock(AuditWriter writer, long block) throws InterruptedException {
        for (int i = 0; i < BLOCK_DEADLINE_MS && writer.reached().block() < block; i++) {
            Thread.sleep(1);
        }
        assertEquals(writer.reached().block(), block);
    }

    private static List<Row> exampleRows() {
        return List.of(
                new Row(Row.Kind.LIFE, FIRST, 1L << 60, 0, 0, 0, 0, 0, NAME, "an example"),
                new Row(Row.Kind.TAKEN, FIRST + 1, 0, 17, 0, 0, 0, 0, "", ""),
                new Row(Row.Kind.BEGUN, FIRST + 2, 0x1234567890abcdefL, 17, 2, 3, 0, 40_000, "", ""),
                new Row(Row.Kind.OVER, FIRST + 3, 0x1234567890abcdefL, 17, 2, 3, 3, 41_000, "", ""),
                new Row(Row.Kind.EVENT, FIRST + 4, 0, 17, 0, 0, 0, 0, "TAKEN", "instance-2: text"),
                new Row(Row.Kind.HEAD, FIRST + 5, 99, 0, 0, 0, 0, 0, "instance-2", "ab".repeat(32)),
                // The time between was that of the row which is missing.
                new Row(Row.Kind.LEFT_OUT, FIRST + 7, 1, 0, 0, 0, 0, 0, "", ""),
                new Row(Row.Kind.END, FIRST + 8, 0, 0, 0, 0, 0, 0, NAME, ""));
    }

    public void theBytesWrittenAreThoseOfTheFile() throws Exception {
        Path folder = Files.createTempDirectory("audit-format");
        writeExamples(folder);
        assertEquals(Segments.in(folder), List.of(folder.resolve(FILE)));
        assertEquals(Files.readAllBytes(folder.resolve(FILE)), Files.readAllBytes(example()));
    }

    public void theFileIsReadWithTheSameValues() throws Exception {
        List<Row> rows = new ArrayList<>();
        List<Long> blocks = new ArrayList<>();
        Segments.End end = Segments.read(example(), new Segments.Reader() {
            @Override
            public void segment(Path file, Segments.Head head) {
                assertEquals(head.name(), NAME);
                assertEquals(head.number(), 0);
                assertEquals(head.firstBlock(), 0);
                assertEquals(head.before(), new byte[32]);
            }

            @Override
            public void block(Path file, long number, byte[] digest, boolean chained) {
                assertTrue(chained, "block " + number);
                blocks.add(number);
            }

            @Override
            public void row(Row row) {
                rows.add(row);
            }

            @Override
            public void broken(Path file, long at, long left, String why) {
                throw new AssertionError(why);
            }
        });
        assertEquals(rows, exampleRows());
        assertEquals(blocks, List.of(0L, 1L, 2L, 3L, 4L, 5L, 6L, 7L));
        assertEquals(end.whole(), Files.size(example()));
        assertEquals(end.nextBlock(), 8);
    }

    /** Their place in this order is in the file, and their names are in the columns that the tool writes. */
    public void kindsHaveTheseNamesInThisOrder() {
        assertEquals(Arrays.stream(Row.Kind.values()).map(Enum::name).toList(),
                List.of("LIFE", "TAKEN", "BEGUN", "OVER", "EVENT", "HEAD", "LEFT_OUT", "END"));
    }

    private static Path example() throws Exception {
        return Path.of(SegmentFormatTest.class.getResource("/formats/" + FILE).toURI());
    }
}
