package vetchrill.members;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import vetchrill.members.MemberInfo.State;
import vetchrill.members.MembershipMessage.Kind;

/** One instance among four others, driven message by message. */
@Test
public class SwimMembershipTest {
    private static final List<String> NAMES = List.of("a", "b", "c", "d", "e");

    private record Sent(String to, long nonce, MembershipMessage message) {
    }

    private final List<Sent> sent = new ArrayList<>();
    private final List<MemberInfo> changes = new ArrayList<>();
    private MemberInfo replacedBy;
    private SwimMembership membership;
    private long now;

    private final SwimMembership.Host host = new SwimMembership.Host() {
        @Override
        public void send(String to, long nonce, MembershipMessage message) {
            sent.add(new Sent(to, nonce, message));
        }

        @Override
        public void stateChanged(MemberInfo current, State previous) {
            changes.add(current);
        }

        @Override
        public void replaced(MemberInfo successor) {
            replacedBy = successor;
        }
    };

    @BeforeMethod
    public void setUpMemberThatKnowsAllAlive() {
        sent.clear();
        changes.clear();
        replacedBy = null;
        now = 0;
        membership = new SwimMembership(MembershipConfig.DEFAULT, "a", "", 1, 500, NAMES, 7, 0);
        for (String name : NAMES.subList(1, 5)) {
            receive(new MembershipMessage(Kind.SYNC_REPLY, alive(name, 1, 9), 0, "", List.of()));
        }
        changes.clear();
    }

    private static MemberInfo alive(String name, long incarnation, long nonce) {
        return new MemberInfo(name, "", incarnation, nonce, 0, State.ALIVE, name);
    }

    private void receive(MembershipMessage message) {
        membership.advanceTime(now);
        membership.receive(message);
        runPending();
    }

    private void runPending() {
        while (membership.processNext(host)) {
            continue;
        }
    }

    /** Advances to a time, waking the instance when it asked for it; all members but {@code unresponsive} answer. */
    private void advanceTo(long time, String unresponsive) {
        while (membership.wakeAt() <= time) {
            now = Math.max(now + 1, membership.wakeAt());
            membership.advanceTime(now);
            runPending();
            for (Sent each : List.copyOf(sent)) {
                sent.remove(each);
                boolean probe = each.message().kind() == Kind.PROBE;
                if (probe && !each.to().equals(unresponsive)) {
                    receive(new MembershipMessage(Kind.ACK, alive(each.to(), 1, 9),
                            each.message().sequenceNumber(), "", List.of()));
                } else if (each.message().kind() == Kind.INDIRECT_PROBE) {
                    receive(new MembershipMessage(Kind.NACK, alive(each.to(), 1, 9),
                            each.message().sequenceNumber(), "", List.of()));
                }
            }
        }
        now = time;
    }

    private State state(String name) {
        return membership.others().stream().filter(each -> each.name().equals(name)).findFirst().orElseThrow().state();
    }

