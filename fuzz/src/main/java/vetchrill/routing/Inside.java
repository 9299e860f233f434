package vetchrill.routing;

/** What a chain holds, for whoever checks that it holds nothing any more. */
public final class Inside {
    private Inside() {
    }

    /** Exchanges that are open or whose run may still tell of itself. */
    public static int open(ProcessingChain chain) {
        return chain.registry.openCount();
    }

    public static int connections(ProcessingChain chain) {
        return chain.registry.connectionCount();
    }

    /** Bytes of bodies that are kept. */
    public static long heldBytes(ProcessingChain chain) {
        return chain.openBodyBytes.get();
    }
}
