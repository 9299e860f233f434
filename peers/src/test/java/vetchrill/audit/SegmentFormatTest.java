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
    private static final long FIRST = WALL_MS << HybridLogicalClock.COUNTER_BITS;
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
            AuditWriter.FILE_SYSTEM.write(to, bytes);
        }

        @Override
        public void sync(FileChannel of) throws IOException {
            AuditWriter.FILE_SYSTEM.sync(of);
        }
    }

    /** A block for each row, so that the order and the times are the same in each run. */
    static void writeExamples(Path folder) throws Exception {
        FailingOnce disk = new FailingOnce();
        AuditWriter writer = new AuditWriter(new AuditConfig(folder, 16, 10, 1 << 20, 1 << 22), NAME, 1L << 60,
                "an example", new HybridLogicalClock(() -> WALL_MS), disk);
        awaitBlock(writer, 0);
        writer.versionActivated(17);
        awaitBlock(writer, 1);
        writer.runRequested(0x1234567890abcdefL, 17, 2, 3, 40_000);
        awaitBlock(writer, 2);
        Recorder.ExchangeRow exchange = writer.claimExchangeRow();
        exchange.id = 0x1234567890abcdefL;
        exchange.version = 17;
        exchange.group = 2;
        exchange.customer = 3;
        exchange.answerKind = Recorder.TERMINATED;
        exchange.answeredAt = 41_000;
        writer.put(exchange);
        awaitBlock(writer, 3);
        writer.recordNotice("TAKEN", 17, "instance-2: text");
        awaitBlock(writer, 4);
        writer.recordPeerPosition("instance-2", 99, "ab".repeat(32));
        awaitBlock(writer, 5);
        disk.failing = true;
        writer.versionActivated(18);
        awaitBlock(writer, 6);
        writer.close();
    }

    private static void awaitBlock(AuditWriter writer, long block) throws InterruptedException {
        for (int i = 0; i < BLOCK_DEADLINE_MS && writer.position().block() < block; i++) {
            Thread.sleep(1);
        }
        assertEquals(writer.position().block(), block);
    }

    private static List<AuditEvent> exampleRows() {
        return List.of(
                new AuditEvent(AuditEvent.Kind.LIFE, FIRST, 1L << 60, 0, 0, 0, 0, 0, NAME, "an example"),
                new AuditEvent(AuditEvent.Kind.TAKEN, FIRST + 1, 0, 17, 0, 0, 0, 0, "", ""),
                new AuditEvent(AuditEvent.Kind.BEGUN, FIRST + 2, 0x1234567890abcdefL, 17, 2, 3, 0, 40_000, "", ""),
                new AuditEvent(AuditEvent.Kind.OVER, FIRST + 3, 0x1234567890abcdefL, 17, 2, 3, 3, 41_000, "", ""),
                new AuditEvent(AuditEvent.Kind.EVENT, FIRST + 4, 0, 17, 0, 0, 0, 0, "TAKEN", "instance-2: text"),
                new AuditEvent(AuditEvent.Kind.HEAD, FIRST + 5, 99, 0, 0, 0, 0, 0, "instance-2", "ab".repeat(32)),
                // The time between was that of the row which is missing.
                new AuditEvent(AuditEvent.Kind.LEFT_OUT, FIRST + 7, 1, 0, 0, 0, 0, 0, "", ""),
                new AuditEvent(AuditEvent.Kind.END, FIRST + 8, 0, 0, 0, 0, 0, 0, NAME, ""));
    }

    public void theBytesWrittenAreThoseOfTheFile() throws Exception {
        Path folder = Files.createTempDirectory("audit-format");
        writeExamples(folder);
        assertEquals(AuditSegments.filesIn(folder), List.of(folder.resolve(FILE)));
        assertEquals(Files.readAllBytes(folder.resolve(FILE)), Files.readAllBytes(example()));
    }

    public void theFileIsReadWithTheSameValues() throws Exception {
        List<AuditEvent> rows = new ArrayList<>();
        List<Long> blocks = new ArrayList<>();
        AuditSegments.SegmentEnd end = AuditSegments.read(example(), new AuditSegments.Visitor() {
            @Override
            public void segment(Path file, AuditSegments.Header head) {
                assertEquals(head.name(), NAME);
                assertEquals(head.number(), 0);
                assertEquals(head.firstBlock(), 0);
                assertEquals(head.previousDigest(), new byte[32]);
            }

            @Override
            public void block(Path file, long number, byte[] digest, boolean chained) {
                assertTrue(chained, "block " + number);
                blocks.add(number);
            }

            @Override
            public void event(AuditEvent row) {
                rows.add(row);
            }

            @Override
            public void unreadable(Path file, long at, long left, String why) {
                throw new AssertionError(why);
            }
        });
        assertEquals(rows, exampleRows());
        assertEquals(blocks, List.of(0L, 1L, 2L, 3L, 4L, 5L, 6L, 7L));
        assertEquals(end.intactBytes(), Files.size(example()));
        assertEquals(end.nextBlock(), 8);
    }

    /** Their place in this order is in the file, and their names are in the columns that the tool writes. */
    public void kindsHaveTheseNamesInThisOrder() {
        assertEquals(Arrays.stream(AuditEvent.Kind.values()).map(Enum::name).toList(),
                List.of("LIFE", "TAKEN", "BEGUN", "OVER", "EVENT", "HEAD", "LEFT_OUT", "END"));
    }

    private static Path example() throws Exception {
        return Path.of(SegmentFormatTest.class.getResource("/formats/" + FILE).toURI());
    }
}
