package vetchrill.members;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import vetchrill.members.News.State;

/**
 * Which instances of the fleet live, as one of them holds it. The owner reports what happened through {@link #heard},
 * {@link #leave} and {@link #time}, which only note it, and then calls {@link #next} until it returns false; each call
 * does at most one thing through {@link Host}. It knows no clock and no network. Times are tenths of a millisecond on
 * a clock of the owner's that never steps.
 *
 * <p>By SWIM, each period one other is probed, in an order that comes to all; what does not answer is probed through
 * others, then suspected, and held dead where it has not spoken up in time. After Lifeguard, an instance that is itself
 * slow or was paused waits longer before it suspects anyone, and a suspicion that nobody shares waits longer.
 */
public final class Members {
    /** What it may ask of its owner. */
    public interface Host {
        /**
         * To whoever stands at the address of that name; an answer, whose {@code nonce} is not 0, to that process by
         * the way on which its word came, as two may have one name and one address.
         */
        void send(String to, long nonce, Word word);

        /** What is held of a name has changed. */
        void changed(News now, State was);

        /** Another process has the name of this one, and came later: nothing that this one says counts any more. */
        void replaced(News by);
    }

    private static final int SICKEST = 8;
    /** Awake so many times later than asked for, it was this process that stood still. */
    private static final int OVERSLEPT = 3;
    private static final int SICK_FROM_SLEEP = 3;
    private static final int NEWS_IN_A_WORD = 8;
    private static final int SPREAD = 3;
    private static final int SHARED_BY = 3;

    private static final class Suspicion {
        final long since;
        final Set<String> by = new HashSet<>();
        long slept;

        Suspicion(long since) {
            this.since = since;
        }
    }

    private static final class Spreading {
        final News news;
        int sent;

        Spreading(News news) {
            this.news = news;
        }
    }

    private record Change(News now, State was) {
    }

    private record Outgoing(String to, long nonce, Word.Kind kind, long number, String about) {
    }

    /** A probe made for somebody else, who asked under a number of its own. */
    private record Errand(String asker, long nonce, long number, long until) {
    }

    private final Pace pace;
    private final SplittableRandom chance;
    private News self;
    private final TreeMap<String, News> held = new TreeMap<>();
    private final Map<String, Suspicion> suspicions = new HashMap<>();
    private final List<Spreading> spreading = new ArrayList<>();
    private final ArrayDeque<Outgoing> toSend = new ArrayDeque<>();
    private final ArrayDeque<Change> toTell = new ArrayDeque<>();
    private final TreeMap<Long, Errand> errands = new TreeMap<>();
    private final ArrayDeque<String> round = new ArrayDeque<>();
    private long now;
    private long lastTime;
    private long wakeAt;
    private long numbers;
    private long nextProbe;
    private long nextSync;
    private boolean othersTurn;
    /** The one that is probed now, null for none; and what has come of it. */
    private String probed;
    private long probeNumber;
    private long probeSent;
    private boolean helped;
    private int helpers;
    private int deaf;
    /** How far this instance distrusts itself: from 0 for not at all. */
    private int sick;
    /** Somebody has told all that it holds, so that a later life under this name is another's. */
    private boolean joined;
    private boolean leaving;
    private News replacedBy;
    private boolean toldReplaced;

    /** {@code life} is one past the last that is known, 1 where none is; {@code nonce} is drawn by the process. */
    public Members(Pace pace, String name, String zone, long life, long nonce, Collection<String> others, long seed,
            long now) {
        this.pace = pace;
        chance = new SplittableRandom(seed);
        self = new News(name, zone, life, nonce, 0, State.ALIVE, name);
        for (String other : others) {
            if (!other.equals(name)) {
                held.put(other, new News(other, "", 0, 0, 0, State.UNHEARD, name));
            }
        }
        this.now = now;
        lastTime = now;
        wakeAt = now;
        nextProbe = now + chance.nextLong(pace.period());
        nextSync = now;
        spread(self);
    }

