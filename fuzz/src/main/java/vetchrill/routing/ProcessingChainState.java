package vetchrill.routing;

/** Gives the fuzzer access to the resources that a processing chain holds, to check that all are released. */
public final class ProcessingChainState {
    private ProcessingChainState() {
    }

    /** Number of exchanges that are open or whose run may still report its end. */
    public static int openExchangeCount(ProcessingChain chain) {
        return chain.registry.openCount();
    }

    /** Number of registered stub connections. */
    public static int connectionCount(ProcessingChain chain) {
        return chain.registry.connectionCount();
    }

    /** Bytes of the bodies in memory. */
    public static long bodyBytes(ProcessingChain chain) {
        return chain.openBodyBytes.get();
    }
}
