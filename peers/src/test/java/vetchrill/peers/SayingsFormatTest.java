package vetchrill.peers;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.util.Map;
import java.util.TreeSet;
import org.testng.annotations.Test;
import vetchrill.versions.Saying;

/**
 * The bytes of version messages between instances. {@code sayings.hex} was written by the build of commit 04d6cf3, a
 * line with {@link Sayings#write} for each kind of {@link FormatExamples#envelope}; instances of different builds must
 * understand each other, so it is not to be written again.
 */
@Test
public class SayingsFormatTest {
    private static final String FILE = "sayings.hex";

    public void everyKindHasItsLine() throws IOException {
        TreeSet<String> kinds = new TreeSet<>();
        for (Saying.Kind kind : Saying.Kind.values()) {
            kinds.add(kind.name());
        }
        assertEquals(kinds, FormatExamples.hexLines(FILE).keySet());
    }

    public void theBytesWrittenAreThoseOfTheFile() throws IOException {
        Map<String, byte[]> lines = FormatExamples.hexLines(FILE);
        for (Saying.Kind kind : Saying.Kind.values()) {
            assertEquals(Sayings.write(FormatExamples.envelope(kind)), lines.get(kind.name()), kind.name());
        }
    }

    public void theFileIsReadWithTheSameValues() throws IOException {
        Map<String, byte[]> lines = FormatExamples.hexLines(FILE);
        for (Saying.Kind kind : Saying.Kind.values()) {
            byte[] bytes = lines.get(kind.name());
            Sayings.Envelope read = Sayings.read(bytes, 0, bytes.length);
            Sayings.Envelope wanted = FormatExamples.envelope(kind);
            assertEquals(read.hybrid(), wanted.hybrid());
            assertEquals(read.block(), wanted.block());
            assertEquals(read.digest(), wanted.digest());
            assertEquals(withoutPiece(read.saying()), withoutPiece(wanted.saying()));
            // An array has no equality of its own.
            assertEquals(read.saying().piece().digest(), wanted.saying().piece().digest());
            assertEquals(read.saying().piece().at(), wanted.saying().piece().at());
            assertEquals(read.saying().piece().bytes(), wanted.saying().piece().bytes());
        }
    }

    private static Saying withoutPiece(Saying saying) {
        return new Saying(saying.kind(), saying.from(), saying.zone(), saying.nonce(), saying.number(), saying.ofYou(),
                saying.news(), saying.standing(), null);
    }
}
