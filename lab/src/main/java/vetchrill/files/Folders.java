package vetchrill.files;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;

/** Recursive operations on folders. */
public final class Folders {
    private Folders() {
    }

    /** Deletes the folder with all its contents; does nothing if it does not exist. */
    public static void deleteRecursively(Path folder) throws IOException {
        if (Files.exists(folder)) {
            try (var paths = Files.walk(folder)) {
                for (Path each : paths.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(each);
                }
            }
        }
    }

    /** Copies the folder with all its contents to {@code to}, which must not exist. */
    public static void copyRecursively(Path from, Path to) throws IOException {
        try (var paths = Files.walk(from)) {
            for (Path each : paths.toList()) {
                Files.copy(each, to.resolve(from.relativize(each).toString()));
            }
        }
    }
}
