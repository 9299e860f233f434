package vetchrill.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.lang.ref.WeakReference;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;
import vetchrill.control.Exchange.Outcome;

/** Decisions of the controller in ordinary operation, and in the failure modes that need an exception from it. */
@Test
public class DecisionsTest {
    private static final long MS = ControllerScenario.MS;
    private static final long SECOND = ControllerScenario.SECOND;

    public void idleTimeHalvesPastTheThresholdAndRecoversInSteps() {
        ControllerScenario scenario = new ControllerScenario();
        scenario.connections = 10;
        scenario.cpu = 1;
        assertTrue(scenario.advance(200 * MS).containsAll(List.of("idle 50000", "idle 25000")));
        scenario.advance(2 * SECOND);
        scenario.cpu = 0.5;
        List<String> recovering = scenario.advance(300 * MS);
        assertTrue(recovering.containsAll(List.of("idle 2100", "idle 4100")), recovering.toString());
        assertTrue(scenario.advance(10 * SECOND).contains("idle 100000"));
    }

    public void connectionLimitFollowsTheCoresWhenCallersAreMany() {
        ControllerScenario scenario = new ControllerScenario();
        scenario.deployment.callerCount = 500;
        scenario.cpu = 0.5;
        scenario.connections = 40;
        assertTrue(scenario.advance(100 * MS).contains("idle 50000"));
    }

    public void runLimitGrowsWhileCoresIdleAndStopsWhenTheyAreSaturated() {
        ControllerScenario scenario = new ControllerScenario();
        scenario.cpu = 0.5;
        scenario.runnable = 2.4;
        scenario.advance(2 * SECOND);
        scenario.arriveMany(20, "ex", scenario.repeatable);
        assertEquals(scenario.advance(400 * MS).stream().filter("begin ex"::equals).count(), 6);
        scenario.runnable = 20;
        assertFalse(scenario.advance(400 * MS).contains("begin ex"));
    }

    public void oldestRunsFirstWhileAllCanMeetTheirSlo() {
        ControllerScenario scenario = new ControllerScenario();
        scenario.completeRuns(scenario.repeatable, 3, 100 * MS);
        Exchange x = scenario.arrive("x", scenario.repeatable);
        scenario.arrive("y", scenario.repeatable);
        scenario.advance(10 * MS);
        scenario.arrive("first", scenario.repeatable);
        scenario.advance(10 * MS);
        scenario.arrive("valuable", scenario.mutating);
        scenario.complete(x);
        assertEquals(scenario.decide(), List.of("begin first"));
    }

    public void lowestPriorityIsShedOnceThePendingQueueOutlastsTheSloTimes() {
        ControllerScenario scenario = new ControllerScenario();
        scenario.completeRuns(scenario.repeatable, 3, 800 * MS);
        scenario.completeRuns(scenario.mutating, 3, 800 * MS);
        scenario.arrive("x", scenario.repeatable);
        scenario.arrive("y", scenario.repeatable);
        scenario.arriveMany(6, "cheap", scenario.repeatable);
        scenario.arrive("valuable", scenario.mutating);
        List<String> actions = scenario.decide();
        assertTrue(actions.contains("reject cheap") && !actions.contains("reject valuable"), actions.toString());
    }

    public void trafficBeyondACustomersShareIsShedFirst() {
        ControllerScenario scenario = new ControllerScenario();
        scenario.deployment.allowancePerSecond = new double[] {1, 20};
        scenario.completeRuns(scenario.repeatable, 3, 800 * MS);
        scenario.arrive("x", scenario.repeatable);
        scenario.arrive("y", scenario.repeatable);
        for (int i = 0; i < 3; i++) {
            scenario.arrive("beyond", scenario.repeatable);
            Exchange within = scenario.exchange("within", scenario.repeatable);
            within.customer = 1;
            scenario.controller().onArrival(within, scenario.now);
        }
        List<String> actions = scenario.decide();
        assertTrue(actions.contains("reject beyond"), actions.toString());
        assertTrue(actions.lastIndexOf("reject beyond") < actions.indexOf("reject within")
                || !actions.contains("reject within"));
    }

