package vetchrill.peersim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import vetchrill.members.SwimMembership;
import vetchrill.members.MemberInfo;
import vetchrill.members.MemberInfo.State;
import vetchrill.members.MembershipConfig;
import vetchrill.members.MembershipMessage;

/** What membership is held against: everybody tells everybody each period, and who is silent for eight is dead. */
final class Heartbeats implements MembersWorld.Watch {
    private static final int SILENT = 8;

    private final MembershipConfig pace;
    private final MemberInfo self;
    private final List<String> others = new ArrayList<>();
    private final Map<String, MemberInfo> held = new TreeMap<>();
    private final Map<String, Long> heardAt = new TreeMap<>();
    private final ArrayDeque<String> toSend = new ArrayDeque<>();
    private final ArrayDeque<MemberInfo> toTell = new ArrayDeque<>();
    private long now;
    private long nextBeat;

    Heartbeats(MembershipConfig pace, String name, List<String> names, long nonce, long now) {
        this.pace = pace;
        self = new MemberInfo(name, "", 1, nonce, 0, State.ALIVE, name);
        names.stream().filter(each -> !each.equals(name)).forEach(others::add);
        this.now = now;
        nextBeat = now;
    }

    @Override
    public void time(long now) {
        this.now = now;
        if (now >= nextBeat) {
            nextBeat = now + pace.probePeriod();
            toSend.addAll(others);
        }
        for (MemberInfo each : List.copyOf(held.values())) {
            if (each.state() == State.ALIVE && now - heardAt.get(each.name()) > SILENT * pace.probePeriod()) {
                tell(new MemberInfo(each.name(), "", each.incarnation(), each.nonce(), each.refutations(), State.DEAD,
                        self.name()));
            }
        }
    }

    @Override
    public void heard(MembershipMessage word) {
        heardAt.put(word.sender().name(), now);
        MemberInfo before = held.get(word.sender().name());
        if (before == null || before.state() != State.ALIVE || !before.isSameProcess(word.sender())) {
            tell(word.sender());
        }
    }

    private void tell(MemberInfo news) {
        held.put(news.name(), news);
        toTell.add(news);
    }

    @Override
    public boolean next(SwimMembership.Host host) {
        if (!toTell.isEmpty()) {
            host.stateChanged(toTell.poll(), State.ALIVE);
            return true;
        }
        if (!toSend.isEmpty()) {
            host.send(toSend.poll(), 0, new MembershipMessage(MembershipMessage.Kind.PROBE, self, 0, "", List.of()));
            return true;
        }
        return false;
    }

    @Override
    public long wakeAt() {
        return nextBeat;
    }
}
