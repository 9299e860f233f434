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
import vetchrill.members.MembershipMessage.Kind;

/**
 * Failure detection and group membership of one instance, after SWIM with the Lifeguard extensions. The class is a
 * state machine without a clock, threads or network: the owner passes events in through {@link #receive},
 * {@link #leave} and {@link #advanceTime}, which only record them, and then calls {@link #processNext} until it returns
 * false. Each of these calls performs at most one action through {@link Host}. Times are tenths of a millisecond of a
 * monotonic clock of the owner.
 *
 * <p>SWIM: in each probe period one member is probed, in an order that reaches all of them. A member that does not
 * answer is probed through other members, then suspected, and declared dead if it does not refute the suspicion in
 * time. Lifeguard: an instance that is itself slow or was paused waits longer before it suspects others, and a
 * suspicion that no other member confirms takes longer to expire.
 */
public final class SwimMembership {
    /** Actions of the owner. */
    public interface Host {
        /**
         * Sends a message. If {@code nonce} is 0, it goes to the configured address of the member {@code to}. Otherwise
         * it is a reply and goes to the process with that nonce, over the connection on which its message came in,
         * since two processes may share one name and address.
         */
        void send(String to, long nonce, MembershipMessage message);

        /** The known state of a member has changed. */
        void stateChanged(MemberInfo current, State previous);

        /** A later process has taken over the name of this instance; the other members now ignore this process. */
        void replaced(MemberInfo successor);
    }

    private static final int MAX_LOCAL_HEALTH_SCORE = 8;
    /** This process was paused if it is called this many times later than it asked to be. */
    private static final int PAUSE_DETECTION_RATIO = 3;
    private static final int PAUSE_HEALTH_PENALTY = 3;
    private static final int MAX_UPDATES_PER_MESSAGE = 8;
    /** Each update is sent about this many times the binary logarithm of the fleet size. */
    private static final int RETRANSMIT_MULTIPLIER = 3;
    /** With this many confirmations of the first report a suspicion has its shortest timeout. */
    private static final int MAX_CONFIRMATIONS = 3;

    private static final class Suspicion {
        final long startedAt;
        final Set<String> reporters = new HashSet<>();
        /** Time in which this process was paused, which does not count towards the timeout. */
        long pausedFor;

        Suspicion(long startedAt) {
            this.startedAt = startedAt;
        }
    }

    /** An update that waits to be piggybacked on outgoing messages. */
    private static final class QueuedUpdate {
        final MemberInfo update;
        int transmissions;

        QueuedUpdate(MemberInfo update) {
            this.update = update;
        }
    }

    private record StateChange(MemberInfo current, State previous) {
    }

    private record OutgoingMessage(String to, long nonce, Kind kind, long sequenceNumber, String target) {
    }

    /** A probe sent on behalf of {@code requester}, whose own sequence number its reply has to carry. */
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
    /** The member that is being probed, or null; the next fields are the state of this probe. */
    private String probeTarget;
    private long probeSequenceNumber;
    private long probeSentAt;
    private boolean indirectProbesSent;
    private int indirectProbeCount;
    private int nacksReceived;
    /** Local health score of Lifeguard: 0 if this instance is healthy; timeouts grow with it. */
    private int localHealthScore;
    /** A full state has been received, so a higher incarnation under this name now belongs to another process. */
    private boolean joined;
    private boolean leaving;
    private MemberInfo replacedBy;
    private boolean replacementReported;

