package vetchrill.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;
import vetchrill.control.Exchange.Outcome;

/** The four rules, each kept by one instance on its own. */
@Test
public class RulesTest {
    private static final long MS = Story.MS;
    private static final long SECOND = Story.SECOND;

    public void workThatNeverEndsIsAnsweredBeforeItsDueTime() {
        Story s = new Story();
        s.arrives("a", s.once);
        assertFalse(s.pass(5700 * MS).contains("terminate a"));
        assertTrue(s.pass(250 * MS).contains("terminate a"));
    }

    public void whatIsReadPastItsDueTimeIsAnsweredAtOnce() {
        Story s = new Story();
        s.readAfter("late", s.read, 7 * SECOND);
        assertTrue(s.decide().contains("deny late"));
    }

    public void anAnsweredRunKeepsItsSlotUntilItIsOver() {
        Story s = new Story();
        Exchange a = s.arrives("a", s.once);
        s.arrives("b", s.once);
        s.pass(6 * SECOND);
        s.arrives("c", s.once);
        assertFalse(s.decide().contains("begin c"));
        s.controller().finished(a, Outcome.STOPPED, 6 * SECOND, s.now);
        s.pass(100 * MS);
        s.arrives("d", s.once);
        assertTrue(s.decide().contains("begin d"));
    }

    public void repeatOfOneThatRanIsReplayedNeverRunOrDenied() {
        Story s = new Story();
        Exchange a = s.arrives("a", s.post);
        assertTrue(s.decide().containsAll(List.of("remember a", "begin a")));
        s.pass(100 * MS);
        s.completes(a);
        s.pass(10 * SECOND);
        s.repeats("again", a);
        assertEquals(s.decide(), List.of("replay again"));
    }

    public void repeatReadInTheSameBatchWaitsForTheFirst() {
        Story s = new Story();
        Exchange a = s.arrives("a", s.post);
        s.repeats("again", a);
        List<String> acts = s.decide();
        assertTrue(acts.contains("replay again") && acts.contains("begin a"));
        assertFalse(acts.contains("begin again"));
    }

    public void deniedBeforeItRanLeavesNoTraceAndItsRepeatRuns() {
        Story s = new Story();
        s.usualRuns(s.post, 3, 500 * MS);
        s.arrives("x", s.once);
        s.arrives("y", s.once);
        s.decide();
        Exchange a = s.readAfter("a", s.post, 1900 * MS);
        List<String> acts = s.decide();
        assertTrue(acts.contains("deny a") && acts.contains("forget a"), acts.toString());
        s.repeats("again", a);
        acts = s.decide();
        assertTrue(acts.contains("remember again") && !acts.contains("replay again"), acts.toString());
    }

    /** Found by fuzzing: the next look came after the stop, and a repeat is not in the hold that is denied at once. */
    public void aRepeatThatComesJustBeforeTheStopIsAnsweredBeforeIt() {
        Story s = new Story();
        Exchange a = s.arrives("a", s.post);
        s.decide();
        s.controller().leave(s.now + 3 * SECOND, s.now);
        s.pass(2950 * MS);
        s.repeats("again", a);
        assertTrue(s.decide().contains("terminate again"));
    }

    public void aDeduplicatedRunThatWasDroppedIsNotBegunAgain() {
        Story s = new Story();
        s.told.preemption = Deployment.Preemption.DROP;
        Exchange a = s.arrives("a", s.post);
        s.decide();
        s.controller().finished(a, Outcome.STOPPED, 0, s.now);
        assertEquals(s.decide(), List.of("terminate a"));
    }

    public void aCallIsRepeatedOnlyWhenItIsKnownNotToHaveRun() {
        Story s = new Story();
        Exchange a = s.arrives("a", s.once);
        Exchange b = s.arrives("b", s.once);
        s.decide();
        s.controller().wantsCall(a, s.now);
        s.controller().wantsCall(b, s.now);
        assertEquals(s.decide(), List.of("call a", "call b"));
        s.controller().callEnded(a, Outcome.FULL, 0, s.now);
        s.controller().callEnded(b, Outcome.CUT_OFF, 0, s.now);
        List<String> acts = s.pass(500 * MS);
        assertTrue(acts.contains("call a") && acts.contains("terminate b"), acts.toString());
        assertFalse(acts.contains("call b"));
    }

    public void nothingThatArrivesPastTheGraceIsRun() {
        Story s = new Story();
        s.controller().leave(s.now + 6 * SECOND, s.now);
        s.pass(1900 * MS);
        s.arrives("early", s.read);
        assertTrue(s.decide().contains("begin early"));
        s.pass(200 * MS);
        s.arrives("late", s.read);
        assertEquals(s.decide(), List.of("deny late"));
    }

