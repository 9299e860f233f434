package vetchrill.program;

import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import vetchrill.routing.ProcessingChain;
import vetchrill.routing.Clock;
import vetchrill.transport.Limits;

/** One step of the end: what is done at a time, in tenths of a millisecond on the chain's clock. */
public record DrainStep(long at, Runnable action) {
    /** All steps in their order, the first at once; the notice came at {@code leftAt}. */
    public static List<DrainStep> steps(Limits limits, ProcessingChain chain, long drainNoticeAt, long stopAt,
            Runnable closeListener,
            Runnable onFinished) {
        return List.of(
                new DrainStep(0, () -> chain.beginDrain(stopAt, drainNoticeAt)),
                // Whoever does not know yet goes on connecting, and what it sends then would come as the reading ends:
                // a connection that is refused says that nothing ran, one that is closed says nothing.
                new DrainStep(stopAt - limits.stopAcceptingLeadTenthsMs, chain::stopWaitingForSlots),
                new DrainStep(stopAt - limits.stopAcceptingLeadTenthsMs, closeListener),
                new DrainStep(stopAt - limits.stopAcceptingLeadTenthsMs, chain::drainConnections),
                new DrainStep(stopAt - limits.stopReadingLeadTenthsMs, chain::closeAllConnections),
                new DrainStep(stopAt - limits.exitLeadTenthsMs, () -> chain.finish(onFinished)));
    }

    /**
     * Takes the steps in their time. A configuration that is read meanwhile may tell an earlier stop, which then holds;
     * a later one is not believed, as whoever ends this process may go by the one that held at the notice.
     */
    static void runAll(Clock clock, long drainNoticeAt, long drainTime, LinkedBlockingQueue<Long> reloadedDrainTimes,
            LongFunction<List<DrainStep>> stepsUntil) throws InterruptedException {
        long stopAt = drainNoticeAt + drainTime;
        List<DrainStep> steps = stepsUntil.apply(stopAt);
        for (int next = 0; next < steps.size();) {
            long wait = steps.get(next).at - clock.now();
            Long reloaded = wait > 0 ? reloadedDrainTimes.poll(wait * 100, TimeUnit.MICROSECONDS)
                    : reloadedDrainTimes.poll();
            if (reloaded != null && drainNoticeAt + reloaded < stopAt) {
                stopAt = drainNoticeAt + reloaded;
                steps = stepsUntil.apply(stopAt);
                steps.get(0).action.run();
            } else if (reloaded == null && steps.get(next).at <= clock.now()) {
                steps.get(next++).action.run();
            }
        }
    }
}
