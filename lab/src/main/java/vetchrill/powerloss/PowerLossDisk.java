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
 * A disk that holds what is not synced in the process itself, so that it goes with the process as it does with the
 * power. Some of it may come to the media all the same, as a kernel writes when it likes: a part of a file's end, a
 * later part without the one before, a name without its file. Each call is a write point, at which something may
 * happen.
 */
public final class PowerLossDisk implements Disk {
    /** What happens at a write point, before the call; throws what the call is to throw. */
    public interface WritePointHook {
        void onWritePoint(String point) throws IOException;
    }

    private static final int PAGE_BYTES = 512;

    private static final class FileState {
        byte[] bytes = new byte[0];
        int size;
        /** So many octets were synced. */
        int durableBytes;
        /** The media have it under its name. */
        String durableName;
    }

    private interface DirectoryChange {
        void applyTo(Media media) throws IOException;
    }

    private final Media media;
    private final SplittableRandom random;
    /** Part of the calls at which some of what is not synced comes to the media. */
    private final double spillRatio;
    private final WritePointHook hook;
    private final TreeMap<String, FileState> files = new TreeMap<>();
    private final List<DirectoryChange> unsyncedChanges = new ArrayList<>();

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
                    // As a disk does that fills up: a part of it is there.
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
                // What is not synced by now may never be.
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

    /** Some pages of what is not synced, in any order, and the last of them torn. */
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
            // It may be gone before anything else that is not synced is there.
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

    /** The power goes: of what was not synced some may be there, in any mixture. The disk is of no use after it. */
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
