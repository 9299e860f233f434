package vetchrill.planner;

import java.util.List;
import java.util.SplittableRandom;
import vetchrill.model.Demand;

/** The first tries of a capture one by one; only what it does not tell of them is drawn. */
final class Replay implements Demand {
    private final Captured shape;
    private final List<Known> known;

    Replay(Captured shape, List<Known> known) {
        this.shape = shape;
        this.known = known;
    }

    @Override
    public List<Known> known() {
        return known;
    }

    @Override
    public double rate(long at) {
        return shape.rate(at);
    }

    @Override
    public double peak() {
        return shape.peak();
    }

    @Override
    public double work(int group, SplittableRandom chance) {
        return shape.work(group, chance);
    }

    @Override
    public int group(SplittableRandom chance) {
        return shape.group(chance);
    }

    @Override
    public int customer(SplittableRandom chance) {
        return shape.customer(chance);
    }

    @Override
    public long subject(SplittableRandom chance) {
        return shape.subject(chance);
    }

    @Override
    public double kb(int group, SplittableRandom chance) {
        return shape.kb(group, chance);
    }

    @Override
    public int bytes(int group, SplittableRandom chance) {
        return shape.bytes(group, chance);
    }
}
