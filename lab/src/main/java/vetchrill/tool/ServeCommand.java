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
import vetchrill.capture.CaptureOrder;
import vetchrill.capture.CaptureWriter;
import vetchrill.hcl.Block;
import vetchrill.program.Serve;
import vetchrill.protocol.DeploymentReader;

@Command(name = "serve", mixinStandardHelpOptions = true,
        description = "Be one instance on sockets, as GW_CONFIG says, until SIGTERM. An operator's file may switch on "
                + "what the platform does not know.")
final class ServeCommand implements Callable<Integer> {
    @Option(names = "--operator", paramLabel = "FILE",
            description = "The operator's own file (HCL); see deploy/operator.hcl.")
    private Path operator;

    @Override
    public Integer call() throws IOException {
        System.setProperty(ToolLog.TARGET, "out");
        CaptureOrder order = null;
        if (operator != null) {
            Block root = Block.read(operator);
            order = CaptureOrder.in(root);
            root.check();
        }
        CaptureWriter recorder = order == null ? null : recorder(order);
        return Serve.run(System.getenv(), recorder);
    }

    /** Null where the configuration is of no use: the start tells of that itself. */
    private static CaptureWriter recorder(CaptureOrder order) throws IOException {
        String file = System.getenv("GW_CONFIG");
        JsonNode told;
        try {
            told = file == null ? null : DeploymentReader.JSON.readTree(Files.readAllBytes(Path.of(file)));
        } catch (IOException e) {
            return null;
        }
        if (told == null || !told.path("settings").isObject()) {
            return null;
        }
        Map<String, String> provenance = new LinkedHashMap<>();
        String name = System.getenv("GW_NAME");
        provenance.put("name", name == null ? told.path("name").asText() : name);
        provenance.put("started", Long.toString(System.currentTimeMillis()));
        provenance.put("program", "vetchrill 0.1.0");
        provenance.put("settings", told.path("settings").toString());
        return new CaptureWriter(order, provenance);
    }
}
