package vetchrill.tool;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import vetchrill.audit.AuditConfig;
import vetchrill.capture.CaptureOrder;
import vetchrill.capture.CaptureWriter;
import vetchrill.hcl.Block;
import vetchrill.peering.Beside;
import vetchrill.peering.PeersOrder;
import vetchrill.peering.VersionsOrder;
import vetchrill.program.InstanceRunner;
import vetchrill.protocol.DeploymentReader;

@Command(name = "serve", mixinStandardHelpOptions = true,
        description = "Be one instance on sockets, as GW_CONFIG says, until SIGTERM. An operator's file may switch on "
                + "what the platform does not know.")
final class ServeCommand implements Callable<Integer> {
    @Option(names = "--operator", paramLabel = "FILE",
            description = "The operator's own file (HCL); see deploy/operator.hcl.")
    private Path operator;

    @Option(names = "--rigged", hidden = true, description = "A file by which a rig steps the clock or fills the disk.")
    private Path rigged;

    @Override
    public Integer call() throws IOException {
        System.setProperty(ToolLog.TARGET, "out");
        if (operator == null) {
            return InstanceRunner.run(System.getenv());
        }
        JsonNode told = told();
        String name = told == null ? "?" : name(told);
        Block root = Block.read(operator);
        CaptureOrder capture = CaptureOrder.in(root);
        PeersOrder peers = PeersOrder.in(root);
        VersionsOrder.Order versions = VersionsOrder.versions(root, peers, name);
        AuditConfig audit = VersionsOrder.audit(root);
        root.check();
        if (told == null || !told.path("settings").isObject()) {
            // The start tells what is wrong with it.
            return InstanceRunner.run(System.getenv());
        }
        CaptureWriter recorder = capture == null ? null : recorder(capture, told);
        Beside beside = new Beside(name, told, peers, versions, audit, rigged);
        return InstanceRunner.run(System.getenv(), Recorders.both(beside.audit, recorder), beside.clock, beside);
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

    private static CaptureWriter recorder(CaptureOrder order, JsonNode told) throws IOException {
        Map<String, String> provenance = new LinkedHashMap<>();
        provenance.put("name", name(told));
        provenance.put("started", Long.toString(System.currentTimeMillis()));
        provenance.put("program", "vetchrill 0.1.0");
        provenance.put("settings", told.path("settings").toString());
        return new CaptureWriter(order, provenance);
    }
}
