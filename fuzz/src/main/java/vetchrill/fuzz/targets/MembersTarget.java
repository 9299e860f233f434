package vetchrill.fuzz.targets;

import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import vetchrill.fuzz.FuzzedDataProvider;
import vetchrill.fuzz.InvariantViolation;
import vetchrill.fuzz.ScriptFormat;
import vetchrill.fuzz.Target;
import vetchrill.members.SwimMembership;
import vetchrill.members.MembershipConfig;
import vetchrill.peersim.MembershipSimulation;

/**
 * Membership in a small simulated fleet. An input has one byte for the fleet size, an 8-byte seed, then steps of 4
 * bytes each.
 */
public final class MembersTarget implements Target {
    private static final MembershipConfig CONFIG = new MembershipConfig(5_000, 1_500, 3, 4, 4, 30_000);
    private static final int HEADER_BYTES = 9;
    private static final int STEP_BYTES = 4;
    private static final int MAX_STEPS = 40;
    private static final ScriptFormat SCRIPT_FORMAT = new ScriptFormat(HEADER_BYTES, STEP_BYTES, MAX_STEPS);

    @Override
    public String name() {
        return "members";
    }

    @Override
    public List<Class<?>> covers() {
        return List.of(SwimMembership.class);
    }

    @Override
    public void run(byte[] input) {
        long seed = 0;
        for (int i = 1; i < HEADER_BYTES && i < input.length; i++) {
            seed = seed << 8 | input[i] & 0xff;
        }
        int size = 3 + (input.length > 0 ? (input[0] & 0xff) % 5 : 0);
        int end = Math.min(input.length, HEADER_BYTES + STEP_BYTES * MAX_STEPS);
        try {
            MembershipSimulation world = new MembershipSimulation(size, CONFIG, false, seed);
            world.advanceTo(4 * CONFIG.syncPeriod());
            FuzzedDataProvider script = new FuzzedDataProvider(input.length <= HEADER_BYTES ? new byte[0]
                    : Arrays.copyOfRange(input, HEADER_BYTES, end));
            while (!script.isExhausted()) {
                applyStep(world, size, script.nextInt(16), script.nextUnsignedByte() % size, script.nextUnsignedByte(),
                        script.nextUnsignedByte());
            }
            world.heal();
            for (int i = 0; i < size; i++) {
                // All instances that are down restart except the first, so that a permanent death is covered as well.
                if (i > 0 && !world.isUp(i)) {
                    world.start(i, 1);
                }
            }
            world.advanceTo(world.convergenceDeadline());
            world.checkConverged();
        } catch (MembershipSimulation.InvariantViolation e) {
            throw new InvariantViolation(e.getMessage());
        }
    }

    private static void applyStep(MembershipSimulation world, int size, int kind, int index, int b, int c) {
        int other = (index + 1 + b % (size - 1)) % size;
        switch (kind) {
            case 0 -> world.kill(index);
            case 1 -> {
                if (!world.isUp(index)) {
                    world.start(index, 1);
                }
            }
            case 2 -> {
                world.kill(index);
                world.start(index, 1);
            }
            // A second process under the name of one that may still run.
            case 3 -> world.start(index, 1);
            case 4, 5 -> world.pause(index, 1_000L * c);
            case 6 -> world.setLinkCut(index, other, true);
            case 7 -> world.setLinkCut(index, other, false);
            case 8 -> world.partition(size, b ^ c);
            case 9 -> world.lossRatio = b % 6 / 10.0;
            case 10 -> world.duplicateRatio = b % 4 / 4.0;
            case 11 -> world.maxDelayTenthsMs = 2 + 8L * b;
            case 12 -> world.leave(index);
            case 13 -> world.heal();
            default -> world.advanceTo(world.now() + 200L * b + (kind == 15 ? 3_000L * c : 0));
        }
    }

    @Override
    public List<byte[]> seeds() {
        return SCRIPT_FORMAT.seeds(200, 10);
    }

    @Override
    public byte[] mutate(byte[] input, SplittableRandom random) {
        return SCRIPT_FORMAT.mutate(input, random);
    }
}
