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

/** What one instance must not forget, as facts of its store: its memory, the content that it decides by, and more. */
public final class InstanceStore {
    private static final System.Logger LOG = System.getLogger("vetchrill.store");
    private static final ObjectMapper CBOR = new ObjectMapper(new CBORFactory());
    private static final String STATE_KEY = "memory";
    private static final String CONTENT_KEY = "content";
    /** Wishes that may wait for the disk; past them what would be begun is denied. */
    private static final int MAX_PENDING_REQUESTS = 8_192;

    /** A memory without its content, which is written when it changes only. */
    private record StateRecord(String name, @JsonProperty("count") long revision,
            @JsonProperty("life") long incarnation, @JsonProperty("able") boolean intact,
            @JsonProperty("floor") long minVersion, @JsonProperty("keepers") List<VersionMessage.VoterPromise> promises,
            @JsonProperty("taken") Version activeVersion, List<VersionMessage.KnownVersion> versions,
                    @JsonProperty("seen") List<VersionMessage.PersistedRevision> peerRevisions) {
    }

    public final StoreWriter writer;
    public final DurableStore.RecoveryOutcome recoveryOutcome;
    /** What is wrong with the disk; empty where nothing is. */
    public final String problem;
    private final DurableState recoveredState;
    private byte[] durableContent;

    /** Reads what is there. Throws IOException where the disk can't be read at all. */
    public InstanceStore(Disk disk, String name, long capacityBytes) throws IOException {
        DurableStore store = new DurableStore(disk, name, capacityBytes);
        recoveryOutcome = store.outcome();
        problem = store.problem();
        recoveredState = recoveredState(name, recoveryOutcome, store.entries());
        writer = new StoreWriter(store, MAX_PENDING_REQUESTS);
        if (!problem.isEmpty()) {
            LOG.log(recoveryOutcome == DurableStore.RecoveryOutcome.TORN ? System.Logger.Level.INFO
                    : System.Logger.Level.ERROR,
                    "the store is {0}: {1}", recoveryOutcome, problem);
        }
    }

    /** As it was found at the start; null where there is none of use. */
    public DurableState recoveredState() {
        return recoveredState;
    }

    /** The memory in a store that was found so; null for none. */
    public static DurableState recoveredState(String name, DurableStore.RecoveryOutcome outcome, NavigableMap<String,
            byte[]> entries) {
        byte[] bytes = entries.get(STATE_KEY);
        if (bytes == null) {
            return null;
        }
        try {
            StateRecord stored = CBOR.readValue(bytes, StateRecord.class);
            if (!stored.name.equals(name)) {
                throw new IOException("it is the memory of " + stored.name);
            }
            // Of a damaged store it is of some earlier time: nothing of it is a promise.
            boolean intact = stored.intact && outcome != DurableStore.RecoveryOutcome.DAMAGED;
            return new DurableState(stored.name, stored.revision, stored.incarnation, intact, stored.minVersion,
                    stored.promises, stored.activeVersion,
                    stored.activeVersion == null ? null : entries.get(CONTENT_KEY), stored.versions,
                    stored.peerRevisions);
        } catch (IOException | IllegalArgumentException e) {
            LOG.log(System.Logger.Level.ERROR, "the memory in the store is of no use: {0}",
                    String.valueOf(e.getMessage()).split("\n")[0]);
            return null;
        }
    }

    /** {@code done} is told on the store's thread. One at a time. */
    public void persist(DurableState state, StoreWriter.CommitCallback callback) {
        List<Change> changes = changesFor(state, durableContent);
        byte[] content = state.activeContent();
        boolean queued = writer.submit(changes, true, durable -> {
            // A content that did not come to the disk has to be written with the next one.
            durableContent = durable ? content : null;
            callback.completed(durable);
        });
        if (!queued) {
            callback.completed(false);
        }
    }

    /** What has to be written for that memory, where that content is there already; null for none. */
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
