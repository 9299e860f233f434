package vetchrill.peersim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import vetchrill.members.MemberInfo;
import vetchrill.members.MemberInfo.State;
import vetchrill.members.MembershipConfig;
import vetchrill.members.MembershipMessage;
import vetchrill.members.SwimMembership;

/**
 * The plain failure detector that {@link SwimMembership} is compared with: each instance sends a heartbeat to every
 * other one each period, and declares dead whoever was silent for eight periods.
 */
final class HeartbeatDetector implements MembershipSimulation.FailureDetector {
    private static final int DEAD_AFTER_PERIODS = 8;

    private final MembershipConfig config;
    private final MemberInfo self;
    private final List<String> others = new ArrayList<>();
    private final Map<String, MemberInfo> members = new TreeMap<>();
    private final Map<String, Long> receivedAt = new TreeMap<>();
    private final ArrayDeque<String> heartbeatsToSend = new ArrayDeque<>();
    private final ArrayDeque<MemberInfo> changesToReport = new ArrayDeque<>();
    private long now;
    private long nextHeartbeatAt;

    HeartbeatDetector(MembershipConfig config, String name, List<String> names, long nonce, long now) {
        this.config = config;
        self = new MemberInfo(name, "", 1, nonce, 0, State.ALIVE, name);
        names.stream().filter(each -> !each.equals(name)).forEach(others::add);
        this.now = now;
        nextHeartbeatAt = now;
    }

    @Override
    public void advanceTime(long now) {
        this.now = now;
        if (now >= nextHeartbeatAt) {
            nextHeartbeatAt = now + config.probePeriod();
            heartbeatsToSend.addAll(others);
        }
        for (MemberInfo each : List.copyOf(members.values())) {
            if (each.state() == State.ALIVE
                    && now - receivedAt.get(each.name()) > DEAD_AFTER_PERIODS * config.probePeriod()) {
                recordChange(new MemberInfo(each.name(), "", each.incarnation(), each.nonce(), each.refutations(),
                        State.DEAD, self.name()));
            }
        }
    }

    @Override
    public void receive(MembershipMessage heartbeat) {
        receivedAt.put(heartbeat.sender().name(), now);
        MemberInfo before = members.get(heartbeat.sender().name());
        if (before == null || before.state() != State.ALIVE || !before.isSameProcess(heartbeat.sender())) {
            recordChange(heartbeat.sender());
        }
    }

    private void recordChange(MemberInfo member) {
        members.put(member.name(), member);
        changesToReport.add(member);
    }

    @Override
    public boolean processNext(SwimMembership.Host host) {
        if (!changesToReport.isEmpty()) {
            host.stateChanged(changesToReport.poll(), State.ALIVE);
            return true;
        }
        if (!heartbeatsToSend.isEmpty()) {
            host.send(heartbeatsToSend.poll(), 0,
                    new MembershipMessage(MembershipMessage.Kind.PROBE, self, 0, "", List.of()));
            return true;
        }
        return false;
    }

    @Override
    public long wakeAt() {
        return nextHeartbeatAt;
    }
}
