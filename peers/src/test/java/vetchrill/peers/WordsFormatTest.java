package vetchrill.peers;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;
import vetchrill.members.News;
import vetchrill.members.Word;

/**
 * The bytes of membership messages between instances. {@code words.hex} was written by the build of commit 04d6cf3, a
 * line with {@link Words#write} for each kind of {@link #word}; instances of different builds must understand each
 * other, so it is not to be written again. Kinds and states are their places in the order below.
 */
@Test
public class WordsFormatTest {
    private static final List<Word.Kind> KINDS = List.of(Word.Kind.PROBE, Word.Kind.HERE, Word.Kind.PROBE_FOR,
            Word.Kind.DEAF, Word.Kind.SYNC, Word.Kind.SAME);
    private static final List<News.State> STATES = List.of(News.State.UNHEARD, News.State.ALIVE, News.State.SUSPECTED,
            News.State.DEAD, News.State.LEFT);
    private static final String FILE = "words.hex";

    /** Carries an update in each state. */
    static Word word(Word.Kind kind) {
        List<News> news = new ArrayList<>();
        for (News.State state : STATES) {
            news.add(new News("instance-" + news.size(), "zone-a", 2 + news.size(), -7_000_000_000L, 4, state,
                    "instance-9"));
        }
        return new Word(kind, new News("instance-8", "zone-b", 1, 1L << 50, 0, News.State.ALIVE, ""), 300,
                "instance-2", news);
    }

    public void theOrderIsKept() {
        assertEquals(List.of(Word.Kind.values()), KINDS);
        assertEquals(List.of(News.State.values()), STATES);
    }

    public void theBytesWrittenAreThoseOfTheFile() throws IOException {
        Map<String, byte[]> lines = FormatExamples.hexLines(FILE);
        for (int i = 0; i < KINDS.size(); i++) {
            assertEquals(Words.write(word(KINDS.get(i))), lines.get(String.valueOf(i)), "kind " + i);
        }
        assertEquals(lines.size(), KINDS.size());
    }

    public void theFileIsReadWithTheSameValues() throws IOException {
        Map<String, byte[]> lines = FormatExamples.hexLines(FILE);
        for (int i = 0; i < KINDS.size(); i++) {
            byte[] bytes = lines.get(String.valueOf(i));
            assertEquals(Words.read(bytes, 0, bytes.length), word(KINDS.get(i)));
        }
    }
}
