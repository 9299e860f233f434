package vetchrill.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;
import vetchrill.control.Exchange.Outcome;

/** The four rules of the service design, each of which an instance keeps on its own; and those of a lease. */
@Test
public class RulesTest {
    private static final long MS = ControllerScenario.MS;
    private static final long SECOND = ControllerScenario.SECOND;

    public void runThatNeverEndsIsAnsweredBeforeItsDeadline() {
        ControllerScenario scenario = new ControllerScenario();
        scenario.arrive("a", scenario.mutating);
        assertFalse(scenario.advance(5700 * MS).contains("terminate a"));
        assertTrue(scenario.advance(250 * MS).contains("terminate a"));
    }

    public void exchangeReadPastItsDeadlineIsAnsweredAtOnce() {
        ControllerScenario scenario = new ControllerScenario();
        scenario.arriveAfterReadDelay("late", scenario.repeatable, 7 * SECOND);
        assertTrue(scenario.decide().contains("reject late"));
    }

    public void answeredRunKeepsItsSlotUntilItEnds() {
        ControllerScenario scenario = new ControllerScenario();
        Exchange a = scenario.arrive("a", scenario.mutating);
        scenario.arrive("b", scenario.mutating);
        scenario.advance(6 * SECOND);
        scenario.arrive("c", scenario.mutating);
        assertFalse(scenario.decide().contains("begin c"));
        scenario.controller().onRunEnded(a, Outcome.PREEMPTED, 6 * SECOND, scenario.now);
        scenario.advance(100 * MS);
        scenario.arrive("d", scenario.mutating);
        assertTrue(scenario.decide().contains("begin d"));
    }

    public void repeatOfOneThatRanIsReplayedNeverRunOrRejected() {
        ControllerScenario scenario = new ControllerScenario();
        Exchange a = scenario.arrive("a", scenario.deduplicated);
        assertTrue(scenario.decide().containsAll(List.of("store key a", "begin a")));
        scenario.advance(100 * MS);
        scenario.complete(a);
        scenario.advance(10 * SECOND);
        scenario.repeat("again", a);
        assertEquals(scenario.decide(), List.of("replay again"));
    }

    public void repeatReadInTheSameBatchWaitsForTheOriginal() {
        ControllerScenario scenario = new ControllerScenario();
        Exchange a = scenario.arrive("a", scenario.deduplicated);
        scenario.repeat("again", a);
        List<String> actions = scenario.decide();
        assertTrue(actions.contains("replay again") && actions.contains("begin a"));
        assertFalse(actions.contains("begin again"));
    }

    public void rejectionBeforeTheStartDropsTheKeyAndTheRepeatRuns() {
        ControllerScenario scenario = new ControllerScenario();
        scenario.completeRuns(scenario.deduplicated, 3, 500 * MS);
        scenario.arrive("x", scenario.mutating);
        scenario.arrive("y", scenario.mutating);
        scenario.decide();
        Exchange a = scenario.arriveAfterReadDelay("a", scenario.deduplicated, 1900 * MS);
        List<String> actions = scenario.decide();
        assertTrue(actions.contains("reject a") && actions.contains("drop key a"), actions.toString());
        scenario.repeat("again", a);
        actions = scenario.decide();
        assertTrue(actions.contains("store key again") && !actions.contains("replay again"), actions.toString());
    }

    /**
     * Found by fuzzing: the next tick came after the stop, and a repeat is not in the pending queue, which is rejected
     * at once.
     */
    public void repeatThatArrivesJustBeforeTheStopIsAnsweredBeforeIt() {
        ControllerScenario scenario = new ControllerScenario();
        Exchange a = scenario.arrive("a", scenario.deduplicated);
        scenario.decide();
        scenario.controller().startDrain(scenario.now + 3 * SECOND, scenario.now);
        scenario.advance(2950 * MS);
        scenario.repeat("again", a);
        assertTrue(scenario.decide().contains("terminate again"));
    }

    public void droppedDeduplicatedRunIsNotStartedAgain() {
        ControllerScenario scenario = new ControllerScenario();
        scenario.deployment.preemption = Deployment.Preemption.DROP;
        Exchange a = scenario.arrive("a", scenario.deduplicated);
        scenario.decide();
        scenario.controller().onRunEnded(a, Outcome.PREEMPTED, 0, scenario.now);
        assertEquals(scenario.decide(), List.of("terminate a"));
    }

    public void callIsRetriedOnlyWhenItIsKnownNotToHaveRun() {
        ControllerScenario scenario = new ControllerScenario();
        Exchange a = scenario.arrive("a", scenario.mutating);
        Exchange b = scenario.arrive("b", scenario.mutating);
        scenario.decide();
        scenario.controller().onCallRequested(a, scenario.now);
        scenario.controller().onCallRequested(b, scenario.now);
        assertEquals(scenario.decide(), List.of("call a", "call b"));
        scenario.controller().onCallEnded(a, Outcome.CALLEE_SATURATED, 0, scenario.now);
        scenario.controller().onCallEnded(b, Outcome.CONNECTION_LOST, 0, scenario.now);
        List<String> actions = scenario.advance(500 * MS);
        assertTrue(actions.contains("call a") && actions.contains("terminate b"), actions.toString());
        assertFalse(actions.contains("call b"));
    }

    public void arrivalsPastTheDrainGraceAreNotRun() {
        ControllerScenario scenario = new ControllerScenario();
        scenario.controller().startDrain(scenario.now + 6 * SECOND, scenario.now);
        scenario.advance(1900 * MS);
        scenario.arrive("early", scenario.repeatable);
        assertTrue(scenario.decide().contains("begin early"));
        scenario.advance(200 * MS);
        scenario.arrive("late", scenario.repeatable);
        assertEquals(scenario.decide(), List.of("reject late"));
    }

