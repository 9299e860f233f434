package vetchrill.versions;

import java.util.List;

/**
 * What an instance must have on its disk before it acts on it: its promises as a keeper, the lives of the other keepers
 * that it has told of, and the version that it decides by.
 *
 * @param revision grows by one with each start and with each of its memories that binds: others who remember a higher
 * one
 *     of this name show that the disk is of an earlier day, lost, or another's
 * @param peerRevisions the counts of the others, as they told
 */
public record DurableState(String name, long revision, long incarnation, boolean intact, long minVersion,
        List<VersionMessage.VoterPromise> promises,
        Version activeVersion, byte[] activeContent, List<VersionMessage.KnownVersion> versions,
        List<VersionMessage.PersistedRevision> peerRevisions) {
    public DurableState {
        promises = List.copyOf(promises);
        versions = List.copyOf(versions);
        peerRevisions = List.copyOf(peerRevisions);
        if (name == null || revision < 0 || incarnation < 0 || minVersion < 0 || (activeVersion == null)
                != (activeContent == null)) {
            throw new IllegalArgumentException("no memory of an instance");
        }
    }
}
