package vetchrill.tool;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import vetchrill.capture.CaptureOrder;
import vetchrill.capture.CaptureWriter;
import sun.misc.Signal;
import vetchrill.hcl.Block;
import vetchrill.peering.PeersOrder;
import vetchrill.peers.Peering;
import vetchrill.program.Serve;
import vetchrill.protocol.DeploymentReader;
import vetchrill.transport.Limits;

@Command(name = "serve", mixinStandardHelpOptions = true,
        description = "Be one instance on sockets, as GW_CONFIG says, until SIGTERM. An operator's file may switch on "
                + "what the platform does not know.")
final class ServeCommand implements Callable<Integer> {
    @Option(names = "--operator", paramLabel = "FILE",
            description = "The operator's own file (HCL); see deploy/operator.hcl.")
    private Path operator;

    /** What peers may take: some hundred connections, and words that wait. */
    private static final long PEER_MEMORY = 64L << 20;
    private static final int PEER_DESCRIPTORS = 512;

    @Override
    public Integer call() throws IOException {
        System.setProperty(ToolLog.TARGET, "out");
        CaptureOrder order = null;
        PeersOrder peers = null;
        if (operator != null) {
            Block root = Block.read(operator);
            order = CaptureOrder.in(root);
            peers = PeersOrder.in(root);
            root.check();
        }
        CaptureWriter recorder = order == null ? null : recorder(order);
        if (peers != null) {
            peering(peers).start();
        }
        return Serve.run(System.getenv(), recorder);
    }

    /** Another process under its name ends this one as the notice to leave does: nothing that is held is lost. */
    private static Peering peering(PeersOrder order) throws IOException {
        JsonNode told = told();
        SecureRandom chance = new SecureRandom();
        return new Peering(order.pace, told == null ? "?" : name(told), order.zone, order.listen, order.others,
                chance.nextLong() & Long.MAX_VALUE, chance.nextLong(), new Limits(PEER_MEMORY, PEER_DESCRIPTORS),
                () -> System.nanoTime() / 100_000, () -> Signal.raise(new Signal("TERM")));
    }

    private static String name(JsonNode told) {
        String name = System.getenv("GW_NAME");
        return name == null ? told.path("name").asText() : name;
    }

    /** Null where the configuration is of no use: the start tells of that itself. */
    private static JsonNode told() {
        String file = System.getenv("GW_CONFIG");
        try {
            return file == null ? null : DeploymentReader.JSON.readTree(Files.readAllBytes(Path.of(file)));
        } catch (IOException e) {
            return null;
        }
    }

    private static CaptureWriter recorder(CaptureOrder order) throws IOException {
        JsonNode told = told();
        if (told == null || !told.path("settings").isObject()) {
            return null;
        }
        Map<String, String> provenance = new LinkedHashMap<>();
        provenance.put("name", name(told));
        provenance.put("started", Long.toString(System.currentTimeMillis()));
        provenance.put("program", "vetchrill 0.1.0");
        provenance.put("settings", told.path("settings").toString());
        return new CaptureWriter(order, provenance);
    }
}
