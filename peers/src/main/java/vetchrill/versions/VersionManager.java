package vetchrill.versions;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import vetchrill.versions.VersionMessage.Chunk;
import vetchrill.versions.VersionMessage.GossipState;
import vetchrill.versions.VersionMessage.InstanceStatus;
import vetchrill.versions.VersionMessage.Kind;
import vetchrill.versions.VersionMessage.KnownVersion;
import vetchrill.versions.VersionMessage.PersistedRevision;
import vetchrill.versions.VersionMessage.VoterPromise;

/**
 * Decides which version of the configuration is active on an instance, and until when the instance may go on without a
 * new lease. Versions spread by gossip; their content is fetched from peers, validated, written to disk and then
 * activated, in rollout stages or at once where the minimum version demands it. An instance below the minimum version
 * or without a lease is fenced.
 *
 * <p>The class is a state machine without a clock, threads, network or disk: the owner passes events in through
 * {@link #advanceTime}, {@link #receive} and the methods beside them, which only record them, and then calls
 * {@link #processNext} until it returns false. Each of these calls performs at most one action through {@link Host}.
 * Times are tenths of a millisecond of a monotonic clock of the owner.
 */
public final class VersionManager {
    /** Events for the log and the audit log, into which they go by name. */
    public enum Event {
        /** A new version became known. */
        HEARD,
        /** This instance activated a version. */
        TAKEN,
        /** This instance can't activate a version. */
        REFUSED,
        /** Two different versions with one number were published. */
        FORK,
        /** The rollout of a version was stopped. */
        STOPPED,
        /** An instance is a straggler: it could have activated the newest version and has not. */
        BEHIND,
        /** This instance is fenced: it must not start exchanges. */
        BARRED,
        /** This instance is no longer fenced. */
        FREE,
        /** A minimum version was confirmed by a majority of voters. */
        CONFIRMED,
        /** The state can't be written to disk. */
        DISK,
        /** A peer remembers a later state of this instance than its disk holds. */
        OLDER
    }

    /** Actions of the owner. */
    public interface Host {
        void send(String to, VersionMessage message);

        /** Writes the state to disk atomically and then calls {@link #onPersisted}. One write at a time. */
        void persist(DurableState state);

        /** Checks whether the content can be activated here, and calls {@link #onValidated} with the result. */
        void validate(Version version, byte[] content);

        /** Activates the version: it applies to every exchange that arrives from now on. */
        void activate(Version version, byte[] content);

        /** No exchange of a version below {@code minVersion} may start any more, and none at all from {@code until}. */
        void updateLease(long activeVersion, long minVersion, long until);

        /** Reports an event to the operators; {@code instance} is the one that it is about. */
        void report(Event event, String instance, long version, String text);
    }

    static final int CHUNK_BYTES = 16 << 10;
    private static final int MAX_KNOWN_VERSIONS = 4;
    /** Number of peers that get a state message at once when there is something new. */
    private static final int NEW_STATE_FANOUT = 3;
    /** Gossip periods for which a version is skipped whose content no peer could provide. */
    private static final int UNAVAILABLE_PERIODS = 8;
    /** Gossip periods between two writes that only concern the revisions of peers. */
    private static final int PEER_REVISION_PERSIST_PERIODS = 8;
    /** Gossip periods until a failed write is retried. */
    private static final int PERSIST_RETRY_PERIODS = 4;
    private static final int LEASE_REQUESTS_PER_LEASE = 4;
    /** Longest time between two lease requests, in gossip periods. */
    private static final int MAX_LEASE_REQUEST_PERIODS = 2;
    /** Decided, denied, failed and aborted exchanges. */
    private static final int COUNTERS = 4;
    /** The stop reason of a fork, sent to peers and compared with theirs. */
    private static final String FORK_REASON = "two contents under one number";

    /** What this instance knows about one version. */
    private static final class TrackedVersion {
        final Version version;
        /** On this instance's clock, as far as known: it only moves back. */
        long publishedAt;
        /** Empty if the rollout is not stopped. */
        String stopReason;
        /** Null until it has been fetched. */
        byte[] content;
        /** Until then the version is skipped in favour of lower ones, since no peer could provide its content. */
        long unavailableUntil = Long.MIN_VALUE;

        TrackedVersion(Version version, long publishedAt, String stopReason) {
            this.version = version;
            this.publishedAt = publishedAt;
            this.stopReason = stopReason;
        }
    }

    /** The latest status that a peer reported of itself. */
    public record PeerReport(String name, String zone, InstanceStatus status, long receivedAt) {
    }

    private record OutgoingMessage(String to, Kind kind, long requestId, Chunk chunk) {
    }

    /** A reply to a recovery query that must not be sent before the state is on disk. */
    private record PendingReply(String to, long requestId) {
    }

