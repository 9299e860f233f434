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
    private static final String LOCK = "lock";

    private final Path folder;
    /** Null where the folder is only read. */
    private final FileChannel lock;

    private FolderDisk(Path folder, FileChannel lock) {
        this.folder = folder;
        this.lock = lock;
    }

    /** Throws IOException where the folder is of no use, or another process has it. */
    public static FolderDisk held(Path folder) throws IOException {
        Files.createDirectories(folder);
        FileChannel lock = FileChannel.open(folder.resolve(LOCK), StandardOpenOption.CREATE,
                StandardOpenOption.WRITE);
        FileLock held;
        try {
            held = lock.tryLock();
        } catch (OverlappingFileLockException e) {
            held = null;
        }
        if (held == null) {
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
    public List<String> names() throws IOException {
        try (var files = Files.list(folder)) {
            return files.filter(Files::isRegularFile).map(each -> each.getFileName().toString())
                    .filter(each -> !each.equals(LOCK)).sorted().toList();
        }
    }

    @Override
    public byte[] read(String name) throws IOException {
        return Files.readAllBytes(folder.resolve(name));
    }

    private void mayWrite() throws IOException {
        if (lock == null) {
            throw new IOException(folder + " is only read here");
        }
    }

    @Override
    public Out create(String name) throws IOException {
        mayWrite();
        FileChannel channel = FileChannel.open(folder.resolve(name), StandardOpenOption.CREATE,
                StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING);
        return new Out() {
            @Override
            public void write(byte[] bytes) throws IOException {
                ByteBuffer left = ByteBuffer.wrap(bytes);
                while (left.hasRemaining()) {
                    channel.write(left);
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
        mayWrite();
        Files.move(folder.resolve(from), folder.resolve(to), StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
    }

    @Override
    public void delete(String name) throws IOException {
        mayWrite();
        Files.deleteIfExists(folder.resolve(name));
    }

    @Override
    public void syncNames() throws IOException {
        try (FileChannel of = FileChannel.open(folder, StandardOpenOption.READ)) {
            of.force(true);
        }
    }

    @Override
    public void close() throws IOException {
        if (lock != null) {
            lock.close();
        }
    }
}
