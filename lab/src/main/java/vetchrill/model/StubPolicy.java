package vetchrill.model;

import java.util.SplittableRandom;
import vetchrill.fleet.Fleet.Effect;
import vetchrill.fleet.Fleet.Group;
import vetchrill.fleet.Fleet.BalancingPolicy;
import vetchrill.fleet.Fleet.StubPool;
import vetchrill.fleet.Fleet.RetryPolicy;
import vetchrill.model.ClientRequest.Answer;

/**
 * One client stub as its pool describes it: which relay it asks, and whether it asks again. It does no I/O and reads no
 * clock, and plays the same stub in the model and in the rig. Stubs are not ours to change: nothing in here is advice
 * on how a stub ought to behave.
 */
public final class StubPolicy {
    /** A relay that could not be reached is passed over for so long, in tenths of a millisecond. */
    private static final long UNREACHABLE_AVOIDANCE_TENTHS_MS = 10_000;

    /** Which relays the roster lists, as stubs know it. */
    public interface InstanceDirectory {
        int size();

        boolean isListed(int instance);

        /** By an array that whoever keeps the list goes on changing. */
        static InstanceDirectory of(boolean[] listed) {
            return new InstanceDirectory() {
                @Override
                public int size() {
                    return listed.length;
                }

                @Override
                public boolean isListed(int instance) {
                    return listed[instance];
                }
            };
        }
    }

    private final StubPool pool;
    private final InstanceDirectory directory;
    private final SplittableRandom random;
    private final boolean followsRetryAfter;
    private final long[] avoidUntil;
    private final int[] inFlight;
    /** Queues as last reported by the relays, shared by all stubs. */
    private final int[] reportedQueues;
    private int nextRoundRobin;
    /** Choices made, and those in which it was to keep away from all that it could choose from. */
    public long choices;
    public long choicesAllAvoided;

    /** {@code number} of {@code pool.count()}; the first of them heed advice, as many as the pool says. */
    public StubPolicy(StubPool pool, int indexInPool, InstanceDirectory directory, int[] reportedQueues,
            SplittableRandom random) {
        this.pool = pool;
        this.directory = directory;
        this.reportedQueues = reportedQueues;
        this.random = random;
        followsRetryAfter = indexInPool < Math.round(pool.followsRetryAfterRatio() * pool.count());
        avoidUntil = new long[directory.size()];
        inFlight = new int[directory.size()];
        nextRoundRobin = random.nextInt(Math.max(1, directory.size()));
    }

    /**
     * The relay for the next try; -1 where none is listed. Those it keeps away from are asked only if there is no
     * other.
     */
    public int choose(ClientRequest request, long now) {
        choices++;
        int n = directory.size();
        int start = switch (pool.balancing()) {
            case ROUND -> nextRoundRobin;
            case SUBJECT -> (int) Long.remainderUnsigned(mix(request.subject), n);
            default -> random.nextInt(n);
        };
        int chosen = pick(request, start, now);
        if (chosen < 0 && request.attemptedCount > 0) {
            // All that are listed were tried: from the start again.
            request.attemptedCount = 0;
            chosen = pick(request, start, now);
        }
        if (chosen >= 0 && pool.balancing() == BalancingPolicy.ROUND) {
            nextRoundRobin = (chosen + 1) % n;
        }
        return chosen;
    }

    private int pick(ClientRequest request, int start, long now) {
        int n = directory.size();
        int best = -1;
        int soonestAvailable = -1;
        for (int i = 0; i < n; i++) {
            int instance = start + i < n ? start + i : start + i - n;
            if (!directory.isListed(instance) || request.wasAttempted(instance)) {
                continue;
            }
            if (avoidUntil[instance] > now) {
                if (soonestAvailable < 0 || avoidUntil[instance] < avoidUntil[soonestAvailable]) {
                    soonestAvailable = instance;
                }
                continue;
            }
            if (pool.balancing() == BalancingPolicy.ROUND || pool.balancing() == BalancingPolicy.SUBJECT) {
                return instance;
            }
            int[] loads = pool.balancing() == BalancingPolicy.LEAST ? inFlight : reportedQueues;
            if (best < 0 || loads[instance] < loads[best]) {
                best = instance;
            }
        }
        choicesAllAvoided += best < 0 && soonestAvailable >= 0 ? 1 : 0;
        return best >= 0 ? best : soonestAvailable;
    }

    private static long mix(long value) {
        long mixed = (value ^ value >>> 33) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ mixed >>> 33) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ mixed >>> 33;
    }

    public void onSent(ClientRequest request, int instance) {
        request.recordAttempt(instance);
        inFlight[instance]++;
    }

    /**
     * A try is over: when the next may be sent, or -1 where there is none. {@code away} is the advice that came with a
     * denial, in tenths of a millisecond; {@code giveUp} its wish that no other relay be tried.
     */
    public long nextAttemptAt(ClientRequest request, Group group, int instance, Answer answer, long retryAfter,
            boolean doNotRetry, long now) {
        inFlight[instance]--;
        if (answer == Answer.DENIED && followsRetryAfter && retryAfter > 0) {
            avoidUntil[instance] = Math.max(avoidUntil[instance], now + retryAfter);
        } else if (answer == Answer.UNREACHABLE || answer == Answer.RESET) {
            avoidUntil[instance] = now + UNREACHABLE_AVOIDANCE_TENTHS_MS;
        }
        if (answer == Answer.COMPLETED || pool.retry() == RetryPolicy.NONE && answer != Answer.UNREACHABLE
                || doNotRetry && followsRetryAfter && answer == Answer.DENIED) {
            return -1;
        }
        boolean mayHaveRun = answer == Answer.TERMINATED || answer == Answer.RESET || answer == Answer.TIMED_OUT;
        if (mayHaveRun && group.effect() == Effect.MUTATING) {
            return -1;
        }
        if (pool.retry() == RetryPolicy.LIMITED && request.attempts >= pool.maxAttempts()) {
            return -1;
        }
        long next = now + pool.retryPause();
        return next < request.deadline ? next : -1;
    }

    /** When a single try is given up that is sent now. */
    public long attemptDeadline(ClientRequest request, long now) {
        return pool.attemptTimeout() > 0 ? Math.min(request.deadline, now + pool.attemptTimeout()) : request.deadline;
    }
}
