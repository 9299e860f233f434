package vetchrill.versions;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import vetchrill.versions.Saying.Count;
import vetchrill.versions.Saying.Kept;
import vetchrill.versions.Saying.Kind;
import vetchrill.versions.Saying.News;
import vetchrill.versions.Saying.Noted;
import vetchrill.versions.Saying.Piece;
import vetchrill.versions.Saying.Standing;

/**
 * By which version an instance decides, and until when it may: what is wanted spreads, is fetched, tried and taken;
 * whoever can't follow is brought up or shut out. The owner reports what happened through the methods of the first
 * part, which only note it, and then calls {@link #next} until it returns false; each call does at most one thing
 * through {@link Host}. It knows no clock, no network and no disk. Times are tenths of a millisecond on a clock of the
 * owner's that never steps.
 */
public final class Versions {
    /** What may become of it, for whoever keeps the log and the record. */
    public enum Event { HEARD, TAKEN, REFUSED, FORK, STOPPED, BEHIND, BARRED, FREE, CONFIRMED, DISK, OLDER }

    /** What it may ask of its owner. */
    public interface Host {
        void send(String to, Saying saying);

        /** Onto the disk, all of it or nothing; {@link #kept} is called when that is done. One at a time. */
        void keep(Memory memory);

        /** Whether this content could be taken here, without taking it; answered by {@link #tried}. */
        void tryOut(Version version, byte[] content);

        /** From now on whatever arrives is decided by this one. */
        void take(Version version, byte[] content);

        /** Nothing of a version under the floor is begun any more, and nothing at all from {@code until} on. */
        void lease(long taken, long floor, long until);

        /** Something that staff should see; {@code of} is the instance that it is about. */
        void tell(Event event, String of, long version, String text);
    }

    static final int PIECE = 16 << 10;
    private static final int VERSIONS_KEPT = 4;
    private static final int TOLD_AT_ONCE = 3;
    private static final int ROUNDS_OUT_OF_REACH = 8;
    /** Words between two times that what others told of their disks is kept. */
    private static final int COUNTS_EVERY = 8;
    private static final String FORK = "two contents under one number";

    /** One version as it is known here. */
    private static final class Note {
        final Version version;
        long since;
        String stopped;
        byte[] content;
        /** Nobody had its content when all were asked; what is lower is taken meanwhile. */
        long outOfReachUntil = Long.MIN_VALUE;

        Note(Version version, long since, String stopped) {
            this.version = version;
            this.since = since;
            this.stopped = stopped;
        }
    }

    /** Another instance as it last told of itself. */
    public record Seen(String name, String zone, Standing standing, long at) {
    }

    private record Outgoing(String to, Kind kind, long number, Piece piece) {
    }

    private record Owed(String to, long number) {
    }

    private final Terms terms;
    private final String name;
    private final String zone;
    private final String text;
    private final long nonce;
    private final SplittableRandom chance;
    private final Floors floors;
    private final TreeMap<Long, Note> notes = new TreeMap<>();
    private final TreeMap<String, Seen> seen = new TreeMap<>();
    private final Map<String, Set<Long>> toldBehind = new HashMap<>();
    private final ArrayDeque<Outgoing> toSend = new ArrayDeque<>();
    private final ArrayDeque<Runnable> toTell = new ArrayDeque<>();
    private Host host;
    private long now;
    private long numbers;
    private long nextState;
    private long nextAsk;
    private long nextLook;
    private long nextBehind;
    /** Something is news here that the others may not have heard. */
    private boolean rumour = true;
    /** Answers that wait until what they rest on is on the disk. */
    private final List<Owed> owed = new ArrayList<>();
    private final List<Owed> owedAfter = new ArrayList<>();
    private Memory keeping;
    /** The last one given to the disk, whatever became of it. */
    private Memory given;
    /** Of the memory given to the disk last, and of that which is there; see {@link Memory#count}. */
    private long count;
    private long countKept;
    /** What the others told of theirs; kept now and then. */
    private final TreeMap<String, Long> seenCounts = new TreeMap<>();
    private boolean seenNews;
    private long seenAgain;
    /** Each start is a memory of its own. */
    private boolean wantKeeping = true;
    private boolean diskBad;
    private long keepAgain;
    private Version taken;
    private byte[] takenContent;
    private Note taking;
    private Note trying;
    private final Map<Long, String> refused = new HashMap<>();
    private Note fetching;
    private byte[] fetched;
    private int fetchedTo;
    /** How far it had come when it was last asked for: nothing came since where that is still so. */
    private int fetchAskedAt;
    private String fetchFrom;
    private long fetchUntil;
    private final Set<String> fetchTried = new HashSet<>();
    private long saidFloor = -1;
    private long saidUntil;
    private long saidTaken = -1;
    private boolean barred = true;
    private long confirmedTold;
    private final long[] counts = new long[4];
    private final long[] base = new long[4];

