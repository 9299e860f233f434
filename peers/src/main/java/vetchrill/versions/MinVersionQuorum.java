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
 * The floor under which nothing is begun: who has promised it, and until when this instance may go on without hearing
 * of a higher one. A floor is confirmed once more than half of the keepers hold it on their disks. An instance goes on
 * for one lease after it sent the questions that more than half of the keepers have answered. Of any two such halves
 * one keeper is in both: what it answered before its promise was asked before the floor was confirmed.
 *
 * <p>A keeper that comes back without its disk may have promised what it no longer knows. It first takes another life,
 * which more than half of the others note before they tell it what they hold: a promise of an earlier life does not
 * count where anybody who is counted beside it has noted a later one (after Michael and others, "Recovering Shared
 * Objects Without Stable Storage", DISC 2017).
 */
final class MinVersionQuorum {
    /** CHECKING: it remembers, and asks whether others remember more of it. */
    private enum Phase { CHECKING, QUERYING, RECOVERING, VOTING, NOT_A_VOTER }

    private final VersionsConfig config;
    private final String name;
    private final Map<String, VoterPromise> promises = new TreeMap<>();
    private Phase phase;
    private long incarnation;
    /** The highest that was heard of; that on this keeper's disk. */
    private long knownMinVersion;
    private long persistedMinVersion;
    /** Of the questions of this recovery, so that answers to an earlier process are told apart. */
    private long queryId;
    private final Set<String> responders = new HashSet<>();
    private final Set<String> qualifiedResponders = new HashSet<>();
    private long recoveryIncarnation;
    /** When the last question was sent that this keeper answered, in its life of now. */
    private final Map<String, Long> grantedRequestTimes = new HashMap<>();
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
        // The only keeper has nobody to be taught by: what its disk lost is lost.
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

    // What happened.

    /** A floor that was ordered or heard of. */
    void raise(long minVersion) {
        knownMinVersion = Math.max(knownMinVersion, minVersion);
    }

    /** True where that is more than was known. */
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
            // What an earlier life answered may have been answered beside a promise of this one.
            grantedRequestTimes.remove(received.voter());
            needsPersist = true;
        }
        return true;
    }

    /**
     * Others have seen more of this name than it knows itself: its disk is older than its last promise, or another
     * process has the name. Either way it promises nothing until it was taught.
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

    /** {@code at} is when the question goes out. */
    void recordRequest(long requestId, long sentAt) {
        requestTimes.put(requestId, sentAt);
        while (requestTimes.size() > 16) {
            requestTimes.pollFirstEntry();
        }
    }

    /** The keeper has answered that question in that life; what it knows is merged already. */
    void recordGrant(String voter, long voterIncarnation, long requestId) {
        Long sentAt = requestTimes.get(requestId);
        if (sentAt != null && promises.containsKey(voter) && voterIncarnation >= promises.get(voter).incarnation()) {
            grantedRequestTimes.merge(voter, sentAt, Math::max);
        }
    }

    /** A keeper that remembers needs no question to itself: it answers at the moment it asks. */
    void recordOwnGrant(long now) {
        if (phase == Phase.VOTING) {
            grantedRequestTimes.put(name, now);
        }
    }

    /** True where that was the last answer that was waited for. */
    boolean recordQueryReply(String voter, long replyTo, boolean voterCanVote, boolean voterIntact) {
        if (replyTo != queryId || !promises.containsKey(voter) || !needsQuery()) {
            return false;
        }
        responders.add(voter);
        // Whoever is being checked itself may tell what it remembers of others, but teaches nobody.
        if (phase == Phase.CHECKING ? voterIntact : voterCanVote) {
            qualifiedResponders.add(voter);
        }
        if (phase == Phase.CHECKING) {
            // This one and those are more than half: of all that was promised beside it some of them know.
            if (qualifiedResponders.size() + 1 < config.majority() && responders.size() < config.voters().size() - 1) {
                return false;
            }
            phase = Phase.VOTING;
            responders.clear();
            qualifiedResponders.clear();
            return true;
        }
        // All of them where too few remember: a fleet that starts for the first time, or has lost more than it may.
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

    /** A question to the other keepers is due while this one remembers nothing; by which number it goes out. */
    long startOrContinueQuery(long newId) {
        queryId = queryId == 0 ? newId : queryId;
        return queryId;
    }

    /** What was to be kept is on the disk. */
    void markPersisted(DurableState durableState) {
        if (isIntact() && durableState.intact() && durableState.incarnation() == incarnation) {
            persistedMinVersion = Math.max(persistedMinVersion, durableState.minVersion());
            promises.put(name, new VoterPromise(name, incarnation, persistedMinVersion));
        }
    }

    // What follows from it.

    /** Questions are out that bind nobody to a life of this one. */
    boolean isQuerying() {
        return phase == Phase.QUERYING || phase == Phase.CHECKING;
    }

    /** The other keepers are to be asked what they remember. */
    boolean needsQuery() {
        return phase == Phase.QUERYING || phase == Phase.RECOVERING || phase == Phase.CHECKING;
    }

    /** Nothing but a recovery that is over makes a keeper able, and only what is on its disk makes it answer. */
    boolean canVote() {
        return phase == Phase.VOTING;
    }

    /** Its disk was there and nobody has doubted it. */
    boolean isIntact() {
        return phase == Phase.VOTING || phase == Phase.CHECKING;
    }

    boolean pollNeedsPersist() {
        boolean needed = needsPersist || phase == Phase.VOTING && knownMinVersion > persistedMinVersion;
        needsPersist = false;
        return needed;
    }

    long knownMinVersion() {
        return knownMinVersion;
    }

    /** What is on this keeper's disk; 0 where it keeps none. */
    long promisedMinVersion() {
        return isIntact() ? persistedMinVersion : 0;
    }

    long incarnation() {
        return incarnation;
    }

    List<VoterPromise> promises() {
        return new ArrayList<>(promises.values());
    }

    /** The highest floor that more than half of the keepers have promised. */
    long confirmedMinVersion() {
        long[] minVersions = promises.values().stream().mapToLong(VoterPromise::minVersion).sorted().toArray();
        return minVersions[minVersions.length - config.majority()];
    }

    /** Until when this instance may begin anything; Long.MIN_VALUE where it never heard enough of them. */
    long leaseUntil() {
        if (grantedRequestTimes.size() < config.majority()) {
            return Long.MIN_VALUE;
        }
        long[] times = grantedRequestTimes.values().stream().mapToLong(Long::longValue).toArray();
        Arrays.sort(times);
        return times[times.length - config.majority()] + config.leaseDuration();
    }
}
