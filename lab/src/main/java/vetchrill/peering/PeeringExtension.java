package vetchrill.peering;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.function.LongSupplier;
import sun.misc.Signal;
import vetchrill.audit.AuditConfig;
import vetchrill.audit.AuditWriter;
import vetchrill.audit.HybridLogicalClock;
import vetchrill.peers.VersionService;
import vetchrill.peers.PeerService;
import vetchrill.peers.InstanceStore;
import vetchrill.program.InstanceRunner;
import vetchrill.protocol.DeploymentReader;
import vetchrill.routing.ProcessingChain;
import vetchrill.routing.Clock;
import vetchrill.transport.Limits;
import vetchrill.versions.Digests;
import vetchrill.versions.Version;

/** What an instance has beside its chain where an operator's file says so: peers, versions, the record. */
public final class PeeringExtension implements InstanceRunner.Extension {
    /** What peers may take: some hundred connections, and words that wait. */
    private static final long PEER_MEMORY_BYTES = 64L << 20;
    private static final int MAX_PEER_DESCRIPTORS = 512;

    private final String name;
    private final JsonNode settings;
    private final PeersConfig peers;
    private final OperatorConfigReader.VersionsBlock versions;
    private final InjectedFaults faults;
    /** The digest of the program; empty where nothing asks for it. */
    private final String programDigest;
    private final HybridLogicalClock hybridClock;
    private final SecureRandom random = new SecureRandom();
    private final long nonce = random.nextLong() & Long.MAX_VALUE;
    public final Clock clock;
    /** Null where no record is kept. */
    public final AuditWriter audit;
    private PeerService peerService;

    /** {@code rigged} is null outside of a rig; {@code told} is what the instance is told at its start. */
    public PeeringExtension(String name, JsonNode configuration, PeersConfig peers,
            OperatorConfigReader.VersionsBlock versions, AuditConfig audit,
            Path faultFile) throws IOException {
        this.name = name;
        this.peers = peers;
        this.versions = versions;
        this.faults = new InjectedFaults(faultFile);
        settings = configuration.path("settings");
        programDigest = versions == null && audit == null ? "" : ProgramDigests.digest();
        hybridClock = new HybridLogicalClock(this.faults::wallTimeMs);
        clock = faultFile == null ? new Clock() : new Clock(this.faults::wallTimeTenthsMs, System::nanoTime);
        this.audit = audit == null ? null : new AuditWriter(audit, name, nonce, "zone "
                + (peers == null ? "" : peers.zone) + " text " + programDigest + " policy "
                + ProgramDigests.policyDigest()
                + " settings " + Digests.of(settings.toString().getBytes(java.nio.charset.StandardCharsets.UTF_8)),
                hybridClock, this.faults);
    }

    @Override
    public void start(ProcessingChain chain) throws IOException {
        if (peers == null) {
            return;
        }
        LongSupplier clockTenthsMs = clock::now;
        VersionService versionService = versions == null ? null : new VersionService(versions.config(), name,
                peers.zone,
                programDigest, nonce,
                new InstanceStore(faults.openDisk(versions.directory()), name, versions.maxStoreBytes()),
                random.nextLong(), clockTenthsMs, hybridClock, audit, new ManagedChain(chain));
        // Another process under its name ends this one as the notice to leave does: nothing that is held is lost.
        peerService = new PeerService(peers.membership, name, peers.zone, peers.listen, peers.peerAddresses, nonce,
                random.nextLong(),
                new Limits(PEER_MEMORY_BYTES, MAX_PEER_DESCRIPTORS), clockTenthsMs,
                () -> Signal.raise(new Signal("TERM")), versionService);
        peerService.start();
    }

    @Override
    public void stop() {
        if (peerService != null) {
            peerService.leave();
        }
    }

    /** The instance as versions change it. */
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
                return "settings are of no use: " + String.valueOf(e.getMessage()).split("\n")[0];
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
