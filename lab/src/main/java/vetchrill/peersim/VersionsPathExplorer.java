package vetchrill.peersim;

import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import vetchrill.versions.Version.Stage;

/**
 * Exhaustive exploration of a fleet of three voters, one published version and its minimum version: runs every sequence
 * of a number of steps. All invariants of {@link VersionsSimulation} must hold throughout, and at the end, with all
 * faults healed, the fleet must converge.
 */
public final class VersionsPathExplorer {
    /**
     * The possible steps; the digit is the index of the instance. The second of two equal kill, partition, cut or fill
     * steps ends what the first has begun.
     */
    public enum Step {
        KILL0, KILL1, LOSE_DISK1, PAUSE2, PARTITION0, PARTITION1, PARTITION2, CUT_OUTGOING1, PUBLISH0, MIN_VERSION0,
        MIN_VERSION2, FILL_DISK1, WAIT_LEASE
    }

    private static final Step[] STEPS = Step.values();
    private static final long LEASE_TENTHS_MS = 10_000;
    private static final long GOSSIP_PERIOD_TENTHS_MS = 1_500;
    private static final byte[] CONTENT = {100};

    private final Set<String> reachedStates = ConcurrentHashMap.newKeySet();

    /** The number of paths of that many steps. */
    public static long pathCount(int depth) {
        return Math.round(Math.pow(STEPS.length, depth));
    }

    /**
     * The number of different states of the fleet that the paths so far went through: of each instance its versions,
     * its promises and whether it is fenced.
     */
    public int stateCount() {
        return reachedStates.size();
    }

    /** Of all sequences of {@code depth} steps, the one with that number. */
    public static <T> T[] path(T[] steps, int depth, long number) {
        T[] path = Arrays.copyOf(steps, depth);
        long remaining = number;
        for (int i = 0; i < depth; i++) {
            path[i] = steps[(int) (remaining % steps.length)];
            remaining /= steps.length;
        }
        return path;
    }

    /** Runs one path by its number; throws an InvariantViolation that names its steps. */
    public void runPath(int depth, long number) {
        Step[] path = path(STEPS, depth, number);
        try {
            runPath(path);
        } catch (VersionsSimulation.InvariantViolation e) {
            throw new VersionsSimulation.InvariantViolation(e.getMessage() + " after " + Arrays.toString(path));
        }
    }

    private void runPath(Step[] path) {
        VersionsSimulation simulation = new VersionsSimulation(3, 3, 1, LEASE_TENTHS_MS, GOSSIP_PERIOD_TENTHS_MS, 1);
        simulation.advanceTo(2 * GOSSIP_PERIOD_TENTHS_MS);
        boolean[] partitioned = new boolean[3];
        boolean outgoingCut = false;
        boolean diskFull = false;
        for (Step step : path) {
            switch (step) {
                case KILL0, KILL1 -> {
                    int index = step.ordinal();
                    if (simulation.processes[index].up) {
                        simulation.kill(index);
                    } else {
                        simulation.start(index);
                    }
                }
                case LOSE_DISK1 -> simulation.loseDisk(1, null);
                case PAUSE2 -> simulation.pause(2, LEASE_TENTHS_MS * 3 / 2);
                case PARTITION0, PARTITION1, PARTITION2 -> {
                    int index = step.ordinal() - Step.PARTITION0.ordinal();
                    partitioned[index] = !partitioned[index];
                    for (int i = 0; i < 3; i++) {
                        for (int j = 0; j < 3; j++) {
                            if (i != j) {
                                simulation.setLinkCut(i, j, partitioned[i] != partitioned[j] || outgoingCut && i == 1);
                            }
                        }
                    }
                }
                case CUT_OUTGOING1 -> {
                    outgoingCut = !outgoingCut;
                    simulation.setLinkCut(1, 0, outgoingCut || partitioned[0] != partitioned[1]);
                    simulation.setLinkCut(1, 2, outgoingCut || partitioned[2] != partitioned[1]);
                }
                case PUBLISH0 -> simulation.publish(0, 1, CONTENT, "", List.of(new Stage("", 1)), 0);
                case MIN_VERSION0 -> simulation.setMinVersion(0, 1);
                case MIN_VERSION2 -> simulation.setMinVersion(2, 1);
                case FILL_DISK1 -> {
                    diskFull = !diskFull;
                    simulation.setDiskFull(1, diskFull);
                }
                default -> simulation.advanceTo(simulation.now() + LEASE_TENTHS_MS);
            }
            simulation.advanceTo(simulation.now() + LEASE_TENTHS_MS / 5);
            reachedStates.add(describe(simulation));
        }
        simulation.heal();
        simulation.advanceTo(simulation.convergenceDeadline());
        simulation.checkConverged();
    }

    private static String describe(VersionsSimulation simulation) {
        StringBuilder state = new StringBuilder();
        for (VersionsSimulation.Process each : simulation.processes) {
            state.append(each.up).append(each.manager.activeNumber()).append(each.manager.minVersion())
                    .append(each.manager.confirmedMinVersion()).append(each.manager.isFenced())
                    .append(each.manager.status().canVote()).append(each.manager.promises()).append(' ');
        }
        return state.toString();
    }
}