    /**
     * {@code text} is the digest of the program; {@code nonce} is drawn by the process; {@code memory} is null where
     * the disk holds none.
     */
    public Versions(Terms terms, String name, String zone, String text, long nonce, Memory memory, long seed,
            long now) {
        this.terms = terms;
        this.name = name;
        this.zone = zone;
        this.text = text;
        this.nonce = nonce;
        chance = new SplittableRandom(seed);
        floors = new Floors(terms, name, memory);
        this.now = now;
        // An answer to a question of an earlier process must not be taken for one to a question of this one.
        numbers = chance.nextLong(Long.MAX_VALUE / 2);
        nextState = now;
        nextAsk = now;
        if (memory != null) {
            count = memory.count();
            countKept = count;
            for (Count each : memory.seen()) {
                seenCounts.put(each.name(), each.count());
            }
            for (Noted each : memory.versions()) {
                notes.put(each.version().number(), new Note(each.version(), now - each.age(), each.stopped()));
            }
            if (memory.taken() != null) {
                taken = memory.taken();
                takenContent = memory.content();
                Note note = notes.computeIfAbsent(taken.number(), any -> new Note(taken, now, ""));
                note.content = takenContent;
            }
        }
    }

    // What happened.

    public void time(long now) {
        this.now = Math.max(this.now, now);
    }

    /** What this instance has decided since its start: exchanges, and of these denied, failed and broken off. */
    public void counted(long decided, long denied, long failed, long broken) {
        counts[0] = decided;
        counts[1] = denied;
        counts[2] = failed;
        counts[3] = broken;
    }

    public void heard(Saying said) {
        if (!terms.others().contains(said.from())) {
            // Nobody of this fleet, or another process under this name.
            return;
        }
        if (said.standing().count() > seenCounts.getOrDefault(said.from(), 0L)) {
            seenCounts.put(said.from(), said.standing().count());
            seenNews = true;
        }
        if (said.ofYou() > count) {
            older(said.from(), said.ofYou());
        }
        boolean below = said.standing().taken() < floors.confirmed();
        seen.put(said.from(), new Seen(said.from(), said.zone(), said.standing(), now));
        merge(said.news(), below);
        switch (said.kind()) {
            case STATE -> {
                // An answer is not answered: two that can't come to hold the same would go on for ever.
                if (said.number() == 0 && lacks(said.news())) {
                    send(said.from(), Kind.STATE, 1);
                }
            }
            case ASK -> {
                if (floors.able()) {
                    send(said.from(), Kind.GRANT, said.number());
                } else if (lacks(said.news())) {
                    send(said.from(), Kind.STATE, 1);
                }
            }
            case GRANT -> floors.granted(said.from(), lifeOf(said), said.number());
            case RECALL -> send(said.from(), Kind.RECALLED, said.number());
            case RECOVER -> {
                // Its new life must outlast this process, else a promise of its earlier one might count again.
                owed.add(new Owed(said.from(), said.number()));
                wantKeeping = true;
            }
            case RECALLED -> {
                if (floors.recalled(said.from(), said.number(), said.standing().able(),
                        said.standing().whole())) {
                    nextAsk = now;
                }
            }
            case FETCH -> fetchAsked(said);
            default -> pieceCame(said);
        }
    }

    /** This disk is of an earlier day than others have seen, or it was lost, or another process has the name. */
    private void older(String by, long seen) {
        tell(Event.OLDER, name, takenNumber(), by + " remembers " + seen + " memories of it, this disk " + countKept
                + ": it promises nothing until it was taught");
        count = seen;
        floors.doubted();
        wantKeeping = true;
        nextAsk = now;
    }

