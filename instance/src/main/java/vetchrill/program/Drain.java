package vetchrill.program;

import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import vetchrill.routing.Chain;
import vetchrill.routing.Clock;
import vetchrill.transport.Limits;

/** One step of the end: what is done at a time, in tenths of a millisecond on the chain's clock. */
public record Drain(long at, Runnable act) {
    /** All steps in their order, the first at once; the notice came at {@code leftAt}. */
    public static List<Drain> steps(Limits limits, Chain chain, long leftAt, long stopAt, Runnable shutListener,
            Runnable over) {
        return List.of(
                new Drain(0, () -> chain.leave(stopAt, leftAt)),
                // Whoever does not know yet goes on connecting, and what it sends then would come as the reading ends:
                // a connection that is refused says that nothing ran, one that is closed says nothing.
                new Drain(stopAt - limits.lastConnections, chain::noMoreConnections),
                new Drain(stopAt - limits.lastConnections, shutListener),
                new Drain(stopAt - limits.lastConnections, chain::takeNothingNew),
                new Drain(stopAt - limits.shutReading, chain::closeAll),
                new Drain(stopAt - limits.shutAll, () -> chain.end(over)));
    }

    /**
     * Takes the steps in their time. A configuration that is read meanwhile may tell an earlier stop, which then holds;
     * a later one is not believed, as whoever ends this process may go by the one that held at the notice.
     */
    static void follow(Clock clock, long leftAt, long stop, LinkedBlockingQueue<Long> told,
            LongFunction<List<Drain>> by) throws InterruptedException {
        long stopAt = leftAt + stop;
        List<Drain> steps = by.apply(stopAt);
        for (int next = 0; next < steps.size();) {
            long wait = steps.get(next).at - clock.now();
            Long other = wait > 0 ? told.poll(wait * 100, TimeUnit.MICROSECONDS) : told.poll();
            if (other != null && leftAt + other < stopAt) {
                stopAt = leftAt + other;
                steps = by.apply(stopAt);
                steps.get(0).act.run();
            } else if (other == null && steps.get(next).at <= clock.now()) {
                steps.get(next++).act.run();
            }
        }
    }
}
