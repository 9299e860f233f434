package vetchrill.powerloss;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.testng.annotations.Test;
import vetchrill.store.Change;
import vetchrill.store.DurableStore;

/** Stories of a store whose power goes, at each of its write points in turn, and whose disk is not what it was. */
@Test
public class JournalTest {
    private static final class PowerLost extends RuntimeException {
        private static final long serialVersionUID = 1;
    }

    private static final long BOUND = DurableStore.MIN_CAPACITY_BYTES;
    private static final LosingDisk.Points NONE = call -> { };

    /** What was acknowledged, and the commit in hand as the power went. */
    private static final class Told {
        private final TreeMap<String, String> held = new TreeMap<>();
        private TreeMap<String, String> after = new TreeMap<>();
        private long commits;
    }

    private static void apply(TreeMap<String, String> to, List<Change> changes) {
        for (Change each : changes) {
            if (each.value() == null) {
                to.remove(each.key());
            } else {
                to.put(each.key(), new String(each.value()));
            }
        }
    }

    private static List<Change> drawn(SplittableRandom chance) {
        List<Change> changes = new ArrayList<>();
        for (int i = 1 + chance.nextInt(3); i > 0; i--) {
            String key = "fact-" + chance.nextInt(12);
            changes.add(new Change(key, chance.nextInt(5) == 0 ? null
                    : Long.toString(chance.nextLong(), 36).repeat(1 + chance.nextInt(40)).getBytes()));
        }
        return changes;
    }

    /** So many commits on that disk, or as far as it goes. */
    private static void work(DurableStore journal, Told told, SplittableRandom chance, int commits) throws IOException {
        for (int i = 0; i < commits; i++) {
            List<Change> changes = drawn(chance);
            told.after = new TreeMap<>(told.held);
            apply(told.after, changes);
            try {
                journal.commit(changes, false);
            } catch (DurableStore.StoreFullException e) {
                told.after = new TreeMap<>(told.held);
                continue;
            }
            apply(told.held, changes);
            told.commits++;
        }
    }

    private static TreeMap<String, String> held(DurableStore journal) {
        TreeMap<String, String> held = new TreeMap<>();
        for (Map.Entry<String, byte[]> each : journal.entries().entrySet()) {
            held.put(each.getKey(), new String(each.getValue()));
        }
        return held;
    }

    /** Whatever was told to be kept is there, and nothing else but the commit in hand, whole; the bound holds. */
    public void whereverThePowerGoesWhatWasKeptIsThere() throws IOException {
        int losses = 0;
        for (int seed = 0; seed < 6; seed++) {
            MemoryMedia media = new MemoryMedia();
            Told told = new Told();
            SplittableRandom chance = new SplittableRandom(seed);
            for (int at = 1; at < 400; at++) {
                int[] points = {at};
                LosingDisk disk = new LosingDisk(media, chance.split(), 0.3, call -> {
                    assertTrue(media.size() <= BOUND, media.size() + " octets");
                    if (--points[0] == 0) {
                        throw new PowerLost();
                    }
                });
                DurableStore journal = new DurableStore(disk, "r1", BOUND);
                TreeMap<String, String> held = held(journal);
                assertTrue(held.equals(told.held) || held.equals(told.after), "seed " + seed + " loss " + at + ": "
                        + held.keySet() + " and not " + told.held.keySet() + " " + journal.problem());
                assertTrue(journal.outcome().compareTo(DurableStore.RecoveryOutcome.TORN) <= 0,
                        "seed " + seed + " loss " + at + ": "
                        + journal.outcome() + " " + journal.problem());
                assertTrue(journal.lastCommit() >= told.commits);
                told.held.clear();
                told.held.putAll(held);
                told.commits = journal.lastCommit();
                try {
                    work(journal, told, chance, 60);
                } catch (PowerLost e) {
                    disk.lose();
                    losses++;
                }
            }
        }
        assertTrue(losses > 1_000, losses + " losses");
    }

