package vetchrill.powerloss;

import java.io.FileNotFoundException;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;

/** Media in memory, for a simulated instance. */
public final class MemoryMedia implements Media {
    private final TreeMap<String, byte[]> files = new TreeMap<>();

    public MemoryMedia() {
    }

    /** An independent copy of the files. */
    public MemoryMedia(MemoryMedia source) {
        source.files.forEach((name, bytes) -> files.put(name, bytes.clone()));
    }

    @Override
    public List<String> fileNames() {
        return List.copyOf(files.keySet());
    }

    @Override
    public byte[] readFile(String name) throws IOException {
        byte[] bytes = files.get(name);
        if (bytes == null) {
            throw new FileNotFoundException(name);
        }
        return bytes.clone();
    }

    @Override
    public void create(String name) {
        files.put(name, new byte[0]);
    }

    @Override
    public void write(String name, int offset, byte[] bytes, int from, int size) {
        byte[] before = files.getOrDefault(name, new byte[0]);
        byte[] after = Arrays.copyOf(before, Math.max(before.length, offset + size));
        System.arraycopy(bytes, from, after, offset, size);
        files.put(name, after);
    }

    @Override
    public void rename(String from, String to) {
        byte[] bytes = files.remove(from);
        if (bytes != null) {
            files.put(to, bytes);
        }
    }

    @Override
    public void delete(String name) {
        files.remove(name);
    }

    /** Size of all files together. */
    public long totalBytes() {
        return files.values().stream().mapToLong(each -> each.length).sum();
    }

    /** Flips bits of the byte at the offset, or truncates the file there. */
    public void damage(String name, int offset, boolean truncate) {
        byte[] bytes = files.get(name);
        if (truncate) {
            files.put(name, Arrays.copyOf(bytes, offset));
        } else {
            bytes[offset] ^= 0x41;
        }
    }
}
