package vetchrill.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;
import vetchrill.control.Exchange.Outcome;

/** The ordinary path of the design, and each exception that a bad day asked for. */
@Test
public class DecisionsTest {
    private static final long MS = Story.MS;
    private static final long SECOND = Story.SECOND;

    public void idleTimeHalvesPastTheThresholdAndReturnsInSteps() {
        Story s = new Story();
        s.connections = 10;
        s.cpu = 1;
        assertTrue(s.pass(200 * MS).containsAll(List.of("idle 50000", "idle 25000")));
        s.pass(2 * SECOND);
        s.cpu = 0.5;
        List<String> back = s.pass(300 * MS);
        assertTrue(back.containsAll(List.of("idle 2100", "idle 4100")), back.toString());
        assertTrue(s.pass(10 * SECOND).contains("idle 100000"));
    }

    public void connectionsAreScarceWhereCallersAreManyMoreThanTheCoresHaveUseFor() {
        Story s = new Story();
        s.told.callers = 500;
        s.cpu = 0.5;
        s.connections = 40;
        assertTrue(s.pass(100 * MS).contains("idle 50000"));
    }

    public void theBoundGrowsWhileCoresIdleAndStopsWhenRunsWantMoreThanThereAre() {
        Story s = new Story();
        s.cpu = 0.5;
        s.runnable = 2.4;
        s.pass(2 * SECOND);
        s.arrive(20, "ex", s.read);
        assertEquals(s.pass(400 * MS).stream().filter("begin ex"::equals).count(), 6);
        s.runnable = 20;
        assertFalse(s.pass(400 * MS).contains("begin ex"));
    }

    public void oldestFirstWhileAllCanMakeIt() {
        Story s = new Story();
        s.usualRuns(s.read, 3, 100 * MS);
        Exchange x = s.arrives("x", s.read);
        s.arrives("y", s.read);
        s.pass(10 * MS);
        s.arrives("first", s.read);
        s.pass(10 * MS);
        s.arrives("dear", s.once);
        s.completes(x);
        assertEquals(s.decide(), List.of("begin first"));
    }

    public void theLeastBenefitForCoreTimeGoesOnceTheHoldOutlastsTheSloTimes() {
        Story s = new Story();
        s.usualRuns(s.read, 3, 800 * MS);
        s.usualRuns(s.once, 3, 800 * MS);
        s.arrives("x", s.read);
        s.arrives("y", s.read);
        s.arrive(6, "cheap", s.read);
        s.arrives("dear", s.once);
        List<String> acts = s.decide();
        assertTrue(acts.contains("deny cheap") && !acts.contains("deny dear"), acts.toString());
    }

    public void trafficBeyondACustomersShareGivesWayFirst() {
        Story s = new Story();
        s.told.allowance = new double[] {1, 20};
        s.usualRuns(s.read, 3, 800 * MS);
        s.arrives("x", s.read);
        s.arrives("y", s.read);
        for (int i = 0; i < 3; i++) {
            s.arrives("beyond", s.read);
            Exchange within = s.exchange("within", s.read);
            within.customer = 1;
            s.controller().arrived(within, s.now);
        }
        List<String> acts = s.decide();
        assertTrue(acts.contains("deny beyond"), acts.toString());
        assertTrue(acts.lastIndexOf("deny beyond") < acts.indexOf("deny within") || !acts.contains("deny within"));
    }

    public void nothingIsDeniedWhileAllCanStartAtOnce() {
        Story s = new Story();
        s.usualRuns(s.read, 3, 5 * SECOND);
        s.arrives("other", s.read);
        s.decide();
        s.arrives("huge", s.read);
        assertTrue(s.decide().contains("begin huge"));
    }

    public void theTierBelowKeepsAShortHold() {
        for (boolean below : new boolean[] {false, true}) {
            Story s = new Story();
            s.told.below = below;
            s.usualRuns(s.read, 3, 500 * MS);
            s.arrive(2, "first", s.read);
            s.arrives("third", s.read);
            assertEquals(s.decide().contains("deny third"), below);
        }
    }

    public void aFailedCallIsLeftOutWhereThatStillEarns() {
        Story s = new Story();
        s.read.benefitWithoutCall = 0.6;
        Exchange a = s.arrives("a", s.read);
        s.decide();
        s.controller().wantsCall(a, s.now);
        assertEquals(s.decide(), List.of("call a"));
        s.controller().callEnded(a, Outcome.FULL, 0, s.now);
        assertTrue(s.pass(400 * MS).contains("leave out a"));
    }

    public void aCallThatCanNotBeLeftOutIsMadeUntilTheSloTimeHasPassed() {
        Story s = new Story();
        s.usualRuns(s.once, 3, 4 * SECOND);
        Exchange a = s.arrives("a", s.once);
        s.pass(1000 * MS);
        s.controller().wantsCall(a, s.now);
        assertEquals(s.decide(), List.of("call a"));
    }

