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

/** All that an instance is told at start, decoded once. */
final class Start {
    final String name;
    final InetSocketAddress listen;
    final InetSocketAddress interpreter;
    final InetSocketAddress members;
    final long seed;
    final long stop;
    final Limits limits;
    final DeploymentReader facts;

    /** Throws IllegalArgumentException with one plain line that names what is wrong. */
    Start(Map<String, String> environment) {
        String file = environment.get("GW_CONFIG");
        if (file == null || file.isEmpty()) {
            throw new IllegalArgumentException("GW_CONFIG is not set");
        }
        JsonNode told;
        try {
            told = DeploymentReader.JSON.readTree(Files.readAllBytes(Path.of(file)));
        } catch (IOException e) {
            throw new IllegalArgumentException("GW_CONFIG can't be read: " + e.getMessage().split("\n")[0]);
        }
        if (told == null || !told.isObject()) {
            throw new IllegalArgumentException("GW_CONFIG holds no JSON object");
        }
        name = environment.getOrDefault("GW_NAME", told.path("name").asText());
        if (!name.matches("[A-Za-z0-9._-]+")) {
            throw new IllegalArgumentException("no usable name in GW_NAME or the configuration");
        }
        listen = address("listen", environment.getOrDefault("GW_LISTEN", told.path("listen").asText()));
        interpreter = address("vm", told.path("vm").asText());
        members = address("members", told.path("members").asText());
        try {
            seed = Long.parseUnsignedLong(told.path("seed").asText(), 16);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("seed is not hexadecimal: '" + told.path("seed").asText() + "'");
        }
        stop = Math.round(told.path("stop_ms").asDouble() * 10);
        if (stop <= 0) {
            throw new IllegalArgumentException("stop_ms is missing");
        }
        JsonNode given = told.path("limits");
        if (!given.path("memory_mb").isNumber() || !given.path("sockets").isInt()) {
            throw new IllegalArgumentException("limits are incomplete");
        }
        limits = new Limits((long) (given.path("memory_mb").asDouble() * (1 << 20)), given.path("sockets").asInt());
        try {
            facts = new DeploymentReader(told.path("settings"));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("settings: " + e.getMessage());
        }
        for (EndpointGroup group : facts.deployment.groups) {
            String at = facts.groupNames.get(facts.deployment.groups.indexOf(group));
            if (group.mayCall) {
                throw new IllegalArgumentException("settings: " + at + " makes calls, which this protocol has not");
            }
        }
        if (facts.deployment.preemption != Deployment.Preemption.NONE) {
            throw new IllegalArgumentException("settings: work is to be stopped, which this protocol has not");
        }
        if (facts.deployment.say != Deployment.Say.NOTHING) {
            throw new IllegalArgumentException("settings: a free value is to be sent, which this protocol has not");
        }
    }

    private static InetSocketAddress address(String what, String text) {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            String host = text.substring(0, Math.max(0, colon));
            if (!host.matches("[0-9.]+|\\[[0-9a-fA-F:.]+\\]")) {
                throw new IllegalArgumentException(what + " is no address: '" + text + "'");
            }
            return new InetSocketAddress(InetAddress.getByName(host), port);
        } catch (NumberFormatException | UnknownHostException e) {
            throw new IllegalArgumentException(what + " is no address: '" + text + "'");
        }
    }
}