    private final VersionsConfig config;
    private final String name;
    private final String zone;
    private final String programDigest;
    private final long nonce;
    private final SplittableRandom random;
    private final MinVersionQuorum quorum;
    private final TreeMap<Long, TrackedVersion> versions = new TreeMap<>();
    private final TreeMap<String, PeerReport> peerReports = new TreeMap<>();
    private final Map<String, Set<Long>> reportedStragglers = new HashMap<>();
    private final ArrayDeque<OutgoingMessage> outgoing = new ArrayDeque<>();
    private final ArrayDeque<Runnable> notifications = new ArrayDeque<>();
    private Host host;
    private long now;
    private long lastRequestId;
    private long nextGossipAt;
    private long nextLeaseRequestAt;
    private long nextComparisonAt;
    private long nextStragglerCheckAt;
    /** Whether there is new state that peers may not know yet. */
    private boolean hasNewState = true;
    /** Replies that wait for the next write. */
    private final List<PendingReply> queuedReplies = new ArrayList<>();
    /** Replies that are sent when the current write has succeeded. */
    private final List<PendingReply> repliesAwaitingPersist = new ArrayList<>();
    /** The state that is being written; null if none is. */
    private DurableState persisting;
    /** The state of the last write, whether it succeeded or not. */
    private DurableState lastSubmitted;
    /** The revision of the last write; see {@link DurableState#revision}. */
    private long revision;
    /** The revision on disk. */
    private long persistedRevision;
    /** The latest revisions that peers reported of themselves; written to disk now and then. */
    private final TreeMap<String, Long> peerRevisions = new TreeMap<>();
    private boolean peerRevisionsChanged;
    private long nextPeerRevisionPersistAt;
    /** True at the start, since each start writes a revision of its own. */
    private boolean persistNeeded = true;
    private boolean diskFailed;
    private long persistRetryAt;
    private Version activeVersion;
    private byte[] activeContent;
    /** Validated; becomes active when it is on disk. */
    private TrackedVersion activating;
    private TrackedVersion validating;
    /** Versions that can't be activated here, by number, and why. */
    private final Map<Long, String> rejected = new HashMap<>();
    private TrackedVersion fetching;
    private byte[] fetchBuffer;
    private int fetchOffset;
    /** {@code fetchOffset} at the time of the last request: if they are equal, nothing has arrived since. */
    private int requestedOffset;
    private String fetchSource;
    private long fetchTimeoutAt;
    private final Set<String> fetchSourcesTried = new HashSet<>();
    // What the host was last told.
    private long reportedMinVersion = -1;
    private long reportedLeaseUntil;
    private long reportedActiveNumber = -1;
    private boolean reportedFenced = true;
    private long reportedConfirmed;
    private final long[] counters = new long[COUNTERS];
    /** The counters when the newest version became known or was activated. */
    private final long[] counterBaseline = new long[COUNTERS];

    /**
     * Creates the state of an instance that has just started.
     *
     * @param programDigest digest of the program that runs on this instance
     * @param nonce drawn at random by the process
     * @param durableState the state on disk; null if there is none
     */
    public VersionManager(VersionsConfig config, String name, String zone, String programDigest, long nonce,
            DurableState durableState, long seed, long now) {
        this.config = config;
        this.name = name;
        this.zone = zone;
        this.programDigest = programDigest;
        this.nonce = nonce;
        random = new SplittableRandom(seed);
        quorum = new MinVersionQuorum(config, name, durableState);
        this.now = now;
        // Request ids start at random, so that a reply to an earlier process does not match a request of this one.
        lastRequestId = random.nextLong(Long.MAX_VALUE / 2);
        nextGossipAt = now;
        nextLeaseRequestAt = now;
        if (durableState != null) {
            revision = durableState.revision();
            persistedRevision = revision;
            for (PersistedRevision each : durableState.peerRevisions()) {
                peerRevisions.put(each.name(), each.revision());
            }
            for (KnownVersion each : durableState.versions()) {
                versions.put(each.version().number(),
                        new TrackedVersion(each.version(), now - each.age(), each.stopReason()));
            }
            if (durableState.activeVersion() != null) {
                activeVersion = durableState.activeVersion();
                activeContent = durableState.activeContent();
                TrackedVersion tracked = versions.computeIfAbsent(activeVersion.number(),
                        any -> new TrackedVersion(activeVersion, now, ""));
                tracked.content = activeContent;
            }
        }
    }

    // Events

    public void advanceTime(long now) {
        this.now = Math.max(this.now, now);
    }

    /** Sets the exchanges decided since the start of the instance, and those of them denied, failed and aborted. */
    public void updateCounters(long decided, long denied, long failed, long aborted) {
        counters[0] = decided;
        counters[1] = denied;
        counters[2] = failed;
        counters[3] = aborted;
    }

