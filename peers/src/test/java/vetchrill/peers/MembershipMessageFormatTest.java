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
 * The encoding of membership messages. {@code membership-messages.hex} was written by the build of commit 04d6cf3: the
 * result of {@link MembershipMessageCodec#encode} for each kind of {@link #message}, by ordinal. Instances of different
 * builds must understand each other, so the file must not be regenerated. Kinds and states are encoded by ordinal.
 */
@Test
public class MembershipMessageFormatTest {
    private static final List<MembershipMessage.Kind> KINDS = List.of(MembershipMessage.Kind.PROBE,
            MembershipMessage.Kind.ACK, MembershipMessage.Kind.INDIRECT_PROBE, MembershipMessage.Kind.NACK,
            MembershipMessage.Kind.SYNC, MembershipMessage.Kind.SYNC_REPLY);
    private static final List<MemberInfo.State> STATES = List.of(MemberInfo.State.UNHEARD, MemberInfo.State.ALIVE,
            MemberInfo.State.SUSPECTED, MemberInfo.State.DEAD, MemberInfo.State.LEFT);
    private static final String FILE = "membership-messages.hex";

    /** A message with an update of each state. */
    static MembershipMessage message(MembershipMessage.Kind kind) {
        List<MemberInfo> updates = new ArrayList<>();
        for (MemberInfo.State state : STATES) {
            updates.add(new MemberInfo("instance-" + updates.size(), "zone-a", 2 + updates.size(), -7_000_000_000L, 4,
                    state, "instance-9"));
        }
        MemberInfo sender = new MemberInfo("instance-8", "zone-b", 1, 1L << 50, 0, MemberInfo.State.ALIVE, "");
        return new MembershipMessage(kind, sender, 300, "instance-2", updates);
    }

    public void enumOrderIsUnchanged() {
        assertEquals(List.of(MembershipMessage.Kind.values()), KINDS);
        assertEquals(List.of(MemberInfo.State.values()), STATES);
    }

    public void encodedBytesEqualTheFile() throws IOException {
        Map<String, byte[]> lines = FormatExamples.hexLines(FILE);
        for (int i = 0; i < KINDS.size(); i++) {
            assertEquals(MembershipMessageCodec.encode(message(KINDS.get(i))), lines.get(String.valueOf(i)),
                    "kind " + i);
        }
        assertEquals(lines.size(), KINDS.size());
    }

    public void decodedFileEqualsTheMessage() throws IOException {
        Map<String, byte[]> lines = FormatExamples.hexLines(FILE);
        for (int i = 0; i < KINDS.size(); i++) {
            byte[] bytes = lines.get(String.valueOf(i));
            assertEquals(MembershipMessageCodec.decode(bytes, 0, bytes.length), message(KINDS.get(i)));
        }
    }
}
