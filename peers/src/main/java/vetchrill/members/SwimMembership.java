package vetchrill.members;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import vetchrill.members.MemberInfo.State;

/**
 * Which instances of the fleet live, as one of them holds it. The owner reports what happened through {@link #receive},
 * {@link #leave} and {@link #advanceTime}, which only note it, and then calls {@link #processNext} until it returns
 * false; each call
 * does at most one thing through {@link Host}. It knows no clock and no network. Times are tenths of a millisecond on
 * a clock of the owner's that never steps.
 *
 * <p>By SWIM, each period one other is probed, in an order that comes to all; what does not answer is probed through
 * others, then suspected, and held dead where it has not spoken up in time. After Lifeguard, an instance that is itself
 * slow or was paused waits longer before it suspects anyone, and a suspicion that nobody shares waits longer.
 */
public final class SwimMembership {
    /** What it may ask of its owner. */
    public interface Host {
        /**
         * To whoever stands at the address of that name; an answer, whose {@code nonce} is not 0, to that process by
         * the way on which its word came, as two may have one name and one address.
         */
        void send(String to, long nonce, MembershipMessage message);

        /** What is held of a name has changed. */
        void stateChanged(MemberInfo current, State previous);

        /** Another process has the name of this one, and came later: nothing that this one says counts any more. */
        void replaced(MemberInfo successor);
    }

    private static final int MAX_LOCAL_HEALTH_SCORE = 8;
    /** Awake so many times later than asked for, it was this process that stood still. */
    private static final int PAUSE_DETECTION_RATIO = 3;
    private static final int PAUSE_HEALTH_PENALTY = 3;
    private static final int MAX_UPDATES_PER_MESSAGE = 8;
    private static final int RETRANSMIT_MULTIPLIER = 3;
    private static final int MAX_CONFIRMATIONS = 3;

    private static final class Suspicion {
        final long startedAt;
        final Set<String> reporters = new HashSet<>();
        long pausedFor;

        Suspicion(long startedAt) {
            this.startedAt = startedAt;
        }
    }

    private static final class QueuedUpdate {
        final MemberInfo update;
        int transmissions;

        QueuedUpdate(MemberInfo update) {
            this.update = update;
        }
    }

    private record StateChange(MemberInfo current, State previous) {
    }

    private record OutgoingMessage(String to, long nonce, MembershipMessage.Kind kind, long sequenceNumber,
            String target) {
    }

    /** A probe made for somebody else, who asked under a number of its own. */
    private record RelayedProbe(String requester, long nonce, long sequenceNumber, long deadline) {
    }

    private final MembershipConfig config;
    private final SplittableRandom random;
    private MemberInfo self;
    private final TreeMap<String, MemberInfo> members = new TreeMap<>();
    private final Map<String, Suspicion> suspicions = new HashMap<>();
    private final List<QueuedUpdate> queuedUpdates = new ArrayList<>();
    private final ArrayDeque<OutgoingMessage> outgoing = new ArrayDeque<>();
    private final ArrayDeque<StateChange> stateChanges = new ArrayDeque<>();
    private final TreeMap<Long, RelayedProbe> relayedProbes = new TreeMap<>();
    private final ArrayDeque<String> probeOrder = new ArrayDeque<>();
    private long now;
    private long previousTime;
    private long wakeAt;
    private long lastSequenceNumber;
    private long nextProbeAt;
    private long nextSyncAt;
    private boolean syncWithNonLive;
    /** The one that is probed now, null for none; and what has come of it. */
    private String probeTarget;
    private long probeSequenceNumber;
    private long probeSentAt;
    private boolean indirectProbesSent;
    private int indirectProbeCount;
    private int nacksReceived;
    /** How far this instance distrusts itself: from 0 for not at all. */
    private int localHealthScore;
    /** Somebody has told all that it holds, so that a later life under this name is another's. */
    private boolean joined;
    private boolean leaving;
    private MemberInfo replacedBy;
    private boolean replacementReported;

