package vetchrill.members;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import vetchrill.members.MemberInfo.State;

/** Stories of one instance among four others, told word by word. */
@Test
public class SwimMembershipTest {
    private static final List<String> NAMES = List.of("a", "b", "c", "d", "e");

    private record Sent(String to, long nonce, MembershipMessage message) {
    }

    private final List<Sent> sent = new ArrayList<>();
    private final List<MemberInfo> changes = new ArrayList<>();
    private MemberInfo replacedBy;
    private SwimMembership members;
    private long now;

    private final SwimMembership.Host host = new SwimMembership.Host() {
        @Override
        public void send(String to, long nonce, MembershipMessage word) {
            sent.add(new Sent(to, nonce, word));
        }

        @Override
        public void stateChanged(MemberInfo news, State was) {
            changes.add(news);
        }

        @Override
        public void replaced(MemberInfo by) {
            replacedBy = by;
        }
    };

    @BeforeMethod
    public void setUpMemberThatKnowsAllAlive() {
        sent.clear();
        changes.clear();
        replacedBy = null;
        now = 0;
        members = new SwimMembership(MembershipConfig.DEFAULT, "a", "", 1, 500, NAMES, 7, 0);
        for (String name : NAMES.subList(1, 5)) {
            receive(new MembershipMessage(MembershipMessage.Kind.SYNC_REPLY, alive(name, 1, 9), 0, "", List.of()));
        }
        changes.clear();
    }

    private static MemberInfo alive(String name, long incarnation, long nonce) {
        return new MemberInfo(name, "", incarnation, nonce, 0, State.ALIVE, name);
    }

    private void receive(MembershipMessage message) {
        members.advanceTime(now);
        members.receive(message);
        runPending();
    }

    private void runPending() {
        while (members.processNext(host)) {
            continue;
        }
    }

    /** To a time, awake whenever it asked to be; {@code deaf} never answers, all others do. */
    private void advanceTo(long time, String unresponsive) {
        while (members.wakeAt() <= time) {
            now = Math.max(now + 1, members.wakeAt());
            members.advanceTime(now);
            runPending();
            for (Sent each : List.copyOf(sent)) {
                sent.remove(each);
                boolean probe = each.message().kind() == MembershipMessage.Kind.PROBE;
                if (probe && !each.to().equals(unresponsive)) {
                    receive(new MembershipMessage(MembershipMessage.Kind.ACK, alive(each.to(), 1, 9),
                            each.message().sequenceNumber(), "", List.of()));
                } else if (each.message().kind() == MembershipMessage.Kind.INDIRECT_PROBE) {
                    receive(new MembershipMessage(MembershipMessage.Kind.NACK, alive(each.to(), 1, 9),
                            each.message().sequenceNumber(), "", List.of()));
                }
            }
        }
        now = time;
    }

    private State state(String name) {
        return members.others().stream().filter(each -> each.name().equals(name)).findFirst().orElseThrow().state();
    }

    public void unansweredProbeIsFollowedByIndirectProbesBeforeSuspicion() {
        while (sent.stream().noneMatch(each -> each.message().kind() == MembershipMessage.Kind.PROBE)) {
            now = Math.max(now + 1, members.wakeAt());
            members.advanceTime(now);
            runPending();
        }
        String probed = sent.stream().filter(each -> each.message().kind() == MembershipMessage.Kind.PROBE).findFirst()
                .orElseThrow()
                .to();
        now += MembershipConfig.DEFAULT.ackTimeout();
        members.advanceTime(now);
        runPending();
        assertEquals(sent.stream().filter(each -> each.message().kind() == MembershipMessage.Kind.INDIRECT_PROBE
                && each.message().target().equals(probed)).count(), 3);
        assertEquals(state(probed), State.ALIVE);
    }

    public void unresponsiveMemberIsSuspectedAndThenDead() {
        advanceTo(60_000, "c");
        assertTrue(changes.stream().anyMatch(each -> each.name().equals("c") && each.state() == State.SUSPECTED));
        advanceTo(400_000, "c");
        assertEquals(state("c"), State.DEAD);
        assertEquals(state("b"), State.ALIVE);
    }

