package vetchrill.routing;

import vetchrill.control.EndpointGroup.Effect;
import vetchrill.control.Exchange.Outcome;
import vetchrill.protocol.Frames;
import vetchrill.protocol.InterpreterLines;
import vetchrill.transport.Connection;

/** What comes from the interpreter over one link: results go back unchanged. Read on the link's own thread. */
final class Relay implements InterpreterLines.Taker {
    private static final System.Logger LOG = System.getLogger("vetchrill.link");

    private final Chain chain;
    private final Connection link;

    Relay(Chain chain, Connection link) {
        this.chain = chain;
        this.link = link;
    }

    @Override
    public void banner(String state, long sinceStart) {
        chain.thread.post(() -> chain.banner(link, state, sinceStart));
    }

    @Override
    public void value(long number, String id, String end, long took, byte[] buf, int from, int to) {
        // The one copy of the result: it must outlive the link's buffer, and its stream is not known here.
        byte[] answer = end.equals("good") ? Frames.completed(0, buf, from, to) : null;
        chain.thread.post(() -> over(number, id, end, took, answer));
    }

    private void over(long number, String id, String end, long took, byte[] answer) {
        if (!chain.noticed(number)) {
            return;
        }
        Open ex = chain.book.find(id);
        if (ex == null || !ex.begun || ex.over()) {
            LOG.log(System.Logger.Level.DEBUG, "a run that is over already: {0} {1}", id, end);
            return;
        }
        long now = chain.clock.now();
        Outcome outcome = switch (end) {
            case "good" -> Outcome.COMPLETED;
            case "bad" -> Outcome.ERRORED;
            case "cut" -> ex.group.effect == Effect.REPEATABLE ? Outcome.STOPPED : Outcome.CUT_OFF;
            case "gone" -> Outcome.NOTHING_STARTED;
            default -> Outcome.CUT_OFF;
        };
        if (LOG.isLoggable(System.Logger.Level.DEBUG)) {
            LOG.log(System.Logger.Level.DEBUG, "over {0} {1} {2} after {3} ms, {4} ms on its run", end, ex.groupName,
                    id, (now - ex.arrived) / 10, took / 10);
        }
        // First its room is given back, then the answer goes out: the stub may send the next at once.
        chain.admit.finished(ex, outcome, took, answer);
        if (!ex.done && outcome != Outcome.STOPPED) {
            if (outcome == Outcome.COMPLETED) {
                chain.book.complete(ex, answer, now);
            } else {
                chain.book.terminate(ex, now);
            }
        }
    }

    @Override
    public void gauges(String tag, double[] row) {
        chain.thread.post(() -> chain.send.gaugesRead(tag, row));
    }

    @Override
    public void error(String text) {
        chain.thread.post(() -> {
            String[] words = text.split(" ");
            Open ex = words.length > 2 ? chain.book.find(words[2]) : null;
            if (ex == null) {
                LOG.log(System.Logger.Level.WARNING, "the interpreter did not carry out: {0}", text);
            } else if (ex.begun && !ex.over()) {
                chain.admit.strike(ex, "the interpreter knows nothing of it: " + text);
                chain.admit.finished(ex, Outcome.NOTHING_STARTED, 0);
                chain.book.terminate(ex, chain.clock.now());
            }
        });
    }

    @Override
    public void remark(long number, String text) {
        chain.thread.post(() -> chain.noticed(number));
    }

    @Override
    public void ended(String why) {
        chain.thread.post(() -> chain.linkLost(link, why));
    }
}
