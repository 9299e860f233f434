package vetchrill.peersim;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import vetchrill.peers.InstanceStore;
import vetchrill.powerloss.LosingDisk;
import vetchrill.powerloss.MemoryMedia;
import vetchrill.store.DurableStore;
import vetchrill.versions.Digests;
import vetchrill.versions.DurableState;
import vetchrill.versions.VersionMessage;
import vetchrill.versions.VersionsConfig;
import vetchrill.versions.Version;
import vetchrill.versions.VersionManager;

/**
 * A fleet that agrees on versions, on a counted clock: the text of {@link VersionManager} itself, over a network and
 * disks
 * that go wrong. What must hold is checked after each step by what this class sees from outside: when a floor was first
 * confirmed to anybody, until when each process may begin what, and what each took in which order.
 */
public final class VersionsWorld extends Wires {
    /** A version and its content, as somebody published it. */
    private record Published(Version version, byte[] content, Process by) {
    }

    /** One process, and what it may begin by its own word. */
    public final class Process {
        final int place;
        final long nonce = ++nonces;
        public final VersionManager versions;
        public boolean up = true;
        long pausedUntil;
        private long wakeNumber;
        private boolean pumping;
        private final ArrayDeque<VersionMessage> waiting = new ArrayDeque<>();
        long taken;
        long floor;
        long until = Long.MIN_VALUE;
        /** A version that it knows to be a fork may not be taken any more. */
        private final List<Long> forks = new ArrayList<>();

        Process(int place) {
            this.place = place;
            DurableState memory = media == null ? disks[place] : opened(place);
            disks[place] = memory;
            taken = memory == null || memory.activeVersion() == null ? 0 : memory.activeVersion().number();
            versions = new VersionManager(terms(place), name(place), zone(place), place % 7 == 6 ? OTHER_TEXT : TEXT,
                    nonce,
                    memory, chance.nextLong(), now());
        }
    }

    public static final String TEXT = "a".repeat(64);
    private static final String OTHER_TEXT = "b".repeat(64);
    private static final int MOST_STEPS = 100_000;
    private static final long STORE = 1 << 20;

    private final int size;
    private final int keepers;
    private final int zones;
    private final long lease;
    private final long every;
    private final DurableState[] disks;
    /** What each place has of media where stores are played as they are, else null; and the store of its process. */
    private final MemoryMedia[] media;
    private final LosingDisk[] losing;
    private final DurableStore[] journals;
    private final byte[][] contentThere;
    /** What was told to be on the disk of that place, by which its memory must not be lower as it returns. */
    private final DurableState[] acknowledged;
    /** The disk of that place is not what it was: what it holds is no promise. */
    private final boolean[] doubted;
    private final boolean[] toBeTold;
    private final boolean[] mustTell;
    /** Write points until the power of all goes; 0 for never. */
    private long pointsLeft;
    public int losses;
    public int damaged;
    public int toldApart;
    private final boolean[] full;
    private final long[] slow;
    /** Of a name that was not dead as another process came up under it: the one before, with its own disk. */
    private final Process[] ghosts;
    private final int[] sides;
    public double spoilt;
    /** Lost or went back, and not whole again since. */
    private final boolean[] forgetful;
    public final Process[] processes;
    private final Map<Long, List<Published>> published = new TreeMap<>();
    /** When a floor was first held to be confirmed by anybody. */
    private final TreeMap<Long, Long> confirmedAt = new TreeMap<>();
    private long confirmed;
    private long nonces;
    public long sayings;
    public long bytes;
    public long steps;
    /** For each version, when each process took it after it was published. */
    public final Map<Long, List<Long>> tookAfter = new HashMap<>();
    private final Map<Long, Long> publishedAt = new HashMap<>();
    public final List<String> told = new ArrayList<>();
    /** How exchanges fare in each place by the version taken; null where nothing is counted. */
    public Fare fare;

    /** Exchanges that a place has decided since its start by now, and of these denied, failed and broken off. */
    public interface Fare {
        long[] of(int place, long taken, long now);
    }

    public VersionsWorld(int size, int keepers, int zones, long lease, long every, long seed) {
        this(size, keepers, zones, lease, every, seed, false);
    }

