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
import vetchrill.store.Journal;
import vetchrill.versions.Memory;

/**
 * The bytes of a store on the disk. The folder {@code store} was written by {@link #commitExamples} with the build of
 * commit 04d6cf3, and {@code store-memory.hex} holds what {@link Store#changes} gave then; an instance must read the
 * store that an earlier build left, so neither is to be written again.
 */
@Test
public class StoreFormatTest {
    private static final String OWNER = "instance-1";

    /** Three commits, and a snapshot that has its end before the second. */
    static void commitExamples(Journal journal) throws IOException {
        journal.commit(List.of(new Change("dropped", new byte[] {5}), new Change("more", new byte[] {6, 7})), false);
        while (journal.idle()) {
            continue;
        }
        journal.commit(Store.changes(FormatExamples.memory(), null), true);
        journal.commit(List.of(new Change("dropped", null)), false);
        journal.close();
    }

    public void theBytesWrittenAreThoseOfTheFiles() throws Exception {
        Path written = Files.createTempDirectory("store-format");
        try (FolderDisk disk = FolderDisk.held(written)) {
            commitExamples(new Journal(disk, OWNER, Journal.LEAST_BOUND));
            assertEquals(disk.names(), List.of("00000001.log", "00000001.snap"));
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
        Journal journal = new Journal(FolderDisk.read(FormatExamples.path("store")), OWNER, Journal.LEAST_BOUND);
        assertEquals(journal.found(), Journal.Found.WHOLE, journal.why());
        assertEquals(journal.commits(), 3);
        assertEquals(List.copyOf(journal.facts().keySet()), List.of("content", "memory", "more"));
        assertEquals(journal.facts().get("more"), new byte[] {6, 7});
        assertEquals(journal.facts().get("content"), FormatExamples.content());
    }

    public void theStoreReadsTheMemoryInTheFiles() throws Exception {
        Store store = new Store(FolderDisk.read(FormatExamples.path("store")), OWNER, Journal.LEAST_BOUND);
        Memory read = store.memory();
        Memory wanted = FormatExamples.memory();
        // An array has no equality of its own.
        assertEquals(read.content(), wanted.content());
        assertEquals(withoutContent(read), withoutContent(wanted));
        assertEquals(read.taken(), wanted.taken());
    }

    private static Memory withoutContent(Memory memory) {
        return new Memory(memory.name(), memory.count(), memory.life(), memory.able(), memory.floor(),
                memory.keepers(), null, null, memory.versions(), memory.seen());
    }

    public void theChangesOfAMemoryAreThoseOfTheFile() throws IOException {
        Map<String, byte[]> lines = FormatExamples.hexLines("store-memory.hex");
        List<String> keys = new ArrayList<>();
        for (Change each : Store.changes(FormatExamples.memory(), null)) {
            assertEquals(each.value(), lines.get(each.key()), each.key());
            keys.add(each.key());
        }
        assertEquals(keys, List.of("memory", "content"));
        assertEquals(lines.size(), 2);
    }

    /** They go out by name in the status reply, and the worse comes later. */
    public void whatWasFoundHasTheseNames() {
        assertEquals(Arrays.stream(Journal.Found.values()).map(Enum::name).toList(),
                List.of("EMPTY", "WHOLE", "TORN", "DAMAGED", "FOREIGN"));
    }
}