    private static long lifeOf(Saying said) {
        for (Kept each : said.news().keepers()) {
            if (each.keeper().equals(said.from())) {
                return each.life();
            }
        }
        return -1;
    }

    private void merge(News news, boolean below) {
        for (Kept each : news.keepers()) {
            rumour |= floors.merge(each);
        }
        if (news.floor() > floors.known()) {
            floors.raise(news.floor());
            rumour = true;
        }
        for (Noted each : news.versions()) {
            note(each, below);
        }
    }

    /** What one under the floor holds against a version does not count; that a version is there shows by itself. */
    private void note(Noted theirs, boolean below) {
        long number = theirs.version().number();
        Note mine = notes.get(number);
        if (mine == null) {
            if (notes.size() >= VERSIONS_KEPT && number < notes.firstKey()) {
                return;
            }
            mine = new Note(theirs.version(), now - theirs.age(), below ? "" : theirs.stopped());
            boolean newest = notes.isEmpty() || number > notes.lastKey();
            notes.put(number, mine);
            while (notes.size() > VERSIONS_KEPT) {
                notes.pollFirstEntry();
            }
            if (newest) {
                countFromNow();
            }
            rumour = true;
            tell(Event.HEARD, name, number, "by " + theirs.version().author());
        } else if (!mine.version.sameAs(theirs.version())) {
            stop(mine, FORK, Event.FORK);
        } else {
            mine.since = Math.min(mine.since, now - theirs.age());
            if (!theirs.stopped().isEmpty() && !below) {
                stop(mine, theirs.stopped(), theirs.stopped().equals(FORK) ? Event.FORK : Event.STOPPED);
            }
        }
    }

    private void stop(Note note, String why, Event event) {
        if (note.stopped.isEmpty()) {
            note.stopped = why;
            rumour = true;
            wantKeeping = true;
            tell(event, name, note.version.number(), why);
        }
    }

    /** Whether this instance knows of something that those news lack. */
    private boolean lacks(News theirs) {
        if (floors.known() > theirs.floor()) {
            return true;
        }
        for (Kept mine : floors.keepers()) {
            boolean has = theirs.keepers().stream().anyMatch(each -> each.keeper().equals(mine.keeper())
                    && (each.life() > mine.life() || each.life() == mine.life() && each.floor() >= mine.floor()));
            if (!has && mine.life() + mine.floor() > 0) {
                return true;
            }
        }
        for (Note mine : notes.values()) {
            boolean has = theirs.versions().stream().anyMatch(each -> each.version().number()
                    == mine.version.number() && (each.stopped().equals(FORK) || each.version().sameAs(mine.version)
                    && (mine.stopped.isEmpty() || !each.stopped().isEmpty())));
            boolean old = theirs.versions().size() >= VERSIONS_KEPT && theirs.versions().stream()
                    .allMatch(each -> each.version().number() > mine.version.number());
            if (!has && !old) {
                return true;
            }
        }
        return false;
    }

    /** The counts of now are where those since the newest version begin. */
    private void countFromNow() {
        System.arraycopy(counts, 0, base, 0, base.length);
    }

    /** Of the owner: what was given to {@link Host#keep} is on the disk, or could not be brought there. */
    public void kept(boolean done) {
        Memory memory = keeping;
        keeping = null;
        if (!done) {
            if (!diskBad) {
                tell(Event.DISK, name, takenNumber(), "nothing can be kept: no version is taken and no floor promised");
            }
            diskBad = true;
            wantKeeping = true;
            owed.addAll(owedAfter);
            owedAfter.clear();
            taking = null;
            keepAgain = now + terms.every() * 4;
            return;
        }
        diskBad = false;
        countKept = memory.count();
        long promised = floors.promised();
        floors.nowKept(memory);
        rumour |= floors.promised() > promised;
        for (Owed each : owedAfter) {
            send(each.to(), Kind.RECALLED, each.number());
        }
        owedAfter.clear();
        if (taking != null && taking.stopped.equals(FORK)) {
            // It came out while it was being kept: the disk is told that it was not taken after all.
            wantKeeping = true;
            taking = null;
        } else if (taking != null && memory.taken() != null && memory.taken().sameAs(taking.version)) {
            taken = taking.version;
            takenContent = taking.content;
            taking = null;
            countFromNow();
            rumour = true;
            Version version = taken;
            byte[] content = takenContent;
            toTell.add(() -> host.take(version, content));
            tell(Event.TAKEN, name, version.number(), version.digest());
        }
    }

