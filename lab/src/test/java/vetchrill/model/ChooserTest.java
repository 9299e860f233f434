package vetchrill.model;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import java.util.SplittableRandom;
import org.testng.annotations.Test;
import vetchrill.fleet.Fleet;
import vetchrill.fleet.Fleet.Habit;
import vetchrill.fleet.Fleet.Retry;
import vetchrill.model.Asking.Answer;

@Test
public class ChooserTest {
    private final boolean[] listed = {true, true, true};

    private Chooser chooser(Habit habit, Retry retry, double heed) {
        Chooser.Roster roster = Chooser.Roster.of(listed);
        return new Chooser(new Fleet.Pool("p", 1, habit, retry, 2, 0, 0, heed, ""), 0, roster, new int[3],
                new SplittableRandom(1));
    }

    private static Asking asking(long subject) {
        return new Asking(0, 0, subject, 1, 1, 0, 10_000);
    }

    private static final Fleet.Group READ = WorldTest.fleet(1, 1, "").groups.get(0);
    private static final Fleet.Group WRITE = new Fleet.Group("w", Fleet.Effect.MUTATING, 1, 1, 1, 0, 1, 1, 0, 1, 1, 0,
            0);

    public void oneSubjectGoesToOneRelayUntilThatIsGone() {
        Chooser chooser = chooser(Habit.SUBJECT, Retry.NONE, 1);
        int first = chooser.choose(asking(77), 0);
        assertEquals(chooser.choose(asking(77), 0), first);
        listed[first] = false;
        assertNotEquals(chooser.choose(asking(77), 0), first);
        listed[first] = true;
    }

    public void aMutatingExchangeThatMayHaveRunIsNotSentAgain() {
        Chooser chooser = chooser(Habit.ROUND, Retry.UNLIMITED, 0);
        Asking asking = asking(1);
        chooser.sent(asking, 0);
        assertEquals(chooser.after(asking, WRITE, 0, Answer.RESET, 0, false, 5), -1);
        assertEquals(chooser.after(asking, READ, 0, Answer.RESET, 0, false, 5), 5);
        assertEquals(chooser.after(asking, WRITE, 0, Answer.DENIED, 0, false, 5), 5);
    }

    public void whoeverHeedsAdviceKeepsAwayAsLongAsItSays() {
        Chooser chooser = chooser(Habit.SUBJECT, Retry.LIMITED, 1);
        Asking asking = asking(77);
        int first = chooser.choose(asking, 0);
        chooser.sent(asking, first);
        chooser.after(asking, READ, first, Answer.DENIED, 500, false, 0);
        assertNotEquals(chooser.choose(asking(77), 499), first);
        assertEquals(chooser.choose(asking(77), 501), first);
    }

    public void limitedRetriesEnd() {
        Chooser chooser = chooser(Habit.ROUND, Retry.LIMITED, 1);
        Asking asking = asking(1);
        chooser.sent(asking, 0);
        assertEquals(chooser.after(asking, READ, 0, Answer.DENIED, 0, false, 0), 0);
        chooser.sent(asking, 1);
        assertEquals(chooser.after(asking, READ, 1, Answer.DENIED, 0, false, 0), -1);
    }
}
