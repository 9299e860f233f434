package vetchrill.model;

import vetchrill.fleet.Fleet;
import vetchrill.fleet.Fleet.Pool;
import vetchrill.fleet.Fleet.Retry;
import vetchrill.model.Asking.Answer;

/**
 * What becomes of an asking at its stub, from the choice of a relay to the end of the last try: the same in the model
 * and in the rig. How a try travels, and what time it is, is up to those.
 */
public abstract class Stub {
    /** Where no relay is listed a stub looks again after so long, in tenths of a millisecond. */
    private static final long LOOK_AGAIN = 1_000;

    /** Among the stubs of all pools. */
    public final int number;
    public final int zone;
    protected final Chooser chooser;
    private final Fleet fleet;
    private final Pool pool;
    private final Tally tally;

    protected Stub(Fleet fleet, Pool pool, int number, Chooser chooser, Tally tally) {
        this.fleet = fleet;
        this.pool = pool;
        this.number = number;
        this.chooser = chooser;
        this.tally = tally;
        zone = fleet.zoneOf(pool, number);
    }

    /** One try is to go to a relay, and to be given up at {@code giveUpAt}. */
    protected abstract void go(Asking asking, int relay, long giveUpAt, long now);

    /** {@link #goOn} is to be called at a time. */
    protected abstract void later(Asking asking, long time);

    /** The end of an asking is known, whichever it is. */
    protected void ended(Asking asking, Answer answer, long now) {
        // Counted here; some want to know besides.
    }

    /** The next try, or the first. */
    public final void send(Asking asking, long now) {
        int chosen = chooser.choose(asking, now);
        if (chosen >= 0) {
            chooser.sent(asking, chosen);
            tally.tries(now);
            go(asking, chosen, chooser.giveUpAt(asking, now), now);
        } else if (now + LOOK_AGAIN < asking.until && pool.retry() != Retry.NONE) {
            later(asking, now + LOOK_AGAIN);
        } else {
            end(asking, Answer.UNREACHABLE, now);
        }
    }

    protected final void goOn(Asking asking, long now) {
        if (!asking.over) {
            send(asking, now);
        }
    }

    /** A try is over, of which this is called once. */
    protected final void tried(Asking asking, int relay, Answer answer, long away, boolean giveUp, long now) {
        if (answer == Answer.DENIED) {
            tally.denied(now);
        }
        long next = chooser.after(asking, fleet.groups.get(asking.group), relay, answer, away, giveUp, now);
        if (asking.over) {
            return;
        }
        if (next < 0) {
            end(asking, answer, now);
        } else if (next <= now) {
            send(asking, now);
        } else {
            later(asking, next);
        }
    }

    private void end(Asking asking, Answer answer, long now) {
        asking.over = true;
        tally.over(asking, answer, now);
        ended(asking, answer, now);
    }
}
