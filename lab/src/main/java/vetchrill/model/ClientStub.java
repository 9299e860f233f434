package vetchrill.model;

import vetchrill.fleet.Fleet;
import vetchrill.fleet.Fleet.StubPool;
import vetchrill.fleet.Fleet.RetryPolicy;
import vetchrill.model.ClientRequest.Answer;

/**
 * What becomes of an asking at its stub, from the choice of a relay to the end of the last try: the same in the model
 * and in the rig. How a try travels, and what time it is, is up to those.
 */
public abstract class ClientStub {
    /** Where no relay is listed a stub looks again after so long, in tenths of a millisecond. */
    private static final long NO_INSTANCE_RETRY_TENTHS_MS = 1_000;

    /** Among the stubs of all pools. */
    public final int number;
    public final int zone;
    protected final StubPolicy policy;
    private final Fleet fleet;
    private final StubPool pool;
    private final ServiceStatistics statistics;

    protected ClientStub(Fleet fleet, StubPool pool, int number, StubPolicy policy, ServiceStatistics statistics) {
        this.fleet = fleet;
        this.pool = pool;
        this.number = number;
        this.policy = policy;
        this.statistics = statistics;
        zone = fleet.zoneIndexOf(pool, number);
    }

    /** One try is to go to a relay, and to be given up at {@code giveUpAt}. */
    protected abstract void sendAttempt(ClientRequest request, int instance, long attemptDeadline, long now);

    /** {@link #retry} is to be called at a time. */
    protected abstract void scheduleRetry(ClientRequest request, long time);

    /** The end of an asking is known, whichever it is. */
    protected void onFinished(ClientRequest request, Answer answer, long now) {
        // Counted here; some want to know besides.
    }

    /** The next try, or the first. */
    public final void send(ClientRequest request, long now) {
        int instance = policy.choose(request, now);
        if (instance >= 0) {
            policy.onSent(request, instance);
            statistics.onAttempt(now);
            sendAttempt(request, instance, policy.attemptDeadline(request, now), now);
        } else if (now + NO_INSTANCE_RETRY_TENTHS_MS < request.deadline && pool.retry() != RetryPolicy.NONE) {
            scheduleRetry(request, now + NO_INSTANCE_RETRY_TENTHS_MS);
        } else {
            finish(request, Answer.UNREACHABLE, now);
        }
    }

    protected final void retry(ClientRequest request, long now) {
        if (!request.finished) {
            send(request, now);
        }
    }

    /** A try is over, of which this is called once. */
    protected final void attemptEnded(ClientRequest request, int instance, Answer answer, long retryAfter,
            boolean doNotRetry, long now) {
        if (answer == Answer.DENIED) {
            statistics.onDenial(now);
        }
        long next = policy.nextAttemptAt(request, fleet.groups.get(request.group), instance, answer, retryAfter,
                doNotRetry, now);
        if (request.finished) {
            return;
        }
        if (next < 0) {
            finish(request, answer, now);
        } else if (next <= now) {
            send(request, now);
        } else {
            scheduleRetry(request, next);
        }
    }

    private void finish(ClientRequest request, Answer answer, long now) {
        request.finished = true;
        statistics.onFinished(request, answer, now);
        onFinished(request, answer, now);
    }
}
