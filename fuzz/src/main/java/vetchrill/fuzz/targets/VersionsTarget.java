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
import vetchrill.versions.Version.Stage;
import vetchrill.versions.VersionManager;

/**
 * Agreement on the active and the minimum version, in a small simulated fleet. An input has one byte for the fleet
 * size, one for the voters and zones, an 8-byte seed, then steps of 4 bytes each.
 */
public final class VersionsTarget implements Target {
    private static final int HEADER_BYTES = 10;
    private static final int STEP_BYTES = 4;
    private static final int MAX_STEPS = 40;
    static final long LEASE_TENTHS_MS = 20_000;
    static final long GOSSIP_PERIOD_TENTHS_MS = 2_000;
    public static final ScriptFormat SCRIPT_FORMAT = new ScriptFormat(HEADER_BYTES, STEP_BYTES, MAX_STEPS);

    @Override
    public String name() {
        return "versions";
    }

    @Override
    public List<Class<?>> covers() {
        return List.of(VersionManager.class);
    }

    @Override
    public void run(byte[] input) {
        FuzzedDataProvider script = new FuzzedDataProvider(Arrays.copyOf(input,
                Math.min(input.length, SCRIPT_FORMAT.maxBytes())));
        int size = 3 + script.nextUnsignedByte() % 6;
        int layout = script.nextUnsignedByte();
        int voters = layout % 3 == 0 && size >= 5 ? 5 : 3;
        long seed = 0;
        for (int i = 0; i < 8; i++) {
            seed = seed << 8 | script.nextUnsignedByte();
        }
        try {
            VersionsSimulation world = new VersionsSimulation(size, voters, 1 + layout / 3 % 3, LEASE_TENTHS_MS,
                    GOSSIP_PERIOD_TENTHS_MS, seed);
            world.advanceTo(4 * GOSSIP_PERIOD_TENTHS_MS);
            while (!script.isExhausted()) {
                applyStep(world, size, script.nextInt(23), script.nextUnsignedByte() % size, script.nextUnsignedByte(),
                        script.nextUnsignedByte());
            }
            world.heal();
            world.advanceTo(world.convergenceDeadline());
            world.checkConverged();
        } catch (VersionsSimulation.InvariantViolation e) {
            throw new InvariantViolation(e.getMessage());
        }
    }

    static void applyStep(VersionsSimulation world, int size, int kind, int index, int b, int c) {
        int other = (index + 1 + b % (size - 1)) % size;
        switch (kind) {
            case 0 -> world.kill(index);
            case 1 -> world.start(index);
            case 2 -> {
                world.kill(index);
                world.start(index);
            }
            case 3 -> world.loseDisk(index, null);
            case 4, 5 -> world.pause(index, 500L * c);
            case 6 -> world.setLinkCut(index, other, true);
            case 7 -> world.setLinkCut(index, other, false);
            case 8 -> world.partition(size, b ^ c);
            case 9 -> world.lossRatio = b % 6 / 10.0;
            case 10 -> world.duplicateRatio = b % 4 / 4.0;
            case 11 -> world.maxDelayTenthsMs = 2 + 40L * b;
            case 12 -> {
                if (b % 3 == 2) {
                    world.delayWrites(index, 150L * c);
                } else {
                    world.setDiskFull(index, b % 3 == 0);
                }
            }
            case 21 -> world.startTwin(index, b ^ c);
            case 22 -> world.corruptionRatio = b % 3 / 4.0;
            case 13, 14 -> world.publish(index, 1 + b % 6, content(b, c), c % 16 == 15 ? "b".repeat(64)
                    : c % 16 == 14 ? VersionsSimulation.PROGRAM_DIGEST : "",
                    c % 5 == 4 ? List.of(new Stage("", 0.5), new Stage("", 1))
                    : List.of(new Stage("", 1)), c % 5 == 4 ? 5_000 : 0);
            case 15, 16 -> world.setMinVersion(index, 1 + b % 6);
            case 17 -> {
                if (c % 4 == 0) {
                    world.halt(index, 1 + b % 6);
                }
            }
            case 18 -> world.heal();
            default -> world.advanceTo(world.now() + 100L * b + (kind == 20 ? 1_000L * c : 0));
        }
    }

