package vetchrill.members;

import java.util.List;

/** One word from an instance to another. Every word carries who speaks, and news that spread along with it. */
public record MembershipMessage(Kind kind, MemberInfo sender, long sequenceNumber, String target,
        List<MemberInfo> updates) {
    public enum Kind {
        /** Are you there? Answered by HERE with the same number. */
        PROBE,
        ACK,
        /** Ask {@code about} for me, as I don't hear it: answered by HERE where it answers, by DEAF where not. */
        INDIRECT_PROBE,
        NACK,
        /** All that I hold; answered by SAME with all that the other holds. */
        SYNC,
        SYNC_REPLY
    }
}
