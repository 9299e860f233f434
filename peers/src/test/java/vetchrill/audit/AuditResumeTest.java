package vetchrill.audit;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.testng.annotations.Test;

/** An audit log that is continued after its process ended at any point of the creation of a segment. */
@Test
public class AuditResumeTest {
    private static final String NAME = "r2";
    private static final long WALL_MS = 1_700_000_000_000L;
    private static final long FLUSH_PERIOD_TENTHS_MS = 10;

    /** Guards against an empty segment in the middle of a log, after a power loss before its header was written. */
    public void segmentWithoutAWholeHeaderIsReplaced() throws Exception {
        for (int written = 0; written < AuditSegments.HEADER_BYTES; written++) {
            Path folder = Files.createTempDirectory("audit-resume");
            runProcess(folder);
            Path first = AuditSegments.segmentPath(folder, NAME, 0);
            Path torn = AuditSegments.segmentPath(folder, NAME, 1);
            Files.write(torn, Arrays.copyOf(Files.readAllBytes(first), written));
            runProcess(folder);
            assertEquals(problemsOf(folder), List.of(), written + " bytes of the header were written");
            assertEquals(AuditSegments.filesIn(folder), List.of(first, torn));
            for (Path each : AuditSegments.filesIn(folder)) {
                Files.delete(each);
            }
            Files.delete(folder);
        }
    }

    private static void runProcess(Path folder) throws IOException {
        new AuditWriter(new AuditConfig(folder, 16, FLUSH_PERIOD_TENTHS_MS, 1 << 20, 1 << 22), NAME, 1, "a process",
                new HybridLogicalClock(() -> WALL_MS), AuditWriter.FILE_SYSTEM).close();
    }

    /** What can't be read, and blocks whose digest or number does not follow from the one before. */
    private static List<String> problemsOf(Path folder) throws IOException {
        List<String> problems = new ArrayList<>();
        long[] nextBlock = {0};
        byte[][] digest = {new byte[AuditSegments.DIGEST_BYTES]};
        for (Path each : AuditSegments.filesIn(folder)) {
            AuditSegments.read(each, new AuditSegments.Visitor() {
                @Override
                public void segment(Path file, AuditSegments.Header header) {
                    if (!Arrays.equals(header.previousDigest(), digest[0])) {
                        problems.add(file.getFileName() + ": not chained to the segment before");
                    }
                }

                @Override
                public void block(Path file, long number, byte[] blockDigest, boolean chained) {
                    if (number != nextBlock[0]++ || !chained) {
                        problems.add(file.getFileName() + ": block " + number + ", chained " + chained);
                    }
                    digest[0] = blockDigest;
                }

                @Override
                public void event(AuditEvent event) {
                }

                @Override
                public void unreadable(Path file, long offset, long remaining, String problem) {
                    problems.add(file.getFileName() + ": " + problem + " at byte " + offset);
                }
            });
        }
        return problems;
    }
}