    public void allThatIsReadIsAnsweredBeforeTheStopUpToTheLastTick() {
        Story s = new Story();
        s.arrives("running", s.once);
        s.controller().leave(s.now + 3 * SECOND, s.now);
        assertTrue(s.pass(2950 * MS).contains("terminate running"));
        s.arrives("last", s.once);
        assertEquals(s.decide(), List.of("deny last"));
    }

    public void nothingStartsThatWouldPassTheWatermark() {
        Story s = new Story();
        s.told.memoryKb = 1000;
        Exchange large = s.exchange("large", s.read);
        large.kb = 230;
        s.controller().arrived(large, s.now);
        assertFalse(s.decide().contains("begin large"));
    }

    public void newWorkGivesWayToRememberedKeys() {
        Story s = new Story();
        s.told.memoryKb = 1000;
        for (int i = 0; i < 16; i++) {
            Exchange ex = s.arrives("kept", s.post);
            s.decide();
            s.pass(10 * MS);
            s.completes(ex);
        }
        s.read.onCore.add(MS);
        s.arrive(15, "new", s.read);
        List<String> acts = s.decide();
        assertTrue(acts.contains("deny new"), acts.toString());
        assertFalse(acts.stream().anyMatch(act -> act.startsWith("forget")));
    }

    public void aColdInstanceRunsFewerUntilItIsWarm() {
        Story s = new Story();
        s.told.cores = 6;
        s.told.crowdPerCore = 2;
        s.told.cold = true;
        s.told.coldShare = 0.2;
        s.told.warmUp = 10 * SECOND;
        s.arrive(6, "cold", s.read);
        s.controller().gauges(1, 2, 0, s.now);
        assertEquals(s.decide().stream().filter("begin cold"::equals).count(), 5);
    }

    public void callsThatReturnTogetherAreTakenOffTheCores() {
        Story s = new Story();
        s.told.preemption = Deployment.Preemption.PAUSE;
        Exchange[] all = new Exchange[20];
        for (int i = 0; i < all.length; i++) {
            all[i] = s.arrives("ex", s.read);
            s.decide();
            s.controller().wantsCall(all[i], s.now);
            s.decide();
        }
        for (Exchange ex : all) {
            s.controller().callEnded(ex, Outcome.COMPLETED, 10, s.now);
        }
        assertTrue(s.decide().contains("interrupt ex"));
    }

    public void callsKeepToThisInstancesPartOfASharedDependency() {
        Story s = new Story();
        s.told.callsShared = true;
        s.told.callsOut = 1;
        s.told.callsWindow = 5 * SECOND;
        s.told.callLingers = 200 * MS;
        Exchange a = s.arrives("a", s.read);
        Exchange b = s.arrives("b", s.read);
        s.decide();
        s.controller().wantsCall(a, s.now);
        s.controller().wantsCall(b, s.now);
        assertEquals(s.decide(), List.of("call a"));
        s.controller().callEnded(a, Outcome.GIVEN_UP, 10, s.now);
        assertFalse(s.decide().contains("call b"), "the given-up call still lingers below");
        assertTrue(s.pass(300 * MS).contains("call b"));
    }

    /** What waits for its turn under an older version is not begun any more, what came under a newer one is. */
    public void nothingIsBegunUnderAFloor() {
        Story s = new Story();
        s.told.cores = 1;
        s.arrives("runs", s.read);
        s.decide();
        s.arrive(3, "old", s.read);
        s.controller().leased(2, 2, Long.MAX_VALUE, s.now);
        Exchange fresh = s.exchange("new", s.read);
        fresh.version = 2;
        s.controller().arrived(fresh, s.now);
        List<String> acts = s.decide();
        assertEquals(acts.stream().filter("deny old"::equals).count(), 3, acts.toString());
        assertFalse(acts.contains("begin old") || acts.contains("deny new"), acts.toString());
        assertTrue(s.longestAwayAsked > 0);
    }

    /** A lease runs out without a word: what comes is denied with a time, health goes out and comes back with it. */
    public void withoutALeaseNothingIsBegunAndHealthIsBad() {
        Story s = new Story();
        s.controller().leased(0, 0, s.now + SECOND, s.now);
        s.arrives("in time", s.read);
        List<String> before = s.decide();
        assertTrue(before.contains("begin in time") && before.contains("well"), before.toString());
        assertTrue(s.pass(1200 * MS).contains("ill"));
        s.arrives("late", s.once);
        assertTrue(s.decide().contains("deny late"));
        s.controller().leased(0, 0, s.now + SECOND, s.now);
        s.arrives("again", s.once);
        List<String> after = s.decide();
        assertTrue(after.contains("well") && after.contains("begin again"), after.toString());
    }
}