    public void receive(VersionMessage message) {
        if (!config.otherInstances().contains(message.sender())) {
            // Not an instance of this fleet, or another process with this instance's name.
            return;
        }
        if (message.status().revision() > peerRevisions.getOrDefault(message.sender(), 0L)) {
            peerRevisions.put(message.sender(), message.status().revision());
            peerRevisionsChanged = true;
        }
        if (message.recipientRevision() > revision) {
            handleStaleDisk(message.sender(), message.recipientRevision());
        }
        boolean senderBelowMin = message.status().activeVersion() < quorum.confirmedMinVersion();
        peerReports.put(message.sender(), new PeerReport(message.sender(), message.zone(), message.status(), now));
        merge(message.state(), senderBelowMin);
        switch (message.kind()) {
            case STATE -> {
                // A reply gets no reply: two instances whose states can't converge would go on forever.
                if (message.requestId() == 0 && hasUpdatesFor(message.state())) {
                    send(message.sender(), Kind.STATE, 1);
                }
            }
            case ASK -> {
                if (quorum.canVote()) {
                    send(message.sender(), Kind.GRANT, message.requestId());
                } else if (hasUpdatesFor(message.state())) {
                    send(message.sender(), Kind.STATE, 1);
                }
            }
            case GRANT -> quorum.recordGrant(message.sender(), incarnationOf(message), message.requestId());
            case RECALL -> send(message.sender(), Kind.RECALLED, message.requestId());
            case RECOVER -> {
                // The new incarnation must be on disk before the reply: if this process lost it, a promise of the
                // earlier incarnation might count again.
                queuedReplies.add(new PendingReply(message.sender(), message.requestId()));
                persistNeeded = true;
            }
            case RECALLED -> {
                if (quorum.recordQueryReply(message.sender(), message.requestId(), message.status().canVote(),
                        message.status().intact())) {
                    nextLeaseRequestAt = now;
                }
            }
            case FETCH -> handleFetch(message);
            default -> handleChunk(message);
        }
    }

    /**
     * A peer remembers a later revision than this instance has: its disk holds an older copy or was lost, or another
     * process uses the name.
     */
    private void handleStaleDisk(String reporter, long seenRevision) {
        report(Event.OLDER, name, activeNumber(),
                reporter + " remembers revision " + seenRevision + " of this instance, its disk holds "
                + persistedRevision + ": it makes no promises until it has recovered its state from other voters");
        revision = seenRevision;
        quorum.invalidate();
        persistNeeded = true;
        nextLeaseRequestAt = now;
    }

    /** The incarnation of the sender as a voter, by its own gossip state; -1 if it is no voter. */
    private static long incarnationOf(VersionMessage message) {
        for (VoterPromise each : message.state().promises()) {
            if (each.voter().equals(message.sender())) {
                return each.incarnation();
            }
        }
        return -1;
    }

    private void merge(GossipState state, boolean senderBelowMin) {
        for (VoterPromise each : state.promises()) {
            hasNewState |= quorum.merge(each);
        }
        if (state.minVersion() > quorum.knownMinVersion()) {
            quorum.raise(state.minVersion());
            hasNewState = true;
        }
        for (KnownVersion each : state.versions()) {
            mergeVersion(each, senderBelowMin);
        }
    }

    /**
     * Merges what a peer knows about a version. A stop reason from a peer below the minimum version is ignored; that a
     * version exists needs no trust in the peer.
     */
    private void mergeVersion(KnownVersion received, boolean senderBelowMin) {
        long number = received.version().number();
        TrackedVersion known = versions.get(number);
        if (known == null) {
            if (versions.size() >= MAX_KNOWN_VERSIONS && number < versions.firstKey()) {
                return;
            }
            known = new TrackedVersion(received.version(), now - received.age(),
                    senderBelowMin ? "" : received.stopReason());
            boolean newest = versions.isEmpty() || number > versions.lastKey();
            versions.put(number, known);
            while (versions.size() > MAX_KNOWN_VERSIONS) {
                versions.pollFirstEntry();
            }
            if (newest) {
                resetCounterBaseline();
            }
            hasNewState = true;
            report(Event.HEARD, name, number, "by " + received.version().author());
        } else if (!known.version.sameAs(received.version())) {
            stop(known, FORK_REASON, Event.FORK);
        } else {
            known.publishedAt = Math.min(known.publishedAt, now - received.age());
            if (!received.stopReason().isEmpty() && !senderBelowMin) {
                stop(known, received.stopReason(), received.stopReason().equals(FORK_REASON) ? Event.FORK
                        : Event.STOPPED);
            }
        }
    }

