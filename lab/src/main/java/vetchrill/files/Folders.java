package vetchrill.files;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;

/** What every tool does with folders of its own. */
public final class Folders {
    private Folders() {
    }

    /** With all that is in it; nothing where there is none. */
    public static void remove(Path folder) throws IOException {
        if (Files.exists(folder)) {
            try (var all = Files.walk(folder)) {
                for (Path each : all.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(each);
                }
            }
        }
    }
}
