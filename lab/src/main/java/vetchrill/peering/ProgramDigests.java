package vetchrill.peering;

import java.io.IOException;
import java.io.InputStream;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.List;
import vetchrill.control.OverloadController;
import vetchrill.versions.Digests;

/** SHA-256 digests that identify the running program and the class of its overload policy. */
public final class ProgramDigests {
    private ProgramDigests() {
    }

    /** The digest of the running program. */
    public static String digest() throws IOException {
        return digest(location());
    }

    /** The jar of the running instance, or the folder of its classes. */
    public static Path location() throws IOException {
        try {
            return Path.of(OverloadController.class.getProtectionDomain().getCodeSource().getLocation().toURI());
        } catch (URISyntaxException e) {
            throw new IOException(e.getMessage());
        }
    }

    /** The digest of the program in that jar or class folder; of a folder it covers file names and contents. */
    public static String digest(Path location) throws IOException {
        MessageDigest sha = Digests.sha256();
        if (Files.isRegularFile(location)) {
            sha.update(Files.readAllBytes(location));
        } else {
            List<Path> files;
            try (var walk = Files.walk(location)) {
                files = walk.filter(Files::isRegularFile).sorted().toList();
            }
            for (Path each : files) {
                sha.update(location.relativize(each).toString().getBytes(StandardCharsets.UTF_8));
                sha.update(Files.readAllBytes(each));
            }
        }
        return HexFormat.of().formatHex(sha.digest());
    }

    /** The digest of the class {@link OverloadController}. */
    public static String policyDigest() throws IOException {
        try (InputStream in = OverloadController.class.getResourceAsStream("OverloadController.class")) {
            return Digests.of(in.readAllBytes());
        }
    }
}
