package vetchrill.peering;

import java.io.IOException;
import java.io.InputStream;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.List;
import vetchrill.control.OverloadController;
import vetchrill.versions.Digests;

/** Which program this is, as digests: of its text, the jar or the folder of classes, and of the module alone. */
public final class ProgramDigests {
    private ProgramDigests() {
    }

    public static String digest() throws IOException {
        return digest(location());
    }

    /** Where the instance's program lies: a jar, or the folder of its classes. */
    public static Path location() throws IOException {
        try {
            return Path.of(OverloadController.class.getProtectionDomain().getCodeSource().getLocation().toURI());
        } catch (URISyntaxException e) {
            throw new IOException(e.getMessage());
        }
    }

    /** The digest of the program that lies there. */
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
                sha.update(location.relativize(each).toString().getBytes(java.nio.charset.StandardCharsets.UTF_8));
                sha.update(Files.readAllBytes(each));
            }
        }
        return HexFormat.of().formatHex(sha.digest());
    }

    public static String policyDigest() throws IOException {
        try (InputStream in = OverloadController.class.getResourceAsStream("OverloadController.class")) {
            return Digests.of(in.readAllBytes());
        }
    }
}