    // What happened.

    public void time(long now) {
        long asked = Math.max(1, wakeAt - lastTime);
        long slept = now - lastTime;
        if (slept > OVERSLEPT * Math.max(asked, pace.answer())) {
            // Answers that came meanwhile were not read: what was waited for is no evidence.
            sick = Math.min(SICKEST, sick + SICK_FROM_SLEEP);
            probed = null;
            suspicions.values().forEach(each -> each.slept += slept - asked);
            nextProbe = Math.max(nextProbe, now + pace.answer());
        }
        this.now = now;
        lastTime = now;
    }

    public void heard(Word word) {
        if (replacedBy != null || word.from().name().equals(self.name()) && word.from().sameLife(self)) {
            return;
        }
        News from = word.from();
        News known = held.get(from.name());
        boolean counts = !from.name().equals(self.name()) && known != null && !(from.life() < known.life()
                || from.life() == known.life() && from.nonce() < known.nonce());
        take(from);
        word.news().forEach(this::take);
        if (!counts) {
            // An older life under that name, or one that is in nobody's file: it is told what is held of it, no more.
            if (known != null) {
                spread(known);
                toSend.add(new Outgoing(from.name(), from.nonce(), Word.Kind.DEAF, word.number(), ""));
            }
            return;
        }
        switch (word.kind()) {
            case PROBE -> toSend.add(new Outgoing(from.name(), from.nonce(), Word.Kind.HERE, word.number(), ""));
            case PROBE_FOR -> {
                if (held.containsKey(word.about())) {
                    long number = ++numbers;
                    errands.put(number, new Errand(from.name(), from.nonce(), word.number(), now + pace.answer()));
                    toSend.add(new Outgoing(word.about(), 0, Word.Kind.PROBE, number, ""));
                }
            }
            case HERE -> here(word.number());
            case DEAF -> deaf += probed != null && word.number() == probeNumber ? 1 : 0;
            case SYNC -> toSend.add(new Outgoing(from.name(), from.nonce(), Word.Kind.SAME, word.number(), ""));
            default -> joined = true;
        }
    }

    /** From now on this instance says that it goes by its own will. */
    public void leave() {
        leaving = true;
        self = self.in(State.LEFT, self.name());
        spread(self);
    }

    private void here(long number) {
        Errand errand = errands.remove(number);
        if (errand != null) {
            toSend.add(new Outgoing(errand.asker(), errand.nonce(), Word.Kind.HERE, errand.number(), ""));
        } else if (probed != null && number == probeNumber) {
            probed = null;
            sick = Math.max(0, sick - 1);
        }
    }

    private void take(News news) {
        if (news.name().equals(self.name())) {
            ofSelf(news);
            return;
        }
        News known = held.get(news.name());
        if (known == null || news.state() == State.UNHEARD) {
            return;
        }
        if (known.sameLife(news) && known.turn() == news.turn() && news.state() == State.SUSPECTED
                && known.state() == State.SUSPECTED) {
            if (suspicions.get(news.name()).by.add(news.by())) {
                spread(news);
            }
            return;
        }
        if (news.compareTo(known) > 0) {
            hold(news, known.state());
        }
    }

    private void ofSelf(News news) {
        boolean mine = news.sameLife(self);
        boolean later = !mine && (news.life() > self.life() || news.life() == self.life()
                && news.nonce() > self.nonce());
        if (!mine && !joined && news.life() >= self.life() || later && !news.living()) {
            // This process is the one that came back, and whatever had its name before is over.
            self = new News(self.name(), self.zone(), news.life() + 1, self.nonce(), 0, self.state(), self.name());
            spread(self);
        } else if (later) {
            replacedBy = news;
        } else if (mine && !leaving && news.state() != State.ALIVE && news.turn() >= self.turn()) {
            // Somebody did not hear it in time: mostly it is this instance that was slow.
            sick = Math.min(SICKEST, sick + 1);
            self = new News(self.name(), self.zone(), self.life(), self.nonce(), news.turn() + 1, State.ALIVE,
                    self.name());
            spread(self);
        }
    }