    public void everyExchangeIsAnsweredBeforeTheStopUpToTheLastTick() {
        ControllerScenario scenario = new ControllerScenario();
        scenario.arrive("running", scenario.mutating);
        scenario.controller().startDrain(scenario.now + 3 * SECOND, scenario.now);
        assertTrue(scenario.advance(2950 * MS).contains("terminate running"));
        scenario.arrive("last", scenario.mutating);
        assertEquals(scenario.decide(), List.of("reject last"));
    }

    public void nothingStartsThatWouldExceedTheWatermark() {
        ControllerScenario scenario = new ControllerScenario();
        scenario.deployment.memoryKb = 1000;
        Exchange large = scenario.exchange("large", scenario.repeatable);
        large.sizeKb = 230;
        scenario.controller().onArrival(large, scenario.now);
        assertFalse(scenario.decide().contains("begin large"));
    }

    public void newWorkIsShedBeforeStoredKeysAreDropped() {
        ControllerScenario scenario = new ControllerScenario();
        scenario.deployment.memoryKb = 1000;
        for (int i = 0; i < 16; i++) {
            Exchange ex = scenario.arrive("kept", scenario.deduplicated);
            scenario.decide();
            scenario.advance(10 * MS);
            scenario.complete(ex);
        }
        scenario.repeatable.coreTime.add(MS);
        scenario.arriveMany(15, "new", scenario.repeatable);
        List<String> actions = scenario.decide();
        assertTrue(actions.contains("reject new"), actions.toString());
        assertFalse(actions.stream().anyMatch(action -> action.startsWith("drop key")));
    }

    public void coldInstanceRunsFewerUntilItIsWarm() {
        ControllerScenario scenario = new ControllerScenario();
        scenario.deployment.cores = 6;
        scenario.deployment.sustainableRunsPerCore = 2;
        scenario.deployment.startsCold = true;
        scenario.deployment.coldSpeedRatio = 0.2;
        scenario.deployment.warmUpTime = 10 * SECOND;
        scenario.arriveMany(6, "cold", scenario.repeatable);
        scenario.controller().onTick(1, 2, 0, scenario.now);
        assertEquals(scenario.decide().stream().filter("begin cold"::equals).count(), 5);
    }

    public void runsThatResumeTogetherArePreempted() {
        ControllerScenario scenario = new ControllerScenario();
        scenario.deployment.preemption = Deployment.Preemption.PAUSE;
        Exchange[] all = new Exchange[20];
        for (int i = 0; i < all.length; i++) {
            all[i] = scenario.arrive("ex", scenario.repeatable);
            scenario.decide();
            scenario.controller().onCallRequested(all[i], scenario.now);
            scenario.decide();
        }
        for (Exchange ex : all) {
            scenario.controller().onCallEnded(ex, Outcome.COMPLETED, 10, scenario.now);
        }
        assertTrue(scenario.decide().contains("interrupt ex"));
    }

    public void callsStayWithinThisInstancesQuotaOfASharedDependency() {
        ControllerScenario scenario = new ControllerScenario();
        scenario.deployment.sharedDependency = true;
        scenario.deployment.callQuota = 1;
        scenario.deployment.callQuotaWindow = 5 * SECOND;
        scenario.deployment.abandonedCallLinger = 200 * MS;
        Exchange a = scenario.arrive("a", scenario.repeatable);
        Exchange b = scenario.arrive("b", scenario.repeatable);
        scenario.decide();
        scenario.controller().onCallRequested(a, scenario.now);
        scenario.controller().onCallRequested(b, scenario.now);
        assertEquals(scenario.decide(), List.of("call a"));
        scenario.controller().onCallEnded(a, Outcome.TIMED_OUT, 10, scenario.now);
        assertFalse(scenario.decide().contains("call b"), "the abandoned call still loads the dependency");
        assertTrue(scenario.advance(300 * MS).contains("call b"));
    }

    /** Pending exchanges of an older version are not started any more; those of the present version are. */
    public void nothingStartsBelowTheMinVersion() {
        ControllerScenario scenario = new ControllerScenario();
        scenario.deployment.cores = 1;
        scenario.arrive("runs", scenario.repeatable);
        scenario.decide();
        scenario.arriveMany(3, "old", scenario.repeatable);
        scenario.controller().updateLease(2, 2, Long.MAX_VALUE, scenario.now);
        Exchange fresh = scenario.exchange("new", scenario.repeatable);
        fresh.version = 2;
        scenario.controller().onArrival(fresh, scenario.now);
        List<String> actions = scenario.decide();
        assertEquals(actions.stream().filter("reject old"::equals).count(), 3, actions.toString());
        assertFalse(actions.contains("begin old") || actions.contains("reject new"), actions.toString());
        assertTrue(scenario.longestRetryAfter > 0);
    }

    /** Without a lease arrivals are rejected with a retry-after delay and health is bad; a new lease restores both. */
    public void withoutALeaseNothingStartsAndHealthIsBad() {
        ControllerScenario scenario = new ControllerScenario();
        scenario.controller().updateLease(0, 0, scenario.now + SECOND, scenario.now);
        scenario.arrive("in time", scenario.repeatable);
        List<String> before = scenario.decide();
        assertTrue(before.contains("begin in time") && before.contains("healthy"), before.toString());
        assertTrue(scenario.advance(1200 * MS).contains("unhealthy"));
        scenario.arrive("late", scenario.mutating);
        assertTrue(scenario.decide().contains("reject late"));
        scenario.controller().updateLease(0, 0, scenario.now + SECOND, scenario.now);
        scenario.arrive("again", scenario.mutating);
        List<String> after = scenario.decide();
        assertTrue(after.contains("healthy") && after.contains("begin again"), after.toString());
    }
}
