package vetchrill.model;

import vetchrill.fleet.Fleet;
import vetchrill.fleet.Fleet.StubPool;
import vetchrill.fleet.Fleet.RetryPolicy;
import vetchrill.model.ClientRequest.Answer;

/**
 * A client stub: it sends attempts of a request until the request has ended. The simulation and the test rig share it
 * and provide the transport and the clock.
 */
public abstract class ClientStub {
    /** Time until the next attempt while no instance is listed. */
    private static final long NO_INSTANCE_RETRY_TENTHS_MS = 1_000;

    /** Its number among the stubs of all pools. */
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

    /** Sends one attempt to an instance; it times out at {@code attemptDeadline}. */
    protected abstract void sendAttempt(ClientRequest request, int instance, long attemptDeadline, long now);

    /** Schedules a call of {@link #retry}. */
    protected abstract void scheduleRetry(ClientRequest request, long time);

    /** Called once the outcome of a request is known. */
    protected void onFinished(ClientRequest request, Answer answer, long now) {
        // The statistics are updated already; subclasses may do more.
    }

    /** Sends the first or the next attempt of a request. */
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

    /** Sends the next attempt unless the request has ended. */
    protected final void retry(ClientRequest request, long now) {
        if (!request.finished) {
            send(request, now);
        }
    }

    /** Called once for each attempt, when it has ended. */
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
