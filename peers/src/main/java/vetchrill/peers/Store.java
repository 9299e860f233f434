package vetchrill.peers;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import vetchrill.store.Change;
import vetchrill.store.Disk;
import vetchrill.store.Journal;
import vetchrill.store.Vault;
import vetchrill.versions.Memory;
import vetchrill.versions.Saying;
import vetchrill.versions.Version;

/** What one instance must not forget, as facts of its store: its memory, the content that it decides by, and more. */
public final class Store {
    private static final System.Logger LOG = System.getLogger("vetchrill.store");
    private static final ObjectMapper CBOR = new ObjectMapper(new CBORFactory());
    private static final String MEMORY = "memory";
    private static final String CONTENT = "content";
    /** Wishes that may wait for the disk; past them what would be begun is denied. */
    private static final int WAITING = 8_192;

    /** A memory without its content, which is written when it changes only. */
    private record Line(String name, long count, long life, boolean able, long floor, List<Saying.Kept> keepers,
            Version taken, List<Saying.Noted> versions, List<Saying.Count> seen) {
    }

    public final Vault vault;
    public final Journal.Found found;
    /** What is wrong with the disk; empty where nothing is. */
    public final String why;
    private final Memory memory;
    private byte[] contentKept;

    /** Reads what is there. Throws IOException where the disk can't be read at all. */
    public Store(Disk disk, String name, long bound) throws IOException {
        Journal journal = new Journal(disk, name, bound);
        found = journal.found();
        why = journal.why();
        memory = memory(name, found, journal.facts());
        vault = new Vault(journal, WAITING);
        if (!why.isEmpty()) {
            LOG.log(found == Journal.Found.TORN ? System.Logger.Level.INFO : System.Logger.Level.ERROR,
                    "the store is {0}: {1}", found, why);
        }
    }

    /** As it was found at the start; null where there is none of use. */
    public Memory memory() {
        return memory;
    }

    /** The memory in a store that was found so; null for none. */
    public static Memory memory(String name, Journal.Found found, NavigableMap<String, byte[]> facts) {
        byte[] line = facts.get(MEMORY);
        if (line == null) {
            return null;
        }
        try {
            Line read = CBOR.readValue(line, Line.class);
            if (!read.name.equals(name)) {
                throw new IOException("it is the memory of " + read.name);
            }
            // Of a damaged store it is of some earlier time: nothing of it is a promise.
            boolean able = read.able && found != Journal.Found.DAMAGED;
            return new Memory(read.name, read.count, read.life, able, read.floor, read.keepers, read.taken,
                    read.taken == null ? null : facts.get(CONTENT), read.versions, read.seen);
        } catch (IOException | IllegalArgumentException e) {
            LOG.log(System.Logger.Level.ERROR, "the memory in the store is of no use: {0}",
                    String.valueOf(e.getMessage()).split("\n")[0]);
            return null;
        }
    }

    /** {@code done} is told on the store's thread. One at a time. */
    public void keep(Memory memory, Vault.Done done) {
        List<Change> changes = changes(memory, contentKept);
        byte[] content = memory.content();
        boolean room = vault.offer(changes, true, kept -> {
            // A content that did not come to the disk has to be written with the next one.
            contentKept = kept ? content : null;
            done.done(kept);
        });
        if (!room) {
            done.done(false);
        }
    }

    /** What has to be written for that memory, where that content is there already; null for none. */
    public static List<Change> changes(Memory memory, byte[] contentThere) {
        List<Change> changes = new ArrayList<>();
        try {
            changes.add(new Change(MEMORY, CBOR.writeValueAsBytes(new Line(memory.name(), memory.count(),
                    memory.life(), memory.able(), memory.floor(), memory.keepers(), memory.taken(),
                    memory.versions(), memory.seen()))));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        if (memory.content() != null && memory.content() != contentThere) {
            changes.add(new Change(CONTENT, memory.content()));
        }
        return changes;
    }
}
