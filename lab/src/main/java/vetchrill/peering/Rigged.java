package vetchrill.peering;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.SplittableRandom;
import vetchrill.audit.AuditWriter;
import vetchrill.powerloss.FolderMedia;
import vetchrill.powerloss.LosingDisk;
import vetchrill.store.Disk;
import vetchrill.store.FolderDisk;

/**
 * What a rig does to one process of its own, by a file that it may change at any time: words {@code clock_ms=N}, by
 * which the system's clock is off, and {@code disk=full}. What the store has not synced goes with the process, as it
 * does with the power, but for some of it, drawn by {@code seed=S}; {@code lose_at=N}, read at the start: the power
 * goes at the Nth write point. Nothing of it is there without {@code serve --rigged}.
 */
public final class Rigged implements AuditWriter.Disk {
    private static final int EVERY_MS = 10;
    /** Part of the calls at which some of what is not synced comes to the disk all the same. */
    private static final double SPILL = 0.3;
    /** What a process exits with whose power went at a write point. */
    private static final int GONE = 137;

    private final Path file;
    private volatile long off;
    private volatile boolean full;
    private long loseAt;
    private long seed;
    private long points;

    /** Null for none. */
    public Rigged(Path file) {
        this.file = file;
        if (file != null) {
            look();
            Thread thread = new Thread(null, this::watch, "rigged", 128 << 10);
            thread.setDaemon(true);
            thread.start();
        }
    }

    private void watch() {
        try {
            while (true) {
                Thread.sleep(EVERY_MS);
                look();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void look() {
        try {
            long by = 0;
            boolean is = false;
            for (String word : Files.readString(file).split("\\s+")) {
                String value = word.substring(word.indexOf('=') + 1);
                if (word.startsWith("lose_at=")) {
                    loseAt = Long.parseLong(value);
                } else if (word.startsWith("seed=")) {
                    seed = Long.parseLong(value);
                }
                if (word.startsWith("clock_ms=")) {
                    by = Long.parseLong(word.substring(9));
                }
                is |= word.equals("disk=full");
            }
            off = by;
            full = is;
        } catch (IOException | NumberFormatException e) {
            // It is being written just now: the next look reads it whole.
        }
    }

    /** Milliseconds of Unix time. */
    public long millis() {
        return System.currentTimeMillis() + off;
    }

    /** The same in tenths of a millisecond. */
    public long tenths() {
        java.time.Instant at = java.time.Instant.now();
        return at.getEpochSecond() * 10_000 + at.getNano() / 100_000 + off * 10;
    }

    /** The disk of what must not be forgotten, as the rig has it. */
    public Disk disk(Path folder) throws IOException {
        FolderDisk held = FolderDisk.openLocked(folder);
        if (file == null) {
            return held;
        }
        return new LosingDisk(new FolderMedia(held, folder), new SplittableRandom(seed), SPILL, call -> point());
    }

    private void point() throws IOException {
        if (++points == loseAt) {
            // No hook runs, no stream is flushed: as the power goes.
            Runtime.getRuntime().halt(GONE);
        }
        before();
    }

    private void before() throws IOException {
        if (full) {
            throw new IOException("No space left on device");
        }
    }

    @Override
    public void write(FileChannel to, ByteBuffer bytes) throws IOException {
        if (full && bytes.remaining() > 1) {
            // As a disk does that fills up: a part of it is there.
            ByteBuffer part = bytes.slice(bytes.position(), bytes.remaining() / 2);
            AuditWriter.FILE_SYSTEM.write(to, part);
        }
        before();
        AuditWriter.FILE_SYSTEM.write(to, bytes);
    }

    @Override
    public void sync(FileChannel of) throws IOException {
        before();
        AuditWriter.FILE_SYSTEM.sync(of);
    }
}
