package vetchrill.peers;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.util.Map;
import java.util.TreeSet;
import org.testng.annotations.Test;
import vetchrill.versions.VersionMessage;

/**
 * The encoding of version messages. {@code version-messages.hex} was written by the build of commit 04d6cf3: the result
 * of {@link VersionMessageCodec#encode} for each kind of {@link FormatExamples#envelope}. Instances of different builds
 * must understand each other, so the file must not be regenerated.
 */
@Test
public class VersionMessageFormatTest {
    private static final String FILE = "version-messages.hex";

    public void fileHasALineForEveryKind() throws IOException {
        TreeSet<String> kinds = new TreeSet<>();
        for (VersionMessage.Kind kind : VersionMessage.Kind.values()) {
            kinds.add(kind.name());
        }
        assertEquals(kinds, FormatExamples.hexLines(FILE).keySet());
    }

    public void encodedBytesEqualTheFile() throws IOException {
        Map<String, byte[]> lines = FormatExamples.hexLines(FILE);
        for (VersionMessage.Kind kind : VersionMessage.Kind.values()) {
            assertEquals(VersionMessageCodec.encode(FormatExamples.envelope(kind)), lines.get(kind.name()),
                    kind.name());
        }
    }

    public void decodedFileEqualsTheMessage() throws IOException {
        Map<String, byte[]> lines = FormatExamples.hexLines(FILE);
        for (VersionMessage.Kind kind : VersionMessage.Kind.values()) {
            byte[] bytes = lines.get(kind.name());
            VersionMessageCodec.Envelope decoded = VersionMessageCodec.decode(bytes, 0, bytes.length);
            VersionMessageCodec.Envelope expected = FormatExamples.envelope(kind);
            assertEquals(decoded.hybridTime(), expected.hybridTime());
            assertEquals(decoded.auditBlock(), expected.auditBlock());
            assertEquals(decoded.auditDigest(), expected.auditDigest());
            assertEquals(withoutChunk(decoded.message()), withoutChunk(expected.message()));
            // Compared one by one, since a record compares arrays by identity.
            assertEquals(decoded.message().chunk().digest(), expected.message().chunk().digest());
            assertEquals(decoded.message().chunk().offset(), expected.message().chunk().offset());
            assertEquals(decoded.message().chunk().bytes(), expected.message().chunk().bytes());
        }
    }

    private static VersionMessage withoutChunk(VersionMessage message) {
        return new VersionMessage(message.kind(), message.sender(), message.zone(), message.nonce(),
                message.requestId(), message.recipientRevision(), message.state(), message.status(), null);
    }
}
