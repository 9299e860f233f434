package vetchrill.peersim;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import vetchrill.model.Event;
import vetchrill.model.HeapEventQueue;

/**
 * A virtual clock, and a network between the instances of a fleet that loses, delays and duplicates messages and whose
 * links can be cut in one direction. All random choices are drawn from one seed. Times are tenths of a millisecond.
 */
abstract class NetworkSimulation {
    /** A property that must always hold does not. */
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

    /** The time of the virtual clock. */
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

    /** Runs all events up to that time. */
    public final void advanceTo(long time) {
        boolean[] reached = {false};
        schedule(time, () -> reached[0] = true);
        while (!reached[0]) {
            Event event = events.poll();
            event.execute(events.now());
        }
    }

    /** Cuts or restores the link in that direction. */
    public final void setLinkCut(int from, int to, boolean cut) {
        if (cut) {
            cutLinks.add((long) from << 32 | to);
        } else {
            cutLinks.remove((long) from << 32 | to);
        }
        markFault();
    }

    /** Cuts all links between two sides: bit {@code i % 8} of {@code sides} is the side of the instance {@code i}. */
    public final void partition(int size, int sides) {
        for (int i = 0; i < size; i++) {
            for (int j = 0; j < size; j++) {
                setLinkCut(i, j, (sides >> i % 8 & 1) != (sides >> j % 8 & 1));
            }
        }
    }

    /** Ends all faults. */
    public void heal() {
        cutLinks.clear();
        lossRatio = 0;
        duplicateRatio = 0;
        maxDelayTenthsMs = DEFAULT_MAX_DELAY_TENTHS_MS;
        markFault();
    }

    /** Notes that a fault began or ended now, or that an order was given: the fleet needs time to converge again. */
    final void markFault() {
        lastFaultAt = now();
    }

    /** Sends something over a link: it is delivered after a random delay, possibly twice or not at all. */
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
