package vetchrill.routing;

/** What a chain holds, for whoever checks that it holds nothing any more. */
public final class Inside {
    private Inside() {
    }

    /** Exchanges that are open or whose run may still tell of itself. */
    public static int open(Chain chain) {
        return chain.book.size();
    }

    public static int connections(Chain chain) {
        return chain.book.connections();
    }

    /** Bytes of bodies that are kept. */
    public static long heldBytes(Chain chain) {
        return chain.heldBytes.get();
    }
}