    private void stop(TrackedVersion tracked, String reason, Event event) {
        if (tracked.stopReason.isEmpty()) {
            tracked.stopReason = reason;
            hasNewState = true;
            persistNeeded = true;
            report(event, name, tracked.version.number(), reason);
        }
    }

    /** Whether this instance knows of something that the received state lacks. */
    private boolean hasUpdatesFor(GossipState received) {
        if (quorum.knownMinVersion() > received.minVersion()) {
            return true;
        }
        for (VoterPromise known : quorum.promises()) {
            boolean included = received.promises().stream().anyMatch(each -> each.voter().equals(known.voter())
                    && (each.incarnation() > known.incarnation() || each.incarnation() == known.incarnation()
                    && each.minVersion() >= known.minVersion()));
            if (!included && known.incarnation() + known.minVersion() > 0) {
                return true;
            }
        }
        for (TrackedVersion known : versions.values()) {
            boolean included = received.versions().stream()
                    .anyMatch(each -> each.version().number() == known.version.number()
                            && (each.stopReason().equals(FORK_REASON) || each.version().sameAs(known.version)
                                    && (known.stopReason.isEmpty() || !each.stopReason().isEmpty())));
            boolean evicted = received.versions().size() >= MAX_KNOWN_VERSIONS && received.versions().stream()
                    .allMatch(each -> each.version().number() > known.version.number());
            if (!included && !evicted) {
                return true;
            }
        }
        return false;
    }

    /** The counters that are reported start from the present values. */
    private void resetCounterBaseline() {
        System.arraycopy(counters, 0, counterBaseline, 0, counterBaseline.length);
    }

    /** To be called by the owner when the write of {@link Host#persist} has succeeded or failed. */
    public void onPersisted(boolean succeeded) {
        DurableState persisted = persisting;
        persisting = null;
        if (!succeeded) {
            if (!diskFailed) {
                report(Event.DISK, name, activeNumber(),
                        "the state can't be written to disk: no version is activated and no minimum version promised");
            }
            diskFailed = true;
            persistNeeded = true;
            queuedReplies.addAll(repliesAwaitingPersist);
            repliesAwaitingPersist.clear();
            activating = null;
            persistRetryAt = now + config.gossipPeriod() * PERSIST_RETRY_PERIODS;
            return;
        }
        diskFailed = false;
        persistedRevision = persisted.revision();
        long previousPromise = quorum.promisedMinVersion();
        quorum.markPersisted(persisted);
        hasNewState |= quorum.promisedMinVersion() > previousPromise;
        for (PendingReply each : repliesAwaitingPersist) {
            send(each.to(), Kind.RECALLED, each.requestId());
        }
        repliesAwaitingPersist.clear();
        if (activating != null && activating.stopReason.equals(FORK_REASON)) {
            // The fork was discovered during the write, so the version on disk has to be replaced by the active one.
            persistNeeded = true;
            activating = null;
        } else if (activating != null && persisted.activeVersion() != null
                && persisted.activeVersion().sameAs(activating.version)) {
            activeVersion = activating.version;
            activeContent = activating.content;
            activating = null;
            resetCounterBaseline();
            hasNewState = true;
            Version version = activeVersion;
            byte[] content = activeContent;
            notifications.add(() -> host.activate(version, content));
            report(Event.TAKEN, name, version.number(), version.digest());
        }
    }

    /**
     * To be called by the owner with the result of {@link Host#validate}.
     *
     * @param rejectReason why the content can't be activated; null if it can
     */
    public void onValidated(long number, String rejectReason) {
        TrackedVersion tracked = validating;
        validating = null;
        if (tracked == null || tracked.version.number() != number) {
            return;
        }
        if (rejectReason != null) {
            reject(tracked.version, rejectReason);
        } else if (tracked.stopReason.isEmpty() || quorum.knownMinVersion() >= number) {
            activating = tracked;
            persistNeeded = true;
        }
    }

    private void reject(Version version, String reason) {
        rejected.put(version.number(), reason);
        hasNewState = true;
        report(Event.REFUSED, name, version.number(), reason);
    }

    // Commands of an operator

    /** Publishes a version with its content; returns null, or the reason why it was not published. */
    public String publish(Version version, byte[] content) {
        TrackedVersion known = versions.get(version.number());
        if (known != null) {
            return known.version.sameAs(version) ? "version " + version.number() + " is already published"
                    : "version " + version.number() + " exists with other content; the next number is "
                    + (newest() + 1);
        }
        if (version.number() <= newest() || version.number() <= activeNumber()) {
            return "version " + version.number() + " is not higher than " + Math.max(newest(), activeNumber());
        }
        if (version.number() <= quorum.knownMinVersion()) {
            return "version " + version.number() + " is not above the minimum version " + quorum.knownMinVersion();
        }
        if (isFenced()) {
            return "this instance is fenced: its active version is " + activeNumber() + ", the minimum version "
                    + quorum.knownMinVersion();
        }
        mergeVersion(new KnownVersion(version, 0, ""), false);
        versions.get(version.number()).content = content;
        return null;
    }

