package vetchrill.versions;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import vetchrill.versions.VersionMessage.VoterPromise;

/**
 * The minimum version, below which no exchange may start, and the leases that enforce it: which voters have promised
 * it, and until when this instance may go on without learning of a higher one. A minimum version is confirmed once a
 * majority of voters has it on disk. An instance may go on for one lease from the time at which it sent the requests
 * that a majority of voters has granted. Two majorities have a voter in common: what that voter granted before its
 * promise was requested before the minimum version was confirmed.
 *
 * <p>A voter that restarts without its disk may have made promises that it no longer knows. It first takes a new
 * incarnation, which a majority of voters must record before they reply with what they know. A promise of an earlier
 * incarnation no longer counts wherever a voter counted beside it has recorded a later one (after Michael et al.,
 * "Recovering Shared Objects Without Stable Storage", DISC 2017).
 */
final class MinVersionQuorum {
    /** How many of the latest lease requests are remembered, to be matched with their grants. */
    private static final int MAX_TRACKED_REQUESTS = 16;

    /**
     * CHECKING: the voter has state on disk and asks whether other voters remember a later one. QUERYING: it has lost
     * its state and queries the other voters. RECOVERING: it has taken a new incarnation and waits until other voters
     * have recorded that. VOTING: it can promise and grant.
     */
    private enum Phase { CHECKING, QUERYING, RECOVERING, VOTING, NOT_A_VOTER }

    private final VersionsConfig config;
    private final String name;
    private final Map<String, VoterPromise> promises = new TreeMap<>();
    private Phase phase;
    private long incarnation;
    /** The highest minimum version known to this instance. */
    private long knownMinVersion;
    /** The minimum version that this voter has on disk. */
    private long persistedMinVersion;
    /** Id of the current state query, so that replies to an earlier process are ignored; 0 if there is none. */
    private long queryId;
    /** Voters that have replied to the current query. */
    private final Set<String> responders = new HashSet<>();
    /** Those of them whose reply counts towards the majority. */
    private final Set<String> qualifiedResponders = new HashSet<>();
    /** The incarnation that the last recovery took. */
    private long recoveryIncarnation;
    /** For each voter, when the latest request was sent that it has granted in its current incarnation. */
    private final Map<String, Long> grantedRequestTimes = new HashMap<>();
    /** Send times of the latest lease requests, by request id. */
    private final TreeMap<Long, Long> requestTimes = new TreeMap<>();
    private boolean needsPersist;

    MinVersionQuorum(VersionsConfig config, String name, DurableState durableState) {
        this.config = config;
        this.name = name;
        boolean isVoter = config.voters().contains(name);
        for (String voter : config.voters()) {
            promises.put(voter, new VoterPromise(voter, 0, 0));
        }
        if (durableState != null) {
            knownMinVersion = durableState.minVersion();
            durableState.promises().forEach(this::merge);
            incarnation = durableState.incarnation();
            persistedMinVersion = durableState.intact() ? durableState.minVersion() : 0;
        }
        needsPersist = false;
        // A single voter can't recover its state from anybody, so what its disk has lost stays lost.
        boolean onlyVoter = isVoter && config.voters().size() == 1;
        boolean persistedIntact = durableState != null && durableState.intact();
        phase = !isVoter ? Phase.NOT_A_VOTER : onlyVoter ? Phase.VOTING : persistedIntact ? Phase.CHECKING
                : Phase.QUERYING;
        if (isIntact()) {
            incarnation = Math.max(1, incarnation);
            promises.put(name, new VoterPromise(name, incarnation, persistedMinVersion));
            needsPersist = durableState == null;
        }
    }

    // Events

    /** Records a minimum version that was requested here or reported by a peer. */
    void raise(long minVersion) {
        knownMinVersion = Math.max(knownMinVersion, minVersion);
    }

    /** Records the promise of a voter; returns whether it is newer than the known one. */
    boolean merge(VoterPromise received) {
        VoterPromise current = promises.get(received.voter());
        if (current == null) {
            return false;
        }
        knownMinVersion = Math.max(knownMinVersion, received.minVersion());
        if (!(received.incarnation() > current.incarnation() || received.incarnation() == current.incarnation()
                && received.minVersion() > current.minVersion())) {
            return false;
        }
        if (received.voter().equals(name)) {
            invalidate();
        }
        promises.put(received.voter(), received);
        if (received.incarnation() > current.incarnation()) {
            // The earlier incarnation may have granted requests after a promise that the later one has made.
            grantedRequestTimes.remove(received.voter());
            needsPersist = true;
        }
        return true;
    }

    /**
     * Peers remember a later state of this voter than it has itself: its disk is older than its last promise, or
     * another process uses the name. Either way it must not promise or grant anything until it has recovered its state.
     */
    void invalidate() {
        if (phase != Phase.NOT_A_VOTER && phase != Phase.QUERYING && config.voters().size() > 1) {
            phase = Phase.QUERYING;
            queryId = 0;
            responders.clear();
            qualifiedResponders.clear();
            needsPersist = true;
        }
    }