    /** Of the owner: whether the content it was asked to try could be taken; {@code why} not, null where it could. */
    public void tried(long number, String why) {
        Note note = trying;
        trying = null;
        if (note == null || note.version.number() != number) {
            return;
        }
        if (why != null) {
            refuse(note.version, why);
        } else if (note.stopped.isEmpty() || floors.known() >= number) {
            taking = note;
            wantKeeping = true;
        }
    }

    private void refuse(Version version, String why) {
        refused.put(version.number(), why);
        rumour = true;
        tell(Event.REFUSED, name, version.number(), why);
    }

    // What an operator orders; null where it is done, else what is wrong with it.

    public String publish(Version version, byte[] content) {
        Note known = notes.get(version.number());
        if (known != null) {
            return known.version.sameAs(version) ? "version " + version.number() + " is published already"
                    : "version " + version.number() + " is there with another content; the next number is "
                    + (newest() + 1);
        }
        if (version.number() <= newest() || version.number() <= takenNumber()) {
            return "version " + version.number() + " is not higher than " + Math.max(newest(), takenNumber());
        }
        if (version.number() <= floors.known()) {
            return "version " + version.number() + " is not above the floor of " + floors.known();
        }
        if (barred()) {
            return "this instance is shut out: it decides by version " + takenNumber() + ", the floor is "
                    + floors.known();
        }
        note(new Noted(version, 0, ""), false);
        notes.get(version.number()).content = content;
        return null;
    }

    public String floor(long number) {
        if (number <= floors.known()) {
            return number == floors.known() ? null : "the floor is " + floors.known() + " already and never sinks";
        }
        Note note = notes.get(number);
        if (note == null) {
            return "no version " + number + " is known here";
        }
        if (!note.stopped.isEmpty()) {
            return "version " + number + " is stopped: " + note.stopped;
        }
        floors.raise(number);
        rumour = true;
        return null;
    }

    public String halt(long number) {
        Note note = notes.get(number);
        if (note == null) {
            return "no version " + number + " is known here";
        }
        stop(note, "halted by staff", Event.STOPPED);
        return null;
    }

    // The content of a version.

    private void fetchAsked(Saying said) {
        if (said.piece() == null) {
            return;
        }
        byte[] content = contentOf(said.piece().digest());
        int at = said.piece().at();
        byte[] part = content == null || at > content.length ? new byte[0]
                : Arrays.copyOfRange(content, at, Math.min(content.length, at + PIECE));
        toSend.add(new Outgoing(said.from(), Kind.PIECE, said.number(),
                new Piece(said.piece().digest(), at, part)));
    }

    private byte[] contentOf(String digest) {
        for (Note each : notes.values()) {
            if (each.version.digest().equals(digest) && each.content != null) {
                return each.content;
            }
        }
        return taken != null && taken.digest().equals(digest) ? takenContent : null;
    }

    private void pieceCame(Saying said) {
        Piece piece = said.piece();
        // From whomever: one that was given up on may only have been slow, and the digest tells a wrong piece.
        if (fetching == null || piece == null || !piece.digest().equals(fetching.version.digest())
                || piece.at() != fetchedTo) {
            return;
        }
        if (piece.bytes().length == 0 || piece.bytes().length > fetched.length - fetchedTo) {
            fetchAskedAt = fetchedTo;
            fetchUntil = now;
            return;
        }
        System.arraycopy(piece.bytes(), 0, fetched, fetchedTo, piece.bytes().length);
        fetchedTo += piece.bytes().length;
        if (fetchedTo < fetched.length) {
            fetchUntil = now;
            return;
        }
        Note whole = fetching;
        fetching = null;
        if (Digests.of(fetched).equals(whole.version.digest())) {
            whole.content = fetched;
        }
        // Else some piece was wrong: it is fetched anew, from another.
    }

