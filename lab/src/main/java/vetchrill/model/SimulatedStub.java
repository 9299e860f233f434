package vetchrill.model;

import vetchrill.fleet.Fleet.StubPool;
import vetchrill.model.ClientRequest.Answer;
import vetchrill.model.FleetSimulation.SimulatedRequest;
import vetchrill.model.SimulatedInstance.SimulatedExchange;

/** A client stub in the simulation: attempts and answers are events, delayed by the network. */
final class SimulatedStub extends ClientStub {
    private final FleetSimulation simulation;

    SimulatedStub(FleetSimulation simulation, StubPool pool, int number, StubPolicy policy) {
        super(simulation.fleet, pool, number, policy, simulation.statistics);
        this.simulation = simulation;
    }

    @Override
    protected void sendAttempt(ClientRequest request, int instanceNumber, long attemptDeadline, long now) {
        SimulatedInstance instance = simulation.instances[instanceNumber];
        simulation.countAttempt(now);
        SimulatedExchange ex = new SimulatedExchange((SimulatedRequest) request, this, instance.incarnation);
        simulation.schedule(now + simulation.delay(zone, instance.zone), then -> {
            if (instance.up) {
                instance.onArrival(ex, then);
            } else {
                simulation.deliverAnswer(instance, ex, Answer.UNREACHABLE, 0, false, then);
            }
        });
        simulation.schedule(attemptDeadline, then -> onAnswer(instance, ex, Answer.TIMED_OUT, 0, false,
                then));
    }

    @Override
    protected void scheduleRetry(ClientRequest request, long time) {
        simulation.schedule(time, now -> retry(request, now));
    }

    /** An answer, a reset or the timeout of an attempt reaches the stub; only the first of them counts. */
    void onAnswer(SimulatedInstance instance, SimulatedExchange ex, Answer answer,
            long retryAfter, boolean doNotRetry, long now) {
        if (!ex.answeredAtStub) {
            ex.answeredAtStub = true;
            attemptEnded(ex.request, instance.number, answer, retryAfter, doNotRetry, now);
        }
    }
}