    /** Raises the minimum version; returns null, or the reason why it was not raised. */
    public String minVersion(long number) {
        if (number <= quorum.knownMinVersion()) {
            return number == quorum.knownMinVersion() ? null : "the minimum version is already "
                    + quorum.knownMinVersion() + " and can't be lowered";
        }
        TrackedVersion tracked = versions.get(number);
        if (tracked == null) {
            return "version " + number + " is not known on this instance";
        }
        if (!tracked.stopReason.isEmpty()) {
            return "version " + number + " is stopped: " + tracked.stopReason;
        }
        quorum.raise(number);
        hasNewState = true;
        return null;
    }

    /** Stops the rollout of a version; returns null, or the reason why it was not stopped. */
    public String halt(long number) {
        TrackedVersion tracked = versions.get(number);
        if (tracked == null) {
            return "version " + number + " is not known on this instance";
        }
        stop(tracked, "halted by an operator", Event.STOPPED);
        return null;
    }

    // Content transfer

    private void handleFetch(VersionMessage message) {
        if (message.chunk() == null) {
            return;
        }
        byte[] content = contentOf(message.chunk().digest());
        int offset = message.chunk().offset();
        byte[] bytes = content == null || offset > content.length ? new byte[0]
                : Arrays.copyOfRange(content, offset, Math.min(content.length, offset + CHUNK_BYTES));
        outgoing.add(new OutgoingMessage(message.sender(), Kind.PIECE, message.requestId(),
                new Chunk(message.chunk().digest(), offset, bytes)));
    }

    /** Content with that digest that this instance has; null if it has none. */
    private byte[] contentOf(String digest) {
        for (TrackedVersion each : versions.values()) {
            if (each.version.digest().equals(digest) && each.content != null) {
                return each.content;
            }
        }
        return activeVersion != null && activeVersion.digest().equals(digest) ? activeContent : null;
    }

    private void handleChunk(VersionMessage message) {
        Chunk chunk = message.chunk();
        // Accepted from any peer: one whose request timed out may only have been slow, and the digest of the whole
        // content reveals a wrong chunk.
        if (fetching == null || chunk == null || !chunk.digest().equals(fetching.version.digest())
                || chunk.offset() != fetchOffset) {
            return;
        }
        if (chunk.bytes().length == 0 || chunk.bytes().length > fetchBuffer.length - fetchOffset) {
            requestedOffset = fetchOffset;
            fetchTimeoutAt = now;
            return;
        }
        System.arraycopy(chunk.bytes(), 0, fetchBuffer, fetchOffset, chunk.bytes().length);
        fetchOffset += chunk.bytes().length;
        if (fetchOffset < fetchBuffer.length) {
            fetchTimeoutAt = now;
            return;
        }
        TrackedVersion completed = fetching;
        fetching = null;
        if (Digests.of(fetchBuffer).equals(completed.version.digest())) {
            completed.content = fetchBuffer;
        }
        // Otherwise a chunk was wrong, and the content is fetched again.
    }

    /**
     * Fetches the content of the target version chunk by chunk. If a peer stops answering, the fetch goes on from the
     * same offset with another one.
     */
    private boolean fetch() {
        TrackedVersion target = target();
        if (target == null || target.content != null) {
            fetching = null;
            return false;
        }
        byte[] local = contentOf(target.version.digest());
        if (local != null || target.version.size() == 0) {
            target.content = local != null ? local : new byte[0];
            return true;
        }
        if (fetching != target) {
            fetching = target;
            fetchBuffer = new byte[target.version.size()];
            fetchOffset = 0;
            requestedOffset = 0;
            fetchSourcesTried.clear();
            fetchTimeoutAt = now;
        }
        if (now < fetchTimeoutAt) {
            return false;
        }
        if (fetchOffset == requestedOffset) {
            // The last request brought nothing, so another peer is asked.
            fetchSource = nextFetchSource(target.version);
        }
        fetchTimeoutAt = now + config.gossipPeriod();
        if (fetchSource == null) {
            target.unavailableUntil = now + UNAVAILABLE_PERIODS * config.gossipPeriod();
            fetching = null;
            return true;
        }
        requestedOffset = fetchOffset;
        fetchSourcesTried.add(fetchSource);
        outgoing.add(new OutgoingMessage(fetchSource, Kind.FETCH, ++lastRequestId,
                new Chunk(target.version.digest(), fetchOffset, new byte[0])));
        return true;
    }

