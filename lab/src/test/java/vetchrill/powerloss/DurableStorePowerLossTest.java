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

/** The durable store under power loss at each of its write points in turn, on a failing disk and on altered media. */
@Test
public class DurableStorePowerLossTest {
    private static final class PowerLost extends RuntimeException {
        private static final long serialVersionUID = 1;
    }

    private static final long CAPACITY_BYTES = DurableStore.MIN_CAPACITY_BYTES;
    private static final PowerLossDisk.WritePointHook NO_FAULTS = point -> { };

    /** The entries of all acknowledged commits, and those entries with the commit in progress applied. */
    private static final class ExpectedContent {
        private final TreeMap<String, String> acknowledged = new TreeMap<>();
        private TreeMap<String, String> withCommitInProgress = new TreeMap<>();
        private long commits;
    }

    private static void apply(TreeMap<String, String> entries, List<Change> changes) {
        for (Change each : changes) {
            if (each.value() == null) {
                entries.remove(each.key());
            } else {
                entries.put(each.key(), new String(each.value()));
            }
        }
    }

    private static List<Change> randomChanges(SplittableRandom random) {
        List<Change> changes = new ArrayList<>();
        for (int i = 1 + random.nextInt(3); i > 0; i--) {
            String key = "fact-" + random.nextInt(12);
            changes.add(new Change(key, random.nextInt(5) == 0 ? null
                    : Long.toString(random.nextLong(), 36).repeat(1 + random.nextInt(40)).getBytes()));
        }
        return changes;
    }

    private static void commitRandomChanges(DurableStore store, ExpectedContent expected, SplittableRandom random,
            int commits) throws IOException {
        for (int i = 0; i < commits; i++) {
            List<Change> changes = randomChanges(random);
            expected.withCommitInProgress = new TreeMap<>(expected.acknowledged);
            apply(expected.withCommitInProgress, changes);
            try {
                store.commit(changes, false);
            } catch (DurableStore.StoreFullException e) {
                expected.withCommitInProgress = new TreeMap<>(expected.acknowledged);
                continue;
            }
            apply(expected.acknowledged, changes);
            expected.commits++;
        }
    }

    private static TreeMap<String, String> content(DurableStore store) {
        TreeMap<String, String> entries = new TreeMap<>();
        for (Map.Entry<String, byte[]> each : store.entries().entrySet()) {
            entries.put(each.getKey(), new String(each.getValue()));
        }
        return entries;
    }

    /**
     * After a power loss the store has every acknowledged commit and either all or nothing of the commit in progress;
     * the files stay within the capacity.
     */
    public void acknowledgedCommitsSurvivePowerLossAtAnyWritePoint() throws IOException {
        int losses = 0;
        for (int seed = 0; seed < 6; seed++) {
            MemoryMedia media = new MemoryMedia();
            ExpectedContent expected = new ExpectedContent();
            SplittableRandom random = new SplittableRandom(seed);
            for (int powerLossPoint = 1; powerLossPoint < 400; powerLossPoint++) {
                int[] pointsLeft = {powerLossPoint};
                PowerLossDisk disk = new PowerLossDisk(media, random.split(), 0.3, point -> {
                    assertTrue(media.totalBytes() <= CAPACITY_BYTES, media.totalBytes() + " bytes");
                    if (--pointsLeft[0] == 0) {
                        throw new PowerLost();
                    }
                });
                DurableStore store = new DurableStore(disk, "r1", CAPACITY_BYTES);
                TreeMap<String, String> recovered = content(store);
                assertTrue(recovered.equals(expected.acknowledged)
                        || recovered.equals(expected.withCommitInProgress),
                        "seed " + seed + " loss " + powerLossPoint + ": "
                        + recovered.keySet() + ", expected " + expected.acknowledged.keySet() + " " + store.problem());
                assertTrue(store.outcome().compareTo(DurableStore.RecoveryOutcome.TORN) <= 0,
                        "seed " + seed + " loss " + powerLossPoint + ": "
                        + store.outcome() + " " + store.problem());
                assertTrue(store.lastCommit() >= expected.commits);
                expected.acknowledged.clear();
                expected.acknowledged.putAll(recovered);
                expected.commits = store.lastCommit();
                try {
                    commitRandomChanges(store, expected, random, 60);
                } catch (PowerLost e) {
                    disk.losePower();
                    losses++;
                }
            }
        }
        assertTrue(losses > 1_000, losses + " losses");
    }