    /** {@code life} is one past the last that is known, 1 where none is; {@code nonce} is drawn by the process. */
    public SwimMembership(MembershipConfig config, String name, String zone, long incarnation, long nonce,
            Collection<String> others, long seed,
            long now) {
        this.config = config;
        random = new SplittableRandom(seed);
        self = new MemberInfo(name, zone, incarnation, nonce, 0, State.ALIVE, name);
        for (String other : others) {
            if (!other.equals(name)) {
                members.put(other, new MemberInfo(other, "", 0, 0, 0, State.UNHEARD, name));
            }
        }
        this.now = now;
        previousTime = now;
        wakeAt = now;
        nextProbeAt = now + random.nextLong(config.probePeriod());
        nextSyncAt = now;
        queueUpdate(self);
    }

    // What happened.

    public void advanceTime(long now) {
        long requestedDelay = Math.max(1, wakeAt - previousTime);
        long elapsed = now - previousTime;
        if (elapsed > PAUSE_DETECTION_RATIO * Math.max(requestedDelay, config.ackTimeout())) {
            // Answers that came meanwhile were not read: what was waited for is no evidence.
            localHealthScore = Math.min(MAX_LOCAL_HEALTH_SCORE, localHealthScore + PAUSE_HEALTH_PENALTY);
            probeTarget = null;
            suspicions.values().forEach(each -> each.pausedFor += elapsed - requestedDelay);
            nextProbeAt = Math.max(nextProbeAt, now + config.ackTimeout());
        }
        this.now = now;
        previousTime = now;
    }

    public void receive(MembershipMessage message) {
        if (replacedBy != null || message.sender().name().equals(self.name()) && message.sender().isSameProcess(self)) {
            return;
        }
        MemberInfo sender = message.sender();
        MemberInfo known = members.get(sender.name());
        boolean isCurrentProcess = !sender.name().equals(self.name()) && known != null
                && !(sender.incarnation() < known.incarnation()
                || sender.incarnation() == known.incarnation() && sender.nonce() < known.nonce());
        applyUpdate(sender);
        message.updates().forEach(this::applyUpdate);
        if (!isCurrentProcess) {
            // An older life under that name, or one that is in nobody's file: it is told what is held of it, no more.
            if (known != null) {
                queueUpdate(known);
                outgoing.add(new OutgoingMessage(sender.name(), sender.nonce(), MembershipMessage.Kind.NACK,
                        message.sequenceNumber(), ""));
            }
            return;
        }
        switch (message.kind()) {
            case PROBE -> outgoing.add(new OutgoingMessage(sender.name(), sender.nonce(), MembershipMessage.Kind.ACK,
                    message.sequenceNumber(), ""));
            case INDIRECT_PROBE -> {
                if (members.containsKey(message.target())) {
                    long relayedNumber = ++lastSequenceNumber;
                    relayedProbes.put(relayedNumber,
                            new RelayedProbe(sender.name(), sender.nonce(), message.sequenceNumber(),
                            now + config.ackTimeout()));
                    outgoing.add(new OutgoingMessage(message.target(), 0, MembershipMessage.Kind.PROBE, relayedNumber,
                            ""));
                }
            }
            case ACK -> handleAck(message.sequenceNumber());
            case NACK -> nacksReceived += probeTarget != null && message.sequenceNumber() == probeSequenceNumber ? 1
                    : 0;
            case SYNC -> outgoing.add(new OutgoingMessage(sender.name(), sender.nonce(),
                    MembershipMessage.Kind.SYNC_REPLY, message.sequenceNumber(), ""));
            default -> joined = true;
        }
    }

    /** From now on this instance says that it goes by its own will. */
    public void leave() {
        leaving = true;
        self = self.withState(State.LEFT, self.name());
        queueUpdate(self);
    }

    private void handleAck(long sequenceNumber) {
        RelayedProbe relayedProbe = relayedProbes.remove(sequenceNumber);
        if (relayedProbe != null) {
            outgoing.add(new OutgoingMessage(relayedProbe.requester(), relayedProbe.nonce(), MembershipMessage.Kind.ACK,
                    relayedProbe.sequenceNumber(), ""));
        } else if (probeTarget != null && sequenceNumber == probeSequenceNumber) {
            probeTarget = null;
            localHealthScore = Math.max(0, localHealthScore - 1);
        }
    }

