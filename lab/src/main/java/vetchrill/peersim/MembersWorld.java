package vetchrill.peersim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import vetchrill.members.SwimMembership;
import vetchrill.members.MemberInfo;
import vetchrill.members.MemberInfo.State;
import vetchrill.members.MembershipConfig;
import vetchrill.members.MembershipMessage;
import vetchrill.peers.MembershipMessageCodec;

/**
 * A fleet of instances that hear each other, on a clock that is only counted: the text of {@link SwimMembership}
 * itself, or
 * the plain heartbeats that it is held against, over a network that loses, delays, doubles and is cut one way, with
 * processes that stop, stand still and come back. All is drawn from one seed.
 */
public final class MembersWorld extends Wires {
    /** What an instance holds its peers by. */
    interface Watch {
        void time(long now);

        void heard(MembershipMessage word);

        boolean next(SwimMembership.Host host);

        long wakeAt();
    }

    /** One process: a name may have had several, and two at once. */
    public final class Process {
        public final String name;
        final int place;
        final long nonce;
        final Watch watch;
        public final SwimMembership members;
        boolean up = true;
        boolean left;
        boolean replaced;
        private long replacedBy;
        long pausedUntil;
        private long wakeNumber;
        private final ArrayDeque<MembershipMessage> waiting = new ArrayDeque<>();
        private final Map<String, MemberInfo> seen = new HashMap<>();

        Process(int place, long life) {
            this.place = place;
            name = name(place);
            nonce = ++nonces;
            if (plain) {
                members = null;
                watch = new Heartbeats(pace, name, names, nonce, now());
            } else {
                members = new SwimMembership(pace, name, "", life, nonce, names, chance.nextLong(), now());
                watch = new Watch() {
                    @Override
                    public void time(long now) {
                        members.advanceTime(now);
                    }

                    @Override
                    public void heard(MembershipMessage word) {
                        members.receive(word);
                    }

                    @Override
                    public boolean next(SwimMembership.Host host) {
                        return members.processNext(host);
                    }

                    @Override
                    public long wakeAt() {
                        return members.wakeAt();
                    }
                };
            }
        }

        boolean live() {
            return up && !replaced;
        }
    }

    private final MembershipConfig pace;
    private final boolean plain;
    private final List<String> names = new ArrayList<>();
    /** The processes of each place, the last one last. */
    public final List<List<Process>> places = new ArrayList<>();
    private long nonces;
    public long bytes;
    /** Held dead by somebody though it was up and had not stood still of late. */
    public int falseDeaths;
    public int falseSuspicions;
    /** For each process that went, when each of those that live came to hold it dead, after so long. */
    public final List<Long> detected = new ArrayList<>();
    private final Map<Process, Long> downSince = new HashMap<>();

    public MembersWorld(int size, MembershipConfig pace, boolean plain, long seed) {
        super(seed);
        this.pace = pace;
        this.plain = plain;
        for (int i = 0; i < size; i++) {
            names.add(name(i));
        }
        for (int i = 0; i < size; i++) {
            places.add(new ArrayList<>());
            start(i, 1);
        }
    }

    private static String name(int place) {
        return String.format("r%04d", place);
    }

    // What goes wrong.

    /** A process under that name, beside or after those that it has; it knows of no earlier life unless told. */
    public Process start(int place, long life) {
        Process process = new Process(place, life);
        places.get(place).add(process);
        faulty();
        at(now(), () -> pump(process));
        return process;
    }

    /** The one that has the name: the latest that has not given way, or the latest where none is left. */
    public Process last(int place) {
        List<Process> its = places.get(place);
        for (int i = its.size() - 1; i >= 0; i--) {
            if (its.get(i).live()) {
                return its.get(i);
            }
        }
        return its.get(its.size() - 1);
    }

    public boolean isUp(int place) {
        return last(place).up;
    }

    public void kill(int place) {
        for (Process each : places.get(place)) {
            if (each.up) {
                each.up = false;
                downSince.put(each, now());
            }
        }
        faulty();
    }

    public void leave(int place) {
        Process process = last(place);
        if (process.live() && process.members != null) {
            process.left = true;
            process.members.leave();
            pump(process);
            at(now() + 4 * pace.probePeriod(), () -> process.up = false);
        }
        faulty();
    }

    public void pause(int place, long span) {
        Process process = last(place);
        process.pausedUntil = Math.max(process.pausedUntil, now() + span);
        at(process.pausedUntil, () -> pump(process));
        faulty();
    }