    /**
     * Chooses a peer that has not been asked yet: first among the author and the instances on which the version is
     * active, since these have or had the content, then among all others. Returns null once all have been asked.
     */
    private String nextFetchSource(Version version) {
        List<String> candidates = new ArrayList<>();
        for (String each : config.otherInstances()) {
            if (!fetchSourcesTried.contains(each)) {
                candidates.add(each);
            }
        }
        if (candidates.isEmpty()) {
            fetchSourcesTried.clear();
            return null;
        }
        List<String> likely = candidates.stream().filter(each -> each.equals(version.author())
                || peerReports.containsKey(each) && peerReports.get(each).status().activeVersion() == version.number())
                .toList();
        List<String> preferred = likely.isEmpty() ? candidates : likely;
        return preferred.get(random.nextInt(preferred.size()));
    }

    // Actions

    /** Performs the next action that is due through the host; returns false if there was none. */
    public boolean processNext(Host host) {
        this.host = host;
        if (!notifications.isEmpty()) {
            notifications.poll().run();
            return true;
        }
        if (reportLease() || persist() || validateTarget()) {
            return true;
        }
        if (!outgoing.isEmpty()) {
            OutgoingMessage message = outgoing.poll();
            host.send(message.to(), new VersionMessage(message.kind(), name, zone, nonce, message.requestId(),
                    peerRevisions.getOrDefault(message.to(), 0L), gossipState(), status(), message.chunk()));
            return true;
        }
        return fetch() || requestLease() || gossip() || compareRollout() || reportStraggler() || reportConfirmed();
    }

    private boolean reportLease() {
        long until = until();
        if (reportedActiveNumber == activeNumber() && reportedMinVersion == quorum.knownMinVersion()
                && reportedLeaseUntil == until) {
            return reportFencing();
        }
        reportedActiveNumber = activeNumber();
        reportedMinVersion = quorum.knownMinVersion();
        reportedLeaseUntil = until;
        host.updateLease(reportedActiveNumber, reportedMinVersion, until);
        return true;
    }

    private boolean reportFencing() {
        if (reportedFenced == isFenced()) {
            return false;
        }
        reportedFenced = !reportedFenced;
        if (reportedFenced) {
            report(Event.BARRED, name, activeNumber(), activeNumber() < quorum.knownMinVersion()
                    ? "below the minimum version " + quorum.knownMinVersion()
                    : "no lease: too few voters answered in time");
        } else {
            report(Event.FREE, name, activeNumber(), "the minimum version is " + quorum.knownMinVersion());
        }
        return true;
    }

    /** Whether this instance must not start any exchange. */
    public boolean isFenced() {
        return activeNumber() < quorum.knownMinVersion() || now >= until();
    }

    private long until() {
        return config.serveWithoutQuorum() ? Long.MAX_VALUE : quorum.leaseUntil();
    }

    /** Starts a write of the state if one is needed and none is running. */
    private boolean persist() {
        persistNeeded |= quorum.pollNeedsPersist();
        boolean needed = persistNeeded || peerRevisionsChanged && now >= nextPeerRevisionPersistAt;
        if (!needed || persisting != null || now < persistRetryAt) {
            return false;
        }
        // A write that only concerns the revisions of peers does not get a new revision: peers don't rely on it.
        Version nextVersion = activating != null ? activating.version : activeVersion;
        boolean binds = persistNeeded || lastSubmitted == null || quorum.knownMinVersion() > lastSubmitted.minVersion()
                || quorum.incarnation() > lastSubmitted.incarnation()
                || nextVersion != null && (lastSubmitted.activeVersion() == null
                        || nextVersion.number() > lastSubmitted.activeVersion().number());
        revision += binds ? 1 : 0;
        persistNeeded = false;
        repliesAwaitingPersist.addAll(queuedReplies);
        queuedReplies.clear();
        TrackedVersion pending = activating;
        List<KnownVersion> versionsToPersist = knownVersions();
        List<PersistedRevision> revisions = new ArrayList<>();
        peerRevisions.forEach((instance, peerRevision) -> revisions.add(new PersistedRevision(instance, peerRevision)));
        peerRevisionsChanged = false;
        nextPeerRevisionPersistAt = now + config.gossipPeriod() * PEER_REVISION_PERSIST_PERIODS;
        persisting = new DurableState(name, revision, quorum.incarnation(), quorum.isIntact(), quorum.knownMinVersion(),
                quorum.promises(), pending != null ? pending.version : activeVersion,
                pending != null ? pending.content : activeContent, versionsToPersist, revisions);
        lastSubmitted = persisting;
        host.persist(persisting);
        return true;
    }

    /** Has the content of the target version validated, if it is there. */
    private boolean validateTarget() {
        TrackedVersion target = target();
        if (target == null || target.content == null || validating != null || activating != null) {
            return false;
        }
        if (!target.version.programDigest().isEmpty() && !target.version.programDigest().equals(programDigest)) {
            reject(target.version, "it requires another program");
            return true;
        }
        validating = target;
        host.validate(target.version, target.content);
        return true;
    }

