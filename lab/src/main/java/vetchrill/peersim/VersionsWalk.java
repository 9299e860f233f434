package vetchrill.peersim;

import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import vetchrill.versions.Version.Stage;

/**
 * Three instances that keep a floor, two versions, one floor: every order of what can happen to them, to a depth. After
 * each step all that {@link VersionsWorld} checks must hold, and at the end, with all healed, all know the same.
 */
public final class VersionsWalk {
    /** What can happen. Those that can be undone are undone where they come again. */
    public enum Step { KILL0, KILL1, LOSE1, PAUSE2, PART0, PART1, PART2, MUTE1, PUBLISH0, FLOOR0, FLOOR2, FULL1, PASS }

    private static final Step[] STEPS = Step.values();
    private static final long LEASE = 10_000;
    private static final long EVERY = 1_500;
    private static final byte[] CONTENT = {100};

    private final Set<String> states = ConcurrentHashMap.newKeySet();

    public static long paths(int depth) {
        return Math.round(Math.pow(STEPS.length, depth));
    }

    /** Of the three: what each holds, has promised, decides by, and whether it may. */
    public int states() {
        return states.size();
    }

    /** Of all orders of so many steps, the one with that number. */
    public static <T> T[] path(T[] steps, int depth, long number) {
        T[] path = Arrays.copyOf(steps, depth);
        long rest = number;
        for (int i = 0; i < depth; i++) {
            path[i] = steps[(int) (rest % steps.length)];
            rest /= steps.length;
        }
        return path;
    }

    /** One path by its number; throws Broken that names its steps. */
    public void walk(int depth, long number) {
        Step[] path = path(STEPS, depth, number);
        try {
            walk(path);
        } catch (VersionsWorld.Broken e) {
            throw new VersionsWorld.Broken(e.getMessage() + " after " + Arrays.toString(path));
        }
    }

    private void walk(Step[] path) {
        VersionsWorld world = new VersionsWorld(3, 3, 1, LEASE, EVERY, 1);
        world.until(2 * EVERY);
        boolean[] parted = new boolean[3];
        boolean muted = false;
        boolean full = false;
        for (Step step : path) {
            switch (step) {
                case KILL0, KILL1 -> {
                    int place = step.ordinal();
                    if (world.processes[place].up) {
                        world.kill(place);
                    } else {
                        world.start(place);
                    }
                }
                case LOSE1 -> world.loseDisk(1, null);
                case PAUSE2 -> world.pause(2, LEASE * 3 / 2);
                case PART0, PART1, PART2 -> {
                    int place = step.ordinal() - Step.PART0.ordinal();
                    parted[place] = !parted[place];
                    for (int i = 0; i < 3; i++) {
                        for (int j = 0; j < 3; j++) {
                            if (i != j) {
                                world.cut(i, j, parted[i] != parted[j] || muted && i == 1);
                            }
                        }
                    }
                }
                case MUTE1 -> {
                    muted = !muted;
                    world.cut(1, 0, muted || parted[0] != parted[1]);
                    world.cut(1, 2, muted || parted[2] != parted[1]);
                }
                case PUBLISH0 -> world.publish(0, 1, CONTENT, "", List.of(new Stage("", 1)), 0);
                case FLOOR0 -> world.floor(0, 1);
                case FLOOR2 -> world.floor(2, 1);
                case FULL1 -> {
                    full = !full;
                    world.fill(1, full);
                }
                default -> world.until(world.now() + LEASE);
            }
            world.until(world.now() + LEASE / 5);
            states.add(seen(world));
        }
        world.heal();
        world.until(world.settles());
        world.settled();
    }

    private static String seen(VersionsWorld world) {
        StringBuilder state = new StringBuilder();
        for (VersionsWorld.Process each : world.processes) {
            state.append(each.up).append(each.versions.activeNumber()).append(each.versions.minVersion())
                    .append(each.versions.confirmedMinVersion()).append(each.versions.isFenced())
                    .append(each.versions.status().canVote()).append(each.versions.promises()).append(' ');
        }
        return state.toString();
    }
}
