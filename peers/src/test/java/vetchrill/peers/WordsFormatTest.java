package vetchrill.peers;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;
import vetchrill.members.MemberInfo;
import vetchrill.members.MembershipMessage;

/**
 * The bytes of membership messages between instances. {@code words.hex} was written by the build of commit 04d6cf3, a
 * line with {@link MembershipMessageCodec#encode} for each kind of {@link #word}; instances of different builds must
 * understand each
 * other, so it is not to be written again. Kinds and states are their places in the order below.
 */
@Test
public class WordsFormatTest {
    private static final List<MembershipMessage.Kind> KINDS = List.of(MembershipMessage.Kind.PROBE,
            MembershipMessage.Kind.ACK, MembershipMessage.Kind.INDIRECT_PROBE,
            MembershipMessage.Kind.NACK, MembershipMessage.Kind.SYNC, MembershipMessage.Kind.SYNC_REPLY);
    private static final List<MemberInfo.State> STATES = List.of(MemberInfo.State.UNHEARD, MemberInfo.State.ALIVE,
            MemberInfo.State.SUSPECTED,
            MemberInfo.State.DEAD, MemberInfo.State.LEFT);
    private static final String FILE = "words.hex";

    /** Carries an update in each state. */
    static MembershipMessage word(MembershipMessage.Kind kind) {
        List<MemberInfo> news = new ArrayList<>();
        for (MemberInfo.State state : STATES) {
            news.add(new MemberInfo("instance-" + news.size(), "zone-a", 2 + news.size(), -7_000_000_000L, 4, state,
                    "instance-9"));
        }
        return new MembershipMessage(kind,
                new MemberInfo("instance-8", "zone-b", 1, 1L << 50, 0, MemberInfo.State.ALIVE, ""), 300,
                "instance-2", news);
    }

    public void theOrderIsKept() {
        assertEquals(List.of(MembershipMessage.Kind.values()), KINDS);
        assertEquals(List.of(MemberInfo.State.values()), STATES);
    }

    public void theBytesWrittenAreThoseOfTheFile() throws IOException {
        Map<String, byte[]> lines = FormatExamples.hexLines(FILE);
        for (int i = 0; i < KINDS.size(); i++) {
            assertEquals(MembershipMessageCodec.encode(word(KINDS.get(i))), lines.get(String.valueOf(i)), "kind " + i);
        }
        assertEquals(lines.size(), KINDS.size());
    }

    public void theFileIsReadWithTheSameValues() throws IOException {
        Map<String, byte[]> lines = FormatExamples.hexLines(FILE);
        for (int i = 0; i < KINDS.size(); i++) {
            byte[] bytes = lines.get(String.valueOf(i));
            assertEquals(MembershipMessageCodec.decode(bytes, 0, bytes.length), word(KINDS.get(i)));
        }
    }
}
