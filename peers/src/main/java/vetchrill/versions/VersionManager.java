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
import vetchrill.versions.VersionMessage.PersistedRevision;
import vetchrill.versions.VersionMessage.VoterPromise;
import vetchrill.versions.VersionMessage.Kind;
import vetchrill.versions.VersionMessage.GossipState;
import vetchrill.versions.VersionMessage.KnownVersion;
import vetchrill.versions.VersionMessage.Chunk;
import vetchrill.versions.VersionMessage.InstanceStatus;

/**
 * By which version an instance decides, and until when it may: what is wanted spreads, is fetched, tried and taken;
 * whoever can't follow is brought up or shut out. The owner reports what happened through the methods of the first
 * part, which only note it, and then calls {@link #processNext} until it returns false; each call does at most one
 * thing
 * through {@link Host}. It knows no clock, no network and no disk. Times are tenths of a millisecond on a clock of the
 * owner's that never steps.
 */
public final class VersionManager {
    /** What may become of it, for whoever keeps the log and the record. */
    public enum Event { HEARD, TAKEN, REFUSED, FORK, STOPPED, BEHIND, BARRED, FREE, CONFIRMED, DISK, OLDER }

    /** What it may ask of its owner. */
    public interface Host {
        void send(String to, VersionMessage message);

        /** Onto the disk, all of it or nothing; {@link #onPersisted} is called when that is done. One at a time. */
        void persist(DurableState state);

        /** Whether this content could be taken here, without taking it; answered by {@link #onValidated}. */
        void validate(Version version, byte[] content);

        /** From now on whatever arrives is decided by this one. */
        void activate(Version version, byte[] content);

        /** Nothing of a version under the floor is begun any more, and nothing at all from {@code until} on. */
        void updateLease(long activeVersion, long minVersion, long until);

        /** Something that staff should see; {@code of} is the instance that it is about. */
        void report(Event event, String instance, long version, String text);
    }

    static final int CHUNK_BYTES = 16 << 10;
    private static final int MAX_KNOWN_VERSIONS = 4;
    private static final int NEW_STATE_FANOUT = 3;
    private static final int UNAVAILABLE_PERIODS = 8;
    /** Words between two times that what others told of their disks is kept. */
    private static final int PEER_REVISION_PERSIST_PERIODS = 8;
    private static final String FORK_REASON = "two contents under one number";

    /** One version as it is known here. */
    private static final class TrackedVersion {
        final Version version;
        long publishedAt;
        String stopReason;
        byte[] content;
        /** Nobody had its content when all were asked; what is lower is taken meanwhile. */
        long unavailableUntil = Long.MIN_VALUE;

        TrackedVersion(Version version, long publishedAt, String stopReason) {
            this.version = version;
            this.publishedAt = publishedAt;
            this.stopReason = stopReason;
        }
    }

    /** Another instance as it last told of itself. */
    public record PeerReport(String name, String zone, InstanceStatus status, long receivedAt) {
    }

    private record OutgoingMessage(String to, Kind kind, long requestId, Chunk chunk) {
    }

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
    /** Something is news here that the others may not have heard. */
    private boolean hasNewState = true;
    /** Answers that wait until what they rest on is on the disk. */
    private final List<PendingReply> queuedReplies = new ArrayList<>();
    private final List<PendingReply> repliesAwaitingPersist = new ArrayList<>();
    private DurableState persisting;
    /** The last one given to the disk, whatever became of it. */
    private DurableState lastSubmitted;
    /** Of the memory given to the disk last, and of that which is there; see {@link DurableState#revision}. */
    private long revision;
    private long persistedRevision;
    /** What the others told of theirs; kept now and then. */
    private final TreeMap<String, Long> peerRevisions = new TreeMap<>();
    private boolean peerRevisionsChanged;
    private long nextPeerRevisionPersistAt;
    /** Each start is a memory of its own. */
    private boolean persistNeeded = true;
    private boolean diskFailed;
    private long persistRetryAt;
    private Version activeVersion;
    private byte[] activeContent;
    private TrackedVersion activating;
    private TrackedVersion validating;
    private final Map<Long, String> rejected = new HashMap<>();
    private TrackedVersion fetching;
    private byte[] fetchBuffer;
    private int fetchOffset;
    /** How far it had come when it was last asked for: nothing came since where that is still so. */
    private int requestedOffset;
    private String fetchSource;
    private long fetchTimeoutAt;
    private final Set<String> fetchSourcesTried = new HashSet<>();
    private long reportedMinVersion = -1;
    private long reportedLeaseUntil;
    private long reportedActiveNumber = -1;
    private boolean reportedFenced = true;
    private long reportedConfirmed;
    private final long[] counters = new long[4];
    private final long[] counterBaseline = new long[4];