    /** {@code stores}: each place has the real store on media of its own, whose power can go at each write point. */
    public VersionsWorld(int size, int keepers, int zones, long lease, long every, long seed, boolean stores) {
        super(seed);
        media = stores ? new MemoryMedia[size] : null;
        losing = new LosingDisk[size];
        journals = new DurableStore[size];
        contentThere = new byte[size][];
        acknowledged = new DurableState[size];
        doubted = new boolean[size];
        toBeTold = new boolean[size];
        mustTell = new boolean[size];
        this.size = size;
        this.keepers = keepers;
        this.zones = zones;
        this.lease = lease;
        this.every = every;
        disks = new DurableState[size];
        full = new boolean[size];
        slow = new long[size];
        ghosts = new Process[size];
        sides = new int[size];
        forgetful = new boolean[size];
        processes = new Process[size];
        for (int i = 0; i < size; i++) {
            forgetful[i] = i < keepers;
            if (stores) {
                media[i] = new MemoryMedia();
            }
            start(i);
        }
    }

    /** The power is gone: nothing of what was at hand goes on. */
    private static final class PowerLost extends RuntimeException {
        private static final long serialVersionUID = 1;
    }

    /** What the store of that place holds as its process starts. */
    private DurableState opened(int place) {
        try {
            losing[place] = new LosingDisk(media[place], chance.split(), 0.3, call -> {
                if (full[place]) {
                    throw new IOException("No space left on device");
                }
                if (pointsLeft > 0 && --pointsLeft == 0) {
                    throw new PowerLost();
                }
            });
            journals[place] = new DurableStore(losing[place], name(place), STORE);
            contentThere[place] = null;
            DurableState memory = InstanceStore.recoveredState(name(place), journals[place].outcome(),
                    journals[place].entries());
            promised(place, memory);
            acknowledged[place] = memory;
            return memory;
        } catch (IOException e) {
            throw new Broken("a store can't be opened: " + e.getMessage());
        }
    }

    /** Nothing that binds goes back on a disk that is what it was. */
    private void promised(int place, DurableState memory) {
        DurableState told = acknowledged[place];
        boolean apart = journals[place].outcome().compareTo(DurableStore.RecoveryOutcome.TORN) > 0;
        if (doubted[place]) {
            tellsApart(place, apart);
            return;
        }
        if (apart) {
            throw new Broken("a store that is whole is held to be " + journals[place].outcome() + ": "
                    + journals[place].problem());
        }
        if (told != null
                && (memory == null || memory.revision() < told.revision() || memory.minVersion() < told.minVersion()
                || memory.incarnation() < told.incarnation() || number(memory) < number(told) || told.intact()
                && !memory.intact()
                && memory.revision() == told.revision())) {
            throw new Broken(name(place) + " was told that " + told + " is kept, and has " + memory);
        }
    }

    private void tellsApart(int place, boolean is) {
        if (is && toBeTold[place]) {
            toldApart++;
            toBeTold[place] = false;
        }
    }

    private static long number(DurableState memory) {
        return memory.activeVersion() == null ? 0 : memory.activeVersion().number();
    }

    /** Throws IOException where it can't be kept. */
    private void commit(int place, DurableState memory) throws IOException {
        DurableState before = acknowledged[place];
        if (before != null && memory.revision() <= before.revision() && (memory.minVersion() > before.minVersion()
                || memory.incarnation() > before.incarnation() || number(memory) > number(before))) {
            throw new Broken(name(place) + " keeps what binds under the count of before");
        }
        journals[place].commit(InstanceStore.changesFor(memory, contentThere[place]), true);
        doubted[place] = false;
        contentThere[place] = memory.activeContent();
        acknowledged[place] = memory;
    }

    /** The power of all of them goes now, or at a later write point of any of their stores. */
    public void loseAll(long atPoint) {
        pointsLeft = atPoint;
        if (atPoint == 0) {
            losses++;
            for (int i = 0; i < size; i++) {
                if (processes[i].up) {
                    kill(i);
                }
            }
        }
    }

    /** All that are down come back, each up to so much later than the one before. */
    public void returnAll(long stagger) {
        long at = now();
        for (int i = 0; i < size; i++) {
            int place = i;
            at += stagger > 0 ? chance.nextLong(stagger) : 0;
            at(at, () -> start(place));
        }
        faulty();
    }

    /** As the media of that place are now, to be put back on a later day. */
    public MemoryMedia day(int place) {
        return new MemoryMedia(media[place]);
    }

    /** It comes back with media of an earlier day, or another's; false where more would be in doubt than may be. */
    public boolean otherMedia(int place, MemoryMedia instead) {
        return spoilt(place, () -> media[place] = instead);
    }

