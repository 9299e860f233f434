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
import vetchrill.powerloss.MemoryMedia;
import vetchrill.powerloss.PowerLossDisk;
import vetchrill.store.DurableStore;
import vetchrill.versions.Digests;
import vetchrill.versions.DurableState;
import vetchrill.versions.Version;
import vetchrill.versions.VersionManager;
import vetchrill.versions.VersionMessage;
import vetchrill.versions.VersionsConfig;

/**
 * Simulates the agreement on versions of a fleet on a virtual clock. The instances run {@link VersionManager} itself,
 * over a network and disks with faults. The invariants are checked after each step from outside: against when a minimum
 * version was first confirmed to any instance, the leases of each process, and the versions that each activated in
 * which order. Times are tenths of a millisecond.
 */
public final class VersionsSimulation extends NetworkSimulation {
    /** A published version with its content. */
    private record Publication(Version version, byte[] content, Process publisher) {
    }

    /** One process, with its active version and its lease as it reported them. */
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
        /** Versions that it knows to be forks: it must not activate them any more. */
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

    /** The program of all instances but every seventh. */
    public static final String PROGRAM_DIGEST = "a".repeat(64);
    /** The program of every seventh instance. */
    private static final String OTHER_PROGRAM_DIGEST = "b".repeat(64);
    private static final int MAX_STEPS_PER_RUN = 100_000;
    private static final long STORE_CAPACITY_BYTES = 1 << 20;
    /** See {@link PowerLossDisk}. */
    private static final double SPILL_RATIO = 0.3;

    private final int instanceCount;
    private final int voterCount;
    private final int zoneCount;
    private final long leaseDuration;
    private final long gossipPeriod;
    private final DurableState[] persistedStates;
    /** By instance, the media of its real store; null if real stores are not simulated. */
    private final MemoryMedia[] media;
    private final PowerLossDisk[] powerLossDisks;
    private final DurableStore[] stores;
    private final byte[][] storedContent;
    /** By instance, the last state whose write was acknowledged: it must not recover with an older one. */
    private final DurableState[] acknowledged;
    /** The media of the instance were altered since its last write, so the recovered state may be older. */
    private final boolean[] mediaAltered;
    /** An alteration of the media that the instance has not detected yet. */
    private final boolean[] detectionPending;
    /** The pending alteration put the disk so far back that it must be detected. */
    private final boolean[] detectionRequired;
    /** Write points until all instances lose power; 0 for never. */
    private long writePointsToPowerLoss;
    public int powerLosses;
    public int alterationCount;
    public int detectedAlterations;
    private final boolean[] diskFull;
    private final long[] writeDelay;
    /** By instance, the earlier process, with its own disk, that goes on while a later one runs under its name. */
    private final Process[] replacedTwins;
    /** By instance, the mask given to {@link #startTwin}. */
    private final int[] twinSides;
    /** Fraction of content chunks that are corrupted on the network. */
    public double corruptionRatio;
    /** The voter's state was lost or went back, and is not intact again since. */
    private final boolean[] lostState;
    public final Process[] processes;
    private final Map<Long, List<Publication>> published = new TreeMap<>();
    /** By minimum version, when an instance first knew it to be confirmed. */
    private final TreeMap<Long, Long> confirmedAt = new TreeMap<>();
    private long highestConfirmed;
    private long lastNonce;
    public long messagesSent;
    public long bytesSent;
    public long steps;
    /** For each version, how long after its publication each process activated it. */
    public final Map<Long, List<Long>> activationDelays = new HashMap<>();
    private final Map<Long, Long> publishedAt = new HashMap<>();
    /** All events that the instances reported, as text. */
    public final List<String> reports = new ArrayList<>();
    /** The outcomes of exchanges that each instance reports; null if none are simulated. */
    public ExchangeCounters exchangeCounters;

