package vetchrill.routing;

import vetchrill.control.EndpointGroup.Effect;
import vetchrill.control.Exchange.Outcome;
import vetchrill.protocol.Frames;
import vetchrill.protocol.InterpreterLines;
import vetchrill.transport.Connection;

/**
 * Handles what the interpreter sends over one link, and relays results to the stubs unchanged. Called on the reader
 * thread of the link; the work is posted to the decision thread.
 */
final class InterpreterMessageHandler implements InterpreterLines.Handler {
    private static final System.Logger LOG = System.getLogger("vetchrill.link");

    private final ProcessingChain chain;
    private final Connection link;

    InterpreterMessageHandler(ProcessingChain chain, Connection link) {
        this.chain = chain;
        this.link = link;
    }

    @Override
    public void onBanner(String state, long interpreterAge) {
        chain.thread.post(() -> chain.onBanner(link, state, interpreterAge));
    }

    @Override
    public void onValue(long number, String id, String runStatus, long runDuration, byte[] buf, int from, int to) {
        // The only copy of the result: it must outlive the link's buffer, and the stream is not known on this thread.
        byte[] answerFrame = runStatus.equals("good") ? Frames.completed(0, buf, from, to) : null;
        chain.thread.post(() -> onRunEnded(number, id, runStatus, runDuration, answerFrame));
    }

    private void onRunEnded(long number, String id, String runStatus, long runDuration, byte[] answerFrame) {
        if (!chain.isNewNotice(number)) {
            return;
        }
        OpenExchange ex = chain.registry.find(id);
        if (ex == null || !ex.started || ex.isFinished()) {
            LOG.log(System.Logger.Level.DEBUG, "ignored the end of an unknown or finished run: exchange {0}, "
                    + "status {1}", id, runStatus);
            return;
        }
        long now = chain.clock.now();
        Outcome outcome = switch (runStatus) {
            case "good" -> Outcome.COMPLETED;
            case "bad" -> Outcome.ERRORED;
            case "cut" -> ex.group.effect == Effect.REPEATABLE ? Outcome.PREEMPTED : Outcome.CONNECTION_LOST;
            case "gone" -> Outcome.NOT_STARTED;
            default -> Outcome.CONNECTION_LOST;
        };
        if (LOG.isLoggable(System.Logger.Level.DEBUG)) {
            LOG.log(System.Logger.Level.DEBUG, "run ended: status {0}, group {1}, exchange {2}, {3} ms after "
                    + "its arrival, run time {4} ms", runStatus, ex.groupName, id, (now - ex.arrivedAt) / 10,
                    runDuration / 10);
        }
        // The slot is released before the answer is sent, as the stub may send its next exchange at once.
        chain.admission.onRunFinished(ex, outcome, runDuration, answerFrame);
        if (!ex.hasAnswer && outcome != Outcome.PREEMPTED) {
            if (outcome == Outcome.COMPLETED) {
                chain.registry.complete(ex, answerFrame, now);
            } else {
                chain.registry.terminate(ex, now);
            }
        }
    }

    @Override
    public void onGauges(String tag, double[] values) {
        chain.thread.post(() -> chain.interpreterClient.onGauges(tag, values));
    }

    @Override
    public void onError(String text) {
        chain.thread.post(() -> {
            String[] words = text.split(" ");
            OpenExchange ex = words.length > 2 ? chain.registry.find(words[2]) : null;
            if (ex == null) {
                LOG.log(System.Logger.Level.WARNING, "the interpreter rejected a command: {0}", text);
            } else if (ex.started && !ex.isFinished()) {
                chain.admission.countViolation(ex, "the interpreter rejected the exchange: " + text);
                chain.admission.onRunFinished(ex, Outcome.NOT_STARTED, 0);
                chain.registry.terminate(ex, chain.clock.now());
            }
        });
    }

    @Override
    public void onTrace(long number, String text) {
        chain.thread.post(() -> chain.isNewNotice(number));
    }

    @Override
    public void onInputEnded(String reason) {
        chain.thread.post(() -> chain.onLinkLost(link, reason));
    }
}