    /** It comes back with an octet changed, or with the end cut off at a commit or within one. */
    public boolean spoilMedia(int place, boolean cut, int part) {
        if (media[place].names().isEmpty()) {
            return false;
        }
        return spoilt(place, () -> {
            List<String> names = media[place].names();
            String name = names.get(part % names.size());
            try {
                int length = media[place].read(name).length;
                if (length > 0) {
                    media[place].spoil(name, part * 31 % length, cut);
                }
            } catch (IOException e) {
                throw new Broken(e.getMessage());
            }
        });
    }

    /** All other keepers have on their disks how far that one has come: else an older disk is not promised to show. */
    private boolean remembered(int place) {
        long count = acknowledged[place] == null ? 0 : acknowledged[place].revision();
        for (int i = 0; i < keepers; i++) {
            if (i != place && (acknowledged[i] == null || acknowledged[i].peerRevisions().stream().noneMatch(each ->
                    each.name().equals(name(place)) && each.revision() >= count))) {
                return false;
            }
        }
        return true;
    }

    /** Noted as one that forgets, unless more than half of the keepers would not remember then. */
    private boolean mayForget(int place) {
        if (place < keepers) {
            int lost = 1;
            for (int i = 0; i < keepers; i++) {
                lost += forgetful[i] && i != place ? 1 : 0;
            }
            if (lost > (keepers - 1) / 2) {
                return false;
            }
            forgetful[place] = true;
        }
        return true;
    }

    private boolean spoilt(int place, Runnable act) {
        if (place < keepers && !remembered(place) || !mayForget(place)) {
            return false;
        }
        if (processes[place].up) {
            kill(place);
        }
        long count = acknowledged[place] == null ? 0 : acknowledged[place].revision();
        act.run();
        damaged++;
        doubted[place] = true;
        toBeTold[place] = true;
        acknowledged[place] = null;
        start(place);
        // Its start and its being taught bring it on by some, which must not hide that it was behind.
        long now = acknowledged[place] == null ? 0 : acknowledged[place].revision();
        mustTell[place] = place < keepers && now + 3 < count && now > 0;
        return true;
    }

    private static String name(int place) {
        return "r" + place;
    }

    private String zone(int place) {
        return "z" + place % zones;
    }

