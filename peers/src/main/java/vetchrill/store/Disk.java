package vetchrill.store;

import java.io.Closeable;
import java.io.IOException;
import java.util.List;

/**
 * The few calls that a store needs of a folder, so that whatever a power loss does to one can be played by whoever
 * implements them. Names are plain; nothing but what was synced is promised to be there after a loss.
 */
public interface Disk {
    /** A file that is written at its end only. */
    interface AppendFile extends Closeable {
        void write(byte[] bytes) throws IOException;

        /** What was written is on the disk when it returns. */
        void sync() throws IOException;
    }

    List<String> fileNames() throws IOException;

    byte[] readFile(String name) throws IOException;

    /** An empty file, whatever was there under its name. */
    AppendFile create(String name) throws IOException;

    /** Replaces what is there under the other name. */
    void rename(String from, String to) throws IOException;

    void delete(String name) throws IOException;

    /** Which names there are is on the disk when it returns. */
    void syncDirectory() throws IOException;
}