    public void unansweredProbeIsFollowedByIndirectProbesBeforeSuspicion() {
        while (sent.stream().noneMatch(each -> each.message().kind() == Kind.PROBE)) {
            now = Math.max(now + 1, membership.wakeAt());
            membership.advanceTime(now);
            runPending();
        }
        String probed = sent.stream().filter(each -> each.message().kind() == Kind.PROBE).findFirst()
                .orElseThrow().to();
        now += MembershipConfig.DEFAULT.ackTimeout();
        membership.advanceTime(now);
        runPending();
        assertEquals(sent.stream().filter(each -> each.message().kind() == Kind.INDIRECT_PROBE
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

    /** With two confirmations the suspicion stays open, the third one makes it expire. */
    public void confirmedSuspicionExpiresSooner() {
        MemberInfo suspected = new MemberInfo("c", "", 1, 9, 0, State.SUSPECTED, "b");
        receive(new MembershipMessage(Kind.PROBE, alive("b", 1, 9), 1, "", List.of(suspected)));
        advanceTo(30_000, "");
        assertEquals(state("c"), State.SUSPECTED);
        receive(new MembershipMessage(Kind.PROBE, alive("d", 1, 9), 1, "",
                List.of(suspected.withState(State.SUSPECTED, "d"))));
        receive(new MembershipMessage(Kind.PROBE, alive("e", 1, 9), 1, "",
                List.of(suspected.withState(State.SUSPECTED, "e"))));
        advanceTo(31_000, "");
        assertEquals(state("c"), State.SUSPECTED);
        receive(new MembershipMessage(Kind.PROBE, alive("e", 1, 9), 1, "",
                List.of(suspected.withState(State.SUSPECTED, "x"))));
        advanceTo(32_000, "");
        assertEquals(state("c"), State.DEAD);
    }

    public void pausedProcessDoesNotDeclareOthersDead() {
        MemberInfo suspected = new MemberInfo("c", "", 1, 9, 0, State.SUSPECTED, "b");
        receive(new MembershipMessage(Kind.PROBE, alive("b", 1, 9), 1, "", List.of(suspected)));
        advanceTo(20_000, "");
        now += 300_000;
        membership.advanceTime(now);
        runPending();
        assertEquals(state("c"), State.SUSPECTED, "the pause counted towards the suspicion timeout");
        assertTrue(membership.localHealthScore() > 0);
    }

    public void suspectedMemberRefutesWithHigherRefutationCount() {
        receive(new MembershipMessage(Kind.PROBE, alive("b", 1, 9), 1, "",
                List.of(membership.self().withState(State.SUSPECTED, "d"))));
        assertEquals(membership.self().refutations(), 1);
        assertEquals(membership.self().state(), State.ALIVE);
        assertEquals(sent.get(sent.size() - 1).message().sender().refutations(), 1);
    }

    public void olderIncarnationChangesNothingAndIsSentTheCurrentState() {
        receive(new MembershipMessage(Kind.PROBE, alive("b", 3, 2), 1, "", List.of()));
        sent.clear();
        receive(new MembershipMessage(Kind.PROBE, alive("b", 1, 9), 1, "", List.of()));
        assertEquals(sent.size(), 1);
        assertEquals(sent.get(0).nonce(), 9, "the reply must go to that process, not to the address of its name");
        assertTrue(sent.get(0).message().updates().stream()
                .anyMatch(each -> each.name().equals("b") && each.incarnation() == 3));
        assertTrue(membership.others().stream().anyMatch(each -> each.name().equals("b") && each.incarnation() == 3));
    }

    public void processStopsWhenALaterIncarnationHasItsName() {
        receive(new MembershipMessage(Kind.PROBE, alive("b", 1, 9), 1, "",
                List.of(alive("a", 2, 3))));
        assertEquals(replacedBy, alive("a", 2, 3));
        sent.clear();
        advanceTo(50_000, "");
        assertTrue(sent.isEmpty(), "a replaced process must not send any more");
    }

    public void restartedProcessTakesAHigherIncarnation() {
        membership = new SwimMembership(MembershipConfig.DEFAULT, "a", "", 1, 500, NAMES, 7, now);
        receive(new MembershipMessage(Kind.SYNC_REPLY, alive("b", 1, 9), 1, "",
                List.of(alive("a", 4, 800))));
        assertNull(replacedBy);
        assertEquals(membership.self().incarnation(), 5);
        assertEquals(membership.self().nonce(), 500);
    }

    public void leavingMemberAnnouncesItAndDoesNotRefute() {
        membership.leave();
        receive(new MembershipMessage(Kind.PROBE, alive("b", 1, 9), 1, "",
                List.of(membership.self().withState(State.DEAD, "d"))));
        assertEquals(membership.self().state(), State.LEFT);
        assertEquals(sent.get(sent.size() - 1).message().sender().state(), State.LEFT);
    }
}
