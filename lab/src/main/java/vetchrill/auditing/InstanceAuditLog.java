package vetchrill.auditing;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import vetchrill.audit.AuditEvent;
import vetchrill.audit.AuditSegments;
import vetchrill.audit.HybridLogicalClock;

/** The audit log of one instance: reads its files from the beginning to the end and checks them. */
public final class InstanceAuditLog {
    /** Receives the events; the public fields of the log tell what holds at that event. */
    public interface EventVisitor {
        void visit(InstanceAuditLog log, AuditEvent event);
    }

    /**
     * A position in the audit log of another instance, as that one reported it to the owner of this log.
     *
     * @param reporter the owner of this log, which wrote the position down
     * @param instance whose audit log has come to the block
     * @param digestPrefix the first 16 hexadecimal digits of the digest of the block
     */
    public record ReportedPosition(String reporter, String instance, long block, long digestPrefix, long hybridTime) {
    }

    /** Hybrid time may go back by so much between two processes before it is a finding. */
    private static final int MAX_CLOCK_STEP_BACK_MS = 1_000;
    private static final int DIGEST_PREFIX_DIGITS = 16;

    public final Path folder;
    /** The name of the instance, by the names of the files. */
    public final String name;
    private final List<Path> files;
    private long firstBlock = -1;
    /** By block from {@code firstBlock} on; 0 for a block that is missing. */
    private long[] digestPrefixes = new long[256];
    private int blockCount;
    public long eventCount;
    /** Events that the instance left out for lack of room. */
    public long omittedEvents;
    public long exchangesBegun;
    public long exchangesEnded;
    public int processStarts;
    public int orderlyShutdowns;
    /** Bytes after the last intact block, of a write in progress when the process was killed. */
    public long tornBytes;
    public final List<String> problems = new ArrayList<>();
    public final List<ReportedPosition> reportedPositions = new ArrayList<>();
    /** The nonce of the process that wrote the events now being read. */
    public long processNonce;
    /** Program and settings of that process, as it wrote them at its start. */
    public String processDescription = "";
    private long lastHybridTime;
    private long expectedBlock = -1;

    private InstanceAuditLog(Path folder, String name, List<Path> files) {
        this.folder = folder;
        this.name = name;
        this.files = files;
    }

    /** Finds all audit logs below these folders, those of dead instances too. */
    public static List<InstanceAuditLog> findIn(List<Path> folders) throws IOException {
        Map<String, List<Path>> filesByLog = new TreeMap<>();
        for (Path each : folders) {
            if (!Files.isDirectory(each)) {
                throw new IOException(each + " is not a folder");
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

    /** Reads all segments; {@code visitor} may be null. The results replace those of an earlier call. */
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
                        problems.add(file.getFileName() + " belongs to " + header.name());
                    }
                    if (expectedBlock >= 0 && header.firstBlock() != expectedBlock) {
                        problems.add(file.getFileName() + " begins at block " + header.firstBlock()
                                + ", expected block " + expectedBlock + " after the previous segment");
                    } else if (previousDigest[0] != null
                            && !Arrays.equals(previousDigest[0], header.previousDigest())) {
                        problems.add(file.getFileName()
                                + " does not continue the previous segment: it begins with another digest");
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
                        problems.add(file.getFileName() + ": the digest of block " + number
                                + " does not follow from the previous block");
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
                        problems.add(file.getFileName() + ": " + problem + " at byte " + offset + ", " + remaining
                                + " bytes lost");
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
                    + " ms between two processes");
        }
        lastHybridTime = event.hybridTime();
        if (visitor != null) {
            visitor.visit(this, event);
        }
    }

    static long digestPrefix(String hex) {
        return hex.length() < DIGEST_PREFIX_DIGITS ? 0
                : Long.parseUnsignedLong(hex.substring(0, DIGEST_PREFIX_DIGITS), 16);
    }

    private void addDigestPrefix(long prefix) {
        if (blockCount == digestPrefixes.length) {
            digestPrefixes = Arrays.copyOf(digestPrefixes, 2 * blockCount);
        }
        digestPrefixes[blockCount++] = prefix;
    }

    /** The first block that is there; earlier ones were deleted to stay within the limit on the disk. */
    public long firstBlock() {
        return Math.max(0, firstBlock);
    }

    /** The number after that of the last block. */
    public long nextBlock() {
        return firstBlock() + blockCount;
    }

    /** The first 16 hexadecimal digits of the digest of that block; 0 if the block is not there. */
    public long digestPrefixAt(long block) {
        return block >= firstBlock() && block < nextBlock() ? digestPrefixes[(int) (block - firstBlock())] : 0;
    }
}
