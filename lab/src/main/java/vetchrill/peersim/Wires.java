package vetchrill.peersim;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import vetchrill.model.Event;
import vetchrill.model.HeapQueue;

/** A counted clock, and a network between places that loses, delays, doubles and is cut one way; from one seed. */
abstract class Wires {
    /** Something that must not be. */
    public static final class Broken extends RuntimeException {
        private static final long serialVersionUID = 1;

        Broken(String what) {
            super(what);
        }
    }

    private static final long USUAL_DELAY = 20;

    final SplittableRandom chance;
    private final HeapQueue events = new HeapQueue();
    private final Set<Long> cuts = new HashSet<>();
    public double loss;
    public double doubled;
    public long longestDelay = USUAL_DELAY;
    long lastFault;

    Wires(long seed) {
        chance = new SplittableRandom(seed);
    }

    public final long now() {
        return events.now();
    }

    final void at(long time, Runnable act) {
        events.add(time, new Event() {
            @Override
            public void happen(long now) {
                act.run();
            }
        });
    }

    public final void until(long time) {
        boolean[] reached = {false};
        at(time, () -> reached[0] = true);
        while (!reached[0]) {
            Event event = events.poll();
            event.happen(events.now());
        }
    }

    public final void cut(int from, int to, boolean is) {
        if (is) {
            cuts.add((long) from << 32 | to);
        } else {
            cuts.remove((long) from << 32 | to);
        }
        faulty();
    }

    /** Two parts, by the bits of each place's number, that hear each other no more. */
    public final void part(int size, int bits) {
        for (int i = 0; i < size; i++) {
            for (int j = 0; j < size; j++) {
                cut(i, j, (bits >> i % 8 & 1) != (bits >> j % 8 & 1));
            }
        }
    }

    public void heal() {
        cuts.clear();
        loss = 0;
        doubled = 0;
        longestDelay = USUAL_DELAY;
        faulty();
    }

    final void faulty() {
        lastFault = now();
    }

    /** Something goes from one place to another: it comes, comes late, twice or not at all. */
    final void carry(int from, int to, Runnable arrives) {
        int copies = doubled > 0 && chance.nextDouble() < doubled ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            if (loss > 0 && chance.nextDouble() < loss || cuts.contains((long) from << 32 | to)) {
                continue;
            }
            at(now() + 1 + chance.nextLong(longestDelay), arrives);
        }
    }
}
