package vetchrill.model;

import java.util.SplittableRandom;
import vetchrill.fleet.Fleet.Effect;
import vetchrill.fleet.Fleet.Group;
import vetchrill.fleet.Fleet.Habit;
import vetchrill.fleet.Fleet.Pool;
import vetchrill.fleet.Fleet.Retry;
import vetchrill.model.Asking.Answer;

/**
 * One client stub as its pool describes it: which relay it asks, and whether it asks again. It does no I/O and reads no
 * clock, and plays the same stub in the model and in the rig. Stubs are not ours to change: nothing in here is advice
 * on how a stub ought to behave.
 */
public final class Chooser {
    /** A relay that could not be reached is passed over for so long, in tenths of a millisecond. */
    private static final long UNREACHABLE = 10_000;

    /** Which relays the roster lists, as stubs know it. */
    public interface Roster {
        int size();

        boolean listed(int relay);

        /** By an array that whoever keeps the list goes on changing. */
        static Roster of(boolean[] listed) {
            return new Roster() {
                @Override
                public int size() {
                    return listed.length;
                }

                @Override
                public boolean listed(int relay) {
                    return listed[relay];
                }
            };
        }
    }

    private final Pool pool;
    private final Roster roster;
    private final SplittableRandom chance;
    private final boolean heeds;
    private final long[] awayUntil;
    private final int[] inFlight;
    /** Queues as last reported by the relays, shared by all stubs. */
    private final int[] reported;
    private int turn;
    /** Choices made, and those in which it was to keep away from all that it could choose from. */
    public long choices;
    public long kept;

    /** {@code number} of {@code pool.count()}; the first of them heed advice, as many as the pool says. */
    public Chooser(Pool pool, int number, Roster roster, int[] reported, SplittableRandom chance) {
        this.pool = pool;
        this.roster = roster;
        this.reported = reported;
        this.chance = chance;
        heeds = number < Math.round(pool.heed() * pool.count());
        awayUntil = new long[roster.size()];
        inFlight = new int[roster.size()];
        turn = chance.nextInt(Math.max(1, roster.size()));
    }

    /**
     * The relay for the next try; -1 where none is listed. Those it keeps away from are asked only if there is no
     * other.
     */
    public int choose(Asking asking, long now) {
        choices++;
        int n = roster.size();
        int start = switch (pool.habit()) {
            case ROUND -> turn;
            case SUBJECT -> (int) Long.remainderUnsigned(mix(asking.subject), n);
            default -> chance.nextInt(n);
        };
        int chosen = pick(asking, start, now);
        if (chosen < 0 && asking.triedCount > 0) {
            // All that are listed were tried: from the start again.
            asking.triedCount = 0;
            chosen = pick(asking, start, now);
        }
        if (chosen >= 0 && pool.habit() == Habit.ROUND) {
            turn = (chosen + 1) % n;
        }
        return chosen;
    }

    private int pick(Asking asking, int start, long now) {
        int n = roster.size();
        int best = -1;
        int soonest = -1;
        for (int i = 0; i < n; i++) {
            int relay = start + i < n ? start + i : start + i - n;
            if (!roster.listed(relay) || asking.hasTried(relay)) {
                continue;
            }
            if (awayUntil[relay] > now) {
                if (soonest < 0 || awayUntil[relay] < awayUntil[soonest]) {
                    soonest = relay;
                }
                continue;
            }
            if (pool.habit() == Habit.ROUND || pool.habit() == Habit.SUBJECT) {
                return relay;
            }
            int[] weights = pool.habit() == Habit.LEAST ? inFlight : reported;
            if (best < 0 || weights[relay] < weights[best]) {
                best = relay;
            }
        }
        kept += best < 0 && soonest >= 0 ? 1 : 0;
        return best >= 0 ? best : soonest;
    }

    private static long mix(long value) {
        long mixed = (value ^ value >>> 33) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ mixed >>> 33) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ mixed >>> 33;
    }

    public void sent(Asking asking, int relay) {
        asking.noteTried(relay);
        inFlight[relay]++;
    }

    /**
     * A try is over: when the next may be sent, or -1 where there is none. {@code away} is the advice that came with a
     * denial, in tenths of a millisecond; {@code giveUp} its wish that no other relay be tried.
     */
    public long after(Asking asking, Group group, int relay, Answer answer, long away, boolean giveUp, long now) {
        inFlight[relay]--;
        if (answer == Answer.DENIED && heeds && away > 0) {
            awayUntil[relay] = Math.max(awayUntil[relay], now + away);
        } else if (answer == Answer.UNREACHABLE || answer == Answer.RESET) {
            awayUntil[relay] = now + UNREACHABLE;
        }
        if (answer == Answer.COMPLETED || pool.retry() == Retry.NONE && answer != Answer.UNREACHABLE
                || giveUp && heeds && answer == Answer.DENIED) {
            return -1;
        }
        boolean mayHaveRun = answer == Answer.TERMINATED || answer == Answer.RESET || answer == Answer.TIMED_OUT;
        if (mayHaveRun && group.effect() == Effect.MUTATING) {
            return -1;
        }
        if (pool.retry() == Retry.LIMITED && asking.tries >= pool.tries()) {
            return -1;
        }
        long next = now + pool.pause();
        return next < asking.until ? next : -1;
    }

    /** When a single try is given up that is sent now. */
    public long giveUpAt(Asking asking, long now) {
        return pool.tryTimeout() > 0 ? Math.min(asking.until, now + pool.tryTimeout()) : asking.until;
    }
}