    /**
     * Creates the membership state of an instance that has just started.
     *
     * @param incarnation one above the last known incarnation of this name, 1 if none is known
     * @param nonce drawn at random by the process
     * @param others the names of all configured instances; this instance's own name among them is ignored
     */
    public SwimMembership(MembershipConfig config, String name, String zone, long incarnation, long nonce,
            Collection<String> others, long seed, long now) {
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

    // Events

    public void advanceTime(long now) {
        long requestedDelay = Math.max(1, wakeAt - previousTime);
        long elapsed = now - previousTime;
        if (elapsed > PAUSE_DETECTION_RATIO * Math.max(requestedDelay, config.ackTimeout())) {
            // Replies that arrived during the pause were not read, so their absence proves nothing.
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
            // An older incarnation of this name, or a member that is not configured here: the sender gets at
            // most the state that is known about it.
            if (known != null) {
                queueUpdate(known);
                outgoing.add(new OutgoingMessage(sender.name(), sender.nonce(), Kind.NACK,
                        message.sequenceNumber(), ""));
            }
            return;
        }
        switch (message.kind()) {
            case PROBE -> outgoing.add(new OutgoingMessage(sender.name(), sender.nonce(), Kind.ACK,
                    message.sequenceNumber(), ""));
            case INDIRECT_PROBE -> {
                if (members.containsKey(message.target())) {
                    long relayedNumber = ++lastSequenceNumber;
                    relayedProbes.put(relayedNumber, new RelayedProbe(sender.name(), sender.nonce(),
                            message.sequenceNumber(), now + config.ackTimeout()));
                    outgoing.add(new OutgoingMessage(message.target(), 0, Kind.PROBE, relayedNumber, ""));
                }
            }
            case ACK -> handleAck(message.sequenceNumber());
            case NACK -> nacksReceived +=
                    probeTarget != null && message.sequenceNumber() == probeSequenceNumber ? 1 : 0;
            case SYNC -> outgoing.add(new OutgoingMessage(sender.name(), sender.nonce(), Kind.SYNC_REPLY,
                    message.sequenceNumber(), ""));
            default -> joined = true;
        }
    }

    /** Announces from now on that this instance leaves the fleet. */
    public void leave() {
        leaving = true;
        self = self.withState(State.LEFT, self.name());
        queueUpdate(self);
    }

    private void handleAck(long sequenceNumber) {
        RelayedProbe relayedProbe = relayedProbes.remove(sequenceNumber);
        if (relayedProbe != null) {
            outgoing.add(new OutgoingMessage(relayedProbe.requester(), relayedProbe.nonce(), Kind.ACK,
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
        if (known.isSameProcess(update) && known.refutations() == update.refutations()
                && update.state() == State.SUSPECTED && known.state() == State.SUSPECTED) {
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
        boolean aboutLaterProcess = !aboutThisProcess && (update.incarnation() > self.incarnation()
                || update.incarnation() == self.incarnation() && update.nonce() > self.nonce());
        if (!aboutThisProcess && !joined && update.incarnation() >= self.incarnation()
                || aboutLaterProcess && !update.isLive()) {
            // This process is the restarted one: it takes an incarnation above that of its predecessor.
            self = new MemberInfo(self.name(), self.zone(), update.incarnation() + 1, self.nonce(), 0, self.state(),
                    self.name());
            queueUpdate(self);
        } else if (aboutLaterProcess) {
            replacedBy = update;
        } else if (aboutThisProcess && !leaving && update.state() != State.ALIVE
                && update.refutations() >= self.refutations()) {
            // A member did not get an answer in time: in most cases because this instance was slow.
            localHealthScore = Math.min(MAX_LOCAL_HEALTH_SCORE, localHealthScore + 1);
            self = new MemberInfo(self.name(), self.zone(), self.incarnation(), self.nonce(), update.refutations() + 1,
                    State.ALIVE, self.name());
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

    // Actions

    /** Performs the next action that is due through the host; returns false if there was none. */
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
            boolean isSync = message.kind() == Kind.SYNC || message.kind() == Kind.SYNC_REPLY;
            host.send(message.to(), message.nonce(), new MembershipMessage(message.kind(), self,
                    message.sequenceNumber(), message.target(), isSync ? fullState()
                            : piggybackedUpdates(message.to())));
            return true;
        }
        return expireSuspicion() || expireRelayedProbe() || advanceProbe() || startSync();
    }

    /** Declares dead one suspected member that has not refuted the suspicion in time, if there is any. */
    private boolean expireSuspicion() {
        for (Map.Entry<String, MemberInfo> each : members.entrySet()) {
            if (each.getValue().state() == State.SUSPECTED && now >= suspicionDeadline(each.getKey())) {
                setMember(each.getValue().withState(State.DEAD, self.name()), State.SUSPECTED);
                return true;
            }
        }
        return false;
    }

    /**
     * The suspicion timeout falls from its maximum to its minimum with the logarithm of the number of members that
     * confirm it (Lifeguard).
     */
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

    /** Reports to the requester that the target of one relayed probe has not answered in time, if there is any. */
    private boolean expireRelayedProbe() {
        if (relayedProbes.isEmpty() || relayedProbes.firstEntry().getValue().deadline() > now) {
            return false;
        }
        RelayedProbe relayedProbe = relayedProbes.pollFirstEntry().getValue();
        outgoing.add(new OutgoingMessage(relayedProbe.requester(), relayedProbe.nonce(), Kind.NACK,
                relayedProbe.sequenceNumber(), ""));
        return true;
    }

    private long directProbeTimeout() {
        return config.ackTimeout() * (1 + localHealthScore);
    }

    private long indirectProbeTimeout() {
        return (config.probePeriod() - config.ackTimeout()) * (1 + localHealthScore);
    }

    /** Probe state machine: direct probe, indirect probes, suspicion; then the probe of the next member. */
    private boolean advanceProbe() {
        if (probeTarget != null && !indirectProbesSent && now >= probeSentAt + directProbeTimeout()) {
            indirectProbesSent = true;
            List<String> candidates = new ArrayList<>();
            members.values().stream().filter(each -> each.state() == State.ALIVE && !each.name().equals(probeTarget))
                    .forEach(each -> candidates.add(each.name()));
            indirectProbeCount = Math.min(config.indirectProbes(), candidates.size());
            for (int i = 0; i < indirectProbeCount; i++) {
                outgoing.add(new OutgoingMessage(candidates.remove(random.nextInt(candidates.size())), 0,
                        Kind.INDIRECT_PROBE, probeSequenceNumber, probeTarget));
            }
            return true;
        }
        if (probeTarget != null && indirectProbesSent
                && now >= probeSentAt + directProbeTimeout() + indirectProbeTimeout()) {
            String unresponsive = probeTarget;
            probeTarget = null;
            // Members that return not even a NACK suggest that this instance's own connection is at fault.
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
        outgoing.add(new OutgoingMessage(nextTarget, 0, Kind.PROBE, probeSequenceNumber, ""));
        return true;
    }

    /**
     * Probes each live member once a round, in a new random order each round, so that no member stays without a probe
     * for more than two rounds. Returns null if there is no live member.
     */
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

    /**
     * Starts a full state exchange with a random member. Every other exchange is with a member that is not live:
     * otherwise two halves of the fleet would never merge after a network partition.
     */
    private boolean startSync() {
        if (now < nextSyncAt) {
            return false;
        }
        List<String> live = new ArrayList<>();
        List<String> nonLive = new ArrayList<>();
        members.values().forEach(each -> (each.isLive() ? live : nonLive).add(each.name()));
        syncWithNonLive = !syncWithNonLive;
        List<String> candidates = nonLive.isEmpty() || !live.isEmpty() && !syncWithNonLive ? live : nonLive;
        // Until the first reply this instance does not know the state of the fleet, so it retries sooner.
        nextSyncAt = now + (joined ? config.syncPeriod() : config.probePeriod());
        if (candidates.isEmpty()) {
            return true;
        }
        outgoing.add(new OutgoingMessage(candidates.get(random.nextInt(candidates.size())), 0, Kind.SYNC,
                ++lastSequenceNumber, ""));
        return true;
    }

    private List<MemberInfo> fullState() {
        List<MemberInfo> state = new ArrayList<>();
        members.values().stream().filter(each -> each.state() != State.UNHEARD).forEach(state::add);
        return state;
    }

    /**
     * Chooses the updates to send along with a message: first those that have been sent least often. What is known
     * about the recipient itself is always included, so that it can refute it.
     */
    private List<MemberInfo> piggybackedUpdates(String recipient) {
        List<MemberInfo> updates = new ArrayList<>();
        MemberInfo aboutRecipient = members.get(recipient);
        if (aboutRecipient != null && aboutRecipient.state() != State.ALIVE
                && aboutRecipient.state() != State.UNHEARD) {
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

    // Queries

    /** The latest time at which the owner has to call {@link #advanceTime} again. */
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

    /** All configured members but this instance, whatever their state. */
    public Collection<MemberInfo> others() {
        return members.values();
    }

    /** The number of live members, including this instance. */
    public int liveCount() {
        int count = 1;
        for (MemberInfo each : members.values()) {
            count += each.isLive() ? 1 : 0;
        }
        return count;
    }

    /** From 0 (healthy) to 8: how far this instance distrusts its own observations. */
    public int localHealthScore() {
        return localHealthScore;
    }
}