    /** What is still there of an interrupted fetch goes on from where it stands, with whoever answers. */
    private boolean fetch() {
        Note target = target();
        if (target == null || target.content != null) {
            fetching = null;
            return false;
        }
        byte[] here = contentOf(target.version.digest());
        if (here != null || target.version.size() == 0) {
            target.content = here != null ? here : new byte[0];
            return true;
        }
        if (fetching != target) {
            fetching = target;
            fetched = new byte[target.version.size()];
            fetchedTo = 0;
            fetchAskedAt = 0;
            fetchTried.clear();
            fetchUntil = now;
        }
        if (now < fetchUntil) {
            return false;
        }
        if (fetchedTo == fetchAskedAt) {
            // Whoever was asked has said nothing of use.
            fetchFrom = source(target.version);
        }
        fetchUntil = now + terms.every();
        if (fetchFrom == null) {
            target.outOfReachUntil = now + ROUNDS_OUT_OF_REACH * terms.every();
            fetching = null;
            return true;
        }
        fetchAskedAt = fetchedTo;
        fetchTried.add(fetchFrom);
        toSend.add(new Outgoing(fetchFrom, Kind.FETCH, ++numbers,
                new Piece(target.version.digest(), fetchedTo, new byte[0])));
        return true;
    }

    /** Whoever took it has it, the author had it from the beginning; then anybody. Null once all were asked. */
    private String source(Version version) {
        List<String> from = new ArrayList<>();
        for (String each : terms.others()) {
            if (!fetchTried.contains(each)) {
                from.add(each);
            }
        }
        if (from.isEmpty()) {
            fetchTried.clear();
            return null;
        }
        List<String> sure = from.stream().filter(each -> each.equals(version.author())
                || seen.containsKey(each) && seen.get(each).standing().taken() == version.number()).toList();
        List<String> best = sure.isEmpty() ? from : sure;
        return best.get(chance.nextInt(best.size()));
    }

    // What to do about it.

    /** Does the next thing that is due, if any, through the host; false when there is nothing left to do. */
    public boolean next(Host host) {
        this.host = host;
        if (!toTell.isEmpty()) {
            toTell.poll().run();
            return true;
        }
        if (leaseSaid() || keep() || trial()) {
            return true;
        }
        if (!toSend.isEmpty()) {
            Outgoing each = toSend.poll();
            host.send(each.to(), new Saying(each.kind(), name, zone, nonce, each.number(),
                    seenCounts.getOrDefault(each.to(), 0L), news(), standing(), each.piece()));
            return true;
        }
        return fetch() || asks() || rumours() || judged() || behind() || confirms();
    }

    private boolean leaseSaid() {
        long until = until();
        if (saidTaken == takenNumber() && saidFloor == floors.known() && saidUntil == until) {
            return watchBar();
        }
        saidTaken = takenNumber();
        saidFloor = floors.known();
        saidUntil = until;
        host.lease(saidTaken, saidFloor, until);
        return true;
    }

    private boolean watchBar() {
        if (barred == barred()) {
            return false;
        }
        barred = !barred;
        if (barred) {
            tell(Event.BARRED, name, takenNumber(), takenNumber() < floors.known() ? "under the floor of "
                    + floors.known() : "no lease: too few keepers were heard in time");
        } else {
            tell(Event.FREE, name, takenNumber(), "the floor is " + floors.known());
        }
        return true;
    }

    /** Whether this instance may begin nothing. */
    public boolean barred() {
        return takenNumber() < floors.known() || now >= until();
    }

    private long until() {
        return terms.serveAlone() ? Long.MAX_VALUE : floors.until();
    }

