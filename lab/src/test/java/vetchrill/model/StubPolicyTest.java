package vetchrill.model;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import java.util.SplittableRandom;
import org.testng.annotations.Test;
import vetchrill.fleet.Fleet;
import vetchrill.fleet.Fleet.BalancingPolicy;
import vetchrill.fleet.Fleet.RetryPolicy;
import vetchrill.model.ClientRequest.Answer;

@Test
public class StubPolicyTest {
    private final boolean[] listed = {true, true, true};

    private StubPolicy policy(BalancingPolicy balancing, RetryPolicy retry, double followsRetryAfterRatio) {
        StubPolicy.InstanceDirectory directory = StubPolicy.InstanceDirectory.of(listed);
        return new StubPolicy(
                new Fleet.StubPool("p", 1, balancing, retry, 2, 0, 0, followsRetryAfterRatio, ""), 0, directory,
                new int[3], new SplittableRandom(1));
    }

    private static ClientRequest request(long subject) {
        return new ClientRequest(0, 0, subject, 1, 1, 0, 10_000);
    }

    private static final Fleet.Group READ = FleetSimulationTest.fleet(1, 1, "").groups.get(0);
    private static final Fleet.Group WRITE = new Fleet.Group("w", Fleet.Effect.MUTATING, 1, 1, 1, 0, 1, 1, 0, 1, 1, 0,
            0);

    public void sendsASubjectToOneInstanceWhileItIsListed() {
        StubPolicy policy = policy(BalancingPolicy.SUBJECT, RetryPolicy.NONE, 1);
        int first = policy.choose(request(77), 0);
        assertEquals(policy.choose(request(77), 0), first);
        listed[first] = false;
        assertNotEquals(policy.choose(request(77), 0), first);
        listed[first] = true;
    }

    public void doesNotRetryAMutatingExchangeThatMayHaveRun() {
        StubPolicy policy = policy(BalancingPolicy.ROUND, RetryPolicy.UNLIMITED, 0);
        ClientRequest request = request(1);
        policy.onSent(request, 0);
        assertEquals(policy.nextAttemptAt(request, WRITE, 0, Answer.RESET, 0, false, 5), -1);
        assertEquals(policy.nextAttemptAt(request, READ, 0, Answer.RESET, 0, false, 5), 5);
        assertEquals(policy.nextAttemptAt(request, WRITE, 0, Answer.DENIED, 0, false, 5), 5);
    }

    public void avoidsAnInstanceForTheRetryAfterDelay() {
        StubPolicy policy = policy(BalancingPolicy.SUBJECT, RetryPolicy.LIMITED, 1);
        ClientRequest request = request(77);
        int first = policy.choose(request, 0);
        policy.onSent(request, first);
        policy.nextAttemptAt(request, READ, first, Answer.DENIED, 500, false, 0);
        assertNotEquals(policy.choose(request(77), 499), first);
        assertEquals(policy.choose(request(77), 501), first);
    }

    public void stopsAfterTheMaximumOfAttempts() {
        StubPolicy policy = policy(BalancingPolicy.ROUND, RetryPolicy.LIMITED, 1);
        ClientRequest request = request(1);
        policy.onSent(request, 0);
        assertEquals(policy.nextAttemptAt(request, READ, 0, Answer.DENIED, 0, false, 0), 0);
        policy.onSent(request, 1);
        assertEquals(policy.nextAttemptAt(request, READ, 1, Answer.DENIED, 0, false, 0), -1);
    }
}
