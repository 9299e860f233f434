package vetchrill.store;

import java.io.Closeable;
import java.io.IOException;
import java.util.List;

/**
 * The directory operations that a {@link DurableStore} needs, behind an interface so that tests can simulate power loss
 * and disk faults. Names are plain file names without a path. Only what was synced is guaranteed to survive a power
 * loss.
 */
public interface Disk {
    /** A file that is only appended to. */
    interface AppendFile extends Closeable {
        void write(byte[] bytes) throws IOException;

        /** Returns when everything written so far is on the disk. */
        void sync() throws IOException;
    }

    List<String> fileNames() throws IOException;

    byte[] readFile(String name) throws IOException;

    /** Creates an empty file, or truncates the existing one of that name. */
    AppendFile create(String name) throws IOException;

    /** Replaces any file named {@code to}. */
    void rename(String from, String to) throws IOException;

    /** Does nothing where there is no file of that name. */
    void delete(String name) throws IOException;

    /** Returns when all file creations, renames and deletions so far are on the disk. */
    void syncDirectory() throws IOException;
}