    // The network and the owners.

    private void send(Process from, String to, long nonce, MembershipMessage word) {
        bytes += MembershipMessageCodec.encode(word).length;
        int place = names.indexOf(to);
        if (place < 0) {
            throw new Broken("a word goes to a name that nobody has");
        }
        // Of two under one name the later one stands at the address in the file; an answer finds either.
        Process target = last(place);
        for (Process each : places.get(place)) {
            target = nonce != 0 && each.nonce == nonce ? each : target;
        }
        Process there = target;
        carry(from.place, place, () -> arrive(there, word));
    }

    private void arrive(Process to, MembershipMessage word) {
        if (!to.up) {
            return;
        }
        to.waiting.add(word);
        pump(to);
    }

    private void pump(Process process) {
        if (!process.up || now() < process.pausedUntil) {
            return;
        }
        process.watch.time(now());
        while (!process.waiting.isEmpty()) {
            process.watch.heard(process.waiting.poll());
        }
        SwimMembership.Host host = new SwimMembership.Host() {
            @Override
            public void send(String to, long nonce, MembershipMessage word) {
                MembersWorld.this.send(process, to, nonce, word);
            }

            @Override
            public void stateChanged(MemberInfo now, State was) {
                MembersWorld.this.changed(process, now, was);
            }

            @Override
            public void replaced(MemberInfo by) {
                process.replaced = true;
                process.replacedBy = by.nonce();
            }
        };
        int steps = 0;
        while (process.watch.next(host)) {
            if (++steps > 100_000) {
                throw new Broken("an instance never comes to an end of what it does");
            }
        }
        long number = ++process.wakeNumber;
        if (!process.replaced) {
            at(Math.max(now() + 1, process.watch.wakeAt()), () -> {
                if (number == process.wakeNumber) {
                    pump(process);
                }
            });
        }
    }

    private void changed(Process process, MemberInfo news, State was) {
        MemberInfo before = process.seen.put(news.name(), news);
        if (before != null && (news.incarnation() < before.incarnation()
                || news.incarnation() == before.incarnation() && news.nonce() < before.nonce()
                || news.isSameProcess(before) && news.refutations() < before.refutations())) {
            throw new Broken("what is held of a name goes back");
        }
        Process of = null;
        for (Process each : places.get(names.indexOf(news.name()))) {
            of = each.nonce == news.nonce() ? each : of;
        }
        if (of == null) {
            throw new Broken("a life is held that nobody lived");
        }
        boolean well = of.live() && !of.left && now() > of.pausedUntil + 4 * pace.probePeriod();
        if (news.state() == State.DEAD && of.up && well) {
            falseDeaths++;
        } else if (news.state() == State.SUSPECTED && of.up && well) {
            falseSuspicions++;
        } else if (news.state() == State.DEAD && !of.up && downSince.containsKey(of)) {
            detected.add(now() - downSince.get(of));
        }
    }

    // What must hold.

    /** Long enough after the last fault, all that live hold the same and what is so. */
    public void settled() {
        for (List<Process> its : places) {
            int up = 0;
            int live = 0;
            for (Process each : its) {
                up += each.up ? 1 : 0;
                live += each.live() ? 1 : 0;
            }
            if (live > 1) {
                throw new Broken("two processes act under one name");
            }
            if (up > 0 && live == 0 && its.stream().noneMatch(each -> each.up && its.stream()
                    .anyMatch(other -> other.nonce == each.replacedBy && !other.up))) {
                throw new Broken("all processes of a name have given way to one another");
            }
        }
        for (int i = 0; i < places.size(); i++) {
            Process viewer = last(i);
            if (!viewer.live() || viewer.left) {
                continue;
            }
            for (MemberInfo news : viewer.members.others()) {
                Process of = last(names.indexOf(news.name()));
                if (of.live() && !of.left) {
                    if (news.state() != State.ALIVE) {
                        throw new Broken("one that lives is not held alive");
                    }
                    if (news.nonce() != of.nonce || news.incarnation() != of.members.self().incarnation()) {
                        throw new Broken("another life is held of one that lives");
                    }
                } else if (news.state() == State.ALIVE || news.state() == State.SUSPECTED) {
                    throw new Broken("one that is gone is held alive");
                }
            }
        }
    }

    /** When the last fault is over for everybody: syncs with those that are held dead, and a verdict on each. */
    public long settles() {
        return lastFault + 40 * pace.syncPeriod();
    }
}
