package vetchrill.powerloss;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import vetchrill.store.Disk;

/**
 * A disk that keeps unsynced data in the memory of the process, so that it is lost with the process as in a power loss.
 * Some of it may reach the media all the same, as a kernel writes back at any time: a part of a file's tail, a later
 * part without the one before it, or a file name without the content. Each call that changes something passes write
 * points, at which a test can inject a fault.
 */
public final class PowerLossDisk implements Disk {
    /**
     * Called at each write point: before a create, write, sync, rename or delete, after a sync ("synced"), and before
     * and after a directory sync ("names", "named"). An exception that it throws is thrown by the operation.
     */
    public interface WritePointHook {
        void onWritePoint(String point) throws IOException;
    }

    private static final int PAGE_BYTES = 512;

    /** A file as the process sees it, and how much of it is on the media. */
    private static final class FileState {
        byte[] bytes = new byte[0];
        int size;
        /** How many of the bytes were synced. */
        int durableBytes;
        /** The name of the file on the media; null if it is not there. */
        String durableName;
    }

    /** A creation, renaming or deletion that is not on the media before the directory is synced. */
    private interface DirectoryChange {
        void applyTo(Media media) throws IOException;
    }

    private final Media media;
    private final SplittableRandom random;
    /** Fraction of writes and deletions after which some unsynced data reaches the media. */
    private final double spillRatio;
    private final WritePointHook hook;
    private final TreeMap<String, FileState> files = new TreeMap<>();
    private final List<DirectoryChange> unsyncedChanges = new ArrayList<>();

    /** Starts with the files on the media, all of them synced. */
    public PowerLossDisk(Media media, SplittableRandom random, double spillRatio, WritePointHook hook)
            throws IOException {
        this.media = media;
        this.random = random;
        this.spillRatio = spillRatio;
        this.hook = hook;
        for (String name : media.fileNames()) {
            FileState file = new FileState();
            file.bytes = media.readFile(name);
            file.size = file.bytes.length;
            file.durableBytes = file.size;
            file.durableName = name;
            files.put(name, file);
        }
    }

    @Override
    public List<String> fileNames() {
        return List.copyOf(files.keySet());
    }

    @Override
    public byte[] readFile(String name) throws IOException {
        FileState file = files.get(name);
        if (file == null) {
            throw new java.io.FileNotFoundException(name);
        }
        return Arrays.copyOf(file.bytes, file.size);
    }

    @Override
    public AppendFile create(String name) throws IOException {
        hook.onWritePoint("create");
        FileState file = new FileState();
        files.put(name, file);
        unsyncedChanges.add(target -> {
            target.create(name);
            file.durableName = name;
            target.write(name, 0, file.bytes, 0, file.durableBytes);
        });
        return new AppendFile() {
            @Override
            public void write(byte[] bytes) throws IOException {
                try {
                    hook.onWritePoint("write");
                } catch (IOException e) {
                    // A disk that fills up has stored a part of the last write.
                    append(file, bytes, bytes.length / 2);
                    throw e;
                }
                append(file, bytes, bytes.length);
                if (random.nextDouble() < spillRatio) {
                    spillUnsynced(file);
                }
            }

            @Override
            public void sync() throws IOException {
                hook.onWritePoint("sync");
                if (file.durableName != null) {
                    media.write(file.durableName, file.durableBytes, file.bytes, file.durableBytes,
                            file.size - file.durableBytes);
                }
                file.durableBytes = file.size;
                hook.onWritePoint("synced");
            }

            @Override
            public void close() {
                // Closing a file does not sync it.
            }
        };
    }

    private static void append(FileState file, byte[] bytes, int size) {
        if (file.size + size > file.bytes.length) {
            file.bytes = Arrays.copyOf(file.bytes, Math.max(2 * file.bytes.length, file.size + size));
        }
        System.arraycopy(bytes, 0, file.bytes, file.size, size);
        file.size += size;
    }

    /** Writes some of the unsynced pages to the media, either a prefix of them or an arbitrary selection, some torn. */
    private void spillUnsynced(FileState file) throws IOException {
        if (file.durableName == null || file.size == file.durableBytes) {
            return;
        }
        boolean inOrder = random.nextBoolean();
        for (int offset = file.durableBytes; offset < file.size; offset += PAGE_BYTES) {
            int size = Math.min(PAGE_BYTES, file.size - offset);
            if (random.nextInt(3) == 0) {
                size = random.nextInt(size + 1);
            } else if (!inOrder && random.nextBoolean()) {
                continue;
            }
            media.write(file.durableName, offset, file.bytes, offset, size);
            if (inOrder && size < PAGE_BYTES) {
                return;
            }
        }
    }

    @Override
    public void rename(String from, String to) throws IOException {
        hook.onWritePoint("rename");
        FileState file = files.remove(from);
        if (file == null) {
            throw new java.io.FileNotFoundException(from);
        }
        files.put(to, file);
        unsyncedChanges.add(target -> {
            if (from.equals(file.durableName)) {
                target.rename(from, to);
                file.durableName = to;
            }
        });
    }

    @Override
    public void delete(String name) throws IOException {
        hook.onWritePoint("delete");
        FileState file = files.remove(name);
        if (file == null) {
            return;
        }
        unsyncedChanges.add(target -> {
            if (name.equals(file.durableName)) {
                target.delete(name);
                file.durableName = null;
            }
        });
        if (random.nextDouble() < spillRatio) {
            // The deletion may reach the media before other changes that are not synced.
            unsyncedChanges.get(unsyncedChanges.size() - 1).applyTo(media);
        }
    }

    @Override
    public void syncDirectory() throws IOException {
        hook.onWritePoint("names");
        for (DirectoryChange each : unsyncedChanges) {
            each.applyTo(media);
        }
        unsyncedChanges.clear();
        hook.onWritePoint("named");
    }

    /** Simulates a power loss: a random part of the unsynced data reaches the media. The disk is unusable after it. */
    public void losePower() throws IOException {
        for (DirectoryChange each : unsyncedChanges) {
            if (random.nextBoolean()) {
                each.applyTo(media);
            }
        }
        for (Map.Entry<String, FileState> each : files.entrySet()) {
            spillUnsynced(each.getValue());
        }
    }
}
