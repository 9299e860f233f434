package vetchrill.peersim;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import vetchrill.model.Event;
import vetchrill.model.HeapEventQueue;

/** A counted clock, and a network between places that loses, delays, doubles and is cut one way; from one seed. */
abstract class NetworkSimulation {
    /** Something that must not be. */
    public static final class InvariantViolation extends RuntimeException {
        private static final long serialVersionUID = 1;

        InvariantViolation(String what) {
            super(what);
        }
    }

    private static final long DEFAULT_MAX_DELAY_TENTHS_MS = 20;

    final SplittableRandom random;
    private final HeapEventQueue events = new HeapEventQueue();
    private final Set<Long> cutLinks = new HashSet<>();
    public double lossRatio;
    public double duplicateRatio;
    public long maxDelayTenthsMs = DEFAULT_MAX_DELAY_TENTHS_MS;
    long lastFaultAt;

    NetworkSimulation(long seed) {
        random = new SplittableRandom(seed);
    }

    public final long now() {
        return events.now();
    }

    final void schedule(long time, Runnable action) {
        events.add(time, new Event() {
            @Override
            public void execute(long now) {
                action.run();
            }
        });
    }

    public final void advanceTo(long time) {
        boolean[] reached = {false};
        schedule(time, () -> reached[0] = true);
        while (!reached[0]) {
            Event event = events.poll();
            event.execute(events.now());
        }
    }

    public final void setLinkCut(int from, int to, boolean cut) {
        if (cut) {
            cutLinks.add((long) from << 32 | to);
        } else {
            cutLinks.remove((long) from << 32 | to);
        }
        markFault();
    }

    /** Two parts, by the bits of each place's number, that hear each other no more. */
    public final void partition(int size, int sides) {
        for (int i = 0; i < size; i++) {
            for (int j = 0; j < size; j++) {
                setLinkCut(i, j, (sides >> i % 8 & 1) != (sides >> j % 8 & 1));
            }
        }
    }

    public void heal() {
        cutLinks.clear();
        lossRatio = 0;
        duplicateRatio = 0;
        maxDelayTenthsMs = DEFAULT_MAX_DELAY_TENTHS_MS;
        markFault();
    }

    final void markFault() {
        lastFaultAt = now();
    }

    /** Something goes from one place to another: it comes, comes late, twice or not at all. */
    final void transmit(int from, int to, Runnable delivery) {
        int copies = duplicateRatio > 0 && random.nextDouble() < duplicateRatio ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            if (lossRatio > 0 && random.nextDouble() < lossRatio || cutLinks.contains((long) from << 32 | to)) {
                continue;
            }
            schedule(now() + 1 + random.nextLong(maxDelayTenthsMs), delivery);
        }
    }
}
