package vetchrill.peering;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.SplittableRandom;
import vetchrill.audit.AuditWriter;
import vetchrill.powerloss.FolderMedia;
import vetchrill.powerloss.PowerLossDisk;
import vetchrill.store.Disk;
import vetchrill.store.FolderDisk;

/**
 * What a rig does to one process of its own, by a file that it may change at any time: words {@code clock_ms=N}, by
 * which the system's clock is off, and {@code disk=full}. What the store has not synced goes with the process, as it
 * does with the power, but for some of it, drawn by {@code seed=S}; {@code lose_at=N}, read at the start: the power
 * goes at the Nth write point. Nothing of it is there without {@code serve --rigged}.
 */
public final class InjectedFaults implements AuditWriter.Disk {
    private static final int POLL_INTERVAL_MS = 10;
    /** Part of the calls at which some of what is not synced comes to the disk all the same. */
    private static final double SPILL_RATIO = 0.3;
    /** What a process exits with whose power went at a write point. */
    private static final int POWER_LOSS_EXIT_CODE = 137;

    private final Path file;
    private volatile long clockOffsetMs;
    private volatile boolean diskFull;
    private long powerLossPoint;
    private long seed;
    private long writePoints;

    /** Null for none. */
    public InjectedFaults(Path file) {
        this.file = file;
        if (file != null) {
            readFile();
            Thread thread = new Thread(null, this::pollFile, "rigged", 128 << 10);
            thread.setDaemon(true);
            thread.start();
        }
    }

    private void pollFile() {
        try {
            while (true) {
                Thread.sleep(POLL_INTERVAL_MS);
                readFile();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void readFile() {
        try {
            long offsetMs = 0;
            boolean isFull = false;
            for (String setting : Files.readString(file).split("\\s+")) {
                String value = setting.substring(setting.indexOf('=') + 1);
                if (setting.startsWith("lose_at=")) {
                    powerLossPoint = Long.parseLong(value);
                } else if (setting.startsWith("seed=")) {
                    seed = Long.parseLong(value);
                }
                if (setting.startsWith("clock_ms=")) {
                    offsetMs = Long.parseLong(setting.substring(9));
                }
                isFull |= setting.equals("disk=full");
            }
            clockOffsetMs = offsetMs;
            diskFull = isFull;
        } catch (IOException | NumberFormatException e) {
            // It is being written just now: the next look reads it whole.
        }
    }

    /** Milliseconds of Unix time. */
    public long wallTimeMs() {
        return System.currentTimeMillis() + clockOffsetMs;
    }

    /** The same in tenths of a millisecond. */
    public long wallTimeTenthsMs() {
        java.time.Instant now = java.time.Instant.now();
        return now.getEpochSecond() * 10_000 + now.getNano() / 100_000 + clockOffsetMs * 10;
    }

    /** The disk of what must not be forgotten, as the rig has it. */
    public Disk openDisk(Path folder) throws IOException {
        FolderDisk disk = FolderDisk.openLocked(folder);
        if (file == null) {
            return disk;
        }
        return new PowerLossDisk(new FolderMedia(disk, folder), new SplittableRandom(seed), SPILL_RATIO,
                call -> passWritePoint());
    }

    private void passWritePoint() throws IOException {
        if (++writePoints == powerLossPoint) {
            // No hook runs, no stream is flushed: as the power goes.
            Runtime.getRuntime().halt(POWER_LOSS_EXIT_CODE);
        }
        failIfDiskFull();
    }

    private void failIfDiskFull() throws IOException {
        if (diskFull) {
            throw new IOException("No space left on device");
        }
    }

    @Override
    public void write(FileChannel to, ByteBuffer bytes) throws IOException {
        if (diskFull && bytes.remaining() > 1) {
            // As a disk does that fills up: a part of it is there.
            ByteBuffer part = bytes.slice(bytes.position(), bytes.remaining() / 2);
            AuditWriter.FILE_SYSTEM.write(to, part);
        }
        failIfDiskFull();
        AuditWriter.FILE_SYSTEM.write(to, bytes);
    }

    @Override
    public void sync(FileChannel of) throws IOException {
        failIfDiskFull();
        AuditWriter.FILE_SYSTEM.sync(of);
    }
}