    /**
     * {@code text} is the digest of the program; {@code nonce} is drawn by the process; {@code memory} is null where
     * the disk holds none.
     */
    public VersionManager(VersionsConfig config, String name, String zone, String programDigest, long nonce,
            DurableState durableState, long seed,
            long now) {
        this.config = config;
        this.name = name;
        this.zone = zone;
        this.programDigest = programDigest;
        this.nonce = nonce;
        random = new SplittableRandom(seed);
        quorum = new MinVersionQuorum(config, name, durableState);
        this.now = now;
        // An answer to a question of an earlier process must not be taken for one to a question of this one.
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

    // What happened.

    public void advanceTime(long now) {
        this.now = Math.max(this.now, now);
    }

    /** What this instance has decided since its start: exchanges, and of these denied, failed and broken off. */
    public void updateCounters(long decided, long denied, long failed, long aborted) {
        counters[0] = decided;
        counters[1] = denied;
        counters[2] = failed;
        counters[3] = aborted;
    }

    public void receive(VersionMessage message) {
        if (!config.otherInstances().contains(message.sender())) {
            // Nobody of this fleet, or another process under this name.
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
                // An answer is not answered: two that can't come to hold the same would go on for ever.
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
                // Its new life must outlast this process, else a promise of its earlier one might count again.
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

    /** This disk is of an earlier day than others have seen, or it was lost, or another process has the name. */
    private void handleStaleDisk(String reporter, long seenRevision) {
        report(Event.OLDER, name, activeNumber(),
                reporter + " remembers " + seenRevision + " memories of it, this disk " + persistedRevision
                + ": it promises nothing until it was taught");
        revision = seenRevision;
        quorum.invalidate();
        persistNeeded = true;
        nextLeaseRequestAt = now;
    }

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

    /** What one under the floor holds against a version does not count; that a version is there shows by itself. */
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

    /** Whether this instance knows of something that those news lack. */
    private boolean hasUpdatesFor(GossipState received) {
        if (quorum.knownMinVersion() > received.minVersion()) {
            return true;
        }
        for (VoterPromise mine : quorum.promises()) {
            boolean included = received.promises().stream().anyMatch(each -> each.voter().equals(mine.voter())
                    && (each.incarnation() > mine.incarnation() || each.incarnation() == mine.incarnation()
                    && each.minVersion() >= mine.minVersion()));
            if (!included && mine.incarnation() + mine.minVersion() > 0) {
                return true;
            }
        }
        for (TrackedVersion mine : versions.values()) {
            boolean included = received.versions().stream().anyMatch(each -> each.version().number()
                    == mine.version.number()
                    && (each.stopReason().equals(FORK_REASON) || each.version().sameAs(mine.version)
                    && (mine.stopReason.isEmpty() || !each.stopReason().isEmpty())));
            boolean evicted = received.versions().size() >= MAX_KNOWN_VERSIONS && received.versions().stream()
                    .allMatch(each -> each.version().number() > mine.version.number());
            if (!included && !evicted) {
                return true;
            }
        }
        return false;
    }

    /** The counts of now are where those since the newest version begin. */
    private void resetCounterBaseline() {
        System.arraycopy(counters, 0, counterBaseline, 0, counterBaseline.length);
    }

    /** Of the owner: what was given to {@link Host#persist} is on the disk, or could not be brought there. */
    public void onPersisted(boolean succeeded) {
        DurableState persisted = persisting;
        persisting = null;
        if (!succeeded) {
            if (!diskFailed) {
                report(Event.DISK, name, activeNumber(),
                        "nothing can be kept: no version is taken and no floor promised");
            }
            diskFailed = true;
            persistNeeded = true;
            queuedReplies.addAll(repliesAwaitingPersist);
            repliesAwaitingPersist.clear();
            activating = null;
            persistRetryAt = now + config.gossipPeriod() * 4;
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
            // It came out while it was being kept: the disk is told that it was not taken after all.
            persistNeeded = true;
            activating = null;
        } else if (activating != null && persisted.activeVersion() != null && persisted.activeVersion()
                .sameAs(activating.version)) {
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

    /** Of the owner: whether the content it was asked to try could be taken; {@code why} not, null where it could. */
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

    // What an operator orders; null where it is done, else what is wrong with it.

    public String publish(Version version, byte[] content) {
        TrackedVersion known = versions.get(version.number());
        if (known != null) {
            return known.version.sameAs(version) ? "version " + version.number() + " is published already"
                    : "version " + version.number() + " is there with another content; the next number is "
                    + (newest() + 1);
        }
        if (version.number() <= newest() || version.number() <= activeNumber()) {
            return "version " + version.number() + " is not higher than " + Math.max(newest(), activeNumber());
        }
        if (version.number() <= quorum.knownMinVersion()) {
            return "version " + version.number() + " is not above the floor of " + quorum.knownMinVersion();
        }
        if (isFenced()) {
            return "this instance is shut out: it decides by version " + activeNumber() + ", the floor is "
                    + quorum.knownMinVersion();
        }
        mergeVersion(new KnownVersion(version, 0, ""), false);
        versions.get(version.number()).content = content;
        return null;
    }

    public String minVersion(long number) {
        if (number <= quorum.knownMinVersion()) {
            return number == quorum.knownMinVersion() ? null : "the floor is " + quorum.knownMinVersion()
                    + " already and never sinks";
        }
        TrackedVersion tracked = versions.get(number);
        if (tracked == null) {
            return "no version " + number + " is known here";
        }
        if (!tracked.stopReason.isEmpty()) {
            return "version " + number + " is stopped: " + tracked.stopReason;
        }
        quorum.raise(number);
        hasNewState = true;
        return null;
    }

    public String halt(long number) {
        TrackedVersion tracked = versions.get(number);
        if (tracked == null) {
            return "no version " + number + " is known here";
        }
        stop(tracked, "halted by staff", Event.STOPPED);
        return null;
    }

    // The content of a version.

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
        // From whomever: one that was given up on may only have been slow, and the digest tells a wrong piece.
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
        // Else some piece was wrong: it is fetched anew, from another.
    }

    /** What is still there of an interrupted fetch goes on from where it stands, with whoever answers. */
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
            // Whoever was asked has said nothing of use.
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

    /** Whoever took it has it, the author had it from the beginning; then anybody. Null once all were asked. */
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

    // What to do about it.

    /** Does the next thing that is due, if any, through the host; false when there is nothing left to do. */
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
            report(Event.BARRED, name, activeNumber(), activeNumber() < quorum.knownMinVersion() ? "under the floor of "
                    + quorum.knownMinVersion() : "no lease: too few keepers were heard in time");
        } else {
            report(Event.FREE, name, activeNumber(), "the floor is " + quorum.knownMinVersion());
        }
        return true;
    }

    /** Whether this instance may begin nothing. */
    public boolean isFenced() {
        return activeNumber() < quorum.knownMinVersion() || now >= until();
    }

    private long until() {
        return config.serveWithoutQuorum() ? Long.MAX_VALUE : quorum.leaseUntil();
    }

    private boolean persist() {
        persistNeeded |= quorum.pollNeedsPersist();
        boolean needed = persistNeeded || peerRevisionsChanged && now >= nextPeerRevisionPersistAt;
        if (!needed || persisting != null || now < persistRetryAt) {
            return false;
        }
        // What is remembered of others alone binds nobody: no news to them.
        Version nextVersion = activating != null ? activating.version : activeVersion;
        boolean binds = persistNeeded || lastSubmitted == null || quorum.knownMinVersion() > lastSubmitted.minVersion()
                || quorum.incarnation() > lastSubmitted.incarnation()
                || nextVersion != null
                && (lastSubmitted.activeVersion() == null || nextVersion.number() > lastSubmitted.activeVersion()
                .number());
        revision += binds ? 1 : 0;
        persistNeeded = false;
        repliesAwaitingPersist.addAll(queuedReplies);
        queuedReplies.clear();
        TrackedVersion pending = activating;
        List<KnownVersion> persistedVersions = knownVersions();
        List<PersistedRevision> revisions = new ArrayList<>();
        peerRevisions.forEach((instance, peerRevision) -> revisions.add(new PersistedRevision(instance, peerRevision)));
        peerRevisionsChanged = false;
        nextPeerRevisionPersistAt = now + config.gossipPeriod() * PEER_REVISION_PERSIST_PERIODS;
        persisting = new DurableState(name, revision, quorum.incarnation(), quorum.isIntact(), quorum.knownMinVersion(),
                quorum.promises(),
                pending != null ? pending.version : activeVersion, pending != null ? pending.content : activeContent,
                persistedVersions, revisions);
        lastSubmitted = persisting;
        host.persist(persisting);
        return true;
    }

    private boolean validateTarget() {
        TrackedVersion target = target();
        if (target == null || target.content == null || validating != null || activating != null) {
            return false;
        }
        if (!target.version.programDigest().isEmpty() && !target.version.programDigest().equals(programDigest)) {
            reject(target.version, "it is for another program");
            return true;
        }
        validating = target;
        host.validate(target.version, target.content);
        return true;
    }

    /** The highest that this instance is to take now; null where it has it. */
    private TrackedVersion target() {
        for (TrackedVersion each : versions.descendingMap().values()) {
            long number = each.version.number();
            if (number <= activeNumber()) {
                return null;
            }
            // A floor is not waited for in waves, and one that others must follow is followed though it was stopped.
            boolean forced = quorum.knownMinVersion() >= number && activeNumber() < quorum.knownMinVersion();
            boolean available = each.content != null || now >= each.unavailableUntil;
            if (available && !rejected.containsKey(number) && (forced && !each.stopReason.equals(FORK_REASON)
                    || each.stopReason.isEmpty() && isStageOpen(each))) {
                return each;
            }
        }
        return null;
    }

    private boolean isStageOpen(TrackedVersion tracked) {
        int stage = tracked.version.firstStageFor(name, zone);
        return stage < tracked.version.stages().size() && now >= tracked.publishedAt + stage
                * tracked.version.stageInterval();
    }

    private boolean requestLease() {
        if (now < nextLeaseRequestAt) {
            return false;
        }
        nextLeaseRequestAt = now + Math.max(1, Math.min(config.leaseDuration() / 4, config.gossipPeriod() * 2));
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

    /** What is new goes to some at once; what is not, to one now and then, lest a lost word is lost for good. */
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

    private void send(String to, Kind kind, long requestId) {
        if (!to.equals(name)) {
            outgoing.add(new OutgoingMessage(to, kind, requestId, null));
        }
    }

    /** Keepers hear how everybody fares: each judges by itself, and the first to find a version worse stops it. */
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
                (status.activeVersion() == number ? updated : notUpdated)
                        .add(new RolloutComparison.Sample(each.zone(), status.decided(),
                        status.denied(), status.failed(), status.aborted()));
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

    /** Keepers tell of all, everybody of itself. */
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
                        : now - each.receivedAt() > config.stragglerTimeout() ? "not heard for "
                        + (now - each.receivedAt()) / 10 + " ms"
                        : "it has not come there yet";
                report(Event.BEHIND, each.name(), number, "it decides by version " + each.status().activeVersion()
                        + "; "
                        + reason);
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
        report(Event.CONFIRMED, name, reportedConfirmed, "the floor is held by more than half of the keepers");
        return true;
    }

    private void report(Event event, String instance, long version, String text) {
        notifications.add(() -> host.report(event, instance, version, text));
    }

    // What is known.

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

    /** How this instance stands, as it tells the others. */
    public InstanceStatus status() {
        long newest = newest();
        long[] counted = new long[4];
        for (int i = 0; i < counted.length; i++) {
            counted[i] = Math.max(0, counters[i] - counterBaseline[i]);
        }
        String reason = rejected.getOrDefault(newest, diskFailed ? "its disk keeps nothing" : "");
        return new InstanceStatus(activeNumber(), quorum.canVote(), quorum.isIntact(), persistedRevision,
                reason.isEmpty() ? 0 : newest, reason,
                newest, counted[0], counted[1], counted[2], counted[3]);
    }

    private long newest() {
        return versions.isEmpty() ? 0 : versions.lastKey();
    }

    public long activeNumber() {
        return activeVersion == null ? 0 : activeVersion.number();
    }

    /** Null while it decides by what it was started with. */
    public Version activeVersion() {
        return activeVersion;
    }

    public byte[] activeContent() {
        return activeContent;
    }

    /** How far this instance's disk has come; see {@link DurableState#revision}. */
    public long persistedRevision() {
        return persistedRevision;
    }

    /** The highest floor that was ordered, as far as heard of here. */
    public long minVersion() {
        return quorum.knownMinVersion();
    }

    /** The highest floor that more than half of the keepers hold on their disks. */
    public long confirmedMinVersion() {
        return quorum.confirmedMinVersion();
    }

    /** Until when this instance may begin what is not under the floor. */
    public long leaseUntil() {
        return until();
    }

    public List<VoterPromise> promises() {
        return quorum.promises();
    }

    public Collection<PeerReport> peerReports() {
        return peerReports.values();
    }

    public List<KnownVersion> versions() {
        return knownVersions();
    }

    /** When it wants to be told of the time again, at the latest. */
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