    private boolean keep() {
        wantKeeping |= floors.wantsKeeping();
        boolean wants = wantKeeping || seenNews && now >= seenAgain;
        if (!wants || keeping != null || now < keepAgain) {
            return false;
        }
        // What is remembered of others alone binds nobody: no news to them.
        Version next = taking != null ? taking.version : taken;
        boolean binds = wantKeeping || given == null || floors.known() > given.floor() || floors.life() > given.life()
                || next != null && (given.taken() == null || next.number() > given.taken().number());
        count += binds ? 1 : 0;
        wantKeeping = false;
        owedAfter.addAll(owed);
        owed.clear();
        Note with = taking;
        List<Noted> versions = noted();
        List<Count> counts = new ArrayList<>();
        seenCounts.forEach((of, seen) -> counts.add(new Count(of, seen)));
        seenNews = false;
        seenAgain = now + terms.every() * COUNTS_EVERY;
        keeping = new Memory(name, count, floors.life(), floors.whole(), floors.known(), floors.keepers(),
                with != null ? with.version : taken, with != null ? with.content : takenContent, versions, counts);
        given = keeping;
        host.keep(keeping);
        return true;
    }

    private boolean trial() {
        Note target = target();
        if (target == null || target.content == null || trying != null || taking != null) {
            return false;
        }
        if (!target.version.text().isEmpty() && !target.version.text().equals(text)) {
            refuse(target.version, "it is for another program");
            return true;
        }
        trying = target;
        host.tryOut(target.version, target.content);
        return true;
    }

    /** The highest that this instance is to take now; null where it has it. */
    private Note target() {
        for (Note each : notes.descendingMap().values()) {
            long number = each.version.number();
            if (number <= takenNumber()) {
                return null;
            }
            // A floor is not waited for in waves, and one that others must follow is followed though it was stopped.
            boolean forced = floors.known() >= number && takenNumber() < floors.known();
            boolean had = each.content != null || now >= each.outOfReachUntil;
            if (had && !refused.containsKey(number) && (forced && !each.stopped.equals(FORK)
                    || each.stopped.isEmpty() && open(each))) {
                return each;
            }
        }
        return null;
    }

    private boolean open(Note note) {
        int stage = note.version.stageOf(name, zone);
        return stage < note.version.stages().size() && now >= note.since + stage * note.version.hold();
    }

    private boolean asks() {
        if (now < nextAsk) {
            return false;
        }
        nextAsk = now + Math.max(1, Math.min(terms.lease() / 4, terms.every() * 2));
        long number = ++numbers;
        if (floors.asksOthers()) {
            long question = floors.asksAgain(chance.nextLong() & Long.MAX_VALUE | 1);
            Kind kind = floors.recalling() ? Kind.RECALL : Kind.RECOVER;
            for (String each : terms.keepers()) {
                send(each, kind, question);
            }
        }
        floors.asks(number, now);
        floors.grantsItself(now);
        for (String each : terms.keepers()) {
            send(each, Kind.ASK, number);
        }
        return true;
    }

    /** What is new goes to some at once; what is not, to one now and then, lest a lost word is lost for good. */
    private boolean rumours() {
        if (now < nextState && !rumour) {
            return false;
        }
        int to = rumour ? TOLD_AT_ONCE : 1;
        rumour = false;
        nextState = now + terms.every();
        List<String> others = new ArrayList<>(terms.others());
        for (int i = 0; i < to && !others.isEmpty(); i++) {
            send(others.remove(chance.nextInt(others.size())), Kind.STATE, 0);
        }
        return true;
    }

    private void send(String to, Kind kind, long number) {
        if (!to.equals(name)) {
            toSend.add(new Outgoing(to, kind, number, null));
        }
    }

    /** Keepers hear how everybody fares: each judges by itself, and the first to find a version worse stops it. */
    private boolean judged() {
        if (now < nextLook) {
            return false;
        }
        nextLook = now + terms.every();
        if (!terms.keepers().contains(name) || notes.isEmpty()) {
            return false;
        }
        Note note = notes.lastEntry().getValue();
        long number = note.version.number();
        if (!note.stopped.isEmpty() || floors.known() >= number) {
            return false;
        }
        List<Rollout.Sample> takers = new ArrayList<>();
        List<Rollout.Sample> others = new ArrayList<>();
        for (Seen each : withSelf()) {
            Standing at = each.standing();
            if (at.since() == number && at.taken() >= floors.confirmed()) {
                (at.taken() == number ? takers : others).add(new Rollout.Sample(each.zone(), at.decided(),
                        at.denied(), at.failed(), at.broken()));
            }
        }
        String worse = Rollout.worse(takers, others);
        if (worse == null) {
            return false;
        }
        stop(note, worse, Event.STOPPED);
        return true;
    }

