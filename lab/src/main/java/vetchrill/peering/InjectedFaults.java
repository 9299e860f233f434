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
 * Faults that a test rig injects into one instance process started with {@code serve --rigged FILE}; without that
 * option there are none. The file holds settings separated by white space and may change at any time:
 * {@code clock_ms=N} moves the wall clock by N ms, {@code disk=full} fails every change of the disk, and with
 * {@code lose_at=N} the process halts at its Nth write point. {@code seed=S} counts as it is at the start and seeds the
 * choice of the unsynced data that reaches the disk. All other data that the store has not synced is lost with the
 * process, as in a power loss.
 */
public final class InjectedFaults implements AuditWriter.Disk {
    private static final int POLL_INTERVAL_MS = 10;
    private static final int THREAD_STACK_BYTES = 128 << 10;
    /** Fraction of writes and deletions after which some unsynced data reaches the disk all the same. */
    private static final double SPILL_RATIO = 0.3;
    /** Exit code after a simulated power loss, the same as after SIGKILL. */
    private static final int POWER_LOSS_EXIT_CODE = 137;

    /** Null if no faults are injected. */
    private final Path file;
    private volatile long clockOffsetMs;
    private volatile boolean diskFull;
    /** The write point at which the power is lost; 0 for never. */
    private long powerLossPoint;
    private long seed;
    /** Write points passed so far. */
    private long writePoints;

    /** {@code file} holds the faults to inject; null for none. */
    public InjectedFaults(Path file) {
        this.file = file;
        if (file != null) {
            readFile();
            Thread thread = new Thread(null, this::pollFile, "rigged", THREAD_STACK_BYTES);
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
            // The rig may be writing the file at this moment; the next poll reads the whole of it.
        }
    }

    /** Unix time in milliseconds, by the clock with the injected offset. */
    public long wallTimeMs() {
        return System.currentTimeMillis() + clockOffsetMs;
    }

    /** Unix time in tenths of a millisecond, by the clock with the injected offset. */
    public long wallTimeTenthsMs() {
        java.time.Instant now = java.time.Instant.now();
        return now.getEpochSecond() * 10_000 + now.getNano() / 100_000 + clockOffsetMs * 10;
    }

    /** Opens and locks the durable store's folder, with power losses simulated if faults are injected. */
    public Disk openDisk(Path folder) throws IOException {
        FolderDisk disk = FolderDisk.openLocked(folder);
        if (file == null) {
            return disk;
        }
        return new PowerLossDisk(new FolderMedia(disk, folder), new SplittableRandom(seed), SPILL_RATIO,
                point -> passWritePoint());
    }

    private void passWritePoint() throws IOException {
        if (++writePoints == powerLossPoint) {
            // As in a power loss, no shutdown hook runs and no stream is flushed.
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
            // A disk that fills up has stored a part of the last write.
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
