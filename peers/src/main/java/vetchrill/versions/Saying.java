package vetchrill.versions;

import java.util.List;

/**
 * One word of an instance to another about versions, floors and leases. Each carries all the news of its speaker.
 *
 * @param ofYou the highest count that the speaker remembers of whom it speaks to; see {@link Memory#count}
 */
public record Saying(Kind kind, String from, String zone, long nonce, long number, long ofYou, News news,
        Standing standing, Piece piece) {
    public enum Kind {
        /** What I know. Answered in kind where the other knows more. */
        STATE,
        /** May I go on? To a keeper; answered by GRANT with the same number where it remembers all that it promised. */
        ASK,
        GRANT,
        /** I remember nothing: what do you know of my lives, and of floors? Of a keeper to a keeper. */
        RECALL,
        /** The same, and from now on I am in the life that the news name: what I promised in earlier ones is void. */
        RECOVER,
        RECALLED,
        /** A part of the content of a version, please; answered by PIECE. */
        FETCH,
        PIECE
    }

    /**
     * What is known of one version.
     *
     * @param age tenths of a millisecond since it was published, at least
     * @param stopped why nobody else is to take it; empty where nothing speaks against it
     */
    public record Noted(Version version, long age, String stopped) {
        public Noted {
            if (version == null || age < 0 || stopped == null) {
                throw new IllegalArgumentException("no note of a version");
            }
        }
    }

    /** How far the disk of an instance has come, as it told itself; see {@link Memory#count}. */
    public record Count(String name, long count) {
        public Count {
            if (name == null || count < 0) {
                throw new IllegalArgumentException("no count");
            }
        }
    }

    /** What a keeper holds for good: the floor that it has promised, in which of its lives. */
    public record Kept(String keeper, long life, long floor) {
        public Kept {
            if (keeper == null || life < 0 || floor < 0) {
                throw new IllegalArgumentException("nothing that a keeper keeps");
            }
        }
    }

    /** All that spreads: versions, the highest floor that was ordered, and the keepers' promises as heard of. */
    public record News(List<Noted> versions, long floor, List<Kept> keepers) {
        public News {
            versions = List.copyOf(versions);
            keepers = List.copyOf(keepers);
            if (floor < 0) {
                throw new IllegalArgumentException("a floor below 0");
            }
        }
    }

    /**
     * How the speaker itself stands.
     *
     * @param taken the version that it decides by
     * @param able it is a keeper that remembers all that it promised, as far as others can tell
     * @param whole it is a keeper whose disk was there and has not been doubted
     * @param count what it has on its disk; see {@link Memory#count}
     * @param refused the version that it can't take, 0 for none; and why
     * @param since which version was heard of the counts run
     */
    public record Standing(long taken, boolean able, boolean whole, long count, long refused, String why, long since,
            long decided, long denied, long failed, long broken) {
        public Standing {
            if (taken < 0 || count < 0 || why == null || decided < 0 || denied < 0 || failed < 0 || broken < 0) {
                throw new IllegalArgumentException("no standing");
            }
        }
    }

    /** A part of a content; {@code bytes} is empty in a question, and in an answer by one that does not have it. */
    public record Piece(String digest, int at, byte[] bytes) {
        public Piece {
            if (digest == null || at < 0 || bytes == null) {
                throw new IllegalArgumentException("no piece");
            }
        }
    }

    public Saying {
        if (kind == null || from == null || from.isEmpty() || zone == null || news == null || standing == null
                || ofYou < 0) {
            throw new IllegalArgumentException("no saying");
        }
    }
}
