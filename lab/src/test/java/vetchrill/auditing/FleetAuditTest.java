package vetchrill.auditing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import vetchrill.audit.AuditConfig;
import vetchrill.audit.AuditSegments;
import vetchrill.audit.AuditWriter;
import vetchrill.audit.HybridLogicalClock;
import vetchrill.routing.Recorder;

/** Audit logs that end in a torn block, are changed or truncated later, fork, or meet a full disk. */
@Test
public class FleetAuditTest {
    private Path folder;

    @BeforeMethod
    public void createFolder() throws IOException {
        folder = Files.createTempDirectory("audit");
    }

    private AuditConfig config(String name) {
        return new AuditConfig(folder.resolve(name), 1_024, 100, 4_000, 1 << 20);
    }

    private AuditWriter writer(String name) throws IOException {
        return new AuditWriter(config(name), name, 7, "a test", new HybridLogicalClock(System::currentTimeMillis),
                AuditWriter.FILE_SYSTEM);
    }

    private static void writeExchanges(AuditWriter writer, int from, int count) {
        for (int i = from; i < from + count; i++) {
            writer.runRequested(i, 3, 0, 0, i);
            Recorder.ExchangeRow row = writer.claimExchangeRow();
            row.id = i;
            row.version = 3;
            row.answerKind = Recorder.COMPLETED;
            writer.put(row);
        }
    }

    private static void awaitBlock(AuditWriter writer, long block) throws InterruptedException {
        for (int i = 0; i < 500 && writer.position().block() < block; i++) {
            Thread.sleep(10);
        }
        assertTrue(writer.position().block() >= block, "the log is at " + writer.position());
    }

    private FleetAudit read() throws IOException {
        FleetAudit fleet = new FleetAudit(List.of(folder));
        fleet.read(null);
        return fleet;
    }

    private InstanceAuditLog logOf(String name) throws IOException {
        return read().logs.stream().filter(each -> each.name.equals(name)).findFirst().orElseThrow();
    }

    private Path lastSegment(String name) throws IOException {
        List<Path> files = AuditSegments.filesIn(folder.resolve(name));
        return files.get(files.size() - 1);
    }

