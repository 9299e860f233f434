package vetchrill.powerloss;

import java.io.IOException;
import java.util.List;

/** What survives a power loss: plain files that can be written at any offset. */
public interface Media {
    List<String> fileNames() throws IOException;

    byte[] readFile(String name) throws IOException;

    /** Creates an empty file, or truncates the existing one of that name. */
    void create(String name) throws IOException;

    /** Writes a part of the bytes at the offset; a gap between the end of the file and the offset is zeros. */
    void write(String name, int offset, byte[] bytes, int from, int size) throws IOException;

    void rename(String from, String to) throws IOException;

    void delete(String name) throws IOException;
}