    /** Records that a lease request is sent. */
    void recordRequest(long requestId, long sentAt) {
        requestTimes.put(requestId, sentAt);
        while (requestTimes.size() > MAX_TRACKED_REQUESTS) {
            requestTimes.pollFirstEntry();
        }
    }

    /** A voter has granted the request in that incarnation; the caller has merged the gossip state of its reply. */
    void recordGrant(String voter, long voterIncarnation, long requestId) {
        Long sentAt = requestTimes.get(requestId);
        if (sentAt != null && promises.containsKey(voter) && voterIncarnation >= promises.get(voter).incarnation()) {
            grantedRequestTimes.merge(voter, sentAt, Math::max);
        }
    }

    /** A voter that can vote grants its own request at the time of the request, without a message. */
    void recordOwnGrant(long now) {
        if (phase == Phase.VOTING) {
            grantedRequestTimes.put(name, now);
        }
    }

    /** Records the reply to a state query; returns whether it completes the current phase. */
    boolean recordQueryReply(String voter, long replyTo, boolean voterCanVote, boolean voterIntact) {
        if (replyTo != queryId || !promises.containsKey(voter) || !needsQuery()) {
            return false;
        }
        responders.add(voter);
        // A voter that is itself being checked may confirm the state of others, but others can't recover from it.
        if (phase == Phase.CHECKING ? voterIntact : voterCanVote) {
            qualifiedResponders.add(voter);
        }
        if (phase == Phase.CHECKING) {
            // Together with this voter they are a majority: some of them know of whatever was promised beside it.
            if (qualifiedResponders.size() + 1 < config.majority() && responders.size() < config.voters().size() - 1) {
                return false;
            }
            phase = Phase.VOTING;
            responders.clear();
            qualifiedResponders.clear();
            return true;
        }
        // If too few voters have their state, the replies of all voters are needed: the fleet starts for the first
        // time, or has lost more disks than a minority.
        if (qualifiedResponders.size() < config.majority() && responders.size() < config.voters().size() - 1) {
            return false;
        }
        if (phase == Phase.QUERYING) {
            incarnation = Math.max(recoveryIncarnation, promises.get(name).incarnation()) + 1;
            recoveryIncarnation = incarnation;
            phase = Phase.RECOVERING;
            promises.put(name, new VoterPromise(name, incarnation, 0));
            queryId = 0;
        } else {
            phase = Phase.VOTING;
            needsPersist = true;
        }
        responders.clear();
        qualifiedResponders.clear();
        return true;
    }

    /** The id of the current state query; starts one with the id {@code newId} if there is none. */
    long startOrContinueQuery(long newId) {
        queryId = queryId == 0 ? newId : queryId;
        return queryId;
    }

    /** The state is on disk: from now on its minimum version counts as promised. */
    void markPersisted(DurableState durableState) {
        if (isIntact() && durableState.intact() && durableState.incarnation() == incarnation) {
            persistedMinVersion = Math.max(persistedMinVersion, durableState.minVersion());
            promises.put(name, new VoterPromise(name, incarnation, persistedMinVersion));
        }
    }

    // Queries

    /** Whether the query that is due asks for state only, without announcing an incarnation. */
    boolean isQuerying() {
        return phase == Phase.QUERYING || phase == Phase.CHECKING;
    }

    /** Whether the other voters have to be queried for their state. */
    boolean needsQuery() {
        return phase == Phase.QUERYING || phase == Phase.RECOVERING || phase == Phase.CHECKING;
    }

    /** Whether this voter may promise and grant: only after its check or its recovery is complete. */
    boolean canVote() {
        return phase == Phase.VOTING;
    }

    /** Whether this voter's state was on disk, or has been recovered, and has not been invalidated. */
    boolean isIntact() {
        return phase == Phase.VOTING || phase == Phase.CHECKING;
    }

    /** Whether there is state to be written to disk; resets the flag. */
    boolean pollNeedsPersist() {
        boolean needed = needsPersist || phase == Phase.VOTING && knownMinVersion > persistedMinVersion;
        needsPersist = false;
        return needed;
    }

    long knownMinVersion() {
        return knownMinVersion;
    }

    /** The minimum version that this voter has promised and has on disk; 0 if its state is not intact. */
    long promisedMinVersion() {
        return isIntact() ? persistedMinVersion : 0;
    }

    long incarnation() {
        return incarnation;
    }

    List<VoterPromise> promises() {
        return new ArrayList<>(promises.values());
    }

    /** The highest minimum version that a majority of voters has promised. */
    long confirmedMinVersion() {
        long[] minVersions = promises.values().stream().mapToLong(VoterPromise::minVersion).sorted().toArray();
        return minVersions[minVersions.length - config.majority()];
    }

    /** Until when this instance may start exchanges; Long.MIN_VALUE if a majority has never granted a lease. */
    long leaseUntil() {
        if (grantedRequestTimes.size() < config.majority()) {
            return Long.MIN_VALUE;
        }
        long[] times = grantedRequestTimes.values().stream().mapToLong(Long::longValue).toArray();
        Arrays.sort(times);
        return times[times.length - config.majority()] + config.leaseDuration();
    }
}
