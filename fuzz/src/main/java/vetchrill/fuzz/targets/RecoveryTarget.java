package vetchrill.fuzz.targets;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import vetchrill.fuzz.FuzzedDataProvider;
import vetchrill.fuzz.InvariantViolation;
import vetchrill.fuzz.ScriptFormat;
import vetchrill.fuzz.Target;
import vetchrill.peersim.VersionsSimulation;
import vetchrill.powerloss.MemoryMedia;
import vetchrill.store.DurableStore;
import vetchrill.versions.VersionManager;

/**
 * Recovery after power loss, in a small simulated fleet with the real durable stores. Their media lose power at any
 * write and may be restored to an earlier state, swapped, corrupted or truncated; the faults of {@link VersionsTarget}
 * occur as well. An input has one byte for the fleet size, one for the voters, an 8-byte seed, then steps of 4 bytes
 * each.
 */
public final class RecoveryTarget implements Target {
    private static final ScriptFormat SCRIPT_FORMAT = VersionsTarget.SCRIPT_FORMAT;
    private static final long LEASE_TENTHS_MS = VersionsTarget.LEASE_TENTHS_MS;
    private static final long GOSSIP_PERIOD_TENTHS_MS = VersionsTarget.GOSSIP_PERIOD_TENTHS_MS;
    /** Steps below this are those of {@link VersionsTarget}, steps from it concern the stores. */
    private static final int FIRST_STORE_STEP = 23;
    /** This step of {@link VersionsTarget} is not used, since a second process would have no media of its own. */
    private static final int TWIN_STEP = 21;
    private static final int STEP_KINDS = FIRST_STORE_STEP + 9;

    @Override
    public String name() {
        return "recovery";
    }

    @Override
    public List<Class<?>> covers() {
        return List.of(VersionManager.class, DurableStore.class);
    }

    @Override
    public void run(byte[] input) {
        play(input);
    }

    /** Plays an input and returns the simulated fleet in its final state. */
    public static VersionsSimulation play(byte[] input) {
        FuzzedDataProvider script = new FuzzedDataProvider(Arrays.copyOf(input,
                Math.min(input.length, SCRIPT_FORMAT.maxBytes())));
        int size = 3 + script.nextUnsignedByte() % 4;
        int layout = script.nextUnsignedByte();
        int voters = layout % 3 == 0 && size >= 5 ? 5 : 3;
        long seed = 0;
        for (int i = 0; i < 8; i++) {
            seed = seed << 8 | script.nextUnsignedByte();
        }
        try {
            VersionsSimulation world = new VersionsSimulation(size, voters, 1, LEASE_TENTHS_MS, GOSSIP_PERIOD_TENTHS_MS,
                    seed, true);
            MemoryMedia[] savedMedia = new MemoryMedia[size];
            world.advanceTo(4 * GOSSIP_PERIOD_TENTHS_MS);
            while (!script.isExhausted()) {
                int kind = script.nextInt(STEP_KINDS);
                int index = script.nextUnsignedByte() % size;
                int b = script.nextUnsignedByte();
                int c = script.nextUnsignedByte();
                if (kind < FIRST_STORE_STEP && kind != TWIN_STEP) {
                    VersionsTarget.applyStep(world, size, kind, index, b, c);
                } else {
                    applyStoreStep(world, savedMedia, kind, index, b, c);
                }
            }
            world.heal();
            world.advanceTo(world.convergenceDeadline());
            world.checkConverged();
            return world;
        } catch (VersionsSimulation.InvariantViolation e) {
            throw new InvariantViolation(e.getMessage());
        }
    }

