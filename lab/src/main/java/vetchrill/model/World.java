package vetchrill.model;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import vetchrill.control.Exchange.Outcome;
import vetchrill.fleet.Fleet;
import vetchrill.fleet.Fleet.Pool;
import vetchrill.fleet.Trouble;

/**
 * A fleet in virtual time: real modules on modelled machines, stubs of declared habits, a roster that lags, and what
 * goes wrong by a script. One thread plays one world; the same seed gives the same run whatever runs beside it.
 */
public final class World {
    /** An asking of the model, with the core time that it needs wherever it is run. */
    static final class Drawn extends Asking {
        final double work;
        final boolean calls;

        Drawn(int group, int customer, long subject, double kb, int bytes, long from, long until, double work,
                boolean calls) {
            super(group, customer, subject, kb, bytes, from, until);
            this.work = work;
            this.calls = calls;
        }
    }

    final Fleet fleet;
    final EventQueue events;
    final SimRelay[] relays;
    final Tally tally;
    final Peaks peaks = new Peaks();
    private final SimStub[] stubs;
    private final boolean[] listed;
    private final int[] reported;
    private final Demand demand;
    /** Null where first tries are drawn. */
    private List<Demand.Known> known;
    private final SplittableRandom chance;
    private final long seed;
    private final long span;
    private final long countFrom;
    private long bursts;
    private double burst = 1;
    private long allTries;
    long denied;
    private int callsInHand;
    /** When each batch of the rolling deploy begins, if there is one. */
    private final List<Long> batches = new ArrayList<>();
    private long eventsDone;

    /**
     * {@code span} of new exchanges, in tenths of a millisecond; peaks are counted from {@code countFrom} on. Past the
     * span the run goes on until all that was asked for has ended.
     */
    public World(Fleet fleet, Demand demand, long span, long countFrom, long seed, EventQueue events) {
        this.fleet = fleet;
        this.demand = demand;
        this.span = span;
        this.countFrom = countFrom;
        this.seed = seed;
        this.events = events;
        chance = new SplittableRandom(seed);
        tally = new Tally(fleet, span);
        List<SimRelay> all = new ArrayList<>();
        SplittableRandom speeds = chance.split();
        for (Fleet.Place place : fleet.places()) {
            double speed = Math.max(0.2, 1 + place.kind().speedSpread() * Demand.Told.gauss(speeds));
            all.add(new SimRelay(this, all.size(), place.zone(), place.kind(), speed, fleet.stubs()));
        }
        relays = all.toArray(new SimRelay[0]);
        listed = new boolean[relays.length];
        reported = new int[relays.length];
        java.util.Arrays.fill(listed, true);
        Chooser.Roster roster = Chooser.Roster.of(listed);
        stubs = new SimStub[fleet.stubs()];
        int number = 0;
        for (Pool pool : fleet.pools) {
            for (int i = 0; i < pool.count(); i++) {
                stubs[number] = new SimStub(this, pool, number, new Chooser(pool, i, roster, reported, chance.split()));
                number++;
            }
        }
    }

    /** Plays the whole span. */
    public Run run() {
        for (SimRelay relay : relays) {
            relay.start(false, 0);
        }
        for (Trouble trouble : fleet.troubles) {
            begin(trouble);
        }
        if (demand.known() != null) {
            known = demand.known();
            if (!known.isEmpty()) {
                events.add(known.get(0).at(), new KnownFirst(0));
            }
        } else if (demand.peak() > 0) {
            events.add(nextFirst(0), new First());
        }
        if (fleet.pools.stream().anyMatch(pool -> pool.habit() == Fleet.Habit.REPORT)) {
            events.add(0, new Reports());
        }
        at(countFrom, now -> {
            for (SimRelay relay : relays) {
                relay.countFromNow(now);
            }
        });
        at(span, this::count);
        long end = span + fleet.longestTimeout() + 10;
        for (Event event = events.poll(); event != null && event.time <= end; event = events.poll()) {
            event.happen(event.time);
            eventsDone++;
        }
        return new Run(tally, peaks, List.copyOf(batches), eventsDone);
    }

    private void count(long now) {
        double counted = Math.max(1, now - countFrom);
        double busy = 0;
        double reading = 0;
        for (SimRelay relay : relays) {
            double[] its = relay.counted(now);
            busy += its[0] / counted;
            peaks.coresOfOne = Math.max(peaks.coresOfOne, its[0] / counted);
            reading += its[1] / counted / relay.kind.cores() / relay.kind.speed();
        }
        peaks.cores = busy / relays.length;
        peaks.reading = reading / relays.length;
        peaks.deniedTries = denied / Math.max(1.0, allTries);
        long choices = 0;
        long kept = 0;
        for (SimStub stub : stubs) {
            choices += stub.chooser.choices;
            kept += stub.chooser.kept;
        }
        peaks.allAway = kept / Math.max(1.0, choices);
    }

