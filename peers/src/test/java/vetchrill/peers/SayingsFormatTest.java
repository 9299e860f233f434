package vetchrill.peers;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.util.Map;
import java.util.TreeSet;
import org.testng.annotations.Test;
import vetchrill.versions.VersionMessage;

/**
 * The bytes of version messages between instances. {@code sayings.hex} was written by the build of commit 04d6cf3, a
 * line with {@link VersionMessageCodec#encode} for each kind of {@link FormatExamples#envelope}; instances of different
 * builds must
 * understand each other, so it is not to be written again.
 */
@Test
public class SayingsFormatTest {
    private static final String FILE = "sayings.hex";

    public void everyKindHasItsLine() throws IOException {
        TreeSet<String> kinds = new TreeSet<>();
        for (VersionMessage.Kind kind : VersionMessage.Kind.values()) {
            kinds.add(kind.name());
        }
        assertEquals(kinds, FormatExamples.hexLines(FILE).keySet());
    }

    public void theBytesWrittenAreThoseOfTheFile() throws IOException {
        Map<String, byte[]> lines = FormatExamples.hexLines(FILE);
        for (VersionMessage.Kind kind : VersionMessage.Kind.values()) {
            assertEquals(VersionMessageCodec.encode(FormatExamples.envelope(kind)), lines.get(kind.name()),
                    kind.name());
        }
    }

    public void theFileIsReadWithTheSameValues() throws IOException {
        Map<String, byte[]> lines = FormatExamples.hexLines(FILE);
        for (VersionMessage.Kind kind : VersionMessage.Kind.values()) {
            byte[] bytes = lines.get(kind.name());
            VersionMessageCodec.Envelope read = VersionMessageCodec.decode(bytes, 0, bytes.length);
            VersionMessageCodec.Envelope wanted = FormatExamples.envelope(kind);
            assertEquals(read.hybridTime(), wanted.hybridTime());
            assertEquals(read.auditBlock(), wanted.auditBlock());
            assertEquals(read.auditDigest(), wanted.auditDigest());
            assertEquals(withoutPiece(read.message()), withoutPiece(wanted.message()));
            // An array has no equality of its own.
            assertEquals(read.message().chunk().digest(), wanted.message().chunk().digest());
            assertEquals(read.message().chunk().offset(), wanted.message().chunk().offset());
            assertEquals(read.message().chunk().bytes(), wanted.message().chunk().bytes());
        }
    }

    private static VersionMessage withoutPiece(VersionMessage saying) {
        return new VersionMessage(saying.kind(), saying.sender(), saying.zone(), saying.nonce(), saying.requestId(),
                saying.recipientRevision(),
                saying.state(), saying.status(), null);
    }
}
