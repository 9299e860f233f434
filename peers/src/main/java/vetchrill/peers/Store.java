package vetchrill.peers;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.security.MessageDigest;
import java.util.Arrays;
import vetchrill.versions.Digests;
import vetchrill.versions.Memory;

/**
 * What one instance must not forget, in one file that is replaced whole: its digest, then CBOR. A file that is damaged
 * counts as none, since a keeper that remembers nothing is taught, and one that remembers wrongly breaks promises.
 */
public final class Store implements Closeable {
    private static final System.Logger LOG = System.getLogger("vetchrill.store");
    private static final ObjectMapper CBOR = new ObjectMapper(new CBORFactory());
    private static final int DIGEST = 32;

    /** What a rig does to it. */
    public interface Trouble {
        /** Throws where nothing can be written. */
        void before() throws IOException;
    }

    private final Path folder;
    private final Path file;
    private final FileChannel lock;
    private final Trouble trouble;

    /** Throws IOException where the folder is of no use, or another process has it. */
    public Store(Path folder, Trouble trouble) throws IOException {
        this.folder = folder;
        this.trouble = trouble;
        Files.createDirectories(folder);
        file = folder.resolve("memory.cbor");
        lock = FileChannel.open(folder.resolve("lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
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
    }

    /** Null where there is none of use. */
    public Memory read(String name) throws IOException {
        byte[] all;
        try {
            all = Files.readAllBytes(file);
        } catch (NoSuchFileException e) {
            return null;
        }
        try {
            byte[] body = Arrays.copyOfRange(all, Math.min(DIGEST, all.length), all.length);
            if (!MessageDigest.isEqual(Digests.sha256().digest(body), Arrays.copyOf(all, DIGEST))) {
                throw new IOException("its digest is wrong");
            }
            Memory memory = CBOR.readValue(body, Memory.class);
            if (!memory.name().equals(name)) {
                throw new IOException("it is the memory of " + memory.name());
            }
            return memory;
        } catch (IOException | RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "{0} is of no use: {1}; this instance remembers nothing", file,
                    String.valueOf(e.getMessage()).split("\n")[0]);
            return null;
        }
    }

    /** All of it or nothing, and on the disk when it returns. */
    public void write(Memory memory) throws IOException {
        trouble.before();
        byte[] body = CBOR.writeValueAsBytes(memory);
        Path fresh = folder.resolve("memory.new");
        try (FileChannel out = FileChannel.open(fresh, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
                StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer bytes = ByteBuffer.allocate(DIGEST + body.length);
            bytes.put(Digests.sha256().digest(body)).put(body).flip();
            while (bytes.hasRemaining()) {
                out.write(bytes);
            }
            out.force(true);
        }
        Files.move(fresh, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        try (FileChannel of = FileChannel.open(folder, StandardOpenOption.READ)) {
            of.force(true);
        }
    }

    @Override
    public void close() throws IOException {
        lock.close();
    }
}
