package vetchrill.program;

import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import vetchrill.routing.Clock;
import vetchrill.routing.ProcessingChain;
import vetchrill.transport.Limits;

/**
 * One step of the drain.
 *
 * @param at when it is due, in tenths of a millisecond on the chain's clock
 * @param action what is done then
 */
public record DrainStep(long at, Runnable action) {
    private static final int MICROS_PER_TENTH_MS = 100;

    /**
     * All steps in their order, the first of them due at once.
     *
     * @param drainNoticeAt when the drain was requested
     * @param stopAt when the process has to have exited
     * @param onFinished run once all answers are written or no time is left for them
     */
    public static List<DrainStep> steps(Limits limits, ProcessingChain chain, long drainNoticeAt, long stopAt,
            Runnable closeListener, Runnable onFinished) {
        return List.of(
                new DrainStep(0, () -> chain.startDrain(stopAt, drainNoticeAt)),
                // Stubs that don't know of the drain go on connecting, and would send requests just as reading ends. A
                // refused connection tells them that nothing ran; a closed one leaves that open.
                new DrainStep(stopAt - limits.stopAcceptingLeadTenthsMs, chain::stopWaitingForSlots),
                new DrainStep(stopAt - limits.stopAcceptingLeadTenthsMs, closeListener),
                new DrainStep(stopAt - limits.stopAcceptingLeadTenthsMs, chain::drainConnections),
                new DrainStep(stopAt - limits.stopReadingLeadTenthsMs, chain::closeAllConnections),
                new DrainStep(stopAt - limits.exitLeadTenthsMs, () -> chain.finish(onFinished)));
    }

    /**
     * Runs the steps when they are due. A configuration that is reloaded meanwhile can set an earlier stop. A later
     * stop is ignored, since whoever ends this process may go by the one that was configured when the drain was
     * requested.
     */
    static void runAll(Clock clock, long drainNoticeAt, long drainTime, LinkedBlockingQueue<Long> reloadedDrainTimes,
            LongFunction<List<DrainStep>> stepsUntil) throws InterruptedException {
        long stopAt = drainNoticeAt + drainTime;
        List<DrainStep> steps = stepsUntil.apply(stopAt);
        for (int next = 0; next < steps.size();) {
            long wait = steps.get(next).at - clock.now();
            Long reloaded = wait > 0 ? reloadedDrainTimes.poll(wait * MICROS_PER_TENTH_MS, TimeUnit.MICROSECONDS)
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
