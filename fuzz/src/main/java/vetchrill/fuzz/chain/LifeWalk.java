package vetchrill.fuzz.chain;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import vetchrill.fuzz.Finding;
import vetchrill.peersim.VersionsWalk;

/**
 * The life of one mutating exchange in every order of what can happen to it, to a depth: each path is walked on the
 * real chain, and after each step what is seen of it is held against what may be.
 */
public final class LifeWalk {
    /** What can happen. */
    public enum Step { CUT, SWALLOW, REFUSE, BANNER, GAUGES, ENDS, DOUBLE, RESTART, DUE, RESET, MOVE, DRAIN, PASS }

    private static final Step[] STEPS = Step.values();
    private static final long TURN = 300;

    private final Set<String> states = ConcurrentHashMap.newKeySet();

    /** States that were seen, of link, run, answer and end. */
    public int states() {
        return states.size();
    }

    public static long paths(int depth) {
        return Math.round(Math.pow(STEPS.length, depth));
    }

    /** One path by its number; throws a Finding that names its steps. */
    public void walk(int depth, long number) {
        Step[] path = VersionsWalk.path(STEPS, depth, number);
        try {
            walk(path);
        } catch (Finding e) {
            throw new Finding(e.getMessage() + " after " + java.util.Arrays.toString(path), e);
        }
    }

    private void walk(Step[] path) {
        ChainRun run = new ChainRun(1, true);
        run.until(500);
        run.interpreter.byHand = true;
        boolean refused = false;
        // The exchange comes after the first step, so that the state that it comes to differs as well.
        Ledger.Ex ex = null;
        for (int i = 0; i < path.length && !run.over; i++) {
            switch (path[i]) {
                case CUT -> {
                    if (run.interpreter.link() != null) {
                        run.interpreter.link().cut();
                    }
                }
                case SWALLOW -> run.interpreter.losesNext = true;
                case REFUSE -> {
                    refused = !refused;
                    run.refusedUntil = refused ? Long.MAX_VALUE : 0;
                }
                case BANNER -> {
                    run.interpreter.bannerHeld = !run.interpreter.bannerHeld;
                    if (!run.interpreter.bannerHeld) {
                        run.interpreter.banner();
                    }
                }
                case GAUGES -> run.interpreter.answersGauges = !run.interpreter.answersGauges;
                case ENDS -> run.interpreter.endAll();
                case DOUBLE -> run.interpreter.doubles = !run.interpreter.doubles;
                case RESTART -> run.interpreter.restart();
                case DUE -> run.until(run.now() + ChainRun.TIMEOUTS[1]);
                case RESET -> {
                    if (ex != null && !ex.stub.gone) {
                        ex.stub.reset();
                    }
                }
                case MOVE -> run.move(i);
                case DRAIN -> run.drain();
                case PASS -> run.until(run.now() + 6_000);
            }
            if (ex == null) {
                ex = run.exchange(run.stub(0), 1, 20);
            }
            if (!run.over) {
                run.until(run.now() + TURN);
                run.ledger.overdue(run.now());
                see(run, ex);
            }
        }
        run.rest();
    }

    /**
     * A result that was told over a link that is settled has been passed on by now; nothing is answered out of
     * nothing.
     */
    private void see(ChainRun run, Ledger.Ex ex) {
        boolean link = run.linkOpen && run.interpreter.link() != null;
        states.add(link + " " + run.interpreter.bannerHeld + run.interpreter.answersGauges + " " + ex.runs + ex.runOver
                + " " + ex.answers + "/" + ex.code + " " + ex.stub.gone + " " + (run.ledger.leftAt >= 0));
        if (ex.code == 79 && !ex.runOver) {
            throw new Finding("a result without the end of a run");
        }
        if (ex.runs > 1) {
            throw new Finding("a mutating exchange runs twice");
        }
    }
}
