package vetchrill.members;

/**
 * What somebody holds of one name. Which of two holds is the same for whoever compares them: the later life, then the
 * later turn of that life, then the worse state.
 */
public record MemberInfo(String name, String zone, long incarnation, long nonce, long refutations, State state,
        String reportedBy)
        implements Comparable<MemberInfo> {
    /** In the order in which one overrules the other within one turn. */
    public enum State { UNHEARD, ALIVE, SUSPECTED, DEAD, LEFT }

    /** Whether both are of one process: a name that came back has another life, two under one name another nonce. */
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

    boolean isLive() {
        return state == State.ALIVE || state == State.SUSPECTED;
    }
}
