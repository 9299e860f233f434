package vetchrill.powerloss;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import vetchrill.store.FolderDisk;

/** Media in a folder, for a real process: the files survive when the process is killed. */
public final class FolderMedia implements Media {
    private final FolderDisk disk;
    private final Path folder;

    /** {@code disk} has the folder open and locked for this process. */
    public FolderMedia(FolderDisk disk, Path folder) {
        this.disk = disk;
        this.folder = folder;
    }

    @Override
    public List<String> fileNames() throws IOException {
        return disk.fileNames();
    }

    @Override
    public byte[] readFile(String name) throws IOException {
        return disk.readFile(name);
    }

    @Override
    public void create(String name) throws IOException {
        disk.create(name).close();
    }

    @Override
    public void write(String name, int offset, byte[] bytes, int from, int size) throws IOException {
        try (FileChannel channel = FileChannel.open(folder.resolve(name), StandardOpenOption.WRITE)) {
            ByteBuffer remaining = ByteBuffer.wrap(bytes, from, size);
            for (long position = offset; remaining.hasRemaining();) {
                position += channel.write(remaining, position);
            }
        }
    }

    @Override
    public void rename(String from, String to) throws IOException {
        disk.rename(from, to);
    }

    @Override
    public void delete(String name) throws IOException {
        disk.delete(name);
    }
}