    /**
     * Content of a version: some is rejected by one instance, some is sent in several pieces, some is the same under
     * two numbers.
     */
    private static byte[] content(int b, int c) {
        byte[] content = new byte[c % 8 == 7 ? 40_000 : 1 + c % 3];
        Arrays.fill(content, (byte) (b / 6));
        content[0] = (byte) (c % 8 == 6 ? 1 + b % 3 : 100 + c % 4);
        return content;
    }

    /**
     * Two processes run as one voter: one recovers from three voters, and the other still reaches two that do not know
     * of it.
     */
    private static int[][] twinScenario() {
        List<int[]> steps = new ArrayList<>(List.of(new int[] {21, 1, 0b011001, 0}, new int[] {19, 0, 255, 0}));
        int[][] cutPairs = {{4, 0}, {4, 3}, {4, 1}, {2, 0}, {2, 3}, {5, 0}, {5, 3}};
        for (int[] pair : cutPairs) {
            steps.add(new int[] {6, pair[0], Math.floorMod(pair[1] - pair[0] - 1, 6), 0});
            steps.add(new int[] {6, pair[1], Math.floorMod(pair[0] - pair[1] - 1, 6), 0});
        }
        steps.add(new int[] {13, 0, 0, 0});
        steps.add(new int[] {19, 0, 20, 0});
        steps.add(new int[] {15, 0, 0, 0});
        steps.add(new int[] {20, 0, 0, 40});
        return steps.toArray(new int[0][]);
    }