    public void theCallersLeavingFreesOnlyWhatMayRunAgain() {
        Story s = new Story();
        s.told.preemption = Deployment.Preemption.PAUSE;
        Exchange a = s.arrives("a", s.read);
        Exchange b = s.arrives("b", s.post);
        s.decide();
        s.controller().callerLeft(a, s.now);
        s.controller().callerLeft(b, s.now);
        assertEquals(s.decide(), List.of("interrupt a"));
    }

    public void hungWorkTurnsTheHoldAwayAndHealthGoesBadForALimitedTime() {
        Story s = new Story();
        s.told.listFollowsHealth = true;
        s.usualRuns(s.read, 12, 100 * MS);
        Exchange a = s.arrives("a", s.read);
        s.arrives("b", s.read);
        s.arrives("waits", s.read);
        List<String> acts = s.pass(1600 * MS);
        assertTrue(acts.containsAll(List.of("deny waits", "ill")), acts.toString());
        assertTrue(s.pass(5 * SECOND).contains("well"));
        s.completes(a);
        s.pass(100 * MS);
        s.arrives("new", s.read);
        assertTrue(s.decide().contains("begin new"));
    }

    public void oneLongRunIsNoHungWork() {
        Story s = new Story();
        s.usualRuns(s.read, 3, 50 * MS);
        s.arrives("long", s.read);
        s.pass(1500 * MS);
        s.arrives("next", s.read);
        assertTrue(s.decide().contains("begin next"));
    }

    public void aServerWhoseRunsFailDeniesAllButAProbeUntilOneCompletes() {
        Story s = new Story();
        for (int i = 0; i < 5; i++) {
            Exchange bad = s.arrives("bad", s.read);
            s.decide();
            s.controller().finished(bad, Outcome.ERRORED, 10, s.now);
        }
        s.pass(100 * MS);
        Exchange probe = s.arrives("probe", s.read);
        s.arrives("once", s.once);
        assertEquals(s.decide(), List.of("deny once", "begin probe"));
        s.arrives("next", s.read);
        assertEquals(s.decide(), List.of("deny next"));
        s.completes(probe);
        s.pass(SECOND);
        s.completes(s.arrives("another", s.read));
        s.pass(SECOND);
        s.arrives("once", s.once);
        assertTrue(s.decide().contains("begin once"));
    }

    public void aPauseOfTheWholeProcessIsNoHungWork() {
        Story s = new Story();
        s.told.listFollowsHealth = true;
        s.usualRuns(s.read, 3, 100 * MS);
        s.arrives("a", s.read);
        s.arrives("b", s.read);
        s.arrives("waits", s.read);
        s.decide();
        s.now += SECOND;
        s.controller().gauges(1, 2, 0, s.now);
        assertFalse(s.decide().stream().anyMatch(act -> act.equals("ill") || act.startsWith("deny")));
    }

    public void healthGoesBadWhereWhatIsReadIsTooLateButNotWhereAllAreFull() {
        assertTrue(flood(10, 5 * SECOND, 0).contains("ill"));
        assertFalse(flood(60, 5 * SECOND, 0).contains("ill"));
    }

    /** Four seconds of arrivals that waited unread for so long, in the first half no longer than a second. */
    private static List<String> flood(int aSecond, long unread, int blocked) {
        Story s = new Story();
        List<String> acts = new ArrayList<>();
        s.told.listFollowsHealth = true;
        s.usualRuns(s.read, 3, 600 * MS);
        s.arrive(blocked, "endless", s.once);
        for (int i = 0; i < 4 * aSecond; i++) {
            long waited = i < 2 * aSecond ? Math.min(unread, SECOND) : i % 8 == 0 ? 0 : unread;
            Exchange ex = s.readAfter("ex", s.read, waited);
            acts.addAll(s.pass(SECOND / aSecond));
            if (ex.ran && !ex.over()) {
                s.completes(ex);
            }
        }
        return acts;
    }

    private static void thirtyReadLate(Story s, long unread) {
        for (int i = 0; i < 30; i++) {
            s.readAfter("ex", s.read, unread);
        }
    }

    public void badHealthEndsOnceTheCoresHaveCaughtUp() {
        Story s = new Story();
        s.told.listFollowsHealth = true;
        thirtyReadLate(s, 5 * SECOND);
        assertTrue(s.pass(100 * MS).contains("ill"));
        assertFalse(s.pass(SECOND).contains("well"));
        s.cpu = 0.3;
        assertTrue(s.pass(100 * MS).contains("well"));
    }

    public void aColdServerReadsTooLateSooner() {
        for (boolean cold : new boolean[] {false, true}) {
            Story s = new Story();
            s.told.listFollowsHealth = true;
            s.told.cold = cold;
            s.told.coldShare = 0.2;
            s.told.warmUp = 16 * SECOND;
            thirtyReadLate(s, 600 * MS);
            assertEquals(s.pass(100 * MS).contains("ill"), cold);
        }
    }

