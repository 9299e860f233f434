package vetchrill.auditing;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import vetchrill.audit.HybridLogicalClock;
import vetchrill.audit.AuditEvent;
import vetchrill.audit.AuditSegments;

/** The record of one instance as its files hold it, read from beginning to end, and what is wrong with it. */
public final class InstanceAuditLog {
    /** Who is told of the rows, with what holds where they stand. */
    public interface EventVisitor {
        void visit(InstanceAuditLog log, AuditEvent event);
    }

    /** What another instance was told of this kind of record: so far had it come, with that digest. */
    public record ReportedPosition(String reporter, String instance, long block, long digestPrefix, long hybridTime) {
    }

    private static final int MAX_CLOCK_STEP_BACK_MS = 1_000;

    public final Path folder;
    public final String name;
    private final List<Path> files;
    private long firstBlock = -1;
    private long[] digestPrefixes = new long[256];
    private int blockCount;
    public long eventCount;
    public long omittedEvents;
    public long exchangesBegun;
    public long exchangesEnded;
    public int processStarts;
    public int orderlyShutdowns;
    /** Octets behind the last whole block: what a write had begun as its process was killed. */
    public long tornBytes;
    public final List<String> problems = new ArrayList<>();
    public final List<ReportedPosition> reportedPositions = new ArrayList<>();
    /** The life and the version that hold where the reading stands. */
    public long processNonce;
    public String processDescription = "";
    private long lastHybridTime;
    private long expectedBlock = -1;

    private InstanceAuditLog(Path folder, String name, List<Path> files) {
        this.folder = folder;
        this.name = name;
        this.files = files;
    }

    /** All records below some folders, those of dead instances too. */
    public static List<InstanceAuditLog> findIn(List<Path> folders) throws IOException {
        Map<String, List<Path>> filesByLog = new TreeMap<>();
        for (Path each : folders) {
            if (!Files.isDirectory(each)) {
                throw new IOException(each + " is no folder");
            }
            List<Path> files;
            try (var walk = Files.walk(each)) {
                files = walk.filter(file -> file.getFileName().toString().matches(".+-\\d{8,}\\.audit")).sorted()
                        .toList();
            }
            for (Path file : files) {
                String name = file.getFileName().toString().replaceAll("-\\d{8,}\\.audit$", "");
                filesByLog.computeIfAbsent(file.getParent().toAbsolutePath().normalize() + "\n" + name,
                        any -> new ArrayList<>()).add(file);
            }
        }
        List<InstanceAuditLog> logs = new ArrayList<>();
        filesByLog.forEach((key, files) -> logs.add(new InstanceAuditLog(files.get(0).getParent(), key.split("\n")[1],
                new ArrayList<>(files))));
        return logs;
    }

    /** Reads all of it; {@code to} may be null. A second reading begins anew. */
    public void read(EventVisitor visitor) throws IOException {
        firstBlock = -1;
        blockCount = 0;
        eventCount = 0;
        omittedEvents = 0;
        exchangesBegun = 0;
        exchangesEnded = 0;
        processStarts = 0;
        orderlyShutdowns = 0;
        tornBytes = 0;
        problems.clear();
        reportedPositions.clear();
        lastHybridTime = 0;
        expectedBlock = -1;
        byte[][] previousDigest = {null};
        for (int i = 0; i < files.size(); i++) {
            boolean isLast = i == files.size() - 1;
            Path file = files.get(i);
            AuditSegments.SegmentEnd end = AuditSegments.read(file, new AuditSegments.Visitor() {
                @Override
                public void segment(Path file, AuditSegments.Header header) {
                    if (!header.name().equals(name)) {
                        problems.add(file.getFileName() + " is of " + header.name());
                    }
                    if (expectedBlock >= 0 && header.firstBlock() != expectedBlock) {
                        problems.add(file.getFileName() + " begins at block " + header.firstBlock()
                                + ", the one before ends at " + expectedBlock);
                    } else if (previousDigest[0] != null && !Arrays.equals(previousDigest[0],
                            header.previousDigest())) {
                        problems.add(file.getFileName() + " does not follow from the one before: another digest");
                    }
                    if (firstBlock < 0) {
                        firstBlock = header.firstBlock();
                    }
                    while (blockCount < header.firstBlock() - firstBlock) {
                        addDigestPrefix(0);
                    }
                }

                @Override
                public void block(Path file, long number, byte[] digest, boolean chained) {
                    if (!chained) {
                        problems.add(file.getFileName() + ": block " + number + " does not follow from the one before");
                    }
                    addDigestPrefix(digestPrefix(AuditSegments.hex(digest)));
                }

                @Override
                public void event(AuditEvent event) {
                    countEvent(event, visitor);
                }

                @Override
                public void unreadable(Path file, long offset, long remaining, String problem) {
                    if (isLast) {
                        tornBytes += remaining;
                    } else {
                        problems.add(file.getFileName() + ": " + problem + " at octet " + offset + ", " + remaining
                                + " octets lost");
                    }
                }
            });
            expectedBlock = end.nextBlock();
            previousDigest[0] = end.digest();
        }
    }

    private void countEvent(AuditEvent event, EventVisitor visitor) {
        eventCount++;
        switch (event.kind()) {
            case LIFE -> {
                processStarts++;
                processNonce = event.id();
                processDescription = event.detail();
            }
            case BEGUN -> exchangesBegun++;
            case OVER -> exchangesEnded++;
            case END -> orderlyShutdowns++;
            case LEFT_OUT -> omittedEvents += event.id();
            case HEAD -> reportedPositions.add(new ReportedPosition(name, event.text(), event.id(),
                    digestPrefix(event.detail()), event.hybridTime()));
            default -> {
            }
        }
        if (event.kind() == AuditEvent.Kind.LIFE && lastHybridTime > 0
                && HybridLogicalClock.toMillis(lastHybridTime)
                - HybridLogicalClock.toMillis(event.hybridTime()) > MAX_CLOCK_STEP_BACK_MS) {
            problems.add("the clock went back by "
                    + (HybridLogicalClock.toMillis(lastHybridTime) - HybridLogicalClock.toMillis(event.hybridTime()))
                    + " ms between two lives");
        }
        lastHybridTime = event.hybridTime();
        if (visitor != null) {
            visitor.visit(this, event);
        }
    }

    static long digestPrefix(String hex) {
        return hex.length() < 16 ? 0 : Long.parseUnsignedLong(hex.substring(0, 16), 16);
    }

    private void addDigestPrefix(long prefix) {
        if (blockCount == digestPrefixes.length) {
            digestPrefixes = Arrays.copyOf(digestPrefixes, 2 * blockCount);
        }
        digestPrefixes[blockCount++] = prefix;
    }

    public long firstBlock() {
        return Math.max(0, firstBlock);
    }

    /** One past the last block that is there. */
    public long nextBlock() {
        return firstBlock() + blockCount;
    }

    /** The first 16 digits of the digest of that block; 0 where it is not there. */
    public long digestPrefixAt(long block) {
        return block >= firstBlock() && block < nextBlock() ? digestPrefixes[(int) (block - firstBlock())] : 0;
    }
}