    public void nothingIsRejectedWhileAllCanStartAtOnce() {
        ControllerScenario scenario = new ControllerScenario();
        scenario.completeRuns(scenario.repeatable, 3, 5 * SECOND);
        scenario.arrive("other", scenario.repeatable);
        scenario.decide();
        scenario.arrive("huge", scenario.repeatable);
        assertTrue(scenario.decide().contains("begin huge"));
    }

    public void backendTierKeepsAShortPendingQueue() {
        for (boolean backendTier : new boolean[] {false, true}) {
            ControllerScenario scenario = new ControllerScenario();
            scenario.deployment.backendTier = backendTier;
            scenario.completeRuns(scenario.repeatable, 3, 500 * MS);
            scenario.arriveMany(2, "first", scenario.repeatable);
            scenario.arrive("third", scenario.repeatable);
            assertEquals(scenario.decide().contains("reject third"), backendTier);
        }
    }

    public void failedCallIsSkippedWhereTheAnswerKeepsSomeBenefit() {
        ControllerScenario scenario = new ControllerScenario();
        scenario.repeatable.benefitWithoutCall = 0.6;
        Exchange a = scenario.arrive("a", scenario.repeatable);
        scenario.decide();
        scenario.controller().onCallRequested(a, scenario.now);
        assertEquals(scenario.decide(), List.of("call a"));
        scenario.controller().onCallEnded(a, Outcome.CALLEE_SATURATED, 0, scenario.now);
        assertTrue(scenario.advance(400 * MS).contains("skip call a"));
    }

    public void mandatoryCallIsMadeUntilTheSloTimeHasPassed() {
        ControllerScenario scenario = new ControllerScenario();
        scenario.completeRuns(scenario.mutating, 3, 4 * SECOND);
        Exchange a = scenario.arrive("a", scenario.mutating);
        scenario.advance(1000 * MS);
        scenario.controller().onCallRequested(a, scenario.now);
        assertEquals(scenario.decide(), List.of("call a"));
    }

    public void callerDisconnectInterruptsOnlyRepeatableRuns() {
        ControllerScenario scenario = new ControllerScenario();
        scenario.deployment.preemption = Deployment.Preemption.PAUSE;
        Exchange a = scenario.arrive("a", scenario.repeatable);
        Exchange b = scenario.arrive("b", scenario.deduplicated);
        scenario.decide();
        scenario.controller().onCallerDisconnected(a, scenario.now);
        scenario.controller().onCallerDisconnected(b, scenario.now);
        assertEquals(scenario.decide(), List.of("interrupt a"));
    }

    public void stuckRunsRejectPendingWorkAndMarkUnhealthyForALimitedTime() {
        ControllerScenario scenario = new ControllerScenario();
        scenario.deployment.discoveryFollowsHealth = true;
        scenario.completeRuns(scenario.repeatable, 12, 100 * MS);
        Exchange a = scenario.arrive("a", scenario.repeatable);
        scenario.arrive("b", scenario.repeatable);
        scenario.arrive("waits", scenario.repeatable);
        List<String> actions = scenario.advance(1600 * MS);
        assertTrue(actions.containsAll(List.of("reject waits", "unhealthy")), actions.toString());
        assertTrue(scenario.advance(5 * SECOND).contains("healthy"));
        scenario.complete(a);
        scenario.advance(100 * MS);
        scenario.arrive("new", scenario.repeatable);
        assertTrue(scenario.decide().contains("begin new"));
    }

    /** Guards against the time before the first tick being taken for a pause of the process, which hides stuck runs. */
    public void runStartedBeforeTheFirstTickMayCountAsStuck() {
        ControllerScenario scenario = new ControllerScenario();
        scenario.deployment.discoveryFollowsHealth = true;
        scenario.controller();
        scenario.now += 60 * SECOND;
        scenario.arrive("a", scenario.repeatable);
        List<String> actions = scenario.advance(6 * SECOND);
        assertTrue(actions.contains("unhealthy"), actions.toString());
    }

    public void oneLongRunDoesNotCountAsStuck() {
        ControllerScenario scenario = new ControllerScenario();
        scenario.completeRuns(scenario.repeatable, 3, 50 * MS);
        scenario.arrive("long", scenario.repeatable);
        scenario.advance(1500 * MS);
        scenario.arrive("next", scenario.repeatable);
        assertTrue(scenario.decide().contains("begin next"));
    }