    private List<Seen> withSelf() {
        List<Seen> all = new ArrayList<>(seen.values());
        all.add(new Seen(name, zone, standing(), now));
        return all;
    }

    /** Keepers tell of all, everybody of itself. */
    private boolean behind() {
        if (notes.isEmpty() || now < nextBehind) {
            return false;
        }
        boolean keeper = terms.keepers().contains(name);
        Note newest = notes.lastEntry().getValue();
        if (!newest.stopped.isEmpty()) {
            return false;
        }
        long number = newest.version.number();
        for (Seen each : keeper ? withSelf() : List.of(new Seen(name, zone, standing(), now))) {
            int stage = newest.version.stageOf(each.name(), each.zone());
            if (each.standing().taken() < number && stage < newest.version.stages().size()
                    && now >= newest.since + stage * newest.version.hold() + terms.behind()
                    && toldBehind.computeIfAbsent(each.name(), any -> new HashSet<>()).add(number)) {
                String why = each.standing().refused() == number ? "refused: " + each.standing().why()
                        : now - each.at() > terms.behind() ? "not heard for " + (now - each.at()) / 10 + " ms"
                        : "it has not come there yet";
                tell(Event.BEHIND, each.name(), number, "it decides by version " + each.standing().taken() + "; "
                        + why);
                return true;
            }
        }
        nextBehind = now + terms.every();
        return false;
    }

    private boolean confirms() {
        if (floors.confirmed() <= confirmedTold) {
            return false;
        }
        confirmedTold = floors.confirmed();
        tell(Event.CONFIRMED, name, confirmedTold, "the floor is held by more than half of the keepers");
        return true;
    }

    private void tell(Event event, String of, long version, String what) {
        toTell.add(() -> host.tell(event, of, version, what));
    }

    // What is known.

    private News news() {
        return new News(noted(), floors.known(), floors.keepers());
    }

    private List<Noted> noted() {
        List<Noted> noted = new ArrayList<>();
        for (Note each : notes.values()) {
            noted.add(new Noted(each.version, Math.max(0, now - each.since), each.stopped));
        }
        return noted;
    }

    /** How this instance stands, as it tells the others. */
    public Standing standing() {
        long newest = newest();
        long[] counted = new long[4];
        for (int i = 0; i < counted.length; i++) {
            counted[i] = Math.max(0, counts[i] - base[i]);
        }
        String why = refused.getOrDefault(newest, diskBad ? "its disk keeps nothing" : "");
        return new Standing(takenNumber(), floors.able(), floors.whole(), countKept, why.isEmpty() ? 0 : newest, why,
                newest, counted[0], counted[1], counted[2], counted[3]);
    }

    private long newest() {
        return notes.isEmpty() ? 0 : notes.lastKey();
    }

    public long takenNumber() {
        return taken == null ? 0 : taken.number();
    }

    /** Null while it decides by what it was started with. */
    public Version taken() {
        return taken;
    }

    public byte[] takenContent() {
        return takenContent;
    }

    /** How far this instance's disk has come; see {@link Memory#count}. */
    public long count() {
        return countKept;
    }

    /** The highest floor that was ordered, as far as heard of here. */
    public long floor() {
        return floors.known();
    }

    /** The highest floor that more than half of the keepers hold on their disks. */
    public long confirmed() {
        return floors.confirmed();
    }

    /** Until when this instance may begin what is not under the floor. */
    public long leaseUntil() {
        return until();
    }

    public List<Kept> keepers() {
        return floors.keepers();
    }

    public Collection<Seen> others() {
        return seen.values();
    }

    public List<Noted> versions() {
        return noted();
    }

    /** When it wants to be told of the time again, at the latest. */
    public long wakeAt() {
        long at = Math.min(nextState, nextAsk);
        if (fetching != null) {
            at = Math.min(at, fetchUntil);
        }
        if (wantKeeping && keeping == null) {
            at = Math.min(at, keepAgain);
        }
        if (seenNews && keeping == null) {
            at = Math.min(at, Math.max(keepAgain, seenAgain));
        }
        if (!barred && !terms.serveAlone()) {
            at = Math.min(at, until());
        }
        return Math.max(now, at);
    }
}
