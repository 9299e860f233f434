package vetchrill.members;

import java.util.List;

/** One word from an instance to another. Every word carries who speaks, and news that spread along with it. */
public record Word(Kind kind, News from, long number, String about, List<News> news) {
    public enum Kind {
        /** Are you there? Answered by HERE with the same number. */
        PROBE,
        HERE,
        /** Ask {@code about} for me, as I don't hear it: answered by HERE where it answers, by DEAF where not. */
        PROBE_FOR,
        DEAF,
        /** All that I hold; answered by SAME with all that the other holds. */
        SYNC,
        SAME
    }
}
