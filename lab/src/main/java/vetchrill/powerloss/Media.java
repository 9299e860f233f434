package vetchrill.powerloss;

import java.io.IOException;
import java.util.List;

/** What a loss of power leaves: plain files, written at any place. */
public interface Media {
    List<String> fileNames() throws IOException;

    byte[] readFile(String name) throws IOException;

    /** Empties what is there under that name. */
    void create(String name) throws IOException;

    /** Past the end of the file there are zeros up to there. */
    void write(String name, int offset, byte[] bytes, int from, int size) throws IOException;

    void rename(String from, String to) throws IOException;

    void delete(String name) throws IOException;
}