    /** Random scripts, and the failure scenarios that the minimum version protects against. */
    @Override
    public List<byte[]> seeds() {
        List<byte[]> seeds = new ArrayList<>(SCRIPT_FORMAT.seeds(700, 12));
        int[][][] scenarios = {
            // An instance is paused, or the network is partitioned, while the minimum version is raised.
            {{13, 0, 0, 0}, {19, 0, 30, 0}, {4, 4, 0, 120}, {15, 0, 0, 0}, {19, 0, 255, 0}, {20, 0, 0, 40}},
            {{13, 0, 0, 0}, {19, 0, 30, 0}, {8, 0, 8, 0}, {15, 0, 0, 0}, {19, 0, 255, 0}, {20, 0, 0, 40}},
            // A voter votes and then loses its disk, and an instance that has missed the vote requests a lease.
            {{13, 0, 0, 0}, {19, 0, 30, 0}, {8, 0, 20, 0}, {15, 0, 0, 0}, {19, 0, 20, 0}, {3, 1, 0, 0},
                {8, 0, 1, 0}, {20, 0, 0, 30}},
            {{13, 0, 0, 0}, {19, 0, 30, 0}, {3, 1, 0, 0}, {15, 0, 0, 0}, {19, 0, 4, 0}, {3, 2, 0, 0}, {20, 0, 0, 30}},
            // Messages are late and duplicated; processes restart while messages are in flight.
            {{11, 0, 250, 0}, {10, 0, 3, 0}, {13, 0, 0, 0}, {2, 3, 0, 0}, {15, 0, 0, 0}, {2, 4, 0, 0}, {20, 0, 0, 30},
                {2, 1, 0, 0}, {20, 0, 0, 30}},
            // A vote that is not on disk yet is lost when its process is killed.
            {{8, 0, 4, 0}, {12, 1, 2, 20}, {13, 0, 0, 0}, {19, 0, 3, 0}, {15, 0, 0, 0}, {19, 0, 34, 0}, {2, 1, 0, 0},
                {8, 0, 1, 0}, {20, 0, 0, 30}},
            {{8, 0, 4, 0}, {12, 1, 2, 60}, {13, 0, 0, 0}, {19, 0, 3, 0}, {15, 0, 0, 0}, {19, 0, 100, 0}, {2, 1, 0, 0},
                {8, 0, 1, 0}, {20, 0, 0, 30}},
            // Two processes run as one voter, and the older one still answers.
            {{8, 0, 4, 0}, {13, 0, 0, 0}, {19, 0, 20, 0}, {21, 1, 1, 0}, {19, 0, 80, 0}, {15, 0, 0, 0}, {19, 0, 80, 0},
                {8, 0, 1, 0}, {20, 0, 0, 30}},
            {{8, 0, 4, 0}, {13, 0, 0, 0}, {15, 0, 0, 0}, {19, 0, 20, 0}, {21, 1, 1, 0}, {8, 0, 0, 0}, {20, 0, 0, 30}},
            // Responses to a process arrive when another one runs under its name.
            {{13, 0, 5, 4}, {11, 0, 250, 0}, {2, 3, 0, 0}, {19, 0, 60, 0}, {8, 0, 8, 0}, {11, 0, 0, 0}, {13, 0, 0, 0},
                {19, 0, 4, 0}, {15, 0, 0, 0}, {19, 0, 4, 0}, {2, 3, 0, 0}, {20, 0, 0, 40}},
            {{11, 0, 250, 0}, {2, 3, 0, 0}, {19, 0, 80, 0}, {8, 0, 8, 0}, {11, 0, 0, 0}, {13, 0, 0, 0},
                {19, 0, 3, 0}, {15, 0, 0, 0}, {19, 0, 3, 0}, {2, 3, 0, 0}, {20, 0, 0, 40}},
            // Pieces of content are corrupted in flight.
            {{22, 0, 2, 0}, {13, 0, 0, 7}, {20, 0, 0, 20}},
            // Disks are full; content is large, is rejected, or is published twice under one number.
            {{12, 1, 0, 0}, {13, 0, 0, 7}, {15, 0, 0, 0}, {20, 0, 0, 30}, {12, 1, 1, 0}, {20, 0, 0, 30}},
            {{8, 0, 24, 0}, {13, 0, 0, 7}, {13, 4, 0, 8}, {8, 0, 0, 0}, {20, 0, 0, 30}, {15, 0, 0, 0}},
            {{13, 0, 0, 6}, {20, 0, 0, 10}, {15, 0, 0, 0}, {20, 0, 0, 30}, {13, 1, 1, 15}, {15, 1, 1, 0}},
            // A higher version before a lower one; the publisher dies before any other instance has its content.
            {{13, 0, 3, 0}, {13, 0, 1, 0}, {20, 0, 0, 10}, {13, 1, 1, 1}, {20, 0, 0, 10}},
            {{13, 3, 2, 7}, {3, 3, 0, 0}, {13, 1, 1, 0}, {20, 0, 0, 30}},
        };
        // One of five voters votes, loses its state and recovers from three that missed the vote; one of these votes.
        int[][][] fiveVoterScenarios = {
            {{8, 0, 1, 0}, {13, 0, 0, 0}, {19, 0, 10, 0}, {15, 0, 0, 0}, {19, 0, 20, 0}, {8, 0, 3, 0}, {19, 0, 20, 0},
                {3, 1, 0, 0}, {8, 0, 1, 0}, {19, 0, 255, 0}, {8, 0, 9, 0}, {20, 0, 0, 40}},
            {{8, 0, 1, 0}, {13, 0, 0, 0}, {19, 0, 10, 0}, {15, 0, 0, 0}, {19, 0, 20, 0}, {8, 0, 3, 0}, {19, 0, 20, 0},
                {12, 3, 2, 100}, {3, 1, 0, 0}, {8, 0, 1, 0}, {19, 0, 40, 0}, {2, 3, 0, 0}, {8, 0, 9, 0},
                {20, 0, 0, 40}},
            twinScenario(),
        };
        for (int i = 0; i < scenarios.length + fiveVoterScenarios.length; i++) {
            boolean fiveVoters = i >= scenarios.length;
            int[][] scenario = fiveVoters ? fiveVoterScenarios[i - scenarios.length] : scenarios[i];
            byte[] seed = SCRIPT_FORMAT.encode(scenario);
            seed[0] = (byte) (fiveVoters ? 3 : 2);
            seed[1] = (byte) (fiveVoters ? 0 : 1);
            seeds.add(seed);
        }
        return seeds;
    }

    @Override
    public byte[] mutate(byte[] input, SplittableRandom random) {
        return SCRIPT_FORMAT.mutate(input, random);
    }
}
