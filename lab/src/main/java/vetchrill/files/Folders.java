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
    public static void deleteRecursively(Path folder) throws IOException {
        if (Files.exists(folder)) {
            try (var paths = Files.walk(folder)) {
                for (Path each : paths.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(each);
                }
            }
        }
    }

    /** All that is in it, into one that is not there yet. */
    public static void copyRecursively(Path from, Path to) throws IOException {
        try (var paths = Files.walk(from)) {
            for (Path each : paths.toList()) {
                Files.copy(each, to.resolve(from.relativize(each).toString()));
            }
        }
    }
}