    public void failingInstanceRejectsAllButAProbeUntilOneCompletes() {
        ControllerScenario scenario = new ControllerScenario();
        for (int i = 0; i < 5; i++) {
            Exchange bad = scenario.arrive("bad", scenario.repeatable);
            scenario.decide();
            scenario.controller().onRunEnded(bad, Outcome.ERRORED, 10, scenario.now);
        }
        scenario.advance(100 * MS);
        Exchange probe = scenario.arrive("probe", scenario.repeatable);
        scenario.arrive("once", scenario.mutating);
        assertEquals(scenario.decide(), List.of("reject once", "begin probe"));
        scenario.arrive("next", scenario.repeatable);
        assertEquals(scenario.decide(), List.of("reject next"));
        scenario.complete(probe);
        scenario.advance(SECOND);
        scenario.complete(scenario.arrive("another", scenario.repeatable));
        scenario.advance(SECOND);
        scenario.arrive("once", scenario.mutating);
        assertTrue(scenario.decide().contains("begin once"));
    }

    public void processPauseDoesNotCountAsStuck() {
        ControllerScenario scenario = new ControllerScenario();
        scenario.deployment.discoveryFollowsHealth = true;
        scenario.completeRuns(scenario.repeatable, 3, 100 * MS);
        scenario.arrive("a", scenario.repeatable);
        scenario.arrive("b", scenario.repeatable);
        scenario.arrive("waits", scenario.repeatable);
        scenario.decide();
        scenario.now += SECOND;
        scenario.controller().onTick(1, 2, 0, scenario.now);
        assertFalse(scenario.decide().stream()
                .anyMatch(action -> action.equals("unhealthy") || action.startsWith("reject")));
    }

    public void unhealthyWhenExchangesAreReadTooLateButNotWhenAllInstancesAreFull() {
        assertTrue(arriveForFourSeconds(10, 5 * SECOND, 0).contains("unhealthy"));
        assertFalse(arriveForFourSeconds(60, 5 * SECOND, 0).contains("unhealthy"));
    }

    /**
     * Four seconds of arrivals. In the first two seconds the read delay is at most a second; later each eighth arrival
     * has none. {@code blocked} runs never end.
     */
    private static List<String> arriveForFourSeconds(int perSecond, long readDelay, int blocked) {
        ControllerScenario scenario = new ControllerScenario();
        List<String> actions = new ArrayList<>();
        scenario.deployment.discoveryFollowsHealth = true;
        scenario.completeRuns(scenario.repeatable, 3, 600 * MS);
        scenario.arriveMany(blocked, "endless", scenario.mutating);
        for (int i = 0; i < 4 * perSecond; i++) {
            long exchangeReadDelay = i < 2 * perSecond ? Math.min(readDelay, SECOND) : i % 8 == 0 ? 0 : readDelay;
            Exchange ex = scenario.arriveAfterReadDelay("ex", scenario.repeatable, exchangeReadDelay);
            actions.addAll(scenario.advance(SECOND / perSecond));
            if (ex.everStarted && !ex.isFinished()) {
                scenario.complete(ex);
            }
        }
        return actions;
    }

    private static void arriveThirtyReadLate(ControllerScenario scenario, long readDelay) {
        for (int i = 0; i < 30; i++) {
            scenario.arriveAfterReadDelay("ex", scenario.repeatable, readDelay);
        }
    }

    public void unhealthyStateEndsOnceTheCoresHaveCaughtUp() {
        ControllerScenario scenario = new ControllerScenario();
        scenario.deployment.discoveryFollowsHealth = true;
        arriveThirtyReadLate(scenario, 5 * SECOND);
        assertTrue(scenario.advance(100 * MS).contains("unhealthy"));
        assertFalse(scenario.advance(SECOND).contains("healthy"));
        scenario.cpu = 0.3;
        assertTrue(scenario.advance(100 * MS).contains("healthy"));
    }

