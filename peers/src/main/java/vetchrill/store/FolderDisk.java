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

/** A folder of the file system. One process at a time has it, unless it is only read. */
public final class FolderDisk implements Disk, Closeable {
    private static final String LOCK_FILE = "lock";

    private final Path folder;
    /** Null where the folder is only read. */
    private final FileChannel lock;

    private FolderDisk(Path folder, FileChannel lock) {
        this.folder = folder;
        this.lock = lock;
    }

    /** Throws IOException where the folder is of no use, or another process has it. */
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
            throw new IOException(folder + " is held by another process");
        }
        return new FolderDisk(folder, lock);
    }

    /** To look at, whoever has it. */
    public static FolderDisk read(Path folder) throws IOException {
        if (!Files.isDirectory(folder)) {
            throw new IOException(folder + " is no folder");
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
            throw new IOException(folder + " is only read here");
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