    public void aHugeExchangeIsNotHopelessBecauseSmallOnesWaitForDisk() {
        Story s = new Story();
        s.read.sloTime = 4 * SECOND;
        for (int i = 0; i < 8; i++) {
            Exchange ex = s.arrives("ex", s.read);
            ex.work = i < 4 ? 10 * MS : 400 * MS;
            s.pass(200 * MS + ex.work);
            s.completes(ex);
        }
        s.arrives("x", s.read).work = 10 * MS;
        s.arrives("y", s.read).work = 10 * MS;
        s.arrives("huge", s.read).work = SECOND;
        assertFalse(s.decide().contains("deny huge"));
    }

    public void runsGiveWayToReadingWhileExchangesWaitLongUnread() {
        Story s = new Story();
        thirtyReadLate(s, 2500 * MS);
        s.pass(300 * MS);
        s.arrives("a", s.once);
        s.arrives("b", s.once);
        List<String> acts = s.decide();
        assertTrue(acts.contains("begin a") && !acts.contains("begin b"), acts.toString());
    }

    public void callersAreAskedToGiveUpWhereReadingIsDearAndAlwaysOnceArrivalsAreUp() {
        assertEquals(forGood(flood(60, 200 * MS, 2)), 1, 0.2);
        assertTrue(forGood(flood(60, 2 * MS, 2)) < 0.2, "reading is cheap, let it go elsewhere");
        double some = forGood(flood(16, 100 * MS, 2));
        assertTrue(some > 0.2 && some < 0.8, "only this one is slow, but reading is dear: " + some);
    }

    /** Part of the denials for good, up to where the blocked cores count as hung. */
    private static double forGood(List<String> all) {
        List<String> acts = all.contains("ill") ? all.subList(0, all.indexOf("ill") - 12) : all;
        return (double) acts.stream().filter("deny for good ex"::equals).count()
                / acts.stream().filter(act -> act.startsWith("deny")).count();
    }

    public void markedFurtherTriesTellThatTheOthersAreFullToo() {
        assertTrue(askedToGiveUp(2) > 0.9);
        assertTrue(askedToGiveUp(50) < 0.2, "only this one is short");
    }

    private static double askedToGiveUp(int oneIn) {
        Story s = new Story();
        s.told.marksFurtherTries = true;
        for (int i = 0; i < 100; i++) {
            Exchange ex = s.exchange("ex", s.read);
            ex.furtherTry = i % oneIn == oneIn - 1;
            s.controller().arrived(ex, s.now);
        }
        return forGood(s.decide());
    }

    public void tokensFallToWhatIsOutWhenWorkIsDeniedAndGrowBack() {
        Story s = new Story();
        s.told.say = Deployment.Say.TOKENS;
        denySome(s);
        List<String> acts = s.pass(600 * MS);
        acts.removeIf(act -> !act.startsWith("say"));
        assertEquals(acts, List.of("say 2.0", "say 2.2", "say 2.4"));
    }

    public void theLeastRankRisesWhileWorkIsDenied() {
        Story s = new Story();
        s.told.say = Deployment.Say.LEAST_RANK;
        List<String> acts = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            denySome(s);
            acts.addAll(s.pass(100 * MS));
        }
        assertTrue(acts.contains("say 0.1"), acts.toString());
        assertTrue(s.pass(2 * SECOND).contains("say 0.0"));
    }

    private static void denySome(Story s) {
        s.read.onCore.add(600 * MS);
        s.arrive(10, "ex", s.read);
        assertTrue(s.decide().contains("deny ex"));
    }

    /** Told a second where the hold turns over in half of one, all callers were away while cores were idle. */
    public void aFullServerAsksToStayAwayForAsLongAsItsHoldTurnsOverAndALeavingOneForLonger() {
        Story s = new Story();
        s.usualRuns(s.read, 20, 200 * Story.MS);
        s.arrive(60, "one of many", s.read);
        s.decide();
        assertTrue(s.longestAwayAsked > 300 * Story.MS && s.longestAwayAsked <= 500 * Story.MS,
                "away " + s.longestAwayAsked);
        s.controller().leave(s.now + 4 * Story.SECOND, s.now);
        s.arrive(60, "one of many", s.read);
        s.decide();
        assertTrue(s.longestAwayAsked > 600 * Story.MS, "leaving " + s.longestAwayAsked);
    }

    /** A crowd that all come at once must not stop the decisions for everybody else. */
    public void denyingACrowdTakesTimeInProportionToIt() {
        Story s = new Story();
        s.told.memoryKb = 1e9;
        s.usualRuns(s.read, 20, 40 * Story.MS);
        s.usualRuns(s.once, 20, 90 * Story.MS);
        for (int i = 0; i < 4000; i++) {
            s.arrives("one of many", i % 3 == 0 ? s.once : s.read);
        }
        long since = System.nanoTime();
        long denied = s.decide().stream().filter(act -> act.startsWith("deny")).count();
        long took = (System.nanoTime() - since) / 1_000_000;
        assertTrue(denied > 3000, "denied " + denied);
        assertTrue(took < 1500, took + " ms");
    }
}