    private void hold(News news, State was) {
        held.put(news.name(), news);
        if (news.state() == State.SUSPECTED) {
            Suspicion suspicion = new Suspicion(now);
            suspicion.by.add(news.by());
            suspicions.put(news.name(), suspicion);
        } else {
            suspicions.remove(news.name());
        }
        if (probed != null && probed.equals(news.name()) && news.state() == State.DEAD) {
            probed = null;
        }
        spread(news);
        if (news.state() != was) {
            toTell.add(new Change(news, was));
        }
    }

    private void spread(News news) {
        spreading.removeIf(each -> each.news.name().equals(news.name()));
        spreading.add(new Spreading(news));
    }

    // What to do about it.

    /** Does the next thing that is due, if any, through the host; false when there is nothing left to do. */
    public boolean next(Host host) {
        if (replacedBy != null) {
            if (!toldReplaced) {
                toldReplaced = true;
                host.replaced(replacedBy);
                return true;
            }
            return false;
        }
        if (!toTell.isEmpty()) {
            Change change = toTell.poll();
            host.changed(change.now(), change.was());
            return true;
        }
        if (!toSend.isEmpty()) {
            Outgoing each = toSend.poll();
            boolean whole = each.kind() == Word.Kind.SYNC || each.kind() == Word.Kind.SAME;
            host.send(each.to(), each.nonce(), new Word(each.kind(), self, each.number(), each.about(), whole ? all()
                    : along(each.to())));
            return true;
        }
        return outwaited() || errandOver() || probeDue() || syncDue();
    }

    /** A suspicion that has waited long enough. */
    private boolean outwaited() {
        for (Map.Entry<String, News> each : held.entrySet()) {
            if (each.getValue().state() == State.SUSPECTED && now >= deadAt(each.getKey())) {
                hold(each.getValue().in(State.DEAD, self.name()), State.SUSPECTED);
                return true;
            }
        }
        return false;
    }

    private long deadAt(String name) {
        Suspicion suspicion = suspicions.get(name);
        double least = pace.patience() * Math.max(1, Math.log10(living() + 1)) * pace.period();
        int wanted = Math.min(SHARED_BY, living() - 2);
        double shared = wanted <= 0 ? 1 : Math.min(1, Math.log(suspicion.by.size()) / Math.log(wanted + 1));
        double span = least * (pace.alone() - (pace.alone() - 1) * shared);
        return suspicion.since + suspicion.slept + (long) (span * (1 + sick / 4.0));
    }

    private boolean errandOver() {
        if (errands.isEmpty() || errands.firstEntry().getValue().until() > now) {
            return false;
        }
        Errand errand = errands.pollFirstEntry().getValue();
        toSend.add(new Outgoing(errand.asker(), errand.nonce(), Word.Kind.DEAF, errand.number(), ""));
        return true;
    }

    private long waits() {
        return pace.answer() * (1 + sick);
    }

    private long helpersWait() {
        return (pace.period() - pace.answer()) * (1 + sick);
    }

    private boolean probeDue() {
        if (probed != null && !helped && now >= probeSent + waits()) {
            helped = true;
            List<String> others = new ArrayList<>();
            held.values().stream().filter(each -> each.state() == State.ALIVE && !each.name().equals(probed))
                    .forEach(each -> others.add(each.name()));
            helpers = Math.min(pace.helpers(), others.size());
            for (int i = 0; i < helpers; i++) {
                toSend.add(new Outgoing(others.remove(chance.nextInt(others.size())), 0, Word.Kind.PROBE_FOR,
                        probeNumber, probed));
            }
            return true;
        }
        if (probed != null && helped && now >= probeSent + waits() + helpersWait()) {
            String silent = probed;
            probed = null;
            // Helpers that don't even say that they heard nothing tell of this side's own way out.
            sick = Math.min(SICKEST, sick + Math.max(0, helpers - deaf));
            News known = held.get(silent);
            if (known.state() == State.ALIVE) {
                hold(known.in(State.SUSPECTED, self.name()), State.ALIVE);
            } else if (known.state() == State.SUSPECTED && suspicions.get(silent).by.add(self.name())) {
                spread(known.in(State.SUSPECTED, self.name()));
            }
            return true;
        }
        if (now < nextProbe || probed != null) {
            return false;
        }
        nextProbe = now + pace.period();
        String next = nextOfRound();
        if (next == null) {
            return true;
        }
        probed = next;
        probeNumber = ++numbers;
        probeSent = now;
        helped = false;
        deaf = 0;
        toSend.add(new Outgoing(next, 0, Word.Kind.PROBE, probeNumber, ""));
        return true;
    }