    public void logContinuesAfterATornLastWrite() throws Exception {
        AuditWriter first = writer("a");
        writeExchanges(first, 0, 10);
        awaitBlock(first, 0);
        writeExchanges(first, 10, 10);
        first.close();
        Path file = lastSegment("a");
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE)) {
            channel.truncate(channel.size() - 3);
        }
        assertTrue(logOf("a").tornBytes > 0);
        AuditWriter second = writer("a");
        writeExchanges(second, 100, 5);
        second.close();
        InstanceAuditLog continued = logOf("a");
        assertEquals(continued.problems, List.of());
        assertEquals(continued.tornBytes, 0);
        assertEquals(continued.processStarts, 2);
        assertTrue(continued.exchangesEnded >= 15, "ended " + continued.exchangesEnded);
        assertEquals(read().eventsOf(104).size(), 2);
    }

    /** A changed byte is detected by its block, a rewritten log by the position that other instances were sent. */
    public void laterChangesAreDetected() throws Exception {
        AuditWriter a = writer("a");
        writeExchanges(a, 0, 50);
        awaitBlock(a, 0);
        AuditWriter b = writer("b");
        b.recordPeerPosition("a", a.position().block(), a.position().digest());
        b.close();
        a.close();
        assertEquals(read().findInconsistencies(), List.of());
        byte[] bytes = Files.readAllBytes(lastSegment("a"));
        bytes[bytes.length / 2] ^= 1;
        Files.write(lastSegment("a"), bytes);
        assertTrue(logOf("a").tornBytes > 0 || !logOf("a").problems.isEmpty());
        for (Path each : AuditSegments.filesIn(folder.resolve("a"))) {
            Files.delete(each);
        }
        AuditWriter rewritten = writer("a");
        writeExchanges(rewritten, 0, 49);
        awaitBlock(rewritten, 0);
        rewritten.close();
        assertEquals(logOf("a").problems, List.of());
        assertTrue(read().findInconsistencies().get(0).contains("differs from the one reported to b"),
                read().findInconsistencies().toString());
    }

    public void truncatedAndDuplicatedLogsAreDetected() throws Exception {
        AuditWriter a = writer("a");
        writeExchanges(a, 0, 5);
        awaitBlock(a, 0);
        Files.createDirectories(folder.resolve("copy"));
        Files.copy(lastSegment("a"), folder.resolve("copy").resolve(lastSegment("a").getFileName()));
        writeExchanges(a, 5, 5);
        awaitBlock(a, 1);
        AuditWriter b = writer("b");
        b.recordPeerPosition("a", a.position().block(), a.position().digest());
        b.close();
        a.close();
        try (FileChannel channel = FileChannel.open(lastSegment("a"), StandardOpenOption.WRITE)) {
            channel.truncate(Files.size(folder.resolve("copy").resolve(lastSegment("a").getFileName())));
        }
        assertTrue(read().findInconsistencies().stream().anyMatch(each -> each.contains("was truncated")),
                read().findInconsistencies().toString());
        // The copy goes on separately, as a second process with the same disk would.
        AuditWriter twin = new AuditWriter(new AuditConfig(folder.resolve("copy"), 64, 100, 1 << 20, 1 << 24), "a", 8,
                "a twin", new HybridLogicalClock(System::currentTimeMillis), AuditWriter.FILE_SYSTEM);
        writeExchanges(twin, 90, 5);
        twin.close();
        AuditWriter original = writer("a");
        writeExchanges(original, 50, 5);
        original.close();
        assertTrue(read().findInconsistencies().stream()
                .anyMatch(each -> each.contains("two audit logs that differ from block")),
                read().findInconsistencies().toString());
    }

    /** On a full disk nobody waits: events are left out and counted, and the log is intact once there is room. */
    public void fullDiskOmitsEventsThatAreCounted() throws Exception {
        AtomicBoolean full = new AtomicBoolean();
        AuditWriter.Disk disk = new AuditWriter.Disk() {
            @Override
            public void write(FileChannel to, ByteBuffer bytes) throws IOException {
                if (full.get()) {
                    to.write(bytes.slice(0, bytes.remaining() / 2));
                    throw new IOException("No space left on device");
                }
                AuditWriter.FILE_SYSTEM.write(to, bytes);
            }

            @Override
            public void sync(FileChannel of) throws IOException {
                AuditWriter.FILE_SYSTEM.sync(of);
            }
        };
        AuditWriter a = new AuditWriter(config("a"), "a", 7, "", new HybridLogicalClock(System::currentTimeMillis),
                disk);
        writeExchanges(a, 0, 10);
        awaitBlock(a, 0);
        full.set(true);
        writeExchanges(a, 10, 10);
        Thread.sleep(200);
        full.set(false);
        writeExchanges(a, 20, 10);
        a.close();
        InstanceAuditLog log = logOf("a");
        assertEquals(log.problems, List.of());
        assertEquals(log.tornBytes, 0);
        assertEquals(log.omittedEvents, 20);
        assertEquals(log.exchangesEnded, 20);
    }

    public void logStaysWithinItsDiskLimit() throws Exception {
        AuditWriter a = new AuditWriter(new AuditConfig(folder.resolve("a"), 8_192, 50, 4_000, 20_000), "a", 7, "",
                new HybridLogicalClock(System::currentTimeMillis), AuditWriter.FILE_SYSTEM);
        for (int i = 0; i < 40; i++) {
            writeExchanges(a, 50 * i, 50);
            awaitBlock(a, i);
        }
        a.close();
        long totalBytes = 0;
        for (Path each : AuditSegments.filesIn(folder.resolve("a"))) {
            totalBytes += Files.size(each);
        }
        assertTrue(totalBytes <= 30_000, totalBytes + " bytes");
        assertTrue(logOf("a").firstBlock() > 0);
        assertEquals(logOf("a").problems, List.of());
    }

    /** What happens after a message was received has a later hybrid time than its sending, whatever the clocks say. */
    public void hybridTimeIsLaterThanAnyObservedTime() {
        long[] wallMs = {1_000_000, 500_000};
        HybridLogicalClock ahead = new HybridLogicalClock(() -> wallMs[0]);
        HybridLogicalClock behind = new HybridLogicalClock(() -> wallMs[1]);
        long sent = ahead.next();
        behind.observe(sent);
        long received = behind.next();
        assertTrue(received > sent);
        wallMs[0] -= 700_000;
        assertTrue(ahead.next() > sent);
        assertFalse(behind.next() <= received);
    }
}