    private VersionsConfig terms(int place) {
        List<String> others = new ArrayList<>();
        List<String> kept = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            if (i != place) {
                others.add(name(i));
            }
            if (i < keepers) {
                kept.add(name(i));
            }
        }
        return new VersionsConfig(others, kept, lease, every, 20 * every, false);
    }

    // What goes wrong, and what is ordered.

    public void start(int place) {
        if (processes[place] == null || !processes[place].up) {
            Process process = new Process(place);
            processes[place] = process;
            faulty();
            at(now(), () -> pump(process));
        }
    }

    public void kill(int place) {
        processes[place].up = false;
        if (media != null) {
            try {
                losing[place].lose();
            } catch (IOException e) {
                throw new Broken(e.getMessage());
            }
        }
        faulty();
    }

    /**
     * It comes back without its disk. A keeper only while more than half of them remember all that they promised: past
     * that nothing is promised.
     */
    public boolean loseDisk(int place, DurableState instead) {
        if (!mayForget(place)) {
            return false;
        }
        kill(place);
        if (media != null) {
            media[place] = new MemoryMedia();
            acknowledged[place] = null;
        }
        disks[place] = instead;
        start(place);
        return true;
    }

    /**
     * A second process, without a disk, beside one that lives on. Each other place has a way to one of the two only, by
     * its bit.
     */
    public boolean twin(int place, int bits) {
        Process before = processes[place];
        if (!before.up || ghosts[place] != null && ghosts[place].up) {
            return false;
        }
        if (!loseDisk(place, null)) {
            return false;
        }
        before.up = true;
        ghosts[place] = before;
        sides[place] = bits;
        return true;
    }

    /** Each write to that disk takes up to so much longer. */
    public void slow(int place, long span) {
        slow[place] = span;
        faulty();
    }

    public DurableState disk(int place) {
        return disks[place];
    }

    public void fill(int place, boolean is) {
        full[place] = is;
        faulty();
    }

    public void pause(int place, long span) {
        Process process = processes[place];
        process.pausedUntil = Math.max(process.pausedUntil, now() + span);
        at(process.pausedUntil, () -> pump(process));
        faulty();
    }

    @Override
    public void heal() {
        super.heal();
        Arrays.fill(full, false);
        Arrays.fill(slow, 0);
        spoilt = 0;
        pointsLeft = 0;
        for (Process each : ghosts) {
            if (each != null) {
                each.up = false;
            }
        }
        for (int i = 0; i < size; i++) {
            processes[i].pausedUntil = Math.min(processes[i].pausedUntil, now());
            start(i);
            Process process = processes[i];
            at(now(), () -> pump(process));
        }
    }

    /** Null where it was taken. A content whose first octet is a place's number, from 1 on, is refused there. */
    public String publish(int place, long number, byte[] content, String text, List<Version.Stage> stages, long hold) {
        Process at = processes[place];
        if (!at.up || now() < at.pausedUntil) {
            return "not up";
        }
        Version version = new Version(number, name(place), Digests.of(content), content.length, text, stages, hold);
        at.versions.advanceTime(now());
        String wrong = at.versions.publish(version, content);
        if (wrong == null) {
            published.computeIfAbsent(number, any -> new ArrayList<>()).add(new Published(version, content, at));
            publishedAt.putIfAbsent(number, now());
            faulty();
        }
        pump(at);
        return wrong;
    }

    public String floor(int place, long number) {
        Process at = processes[place];
        if (!at.up || now() < at.pausedUntil) {
            return "not up";
        }
        at.versions.advanceTime(now());
        String wrong = at.versions.minVersion(number);
        faulty();
        pump(at);
        return wrong;
    }

    public String halt(int place, long number) {
        Process at = processes[place];
        if (!at.up || now() < at.pausedUntil) {
            return "not up";
        }
        String wrong = at.versions.halt(number);
        faulty();
        pump(at);
        return wrong;
    }

    // Owners.

    private void pump(Process process) {
        if (!process.up || now() < process.pausedUntil || process.pumping) {
            return;
        }
        process.pumping = true;
        process.versions.advanceTime(now());
        if (fare != null) {
            long[] counts = fare.of(process.place, process.taken, now());
            process.versions.updateCounters(counts[0], counts[1], counts[2], counts[3]);
        }
        while (!process.waiting.isEmpty()) {
            process.versions.receive(process.waiting.poll());
        }
        int acts = 0;
        while (process.versions.processNext(host(process))) {
            steps++;
            if (++acts > MOST_STEPS) {
                throw new Broken("an instance never comes to an end of what it does");
            }
        }
        process.pumping = false;
        confirmed(process);
        long number = ++process.wakeNumber;
        at(Math.max(now() + 1, process.versions.wakeAt()), () -> {
            if (number == process.wakeNumber) {
                pump(process);
            }
        });
    }

    private VersionManager.Host host(Process process) {
        return new VersionManager.Host() {
            @Override
            public void send(String to, VersionMessage saying) {
                int place = Integer.parseInt(to.substring(1));
                if (place == process.place || place >= size) {
                    throw new Broken("a word goes to a name that nobody else has");
                }
                if (media != null && saying.status().revision() > (acknowledged[process.place] == null ? 0
                        : acknowledged[process.place].revision())) {
                    throw new Broken(name(process.place) + " tells of a memory that is not on its disk");
                }
                sayings++;
                bytes += size(saying);
                carry(process.place, place, () -> {
                    Process there = reached(process.place, place);
                    if (there.up && reached(place, process.place) == process) {
                        there.waiting.add(spoil(saying));
                        pump(there);
                    }
                });
            }

            @Override
            public void persist(DurableState memory) {
                long takes = 1 + chance.nextLong(100) + (slow[process.place] > 0
                        ? slow[process.place] / 2 + chance.nextLong(slow[process.place] / 2 + 1) : 0);
                at(now() + takes, () -> {
                    if (ghosts[process.place] == process && process.up) {
                        process.versions.onPersisted(true);
                        pump(process);
                        return;
                    }
                    if (media != null) {
                        store(process, memory);
                        return;
                    }
                    // A process that was killed meanwhile may have brought it to the disk or not.
                    if (processes[process.place] != process || !process.up && chance.nextBoolean()) {
                        return;
                    }
                    if (full[process.place]) {
                        process.versions.onPersisted(false);
                    } else {
                        disks[process.place] = memory;
                        forgetful[process.place] &= !(memory.intact() && process.versions.status().canVote());
                        process.versions.onPersisted(true);
                    }
                    pump(process);
                });
            }

            @Override
            public void validate(Version version, byte[] content) {
                if (!Digests.of(content).equals(version.digest())) {
                    throw new Broken("a content is tried that is not what was published");
                }
                at(now() + 1, () -> {
                    process.versions.onValidated(version.number(), content.length > 0 && content[0] == process.place + 1
                            ? "not on this machine" : null);
                    pump(process);
                });
            }

            @Override
            public void activate(Version version, byte[] content) {
                took(process, version, content);
            }

            @Override
            public void updateLease(long taken, long floor, long until) {
                process.floor = floor;
                process.until = until;
                if (taken != process.taken) {
                    throw new Broken("a lease for version " + taken + " while " + process.taken + " decides");
                }
                gate(process);
            }

            @Override
            public void report(VersionManager.Event event, String of, long version, String text) {
                tellsApart(process.place, event == VersionManager.Event.OLDER);
                if (event == VersionManager.Event.FORK) {
                    process.forks.add(version);
                }
                told.add(now() + " " + name(process.place) + " " + event + " " + of + " " + version + " " + text);
            }
        };
    }

    private void store(Process process, DurableState memory) {
        int place = process.place;
        if (!process.up || processes[place] != process) {
            return;
        }
        try {
            commit(place, memory);
            disks[place] = memory;
            forgetful[place] &= !(memory.intact() && process.versions.status().canVote());
            process.versions.onPersisted(true);
        } catch (IOException e) {
            process.versions.onPersisted(false);
        } catch (PowerLost e) {
            loseAll(0);
            return;
        }
        pump(process);
    }

    /** The process that stands at that name for whoever speaks from there. */
    private Process reached(int from, int place) {
        return ghosts[place] != null && ghosts[place].up && (sides[place] >> from & 1) == 0 ? ghosts[place]
                : processes[place];
    }

    /** A way that changes octets: nothing that is kept by a digest may suffer from it. */
    private VersionMessage spoil(VersionMessage saying) {
        if (spoilt == 0 || saying.kind() != VersionMessage.Kind.PIECE || saying.chunk().bytes().length == 0
                || chance.nextDouble() >= spoilt) {
            return saying;
        }
        byte[] other = saying.chunk().bytes().clone();
        other[chance.nextInt(other.length)] ^= 1;
        return new VersionMessage(saying.kind(), saying.sender(), saying.zone(), saying.nonce(), saying.requestId(),
                saying.recipientRevision(), saying.state(), saying.status(),
                new VersionMessage.Chunk(saying.chunk().digest(), saying.chunk().offset(), other));
    }

    /** As many octets as it has in CBOR, near enough for a sum. */
    private static long size(VersionMessage saying) {
        return 90 + 130L * saying.state().versions().size() + 14L * saying.state().promises().size()
                + (saying.chunk() == null ? 0 : 70 + saying.chunk().bytes().length);
    }

    private void took(Process process, Version version, byte[] content) {
        if (version.number() <= process.taken) {
            throw new Broken("version " + version.number() + " is taken after " + process.taken);
        }
        List<Published> there = published.getOrDefault(version.number(), List.of());
        if (there.stream().noneMatch(each -> each.version.equals(version)
                && Arrays.equals(each.content, content))) {
            throw new Broken("a version is taken that nobody published");
        }
        if (content.length > 0 && content[0] == process.place + 1) {
            throw new Broken("a version is taken that is refused here");
        }
        if (!version.programDigest().isEmpty() && !version.programDigest()
                .equals(process.place % 7 == 6 ? OTHER_TEXT : TEXT)) {
            throw new Broken("a version is taken that is for another program");
        }
        if (process.forks.contains(version.number())) {
            throw new Broken("a version is taken that is known to be a fork");
        }
        DurableState disk = disks[process.place];
        boolean kept = disk != null && disk.activeVersion() != null && disk.activeVersion().equals(version);
        if (ghosts[process.place] != process && !kept) {
            throw new Broken("a version is taken that is not on the disk");
        }
        process.taken = version.number();
        tookAfter.computeIfAbsent(version.number(), any -> new ArrayList<>())
                .add(now() - publishedAt.get(version.number()));
        gate(process);
    }

    // What must hold.

    private void confirmed(Process process) {
        long floor = process.versions.confirmedMinVersion();
        if (floor > confirmed) {
            confirmed = floor;
            confirmedAt.put(floor, now());
            for (Process each : processes) {
                if (each.up) {
                    gate(each);
                }
            }
            for (Process each : ghosts) {
                if (each != null && each.up) {
                    gate(each);
                }
            }
        }
    }

    /** Nothing is begun under a floor later than one lease after it was confirmed. */
    private void gate(Process process) {
        for (Map.Entry<Long, Long> each : confirmedAt.entrySet()) {
            if (process.taken < each.getKey() && process.floor <= process.taken
                    && process.until > each.getValue() + lease) {
                throw new Broken("version " + process.taken + " may be begun by until " + process.until
                        + ", the floor " + each.getKey() + " was confirmed at " + each.getValue());
            }
        }
    }

    /** Whether the process of that place would begin an exchange now that is under the floor. */
    public boolean mayBeginUnder(int place, long floor) {
        Process at = processes[place];
        return at.up && now() >= at.pausedUntil && at.taken < floor && at.floor <= at.taken && now() < at.until;
    }

    /** Long enough after the last fault, all know the floor and have what they may have. */
    public void settled() {
        long highest = 0;
        for (Process each : processes) {
            highest = Math.max(highest, each.versions.minVersion());
        }
        for (Process each : processes) {
            if (each.versions.minVersion() != highest) {
                throw new Broken(name(each.place) + " does not know of the floor " + highest);
            }
            if (each.versions.confirmedMinVersion() != highest) {
                throw new Broken("the floor " + highest + " is confirmed by nobody to " + name(each.place));
            }
            if (each.versions.leaseUntil() <= now()) {
                throw new Broken(name(each.place) + " has no lease though all is well");
            }
        }
        Map<Long, List<Object>> held = new HashMap<>();
        for (Process each : processes) {
            for (VersionMessage.KnownVersion noted : each.versions.versions()) {
                List<Object> other = held.putIfAbsent(noted.version().number(), whatIs(noted.version()));
                if (other != null && !other.equals(whatIs(noted.version())) && noted.stopReason().isEmpty()) {
                    throw new Broken("two versions are held under the number " + noted.version().number());
                }
            }
        }
        for (int i = 0; i < size; i++) {
            if (toBeTold[i] && mustTell[i]) {
                throw new Broken(name(i) + " has a disk of an earlier day, and nobody says so");
            }
            long should = should(i, highest);
            if (processes[i].taken < should) {
                throw new Broken(name(i) + " decides by " + processes[i].taken + " and not by " + should);
            }
        }
    }

    /** The highest that nothing speaks against there, and that somebody is left to have. */
    private long should(int place, long floor) {
        long should = 0;
        long newest = 0;
        for (Map.Entry<Long, List<Published>> each : published.entrySet()) {
            long number = each.getKey();
            newest = number;
            Published first = each.getValue().get(0);
            String text = place % 7 == 6 ? OTHER_TEXT : TEXT;
            boolean stopped = false;
            for (Process process : processes) {
                stopped |= process.versions.versions().stream()
                        .anyMatch(noted -> noted.version().number() == number && !noted.stopReason().isEmpty());
            }
            boolean held = processes[place].versions.versions().stream()
                    .anyMatch(noted -> noted.version().number() == number);
            boolean had = Arrays.stream(processes).anyMatch(process -> process.taken == number
                    || each.getValue().stream().anyMatch(one -> one.by == process));
            boolean refused = first.content.length > 0 && first.content[0] == place + 1
                    || !first.version.programDigest().isEmpty() && !first.version.programDigest().equals(text);
            // Of two under one number the first may have gone with its publisher: nobody has to take the other.
            if (each.getValue().stream().map(one -> whatIs(one.version)).distinct().count() == 1
                    && !stopped && held && had && !refused && whole(first.version)) {
                should = number;
            }
        }
        return newest == 0 ? 0 : should;
    }

    /** Two that differ in any of it are two, though they have one number and one content. */
    private static List<Object> whatIs(Version version) {
        return List.of(version.digest(), version.programDigest(), version.stages(), version.stageInterval());
    }

    private static boolean whole(Version version) {
        return version.stages().stream().anyMatch(stage -> stage.zone().isEmpty() && stage.share() == 1)
                && version.stageInterval() == 0;
    }

    /** When the last fault is over for everybody. */
    public long settles() {
        return lastFault + 6 * lease + 60 * every;
    }
}
