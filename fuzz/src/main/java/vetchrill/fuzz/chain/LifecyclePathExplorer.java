package vetchrill.fuzz.chain;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import vetchrill.fuzz.InvariantViolation;
import vetchrill.peersim.VersionsPathExplorer;
import vetchrill.standin.StubFrames;

/**
 * Exhaustive exploration of the lifecycle of one mutating exchange: plays every sequence of actions up to a given
 * length on the real processing chain and checks the invariants after each action.
 */
public final class LifecyclePathExplorer {
    /** What can happen to the exchange or around it. */
    public enum Action { CUT_LINK, DROP_APPLY, TOGGLE_CONNECT_REFUSAL, TOGGLE_BANNER, TOGGLE_GAUGES, END_RUNS,
            TOGGLE_DUPLICATE_NOTICES, RESTART_INTERPRETER, PASS_DEADLINE, RESET_STUB, MOVE_INTERPRETER, START_DRAIN,
            PASS_TIME }

    private static final Action[] ACTIONS = Action.values();
    private static final long ACTION_DURATION_TENTHS_MS = 300;

    private final Set<String> states = ConcurrentHashMap.newKeySet();

    /** Number of distinct states seen, of link, run, answer and connection. */
    public int stateCount() {
        return states.size();
    }

    public static long pathCount(int depth) {
        return Math.round(Math.pow(ACTIONS.length, depth));
    }

    /** Plays the path with the given number; throws an InvariantViolation that names its actions. */
    public void walk(int depth, long number) {
        Action[] path = VersionsPathExplorer.path(ACTIONS, depth, number);
        try {
            walk(path);
        } catch (InvariantViolation e) {
            throw new InvariantViolation(e.getMessage() + " after " + java.util.Arrays.toString(path), e);
        }
    }

    private void walk(Action[] path) {
        ChainSimulation simulation = new ChainSimulation(1, true);
        simulation.runUntil(500);
        simulation.interpreter.manualCompletion = true;
        boolean connectRefused = false;
        // The exchange is sent after the first action, so that it arrives in different states as well.
        ExchangeOracle.TrackedExchange ex = null;
        for (int i = 0; i < path.length && !simulation.finished; i++) {
            switch (path[i]) {
                case CUT_LINK -> {
                    if (simulation.interpreter.link() != null) {
                        simulation.interpreter.link().disconnect();
                    }
                }
                case DROP_APPLY -> simulation.interpreter.dropsNextApply = true;
                case TOGGLE_CONNECT_REFUSAL -> {
                    connectRefused = !connectRefused;
                    simulation.connectRefusedUntil = connectRefused ? Long.MAX_VALUE : 0;
                }
                case TOGGLE_BANNER -> {
                    simulation.interpreter.bannerWithheld = !simulation.interpreter.bannerWithheld;
                    if (!simulation.interpreter.bannerWithheld) {
                        simulation.interpreter.sendBanner();
                    }
                }
                case TOGGLE_GAUGES -> simulation.interpreter.answersGauges = !simulation.interpreter.answersGauges;
                case END_RUNS -> simulation.interpreter.completeAll();
                case TOGGLE_DUPLICATE_NOTICES ->
                        simulation.interpreter.duplicatesNotices = !simulation.interpreter.duplicatesNotices;
                case RESTART_INTERPRETER -> simulation.interpreter.restart();
                case PASS_DEADLINE -> simulation.runUntil(simulation.now()
                        + ChainSimulation.ANSWER_TIMEOUTS_TENTHS_MS[1]);
                case RESET_STUB -> {
                    if (ex != null && !ex.stub.disconnected) {
                        ex.stub.reset();
                    }
                }
                case MOVE_INTERPRETER -> simulation.moveInterpreter(i);
                case START_DRAIN -> simulation.startDrain();
                case PASS_TIME -> simulation.runUntil(simulation.now() + 6_000);
            }
            if (ex == null) {
                ex = simulation.sendExchange(simulation.stubAt(0), 1, 20);
            }
            if (!simulation.finished) {
                simulation.runUntil(simulation.now() + ACTION_DURATION_TENTHS_MS);
                simulation.oracle.checkDeadlines(simulation.now());
                checkState(simulation, ex);
            }
        }
        simulation.settle();
    }

    /** Records the state; checks that there is no result before a run has ended, and no second run. */
    private void checkState(ChainSimulation simulation, ExchangeOracle.TrackedExchange ex) {
        boolean link = simulation.linkOpen && simulation.interpreter.link() != null;
        states.add(link + " " + simulation.interpreter.bannerWithheld + simulation.interpreter.answersGauges + " "
                + ex.runCount + ex.runEnded
                + " " + ex.answerCount + "/" + ex.answerCode + " " + ex.stub.disconnected + " "
                + (simulation.oracle.drainStartedAt >= 0));
        if (ex.answerCode == StubFrames.COMPLETED && !ex.runEnded) {
            throw new InvariantViolation("an exchange is completed before a run has ended");
        }
        if (ex.runCount > 1) {
            throw new InvariantViolation("a mutating exchange runs twice");
        }
    }
}
