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
public final class Beside implements InstanceRunner.Extension {
    /** What peers may take: some hundred connections, and words that wait. */
    private static final long PEER_MEMORY = 64L << 20;
    private static final int PEER_DESCRIPTORS = 512;

    private final String name;
    private final JsonNode settings;
    private final PeersOrder peers;
    private final VersionsOrder.Order versions;
    private final Rigged rigged;
    /** The digest of the program; empty where nothing asks for it. */
    private final String text;
    private final HybridLogicalClock time;
    private final SecureRandom chance = new SecureRandom();
    private final long nonce = chance.nextLong() & Long.MAX_VALUE;
    public final Clock clock;
    /** Null where no record is kept. */
    public final AuditWriter audit;
    private PeerService peering;

    /** {@code rigged} is null outside of a rig; {@code told} is what the instance is told at its start. */
    public Beside(String name, JsonNode told, PeersOrder peers, VersionsOrder.Order versions, AuditConfig audit,
            Path rigged) throws IOException {
        this.name = name;
        this.peers = peers;
        this.versions = versions;
        this.rigged = new Rigged(rigged);
        settings = told.path("settings");
        text = versions == null && audit == null ? "" : Program.text();
        time = new HybridLogicalClock(this.rigged::millis);
        clock = rigged == null ? new Clock() : new Clock(this.rigged::tenths, System::nanoTime);
        this.audit = audit == null ? null : new AuditWriter(audit, name, nonce, "zone "
                + (peers == null ? "" : peers.zone) + " text " + text + " policy " + Program.policy()
                + " settings " + Digests.of(settings.toString().getBytes(java.nio.charset.StandardCharsets.UTF_8)),
                time, this.rigged);
    }

    @Override
    public void start(ProcessingChain chain) throws IOException {
        if (peers == null) {
            return;
        }
        LongSupplier tenths = clock::now;
        VersionService agreement = versions == null ? null : new VersionService(versions.terms(), name, peers.zone,
                text, nonce, new InstanceStore(rigged.disk(versions.directory()), name, versions.bound()),
                chance.nextLong(), tenths, time, audit, new Held(chain));
        // Another process under its name ends this one as the notice to leave does: nothing that is held is lost.
        peering = new PeerService(peers.pace, name, peers.zone, peers.listen, peers.others, nonce, chance.nextLong(),
                new Limits(PEER_MEMORY, PEER_DESCRIPTORS), tenths, () -> Signal.raise(new Signal("TERM")), agreement);
        peering.start();
    }

    @Override
    public void stop() {
        if (peering != null) {
            peering.leave();
        }
    }

    /** The instance as versions change it. */
    private final class Held implements VersionService.ManagedInstance {
        private final ProcessingChain chain;

        Held(ProcessingChain chain) {
            this.chain = chain;
        }

        @Override
        public String validate(byte[] content) {
            try {
                JsonNode other = DeploymentReader.JSON.readTree(content);
                String wrong = DeploymentReader.reloadObstacle(settings, other);
                if (wrong == null) {
                    new DeploymentReader(other);
                }
                return wrong;
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
        public void updateLease(long floor, long until) {
            chain.updateLease(floor, until);
        }
    }
}
