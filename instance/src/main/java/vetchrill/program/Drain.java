package vetchrill.program;

import java.util.List;
import vetchrill.routing.Chain;
import vetchrill.transport.Limits;

/** One step of the end: what is done at a time, in tenths of a millisecond on the chain's clock. */
public record Drain(long at, Runnable act) {
    /** All steps in their order, the first at once. */
    public static List<Drain> steps(Limits limits, Chain chain, long stopAt, Runnable shutListener, Runnable over) {
        return List.of(
                new Drain(0, () -> chain.leave(stopAt)),
                // Whoever does not know yet goes on connecting, and what it sends then would come as the reading ends:
                // a connection that is refused says that nothing ran, one that is closed says nothing.
                new Drain(stopAt - limits.lastConnections, shutListener),
                new Drain(stopAt - limits.lastConnections, chain::takeNothingNew),
                new Drain(stopAt - limits.shutReading, chain::closeAll),
                new Drain(stopAt - limits.shutAll, over));
    }
}
