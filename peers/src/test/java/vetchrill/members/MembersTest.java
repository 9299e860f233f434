package vetchrill.members;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import vetchrill.members.News.State;

/** Stories of one instance among four others, told word by word. */
@Test
public class MembersTest {
    private static final List<String> NAMES = List.of("a", "b", "c", "d", "e");

    private record Sent(String to, long nonce, Word word) {
    }

    private final List<Sent> sent = new ArrayList<>();
    private final List<News> told = new ArrayList<>();
    private News replacedBy;
    private Members members;
    private long now;

    private final Members.Host host = new Members.Host() {
        @Override
        public void send(String to, long nonce, Word word) {
            sent.add(new Sent(to, nonce, word));
        }

        @Override
        public void changed(News news, State was) {
            told.add(news);
        }

        @Override
        public void replaced(News by) {
            replacedBy = by;
        }
    };

    @BeforeMethod
    public void oneThatHoldsAllAlive() {
        sent.clear();
        told.clear();
        replacedBy = null;
        now = 0;
        members = new Members(Pace.USUAL, "a", "", 1, 500, NAMES, 7, 0);
        for (String name : NAMES.subList(1, 5)) {
            hears(new Word(Word.Kind.SAME, alive(name, 1, 9), 0, "", List.of()));
        }
        told.clear();
    }

    private static News alive(String name, long life, long nonce) {
        return new News(name, "", life, nonce, 0, State.ALIVE, name);
    }

    private void hears(Word word) {
        members.time(now);
        members.heard(word);
        pump();
    }

    private void pump() {
        while (members.next(host)) {
            continue;
        }
    }

    /** To a time, awake whenever it asked to be; {@code deaf} never answers, all others do. */
    private void until(long time, String deaf) {
        while (members.wakeAt() <= time) {
            now = Math.max(now + 1, members.wakeAt());
            members.time(now);
            pump();
            for (Sent each : List.copyOf(sent)) {
                sent.remove(each);
                boolean probe = each.word().kind() == Word.Kind.PROBE;
                if (probe && !each.to().equals(deaf)) {
                    hears(new Word(Word.Kind.HERE, alive(each.to(), 1, 9), each.word().number(), "", List.of()));
                } else if (each.word().kind() == Word.Kind.PROBE_FOR) {
                    hears(new Word(Word.Kind.DEAF, alive(each.to(), 1, 9), each.word().number(), "", List.of()));
                }
            }
        }
        now = time;
    }

    private State state(String name) {
        return members.others().stream().filter(each -> each.name().equals(name)).findFirst().orElseThrow().state();
    }

    public void whatDoesNotAnswerIsProbedThroughOthersBeforeItIsSuspected() {
        while (sent.stream().noneMatch(each -> each.word().kind() == Word.Kind.PROBE)) {
            now = Math.max(now + 1, members.wakeAt());
            members.time(now);
            pump();
        }
        String probed = sent.stream().filter(each -> each.word().kind() == Word.Kind.PROBE).findFirst().orElseThrow()
                .to();
        now += Pace.USUAL.answer();
        members.time(now);
        pump();
        assertEquals(sent.stream().filter(each -> each.word().kind() == Word.Kind.PROBE_FOR
                && each.word().about().equals(probed)).count(), 3);
        assertEquals(state(probed), State.ALIVE);
    }

    public void whatNobodyHearsIsSuspectedAndThenDead() {
        until(60_000, "c");
        assertTrue(told.stream().anyMatch(each -> each.name().equals("c") && each.state() == State.SUSPECTED));
        until(400_000, "c");
        assertEquals(state("c"), State.DEAD);
        assertEquals(state("b"), State.ALIVE);
    }

    /** The time of its death by one voice, and by three. */
    public void aSuspicionThatOthersShareEndsSooner() {
        News suspected = new News("c", "", 1, 9, 0, State.SUSPECTED, "b");
        hears(new Word(Word.Kind.PROBE, alive("b", 1, 9), 1, "", List.of(suspected)));
        until(30_000, "");
        assertEquals(state("c"), State.SUSPECTED);
        hears(new Word(Word.Kind.PROBE, alive("d", 1, 9), 1, "", List.of(suspected.in(State.SUSPECTED, "d"))));
        hears(new Word(Word.Kind.PROBE, alive("e", 1, 9), 1, "", List.of(suspected.in(State.SUSPECTED, "e"))));
        until(31_000, "");
        assertEquals(state("c"), State.SUSPECTED);
        hears(new Word(Word.Kind.PROBE, alive("e", 1, 9), 1, "", List.of(suspected.in(State.SUSPECTED, "x"))));
        until(32_000, "");
        assertEquals(state("c"), State.DEAD);
    }

    public void oneThatStoodStillHoldsNobodyDeadForIt() {
        News suspected = new News("c", "", 1, 9, 0, State.SUSPECTED, "b");
        hears(new Word(Word.Kind.PROBE, alive("b", 1, 9), 1, "", List.of(suspected)));
        until(20_000, "");
        now += 300_000;
        members.time(now);
        pump();
        assertEquals(state("c"), State.SUSPECTED, "the time in which nothing could be heard counted");
        assertTrue(members.sick() > 0);
    }

    public void oneThatIsSuspectedSpeaksUpInALaterTurn() {
        hears(new Word(Word.Kind.PROBE, alive("b", 1, 9), 1, "", List.of(members.self().in(State.SUSPECTED, "d"))));
        assertEquals(members.self().turn(), 1);
        assertEquals(members.self().state(), State.ALIVE);
        assertEquals(sent.get(sent.size() - 1).word().from().turn(), 1);
    }

    public void anOlderLifeChangesNothingAndIsToldWhatIsHeld() {
        hears(new Word(Word.Kind.PROBE, alive("b", 3, 2), 1, "", List.of()));
        sent.clear();
        hears(new Word(Word.Kind.PROBE, alive("b", 1, 9), 1, "", List.of()));
        assertEquals(sent.size(), 1);
        assertEquals(sent.get(0).nonce(), 9, "told to that process, not to its name");
        assertTrue(sent.get(0).word().news().stream().anyMatch(each -> each.name().equals("b") && each.life() == 3));
        assertTrue(members.others().stream().anyMatch(each -> each.name().equals("b") && each.life() == 3));
    }

    public void whoeverIsToldOfALaterLifeOfItsNameGivesWay() {
        hears(new Word(Word.Kind.PROBE, alive("b", 1, 9), 1, "", List.of(alive("a", 2, 3))));
        assertEquals(replacedBy, alive("a", 2, 3));
        sent.clear();
        until(50_000, "");
        assertTrue(sent.isEmpty(), "it goes on speaking");
    }

    public void whoeverComesBackIsTheLaterLifeOfItsName() {
        members = new Members(Pace.USUAL, "a", "", 1, 500, NAMES, 7, now);
        hears(new Word(Word.Kind.SAME, alive("b", 1, 9), 1, "", List.of(alive("a", 4, 800))));
        assertNull(replacedBy);
        assertEquals(members.self().life(), 5);
        assertEquals(members.self().nonce(), 500);
    }

    public void oneThatLeavesSaysSoAndDoesNotSpeakUp() {
        members.leave();
        hears(new Word(Word.Kind.PROBE, alive("b", 1, 9), 1, "", List.of(members.self().in(State.DEAD, "d"))));
        assertEquals(members.self().state(), State.LEFT);
        assertEquals(sent.get(sent.size() - 1).word().from().state(), State.LEFT);
    }
}
