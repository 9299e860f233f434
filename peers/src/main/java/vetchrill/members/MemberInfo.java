package vetchrill.members;

/**
 * What is known about one member. Updates are ordered the same way on every instance: the higher incarnation wins, then
 * the higher nonce, then the higher refutation count, then the later value of {@link State}.
 *
 * @param name the configured instance name; the name stays the same across restarts
 * @param incarnation grows with each restart of the member; 0 if it was never heard from
 * @param nonce drawn at random by the process, so that two processes with one name and incarnation can be told apart
 * @param refutations how often this incarnation has refuted a suspicion
 * @param reportedBy the instance that reported this state
 */
public record MemberInfo(String name, String zone, long incarnation, long nonce, long refutations, State state,
        String reportedBy) implements Comparable<MemberInfo> {
    /**
     * In ascending precedence: of two updates with the same refutation count the later value wins. Sent between
     * instances by ordinal, so the order must not change.
     */
    public enum State {
        /** Configured, but no message of it has been received and no peer has reported it. */
        UNHEARD,
        ALIVE,
        SUSPECTED,
        DEAD,
        /** Left on its own, by an orderly shutdown. */
        LEFT
    }

    /**
     * Whether both describe the same process. A restarted member has another incarnation, two processes with one name
     * have different nonces.
     */
    public boolean isSameProcess(MemberInfo other) {
        return incarnation == other.incarnation && nonce == other.nonce;
    }

    @Override
    public int compareTo(MemberInfo other) {
        int byIncarnation = Long.compare(incarnation, other.incarnation);
        int byNonce = byIncarnation != 0 ? byIncarnation : Long.compare(nonce, other.nonce);
        int byRefutations = byNonce != 0 ? byNonce : Long.compare(refutations, other.refutations);
        return byRefutations != 0 ? byRefutations : state.compareTo(other.state);
    }

    MemberInfo withState(State newState, String reporter) {
        return new MemberInfo(name, zone, incarnation, nonce, refutations, newState, reporter);
    }

    /** Whether the member counts as running: alive, or suspected but not yet declared dead. */
    boolean isLive() {
        return state == State.ALIVE || state == State.SUSPECTED;
    }
}