    public void coldInstanceTurnsUnhealthyAtAShorterReadDelay() {
        for (boolean cold : new boolean[] {false, true}) {
            ControllerScenario scenario = new ControllerScenario();
            scenario.deployment.discoveryFollowsHealth = true;
            scenario.deployment.startsCold = cold;
            scenario.deployment.coldSpeedRatio = 0.2;
            scenario.deployment.warmUpTime = 16 * SECOND;
            arriveThirtyReadLate(scenario, 600 * MS);
            assertEquals(scenario.advance(100 * MS).contains("unhealthy"), cold);
        }
    }

    public void hugeExchangeIsNotRejectedBecauseSmallOnesWaitForDisk() {
        ControllerScenario scenario = new ControllerScenario();
        scenario.repeatable.sloTime = 4 * SECOND;
        for (int i = 0; i < 8; i++) {
            Exchange ex = scenario.arrive("ex", scenario.repeatable);
            ex.declaredCoreTime = i < 4 ? 10 * MS : 400 * MS;
            scenario.advance(200 * MS + ex.declaredCoreTime);
            scenario.complete(ex);
        }
        scenario.arrive("x", scenario.repeatable).declaredCoreTime = 10 * MS;
        scenario.arrive("y", scenario.repeatable).declaredCoreTime = 10 * MS;
        scenario.arrive("huge", scenario.repeatable).declaredCoreTime = SECOND;
        assertFalse(scenario.decide().contains("reject huge"));
    }

    public void runLimitDropsWhileTheReadDelayIsLong() {
        ControllerScenario scenario = new ControllerScenario();
        arriveThirtyReadLate(scenario, 2500 * MS);
        scenario.advance(300 * MS);
        scenario.arrive("a", scenario.mutating);
        scenario.arrive("b", scenario.mutating);
        List<String> actions = scenario.decide();
        assertTrue(actions.contains("begin a") && !actions.contains("begin b"), actions.toString());
    }

    public void retriesAreForbiddenWhenReadingIsExpensiveAndAlwaysOnceArrivalsRise() {
        assertEquals(noRetryRatio(arriveForFourSeconds(60, 200 * MS, 2)), 1, 0.2);
        assertTrue(noRetryRatio(arriveForFourSeconds(60, 2 * MS, 2)) < 0.2,
                "reading is cheap: retries at other instances are allowed");
        double ratio = noRetryRatio(arriveForFourSeconds(16, 100 * MS, 2));
        assertTrue(ratio > 0.2 && ratio < 0.8, "only this instance is slow, but reading is expensive: " + ratio);
    }

    /** Share of the rejections that forbid a retry, up to shortly before the blocked runs count as stuck. */
    private static double noRetryRatio(List<String> all) {
        List<String> actions = all.contains("unhealthy") ? all.subList(0, all.indexOf("unhealthy") - 12) : all;
        return (double) actions.stream().filter("reject without retry ex"::equals).count()
                / actions.stream().filter(action -> action.startsWith("reject")).count();
    }

    public void manyMarkedRetriesMeanThatOtherInstancesAreFullToo() {
        assertTrue(noRetryRatioWithMarkedRetries(2) > 0.9);
        assertTrue(noRetryRatioWithMarkedRetries(50) < 0.2, "only this instance is full");
    }

    private static double noRetryRatioWithMarkedRetries(int retryEvery) {
        ControllerScenario scenario = new ControllerScenario();
        scenario.deployment.callersMarkRetries = true;
        for (int i = 0; i < 100; i++) {
            Exchange ex = scenario.exchange("ex", scenario.repeatable);
            ex.retry = i % retryEvery == retryEvery - 1;
            scenario.controller().onArrival(ex, scenario.now);
        }
        return noRetryRatio(scenario.decide());
    }

    public void tokensFallToTheOpenExchangesOnRejectionAndGrowBack() {
        ControllerScenario scenario = new ControllerScenario();
        scenario.deployment.loadHint = Deployment.LoadHint.TOKENS;
        rejectSome(scenario);
        List<String> actions = scenario.advance(600 * MS);
        actions.removeIf(action -> !action.startsWith("hint"));
        assertEquals(actions, List.of("hint 2.0", "hint 2.2", "hint 2.4"));
    }