    /** A disk that fails for a while: what it refused is not there, what came after is. */
    public void whatAFailingDiskRefusedIsNotThere() throws IOException {
        MemoryMedia media = new MemoryMedia();
        SplittableRandom chance = new SplittableRandom(9);
        LosingDisk disk = new LosingDisk(media, chance.split(), 0.5, call -> {
            if (chance.nextInt(6) == 0) {
                throw new IOException("No space left on device");
            }
        });
        DurableStore journal = new DurableStore(disk, "r1", BOUND);
        TreeMap<String, String> held = new TreeMap<>();
        int refused = 0;
        for (int i = 0; i < 3_000; i++) {
            List<Change> changes = drawn(chance);
            try {
                journal.commit(changes, false);
                apply(held, changes);
            } catch (IOException e) {
                refused++;
            }
            assertTrue(media.size() <= BOUND, media.size() + " octets, " + media.names());
        }
        assertTrue(refused > 300 && refused < 2_700, refused + " refused");
        journal.close();
        assertEquals(held(journal), held);
        // One more is told to be there, so that what lay beside it no longer counts.
        for (boolean done = false; !done;) {
            try {
                journal.commit(List.of(new Change("last", new byte[] {'1'})), true);
                held.put("last", "1");
                done = true;
            } catch (IOException e) {
                done = false;
            }
        }
        disk.lose();
        assertEquals(held(new DurableStore(new LosingDisk(media, chance, 0, NONE), "r1", BOUND)), held);
    }

    private static MemoryMedia written(int commits) throws IOException {
        MemoryMedia media = new MemoryMedia();
        DurableStore journal = new DurableStore(new LosingDisk(media, new SplittableRandom(1), 0, NONE), "r1", 1 << 20);
        for (int i = 0; i < commits; i++) {
            journal.commit(List.of(new Change("fact-" + i, new byte[100])), false);
        }
        return media;
    }

    private static DurableStore open(MemoryMedia media, String owner) throws IOException {
        return new DurableStore(new LosingDisk(media, new SplittableRandom(2), 0, NONE), owner, 1 << 20);
    }

    /** Damage between commits that were made is no torn end, and what is left is put aside, not written over. */
    public void damageInTheMiddleIsToldFromATornEnd() throws IOException {
        MemoryMedia media = written(50);
        String log = media.names().stream().filter(each -> each.endsWith(".log")).reduce((a, b) -> b).orElseThrow();
        MemoryMedia torn = new MemoryMedia(media);
        torn.spoil(log, media.read(log).length - 5, true);
        DurableStore cut = open(torn, "r1");
        assertEquals(cut.outcome(), DurableStore.RecoveryOutcome.TORN);
        assertEquals(cut.lastCommit(), 49);
        media.spoil(log, media.read(log).length / 2, false);
        DurableStore journal = open(media, "r1");
        assertEquals(journal.outcome(), DurableStore.RecoveryOutcome.DAMAGED);
        assertTrue(journal.lastCommit() >= 50, journal.problem());
        journal.commit(List.of(new Change("fresh", new byte[1])), true);
        assertTrue(media.names().stream().anyMatch(each -> each.startsWith("aside-")));
        assertEquals(open(media, "r1").outcome(), DurableStore.RecoveryOutcome.WHOLE);
    }

    /** A disk out of another machine holds nothing for this one, and nothing of it is lost. */
    public void aDiskOfAnotherNameIsPutAside() throws IOException {
        MemoryMedia media = written(5);
        byte[] before = media.read(media.names().get(0));
        DurableStore journal = open(media, "r2");
        assertEquals(journal.outcome(), DurableStore.RecoveryOutcome.FOREIGN);
        assertTrue(journal.entries().isEmpty());
        journal.commit(List.of(new Change("mine", new byte[1])), true);
        assertEquals(media.read("aside-" + media.names().stream().filter(each -> each.startsWith("aside-"))
                .findFirst().orElseThrow().substring(6)), before);
        DurableStore again = open(media, "r2");
        assertEquals(again.entries().keySet(), java.util.Set.of("mine"));
    }

    /** What binds still has room where all else is refused. */
    public void aFullStoreStillTakesWhatBinds() throws IOException {
        DurableStore journal = open(new MemoryMedia(), "r1");
        assertThrows(DurableStore.StoreFullException.class, () -> {
            for (int i = 0; i < 10_000; i++) {
                journal.commit(List.of(new Change("fact-" + i, new byte[1_000])), false);
            }
        });
        journal.commit(List.of(new Change("floor", new byte[100])), true);
        assertFalse(journal.entries().get("floor") == null);
        journal.commit(List.of(new Change("fact-0", null)), false);
    }
}
