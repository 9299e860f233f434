package vetchrill.peering;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import vetchrill.audit.AuditWriter;
import vetchrill.peers.Store;

/**
 * What a rig does to one process of its own, by a file that it may change at any time: words {@code clock_ms=N}, by
 * which the system's clock is off, and {@code disk=full}. Nothing of it is there without {@code serve --rigged}.
 */
public final class Rigged implements AuditWriter.Disk, Store.Trouble {
    private static final int EVERY_MS = 10;

    private final Path file;
    private volatile long off;
    private volatile boolean full;

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

    @Override
    public void before() throws IOException {
        if (full) {
            throw new IOException("No space left on device");
        }
    }

    @Override
    public void write(FileChannel to, ByteBuffer bytes) throws IOException {
        if (full && bytes.remaining() > 1) {
            // As a disk does that fills up: a part of it is there.
            ByteBuffer part = bytes.slice(bytes.position(), bytes.remaining() / 2);
            AuditWriter.PLAIN.write(to, part);
        }
        before();
        AuditWriter.PLAIN.write(to, bytes);
    }

    @Override
    public void sync(FileChannel of) throws IOException {
        before();
        AuditWriter.PLAIN.sync(of);
    }
}