    private void applyUpdate(MemberInfo update) {
        if (update.name().equals(self.name())) {
            applyUpdateAboutSelf(update);
            return;
        }
        MemberInfo known = members.get(update.name());
        if (known == null || update.state() == State.UNHEARD) {
            return;
        }
        if (known.isSameProcess(update) && known.refutations() == update.refutations() && update.state()
                == State.SUSPECTED
                && known.state() == State.SUSPECTED) {
            if (suspicions.get(update.name()).reporters.add(update.reportedBy())) {
                queueUpdate(update);
            }
            return;
        }
        if (update.compareTo(known) > 0) {
            setMember(update, known.state());
        }
    }

    private void applyUpdateAboutSelf(MemberInfo update) {
        boolean aboutThisProcess = update.isSameProcess(self);
        boolean aboutLaterProcess = !aboutThisProcess
                && (update.incarnation() > self.incarnation() || update.incarnation() == self.incarnation()
                && update.nonce() > self.nonce());
        if (!aboutThisProcess && !joined && update.incarnation() >= self.incarnation() || aboutLaterProcess
                && !update.isLive()) {
            // This process is the one that came back, and whatever had its name before is over.
            self = new MemberInfo(self.name(), self.zone(), update.incarnation() + 1, self.nonce(), 0, self.state(),
                    self.name());
            queueUpdate(self);
        } else if (aboutLaterProcess) {
            replacedBy = update;
        } else if (aboutThisProcess && !leaving && update.state() != State.ALIVE && update.refutations()
                >= self.refutations()) {
            // Somebody did not hear it in time: mostly it is this instance that was slow.
            localHealthScore = Math.min(MAX_LOCAL_HEALTH_SCORE, localHealthScore + 1);
            self = new MemberInfo(self.name(), self.zone(), self.incarnation(), self.nonce(), update.refutations() + 1,
                    State.ALIVE,
                    self.name());
            queueUpdate(self);
        }
    }

    private void setMember(MemberInfo update, State previous) {
        members.put(update.name(), update);
        if (update.state() == State.SUSPECTED) {
            Suspicion suspicion = new Suspicion(now);
            suspicion.reporters.add(update.reportedBy());
            suspicions.put(update.name(), suspicion);
        } else {
            suspicions.remove(update.name());
        }
        if (probeTarget != null && probeTarget.equals(update.name()) && update.state() == State.DEAD) {
            probeTarget = null;
        }
        queueUpdate(update);
        if (update.state() != previous) {
            stateChanges.add(new StateChange(update, previous));
        }
    }

    private void queueUpdate(MemberInfo update) {
        queuedUpdates.removeIf(each -> each.update.name().equals(update.name()));
        queuedUpdates.add(new QueuedUpdate(update));
    }

    // What to do about it.

    /** Does the next thing that is due, if any, through the host; false when there is nothing left to do. */
    public boolean processNext(Host host) {
        if (replacedBy != null) {
            if (!replacementReported) {
                replacementReported = true;
                host.replaced(replacedBy);
                return true;
            }
            return false;
        }
        if (!stateChanges.isEmpty()) {
            StateChange change = stateChanges.poll();
            host.stateChanged(change.current(), change.previous());
            return true;
        }
        if (!outgoing.isEmpty()) {
            OutgoingMessage message = outgoing.poll();
            boolean isSync = message.kind() == MembershipMessage.Kind.SYNC || message.kind()
                    == MembershipMessage.Kind.SYNC_REPLY;
            host.send(message.to(), message.nonce(),
                    new MembershipMessage(message.kind(), self, message.sequenceNumber(), message.target(),
                    isSync ? fullState()
                    : piggybackedUpdates(message.to())));
            return true;
        }
        return expireSuspicion() || expireRelayedProbe() || advanceProbe() || startSync();
    }

