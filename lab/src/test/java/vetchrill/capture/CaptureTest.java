package vetchrill.capture;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.testng.annotations.Test;
import vetchrill.hcl.ConfigBlock;
import vetchrill.hcl.ConfigErrors;
import vetchrill.routing.Recorder;

@Test
public class CaptureTest {
    private static final String SETTINGS = "{\"categories\":[{\"name\":\"look\",\"effect\":\"free\",\"aimMs\":400,"
            + "\"deadlineMs\":1000}],\"customers\":[{\"name\":\"acme\"}],\"familyInfo\":{\"cores\":2}}";

    private static CaptureConfig settings(Path folder, String extraKeys) {
        return CaptureConfig.readFrom(ConfigBlock.parse("o.hcl",
                "capture {\n directory = \"" + folder + "\"\n zone = \"z\"\n"
                + " kind = \"k\"\n subject_key = \"000102030405060708090a0b0c0d0e0f\"\n flush_ms = 10\n" + extraKeys
                        + "}\n"));
    }

    static CaptureWriter writer(Path folder, String name, String extraKeys) throws IOException {
        return new CaptureWriter(settings(folder, extraKeys),
                Map.of("name", name, "started", "1", "settings", SETTINGS));
    }

    /** Records one attempt for {@code subject}, which arrives at {@code at} and is answered 20 ms later. */
    static void put(CaptureWriter writer, long at, long subject, byte answer) {
        Recorder.ExchangeRow row = writer.claimExchangeRow();
        if (row != null) {
            row.arrivedAt = at;
            row.dequeuedAt = at + 100;
            row.stubNumber = 1;
            row.subject = subject;
            row.kb = 20 + subject % 100;
            row.bytes = (int) (subject % 2_000);
            row.startedAt = answer == Recorder.COMPLETED ? at + 100 : 0;
            row.runDuration = answer == Recorder.COMPLETED ? 100 : 0;
            row.answeredAt = at + 200;
            row.answerKind = answer;
            writer.put(row);
        }
    }

    private static Path folder() throws IOException {
        return Files.createTempDirectory("captures");
    }

    private static byte[] written(int rows) throws IOException, InterruptedException {
        CaptureWriter writer = writer(folder(), "r1", "");
        for (int i = 0; i < rows; i++) {
            put(writer, 1_000_000 + 50L * i, 1 + i, Recorder.COMPLETED);
            if (i % 20 == 19) {
                Thread.sleep(15);
            }
        }
        writer.close();
        return Files.readAllBytes(writer.file());
    }

    public void readsBackWhatWasWritten() throws Exception {
        Capture capture = Capture.read(Path.of("x"), written(100));
        assertTrue(capture.complete);
        assertEquals(capture.rows, 100);
        assertEquals(capture.name, "r1");
        assertEquals(capture.zone, "z");
        for (int i = 0; i < 100; i++) {
            assertEquals(capture.arrivedAt[i], 1_000_000 + 50L * i);
            assertEquals(capture.dequeuedAt[i], capture.arrivedAt[i] + 100);
            assertEquals(capture.bodyBytes[i], (1 + i) % 2_000);
            assertEquals(capture.answerKind[i], Recorder.COMPLETED);
        }
    }

    /**
     * An instance may be killed at any time: its file is readable up to the last complete part, and not marked as
     * complete.
     */
    public void readsATruncatedFileUpToItsLastCompletePart() throws Exception {
        byte[] all = written(60);
        SplittableRandom random = new SplittableRandom(1);
        int most = 0;
        for (int i = 0; i < 300; i++) {
            int length = 1 + random.nextInt(all.length - 1);
            try {
                Capture cut = Capture.read(Path.of("x"), java.util.Arrays.copyOf(all, length));
                assertFalse(cut.complete && cut.cutBytes > 0, "truncated at " + length);
                assertTrue(cut.rows <= 60);
                most = Math.max(most, cut.rows);
            } catch (CaptureException e) {
                assertTrue(e.getMessage().endsWith("has no complete part"), e.getMessage());
            }
        }
        assertTrue(most > 0, "no truncated file had a readable row");
    }

    /** Any flipped bit is detected, so that no plan is made from damaged data. */
    public void rejectsADamagedFile() throws Exception {
        byte[] all = written(60);
        SplittableRandom random = new SplittableRandom(2);
        for (int i = 0; i < 400; i++) {
            byte[] damaged = all.clone();
            int at = random.nextInt(all.length);
            damaged[at] ^= (byte) (1 << random.nextInt(8));
            try {
                Capture read = Capture.read(Path.of("x"), damaged);
                // A length that grew past the end of the file looks like a truncated part.
                assertTrue(read.cutBytes > 0, "damage was not detected at " + at);
            } catch (CaptureException e) {
                assertTrue(e.getMessage().startsWith("x: "), e.getMessage());
            }
        }
    }

