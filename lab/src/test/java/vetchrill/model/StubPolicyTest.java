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

    private StubPolicy chooser(BalancingPolicy habit, RetryPolicy retry, double heed) {
        StubPolicy.InstanceDirectory roster = StubPolicy.InstanceDirectory.of(listed);
        return new StubPolicy(new Fleet.StubPool("p", 1, habit, retry, 2, 0, 0, heed, ""), 0, roster, new int[3],
                new SplittableRandom(1));
    }

    private static ClientRequest asking(long subject) {
        return new ClientRequest(0, 0, subject, 1, 1, 0, 10_000);
    }

    private static final Fleet.Group READ = FleetSimulationTest.fleet(1, 1, "").groups.get(0);
    private static final Fleet.Group WRITE = new Fleet.Group("w", Fleet.Effect.MUTATING, 1, 1, 1, 0, 1, 1, 0, 1, 1, 0,
            0);

    public void oneSubjectGoesToOneRelayUntilThatIsGone() {
        StubPolicy chooser = chooser(BalancingPolicy.SUBJECT, RetryPolicy.NONE, 1);
        int first = chooser.choose(asking(77), 0);
        assertEquals(chooser.choose(asking(77), 0), first);
        listed[first] = false;
        assertNotEquals(chooser.choose(asking(77), 0), first);
        listed[first] = true;
    }

    public void aMutatingExchangeThatMayHaveRunIsNotSentAgain() {
        StubPolicy chooser = chooser(BalancingPolicy.ROUND, RetryPolicy.UNLIMITED, 0);
        ClientRequest asking = asking(1);
        chooser.onSent(asking, 0);
        assertEquals(chooser.nextAttemptAt(asking, WRITE, 0, Answer.RESET, 0, false, 5), -1);
        assertEquals(chooser.nextAttemptAt(asking, READ, 0, Answer.RESET, 0, false, 5), 5);
        assertEquals(chooser.nextAttemptAt(asking, WRITE, 0, Answer.DENIED, 0, false, 5), 5);
    }

    public void whoeverHeedsAdviceKeepsAwayAsLongAsItSays() {
        StubPolicy chooser = chooser(BalancingPolicy.SUBJECT, RetryPolicy.LIMITED, 1);
        ClientRequest asking = asking(77);
        int first = chooser.choose(asking, 0);
        chooser.onSent(asking, first);
        chooser.nextAttemptAt(asking, READ, first, Answer.DENIED, 500, false, 0);
        assertNotEquals(chooser.choose(asking(77), 499), first);
        assertEquals(chooser.choose(asking(77), 501), first);
    }

    public void limitedRetriesEnd() {
        StubPolicy chooser = chooser(BalancingPolicy.ROUND, RetryPolicy.LIMITED, 1);
        ClientRequest asking = asking(1);
        chooser.onSent(asking, 0);
        assertEquals(chooser.nextAttemptAt(asking, READ, 0, Answer.DENIED, 0, false, 0), 0);
        chooser.onSent(asking, 1);
        assertEquals(chooser.nextAttemptAt(asking, READ, 1, Answer.DENIED, 0, false, 0), -1);
    }
}
