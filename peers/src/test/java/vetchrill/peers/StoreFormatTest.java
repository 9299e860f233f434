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
 * The bytes of a store on the disk. The folder {@code store} was written by {@link #commitExamples} with the build of
 * commit 04d6cf3, and {@code store-memory.hex} holds what {@link InstanceStore#changesFor} gave then; an instance must
 * read the
 * store that an earlier build left, so neither is to be written again.
 */
@Test
public class StoreFormatTest {
    private static final String OWNER = "instance-1";

    /** Three commits, and a snapshot that has its end before the second. */
    static void commitExamples(DurableStore journal) throws IOException {
        journal.commit(List.of(new Change("dropped", new byte[] {5}), new Change("more", new byte[] {6, 7})), false);
        while (journal.continueSnapshot()) {
            continue;
        }
        journal.commit(InstanceStore.changesFor(FormatExamples.memory(), null), true);
        journal.commit(List.of(new Change("dropped", null)), false);
        journal.close();
    }

    public void theBytesWrittenAreThoseOfTheFiles() throws Exception {
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

    public void theJournalReadsTheFiles() throws Exception {
        DurableStore journal = new DurableStore(FolderDisk.openReadOnly(FormatExamples.path("store")), OWNER,
                DurableStore.MIN_CAPACITY_BYTES);
        assertEquals(journal.outcome(), DurableStore.RecoveryOutcome.WHOLE, journal.problem());
        assertEquals(journal.lastCommit(), 3);
        assertEquals(List.copyOf(journal.entries().keySet()), List.of("content", "memory", "more"));
        assertEquals(journal.entries().get("more"), new byte[] {6, 7});
        assertEquals(journal.entries().get("content"), FormatExamples.content());
    }

    public void theStoreReadsTheMemoryInTheFiles() throws Exception {
        InstanceStore store = new InstanceStore(FolderDisk.openReadOnly(FormatExamples.path("store")), OWNER,
                DurableStore.MIN_CAPACITY_BYTES);
        DurableState read = store.recoveredState();
        DurableState wanted = FormatExamples.memory();
        // An array has no equality of its own.
        assertEquals(read.activeContent(), wanted.activeContent());
        assertEquals(withoutContent(read), withoutContent(wanted));
        assertEquals(read.activeVersion(), wanted.activeVersion());
    }

    private static DurableState withoutContent(DurableState memory) {
        return new DurableState(memory.name(), memory.revision(), memory.incarnation(), memory.intact(),
                memory.minVersion(),
                memory.promises(), null, null, memory.versions(), memory.peerRevisions());
    }

    public void theChangesOfAMemoryAreThoseOfTheFile() throws IOException {
        Map<String, byte[]> lines = FormatExamples.hexLines("store-memory.hex");
        List<String> keys = new ArrayList<>();
        for (Change each : InstanceStore.changesFor(FormatExamples.memory(), null)) {
            assertEquals(each.value(), lines.get(each.key()), each.key());
            keys.add(each.key());
        }
        assertEquals(keys, List.of("memory", "content"));
        assertEquals(lines.size(), 2);
    }

    /** They go out by name in the status reply, and the worse comes later. */
    public void whatWasFoundHasTheseNames() {
        assertEquals(Arrays.stream(DurableStore.RecoveryOutcome.values()).map(Enum::name).toList(),
                List.of("EMPTY", "WHOLE", "TORN", "DAMAGED", "FOREIGN"));
    }
}