    /**
     * Found by fuzzing: a part with a valid checksum that declared a message of two gigabytes had them allocated before
     * it was rejected.
     */
    public void rejectsAnExcessiveDeclaredLengthBeforeAllocation() throws Exception {
        byte[] damaged = written(60);
        int length = CaptureFormat.getInt(damaged, 8);
        // The length of the first message, after the continuation marker.
        for (int i = 0; i < 4; i++) {
            damaged[CaptureFormat.HEADER_BYTES + 4 + i] = (byte) (i == 3 ? 0x7f : 0xff);
        }
        java.util.zip.CRC32C sum = new java.util.zip.CRC32C();
        sum.update(damaged, CaptureFormat.HEADER_BYTES, length);
        CaptureFormat.putInt(damaged, 12, (int) sum.getValue());
        try {
            Capture.read(Path.of("x"), damaged);
        } catch (CaptureException e) {
            assertEquals(e.getMessage(), "x: a part declares more data than it has");
            return;
        }
        throw new AssertionError("the damaged capture was accepted");
    }

    public void countsDroppedRowsInTheFile() throws Exception {
        CaptureWriter writer = writer(folder(), "r1", " ring_rows = 64\n");
        int n = 0;
        // Faster than the writer can follow, so that the ring fills up.
        while (n < 200_000) {
            put(writer, 1_000_000 + n++, 1, Recorder.COMPLETED);
        }
        writer.close();
        Capture capture = Capture.read(writer.file());
        assertTrue(capture.droppedRows > 0, "no row of " + n + " was dropped");
        assertEquals(capture.rows + capture.droppedRows, n);
    }

    public void keepsTheFileWithinItsLimit() throws Exception {
        CaptureWriter writer = writer(folder(), "r1", " most_mb = 1\n");
        for (int i = 0; i < 60_000; i++) {
            put(writer, 1_000_000 + i, 1 + i, Recorder.COMPLETED);
            if (i % 4_000 == 0) {
                Thread.sleep(20);
            }
        }
        writer.close();
        assertTrue(Files.size(writer.file()) < (1 << 20) + 10_000);
        assertTrue(Capture.read(writer.file()).droppedRows > 0);
    }

    /** Two instances, the clock of one 300 ms ahead: attempts denied at one are retried at the other at once. */
    public void correctsClockOffsets() throws Exception {
        Path folder = folder();
        CaptureWriter one = writer(folder, "r1", "");
        CaptureWriter two = writer(folder, "r2", "");
        for (int i = 0; i < 40; i++) {
            long at = 1_000_000 + 1_000L * i;
            boolean there = i % 2 == 0;
            put(there ? one : two, at + (there ? 0 : 3_000), 1 + i, Recorder.DENIED);
            put(there ? two : one, at + 220 + (there ? 3_000 : 0), 1 + i, Recorder.COMPLETED);
        }
        one.close();
        two.close();
        CaptureMerge merged = new CaptureMerge(Capture.readAll(folder));
        assertTrue(merged.clockOffsets.allCompared());
        assertEquals(merged.clockOffsets.offset[1] - merged.clockOffsets.offset[0], 3_000, 20.0);
        assertEquals(merged.firstAttempts(), 40, 0.5);
    }

    public void remarksThatClocksCouldNotBeCompared() throws Exception {
        Path folder = folder();
        for (String name : List.of("r1", "r2")) {
            CaptureWriter writer = writer(folder, name, "");
            for (int i = 0; i < 20; i++) {
                put(writer, 1_000_000 + i * 100L, name.hashCode() + i, Recorder.COMPLETED);
            }
            writer.close();
        }
        CaptureMerge merged = new CaptureMerge(Capture.readAll(folder));
        assertFalse(merged.clockOffsets.allCompared());
        assertTrue(merged.remarks.stream().anyMatch(each -> each.contains("clocks could not all be compared")),
                merged.remarks.toString());
    }

    /** An equal request after a result is a first attempt; after a denial it is a retry. */
    public void marksRequestsAfterADenialAsRetries() throws Exception {
        Path folder = folder();
        CaptureWriter writer = writer(folder, "r1", "");
        put(writer, 1_000_000, 7, Recorder.DENIED);
        put(writer, 1_000_300, 7, Recorder.DENIED);
        put(writer, 1_000_700, 7, Recorder.COMPLETED);
        put(writer, 1_002_000, 7, Recorder.COMPLETED);
        put(writer, 1_900_000, 7, Recorder.COMPLETED);
        writer.close();
        CaptureMerge merged = new CaptureMerge(Capture.readAll(folder));
        List<Boolean> retries = new ArrayList<>();
        for (boolean each : merged.retry) {
            retries.add(each);
        }
        assertEquals(retries, List.of(false, true, true, false, false));
    }

    public void reportsErrorsOfTheConfiguration() {
        try {
            ConfigBlock root = ConfigBlock.parse("o.hcl",
                    "capture {\n directory = \"x\"\n zone = \"z\"\n subject_key = \"12\"\n"
                    + " ring_rows = 3\n}\n");
            CaptureConfig.readFrom(root);
            root.check();
        } catch (ConfigErrors e) {
            assertEquals(e.messages, List.of("o.hcl:1: kind: is missing in capture, should be a quoted string",
                    "o.hcl:4: subject_key: should be 32 hexadecimal digits, the same on every instance",
                    "o.hcl:5: ring_rows: is 3, should be a number from 64 to 1048576"));
            return;
        }
        throw new AssertionError("the configuration was accepted");
    }
}