    /** A suspicion that has waited long enough. */
    private boolean expireSuspicion() {
        for (Map.Entry<String, MemberInfo> each : members.entrySet()) {
            if (each.getValue().state() == State.SUSPECTED && now >= suspicionDeadline(each.getKey())) {
                setMember(each.getValue().withState(State.DEAD, self.name()), State.SUSPECTED);
                return true;
            }
        }
        return false;
    }

    private long suspicionDeadline(String name) {
        Suspicion suspicion = suspicions.get(name);
        double minTimeout = config.suspicionMultiplier() * Math.max(1, Math.log10(liveCount() + 1))
                * config.probePeriod();
        int wantedConfirmations = Math.min(MAX_CONFIRMATIONS, liveCount() - 2);
        double confirmedShare = wantedConfirmations <= 0 ? 1
                : Math.min(1, Math.log(suspicion.reporters.size()) / Math.log(wantedConfirmations + 1));
        double timeout = minTimeout
                * (config.maxSuspicionFactor() - (config.maxSuspicionFactor() - 1) * confirmedShare);
        return suspicion.startedAt + suspicion.pausedFor + (long) (timeout * (1 + localHealthScore / 4.0));
    }

    private boolean expireRelayedProbe() {
        if (relayedProbes.isEmpty() || relayedProbes.firstEntry().getValue().deadline() > now) {
            return false;
        }
        RelayedProbe relayedProbe = relayedProbes.pollFirstEntry().getValue();
        outgoing.add(new OutgoingMessage(relayedProbe.requester(), relayedProbe.nonce(), MembershipMessage.Kind.NACK,
                relayedProbe.sequenceNumber(), ""));
        return true;
    }

    private long directProbeTimeout() {
        return config.ackTimeout() * (1 + localHealthScore);
    }

    private long indirectProbeTimeout() {
        return (config.probePeriod() - config.ackTimeout()) * (1 + localHealthScore);
    }

    private boolean advanceProbe() {
        if (probeTarget != null && !indirectProbesSent && now >= probeSentAt + directProbeTimeout()) {
            indirectProbesSent = true;
            List<String> candidates = new ArrayList<>();
            members.values().stream().filter(each -> each.state() == State.ALIVE && !each.name().equals(probeTarget))
                    .forEach(each -> candidates.add(each.name()));
            indirectProbeCount = Math.min(config.indirectProbes(), candidates.size());
            for (int i = 0; i < indirectProbeCount; i++) {
                outgoing.add(new OutgoingMessage(candidates.remove(random.nextInt(candidates.size())), 0,
                        MembershipMessage.Kind.INDIRECT_PROBE,
                        probeSequenceNumber, probeTarget));
            }
            return true;
        }
        if (probeTarget != null && indirectProbesSent && now >= probeSentAt + directProbeTimeout()
                + indirectProbeTimeout()) {
            String unresponsive = probeTarget;
            probeTarget = null;
            // Helpers that don't even say that they heard nothing tell of this side's own way out.
            localHealthScore = Math.min(MAX_LOCAL_HEALTH_SCORE,
                    localHealthScore + Math.max(0, indirectProbeCount - nacksReceived));
            MemberInfo known = members.get(unresponsive);
            if (known.state() == State.ALIVE) {
                setMember(known.withState(State.SUSPECTED, self.name()), State.ALIVE);
            } else if (known.state() == State.SUSPECTED && suspicions.get(unresponsive).reporters.add(self.name())) {
                queueUpdate(known.withState(State.SUSPECTED, self.name()));
            }
            return true;
        }
        if (now < nextProbeAt || probeTarget != null) {
            return false;
        }
        nextProbeAt = now + config.probePeriod();
        String nextTarget = nextProbeTarget();
        if (nextTarget == null) {
            return true;
        }
        probeTarget = nextTarget;
        probeSequenceNumber = ++lastSequenceNumber;
        probeSentAt = now;
        indirectProbesSent = false;
        nacksReceived = 0;
        outgoing.add(new OutgoingMessage(nextTarget, 0, MembershipMessage.Kind.PROBE, probeSequenceNumber, ""));
        return true;
    }