    /** The highest version that this instance should activate now; null if there is none above the active one. */
    private TrackedVersion target() {
        for (TrackedVersion each : versions.descendingMap().values()) {
            long number = each.version.number();
            if (number <= activeNumber()) {
                return null;
            }
            // The minimum version is activated at once on all instances, without rollout stages and even if its
            // rollout was stopped.
            boolean forced = quorum.knownMinVersion() >= number && activeNumber() < quorum.knownMinVersion();
            boolean available = each.content != null || now >= each.unavailableUntil;
            if (available && !rejected.containsKey(number) && (forced && !each.stopReason.equals(FORK_REASON)
                    || each.stopReason.isEmpty() && isStageOpen(each))) {
                return each;
            }
        }
        return null;
    }

    /** Whether the rollout has reached the stage that includes this instance. */
    private boolean isStageOpen(TrackedVersion tracked) {
        int stage = tracked.version.firstStageFor(name, zone);
        return stage < tracked.version.stages().size()
                && now >= tracked.publishedAt + stage * tracked.version.stageInterval();
    }

    /** Sends lease requests to all voters, and state queries if this voter has to recover its own state. */
    private boolean requestLease() {
        if (now < nextLeaseRequestAt) {
            return false;
        }
        nextLeaseRequestAt = now + Math.max(1, Math.min(config.leaseDuration() / LEASE_REQUESTS_PER_LEASE,
                config.gossipPeriod() * MAX_LEASE_REQUEST_PERIODS));
        long requestId = ++lastRequestId;
        if (quorum.needsQuery()) {
            long queryId = quorum.startOrContinueQuery(random.nextLong() & Long.MAX_VALUE | 1);
            Kind kind = quorum.isQuerying() ? Kind.RECALL : Kind.RECOVER;
            for (String voter : config.voters()) {
                send(voter, kind, queryId);
            }
        }
        quorum.recordRequest(requestId, now);
        quorum.recordOwnGrant(now);
        for (String voter : config.voters()) {
            send(voter, Kind.ASK, requestId);
        }
        return true;
    }

    /**
     * Sends new state to several random peers at once, and otherwise the state to one random peer every period, so that
     * a lost message is made up for.
     */
    private boolean gossip() {
        if (now < nextGossipAt && !hasNewState) {
            return false;
        }
        int fanout = hasNewState ? NEW_STATE_FANOUT : 1;
        hasNewState = false;
        nextGossipAt = now + config.gossipPeriod();
        List<String> recipients = new ArrayList<>(config.otherInstances());
        for (int i = 0; i < fanout && !recipients.isEmpty(); i++) {
            send(recipients.remove(random.nextInt(recipients.size())), Kind.STATE, 0);
        }
        return true;
    }

    /** Queues a message without a chunk; none to this instance itself. */
    private void send(String to, Kind kind, long requestId) {
        if (!to.equals(name)) {
            outgoing.add(new OutgoingMessage(to, kind, requestId, null));
        }
    }

    /**
     * Each voter compares by itself how the instances with and without the newest version do; the first one that finds
     * a regression stops the rollout.
     */
    private boolean compareRollout() {
        if (now < nextComparisonAt) {
            return false;
        }
        nextComparisonAt = now + config.gossipPeriod();
        if (!config.voters().contains(name) || versions.isEmpty()) {
            return false;
        }
        TrackedVersion newest = versions.lastEntry().getValue();
        long number = newest.version.number();
        if (!newest.stopReason.isEmpty() || quorum.knownMinVersion() >= number) {
            return false;
        }
        List<RolloutComparison.Sample> updated = new ArrayList<>();
        List<RolloutComparison.Sample> notUpdated = new ArrayList<>();
        for (PeerReport each : reportsWithSelf()) {
            InstanceStatus status = each.status();
            if (status.countedSince() == number && status.activeVersion() >= quorum.confirmedMinVersion()) {
                (status.activeVersion() == number ? updated : notUpdated).add(new RolloutComparison.Sample(each.zone(),
                        status.decided(), status.denied(), status.failed(), status.aborted()));
            }
        }
        String regression = RolloutComparison.findRegression(updated, notUpdated);
        if (regression == null) {
            return false;
        }
        stop(newest, regression, Event.STOPPED);
        return true;
    }

    private List<PeerReport> reportsWithSelf() {
        List<PeerReport> reports = new ArrayList<>(peerReports.values());
        reports.add(new PeerReport(name, zone, status(), now));
        return reports;
    }

