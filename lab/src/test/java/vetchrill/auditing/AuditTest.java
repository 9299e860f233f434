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
import vetchrill.audit.AuditWriter;
import vetchrill.audit.HybridLogicalClock;
import vetchrill.audit.AuditSegments;
import vetchrill.routing.Recorder;

/** Records that end in the middle, are changed later, lived twice, or meet a disk that is full. */
@Test
public class AuditTest {
    private Path folder;

    @BeforeMethod
    public void anEmptyFolder() throws IOException {
        folder = Files.createTempDirectory("audit");
    }

    private AuditConfig terms(String name) {
        return new AuditConfig(folder.resolve(name), 1_024, 100, 4_000, 1 << 20);
    }

    private AuditWriter writer(String name) throws IOException {
        return new AuditWriter(terms(name), name, 7, "a test", new HybridLogicalClock(System::currentTimeMillis),
                AuditWriter.FILE_SYSTEM);
    }

    private static void exchanges(AuditWriter writer, int from, int count) {
        for (int i = from; i < from + count; i++) {
            writer.runRequested(i, 3, 0, 0, i);
            Recorder.ExchangeRow row = writer.claimExchangeRow();
            row.id = i;
            row.version = 3;
            row.answerKind = Recorder.COMPLETED;
            writer.put(row);
        }
    }

    private static void settle(AuditWriter writer, long block) throws InterruptedException {
        for (int i = 0; i < 500 && writer.position().block() < block; i++) {
            Thread.sleep(10);
        }
        assertTrue(writer.position().block() >= block, "it came to " + writer.position());
    }

    private Fleetwide read() throws IOException {
        Fleetwide fleet = new Fleetwide(List.of(folder));
        fleet.read(null);
        return fleet;
    }

    private History only(String name) throws IOException {
        return read().histories.stream().filter(each -> each.name.equals(name)).findFirst().orElseThrow();
    }

    private Path last(String name) throws IOException {
        List<Path> files = AuditSegments.filesIn(folder.resolve(name));
        return files.get(files.size() - 1);
    }

    public void aRecordGoesOnWhereAKilledProcessTornItsLastWrite() throws Exception {
        AuditWriter first = writer("a");
        exchanges(first, 0, 10);
        settle(first, 0);
        exchanges(first, 10, 10);
        first.close();
        Path file = last("a");
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE)) {
            channel.truncate(channel.size() - 3);
        }
        assertTrue(only("a").torn > 0);
        AuditWriter second = writer("a");
        exchanges(second, 100, 5);
        second.close();
        History whole = only("a");
        assertEquals(whole.wrong, List.of());
        assertEquals(whole.torn, 0);
        assertEquals(whole.lives, 2);
        assertTrue(whole.over >= 15, "over " + whole.over);
        assertEquals(read().who(104).size(), 2);
    }

    /** An octet that is another one shows by its block; a record that was made anew shows by what others were told. */
    public void whatIsChangedLaterShows() throws Exception {
        AuditWriter a = writer("a");
        exchanges(a, 0, 50);
        settle(a, 0);
        AuditWriter b = writer("b");
        b.recordPeerPosition("a", a.position().block(), a.position().digest());
        b.close();
        a.close();
        assertEquals(read().forks(), List.of());
        byte[] bytes = Files.readAllBytes(last("a"));
        bytes[bytes.length / 2] ^= 1;
        Files.write(last("a"), bytes);
        assertTrue(only("a").torn > 0 || !only("a").wrong.isEmpty());
        for (Path each : AuditSegments.filesIn(folder.resolve("a"))) {
            Files.delete(each);
        }
        AuditWriter again = writer("a");
        exchanges(again, 0, 49);
        settle(again, 0);
        again.close();
        assertEquals(only("a").wrong, List.of());
        assertTrue(read().forks().get(0).contains("is not the one that b was told of"), read().forks().toString());
    }

    public void aRecordThatWasCutOffOrLivedTwiceShows() throws Exception {
        AuditWriter a = writer("a");
        exchanges(a, 0, 5);
        settle(a, 0);
        Files.createDirectories(folder.resolve("copy"));
        Files.copy(last("a"), folder.resolve("copy").resolve(last("a").getFileName()));
        exchanges(a, 5, 5);
        settle(a, 1);
        AuditWriter b = writer("b");
        b.recordPeerPosition("a", a.position().block(), a.position().digest());
        b.close();
        a.close();
        try (FileChannel channel = FileChannel.open(last("a"), StandardOpenOption.WRITE)) {
            channel.truncate(Files.size(folder.resolve("copy").resolve(last("a").getFileName())));
        }
        assertTrue(read().forks().stream().anyMatch(each -> each.contains("was cut off")), read().forks().toString());
        // The copy goes on by itself, as a second process with the same disk would.
        AuditWriter twin = new AuditWriter(new AuditConfig(folder.resolve("copy"), 64, 100, 1 << 20, 1 << 24), "a", 8,
                "a twin", new HybridLogicalClock(System::currentTimeMillis), AuditWriter.FILE_SYSTEM);
        exchanges(twin, 90, 5);
        twin.close();
        AuditWriter old = writer("a");
        exchanges(old, 50, 5);
        old.close();
        assertTrue(read().forks().stream().anyMatch(each -> each.contains("two records that part at block")),
                read().forks().toString());
    }

    /** A full disk: nobody waits, what is lost is counted, and the record is whole but for it once there is room. */
    public void aFullDiskCostsRowsThatAreCounted() throws Exception {
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
        AuditWriter a = new AuditWriter(terms("a"), "a", 7, "", new HybridLogicalClock(System::currentTimeMillis),
                disk);
        exchanges(a, 0, 10);
        settle(a, 0);
        full.set(true);
        exchanges(a, 10, 10);
        Thread.sleep(200);
        full.set(false);
        exchanges(a, 20, 10);
        a.close();
        History its = only("a");
        assertEquals(its.wrong, List.of());
        assertEquals(its.torn, 0);
        assertEquals(its.leftOut, 20);
        assertEquals(its.over, 20);
    }

    public void theBoundOnTheDiskHolds() throws Exception {
        AuditWriter a = new AuditWriter(new AuditConfig(folder.resolve("a"), 8_192, 50, 4_000, 20_000), "a", 7, "",
                new HybridLogicalClock(System::currentTimeMillis), AuditWriter.FILE_SYSTEM);
        for (int i = 0; i < 40; i++) {
            exchanges(a, 50 * i, 50);
            settle(a, i);
        }
        a.close();
        long all = 0;
        for (Path each : AuditSegments.filesIn(folder.resolve("a"))) {
            all += Files.size(each);
        }
        assertTrue(all <= 30_000, all + " octets");
        assertTrue(only("a").first() > 0);
        assertEquals(only("a").wrong, List.of());
    }

    /** What was heard is later than what was done before it was said, whatever the clocks say. */
    public void hybridTimeFollowsWhatWasHeard() {
        long[] wall = {1_000_000, 500_000};
        HybridLogicalClock ahead = new HybridLogicalClock(() -> wall[0]);
        HybridLogicalClock behind = new HybridLogicalClock(() -> wall[1]);
        long said = ahead.next();
        behind.observe(said);
        long after = behind.next();
        assertTrue(after > said);
        wall[0] -= 700_000;
        assertTrue(ahead.next() > said);
        assertFalse(behind.next() <= after);
    }
}
