package vetchrill.versions;

import java.util.List;

/**
 * The state that an instance must have written to disk before it acts on it: its promises as a voter, the incarnations
 * of the other voters that it has acknowledged, and its active version.
 *
 * @param revision grows by one with each start and with each write that changes something others rely on. If a peer
 *     remembers a higher revision of this instance, the disk holds an older copy or was lost, or another process uses
 *     the name
 * @param incarnation of this instance as a voter; 0 if it has none
 * @param intact whether this instance is a voter whose state has not been invalidated
 * @param minVersion the highest minimum version known to this instance; of an intact voter, the one it has promised
 * @param activeContent content of {@code activeVersion}; null if and only if that is null
 * @param peerRevisions the revisions of other instances, as they reported them
 */
public record DurableState(String name, long revision, long incarnation, boolean intact, long minVersion,
        List<VersionMessage.VoterPromise> promises, Version activeVersion, byte[] activeContent,
        List<VersionMessage.KnownVersion> versions, List<VersionMessage.PersistedRevision> peerRevisions) {
    public DurableState {
        promises = List.copyOf(promises);
        versions = List.copyOf(versions);
        peerRevisions = List.copyOf(peerRevisions);
        if (name == null || revision < 0 || incarnation < 0 || minVersion < 0
                || (activeVersion == null) != (activeContent == null)) {
            throw new IllegalArgumentException("durable state without a name, with a number below 0 or with only one"
                    + " of version and content");
        }
    }
}
