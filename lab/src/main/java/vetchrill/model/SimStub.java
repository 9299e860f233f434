package vetchrill.model;

import vetchrill.fleet.Fleet.Pool;

/** A client stub of the model: its tries are events, and it hears of them after the network's delay. */
final class SimStub extends Stub {
    private final World world;

    SimStub(World world, Pool pool, int number, Chooser chooser) {
        super(world.fleet, pool, number, chooser, world.tally);
        this.world = world;
    }

    @Override
    protected void go(Asking asking, int chosen, long giveUpAt, long now) {
        SimRelay relay = world.relays[chosen];
        world.tried(now);
        SimRelay.Try ex = new SimRelay.Try((World.Drawn) asking, this, relay.life);
        world.at(now + world.delay(zone, relay.zone), then -> {
            if (relay.up) {
                relay.arrive(ex, then);
            } else {
                world.answer(relay, ex, Asking.Answer.UNREACHABLE, 0, false, then);
            }
        });
        world.at(giveUpAt, then -> answered(relay, ex, Asking.Answer.TIMED_OUT, 0, false, then));
    }

    @Override
    protected void later(Asking asking, long time) {
        world.at(time, now -> goOn(asking, now));
    }

    /** The try is over for this stub, which hears of it only now. */
    void answered(SimRelay relay, SimRelay.Try ex, Asking.Answer answer, long away, boolean giveUp, long now) {
        if (!ex.done) {
            ex.done = true;
            tried(ex.asking, relay.number, answer, away, giveUp, now);
        }
    }
}
