package vetchrill.planner;

import java.util.List;
import vetchrill.model.Demand;

/** The first tries of a capture one by one; only what it does not tell of them is drawn. */
final class Replay extends Demand.Like {
    private final List<Known> known;

    Replay(Demand shape, List<Known> known) {
        super(shape);
        this.known = known;
    }

    @Override
    public List<Known> known() {
        return known;
    }
}