    /** The time of its death by one voice, and by three. */
    public void confirmedSuspicionExpiresSooner() {
        MemberInfo suspected = new MemberInfo("c", "", 1, 9, 0, State.SUSPECTED, "b");
        receive(new MembershipMessage(MembershipMessage.Kind.PROBE, alive("b", 1, 9), 1, "", List.of(suspected)));
        advanceTo(30_000, "");
        assertEquals(state("c"), State.SUSPECTED);
        receive(new MembershipMessage(MembershipMessage.Kind.PROBE, alive("d", 1, 9), 1, "",
                List.of(suspected.withState(State.SUSPECTED, "d"))));
        receive(new MembershipMessage(MembershipMessage.Kind.PROBE, alive("e", 1, 9), 1, "",
                List.of(suspected.withState(State.SUSPECTED, "e"))));
        advanceTo(31_000, "");
        assertEquals(state("c"), State.SUSPECTED);
        receive(new MembershipMessage(MembershipMessage.Kind.PROBE, alive("e", 1, 9), 1, "",
                List.of(suspected.withState(State.SUSPECTED, "x"))));
        advanceTo(32_000, "");
        assertEquals(state("c"), State.DEAD);
    }

    public void pausedProcessDoesNotDeclareOthersDead() {
        MemberInfo suspected = new MemberInfo("c", "", 1, 9, 0, State.SUSPECTED, "b");
        receive(new MembershipMessage(MembershipMessage.Kind.PROBE, alive("b", 1, 9), 1, "", List.of(suspected)));
        advanceTo(20_000, "");
        now += 300_000;
        members.advanceTime(now);
        runPending();
        assertEquals(state("c"), State.SUSPECTED, "the time in which nothing could be heard counted");
        assertTrue(members.localHealthScore() > 0);
    }

    public void suspectedMemberRefutesWithHigherRefutationCount() {
        receive(new MembershipMessage(MembershipMessage.Kind.PROBE, alive("b", 1, 9), 1, "",
                List.of(members.self().withState(State.SUSPECTED, "d"))));
        assertEquals(members.self().refutations(), 1);
        assertEquals(members.self().state(), State.ALIVE);
        assertEquals(sent.get(sent.size() - 1).message().sender().refutations(), 1);
    }

    public void olderIncarnationChangesNothingAndIsSentTheCurrentState() {
        receive(new MembershipMessage(MembershipMessage.Kind.PROBE, alive("b", 3, 2), 1, "", List.of()));
        sent.clear();
        receive(new MembershipMessage(MembershipMessage.Kind.PROBE, alive("b", 1, 9), 1, "", List.of()));
        assertEquals(sent.size(), 1);
        assertEquals(sent.get(0).nonce(), 9, "told to that process, not to its name");
        assertTrue(sent.get(0).message().updates().stream()
                .anyMatch(each -> each.name().equals("b") && each.incarnation() == 3));
        assertTrue(members.others().stream().anyMatch(each -> each.name().equals("b") && each.incarnation() == 3));
    }

    public void processStopsWhenALaterIncarnationHasItsName() {
        receive(new MembershipMessage(MembershipMessage.Kind.PROBE, alive("b", 1, 9), 1, "",
                List.of(alive("a", 2, 3))));
        assertEquals(replacedBy, alive("a", 2, 3));
        sent.clear();
        advanceTo(50_000, "");
        assertTrue(sent.isEmpty(), "it goes on speaking");
    }

    public void restartedProcessTakesAHigherIncarnation() {
        members = new SwimMembership(MembershipConfig.DEFAULT, "a", "", 1, 500, NAMES, 7, now);
        receive(new MembershipMessage(MembershipMessage.Kind.SYNC_REPLY, alive("b", 1, 9), 1, "",
                List.of(alive("a", 4, 800))));
        assertNull(replacedBy);
        assertEquals(members.self().incarnation(), 5);
        assertEquals(members.self().nonce(), 500);
    }

    public void leavingMemberAnnouncesItAndDoesNotRefute() {
        members.leave();
        receive(new MembershipMessage(MembershipMessage.Kind.PROBE, alive("b", 1, 9), 1, "",
                List.of(members.self().withState(State.DEAD, "d"))));
        assertEquals(members.self().state(), State.LEFT);
        assertEquals(sent.get(sent.size() - 1).message().sender().state(), State.LEFT);
    }
}
