package vetchrill.peers;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import vetchrill.audit.AuditWriter;
import vetchrill.audit.HybridLogicalClock;
import vetchrill.versions.Digests;
import vetchrill.versions.DurableState;
import vetchrill.versions.VersionMessage;
import vetchrill.versions.VersionsConfig;
import vetchrill.versions.Version;
import vetchrill.versions.VersionManager;

/**
 * Runs the {@link VersionManager} of a process on the thread of {@link PeerService}; only writing to the disk has a
 * thread of its own. Also answers the orders and status queries of tools. Times are those of the instance's clock, in
 * tenths of a millisecond.
 */
public final class VersionService {
    /** The instance whose version is managed. */
    public interface ManagedInstance {
        /** Returns null if the content could be activated, else the reason why not. */
        String validate(byte[] content);

        /** From now on exchanges that arrive are decided by this version. */
        void activate(Version version, byte[] content);

        /** From now on nothing is started below the minimum version, and nothing at all from {@code until} on. */
        void updateLease(long minVersion, long until);
    }

    private static final System.Logger LOG = System.getLogger("vetchrill.versions");
    private static final ObjectMapper JSON = new ObjectMapper();
    /** At most so often the advance of a peer's audit log is recorded. */
    private static final long PEER_POSITION_PERIOD_TENTHS_MS = 5_000;
    private static final long TENTHS_PER_MS = 10;

    private final String name;
    private final VersionManager versionManager;
    private final InstanceStore store;
    private final ManagedInstance instance;
    private final LongSupplier clock;
    private final HybridLogicalClock hybridClock;
    private final AuditWriter auditWriter;
    private final Map<String, PeerAuditPosition> peerAuditPositions = new HashMap<>();
    private Consumer<Runnable> ownerExecutor;
    private long stackBytes;
    private Sender sender;

    interface Sender {
        void send(String to, byte[] payload);
    }

    /**
     * Activates the version in the store, if there is one. {@code programDigest} is the digest of the program;
     * {@code auditWriter} may be null. Throws IOException if the instance rejects that version.
     */
    public VersionService(VersionsConfig config, String name, String zone, String programDigest, long nonce,
            InstanceStore store, long seed, LongSupplier clock, HybridLogicalClock hybridClock,
            AuditWriter auditWriter, ManagedInstance instance) throws IOException {
        this.name = name;
        this.store = store;
        this.instance = instance;
        this.clock = clock;
        this.hybridClock = hybridClock;
        this.auditWriter = auditWriter;
        DurableState state = store.recoveredState();
        versionManager = new VersionManager(config, name, zone, programDigest, nonce, state, seed, clock.getAsLong());
        // Before any input, the last active version is activated; nothing is started before the voters grant a lease.
        if (versionManager.activeVersion() != null) {
            String rejectReason = instance.validate(versionManager.activeContent());
            if (rejectReason != null) {
                throw new IOException("version " + versionManager.activeNumber() + " in the store is rejected: "
                        + rejectReason);
            }
            instance.activate(versionManager.activeVersion(), versionManager.activeContent());
        }
        instance.updateLease(versionManager.minVersion(), versionManager.leaseUntil());
        if (state == null) {
            LOG.log(System.Logger.Level.INFO, "no state in the store: querying the voters for the minimum version");
        }
    }

    /**
     * Called by {@link PeerService} once, before its thread runs. {@code ownerExecutor} runs tasks on that thread; it
     * waits for room in the queue rather than drop one.
     */
    void attach(Consumer<Runnable> ownerExecutor, Sender sender, long stackBytes) {
        this.ownerExecutor = ownerExecutor;
        this.sender = sender;
        this.stackBytes = stackBytes;
    }

    void start() {
        store.writer.start(stackBytes);
    }

    // On the thread of PeerService.

    void receive(VersionMessageCodec.Envelope envelope) {
        hybridClock.observe(envelope.hybridTime());
        versionManager.receive(envelope.message());
        if (auditWriter != null && envelope.auditBlock() >= 0) {
            peerAuditPositions.computeIfAbsent(envelope.message().sender(), any -> new PeerAuditPosition())
                    .update(envelope);
        }
    }

    /**
     * How far a peer's audit log has come, as reported by it. A report is recorded if it contradicts the last recorded
     * one; if the log has merely advanced, at most once in {@link #PEER_POSITION_PERIOD_TENTHS_MS}.
     */
    private final class PeerAuditPosition {
        private long block = -1;
        private String digest = "";
        private long recordedAt = Long.MIN_VALUE / 2;

        void update(VersionMessageCodec.Envelope envelope) {
            boolean diverged = envelope.auditBlock() < block
                    || envelope.auditBlock() == block && !envelope.auditDigest().equals(digest);
            if (diverged || envelope.auditBlock() > block
                    && clock.getAsLong() - recordedAt >= PEER_POSITION_PERIOD_TENTHS_MS) {
                recordedAt = clock.getAsLong();
                block = envelope.auditBlock();
                digest = envelope.auditDigest();
                auditWriter.recordPeerPosition(envelope.message().sender(), block, digest);
            }
        }
    }

    long wakeAt() {
        return versionManager.wakeAt();
    }

    void processPending() {
        versionManager.advanceTime(clock.getAsLong());
        if (auditWriter != null) {
            versionManager.updateCounters(auditWriter.counter(AuditWriter.DECIDED_COUNTER),
                    auditWriter.counter(AuditWriter.DENIED_COUNTER), auditWriter.counter(AuditWriter.FAILED_COUNTER),
                    auditWriter.counter(AuditWriter.ABORTED_COUNTER));
        }
        while (versionManager.processNext(host)) {
            continue;
        }
    }

