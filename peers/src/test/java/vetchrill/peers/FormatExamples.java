package vetchrill.peers;

import static org.testng.Assert.assertNotNull;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import vetchrill.versions.DurableState;
import vetchrill.versions.VersionMessage;
import vetchrill.versions.Version;

/** Records with every component filled, and access to the files under {@code formats} with their encoding. */
final class FormatExamples {
    private FormatExamples() {
    }

    static Version version() {
        return new Version(17, "author-1", "0123456789abcdef".repeat(4), 3, "fedcba9876543210".repeat(4),
                List.of(new Version.Stage("zone-a", 0.25), new Version.Stage("", 1)), 6_000);
    }

    static byte[] content() {
        return new byte[] {1, -2, 127};
    }

    static DurableState durableState() {
        return new DurableState("instance-1", 42, 3, true, 16,
                List.of(new VersionMessage.VoterPromise("instance-1", 3, 16),
                        new VersionMessage.VoterPromise("instance-2", 1L << 40, 15)),
                version(), content(),
                List.of(new VersionMessage.KnownVersion(version(), 123_450, "worse than before")),
                List.of(new VersionMessage.PersistedRevision("instance-2", 7),
                        new VersionMessage.PersistedRevision("instance-3", 0)));
    }

    /** A message with all components filled, including those that this kind does not use. */
    static VersionMessageCodec.Envelope envelope(VersionMessage.Kind kind) {
        VersionMessage.GossipState gossipState = new VersionMessage.GossipState(
                List.of(new VersionMessage.KnownVersion(version(), 98_760, "")), 16,
                List.of(new VersionMessage.VoterPromise("instance-2", 5, 15)));
        VersionMessage.InstanceStatus status = new VersionMessage.InstanceStatus(16, true, false, 41, 17,
                "out of memory", 15, 1_000_000, 300, 20, 1);
        VersionMessage message = new VersionMessage(kind, "instance-1", "zone-a", -5_000_000_000L, 77, 40, gossipState,
                status, new VersionMessage.Chunk("0123456789abcdef".repeat(4), 16_384, content()));
        return new VersionMessageCodec.Envelope(1_700_000_000_000L << 16 | 9, 12, "ab".repeat(32), message);
    }

    /** The lines of a file, each a name, a space and bytes in hexadecimal digits. */
    static Map<String, byte[]> hexLines(String file) throws IOException {
        Map<String, byte[]> lines = new TreeMap<>();
        for (String line : text(file).split("\n")) {
            String[] parts = line.split(" ");
            lines.put(parts[0], HexFormat.of().parseHex(parts[1]));
        }
        return lines;
    }

    static String text(String file) throws IOException {
        try (InputStream in = FormatExamples.class.getResourceAsStream("/formats/" + file)) {
            assertNotNull(in, file);
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    static Path path(String file) throws Exception {
        return Path.of(FormatExamples.class.getResource("/formats/" + file).toURI());
    }
}
