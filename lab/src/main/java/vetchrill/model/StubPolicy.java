package vetchrill.model;

import java.util.SplittableRandom;
import vetchrill.fleet.Fleet.Effect;
import vetchrill.fleet.Fleet.Group;
import vetchrill.fleet.Fleet.BalancingPolicy;
import vetchrill.fleet.Fleet.StubPool;
import vetchrill.fleet.Fleet.RetryPolicy;
import vetchrill.model.ClientRequest.Answer;

/**
 * The behaviour of one client stub as its pool describes it: which instance it chooses and whether it retries. It does
 * no I/O and reads no clock, so the simulation and the test rig share it. It models stubs as they are, since they are
 * not part of this project, and not as they should be.
 */
public final class StubPolicy {
    /** For how long an instance that was unreachable or reset the connection is avoided. */
    private static final long UNREACHABLE_AVOIDANCE_TENTHS_MS = 10_000;

    /** The instances that are listed, as stubs see them. */
    public interface InstanceDirectory {
        int size();

        boolean isListed(int instance);

        /** Returns a view of an array that its owner continues to update. */
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
    /** By instance: until when it is avoided, and attempts of this stub in flight. */
    private final long[] avoidUntil;
    private final int[] inFlight;
    /** By instance: open exchanges as last reported; shared by all stubs. */
    private final int[] reportedQueues;
    private int nextRoundRobin;
    /** Choices made, and those in which all candidates were to be avoided. */
    public long choices;
    public long choicesAllAvoided;

    /**
     * Creates the policy of one stub.
     *
     * @param indexInPool from 0 to {@code pool.count()}, exclusive; the stubs that follow retry-after delays are the
     *     first ones
     */
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
     * Returns the instance for the next attempt, or -1 if none is listed. An instance to be avoided is chosen only if
     * there is no other.
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
            // All listed instances were attempted: start again.
            request.attemptedCount = 0;
            chosen = pick(request, start, now);
        }
        if (chosen >= 0 && pool.balancing() == BalancingPolicy.ROUND) {
            nextRoundRobin = (chosen + 1) % n;
        }
        return chosen;
    }

    /** Returns the best listed instance not attempted yet, searching from {@code start}; -1 if there is none. */
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

    /** The finalizer of MurmurHash3. */
    private static long mix(long value) {
        long mixed = (value ^ value >>> 33) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ mixed >>> 33) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ mixed >>> 33;
    }

    /** An attempt was sent. */
    public void onSent(ClientRequest request, int instance) {
        request.recordAttempt(instance);
        inFlight[instance]++;
    }

    /**
     * Records the end of an attempt and returns when the next one may be sent, or -1 if there is none.
     *
     * @param retryAfter the retry-after delay of a denial, in tenths of a millisecond; 0 for none
     * @param doNotRetry whether the denial asks not to retry at another instance either
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

    /** Returns when an attempt that is sent now times out. */
    public long attemptDeadline(ClientRequest request, long now) {
        return pool.attemptTimeout() > 0 ? Math.min(request.deadline, now + pool.attemptTimeout()) : request.deadline;
    }
}
