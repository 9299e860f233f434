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
import vetchrill.capture.CaptureConfig;
import vetchrill.capture.CaptureWriter;
import vetchrill.hcl.ConfigBlock;
import vetchrill.peering.PeeringExtension;
import vetchrill.peering.PeersConfig;
import vetchrill.peering.OperatorConfigReader;
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
    private Path rigFile;

    @Override
    public Integer call() throws IOException {
        System.setProperty(ToolLog.TARGET_PROPERTY, "out");
        if (operator == null) {
            return InstanceRunner.run(System.getenv());
        }
        JsonNode configuration = readConfiguration();
        String name = configuration == null ? "?" : instanceName(configuration);
        ConfigBlock root = ConfigBlock.read(operator);
        CaptureConfig captureOrder = CaptureConfig.readFrom(root);
        PeersConfig peersOrder = PeersConfig.read(root);
        OperatorConfigReader.VersionsBlock versionsOrder = OperatorConfigReader.readVersions(root, peersOrder, name);
        AuditConfig auditConfig = OperatorConfigReader.readAudit(root);
        root.check();
        if (configuration == null || !configuration.path("settings").isObject()) {
            // The start tells what is wrong with it.
            return InstanceRunner.run(System.getenv());
        }
        CaptureWriter captureWriter = captureOrder == null ? null : newCaptureWriter(captureOrder, configuration);
        PeeringExtension extensions = new PeeringExtension(name, configuration, peersOrder, versionsOrder, auditConfig,
                rigFile);
        return InstanceRunner.run(System.getenv(), CompositeRecorder.combine(extensions.audit, captureWriter),
                extensions.clock, extensions);
    }

    private static String instanceName(JsonNode configuration) {
        String name = System.getenv("GW_NAME");
        return name == null ? configuration.path("name").asText() : name;
    }

    /** Null where the configuration is of no use: the start tells of that itself. */
    private static JsonNode readConfiguration() {
        String file = System.getenv("GW_CONFIG");
        try {
            return file == null ? null : DeploymentReader.JSON.readTree(Files.readAllBytes(Path.of(file)));
        } catch (IOException e) {
            return null;
        }
    }

    private static CaptureWriter newCaptureWriter(CaptureConfig order, JsonNode configuration) throws IOException {
        Map<String, String> provenance = new LinkedHashMap<>();
        provenance.put("name", instanceName(configuration));
        provenance.put("started", Long.toString(System.currentTimeMillis()));
        provenance.put("program", "vetchrill 0.1.0");
        provenance.put("settings", configuration.path("settings").toString());
        return new CaptureWriter(order, provenance);
    }
}
