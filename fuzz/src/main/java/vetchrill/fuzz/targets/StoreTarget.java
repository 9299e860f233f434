package vetchrill.fuzz.targets;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import vetchrill.fuzz.FuzzedDataProvider;
import vetchrill.fuzz.InvariantViolation;
import vetchrill.fuzz.ScriptFormat;
import vetchrill.fuzz.Target;
import vetchrill.powerloss.PowerLossDisk;
import vetchrill.powerloss.MemoryMedia;
import vetchrill.store.Change;
import vetchrill.store.DurableStore;

/**
 * The durable store under commits, write failures, power losses at its write points and corruption; what it recovers is
 * compared with what it has confirmed. An input has an 8-byte seed, then steps of 3 bytes each.
 */
public final class StoreTarget implements Target {
    private static final ScriptFormat SCRIPT_FORMAT = new ScriptFormat(8, 3, 60);
    private static final long CAPACITY_BYTES = DurableStore.MIN_CAPACITY_BYTES;
    private static final String OWNER = "r1";

    private static final class PowerLost extends RuntimeException {
        private static final long serialVersionUID = 1;
    }

    /** The store and the state that it must recover. */
    private static final class StoreSession {
        private final SplittableRandom random;
        private final MemoryMedia media = new MemoryMedia();
        private final TreeMap<String, String> committed = new TreeMap<>();
        /**
         * States after commits that have failed since the last successful one: any of them may be recovered after a
         * power loss.
         */
        private final List<TreeMap<String, String>> possibleStates = new ArrayList<>();
        private PowerLossDisk disk;
        private DurableStore store;
        private int writesUntilPowerLoss;
        private int writeFailuresLeft;
        private long lastCommit;

        StoreSession(long seed) throws IOException {
            random = new SplittableRandom(seed);
            reopen();
        }

        private void reopen() throws IOException {
            disk = new PowerLossDisk(media, random.split(), 0.3, call -> {
                if (media.totalBytes() > CAPACITY_BYTES) {
                    throw new InvariantViolation(media.totalBytes() + " bytes exceed the capacity");
                }
                if (writesUntilPowerLoss > 0 && --writesUntilPowerLoss == 0) {
                    throw new PowerLost();
                }
                if (writeFailuresLeft > 0 && random.nextInt(3) == 0) {
                    writeFailuresLeft--;
                    throw new IOException("No space left on device");
                }
            });
            store = new DurableStore(disk, OWNER, CAPACITY_BYTES);
            if (store.outcome().compareTo(DurableStore.RecoveryOutcome.TORN) > 0) {
                throw new InvariantViolation("an intact store is reported as " + store.outcome() + ": "
                        + store.problem());
            }
            TreeMap<String, String> recovered = readEntries(store);
            if (!recovered.equals(committed) && !possibleStates.contains(recovered)) {
                throw new InvariantViolation("the recovered entries are not those that were confirmed");
            }
            if (store.lastCommit() < lastCommit) {
                throw new InvariantViolation("the commit number went back from " + lastCommit + " to "
                        + store.lastCommit());
            }
            committed.clear();
            committed.putAll(recovered);
            lastCommit = store.lastCommit();
            possibleStates.clear();
        }

        private static TreeMap<String, String> readEntries(DurableStore store) {
            TreeMap<String, String> entries = new TreeMap<>();
            for (Map.Entry<String, byte[]> each : store.entries().entrySet()) {
                entries.put(each.getKey(), new String(each.getValue(), java.nio.charset.StandardCharsets.US_ASCII));
            }
            return entries;
        }

