package vetchrill.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;

/** A directory of the file system, locked by one process at a time unless it is opened read-only. */
public final class FolderDisk implements Disk, Closeable {
    private static final String LOCK_FILE = "lock";

    private final Path folder;
    /** Null when read-only. */
    private final FileChannel lock;

    private FolderDisk(Path folder, FileChannel lock) {
        this.folder = folder;
        this.lock = lock;
    }

    /**
     * Opens a directory for writing, creating it if needed. Throws IOException if it can't be used or another process
     * has the lock.
     */
    public static FolderDisk openLocked(Path folder) throws IOException {
        Files.createDirectories(folder);
        FileChannel lock = FileChannel.open(folder.resolve(LOCK_FILE), StandardOpenOption.CREATE,
                StandardOpenOption.WRITE);
        FileLock acquired;
        try {
            acquired = lock.tryLock();
        } catch (OverlappingFileLockException e) {
            acquired = null;
        }
        if (acquired == null) {
            lock.close();
            throw new IOException(folder + " is locked by another process");
        }
        return new FolderDisk(folder, lock);
    }

    /** Opens a directory read-only, without its lock. */
    public static FolderDisk openReadOnly(Path folder) throws IOException {
        if (!Files.isDirectory(folder)) {
            throw new IOException(folder + " is not a directory");
        }
        return new FolderDisk(folder, null);
    }

    @Override
    public List<String> fileNames() throws IOException {
        try (var files = Files.list(folder)) {
            return files.filter(Files::isRegularFile).map(each -> each.getFileName().toString())
                    .filter(each -> !each.equals(LOCK_FILE)).sorted().toList();
        }
    }

    @Override
    public byte[] readFile(String name) throws IOException {
        return Files.readAllBytes(folder.resolve(name));
    }

    private void requireWritable() throws IOException {
        if (lock == null) {
            throw new IOException(folder + " is opened read-only");
        }
    }

    @Override
    public AppendFile create(String name) throws IOException {
        requireWritable();
        FileChannel channel = FileChannel.open(folder.resolve(name), StandardOpenOption.CREATE,
                StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING);
        return new AppendFile() {
            @Override
            public void write(byte[] bytes) throws IOException {
                ByteBuffer remaining = ByteBuffer.wrap(bytes);
                while (remaining.hasRemaining()) {
                    channel.write(remaining);
                }
            }

            @Override
            public void sync() throws IOException {
                channel.force(false);
            }

            @Override
            public void close() throws IOException {
                channel.close();
            }
        };
    }

    @Override
    public void rename(String from, String to) throws IOException {
        requireWritable();
        Files.move(folder.resolve(from), folder.resolve(to), StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
    }

    @Override
    public void delete(String name) throws IOException {
        requireWritable();
        Files.deleteIfExists(folder.resolve(name));
    }

    @Override
    public void syncDirectory() throws IOException {
        try (FileChannel directory = FileChannel.open(folder, StandardOpenOption.READ)) {
            directory.force(true);
        }
    }

    @Override
    public void close() throws IOException {
        if (lock != null) {
            lock.close();
        }
    }
}
