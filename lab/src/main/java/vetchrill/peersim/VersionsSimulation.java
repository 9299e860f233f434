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
import vetchrill.powerloss.PowerLossDisk;
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
public final class VersionsSimulation extends NetworkSimulation {
    /** A version and its content, as somebody published it. */
    private record Publication(Version version, byte[] content, Process publisher) {
    }

    /** One process, and what it may begin by its own word. */
    public final class Process {
        final int index;
        final long nonce = ++lastNonce;
        public final VersionManager manager;
        public boolean up = true;
        long pausedUntil;
        private long wakeupNumber;
        private boolean running;
        private final ArrayDeque<VersionMessage> inbox = new ArrayDeque<>();
        long activeVersion;
        long minVersion;
        long leaseUntil = Long.MIN_VALUE;
        /** A version that it knows to be a fork may not be taken any more. */
        private final List<Long> knownForks = new ArrayList<>();

        Process(int index) {
            this.index = index;
            DurableState state = media == null ? persistedStates[index] : openStore(index);
            persistedStates[index] = state;
            activeVersion = state == null || state.activeVersion() == null ? 0 : state.activeVersion().number();
            manager = new VersionManager(config(index), name(index), zone(index),
                    index % 7 == 6 ? OTHER_PROGRAM_DIGEST : PROGRAM_DIGEST,
                    nonce,
                    state, random.nextLong(), now());
        }
    }

    public static final String PROGRAM_DIGEST = "a".repeat(64);
    private static final String OTHER_PROGRAM_DIGEST = "b".repeat(64);
    private static final int MAX_STEPS_PER_RUN = 100_000;
    private static final long STORE_CAPACITY_BYTES = 1 << 20;

    private final int instanceCount;
    private final int voterCount;
    private final int zoneCount;
    private final long leaseDuration;
    private final long gossipPeriod;
    private final DurableState[] persistedStates;
    /** What each place has of media where stores are played as they are, else null; and the store of its process. */
    private final MemoryMedia[] media;
    private final PowerLossDisk[] powerLossDisks;
    private final DurableStore[] stores;
    private final byte[][] storedContent;
    /** What was told to be on the disk of that place, by which its memory must not be lower as it returns. */
    private final DurableState[] acknowledged;
    /** The disk of that place is not what it was: what it holds is no promise. */
    private final boolean[] mediaAltered;
    private final boolean[] detectionPending;
    private final boolean[] detectionRequired;
    /** Write points until the power of all goes; 0 for never. */
    private long writePointsToPowerLoss;
    public int powerLosses;
    public int alterationCount;
    public int detectedAlterations;
    private final boolean[] diskFull;
    private final long[] writeDelay;
    /** Of a name that was not dead as another process came up under it: the one before, with its own disk. */
    private final Process[] replacedTwins;
    private final int[] twinSides;
    public double corruptionRatio;
    /** Lost or went back, and not whole again since. */
    private final boolean[] lostState;
    public final Process[] processes;
    private final Map<Long, List<Publication>> published = new TreeMap<>();
    /** When a floor was first held to be confirmed by anybody. */
    private final TreeMap<Long, Long> confirmedAt = new TreeMap<>();
    private long highestConfirmed;
    private long lastNonce;
    public long messagesSent;
    public long bytesSent;
    public long steps;
    /** For each version, when each process took it after it was published. */
    public final Map<Long, List<Long>> activationDelays = new HashMap<>();
    private final Map<Long, Long> publishedAt = new HashMap<>();
    public final List<String> reports = new ArrayList<>();
    /** How exchanges fare in each place by the version taken; null where nothing is counted. */
    public ExchangeCounters exchangeCounters;

    /** Exchanges that a place has decided since its start by now, and of these denied, failed and broken off. */
    public interface ExchangeCounters {
        long[] countersAt(int index, long activeVersion, long now);
    }

    public VersionsSimulation(int instanceCount, int voterCount, int zoneCount, long leaseDuration, long gossipPeriod,
            long seed) {
        this(instanceCount, voterCount, zoneCount, leaseDuration, gossipPeriod, seed, false);
    }

