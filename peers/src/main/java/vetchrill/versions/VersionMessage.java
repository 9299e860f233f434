package vetchrill.versions;

import com.fasterxml.jackson.annotation.JsonProperty;

import java.util.List;

/**
 * One word of an instance to another about versions, floors and leases. Each carries all the news of its speaker.
 *
 * @param recipientRevision the highest count that the speaker remembers of whom it speaks to; see {@link
 * DurableState#revision}
 */
public record VersionMessage(Kind kind, @JsonProperty("from") String sender, String zone, long nonce,
        @JsonProperty("number") long requestId, @JsonProperty("ofYou") long recipientRevision,
        @JsonProperty("news") GossipState state,
        @JsonProperty("standing") InstanceStatus status, @JsonProperty("piece") Chunk chunk) {
    public enum Kind {
        /** What I know. Answered in kind where the other knows more. */
        STATE,
        /** May I go on? To a keeper; answered by GRANT with the same number where it remembers all that it promised. */
        ASK,
        GRANT,
        /** I remember nothing: what do you know of my lives, and of floors? Of a keeper to a keeper. */
        RECALL,
        /** The same, and from now on I am in the life that the news name: what I promised in earlier ones is void. */
        RECOVER,
        RECALLED,
        /** A part of the content of a version, please; answered by PIECE. */
        FETCH,
        PIECE
    }

    /**
     * What is known of one version.
     *
     * @param age tenths of a millisecond since it was published, at least
     * @param stopReason why nobody else is to take it; empty where nothing speaks against it
     */
    public record KnownVersion(Version version, long age, @JsonProperty("stopped") String stopReason) {
        public KnownVersion {
            if (version == null || age < 0 || stopReason == null) {
                throw new IllegalArgumentException("no note of a version");
            }
        }
    }

    /** How far the disk of an instance has come, as it told itself; see {@link DurableState#revision}. */
    public record PersistedRevision(String name, @JsonProperty("count") long revision) {
        public PersistedRevision {
            if (name == null || revision < 0) {
                throw new IllegalArgumentException("no count");
            }
        }
    }

    /** What a keeper holds for good: the floor that it has promised, in which of its lives. */
    public record VoterPromise(@JsonProperty("keeper") String voter, @JsonProperty("life") long incarnation,
            @JsonProperty("floor") long minVersion) {
        public VoterPromise {
            if (voter == null || incarnation < 0 || minVersion < 0) {
                throw new IllegalArgumentException("nothing that a keeper keeps");
            }
        }
    }

    /** All that spreads: versions, the highest floor that was ordered, and the keepers' promises as heard of. */
    public record GossipState(List<KnownVersion> versions, @JsonProperty("floor") long minVersion,
            @JsonProperty("keepers") List<VoterPromise> promises) {
        public GossipState {
            versions = List.copyOf(versions);
            promises = List.copyOf(promises);
            if (minVersion < 0) {
                throw new IllegalArgumentException("a floor below 0");
            }
        }
    }

    /**
     * How the speaker itself stands.
     *
     * @param activeVersion the version that it decides by
     * @param canVote it is a keeper that remembers all that it promised, as far as others can tell
     * @param intact it is a keeper whose disk was there and has not been doubted
     * @param revision what it has on its disk; see {@link DurableState#revision}
     * @param rejectedVersion the version that it can't take, 0 for none; and why
     * @param countedSince which version was heard of the counts run
     */
    public record InstanceStatus(@JsonProperty("taken") long activeVersion, @JsonProperty("able") boolean canVote,
            @JsonProperty("whole") boolean intact, @JsonProperty("count") long revision,
            @JsonProperty("refused") long rejectedVersion, @JsonProperty("why") String rejectReason,
                    @JsonProperty("since") long countedSince,
            long decided, long denied, long failed, @JsonProperty("broken") long aborted) {
        public InstanceStatus {
            if (activeVersion < 0 || revision < 0 || rejectReason == null || decided < 0 || denied < 0 || failed < 0
                    || aborted < 0) {
                throw new IllegalArgumentException("no standing");
            }
        }
    }

    /** A part of a content; {@code bytes} is empty in a question, and in an answer by one that does not have it. */
    public record Chunk(String digest, @JsonProperty("at") int offset, byte[] bytes) {
        public Chunk {
            if (digest == null || offset < 0 || bytes == null) {
                throw new IllegalArgumentException("no piece");
            }
        }
    }

    public VersionMessage {
        if (kind == null || sender == null || sender.isEmpty() || zone == null || state == null || status == null
                || recipientRevision < 0) {
            throw new IllegalArgumentException("no saying");
        }
    }
}
