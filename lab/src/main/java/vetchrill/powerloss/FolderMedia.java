package vetchrill.powerloss;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;

/** The media of a real process: what stands in this folder outlives the process that is killed. */
public final class FolderMedia implements Media {
    private final Path folder;

    public FolderMedia(Path folder) throws IOException {
        this.folder = folder;
        Files.createDirectories(folder);
    }

    @Override
    public List<String> names() throws IOException {
        try (var files = Files.list(folder)) {
            return files.filter(Files::isRegularFile).map(each -> each.getFileName().toString())
                    .filter(each -> !each.equals("lock")).sorted().toList();
        }
    }

    @Override
    public byte[] read(String name) throws IOException {
        return Files.readAllBytes(folder.resolve(name));
    }

    @Override
    public void create(String name) throws IOException {
        Files.write(folder.resolve(name), new byte[0]);
    }

    @Override
    public void write(String name, int at, byte[] bytes, int from, int size) throws IOException {
        try (FileChannel channel = FileChannel.open(folder.resolve(name), StandardOpenOption.WRITE)) {
            ByteBuffer left = ByteBuffer.wrap(bytes, from, size);
            for (long to = at; left.hasRemaining();) {
                to += channel.write(left, to);
            }
        }
    }

    @Override
    public void rename(String from, String to) throws IOException {
        Files.move(folder.resolve(from), folder.resolve(to), StandardCopyOption.REPLACE_EXISTING);
    }

    @Override
    public void delete(String name) throws IOException {
        Files.deleteIfExists(folder.resolve(name));
    }
}