    /** Reports one straggler that was not reported yet: voters report any instance, the others only themselves. */
    private boolean reportStraggler() {
        if (versions.isEmpty() || now < nextStragglerCheckAt) {
            return false;
        }
        boolean isVoter = config.voters().contains(name);
        TrackedVersion newest = versions.lastEntry().getValue();
        if (!newest.stopReason.isEmpty()) {
            return false;
        }
        long number = newest.version.number();
        for (PeerReport each : isVoter ? reportsWithSelf() : List.of(new PeerReport(name, zone, status(), now))) {
            int stage = newest.version.firstStageFor(each.name(), each.zone());
            if (each.status().activeVersion() < number && stage < newest.version.stages().size()
                    && now >= newest.publishedAt + stage * newest.version.stageInterval() + config.stragglerTimeout()
                    && reportedStragglers.computeIfAbsent(each.name(), any -> new HashSet<>()).add(number)) {
                String reason = each.status().rejectedVersion() == number ? "refused: " + each.status().rejectReason()
                        : now - each.receivedAt() > config.stragglerTimeout() ? "no message for "
                        + (now - each.receivedAt()) / 10 + " ms"
                        : "it has not reached the instance yet";
                report(Event.BEHIND, each.name(), number, "its active version is " + each.status().activeVersion()
                        + "; " + reason);
                return true;
            }
        }
        nextStragglerCheckAt = now + config.gossipPeriod();
        return false;
    }

    private boolean reportConfirmed() {
        if (quorum.confirmedMinVersion() <= reportedConfirmed) {
            return false;
        }
        reportedConfirmed = quorum.confirmedMinVersion();
        report(Event.CONFIRMED, name, reportedConfirmed, "the minimum version is confirmed by a majority of voters");
        return true;
    }

    private void report(Event event, String instance, long version, String text) {
        notifications.add(() -> host.report(event, instance, version, text));
    }

    // Queries

    private GossipState gossipState() {
        return new GossipState(knownVersions(), quorum.knownMinVersion(), quorum.promises());
    }

    private List<KnownVersion> knownVersions() {
        List<KnownVersion> known = new ArrayList<>();
        for (TrackedVersion each : versions.values()) {
            known.add(new KnownVersion(each.version, Math.max(0, now - each.publishedAt), each.stopReason));
        }
        return known;
    }

    /** The status of this instance, as it is sent to peers. */
    public InstanceStatus status() {
        long newest = newest();
        long[] counted = new long[COUNTERS];
        for (int i = 0; i < counted.length; i++) {
            counted[i] = Math.max(0, counters[i] - counterBaseline[i]);
        }
        String reason = rejected.getOrDefault(newest, diskFailed ? "its disk can't be written" : "");
        return new InstanceStatus(activeNumber(), quorum.canVote(), quorum.isIntact(), persistedRevision,
                reason.isEmpty() ? 0 : newest, reason, newest, counted[0], counted[1], counted[2], counted[3]);
    }

    private long newest() {
        return versions.isEmpty() ? 0 : versions.lastKey();
    }

    /** The number of the active version; 0 while that is the configuration that the instance was started with. */
    public long activeNumber() {
        return activeVersion == null ? 0 : activeVersion.number();
    }

    /** Null while the configuration that the instance was started with is active. */
    public Version activeVersion() {
        return activeVersion;
    }

    public byte[] activeContent() {
        return activeContent;
    }

    /** The revision on disk; see {@link DurableState#revision}. */
    public long persistedRevision() {
        return persistedRevision;
    }

    /** The highest minimum version that was requested, as far as this instance knows. */
    public long minVersion() {
        return quorum.knownMinVersion();
    }

    /** The highest minimum version that a majority of voters has on disk. */
    public long confirmedMinVersion() {
        return quorum.confirmedMinVersion();
    }

    /** Until when this instance may start exchanges of versions that are not below the minimum version. */
    public long leaseUntil() {
        return until();
    }

    /** The latest known promise of each voter. */
    public List<VoterPromise> promises() {
        return quorum.promises();
    }

    /** The latest report of each peer that was heard from. */
    public Collection<PeerReport> peerReports() {
        return peerReports.values();
    }

    public List<KnownVersion> versions() {
        return knownVersions();
    }

    /** The latest time at which the owner has to call {@link #advanceTime} again. */
    public long wakeAt() {
        long earliest = Math.min(nextGossipAt, nextLeaseRequestAt);
        if (fetching != null) {
            earliest = Math.min(earliest, fetchTimeoutAt);
        }
        if (persistNeeded && persisting == null) {
            earliest = Math.min(earliest, persistRetryAt);
        }
        if (peerRevisionsChanged && persisting == null) {
            earliest = Math.min(earliest, Math.max(persistRetryAt, nextPeerRevisionPersistAt));
        }
        if (!reportedFenced && !config.serveWithoutQuorum()) {
            earliest = Math.min(earliest, until());
        }
        return Math.max(now, earliest);
    }
}
