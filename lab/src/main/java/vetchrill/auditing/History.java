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
public final class History {
    /** Who is told of the rows, with what holds where they stand. */
    public interface Rows {
        void row(History history, AuditEvent row);
    }

    /** What another instance was told of this kind of record: so far had it come, with that digest. */
    public record Head(String teller, String of, long block, long prefix, long hybrid) {
    }

    private static final int CLOCKS_APART_MS = 1_000;

    public final Path folder;
    public final String name;
    private final List<Path> files;
    private long firstBlock = -1;
    private long[] prefixes = new long[256];
    private int blocks;
    public long rows;
    public long leftOut;
    public long begun;
    public long over;
    public int lives;
    public int ends;
    /** Octets behind the last whole block: what a write had begun as its process was killed. */
    public long torn;
    public final List<String> wrong = new ArrayList<>();
    public final List<Head> heads = new ArrayList<>();
    /** The life and the version that hold where the reading stands. */
    public long life;
    public String what = "";
    private long lastHybrid;
    private long expected = -1;

    private History(Path folder, String name, List<Path> files) {
        this.folder = folder;
        this.name = name;
        this.files = files;
    }

    /** All records below some folders, those of dead instances too. */
    public static List<History> below(List<Path> folders) throws IOException {
        Map<String, List<Path>> by = new TreeMap<>();
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
                by.computeIfAbsent(file.getParent().toAbsolutePath().normalize() + "\n" + name,
                        any -> new ArrayList<>()).add(file);
            }
        }
        List<History> all = new ArrayList<>();
        by.forEach((key, files) -> all.add(new History(files.get(0).getParent(), key.split("\n")[1],
                new ArrayList<>(files))));
        return all;
    }

    /** Reads all of it; {@code to} may be null. A second reading begins anew. */
    public void read(Rows to) throws IOException {
        firstBlock = -1;
        blocks = 0;
        rows = 0;
        leftOut = 0;
        begun = 0;
        over = 0;
        lives = 0;
        ends = 0;
        torn = 0;
        wrong.clear();
        heads.clear();
        lastHybrid = 0;
        expected = -1;
        byte[][] before = {null};
        for (int i = 0; i < files.size(); i++) {
            boolean last = i == files.size() - 1;
            Path file = files.get(i);
            AuditSegments.SegmentEnd end = AuditSegments.read(file, new AuditSegments.Visitor() {
                @Override
                public void segment(Path at, AuditSegments.Header head) {
                    if (!head.name().equals(name)) {
                        wrong.add(at.getFileName() + " is of " + head.name());
                    }
                    if (expected >= 0 && head.firstBlock() != expected) {
                        wrong.add(at.getFileName() + " begins at block " + head.firstBlock()
                                + ", the one before ends at " + expected);
                    } else if (before[0] != null && !Arrays.equals(before[0], head.previousDigest())) {
                        wrong.add(at.getFileName() + " does not follow from the one before: another digest");
                    }
                    if (firstBlock < 0) {
                        firstBlock = head.firstBlock();
                    }
                    while (blocks < head.firstBlock() - firstBlock) {
                        add(0);
                    }
                }

                @Override
                public void block(Path at, long number, byte[] digest, boolean chained) {
                    if (!chained) {
                        wrong.add(at.getFileName() + ": block " + number + " does not follow from the one before");
                    }
                    add(prefix(AuditSegments.hex(digest)));
                }

                @Override
                public void event(AuditEvent row) {
                    take(row, to);
                }

                @Override
                public void unreadable(Path at, long where, long left, String why) {
                    if (last) {
                        torn += left;
                    } else {
                        wrong.add(at.getFileName() + ": " + why + " at octet " + where + ", " + left + " octets lost");
                    }
                }
            });
            expected = end.nextBlock();
            before[0] = end.digest();
        }
    }

    private void take(AuditEvent row, Rows to) {
        rows++;
        switch (row.kind()) {
            case LIFE -> {
                lives++;
                life = row.id();
                what = row.detail();
            }
            case BEGUN -> begun++;
            case OVER -> over++;
            case END -> ends++;
            case LEFT_OUT -> leftOut += row.id();
            case HEAD -> heads.add(new Head(name, row.text(), row.id(), prefix(row.detail()), row.hybridTime()));
            default -> {
            }
        }
        if (row.kind() == AuditEvent.Kind.LIFE && lastHybrid > 0
                && HybridLogicalClock.toMillis(lastHybrid)
                - HybridLogicalClock.toMillis(row.hybridTime()) > CLOCKS_APART_MS) {
            wrong.add("the clock went back by "
                    + (HybridLogicalClock.toMillis(lastHybrid) - HybridLogicalClock.toMillis(row.hybridTime()))
                    + " ms between two lives");
        }
        lastHybrid = row.hybridTime();
        if (to != null) {
            to.row(this, row);
        }
    }

    static long prefix(String hex) {
        return hex.length() < 16 ? 0 : Long.parseUnsignedLong(hex.substring(0, 16), 16);
    }

    private void add(long prefix) {
        if (blocks == prefixes.length) {
            prefixes = Arrays.copyOf(prefixes, 2 * blocks);
        }
        prefixes[blocks++] = prefix;
    }

    public long first() {
        return Math.max(0, firstBlock);
    }

    /** One past the last block that is there. */
    public long next() {
        return first() + blocks;
    }

    /** The first 16 digits of the digest of that block; 0 where it is not there. */
    public long at(long block) {
        return block >= first() && block < next() ? prefixes[(int) (block - first())] : 0;
    }
}
