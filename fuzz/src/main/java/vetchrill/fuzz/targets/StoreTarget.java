package vetchrill.fuzz.targets;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import vetchrill.fuzz.Draws;
import vetchrill.fuzz.Finding;
import vetchrill.fuzz.Scripts;
import vetchrill.fuzz.Target;
import vetchrill.powerloss.LosingDisk;
import vetchrill.powerloss.MemoryMedia;
import vetchrill.store.Change;
import vetchrill.store.DurableStore;

/**
 * One store under commits, failures, losses at its write points and damage, held against what it told. Eight octets of
 * seed, then steps of three.
 */
public final class StoreTarget implements Target {
    private static final Scripts SCRIPTS = new Scripts(8, 3, 60);
    private static final long BOUND = DurableStore.MIN_CAPACITY_BYTES;
    private static final String OWNER = "r1";

    private static final class PowerLost extends RuntimeException {
        private static final long serialVersionUID = 1;
    }

    /** One play: the store, and what it said. */
    private static final class Play {
        private final SplittableRandom chance;
        private final MemoryMedia media = new MemoryMedia();
        private final TreeMap<String, String> held = new TreeMap<>();
        /** What would be there with one that was refused since the last was kept: the power may still leave it. */
        private final List<TreeMap<String, String>> open = new ArrayList<>();
        private LosingDisk disk;
        private DurableStore journal;
        private int pointsLeft;
        private int failing;
        private long commits;

        Play(long seed) throws IOException {
            chance = new SplittableRandom(seed);
            reopen();
        }

        private void reopen() throws IOException {
            disk = new LosingDisk(media, chance.split(), 0.3, call -> {
                if (media.size() > BOUND) {
                    throw new Finding(media.size() + " octets are past the bound");
                }
                if (pointsLeft > 0 && --pointsLeft == 0) {
                    throw new PowerLost();
                }
                if (failing > 0 && chance.nextInt(3) == 0) {
                    failing--;
                    throw new IOException("No space left on device");
                }
            });
            journal = new DurableStore(disk, OWNER, BOUND);
            if (journal.outcome().compareTo(DurableStore.RecoveryOutcome.TORN) > 0) {
                throw new Finding("a store that is whole is " + journal.outcome() + ": " + journal.problem());
            }
            TreeMap<String, String> there = there(journal);
            if (!there.equals(held) && !open.contains(there)) {
                throw new Finding("what was told to be kept is not what is there");
            }
            if (journal.lastCommit() < commits) {
                throw new Finding("the numbers went back from " + commits + " to " + journal.lastCommit());
            }
            held.clear();
            held.putAll(there);
            commits = journal.lastCommit();
            open.clear();
        }

        private static TreeMap<String, String> there(DurableStore of) {
            TreeMap<String, String> there = new TreeMap<>();
            for (Map.Entry<String, byte[]> each : of.entries().entrySet()) {
                there.put(each.getKey(), new String(each.getValue(), java.nio.charset.StandardCharsets.US_ASCII));
            }
            return there;
        }

        private void commit(int b, int c) throws IOException {
            List<Change> changes = new ArrayList<>();
            for (int i = 0; i <= b % 3; i++) {
                String key = "fact-" + (b + 7 * i) % 24;
                changes.add(new Change(key, c % 5 == 4 ? null : Integer.toString(c + i + chance.nextInt(1_000), 36)
                        .repeat(1 + c % 60).getBytes(java.nio.charset.StandardCharsets.US_ASCII)));
            }
            TreeMap<String, String> after = new TreeMap<>(held);
            for (Change each : changes) {
                if (each.value() == null) {
                    after.remove(each.key());
                } else {
                    after.put(each.key(), new String(each.value(), java.nio.charset.StandardCharsets.US_ASCII));
                }
            }
            open.add(after);
            try {
                journal.commit(changes, b % 2 == 0);
                held.clear();
                held.putAll(after);
                commits = journal.lastCommit();
                open.clear();
            } catch (DurableStore.StoreFullException e) {
                open.remove(after);
            } catch (IOException e) {
                failing = Math.max(0, failing - 1);
            }
        }

        private void lose() throws IOException {
            pointsLeft = 0;
            failing = 0;
            disk.lose();
            reopen();
        }

        /** On a copy, since nothing is promised of what follows: damage before the last commits is told. */
        private void damaged(int b, int c) throws IOException {
            MemoryMedia copy = new MemoryMedia(media);
            List<String> logs = copy.names().stream().filter(each -> each.endsWith(".log")).toList();
            if (logs.isEmpty() || !open.isEmpty()) {
                return;
            }
            String last = logs.get(logs.size() - 1);
            int length = copy.read(last).length;
            if (b % 4 == 0 && !held.isEmpty()) {
                if (new DurableStore(new LosingDisk(copy, chance.split(), 0, call -> { }), "r2", BOUND).outcome()
                        != DurableStore.RecoveryOutcome.FOREIGN) {
                    throw new Finding("a store of another name counts");
                }
            } else if (length > 4_000) {
                // Commits have some hundred octets: behind the first quarter of the log there are whole ones.
                copy.spoil(last, 60 + (b * 256 + c) % (length / 4 - 60), false);
                DurableStore other = new DurableStore(new LosingDisk(copy, chance.split(), 0, call -> { }), OWNER,
                        BOUND);
                if (other.outcome() != DurableStore.RecoveryOutcome.DAMAGED && !there(other).equals(held)) {
                    throw new Finding("damage between commits is held to be " + other.outcome());
                }
            }
        }
    }

    @Override
    public String name() {
        return "store";
    }

    @Override
    public List<Class<?>> covers() {
        return List.of(DurableStore.class);
    }

    @Override
    public void run(byte[] input) {
        Draws draws = new Draws(Arrays.copyOf(input, Math.min(input.length, SCRIPTS.longest())));
        long seed = 0;
        for (int i = 0; i < SCRIPTS.head(); i++) {
            seed = seed << 8 | draws.octet();
        }
        try {
            Play play = new Play(seed);
            while (!draws.over()) {
                int what = draws.below(16);
                int b = draws.octet();
                int c = draws.octet();
                try {
                    switch (what) {
                        case 0 -> play.lose();
                        case 1 -> play.pointsLeft = 1 + b % 16;
                        case 2 -> play.failing = 1 + b % 3;
                        case 3 -> play.damaged(b, c);
                        case 4 -> {
                            for (int i = 0; i < 20; i++) {
                                play.commit(b + i, c + i);
                            }
                        }
                        case 5 -> play.journal.continueSnapshot();
                        default -> play.commit(b, c);
                    }
                } catch (PowerLost e) {
                    play.lose();
                } catch (IOException e) {
                    // An idle slice failed: nothing hangs on it.
                    continue;
                }
            }
            play.lose();
        } catch (IOException e) {
            throw new Finding("a store can't be opened: " + e.getMessage());
        }
    }

    @Override
    public List<byte[]> seeds() {
        return SCRIPTS.seeds(1_100, 40);
    }

    @Override
    public byte[] mutate(byte[] input, SplittableRandom chance) {
        return SCRIPTS.mutate(input, chance);
    }
}