    boolean counts(long now) {
        return now >= countFrom && now <= span;
    }

    long seedOf(int relay, int life) {
        return new SplittableRandom(seed * 31 + relay * 1_000_003L + life).nextLong();
    }

    long delay(int from, int to) {
        return from == to ? fleet.network.within() : fleet.network.across();
    }

    /** An answer, or the end of a connection, on its way to the stub. */
    void answer(SimRelay relay, SimRelay.Try ex, Asking.Answer answer, long away, boolean giveUp, long now) {
        at(now + delay(ex.stub.zone, relay.zone), then -> ex.stub.answered(relay, ex, answer, away, giveUp, then));
    }

    /** A way to say what happens at a time. */
    interface Act {
        void at(long now);
    }

    void at(long time, Act act) {
        events.add(time, new Event() {
            @Override
            public void happen(long now) {
                act.at(now);
            }
        });
    }

    // New exchanges.

    private long nextFirst(long now) {
        double peak = demand.peak() * Math.max(1, burst);
        double at = now;
        do {
            at -= Math.log(1 - chance.nextDouble()) / peak;
        } while (at < span && chance.nextDouble() * peak > demand.rate((long) at) * burst);
        return (long) Math.ceil(at);
    }

    /** Counted as asked for; what is not known of it is drawn. */
    private Drawn asking(Demand.Known first, long now) {
        Fleet.Group told = fleet.groups.get(first.group());
        double work = Double.isNaN(first.work()) ? demand.work(first.group(), chance) : first.work();
        Drawn asking = new Drawn(first.group(), first.customer(), first.subject(), first.kb(), first.bytes(), now,
                now + told.asyncTimeout(), work, told.calls() > 0 && chance.nextDouble() < told.calls());
        tally.asks(asking);
        return asking;
    }

    private final class First extends Event {
        private final long of = bursts;

        @Override
        public void happen(long now) {
            if (now >= span || of != bursts) {
                return;
            }
            int group = demand.group(chance);
            Drawn asking = asking(new Demand.Known(now, -1, group, demand.customer(chance), demand.subject(chance),
                    demand.kb(group, chance), demand.bytes(group, chance), Double.NaN), now);
            stubs[chance.nextInt(stubs.length)].send(asking, now);
            events.add(nextFirst(now), new First());
        }
    }

    /** One that is known, and after it the next; a burst sends some of them more than once, or leaves some out. */
    private final class KnownFirst extends Event {
        private final int place;

        KnownFirst(int place) {
            this.place = place;
        }

        @Override
        public void happen(long now) {
            if (now >= span) {
                return;
            }
            Demand.Known first = known.get(place);
            for (double left = burst; left > 0 && chance.nextDouble() < left; left--) {
                Drawn asking = asking(first, now);
                int stub = first.stub() >= 0 && first.stub() < stubs.length ? first.stub()
                        : chance.nextInt(stubs.length);
                stubs[stub].send(asking, now);
            }
            if (place + 1 < known.size()) {
                events.add(known.get(place + 1).at(), new KnownFirst(place + 1));
            }
        }
    }

    /** Another rate from now on; what was drawn for the old one is drawn again. */
    private void burst(double size, long now) {
        burst = size;
        bursts++;
        if (known == null && demand.peak() * burst > 0) {
            events.add(nextFirst(now), new First());
        }
    }

    void tried(long now) {
        if (counts(now)) {
            allTries++;
        }
    }

    private final class Reports extends Event {
        private static final long EVERY = 5_000;

        @Override
        public void happen(long now) {
            for (SimRelay relay : relays) {
                reported[relay.number] = relay.up ? relay.queue() : Integer.MAX_VALUE;
            }
            if (now < span) {
                events.add(now + EVERY, new Reports());
            }
        }
    }

    // The roster.

    /** Stubs follow what a relay says of itself after the roster's lag. */
    void health(SimRelay relay, boolean good) {
        int life = relay.life;
        at(events.now() + (events.now() == 0 ? 0 : fleet.roster.lag()), now -> {
            if (relay.life == life && relay.up) {
                listed[relay.number] = good;
            }
        });
    }

    /** Nobody says that it is gone: it stays listed until the silence is noticed, unless it is back by then. */
    private void died(SimRelay relay, long now) {
        int life = relay.life;
        at(now + fleet.roster.silent(), then -> {
            if (relay.life == life) {
                listed[relay.number] = false;
            }
        });
    }

