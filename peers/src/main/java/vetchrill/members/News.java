package vetchrill.members;

/**
 * What somebody holds of one name. Which of two holds is the same for whoever compares them: the later life, then the
 * later turn of that life, then the worse state.
 */
public record News(String name, String zone, long life, long nonce, long turn, State state, String by)
        implements Comparable<News> {
    /** In the order in which one overrules the other within one turn. */
    public enum State { UNHEARD, ALIVE, SUSPECTED, DEAD, LEFT }

    /** Whether both are of one process: a name that came back has another life, two under one name another nonce. */
    public boolean sameLife(News other) {
        return life == other.life && nonce == other.nonce;
    }

    @Override
    public int compareTo(News other) {
        int lives = Long.compare(life, other.life);
        int nonces = lives != 0 ? lives : Long.compare(nonce, other.nonce);
        int turns = nonces != 0 ? nonces : Long.compare(turn, other.turn);
        return turns != 0 ? turns : state.compareTo(other.state);
    }

    News in(State now, String by) {
        return new News(name, zone, life, nonce, turn, now, by);
    }

    boolean living() {
        return state == State.ALIVE || state == State.SUSPECTED;
    }
}
