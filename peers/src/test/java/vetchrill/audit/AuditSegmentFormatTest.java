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
 * The format of the audit log. {@code instance-1-00000000.audit} was written by {@link #writeExamples} with the build
 * of commit 04d6cf3. Logs of earlier builds must stay readable and are continued by later builds, so the file must not
 * be regenerated.
 */
@Test
public class AuditSegmentFormatTest {
    private static final String NAME = "instance-1";
    private static final String FILE = NAME + "-00000000.audit";
    private static final long EXCHANGE_ID = 0x1234567890abcdefL;
    private static final long WALL_MS = 1_700_000_000_000L;
    private static final long FIRST_TIME = WALL_MS << HybridLogicalClock.COUNTER_BITS;
    private static final int BLOCK_DEADLINE_MS = 20_000;

    /** Fails one write after {@link #failing} is set. */
    private static final class FailingOnce implements AuditWriter.Disk {
        private volatile boolean failing;

        @Override
        public void write(FileChannel channel, ByteBuffer bytes) throws IOException {
            if (failing) {
                failing = false;
                throw new IOException("simulated failure");
            }
            AuditWriter.FILE_SYSTEM.write(channel, bytes);
        }

        @Override
        public void sync(FileChannel channel) throws IOException {
            AuditWriter.FILE_SYSTEM.sync(channel);
        }
    }

    /** Writes a block for each event, so that their order and times are the same in each run. */
    static void writeExamples(Path folder) throws Exception {
        FailingOnce disk = new FailingOnce();
        AuditWriter writer = new AuditWriter(new AuditConfig(folder, 16, 10, 1 << 20, 1 << 22), NAME, 1L << 60,
                "an example", new HybridLogicalClock(() -> WALL_MS), disk);
        awaitBlock(writer, 0);
        writer.versionActivated(17);
        awaitBlock(writer, 1);
        writer.runRequested(EXCHANGE_ID, 17, 2, 3, 40_000);
        awaitBlock(writer, 2);
        Recorder.ExchangeRow exchange = writer.claimExchangeRow();
        exchange.id = EXCHANGE_ID;
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

    private static List<AuditEvent> exampleEvents() {
        return List.of(
                new AuditEvent(AuditEvent.Kind.LIFE, FIRST_TIME, 1L << 60, 0, 0, 0, 0, 0, NAME, "an example"),
                new AuditEvent(AuditEvent.Kind.TAKEN, FIRST_TIME + 1, 0, 17, 0, 0, 0, 0, "", ""),
                new AuditEvent(AuditEvent.Kind.BEGUN, FIRST_TIME + 2, EXCHANGE_ID, 17, 2, 3, 0, 40_000, "", ""),
                new AuditEvent(AuditEvent.Kind.OVER, FIRST_TIME + 3, EXCHANGE_ID, 17, 2, 3, 3, 41_000, "", ""),
                new AuditEvent(AuditEvent.Kind.EVENT, FIRST_TIME + 4, 0, 17, 0, 0, 0, 0, "TAKEN", "instance-2: text"),
                new AuditEvent(AuditEvent.Kind.HEAD, FIRST_TIME + 5, 99, 0, 0, 0, 0, 0, "instance-2", "ab".repeat(32)),
                // The time before this one was that of the lost event.
                new AuditEvent(AuditEvent.Kind.LEFT_OUT, FIRST_TIME + 7, 1, 0, 0, 0, 0, 0, "", ""),
                new AuditEvent(AuditEvent.Kind.END, FIRST_TIME + 8, 0, 0, 0, 0, 0, 0, NAME, ""));
    }

    public void writtenBytesEqualTheFile() throws Exception {
        Path folder = Files.createTempDirectory("audit-format");
        writeExamples(folder);
        assertEquals(AuditSegments.filesIn(folder), List.of(folder.resolve(FILE)));
        assertEquals(Files.readAllBytes(folder.resolve(FILE)), Files.readAllBytes(example()));
    }

    public void readEventsEqualTheExamples() throws Exception {
        List<AuditEvent> events = new ArrayList<>();
        List<Long> blocks = new ArrayList<>();
        AuditSegments.SegmentEnd end = AuditSegments.read(example(), new AuditSegments.Visitor() {
            @Override
            public void segment(Path file, AuditSegments.Header header) {
                assertEquals(header.name(), NAME);
                assertEquals(header.number(), 0);
                assertEquals(header.firstBlock(), 0);
                assertEquals(header.previousDigest(), new byte[32]);
            }

            @Override
            public void block(Path file, long number, byte[] digest, boolean chained) {
                assertTrue(chained, "block " + number);
                blocks.add(number);
            }

            @Override
            public void event(AuditEvent event) {
                events.add(event);
            }

            @Override
            public void unreadable(Path file, long offset, long remaining, String problem) {
                throw new AssertionError(problem);
            }
        });
        assertEquals(events, exampleEvents());
        assertEquals(blocks, List.of(0L, 1L, 2L, 3L, 4L, 5L, 6L, 7L));
        assertEquals(end.intactBytes(), Files.size(example()));
        assertEquals(end.nextBlock(), 8);
    }

    /** The ordinal is in the file, and the name in the tables that the tool writes. */
    public void kindsHaveStableNamesAndOrder() {
        assertEquals(Arrays.stream(AuditEvent.Kind.values()).map(Enum::name).toList(),
                List.of("LIFE", "TAKEN", "BEGUN", "OVER", "EVENT", "HEAD", "LEFT_OUT", "END"));
    }

    private static Path example() throws Exception {
        return Path.of(AuditSegmentFormatTest.class.getResource("/formats/" + FILE).toURI());
    }
}