    /** Each comes once in a round, in an order drawn anew: no one goes without a probe for more than two rounds. */
    private String nextOfRound() {
        for (int tries = 0; tries < 2; tries++) {
            while (!round.isEmpty()) {
                String name = round.poll();
                if (held.get(name).living()) {
                    return name;
                }
            }
            List<String> names = new ArrayList<>();
            held.values().stream().filter(News::living).forEach(each -> names.add(each.name()));
            while (!names.isEmpty()) {
                round.add(names.remove(chance.nextInt(names.size())));
            }
        }
        return null;
    }

    /** Every other one goes to somebody who is not held alive: else two halves that were cut apart never met again. */
    private boolean syncDue() {
        if (now < nextSync) {
            return false;
        }
        List<String> near = new ArrayList<>();
        List<String> far = new ArrayList<>();
        held.values().forEach(each -> (each.living() ? near : far).add(each.name()));
        othersTurn = !othersTurn;
        List<String> from = far.isEmpty() || !near.isEmpty() && !othersTurn ? near : far;
        // One that knows nobody yet can't wait for long.
        nextSync = now + (joined ? pace.sync() : pace.period());
        if (from.isEmpty()) {
            return true;
        }
        toSend.add(new Outgoing(from.get(chance.nextInt(from.size())), 0, Word.Kind.SYNC, ++numbers, ""));
        return true;
    }

    private List<News> all() {
        List<News> all = new ArrayList<>();
        held.values().stream().filter(each -> each.state() != State.UNHEARD).forEach(all::add);
        return all;
    }

    /** What was said least often goes along first; what concerns the one spoken to always does. */
    private List<News> along(String to) {
        List<News> along = new ArrayList<>();
        News theirs = held.get(to);
        if (theirs != null && theirs.state() != State.ALIVE && theirs.state() != State.UNHEARD) {
            along.add(theirs);
        }
        int most = SPREAD * (32 - Integer.numberOfLeadingZeros(held.size() + 1));
        spreading.sort(Comparator.comparingInt(each -> each.sent));
        for (Spreading each : spreading) {
            if (along.size() < NEWS_IN_A_WORD) {
                each.sent++;
                along.add(each.news);
            }
        }
        spreading.removeIf(each -> each.sent >= most);
        return along;
    }

    // What is held.

    /** When it wants to be told of the time again, at the latest. */
    public long wakeAt() {
        long at = Math.min(nextSync, nextProbe);
        if (probed != null) {
            at = Math.min(nextSync, probeSent + waits() + (helped ? helpersWait() : 0));
        }
        if (!errands.isEmpty()) {
            at = Math.min(at, errands.firstEntry().getValue().until());
        }
        for (String name : suspicions.keySet()) {
            at = Math.min(at, deadAt(name));
        }
        wakeAt = Math.max(now, at);
        return wakeAt;
    }

    public News self() {
        return self;
    }

    public Collection<News> others() {
        return held.values();
    }

    /** This instance and all that are held to live. */
    public int living() {
        int living = 1;
        for (News each : held.values()) {
            living += each.living() ? 1 : 0;
        }
        return living;
    }

    /** From 0 for not at all to 8: how far it distrusts what it sees. */
    public int sick() {
        return sick;
    }
}