    /** {@code stores}: each place has the real store on media of its own, whose power can go at each write point. */
    public VersionsSimulation(int instanceCount, int voterCount, int zoneCount, long leaseDuration, long gossipPeriod,
            long seed, boolean realStores) {
        super(seed);
        media = realStores ? new MemoryMedia[instanceCount] : null;
        powerLossDisks = new PowerLossDisk[instanceCount];
        stores = new DurableStore[instanceCount];
        storedContent = new byte[instanceCount][];
        acknowledged = new DurableState[instanceCount];
        mediaAltered = new boolean[instanceCount];
        detectionPending = new boolean[instanceCount];
        detectionRequired = new boolean[instanceCount];
        this.instanceCount = instanceCount;
        this.voterCount = voterCount;
        this.zoneCount = zoneCount;
        this.leaseDuration = leaseDuration;
        this.gossipPeriod = gossipPeriod;
        persistedStates = new DurableState[instanceCount];
        diskFull = new boolean[instanceCount];
        writeDelay = new long[instanceCount];
        replacedTwins = new Process[instanceCount];
        twinSides = new int[instanceCount];
        lostState = new boolean[instanceCount];
        processes = new Process[instanceCount];
        for (int i = 0; i < instanceCount; i++) {
            lostState[i] = i < voterCount;
            if (realStores) {
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
    private DurableState openStore(int index) {
        try {
            powerLossDisks[index] = new PowerLossDisk(media[index], random.split(), 0.3, call -> {
                if (diskFull[index]) {
                    throw new IOException("No space left on device");
                }
                if (writePointsToPowerLoss > 0 && --writePointsToPowerLoss == 0) {
                    throw new PowerLost();
                }
            });
            stores[index] = new DurableStore(powerLossDisks[index], name(index), STORE_CAPACITY_BYTES);
            storedContent[index] = null;
            DurableState state = InstanceStore.recoveredState(name(index), stores[index].outcome(),
                    stores[index].entries());
            checkRecoveredState(index, state);
            acknowledged[index] = state;
            return state;
        } catch (IOException e) {
            throw new InvariantViolation("a store can't be opened: " + e.getMessage());
        }
    }

    /** Nothing that binds goes back on a disk that is what it was. */
    private void checkRecoveredState(int index, DurableState state) {
        DurableState acknowledgedState = acknowledged[index];
        boolean rejected = stores[index].outcome().compareTo(DurableStore.RecoveryOutcome.TORN) > 0;
        if (mediaAltered[index]) {
            countDetection(index, rejected);
            return;
        }
        if (rejected) {
            throw new InvariantViolation("a store that is whole is held to be " + stores[index].outcome() + ": "
                    + stores[index].problem());
        }
        if (acknowledgedState != null
                && (state == null || state.revision() < acknowledgedState.revision()
                || state.minVersion() < acknowledgedState.minVersion()
                || state.incarnation() < acknowledgedState.incarnation()
                || activeNumber(state) < activeNumber(acknowledgedState) || acknowledgedState.intact()
                && !state.intact()
                && state.revision() == acknowledgedState.revision())) {
            throw new InvariantViolation(name(index) + " was told that " + acknowledgedState + " is kept, and has "
                    + state);
        }
    }

    private void countDetection(int index, boolean detected) {
        if (detected && detectionPending[index]) {
            detectedAlterations++;
            detectionPending[index] = false;
        }
    }

    private static long activeNumber(DurableState state) {
        return state.activeVersion() == null ? 0 : state.activeVersion().number();
    }

    /** Throws IOException where it can't be kept. */
    private void commit(int index, DurableState state) throws IOException {
        DurableState before = acknowledged[index];
        if (before != null && state.revision() <= before.revision() && (state.minVersion() > before.minVersion()
                || state.incarnation() > before.incarnation() || activeNumber(state) > activeNumber(before))) {
            throw new InvariantViolation(name(index) + " keeps what binds under the count of before");
        }
        stores[index].commit(InstanceStore.changesFor(state, storedContent[index]), true);
        mediaAltered[index] = false;
        storedContent[index] = state.activeContent();
        acknowledged[index] = state;
    }

    /** The power of all of them goes now, or at a later write point of any of their stores. */
    public void losePowerOfAll(long writePoints) {
        writePointsToPowerLoss = writePoints;
        if (writePoints == 0) {
            powerLosses++;
            for (int i = 0; i < instanceCount; i++) {
                if (processes[i].up) {
                    kill(i);
                }
            }
        }
    }

    /** All that are down come back, each up to so much later than the one before. */
    public void restartAll(long maxStagger) {
        long startAt = now();
        for (int i = 0; i < instanceCount; i++) {
            int index = i;
            startAt += maxStagger > 0 ? random.nextLong(maxStagger) : 0;
            schedule(startAt, () -> start(index));
        }
        markFault();
    }

    /** As the media of that place are now, to be put back on a later day. */
    public MemoryMedia copyMedia(int index) {
        return new MemoryMedia(media[index]);
    }

    /** It comes back with media of an earlier day, or another's; false where more would be in doubt than may be. */
    public boolean replaceMedia(int index, MemoryMedia replacement) {
        return alterMedia(index, () -> media[index] = replacement);
    }

    /** It comes back with an octet changed, or with the end cut off at a commit or within one. */
    public boolean damageMedia(int index, boolean truncate, int selector) {
        if (media[index].fileNames().isEmpty()) {
            return false;
        }
        return alterMedia(index, () -> {
            List<String> names = media[index].fileNames();
            String name = names.get(selector % names.size());
            try {
                int length = media[index].readFile(name).length;
                if (length > 0) {
                    media[index].damage(name, selector * 31 % length, truncate);
                }
            } catch (IOException e) {
                throw new InvariantViolation(e.getMessage());
            }
        });
    }

    /** All other keepers have on their disks how far that one has come: else an older disk is not promised to show. */
    private boolean isRevisionKnownToVoters(int index) {
        long revision = acknowledged[index] == null ? 0 : acknowledged[index].revision();
        for (int i = 0; i < voterCount; i++) {
            if (i != index && (acknowledged[i] == null || acknowledged[i].peerRevisions().stream().noneMatch(each ->
                    each.name().equals(name(index)) && each.revision() >= revision))) {
                return false;
            }
        }
        return true;
    }

    /** Noted as one that forgets, unless more than half of the keepers would not remember then. */
    private boolean tryMarkLostState(int index) {
        if (index < voterCount) {
            int lost = 1;
            for (int i = 0; i < voterCount; i++) {
                lost += lostState[i] && i != index ? 1 : 0;
            }
            if (lost > (voterCount - 1) / 2) {
                return false;
            }
            lostState[index] = true;
        }
        return true;
    }

    private boolean alterMedia(int index, Runnable alteration) {
        if (index < voterCount && !isRevisionKnownToVoters(index) || !tryMarkLostState(index)) {
            return false;
        }
        if (processes[index].up) {
            kill(index);
        }
        long revision = acknowledged[index] == null ? 0 : acknowledged[index].revision();
        alteration.run();
        alterationCount++;
        mediaAltered[index] = true;
        detectionPending[index] = true;
        acknowledged[index] = null;
        start(index);
        // Its start and its being taught bring it on by some, which must not hide that it was behind.
        long revisionAfter = acknowledged[index] == null ? 0 : acknowledged[index].revision();
        detectionRequired[index] = index < voterCount && revisionAfter + 3 < revision && revisionAfter > 0;
        return true;
    }

    private static String name(int index) {
        return "r" + index;
    }

    private String zone(int index) {
        return "z" + index % zoneCount;
    }

    private VersionsConfig config(int index) {
        List<String> others = new ArrayList<>();
        List<String> voters = new ArrayList<>();
        for (int i = 0; i < instanceCount; i++) {
            if (i != index) {
                others.add(name(i));
            }
            if (i < voterCount) {
                voters.add(name(i));
            }
        }
        return new VersionsConfig(others, voters, leaseDuration, gossipPeriod, 20 * gossipPeriod, false);
    }

    // What goes wrong, and what is ordered.

    public void start(int index) {
        if (processes[index] == null || !processes[index].up) {
            Process process = new Process(index);
            processes[index] = process;
            markFault();
            schedule(now(), () -> run(process));
        }
    }

    public void kill(int index) {
        processes[index].up = false;
        if (media != null) {
            try {
                powerLossDisks[index].losePower();
            } catch (IOException e) {
                throw new InvariantViolation(e.getMessage());
            }
        }
        markFault();
    }

    /**
     * It comes back without its disk. A keeper only while more than half of them remember all that they promised: past
     * that nothing is promised.
     */
    public boolean loseDisk(int index, DurableState replacement) {
        if (!tryMarkLostState(index)) {
            return false;
        }
        kill(index);
        if (media != null) {
            media[index] = new MemoryMedia();
            acknowledged[index] = null;
        }
        persistedStates[index] = replacement;
        start(index);
        return true;
    }

    /**
     * A second process, without a disk, beside one that lives on. Each other place has a way to one of the two only, by
     * its bit.
     */
    public boolean startTwin(int index, int sides) {
        Process before = processes[index];
        if (!before.up || replacedTwins[index] != null && replacedTwins[index].up) {
            return false;
        }
        if (!loseDisk(index, null)) {
            return false;
        }
        before.up = true;
        replacedTwins[index] = before;
        twinSides[index] = sides;
        return true;
    }

    /** Each write to that disk takes up to so much longer. */
    public void delayWrites(int index, long maxDelay) {
        writeDelay[index] = maxDelay;
        markFault();
    }

    public DurableState persistedState(int index) {
        return persistedStates[index];
    }

    public void setDiskFull(int index, boolean full) {
        diskFull[index] = full;
        markFault();
    }

    public void pause(int index, long duration) {
        Process process = processes[index];
        process.pausedUntil = Math.max(process.pausedUntil, now() + duration);
        schedule(process.pausedUntil, () -> run(process));
        markFault();
    }

    @Override
    public void heal() {
        super.heal();
        Arrays.fill(diskFull, false);
        Arrays.fill(writeDelay, 0);
        corruptionRatio = 0;
        writePointsToPowerLoss = 0;
        for (Process each : replacedTwins) {
            if (each != null) {
                each.up = false;
            }
        }
        for (int i = 0; i < instanceCount; i++) {
            processes[i].pausedUntil = Math.min(processes[i].pausedUntil, now());
            start(i);
            Process process = processes[i];
            schedule(now(), () -> run(process));
        }
    }

    /** Null where it was taken. A content whose first octet is a place's number, from 1 on, is refused there. */
    public String publish(int index, long number, byte[] content, String programDigest, List<Version.Stage> stages,
            long stageInterval) {
        Process process = processes[index];
        if (!process.up || now() < process.pausedUntil) {
            return "not up";
        }
        Version version = new Version(number, name(index), Digests.of(content), content.length, programDigest, stages,
                stageInterval);
        process.manager.advanceTime(now());
        String problem = process.manager.publish(version, content);
        if (problem == null) {
            published.computeIfAbsent(number, any -> new ArrayList<>()).add(new Publication(version, content, process));
            publishedAt.putIfAbsent(number, now());
            markFault();
        }
        run(process);
        return problem;
    }

    public String setMinVersion(int index, long number) {
        Process process = processes[index];
        if (!process.up || now() < process.pausedUntil) {
            return "not up";
        }
        process.manager.advanceTime(now());
        String problem = process.manager.minVersion(number);
        markFault();
        run(process);
        return problem;
    }

    public String halt(int index, long number) {
        Process process = processes[index];
        if (!process.up || now() < process.pausedUntil) {
            return "not up";
        }
        String problem = process.manager.halt(number);
        markFault();
        run(process);
        return problem;
    }

    // Owners.

    private void run(Process process) {
        if (!process.up || now() < process.pausedUntil || process.running) {
            return;
        }
        process.running = true;
        process.manager.advanceTime(now());
        if (exchangeCounters != null) {
            long[] counts = exchangeCounters.countersAt(process.index, process.activeVersion, now());
            process.manager.updateCounters(counts[0], counts[1], counts[2], counts[3]);
        }
        while (!process.inbox.isEmpty()) {
            process.manager.receive(process.inbox.poll());
        }
        int stepsOfRun = 0;
        while (process.manager.processNext(host(process))) {
            steps++;
            if (++stepsOfRun > MAX_STEPS_PER_RUN) {
                throw new InvariantViolation("an instance never comes to an end of what it does");
            }
        }
        process.running = false;
        noteConfirmation(process);
        long wakeup = ++process.wakeupNumber;
        schedule(Math.max(now() + 1, process.manager.wakeAt()), () -> {
            if (wakeup == process.wakeupNumber) {
                run(process);
            }
        });
    }

    private VersionManager.Host host(Process process) {
        return new VersionManager.Host() {
            @Override
            public void send(String to, VersionMessage message) {
                int index = Integer.parseInt(to.substring(1));
                if (index == process.index || index >= instanceCount) {
                    throw new InvariantViolation("a word goes to a name that nobody else has");
                }
                if (media != null && message.status().revision() > (acknowledged[process.index] == null ? 0
                        : acknowledged[process.index].revision())) {
                    throw new InvariantViolation(name(process.index) + " tells of a memory that is not on its disk");
                }
                messagesSent++;
                bytesSent += estimatedBytes(message);
                transmit(process.index, index, () -> {
                    Process receiver = reachableProcess(process.index, index);
                    if (receiver.up && reachableProcess(index, process.index) == process) {
                        receiver.inbox.add(maybeCorrupt(message));
                        run(receiver);
                    }
                });
            }

            @Override
            public void persist(DurableState state) {
                long writeDuration = 1 + random.nextLong(100) + (writeDelay[process.index] > 0
                        ? writeDelay[process.index] / 2 + random.nextLong(writeDelay[process.index] / 2 + 1) : 0);
                schedule(now() + writeDuration, () -> {
                    if (replacedTwins[process.index] == process && process.up) {
                        process.manager.onPersisted(true);
                        run(process);
                        return;
                    }
                    if (media != null) {
                        persistToStore(process, state);
                        return;
                    }
                    // A process that was killed meanwhile may have brought it to the disk or not.
                    if (processes[process.index] != process || !process.up && random.nextBoolean()) {
                        return;
                    }
                    if (diskFull[process.index]) {
                        process.manager.onPersisted(false);
                    } else {
                        persistedStates[process.index] = state;
                        lostState[process.index] &= !(state.intact() && process.manager.status().canVote());
                        process.manager.onPersisted(true);
                    }
                    run(process);
                });
            }

            @Override
            public void validate(Version version, byte[] content) {
                if (!Digests.of(content).equals(version.digest())) {
                    throw new InvariantViolation("a content is tried that is not what was published");
                }
                schedule(now() + 1, () -> {
                    process.manager.onValidated(version.number(), content.length > 0 && content[0] == process.index + 1
                            ? "not on this machine" : null);
                    run(process);
                });
            }

            @Override
            public void activate(Version version, byte[] content) {
                onActivated(process, version, content);
            }

            @Override
            public void updateLease(long activeVersion, long minVersion, long leaseUntil) {
                process.minVersion = minVersion;
                process.leaseUntil = leaseUntil;
                if (activeVersion != process.activeVersion) {
                    throw new InvariantViolation("a lease for version " + activeVersion + " while "
                            + process.activeVersion + " decides");
                }
                checkLease(process);
            }

            @Override
            public void report(VersionManager.Event event, String subject, long version, String text) {
                countDetection(process.index, event == VersionManager.Event.OLDER);
                if (event == VersionManager.Event.FORK) {
                    process.knownForks.add(version);
                }
                reports.add(now() + " " + name(process.index) + " " + event + " " + subject + " " + version + " "
                        + text);
            }
        };
    }

    private void persistToStore(Process process, DurableState state) {
        int index = process.index;
        if (!process.up || processes[index] != process) {
            return;
        }
        try {
            commit(index, state);
            persistedStates[index] = state;
            lostState[index] &= !(state.intact() && process.manager.status().canVote());
            process.manager.onPersisted(true);
        } catch (IOException e) {
            process.manager.onPersisted(false);
        } catch (PowerLost e) {
            losePowerOfAll(0);
            return;
        }
        run(process);
    }

    /** The process that stands at that name for whoever speaks from there. */
    private Process reachableProcess(int from, int index) {
        return replacedTwins[index] != null && replacedTwins[index].up && (twinSides[index] >> from & 1) == 0
                ? replacedTwins[index]
                : processes[index];
    }

    /** A way that changes octets: nothing that is kept by a digest may suffer from it. */
    private VersionMessage maybeCorrupt(VersionMessage message) {
        if (corruptionRatio == 0 || message.kind() != VersionMessage.Kind.PIECE || message.chunk().bytes().length == 0
                || random.nextDouble() >= corruptionRatio) {
            return message;
        }
        byte[] corrupted = message.chunk().bytes().clone();
        corrupted[random.nextInt(corrupted.length)] ^= 1;
        return new VersionMessage(message.kind(), message.sender(), message.zone(), message.nonce(),
                message.requestId(),
                message.recipientRevision(), message.state(), message.status(),
                new VersionMessage.Chunk(message.chunk().digest(), message.chunk().offset(), corrupted));
    }

    /** As many octets as it has in CBOR, near enough for a sum. */
    private static long estimatedBytes(VersionMessage message) {
        return 90 + 130L * message.state().versions().size() + 14L * message.state().promises().size()
                + (message.chunk() == null ? 0 : 70 + message.chunk().bytes().length);
    }

    private void onActivated(Process process, Version version, byte[] content) {
        if (version.number() <= process.activeVersion) {
            throw new InvariantViolation("version " + version.number() + " is taken after " + process.activeVersion);
        }
        List<Publication> publications = published.getOrDefault(version.number(), List.of());
        if (publications.stream().noneMatch(each -> each.version.equals(version)
                && Arrays.equals(each.content, content))) {
            throw new InvariantViolation("a version is taken that nobody published");
        }
        if (content.length > 0 && content[0] == process.index + 1) {
            throw new InvariantViolation("a version is taken that is refused here");
        }
        if (!version.programDigest().isEmpty() && !version.programDigest()
                .equals(process.index % 7 == 6 ? OTHER_PROGRAM_DIGEST : PROGRAM_DIGEST)) {
            throw new InvariantViolation("a version is taken that is for another program");
        }
        if (process.knownForks.contains(version.number())) {
            throw new InvariantViolation("a version is taken that is known to be a fork");
        }
        DurableState persisted = persistedStates[process.index];
        boolean isPersisted = persisted != null && persisted.activeVersion() != null && persisted.activeVersion()
                .equals(version);
        if (replacedTwins[process.index] != process && !isPersisted) {
            throw new InvariantViolation("a version is taken that is not on the disk");
        }
        process.activeVersion = version.number();
        activationDelays.computeIfAbsent(version.number(), any -> new ArrayList<>())
                .add(now() - publishedAt.get(version.number()));
        checkLease(process);
    }

    // What must hold.

    private void noteConfirmation(Process process) {
        long minVersion = process.manager.confirmedMinVersion();
        if (minVersion > highestConfirmed) {
            highestConfirmed = minVersion;
            confirmedAt.put(minVersion, now());
            for (Process each : processes) {
                if (each.up) {
                    checkLease(each);
                }
            }
            for (Process each : replacedTwins) {
                if (each != null && each.up) {
                    checkLease(each);
                }
            }
        }
    }

    /** Nothing is begun under a floor later than one lease after it was confirmed. */
    private void checkLease(Process process) {
        for (Map.Entry<Long, Long> each : confirmedAt.entrySet()) {
            if (process.activeVersion < each.getKey() && process.minVersion <= process.activeVersion
                    && process.leaseUntil > each.getValue() + leaseDuration) {
                throw new InvariantViolation("version " + process.activeVersion + " may be begun by until "
                        + process.leaseUntil
                        + ", the floor " + each.getKey() + " was confirmed at " + each.getValue());
            }
        }
    }

    /** Whether the process of that place would begin an exchange now that is under the floor. */
    public boolean mayStartBelow(int index, long minVersion) {
        Process process = processes[index];
        return process.up && now() >= process.pausedUntil && process.activeVersion < minVersion && process.minVersion
                <= process.activeVersion && now() < process.leaseUntil;
    }

    /** Long enough after the last fault, all know the floor and have what they may have. */
    public void checkConverged() {
        long highest = 0;
        for (Process each : processes) {
            highest = Math.max(highest, each.manager.minVersion());
        }
        for (Process each : processes) {
            if (each.manager.minVersion() != highest) {
                throw new InvariantViolation(name(each.index) + " does not know of the floor " + highest);
            }
            if (each.manager.confirmedMinVersion() != highest) {
                throw new InvariantViolation("the floor " + highest + " is confirmed by nobody to " + name(each.index));
            }
            if (each.manager.leaseUntil() <= now()) {
                throw new InvariantViolation(name(each.index) + " has no lease though all is well");
            }
        }
        Map<Long, List<Object>> identities = new HashMap<>();
        for (Process each : processes) {
            for (VersionMessage.KnownVersion known : each.manager.versions()) {
                List<Object> other = identities.putIfAbsent(known.version().number(), identity(known.version()));
                if (other != null && !other.equals(identity(known.version())) && known.stopReason().isEmpty()) {
                    throw new InvariantViolation("two versions are held under the number " + known.version().number());
                }
            }
        }
        for (int i = 0; i < instanceCount; i++) {
            if (detectionPending[i] && detectionRequired[i]) {
                throw new InvariantViolation(name(i) + " has a disk of an earlier day, and nobody says so");
            }
            long expected = expectedVersion(i, highest);
            if (processes[i].activeVersion < expected) {
                throw new InvariantViolation(name(i) + " decides by " + processes[i].activeVersion + " and not by "
                        + expected);
            }
        }
    }

    /** The highest that nothing speaks against there, and that somebody is left to have. */
    private long expectedVersion(int index, long minVersion) {
        long expected = 0;
        long newest = 0;
        for (Map.Entry<Long, List<Publication>> each : published.entrySet()) {
            long number = each.getKey();
            newest = number;
            Publication first = each.getValue().get(0);
            String programDigest = index % 7 == 6 ? OTHER_PROGRAM_DIGEST : PROGRAM_DIGEST;
            boolean stopped = false;
            for (Process process : processes) {
                stopped |= process.manager.versions().stream()
                        .anyMatch(entry -> entry.version().number() == number && !entry.stopReason().isEmpty());
            }
            boolean known = processes[index].manager.versions().stream()
                    .anyMatch(entry -> entry.version().number() == number);
            boolean obtainable = Arrays.stream(processes).anyMatch(process -> process.activeVersion == number
                    || each.getValue().stream().anyMatch(publication -> publication.publisher == process));
            boolean rejected = first.content.length > 0 && first.content[0] == index + 1
                    || !first.version.programDigest().isEmpty() && !first.version.programDigest().equals(programDigest);
            // Of two under one number the first may have gone with its publisher: nobody has to take the other.
            if (each.getValue().stream().map(publication -> identity(publication.version)).distinct().count() == 1
                    && !stopped && known && obtainable && !rejected && isFullRollout(first.version)) {
                expected = number;
            }
        }
        return newest == 0 ? 0 : expected;
    }

    /** Two that differ in any of it are two, though they have one number and one content. */
    private static List<Object> identity(Version version) {
        return List.of(version.digest(), version.programDigest(), version.stages(), version.stageInterval());
    }

    private static boolean isFullRollout(Version version) {
        return version.stages().stream().anyMatch(stage -> stage.zone().isEmpty() && stage.share() == 1)
                && version.stageInterval() == 0;
    }

    /** When the last fault is over for everybody. */
    public long convergenceDeadline() {
        return lastFaultAt + 6 * leaseDuration + 60 * gossipPeriod;
    }
}
