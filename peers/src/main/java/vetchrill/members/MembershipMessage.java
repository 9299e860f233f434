package vetchrill.members;

import java.util.List;

/**
 * A message of the membership protocol. Every message carries the state of its sender and updates about other members
 * (gossip).
 *
 * @param sequenceNumber matches a reply to its request
 * @param target of {@link Kind#INDIRECT_PROBE}, the member to be probed; empty otherwise
 * @param updates piggybacked updates; the full state in {@link Kind#SYNC} and {@link Kind#SYNC_REPLY}
 */
public record MembershipMessage(Kind kind, MemberInfo sender, long sequenceNumber, String target,
        List<MemberInfo> updates) {
    /** Sent between instances by ordinal, so the order must not change. */
    public enum Kind {
        /** Checks that the recipient is alive. Answered by ACK with the same sequence number. */
        PROBE,
        ACK,
        /**
         * Asks the recipient to probe {@code target}, which has not answered the sender. Answered by ACK if the target
         * answers the recipient, else by NACK.
         */
        INDIRECT_PROBE,
        NACK,
        /** The full state of the sender. Answered by SYNC_REPLY with the full state of the recipient. */
        SYNC,
        SYNC_REPLY
    }
}