    /** Of a disk that fails now and then: a commit that failed leaves no trace, later ones succeed. */
    public void failedCommitsLeaveNoTrace() throws IOException {
        MemoryMedia media = new MemoryMedia();
        SplittableRandom random = new SplittableRandom(9);
        PowerLossDisk disk = new PowerLossDisk(media, random.split(), 0.5, point -> {
            if (random.nextInt(6) == 0) {
                throw new IOException("No space left on device");
            }
        });
        DurableStore store = new DurableStore(disk, "r1", CAPACITY_BYTES);
        TreeMap<String, String> expected = new TreeMap<>();
        int failed = 0;
        for (int i = 0; i < 3_000; i++) {
            List<Change> changes = randomChanges(random);
            try {
                store.commit(changes, false);
                apply(expected, changes);
            } catch (IOException e) {
                failed++;
            }
            assertTrue(media.totalBytes() <= CAPACITY_BYTES, media.totalBytes() + " bytes, " + media.fileNames());
        }
        assertTrue(failed > 300 && failed < 2_700, failed + " failed");
        store.close();
        assertEquals(content(store), expected);
        // After one more acknowledged commit, remains of failed ones on the media no longer count.
        for (boolean done = false; !done;) {
            try {
                store.commit(List.of(new Change("last", new byte[] {'1'})), true);
                expected.put("last", "1");
                done = true;
            } catch (IOException e) {
                done = false;
            }
        }
        disk.losePower();
        assertEquals(content(new DurableStore(new PowerLossDisk(media, random, 0, NO_FAULTS), "r1", CAPACITY_BYTES)),
                expected);
    }

    private static MemoryMedia mediaWithCommits(int commits) throws IOException {
        MemoryMedia media = new MemoryMedia();
        DurableStore store = new DurableStore(new PowerLossDisk(media, new SplittableRandom(1), 0, NO_FAULTS), "r1",
                1 << 20);
        for (int i = 0; i < commits; i++) {
            store.commit(List.of(new Change("fact-" + i, new byte[100])), false);
        }
        return media;
    }

    private static DurableStore open(MemoryMedia media, String owner) throws IOException {
        return new DurableStore(new PowerLossDisk(media, new SplittableRandom(2), 0, NO_FAULTS), owner, 1 << 20);
    }

    /** Damage before the last commit is not taken for a torn tail; the damaged files are set aside, not overwritten. */
    public void damageInTheMiddleIsDistinguishedFromATornTail() throws IOException {
        MemoryMedia media = mediaWithCommits(50);
        String log = media.fileNames().stream().filter(each -> each.endsWith(".log")).reduce((a, b) -> b).orElseThrow();
        MemoryMedia tornMedia = new MemoryMedia(media);
        tornMedia.damage(log, media.readFile(log).length - 5, true);
        DurableStore tornStore = open(tornMedia, "r1");
        assertEquals(tornStore.outcome(), DurableStore.RecoveryOutcome.TORN);
        assertEquals(tornStore.lastCommit(), 49);
        media.damage(log, media.readFile(log).length / 2, false);
        DurableStore store = open(media, "r1");
        assertEquals(store.outcome(), DurableStore.RecoveryOutcome.DAMAGED);
        assertTrue(store.lastCommit() >= 50, store.problem());
        store.commit(List.of(new Change("fresh", new byte[1])), true);
        assertTrue(media.fileNames().stream().anyMatch(each -> each.startsWith("aside-")));
        assertEquals(open(media, "r1").outcome(), DurableStore.RecoveryOutcome.WHOLE);
    }

    /** Files of an instance of another name yield no entries, and are kept. */
    public void filesOfAnotherOwnerAreSetAside() throws IOException {
        MemoryMedia media = mediaWithCommits(5);
        byte[] before = media.readFile(media.fileNames().get(0));
        DurableStore store = open(media, "r2");
        assertEquals(store.outcome(), DurableStore.RecoveryOutcome.FOREIGN);
        assertTrue(store.entries().isEmpty());
        store.commit(List.of(new Change("mine", new byte[1])), true);
        assertEquals(media.readFile("aside-" + media.fileNames().stream().filter(each -> each.startsWith("aside-"))
                .findFirst().orElseThrow().substring(6)), before);
        DurableStore reopened = open(media, "r2");
        assertEquals(reopened.entries().keySet(), java.util.Set.of("mine"));
    }

    /** Commits that may use the reserve succeed when the store is full for all others. */
    public void fullStoreStillAcceptsReservedCommits() throws IOException {
        DurableStore store = open(new MemoryMedia(), "r1");
        assertThrows(DurableStore.StoreFullException.class, () -> {
            for (int i = 0; i < 10_000; i++) {
                store.commit(List.of(new Change("fact-" + i, new byte[1_000])), false);
            }
        });
        store.commit(List.of(new Change("floor", new byte[100])), true);
        assertFalse(store.entries().get("floor") == null);
        store.commit(List.of(new Change("fact-0", null)), false);
    }
}