    // What goes wrong.

    private void begin(Trouble trouble) {
        if (trouble instanceof Trouble.Burst each) {
            at(each.from(), now -> burst(each.size(), now));
            at(each.until(), now -> burst(1, now));
        } else if (trouble instanceof Trouble.Slow each) {
            List<SimRelay> drawn = drawn(each.part());
            at(each.from(), now -> drawn.forEach(relay -> relay.slow(each.size(), now)));
            at(each.until(), now -> drawn.forEach(relay -> relay.slow(1, now)));
        } else if (trouble instanceof Trouble.Crash each) {
            lose(drawn(each.part()), each.from(), each.until());
        } else if (trouble instanceof Trouble.Lose each) {
            List<SimRelay> lost = new ArrayList<>();
            for (SimRelay relay : relays) {
                if (each.zones().contains(fleet.zones.get(relay.zone).name())) {
                    lost.add(relay);
                }
            }
            lose(lost, each.from(), each.until());
        } else if (trouble instanceof Trouble.Reset each) {
            at(each.from(), now -> reset(each, new SplittableRandom(seed + 78), now));
        } else if (trouble instanceof Trouble.Roll each) {
            roll(each.from());
        }
    }

    private void reset(Trouble.Reset trouble, SplittableRandom draws, long now) {
        if (now < trouble.until()) {
            relays[draws.nextInt(relays.length)].reset(draws.nextInt(stubs.length), now);
            at(now + trouble.every(), then -> reset(trouble, draws, then));
        }
    }

    private List<SimRelay> drawn(double part) {
        List<SimRelay> left = new ArrayList<>(List.of(relays));
        List<SimRelay> drawn = new ArrayList<>();
        SplittableRandom draws = new SplittableRandom(seed + 77);
        for (long n = Math.round(part * relays.length); n > 0; n--) {
            drawn.add(left.remove(draws.nextInt(left.size())));
        }
        return drawn;
    }

    private void lose(List<SimRelay> lost, long from, long until) {
        at(from, now -> {
            for (SimRelay relay : lost) {
                if (relay.up) {
                    relay.die(now);
                    died(relay, now);
                }
                relay.gone = true;
            }
        });
        if (until < Long.MAX_VALUE) {
            at(until, now -> {
                for (SimRelay relay : lost) {
                    relay.gone = false;
                    if (!relay.up) {
                        relay.start(true, now);
                    }
                }
            });
        }
    }

    /** It died of its own load: it is started again, cold, after a while. */
    void fall(SimRelay relay, long now) {
        relay.die(now);
        died(relay, now);
        startLater(relay, now + fleet.rules.restart());
    }

    private void startLater(SimRelay relay, long time) {
        int life = relay.life;
        at(time, now -> {
            if (relay.life == life && !relay.up && !relay.gone) {
                relay.start(true, now);
            }
        });
    }

    private void roll(long from) {
        long begins = from;
        for (List<Integer> batch : fleet.batches()) {
            long at = begins;
            begins += fleet.batchEvery();
            batches.add(at);
            for (int relay : batch) {
                at(at, now -> replace(relays[relay], now));
            }
        }
    }

    private void replace(SimRelay relay, long now) {
        if (!relay.up) {
            return;
        }
        long stopAt = now + fleet.rules.stop();
        int life = relay.life;
        relay.leave(stopAt, now);
        at(stopAt, then -> {
            if (relay.life == life) {
                peaks.lostAtStop += relay.stop(then);
                startLater(relay, then + fleet.deploy.start());
            }
        });
    }

    // The tier below.

    void call(SimRelay relay, SimRelay.Try ex, long until) {
        long now = events.now();
        if (fleet.tier == null || callsInHand >= fleet.tier.slots()) {
            at(now + fleet.network.within(), then -> relay.callEnded(ex, Outcome.CALLEE_SATURATED, then - now, then));
            return;
        }
        callsInHand++;
        if (counts(now)) {
            peaks.tier = Math.max(peaks.tier, callsInHand / (double) fleet.tier.slots());
        }
        double variance = Math.log(1 + fleet.tier.workSpread() * fleet.tier.workSpread());
        long takes = Math.max(1, Math.round(fleet.tier.work()
                * Math.exp(Math.sqrt(variance) * Demand.Told.gauss(chance) - variance / 2)));
        at(now + takes, then -> callsInHand--);
        boolean inTime = now + takes <= until;
        at(inTime ? now + takes : until,
                then -> relay.callEnded(ex, inTime ? Outcome.COMPLETED : Outcome.TIMED_OUT, then - now, then));
    }
}
