package vetchrill.versions;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * A message between instances about versions, the minimum version and leases. Every message carries the gossip state
 * and the status of its sender. Messages are CBOR written by reflection: the outer names are those of the components or
 * of {@link JsonProperty}, and the values of {@link Kind} go out by name.
 *
 * @param zone of the sender
 * @param nonce drawn at random by the sending process
 * @param requestId matches a reply to its request; of {@link Kind#STATE} 0 if unsolicited and 1 if it is a reply
 * @param recipientRevision the highest revision of the recipient that the sender remembers; see
 *     {@link DurableState#revision}
 * @param chunk of {@link Kind#FETCH} and {@link Kind#PIECE}; null otherwise
 */
public record VersionMessage(Kind kind, @JsonProperty("from") String sender, String zone, long nonce,
        @JsonProperty("number") long requestId, @JsonProperty("ofYou") long recipientRevision,
        @JsonProperty("news") GossipState state, @JsonProperty("standing") InstanceStatus status,
        @JsonProperty("piece") Chunk chunk) {
    public enum Kind {
        /** Gossip: the state that the sender knows. Answered by STATE if the recipient knows more. */
        STATE,
        /** Lease request to a voter. Answered by GRANT with the same request id if the voter can vote. */
        ASK,
        /** Lease grant. */
        GRANT,
        /**
         * State query from voter to voter: which of the sender's incarnations and which minimum versions are known?
         * Answered by RECALLED.
         */
        RECALL,
        /**
         * The state query of a voter in recovery: in addition it announces the incarnation in its gossip state, which
         * makes the promises of its earlier incarnations void. Answered by RECALLED.
         */
        RECOVER,
        /** Reply to RECALL and RECOVER. */
        RECALLED,
        /** Requests a chunk of a version's content. Answered by PIECE. */
        FETCH,
        /** A chunk of a version's content. */
        PIECE
    }

    /**
     * What is known about one version.
     *
     * @param age lower bound of the time since it was published, in tenths of a millisecond
     * @param stopReason why its rollout was stopped; empty if it was not
     */
    public record KnownVersion(Version version, long age, @JsonProperty("stopped") String stopReason) {
        public KnownVersion {
            if (version == null || age < 0 || stopReason == null) {
                throw new IllegalArgumentException("known version without a version, an age or a stop reason");
            }
        }
    }

    /** The revision that an instance has on disk, as it reported it; see {@link DurableState#revision}. */
    public record PersistedRevision(String name, @JsonProperty("count") long revision) {
        public PersistedRevision {
            if (name == null || revision < 0) {
                throw new IllegalArgumentException("persisted revision without a name or below 0");
            }
        }
    }

    /** The minimum version that a voter has promised, that is written to its disk, and in which incarnation. */
    public record VoterPromise(@JsonProperty("keeper") String voter, @JsonProperty("life") long incarnation,
            @JsonProperty("floor") long minVersion) {
        public VoterPromise {
            if (voter == null || incarnation < 0 || minVersion < 0) {
                throw new IllegalArgumentException("voter promise without a voter or with a number below 0");
            }
        }
    }

    /**
     * The state that spreads by gossip.
     *
     * @param minVersion the highest minimum version that was requested
     * @param promises the latest known promise of each voter
     */
    public record GossipState(List<KnownVersion> versions, @JsonProperty("floor") long minVersion,
            @JsonProperty("keepers") List<VoterPromise> promises) {
        public GossipState {
            versions = List.copyOf(versions);
            promises = List.copyOf(promises);
            if (minVersion < 0) {
                throw new IllegalArgumentException("minimum version below 0");
            }
        }
    }

    /**
     * The status of the sender itself.
     *
     * @param activeVersion the number of its active version
     * @param canVote whether it is a voter that knows all its promises, as confirmed by other voters
     * @param intact whether it is a voter whose state on disk was present and has not been invalidated
     * @param revision the revision that it has on disk; see {@link DurableState#revision}
     * @param rejectedVersion the newest version if the instance can't activate it; 0 if there is no problem
     * @param rejectReason why it can't; empty if there is no problem
     * @param countedSince the newest version; the counters below count since the instance first learned of it, or since
     *     it activated it
     * @param decided exchanges that the instance has decided
     * @param denied of these, the denied ones
     * @param failed of these, the failed ones
     * @param aborted of these, the aborted ones
     */
    public record InstanceStatus(@JsonProperty("taken") long activeVersion, @JsonProperty("able") boolean canVote,
            @JsonProperty("whole") boolean intact, @JsonProperty("count") long revision,
            @JsonProperty("refused") long rejectedVersion, @JsonProperty("why") String rejectReason,
            @JsonProperty("since") long countedSince, long decided, long denied, long failed,
            @JsonProperty("broken") long aborted) {
        public InstanceStatus {
            if (activeVersion < 0 || revision < 0 || rejectReason == null || decided < 0 || denied < 0 || failed < 0
                    || aborted < 0) {
                throw new IllegalArgumentException("instance status without a reject reason or with a number below 0");
            }
        }
    }

    /**
     * A part of a version's content.
     *
     * @param digest of the whole content
     * @param offset of the first byte in the content
     * @param bytes empty in a request, and in the reply of an instance that does not have the content
     */
    public record Chunk(String digest, @JsonProperty("at") int offset, byte[] bytes) {
        public Chunk {
            if (digest == null || offset < 0 || bytes == null) {
                throw new IllegalArgumentException("content chunk without a digest, an offset or bytes");
            }
        }
    }

    public VersionMessage {
        if (kind == null || sender == null || sender.isEmpty() || zone == null || state == null || status == null
                || recipientRevision < 0) {
            throw new IllegalArgumentException("version message without a kind, sender, zone, state or status");
        }
    }
}
