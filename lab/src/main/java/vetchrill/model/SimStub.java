package vetchrill.model;

import vetchrill.fleet.Fleet.Pool;

/** A client stub of the model: it sends what its {@link Chooser} chooses, and hears of it after the network's delay. */
final class SimStub {
    /** Where no relay is listed a stub looks again after so long, in tenths of a millisecond. */
    private static final long LOOK_AGAIN = 1_000;

    final World world;
    final int number;
    final int zone;
    final Pool pool;
    final Chooser chooser;

    SimStub(World world, int number, int zone, Pool pool, Chooser chooser) {
        this.world = world;
        this.number = number;
        this.zone = zone;
        this.pool = pool;
        this.chooser = chooser;
    }

    void send(Asking asking, long now) {
        int chosen = chooser.choose(asking, now);
        if (chosen < 0) {
            if (now + LOOK_AGAIN < asking.until && pool.retry() != vetchrill.fleet.Fleet.Retry.NONE) {
                world.events.add(now + LOOK_AGAIN, new Again(asking));
            } else {
                end(asking, Asking.Answer.UNREACHABLE, now);
            }
            return;
        }
        SimRelay relay = world.relays[chosen];
        chooser.sent(asking, chosen);
        world.tally.tries(now);
        world.tried(now);
        SimRelay.Try ex = new SimRelay.Try(asking, this, relay.life, asking instanceof World.Drawn drawn ? drawn.work
                : 0);
        world.events.add(now + world.delay(zone, relay.zone), new Arrival(relay, ex));
        world.events.add(chooser.giveUpAt(asking, now), new GivenUp(relay, ex));
    }

    /** The try is over for this stub, which hears of it only now. */
    void answered(SimRelay relay, SimRelay.Try ex, Asking.Answer answer, long away, boolean giveUp, long now) {
        if (ex.done) {
            return;
        }
        ex.done = true;
        if (answer == Asking.Answer.DENIED) {
            world.tally.denied(now);
        }
        Asking asking = ex.asking;
        long next = chooser.after(asking, world.fleet.groups.get(asking.group), relay.number, answer, away, giveUp,
                now);
        if (asking.over) {
            return;
        }
        if (next < 0) {
            end(asking, answer, now);
        } else if (next <= now) {
            send(asking, now);
        } else {
            world.events.add(next, new Again(asking));
        }
    }

    private void end(Asking asking, Asking.Answer answer, long now) {
        if (!asking.over) {
            asking.over = true;
            world.tally.over(asking, answer, now);
        }
    }

    private final class Again extends Event {
        private final Asking asking;

        Again(Asking asking) {
            this.asking = asking;
        }

        @Override
        public void happen(long now) {
            if (!asking.over) {
                send(asking, now);
            }
        }
    }

    private static final class Arrival extends Event {
        private final SimRelay relay;
        private final SimRelay.Try ex;

        Arrival(SimRelay relay, SimRelay.Try ex) {
            this.relay = relay;
            this.ex = ex;
        }

        @Override
        public void happen(long now) {
            if (relay.up) {
                relay.arrive(ex, now);
            } else {
                relay.world.unreachable(now);
                relay.world.answer(relay, ex, Asking.Answer.UNREACHABLE, 0, false, now);
            }
        }
    }

    private final class GivenUp extends Event {
        private final SimRelay relay;
        private final SimRelay.Try ex;

        GivenUp(SimRelay relay, SimRelay.Try ex) {
            this.relay = relay;
            this.ex = ex;
        }

        @Override
        public void happen(long now) {
            answered(relay, ex, Asking.Answer.TIMED_OUT, 0, false, now);
        }
    }
}