    public void minRankRisesWhileWorkIsRejected() {
        ControllerScenario scenario = new ControllerScenario();
        scenario.deployment.loadHint = Deployment.LoadHint.MIN_RANK;
        List<String> actions = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            rejectSome(scenario);
            actions.addAll(scenario.advance(100 * MS));
        }
        assertTrue(actions.contains("hint 0.1"), actions.toString());
        assertTrue(scenario.advance(2 * SECOND).contains("hint 0.0"));
    }

    private static void rejectSome(ControllerScenario scenario) {
        scenario.repeatable.coreTime.add(600 * MS);
        scenario.arriveMany(10, "ex", scenario.repeatable);
        assertTrue(scenario.decide().contains("reject ex"));
    }

    /**
     * With a retry-after delay of a second, and a pending queue that turns over in half a second, all callers stayed
     * away while cores were idle.
     */
    public void retryAfterFollowsThePendingTurnoverAndIsLongerWhileDraining() {
        ControllerScenario scenario = new ControllerScenario();
        scenario.completeRuns(scenario.repeatable, 20, 200 * MS);
        scenario.arriveMany(60, "one of many", scenario.repeatable);
        scenario.decide();
        assertTrue(scenario.longestRetryAfter > 300 * MS && scenario.longestRetryAfter <= 500 * MS,
                "full: " + scenario.longestRetryAfter);
        scenario.controller().startDrain(scenario.now + 4 * SECOND, scenario.now);
        scenario.arriveMany(60, "one of many", scenario.repeatable);
        scenario.decide();
        assertTrue(scenario.longestRetryAfter > 600 * MS, "draining: " + scenario.longestRetryAfter);
    }

    /** Rejecting a large burst of arrivals must not hold up the decisions on all other exchanges. */
    public void rejectingABurstTakesTimeInProportionToItsSize() {
        ControllerScenario scenario = new ControllerScenario();
        scenario.deployment.memoryKb = 1e9;
        scenario.completeRuns(scenario.repeatable, 20, 40 * MS);
        scenario.completeRuns(scenario.mutating, 20, 90 * MS);
        for (int i = 0; i < 4000; i++) {
            scenario.arrive("one of many", i % 3 == 0 ? scenario.mutating : scenario.repeatable);
        }
        long startNanos = System.nanoTime();
        long rejected = scenario.decide().stream().filter(action -> action.startsWith("reject")).count();
        long elapsedMs = (System.nanoTime() - startNanos) / 1_000_000;
        assertTrue(rejected > 3000, "rejected " + rejected);
        assertTrue(elapsedMs < 1500, elapsedMs + " ms");
    }

    /** Guards against a heap full of the bodies of exchanges that have ended, in windows of any length. */
    public void exchangeThatHasEndedIsNotRetainedWithItsKey() throws InterruptedException {
        ControllerScenario scenario = new ControllerScenario();
        List<WeakReference<Exchange>> ended = endedExchangesWithKeys(scenario);
        assertEquals(ended.size(), 40);
        for (int i = 0; i < 50 && ended.stream().anyMatch(each -> each.get() != null); i++) {
            System.gc();
            Thread.sleep(20);
        }
        assertEquals(ended.stream().filter(each -> each.get() != null).count(), 0);
        scenario.arrive("later", scenario.deduplicated);
        assertTrue(scenario.decide().contains("store key later"), "the controller is still in use");
    }

    /** Twenty exchanges that ran, then twenty that were rejected after their keys had been stored. */
    private static List<WeakReference<Exchange>> endedExchangesWithKeys(ControllerScenario scenario) {
        List<WeakReference<Exchange>> ended = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            Exchange ex = scenario.arrive("run", scenario.deduplicated);
            assertTrue(scenario.decide().contains("begin run"));
            scenario.complete(ex);
            scenario.decide();
            ended.add(new WeakReference<>(ex));
        }
        scenario.controller().startDrain(scenario.now + 60 * SECOND, scenario.now - 60 * SECOND);
        for (int i = 0; i < 20; i++) {
            Exchange ex = scenario.arrive("late", scenario.deduplicated);
            List<String> actions = scenario.decide();
            assertTrue(actions.containsAll(List.of("store key late", "reject late", "drop key late")), "" + actions);
            ended.add(new WeakReference<>(ex));
        }
        return ended;
    }
}
