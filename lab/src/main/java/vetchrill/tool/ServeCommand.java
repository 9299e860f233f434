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

/** Runs one instance, with the extensions that an operator file switches on. */
@Command(name = "serve", mixinStandardHelpOptions = true,
        description = "Run one instance on sockets, as configured by GW_CONFIG, until SIGTERM. An operator file may "
                + "enable extensions that the platform configuration does not have.")
final class ServeCommand implements Callable<Integer> {
    @Option(names = "--operator", paramLabel = "FILE",
            description = "The operator file (HCL); see deploy/operator.hcl.")
    private Path operator;

    @Option(names = "--rigged", hidden = true,
            description = "A file through which a test rig steps the clock or fills the disk.")
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
        CaptureConfig captureConfig = CaptureConfig.readFrom(root);
        PeersConfig peersConfig = PeersConfig.read(root);
        OperatorConfigReader.VersionsBlock versionsConfig = OperatorConfigReader.readVersions(root, peersConfig, name);
        AuditConfig auditConfig = OperatorConfigReader.readAudit(root);
        root.check();
        if (configuration == null || !configuration.path("settings").isObject()) {
            // The start reports what is wrong with the configuration.
            return InstanceRunner.run(System.getenv());
        }
        CaptureWriter captureWriter = captureConfig == null ? null : newCaptureWriter(captureConfig, configuration);
        PeeringExtension extensions = new PeeringExtension(name, configuration, peersConfig, versionsConfig,
                auditConfig, rigFile);
        return InstanceRunner.run(System.getenv(), CompositeRecorder.combine(extensions.audit, captureWriter),
                extensions.clock, extensions);
    }

    private static String instanceName(JsonNode configuration) {
        String name = System.getenv("GW_NAME");
        return name == null ? configuration.path("name").asText() : name;
    }

    /** The configuration, or null if it can't be read; the start reports the reason. */
    private static JsonNode readConfiguration() {
        String file = System.getenv("GW_CONFIG");
        try {
            return file == null ? null : DeploymentReader.JSON.readTree(Files.readAllBytes(Path.of(file)));
        } catch (IOException e) {
            return null;
        }
    }

    private static CaptureWriter newCaptureWriter(CaptureConfig captureConfig, JsonNode configuration)
            throws IOException {
        Map<String, String> provenance = new LinkedHashMap<>();
        provenance.put("name", instanceName(configuration));
        provenance.put("started", Long.toString(System.currentTimeMillis()));
        provenance.put("program", "vetchrill 0.1.0");
        provenance.put("settings", configuration.path("settings").toString());
        return new CaptureWriter(captureConfig, provenance);
    }
}