        private void commit(int b, int c) throws IOException {
            List<Change> changes = new ArrayList<>();
            for (int i = 0; i <= b % 3; i++) {
                String key = "fact-" + (b + 7 * i) % 24;
                changes.add(new Change(key, c % 5 == 4 ? null : Integer.toString(c + i + random.nextInt(1_000), 36)
                        .repeat(1 + c % 60).getBytes(java.nio.charset.StandardCharsets.US_ASCII)));
            }
            TreeMap<String, String> after = new TreeMap<>(committed);
            for (Change each : changes) {
                if (each.value() == null) {
                    after.remove(each.key());
                } else {
                    after.put(each.key(), new String(each.value(), java.nio.charset.StandardCharsets.US_ASCII));
                }
            }
            possibleStates.add(after);
            try {
                store.commit(changes, b % 2 == 0);
                committed.clear();
                committed.putAll(after);
                lastCommit = store.lastCommit();
                possibleStates.clear();
            } catch (DurableStore.StoreFullException e) {
                possibleStates.remove(after);
            } catch (IOException e) {
                writeFailuresLeft = Math.max(0, writeFailuresLeft - 1);
            }
        }

        private void losePower() throws IOException {
            writesUntilPowerLoss = 0;
            writeFailuresLeft = 0;
            disk.losePower();
            reopen();
        }

        /**
         * Checks that corruption before the last commits is detected, and that a store of another owner is not
         * accepted. Works on a copy, since nothing is guaranteed after corruption.
         */
        private void checkDamageDetected(int b, int c) throws IOException {
            MemoryMedia copy = new MemoryMedia(media);
            List<String> logs = copy.fileNames().stream().filter(each -> each.endsWith(".log")).toList();
            if (logs.isEmpty() || !possibleStates.isEmpty()) {
                return;
            }
            String newestLog = logs.get(logs.size() - 1);
            int length = copy.readFile(newestLog).length;
            if (b % 4 == 0 && !committed.isEmpty()) {
                if (new DurableStore(new PowerLossDisk(copy, random.split(), 0, call -> { }), "r2", CAPACITY_BYTES)
                        .outcome()
                        != DurableStore.RecoveryOutcome.FOREIGN) {
                    throw new InvariantViolation("a store of another owner is accepted");
                }
            } else if (length > 4_000) {
                // A commit is some hundred bytes long, so that intact ones follow the first quarter of the log.
                copy.damage(newestLog, 60 + (b * 256 + c) % (length / 4 - 60), false);
                DurableStore reopened = new DurableStore(new PowerLossDisk(copy, random.split(), 0, call -> { }), OWNER,
                        CAPACITY_BYTES);
                if (reopened.outcome() != DurableStore.RecoveryOutcome.DAMAGED && !readEntries(reopened)
                        .equals(committed)) {
                    throw new InvariantViolation("corruption between commits is reported as " + reopened.outcome());
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
        FuzzedDataProvider script = new FuzzedDataProvider(Arrays.copyOf(input,
                Math.min(input.length, SCRIPT_FORMAT.maxBytes())));
        long seed = 0;
        for (int i = 0; i < SCRIPT_FORMAT.headerBytes(); i++) {
            seed = seed << 8 | script.nextUnsignedByte();
        }
        try {
            StoreSession session = new StoreSession(seed);
            while (!script.isExhausted()) {
                int kind = script.nextInt(16);
                int b = script.nextUnsignedByte();
                int c = script.nextUnsignedByte();
                try {
                    switch (kind) {
                        case 0 -> session.losePower();
                        case 1 -> session.writesUntilPowerLoss = 1 + b % 16;
                        case 2 -> session.writeFailuresLeft = 1 + b % 3;
                        case 3 -> session.checkDamageDetected(b, c);
                        case 4 -> {
                            for (int i = 0; i < 20; i++) {
                                session.commit(b + i, c + i);
                            }
                        }
                        case 5 -> session.store.continueSnapshot();
                        default -> session.commit(b, c);
                    }
                } catch (PowerLost e) {
                    session.losePower();
                } catch (IOException e) {
                    // Writing a part of a snapshot has failed, which has no effect on the entries.
                    continue;
                }
            }
            session.losePower();
        } catch (IOException e) {
            throw new InvariantViolation("the store can't be opened: " + e.getMessage());
        }
    }

    @Override
    public List<byte[]> seeds() {
        return SCRIPT_FORMAT.seeds(1_100, 40);
    }

    @Override
    public byte[] mutate(byte[] input, SplittableRandom random) {
        return SCRIPT_FORMAT.mutate(input, random);
    }
}
