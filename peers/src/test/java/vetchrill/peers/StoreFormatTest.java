package vetchrill.peers;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.testng.annotations.Test;
import vetchrill.store.Change;
import vetchrill.store.FolderDisk;
import vetchrill.store.DurableStore;
import vetchrill.versions.DurableState;

/**
 * The format of the durable store. The directory {@code store} was written by {@link #commitExamples} with the build of
 * commit 04d6cf3, and {@code store-state.hex} has the result of {@link InstanceStore#changesFor} of that build. An
 * instance must be able to read the store of an earlier build, so the files must not be regenerated.
 */
@Test
public class StoreFormatTest {
    private static final String OWNER = "instance-1";

    /** Makes three commits; the snapshot is completed before the second. */
    static void commitExamples(DurableStore store) throws IOException {
        store.commit(List.of(new Change("dropped", new byte[] {5}), new Change("more", new byte[] {6, 7})), false);
        while (store.continueSnapshot()) {
            continue;
        }
        store.commit(InstanceStore.changesFor(FormatExamples.durableState(), null), true);
        store.commit(List.of(new Change("dropped", null)), false);
        store.close();
    }

    public void writtenBytesEqualTheFiles() throws Exception {
        Path written = Files.createTempDirectory("store-format");
        try (FolderDisk disk = FolderDisk.openLocked(written)) {
            commitExamples(new DurableStore(disk, OWNER, DurableStore.MIN_CAPACITY_BYTES));
            assertEquals(disk.fileNames(), List.of("00000001.log", "00000001.snap"));
        }
        for (String name : List.of("00000001.log", "00000001.snap")) {
            assertEquals(Files.readAllBytes(written.resolve(name)),
                    Files.readAllBytes(FormatExamples.path("store/" + name)), name);
        }
        try (Stream<Path> files = Files.list(written)) {
            assertEquals(files.map(each -> each.getFileName().toString()).sorted().toList(),
                    List.of("00000001.log", "00000001.snap", "lock"));
        }
    }

    public void durableStoreReadsTheFiles() throws Exception {
        DurableStore store = new DurableStore(FolderDisk.openReadOnly(FormatExamples.path("store")), OWNER,
                DurableStore.MIN_CAPACITY_BYTES);
        assertEquals(store.outcome(), DurableStore.RecoveryOutcome.WHOLE, store.problem());
        assertEquals(store.lastCommit(), 3);
        assertEquals(List.copyOf(store.entries().keySet()), List.of("content", "memory", "more"));
        assertEquals(store.entries().get("more"), new byte[] {6, 7});
        assertEquals(store.entries().get("content"), FormatExamples.content());
    }

    public void instanceStoreReadsTheStateInTheFiles() throws Exception {
        InstanceStore store = new InstanceStore(FolderDisk.openReadOnly(FormatExamples.path("store")), OWNER,
                DurableStore.MIN_CAPACITY_BYTES);
        DurableState recovered = store.recoveredState();
        DurableState expected = FormatExamples.durableState();
        // Compared by itself, since a record compares arrays by identity.
        assertEquals(recovered.activeContent(), expected.activeContent());
        assertEquals(withoutContent(recovered), withoutContent(expected));
        assertEquals(recovered.activeVersion(), expected.activeVersion());
    }

    private static DurableState withoutContent(DurableState state) {
        return new DurableState(state.name(), state.revision(), state.incarnation(), state.intact(),
                state.minVersion(), state.promises(), null, null, state.versions(), state.peerRevisions());
    }

    public void changesForAStateEqualTheFile() throws IOException {
        Map<String, byte[]> lines = FormatExamples.hexLines("store-state.hex");
        List<String> keys = new ArrayList<>();
        for (Change each : InstanceStore.changesFor(FormatExamples.durableState(), null)) {
            assertEquals(each.value(), lines.get(each.key()), each.key());
            keys.add(each.key());
        }
        assertEquals(keys, List.of("memory", "content"));
        assertEquals(lines.size(), 2);
    }

    /** The names are in the status reply; the order is that of severity. */
    public void recoveryOutcomesHaveStableNames() {
        assertEquals(Arrays.stream(DurableStore.RecoveryOutcome.values()).map(Enum::name).toList(),
                List.of("EMPTY", "WHOLE", "TORN", "DAMAGED", "FOREIGN"));
    }
}
