package vetchrill.peering;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.function.LongSupplier;
import sun.misc.Signal;
import vetchrill.audit.AuditConfig;
import vetchrill.audit.AuditWriter;
import vetchrill.audit.HybridLogicalClock;
import vetchrill.peers.InstanceStore;
import vetchrill.peers.PeerService;
import vetchrill.peers.VersionService;
import vetchrill.program.InstanceRunner;
import vetchrill.protocol.DeploymentReader;
import vetchrill.routing.Clock;
import vetchrill.routing.ProcessingChain;
import vetchrill.transport.Limits;
import vetchrill.versions.Digests;
import vetchrill.versions.Version;

/**
 * Starts what the operator's file switches on in a served instance beside its processing chain: membership among peers,
 * agreement on versions with its durable store, and the audit log.
 */
public final class PeeringExtension implements InstanceRunner.Extension {
    /** Enough for some hundred connections and their queued messages. */
    private static final long PEER_MEMORY_BYTES = 64L << 20;
    private static final int MAX_PEER_DESCRIPTORS = 512;

    private final String name;
    private final JsonNode settings;
    private final PeersConfig peers;
    private final OperatorConfigReader.VersionsBlock versions;
    private final InjectedFaults faults;
    /** Empty if neither versions nor the audit log needs it. */
    private final String programDigest;
    private final HybridLogicalClock hybridClock;
    private final SecureRandom random = new SecureRandom();
    /** Tells this process from others under the same name. */
    private final long nonce = random.nextLong() & Long.MAX_VALUE;
    public final Clock clock;
    /** Null if the audit log is off. */
    public final AuditWriter audit;
    private PeerService peerService;

    /**
     * Each of {@code peers}, {@code versions} and {@code audit} may be null, which switches it off.
     *
     * @param configuration the configuration that the instance is started with
     * @param faultFile the faults that a test rig injects; null outside of a rig
     */
    public PeeringExtension(String name, JsonNode configuration, PeersConfig peers,
            OperatorConfigReader.VersionsBlock versions, AuditConfig audit, Path faultFile) throws IOException {
        this.name = name;
        this.peers = peers;
        this.versions = versions;
        this.faults = new InjectedFaults(faultFile);
        settings = configuration.path("settings");
        programDigest = versions == null && audit == null ? "" : ProgramDigests.digest();
        hybridClock = new HybridLogicalClock(this.faults::wallTimeMs);
        clock = faultFile == null ? new Clock() : new Clock(this.faults::wallTimeTenthsMs, System::nanoTime);
        this.audit = audit == null ? null : new AuditWriter(audit, name, nonce, "zone "
                + (peers == null ? "" : peers.zone) + " text " + programDigest
                + " policy " + ProgramDigests.policyDigest()
                + " settings " + Digests.of(settings.toString().getBytes(StandardCharsets.UTF_8)),
                hybridClock, this.faults);
    }

    @Override
    public void start(ProcessingChain chain) throws IOException {
        if (peers == null) {
            return;
        }
        LongSupplier clockTenthsMs = clock::now;
        VersionService versionService = versions == null ? null : new VersionService(versions.config(), name,
                peers.zone, programDigest, nonce,
                new InstanceStore(faults.openDisk(versions.directory()), name, versions.maxStoreBytes()),
                random.nextLong(), clockTenthsMs, hybridClock, audit, new ManagedChain(chain));
        // Replaced by another process with its name, this one drains as on SIGTERM, so no pending exchange is lost.
        peerService = new PeerService(peers.membership, name, peers.zone, peers.listen, peers.peerAddresses, nonce,
                random.nextLong(), new Limits(PEER_MEMORY_BYTES, MAX_PEER_DESCRIPTORS), clockTenthsMs,
                () -> Signal.raise(new Signal("TERM")), versionService);
        peerService.start();
    }

    @Override
    public void stop() {
        if (peerService != null) {
            peerService.leave();
        }
    }

    /** The processing chain, as the version service validates and activates versions on it. */
    private final class ManagedChain implements VersionService.ManagedInstance {
        private final ProcessingChain chain;

        ManagedChain(ProcessingChain chain) {
            this.chain = chain;
        }

        @Override
        public String validate(byte[] content) {
            try {
                JsonNode candidate = DeploymentReader.JSON.readTree(content);
                String obstacle = DeploymentReader.reloadObstacle(settings, candidate);
                if (obstacle == null) {
                    new DeploymentReader(candidate);
                }
                return obstacle;
            } catch (IOException | IllegalArgumentException e) {
                return "invalid settings: " + String.valueOf(e.getMessage()).split("\n")[0];
            }
        }

        @Override
        public void activate(Version version, byte[] content) {
            try {
                chain.activateVersion(version.number(), new DeploymentReader(DeploymentReader.JSON.readTree(content)));
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }

        @Override
        public void updateLease(long minVersion, long leaseUntil) {
            chain.updateLease(minVersion, leaseUntil);
        }
    }
}
