package vetchrill.model;

import vetchrill.fleet.Fleet.StubPool;

/** A client stub of the model: its tries are events, and it hears of them after the network's delay. */
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
        SimulatedInstance.SimulatedExchange ex =
                new SimulatedInstance.SimulatedExchange((FleetSimulation.SimulatedRequest) request, this,
                instance.incarnation);
        simulation.schedule(now + simulation.delay(zone, instance.zone), then -> {
            if (instance.up) {
                instance.onArrival(ex, then);
            } else {
                simulation.deliverAnswer(instance, ex, ClientRequest.Answer.UNREACHABLE, 0, false, then);
            }
        });
        simulation.schedule(attemptDeadline, then -> onAnswer(instance, ex, ClientRequest.Answer.TIMED_OUT, 0, false,
                then));
    }

    @Override
    protected void scheduleRetry(ClientRequest request, long time) {
        simulation.schedule(time, now -> retry(request, now));
    }

    /** The try is over for this stub, which hears of it only now. */
    void onAnswer(SimulatedInstance instance, SimulatedInstance.SimulatedExchange ex, ClientRequest.Answer answer,
            long retryAfter, boolean doNotRetry, long now) {
        if (!ex.answeredAtStub) {
            ex.answeredAtStub = true;
            attemptEnded(ex.request, instance.number, answer, retryAfter, doNotRetry, now);
        }
    }
}