    private final VersionManager.Host host = new VersionManager.Host() {
        @Override
        public void send(String to, VersionMessage message) {
            AuditWriter.Position auditPosition = auditWriter == null ? null : auditWriter.position();
            sender.send(to, VersionMessageCodec.encode(new VersionMessageCodec.Envelope(hybridClock.next(),
                    auditPosition == null ? -1 : auditPosition.block(),
                    auditPosition == null ? "" : auditPosition.digest(), message)));
        }

        @Override
        public void persist(DurableState state) {
            store.persist(state, durable -> ownerExecutor.accept(() -> versionManager.onPersisted(durable)));
        }

        @Override
        public void validate(Version version, byte[] content) {
            versionManager.onValidated(version.number(), instance.validate(content));
        }

        @Override
        public void activate(Version version, byte[] content) {
            instance.activate(version, content);
        }

        @Override
        public void updateLease(long activeVersion, long minVersion, long until) {
            instance.updateLease(minVersion, until);
        }

        @Override
        public void report(VersionManager.Event event, String instanceName, long version, String text) {
            System.Logger.Level level = switch (event) {
                case HEARD, TAKEN, FREE, CONFIRMED -> System.Logger.Level.INFO;
                case BEHIND, BARRED, STOPPED -> System.Logger.Level.WARNING;
                default -> System.Logger.Level.ERROR;
            };
            LOG.log(level, "{0} {1}: version {2}: {3}", event, instanceName, version, text);
            if (auditWriter != null) {
                auditWriter.recordNotice(event.name(), version, instanceName + ": " + text);
            }
        }
    };

    // Orders and status queries of tools, in JSON.

    /** Executes an order. The reply is the status, with a key {@code error} if the order failed. */
    byte[] handleOrder(byte[] orderJson) {
        ObjectNode reply = JSON.createObjectNode();
        try {
            JsonNode order = JSON.readTree(orderJson);
            String error = switch (order.path("order").asText()) {
                case "status" -> null;
                case "publish" -> publish(order, reply);
                case "floor" -> versionManager.minVersion(order.path("number").asLong());
                case "halt" -> versionManager.halt(order.path("number").asLong());
                default -> "unknown order: " + order.path("order");
            };
            if (error != null) {
                reply.put("error", error);
            }
        } catch (IOException | IllegalArgumentException e) {
            reply.put("error", "invalid order: " + String.valueOf(e.getMessage()).split("\n")[0]);
        }
        addStatus(reply);
        return reply.toString().getBytes(StandardCharsets.UTF_8);
    }

    private String publish(JsonNode order, ObjectNode reply) throws IOException {
        byte[] content = order.path("content").binaryValue();
        if (content == null || content.length > Version.MAX_SIZE_BYTES) {
            return "the content is missing or larger than " + Version.MAX_SIZE_BYTES + " bytes";
        }
        long highest = Math.max(versionManager.activeNumber(), versionManager.minVersion());
        for (VersionMessage.KnownVersion each : versionManager.versions()) {
            highest = Math.max(highest, each.version().number());
        }
        long number = order.has("number") ? order.path("number").asLong() : highest + 1;
        List<Version.Stage> stages = new ArrayList<>();
        for (JsonNode each : order.path("stages")) {
            stages.add(new Version.Stage(each.path("zone").asText(), each.path("share").asDouble()));
        }
        if (stages.isEmpty()) {
            stages.add(new Version.Stage("", 1));
        }
        reply.put("published", number);
        return versionManager.publish(new Version(number, name, Digests.of(content), content.length,
                order.path("text").asText(""), stages, order.path("hold_ms").asLong() * TENTHS_PER_MS), content);
    }

    private void addStatus(ObjectNode reply) {
        long now = clock.getAsLong();
        reply.put("name", name).put("count", versionManager.persistedRevision())
                .put("store", store.recoveryOutcome.name())
                .put("able", versionManager.status().canVote()).put("taken", versionManager.activeNumber())
                .put("floor", versionManager.minVersion())
                .put("confirmed", versionManager.confirmedMinVersion()).put("barred", versionManager.isFenced());
        if (versionManager.leaseUntil() > Long.MIN_VALUE) {
            reply.put("lease_ms", (versionManager.leaseUntil() - now) / TENTHS_PER_MS);
        }
        ArrayNode knownVersions = reply.putArray("versions");
        for (VersionMessage.KnownVersion each : versionManager.versions()) {
            knownVersions.addObject().put("number", each.version().number()).put("digest", each.version().digest())
                    .put("author", each.version().author()).put("age_ms", each.age() / TENTHS_PER_MS)
                    .put("stopped", each.stopReason());
        }
        ArrayNode instances = reply.putArray("instances");
        VersionMessage.InstanceStatus self = versionManager.status();
        instances.addObject().put("name", name).put("taken", self.activeVersion()).put("why", self.rejectReason())
                .put("heard_ms", 0);
        for (VersionManager.PeerReport each : versionManager.peerReports()) {
            instances.addObject().put("name", each.name()).put("taken", each.status().activeVersion())
                    .put("why", each.status().rejectReason())
                    .put("heard_ms", (now - each.receivedAt()) / TENTHS_PER_MS);
        }
        ArrayNode voters = reply.putArray("keepers");
        for (VersionMessage.VoterPromise each : versionManager.promises()) {
            voters.addObject().put("name", each.voter()).put("life", each.incarnation())
                    .put("floor", each.minVersion());
        }
    }
}