    private static void applyStoreStep(VersionsSimulation world, MemoryMedia[] savedMedia, int kind, int index, int b,
            int c) {
        switch (kind) {
            case FIRST_STORE_STEP -> world.losePowerOfAll(0);
            case FIRST_STORE_STEP + 1, FIRST_STORE_STEP + 2 -> world.losePowerOfAll(1 + b % 64);
            case FIRST_STORE_STEP + 3 -> world.restartAll(0);
            case FIRST_STORE_STEP + 4 -> world.restartAll(50L * b);
            case FIRST_STORE_STEP + 5 -> savedMedia[index] = world.copyMedia(index);
            case FIRST_STORE_STEP + 6 -> {
                if (savedMedia[index] != null) {
                    world.replaceMedia(index, new MemoryMedia(savedMedia[index]));
                }
            }
            case FIRST_STORE_STEP + 7 -> world.replaceMedia(index,
                    world.copyMedia((index + 1 + b % (savedMedia.length - 1)) % savedMedia.length));
            default -> world.damageMedia(index, b % 2 == 0, c);
        }
    }

    /**
     * Random scripts, and scenarios with a power loss during a publication or a change of the minimum version, after
     * which some media are older, swapped or corrupted.
     */
    @Override
    public List<byte[]> seeds() {
        List<byte[]> seeds = new ArrayList<>(SCRIPT_FORMAT.seeds(900, 12));
        int loseNow = FIRST_STORE_STEP;
        int loseLater = FIRST_STORE_STEP + 1;
        int restorePower = FIRST_STORE_STEP + 3;
        int saveMedia = FIRST_STORE_STEP + 5;
        int restoreMedia = FIRST_STORE_STEP + 6;
        int swapMedia = FIRST_STORE_STEP + 7;
        int spoilMedia = FIRST_STORE_STEP + 8;
        int[][][] scenarios = {
            {{13, 0, 0, 0}, {19, 0, 10, 0}, {15, 0, 0, 0}, {loseLater, 0, 1, 0}, {19, 0, 20, 0},
                    {restorePower, 0, 0, 0},
                {20, 0, 0, 30}},
            {{13, 0, 0, 0}, {19, 0, 10, 0}, {15, 0, 0, 0}, {loseLater, 0, 6, 0}, {19, 0, 20, 0},
            {restorePower, 0, 0, 0},
                {loseLater, 0, 9, 0}, {19, 0, 20, 0}, {restorePower, 0, 0, 0}, {20, 0, 0, 30}},
            {{saveMedia, 1, 0, 0}, {13, 0, 0, 0}, {19, 0, 30, 0}, {15, 0, 0, 0}, {20, 0, 0, 20}, {loseNow, 0, 0, 0},
                {restoreMedia, 1, 0, 0}, {restorePower, 0, 0, 0}, {20, 0, 0, 30}},
            // One of three voters misses the minimum version; it recovers together with one whose media are older.
            {{saveMedia, 1, 0, 0}, {13, 0, 0, 0}, {19, 0, 30, 0}, {8, 0, 4, 0}, {15, 0, 0, 0}, {19, 0, 60, 0},
                {loseNow, 0, 0, 0}, {restoreMedia, 1, 0, 0}, {18, 0, 0, 0}, {0, 0, 0, 0}, {20, 0, 0, 30}},
            {{13, 0, 0, 0}, {19, 0, 30, 0}, {loseNow, 0, 0, 0}, {swapMedia, 1, 0, 0}, {restorePower, 0, 0, 0},
            {15, 0, 0, 0},
                {20, 0, 0, 30}},
            {{13, 0, 0, 7}, {20, 0, 0, 10}, {loseNow, 0, 0, 0}, {spoilMedia, 1, 1, 9}, {restorePower, 0, 0, 0},
            {20, 0, 0, 30}},
            {{13, 0, 0, 7}, {20, 0, 0, 10}, {loseNow, 0, 0, 0}, {spoilMedia, 2, 0, 40}, {restorePower, 0, 0, 0},
            {20, 0, 0, 30}},
        };
        for (int[][] scenario : scenarios) {
            seeds.add(SCRIPT_FORMAT.encode(scenario));
        }
        return seeds;
    }

    @Override
    public byte[] mutate(byte[] input, SplittableRandom random) {
        return SCRIPT_FORMAT.mutate(input, random);
    }
}