    /** The exchanges that an instance has decided by then, and how many of them were denied, failed and aborted. */
    public interface ExchangeCounters {
        long[] countersAt(int index, long activeVersion, long now);
    }

    public VersionsSimulation(int instanceCount, int voterCount, int zoneCount, long leaseDuration, long gossipPeriod,
            long seed) {
        this(instanceCount, voterCount, zoneCount, leaseDuration, gossipPeriod, seed, false);
    }

    /**
     * With {@code realStores} each instance has a {@link DurableStore} on media of its own, and may lose power at each
     * write point; else its state is written as a whole.
     */
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

    /** Ends a write of the instance at whose write point the power is lost. */
    private static final class PowerLost extends RuntimeException {
        private static final long serialVersionUID = 1;
    }

    /** Opens the store of that instance as its process starts, and recovers its state. */
    private DurableState openStore(int index) {
        try {
            powerLossDisks[index] = new PowerLossDisk(media[index], random.split(), SPILL_RATIO, point -> {
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

    /** On media that were not altered, the recovered state must not be older than the acknowledged one. */
    private void checkRecoveredState(int index, DurableState state) {
        DurableState acknowledgedState = acknowledged[index];
        boolean rejected = stores[index].outcome().compareTo(DurableStore.RecoveryOutcome.TORN) > 0;
        if (mediaAltered[index]) {
            countDetection(index, rejected);
            return;
        }
        if (rejected) {
            throw new InvariantViolation("the media were not altered, but recovery found "
                    + stores[index].outcome() + ": "
                    + stores[index].problem());
        }
        if (acknowledgedState != null
                && (state == null || state.revision() < acknowledgedState.revision()
                || state.minVersion() < acknowledgedState.minVersion()
                || state.incarnation() < acknowledgedState.incarnation()
                || activeNumber(state) < activeNumber(acknowledgedState) || acknowledgedState.intact()
                && !state.intact()
                && state.revision() == acknowledgedState.revision())) {
            throw new InvariantViolation(name(index) + " acknowledged the write of " + acknowledgedState
                    + ", but recovered " + state);
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

    /** Writes the state to the store; throws IOException if that fails. */
    private void commit(int index, DurableState state) throws IOException {
        DurableState before = acknowledged[index];
        if (before != null && state.revision() <= before.revision() && (state.minVersion() > before.minVersion()
                || state.incarnation() > before.incarnation() || activeNumber(state) > activeNumber(before))) {
            throw new InvariantViolation(name(index) + " writes a changed state without a higher revision");
        }
        stores[index].commit(InstanceStore.changesFor(state, storedContent[index]), true);
        mediaAltered[index] = false;
        storedContent[index] = state.activeContent();
        acknowledged[index] = state;
    }

    /** All instances lose power: at once if {@code writePoints} is 0, else at that write point of any store. */
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

    /** Restarts all that are down, each up to {@code maxStagger} after the one before. */
    public void restartAll(long maxStagger) {
        long startAt = now();
        for (int i = 0; i < instanceCount; i++) {
            int index = i;
            startAt += maxStagger > 0 ? random.nextLong(maxStagger) : 0;
            schedule(startAt, () -> start(index));
        }
        markFault();
    }

    /** A copy of the media of that instance, for a later {@link #replaceMedia}. */
    public MemoryMedia copyMedia(int index) {
        return new MemoryMedia(media[index]);
    }

    /**
     * Restarts the instance with media of an earlier time or of another instance. False, with no change, if the other
     * voters do not know its revision, or if more voters would have lost their state then than the protocol tolerates.
     */
    public boolean replaceMedia(int index, MemoryMedia replacement) {
        return alterMedia(index, () -> media[index] = replacement);
    }

    /** Restarts the instance with a byte of a file changed or a file truncated; false likewise, or without files. */
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

    /** Whether all other voters have this one's revision on disk: without that an older disk may go undetected. */
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

    /** Marks the state of a voter as lost; false, with no change, if no majority would remember its promises then. */
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
        // The restart and the recovery from its peers raise the revision by a few, which can hide a small gap: only a
        // disk that is more than 3 behind must be detected.
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

    // Faults and orders.

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
     * Restarts the instance with the given state in place of its disk's, or with none. False if it is a voter and no
     * majority of the voters would remember its promises then, a case in which the protocol guarantees nothing.
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
     * Starts a second process, without a disk, under the name of one that goes on. Each other instance reaches only one
     * of the two: the second if the bit of its index in {@code sides} is set.
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

    /** Each write to that disk takes up to {@code maxDelay} longer. */
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

    /**
     * Publishes a version at that instance; null if it was accepted, else the reason. Content is rejected by the
     * instance whose index plus 1 is its first byte.
     */
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

    // The owner's part of each process.

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
                throw new InvariantViolation("an instance performs actions without end");
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
                    throw new InvariantViolation("a message is sent to a name that no other instance has");
                }
                if (media != null && message.status().revision() > (acknowledged[process.index] == null ? 0
                        : acknowledged[process.index].revision())) {
                    throw new InvariantViolation(name(process.index) + " reports a revision that is not on its disk");
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
                    // The write of a process that was killed meanwhile may have reached the disk or not.
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
                    throw new InvariantViolation("content is validated that does not have the digest of its version");
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
                            + process.activeVersion + " is active");
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

    /** The process under that name which the instance {@code from} reaches. */
    private Process reachableProcess(int from, int index) {
        return replacedTwins[index] != null && replacedTwins[index].up && (twinSides[index] >> from & 1) == 0
                ? replacedTwins[index]
                : processes[index];
    }

    /** Flips a bit of some content chunks: contents are identified by digest, so none may be accepted corrupted. */
    private VersionMessage maybeCorrupt(VersionMessage message) {
        if (corruptionRatio == 0 || message.kind() != VersionMessage.Kind.PIECE || message.chunk().bytes().length == 0
                || random.nextDouble() >= corruptionRatio) {
            return message;
        }
        byte[] corrupted = message.chunk().bytes().clone();
        corrupted[random.nextInt(corrupted.length)] ^= 1;
        return new VersionMessage(message.kind(), message.sender(), message.zone(), message.nonce(),
                message.requestId(), message.recipientRevision(), message.state(), message.status(),
                new VersionMessage.Chunk(message.chunk().digest(), message.chunk().offset(), corrupted));
    }

    /** About the size of the message in CBOR. */
    private static long estimatedBytes(VersionMessage message) {
        return 90 + 130L * message.state().versions().size() + 14L * message.state().promises().size()
                + (message.chunk() == null ? 0 : 70 + message.chunk().bytes().length);
    }

    private void onActivated(Process process, Version version, byte[] content) {
        if (version.number() <= process.activeVersion) {
            throw new InvariantViolation("version " + version.number() + " is activated after "
                    + process.activeVersion);
        }
        List<Publication> publications = published.getOrDefault(version.number(), List.of());
        if (publications.stream().noneMatch(each -> each.version.equals(version)
                && Arrays.equals(each.content, content))) {
            throw new InvariantViolation("a version is activated that was not published");
        }
        if (content.length > 0 && content[0] == process.index + 1) {
            throw new InvariantViolation("a version is activated that this instance rejects");
        }
        if (!version.programDigest().isEmpty() && !version.programDigest()
                .equals(process.index % 7 == 6 ? OTHER_PROGRAM_DIGEST : PROGRAM_DIGEST)) {
            throw new InvariantViolation("a version is activated that is for another program");
        }
        if (process.knownForks.contains(version.number())) {
            throw new InvariantViolation("a version is activated that is known to be in conflict");
        }
        DurableState persisted = persistedStates[process.index];
        boolean isPersisted = persisted != null && persisted.activeVersion() != null
                && persisted.activeVersion().equals(version);
        if (replacedTwins[process.index] != process && !isPersisted) {
            throw new InvariantViolation("a version is activated that is not on the disk");
        }
        process.activeVersion = version.number();
        activationDelays.computeIfAbsent(version.number(), any -> new ArrayList<>())
                .add(now() - publishedAt.get(version.number()));
        checkLease(process);
    }

    // Invariants.

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

    /** One lease after a minimum version was confirmed, no exchange of a version below it may start any more. */
    private void checkLease(Process process) {
        for (Map.Entry<Long, Long> each : confirmedAt.entrySet()) {
            if (process.activeVersion < each.getKey() && process.minVersion <= process.activeVersion
                    && process.leaseUntil > each.getValue() + leaseDuration) {
                throw new InvariantViolation("exchanges of version " + process.activeVersion + " may start until "
                        + process.leaseUntil + ", the minimum version " + each.getKey() + " was confirmed at "
                        + each.getValue());
            }
        }
    }

    /** Whether that instance would start an exchange of a version below {@code minVersion} now. */
    public boolean mayStartBelow(int index, long minVersion) {
        Process process = processes[index];
        return process.up && now() >= process.pausedUntil && process.activeVersion < minVersion
                && process.minVersion <= process.activeVersion && now() < process.leaseUntil;
    }

    /** Long enough after the last fault, all must know the minimum version and have activated what they can. */
    public void checkConverged() {
        long highest = 0;
        for (Process each : processes) {
            highest = Math.max(highest, each.manager.minVersion());
        }
        for (Process each : processes) {
            if (each.manager.minVersion() != highest) {
                throw new InvariantViolation(name(each.index) + " does not know the minimum version " + highest);
            }
            if (each.manager.confirmedMinVersion() != highest) {
                throw new InvariantViolation("the minimum version " + highest + " is not known as confirmed to "
                        + name(each.index));
            }
            if (each.manager.leaseUntil() <= now()) {
                throw new InvariantViolation(name(each.index) + " has no lease though there is no fault");
            }
        }
        Map<Long, List<Object>> identities = new HashMap<>();
        for (Process each : processes) {
            for (VersionMessage.KnownVersion known : each.manager.versions()) {
                List<Object> other = identities.putIfAbsent(known.version().number(), identity(known.version()));
                if (other != null && !other.equals(identity(known.version())) && known.stopReason().isEmpty()) {
                    throw new InvariantViolation("two versions are known and not stopped under the number "
                            + known.version().number());
                }
            }
        }
        for (int i = 0; i < instanceCount; i++) {
            if (detectionPending[i] && detectionRequired[i]) {
                throw new InvariantViolation(name(i) + " has an older disk, and no instance reports it");
            }
            long expected = expectedVersion(i, highest);
            if (processes[i].activeVersion < expected) {
                throw new InvariantViolation(name(i) + " has active version " + processes[i].activeVersion
                        + ", expected " + expected);
            }
        }
    }

    /** The highest version that the instance must have activated: not stopped, accepted there, and obtainable. */
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
            // Of two versions under one number the first may be lost with its publisher: none needs to be activated.
            if (each.getValue().stream().map(publication -> identity(publication.version)).distinct().count() == 1
                    && !stopped && known && obtainable && !rejected && isFullRollout(first.version)) {
                expected = number;
            }
        }
        return newest == 0 ? 0 : expected;
    }

    /** What makes a version the same as another: those that differ in any of it are in conflict under one number. */
    private static List<Object> identity(Version version) {
        return List.of(version.digest(), version.programDigest(), version.stages(), version.stageInterval());
    }

    private static boolean isFullRollout(Version version) {
        return version.stages().stream().anyMatch(stage -> stage.zone().isEmpty() && stage.share() == 1)
                && version.stageInterval() == 0;
    }

    /** The time by which all must have converged. */
    public long convergenceDeadline() {
        return lastFaultAt + 6 * leaseDuration + 60 * gossipPeriod;
    }
}
