package vetchrill.routing;

/** What a chain holds, for whoever checks that it holds nothing any more. */
public final class ProcessingChainState {
    private ProcessingChainState() {
    }

    /** Exchanges that are open or whose run may still tell of itself. */
    public static int openExchangeCount(ProcessingChain chain) {
        return chain.registry.openCount();
    }

    public static int connectionCount(ProcessingChain chain) {
        return chain.registry.connectionCount();
    }

    /** Bytes of bodies that are kept. */
    public static long bodyBytes(ProcessingChain chain) {
        return chain.openBodyBytes.get();
    }
}