    /** Each comes once in a round, in an order drawn anew: no one goes without a probe for more than two rounds. */
    private String nextProbeTarget() {
        for (int attempt = 0; attempt < 2; attempt++) {
            while (!probeOrder.isEmpty()) {
                String name = probeOrder.poll();
                if (members.get(name).isLive()) {
                    return name;
                }
            }
            List<String> names = new ArrayList<>();
            members.values().stream().filter(MemberInfo::isLive).forEach(each -> names.add(each.name()));
            while (!names.isEmpty()) {
                probeOrder.add(names.remove(random.nextInt(names.size())));
            }
        }
        return null;
    }

    /** Every other one goes to somebody who is not held alive: else two halves that were cut apart never met again. */
    private boolean startSync() {
        if (now < nextSyncAt) {
            return false;
        }
        List<String> live = new ArrayList<>();
        List<String> nonLive = new ArrayList<>();
        members.values().forEach(each -> (each.isLive() ? live : nonLive).add(each.name()));
        syncWithNonLive = !syncWithNonLive;
        List<String> candidates = nonLive.isEmpty() || !live.isEmpty() && !syncWithNonLive ? live : nonLive;
        // One that knows nobody yet can't wait for long.
        nextSyncAt = now + (joined ? config.syncPeriod() : config.probePeriod());
        if (candidates.isEmpty()) {
            return true;
        }
        outgoing.add(new OutgoingMessage(candidates.get(random.nextInt(candidates.size())), 0,
                MembershipMessage.Kind.SYNC, ++lastSequenceNumber, ""));
        return true;
    }

    private List<MemberInfo> fullState() {
        List<MemberInfo> state = new ArrayList<>();
        members.values().stream().filter(each -> each.state() != State.UNHEARD).forEach(state::add);
        return state;
    }

    /** What was said least often goes along first; what concerns the one spoken to always does. */
    private List<MemberInfo> piggybackedUpdates(String recipient) {
        List<MemberInfo> updates = new ArrayList<>();
        MemberInfo aboutRecipient = members.get(recipient);
        if (aboutRecipient != null && aboutRecipient.state() != State.ALIVE && aboutRecipient.state()
                != State.UNHEARD) {
            updates.add(aboutRecipient);
        }
        int maxTransmissions = RETRANSMIT_MULTIPLIER * (32 - Integer.numberOfLeadingZeros(members.size() + 1));
        queuedUpdates.sort(Comparator.comparingInt(each -> each.transmissions));
        for (QueuedUpdate each : queuedUpdates) {
            if (updates.size() < MAX_UPDATES_PER_MESSAGE) {
                each.transmissions++;
                updates.add(each.update);
            }
        }
        queuedUpdates.removeIf(each -> each.transmissions >= maxTransmissions);
        return updates;
    }

    // What is held.

    /** When it wants to be told of the time again, at the latest. */
    public long wakeAt() {
        long earliest = Math.min(nextSyncAt, nextProbeAt);
        if (probeTarget != null) {
            earliest = Math.min(nextSyncAt,
                    probeSentAt + directProbeTimeout() + (indirectProbesSent ? indirectProbeTimeout() : 0));
        }
        if (!relayedProbes.isEmpty()) {
            earliest = Math.min(earliest, relayedProbes.firstEntry().getValue().deadline());
        }
        for (String name : suspicions.keySet()) {
            earliest = Math.min(earliest, suspicionDeadline(name));
        }
        wakeAt = Math.max(now, earliest);
        return wakeAt;
    }

    public MemberInfo self() {
        return self;
    }

    public Collection<MemberInfo> others() {
        return members.values();
    }

    /** This instance and all that are held to live. */
    public int liveCount() {
        int count = 1;
        for (MemberInfo each : members.values()) {
            count += each.isLive() ? 1 : 0;
        }
        return count;
    }

    /** From 0 for not at all to 8: how far it distrusts what it sees. */
    public int localHealthScore() {
        return localHealthScore;
    }
}
