package vetchrill.peers;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import vetchrill.store.Change;
import vetchrill.store.Disk;
import vetchrill.store.DurableStore;
import vetchrill.store.StoreWriter;
import vetchrill.versions.DurableState;
import vetchrill.versions.VersionMessage;
import vetchrill.versions.Version;

/** The durable state of one instance, and the content of its active version, as entries of its {@link DurableStore}. */
public final class InstanceStore {
    private static final System.Logger LOG = System.getLogger("vetchrill.store");
    private static final ObjectMapper CBOR = new ObjectMapper(new CBORFactory());
    private static final String STATE_KEY = "memory";
    private static final String CONTENT_KEY = "content";
    /** Commits that may be queued for the disk; past them a commit fails at once. */
    private static final int MAX_PENDING_REQUESTS = 8_192;

    /** The state as it is written, without the content, which is an entry of its own and written only if changed. */
    private record StateRecord(String name, @JsonProperty("count") long revision,
            @JsonProperty("life") long incarnation, @JsonProperty("able") boolean intact,
            @JsonProperty("floor") long minVersion, @JsonProperty("keepers") List<VersionMessage.VoterPromise> promises,
            @JsonProperty("taken") Version activeVersion, List<VersionMessage.KnownVersion> versions,
            @JsonProperty("seen") List<VersionMessage.PersistedRevision> peerRevisions) {
    }

    public final StoreWriter writer;
    public final DurableStore.RecoveryOutcome recoveryOutcome;
    /** Describes the worst problem that recovery found; empty for none. */
    public final String problem;
    private final DurableState recoveredState;
    /** The content that is on the disk; null where that is not known. */
    private byte[] durableContent;

    /** Recovers the store. Throws IOException if the disk can't be read. {@code capacityBytes} limits all its files. */
    public InstanceStore(Disk disk, String name, long capacityBytes) throws IOException {
        DurableStore store = new DurableStore(disk, name, capacityBytes);
        recoveryOutcome = store.outcome();
        problem = store.problem();
        recoveredState = recoveredState(name, recoveryOutcome, store.entries());
        writer = new StoreWriter(store, MAX_PENDING_REQUESTS);
        if (!problem.isEmpty()) {
            LOG.log(recoveryOutcome == DurableStore.RecoveryOutcome.TORN ? System.Logger.Level.INFO
                    : System.Logger.Level.ERROR, "the recovered store is {0}: {1}", recoveryOutcome, problem);
        }
    }

    /** The state at the start; null if there is none or it can't be used. */
    public DurableState recoveredState() {
        return recoveredState;
    }

    /** The state in the entries of a store that was recovered with that outcome; null if none can be used. */
    public static DurableState recoveredState(String name, DurableStore.RecoveryOutcome outcome,
            NavigableMap<String, byte[]> entries) {
        byte[] bytes = entries.get(STATE_KEY);
        if (bytes == null) {
            return null;
        }
        try {
            StateRecord stored = CBOR.readValue(bytes, StateRecord.class);
            if (!stored.name.equals(name)) {
                throw new IOException("it belongs to instance " + stored.name);
            }
            // A damaged store may hold an earlier state, so its promises can't be relied on.
            boolean intact = stored.intact && outcome != DurableStore.RecoveryOutcome.DAMAGED;
            return new DurableState(stored.name, stored.revision, stored.incarnation, intact, stored.minVersion,
                    stored.promises, stored.activeVersion, stored.activeVersion == null ? null
                    : entries.get(CONTENT_KEY), stored.versions, stored.peerRevisions);
        } catch (IOException | IllegalArgumentException e) {
            LOG.log(System.Logger.Level.ERROR, "the state in the store can''t be used: {0}",
                    String.valueOf(e.getMessage()).split("\n")[0]);
            return null;
        }
    }

    /** Writes a state; the callback is notified on the writer's thread. To be called for one state at a time. */
    public void persist(DurableState state, StoreWriter.CommitCallback callback) {
        List<Change> changes = changesFor(state, durableContent);
        byte[] content = state.activeContent();
        boolean queued = writer.submit(changes, true, durable -> {
            // After a failure the content is written again with the next state.
            durableContent = durable ? content : null;
            callback.completed(durable);
        });
        if (!queued) {
            callback.completed(false);
        }
    }

    /** The changes that write a state where {@code durableContent} is on the disk already; null for none. */
    public static List<Change> changesFor(DurableState state, byte[] durableContent) {
        List<Change> changes = new ArrayList<>();
        try {
            changes.add(new Change(STATE_KEY, CBOR.writeValueAsBytes(new StateRecord(state.name(), state.revision(),
                    state.incarnation(), state.intact(), state.minVersion(), state.promises(), state.activeVersion(),
                    state.versions(), state.peerRevisions()))));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        if (state.activeContent() != null && state.activeContent() != durableContent) {
            changes.add(new Change(CONTENT_KEY, state.activeContent()));
        }
        return changes;
    }
}
