package vetchrill.program;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import vetchrill.control.Deployment;
import vetchrill.control.EndpointGroup;
import vetchrill.protocol.DeploymentReader;
import vetchrill.transport.Limits;

/** The configuration of an instance, decoded from the environment and the file that GW_CONFIG names. */
final class StartConfiguration {
    final String name;
    final InetSocketAddress listenAddress;
    final InetSocketAddress interpreterAddress;
    final InetSocketAddress membershipAddress;
    final long seed;
    /** Time from the request of a drain to the exit of the process, in tenths of a millisecond. */
    final long drainTime;
    final Limits limits;
    final DeploymentReader settings;

    /**
     * Reads and checks the configuration.
     *
     * @throws IllegalArgumentException with a message of one line that names what is wrong
     */
    StartConfiguration(Map<String, String> environment) {
        String file = environment.get("GW_CONFIG");
        if (file == null || file.isEmpty()) {
            throw new IllegalArgumentException("GW_CONFIG is not set");
        }
        JsonNode root;
        try {
            root = DeploymentReader.JSON.readTree(Files.readAllBytes(Path.of(file)));
        } catch (IOException e) {
            throw new IllegalArgumentException("GW_CONFIG can't be read: " + e.getMessage().split("\n")[0]);
        }
        if (root == null || !root.isObject()) {
            throw new IllegalArgumentException("GW_CONFIG does not contain a JSON object");
        }
        name = environment.getOrDefault("GW_NAME", root.path("name").asText());
        if (!name.matches("[A-Za-z0-9._-]+")) {
            throw new IllegalArgumentException("no valid name in GW_NAME or the configuration");
        }
        listenAddress = parseAddress("listen", environment.getOrDefault("GW_LISTEN", root.path("listen").asText()));
        interpreterAddress = parseAddress("vm", root.path("vm").asText());
        membershipAddress = parseAddress("members", root.path("members").asText());
        try {
            seed = Long.parseUnsignedLong(root.path("seed").asText(), 16);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("seed is not hexadecimal: '" + root.path("seed").asText() + "'");
        }
        drainTime = Math.round(root.path("stop_ms").asDouble() * 10);
        if (drainTime <= 0) {
            throw new IllegalArgumentException("stop_ms is missing or not positive");
        }
        JsonNode limitsNode = root.path("limits");
        if (!limitsNode.path("memory_mb").isNumber() || !limitsNode.path("sockets").isInt()) {
            throw new IllegalArgumentException("limits: memory_mb or sockets is missing or invalid");
        }
        limits = new Limits((long) (limitsNode.path("memory_mb").asDouble() * (1 << 20)),
                limitsNode.path("sockets").asInt());
        try {
            settings = new DeploymentReader(root.path("settings"));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("settings: " + e.getMessage());
        }
        for (EndpointGroup group : settings.deployment.groups) {
            String groupName = settings.groupNames.get(settings.deployment.groups.indexOf(group));
            if (group.mayCall) {
                throw new IllegalArgumentException("settings: " + groupName
                        + " makes calls, which this protocol does not support");
            }
        }
        if (settings.deployment.preemption != Deployment.Preemption.NONE) {
            throw new IllegalArgumentException("settings: preemption is on, which this protocol does not support");
        }
        if (settings.deployment.loadHint != Deployment.LoadHint.NONE) {
            throw new IllegalArgumentException("settings: load hints are on, which this protocol does not support");
        }
    }

    private static InetSocketAddress parseAddress(String key, String text) {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            String host = text.substring(0, Math.max(0, colon));
            if (!host.matches("[0-9.]+|\\[[0-9a-fA-F:.]+\\]")) {
                throw new IllegalArgumentException(key + " is not an IP address and port: '" + text + "'");
            }
            return new InetSocketAddress(InetAddress.getByName(host), port);
        } catch (NumberFormatException | UnknownHostException e) {
            throw new IllegalArgumentException(key + " is not an IP address and port: '" + text + "'");
        }
    }
}
