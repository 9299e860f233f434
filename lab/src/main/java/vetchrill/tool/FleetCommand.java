package vetchrill.tool;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import vetchrill.members.MemberInfo;
import vetchrill.members.MembershipMessage;
import vetchrill.peering.PeersConfig;
import vetchrill.peers.PeerClient;
import vetchrill.protocol.DeploymentReader;

/** Commands that query instances of a fleet with peers and send them orders. */
@Command(name = "fleet", mixinStandardHelpOptions = true,
        description = "Query and control the instances of a fleet with peers.",
        subcommands = {FleetCommand.StatusCommand.class, FleetCommand.PublishCommand.class,
            FleetCommand.FloorCommand.class, FleetCommand.HaltCommand.class, FleetCommand.VersionsCommand.class})
final class FleetCommand {
    private FleetCommand() {
    }

    /** Base of the commands that send an order to one instance, which passes it on to the fleet. */
    abstract static class OrderCommand implements Callable<Integer> {
        @Parameters(index = "0", paramLabel = "ADDRESS",
                description = "The address on which the instance accepts peers, such as 10.0.0.4:7565.")
        private String address;

        JsonNode send(ObjectNode order) throws IOException {
            InetSocketAddress peer = PeersConfig.parseAddress(address);
            if (peer == null) {
                throw new UsageException("ADDRESS is " + address + ", " + PeersConfig.ADDRESS_FORMAT_MESSAGE);
            }
            return DeploymentReader.JSON.readTree(PeerClient.sendOrder(peer, order.toString().getBytes(
                    StandardCharsets.UTF_8)));
        }

        ObjectNode newOrder(String name) {
            return DeploymentReader.JSON.createObjectNode().put("order", name);
        }

        /** Prints the result and returns the exit code, 1 with an error message if the order failed. */
        int printResult(JsonNode answer, String successLine) {
            if (answer.has("error")) {
                System.err.println("vetchrill: " + answer.path("name").asText() + ": "
                        + answer.path("error").asText());
                return 1;
            }
            System.out.println(successLine);
            return 0;
        }
    }

    @Command(name = "versions", mixinStandardHelpOptions = true,
            description = "Show versions, floors and the active version of each instance, as known to one instance.")
    static final class VersionsCommand extends OrderCommand {
        @Override
        public Integer call() throws IOException {
            JsonNode status = send(newOrder("status"));
            System.out.printf("%s: active version %d; floor %d, confirmed %d; %s%n", status.path("name").asText(),
                    status.path("taken").asLong(), status.path("floor").asLong(), status.path("confirmed").asLong(),
                    status.path("barred").asBoolean() ? "BARRED" : status.has("lease_ms") ? "lease for "
                            + status.path("lease_ms").asLong() + " ms" : "no lease");
            status.path("versions").forEach(each -> System.out.printf("version %d by %s, %s..., %d s old%s%n",
                    each.path("number").asLong(), each.path("author").asText(),
                    each.path("digest").asText().substring(0, 12), each.path("age_ms").asLong() / 1000,
                    each.path("stopped").asText().isEmpty() ? "" : ", STOPPED: " + each.path("stopped").asText()));
            status.path("keepers").forEach(each -> System.out.printf("voter %s: floor %d, incarnation %d%n",
                    each.path("name").asText(), each.path("floor").asLong(), each.path("life").asLong()));
            status.path("instances").forEach(each -> System.out.printf("%-20s version %d, last message %d ms ago %s%n",
                    each.path("name").asText(), each.path("taken").asLong(), each.path("heard_ms").asLong(),
                    each.path("why").asText()));
            return status.has("error") ? 1 : 0;
        }
    }

    @Command(name = "publish", mixinStandardHelpOptions = true,
            description = "Publish settings as a new version: FILE is a configuration, or only its settings.")
    static final class PublishCommand extends OrderCommand {
        @Parameters(index = "1", paramLabel = "FILE")
        private Path file;

        @Option(names = "--number", description = "Number of the version; by default one above the highest known.")
        private Long number;

        @Option(names = "--stage", paramLabel = "ZONE=SHARE",
                description = "Zone and share of its instances that may activate the version next, such as "
                        + "reykjavik=0.1; =0.5 for half of the instances of all zones. By default all at once; "
                        + "the last stage should be =1.")
        private List<String> stages = List.of();

        @Option(names = "--hold-ms", defaultValue = "60000",
                description = "Time between two stages (${DEFAULT-VALUE}).")
        private long holdMs;

        @Option(names = "--text", defaultValue = "",
                description = "Digest of the only program that may activate the version.")
        private String text;

        @Override
        public Integer call() throws IOException {
            JsonNode content;
            try {
                content = DeploymentReader.JSON.readTree(Files.readAllBytes(file));
            } catch (JsonProcessingException e) {
                throw new UsageException(file + ":" + e.getLocation().getLineNr() + ": invalid JSON: "
                        + e.getOriginalMessage());
            }
            JsonNode settings = content.has("settings") ? content.path("settings") : content;
            ObjectNode order = newOrder("publish").put("hold_ms", holdMs).put("text", text);
            order.put("content", settings.toString().getBytes(StandardCharsets.UTF_8));
            if (number != null) {
                order.put("number", number);
            }
            for (String stage : stages) {
                if (!stage.matches("[^=]*=(0(\\.[0-9]+)?|1(\\.0+)?)")) {
                    throw new UsageException("--stage is " + stage + ", should be a zone, = and a share from 0 to 1");
                }
                int separator = stage.indexOf('=');
                order.withArray("stages").addObject().put("zone", stage.substring(0, separator)).put("share",
                        Double.parseDouble(stage.substring(separator + 1)));
            }
            JsonNode answer = send(order);
            return printResult(answer, "published: version=" + answer.path("published").asLong());
        }
    }

    @Command(name = "floor", mixinStandardHelpOptions = true,
            description = "Raise the floor: no exchange starts below this version any more, on any instance once one "
                    + "lease has passed after the confirmation.")
    static final class FloorCommand extends OrderCommand {
        @Parameters(index = "1", paramLabel = "NUMBER")
        private long number;

        @Option(names = "--wait", defaultValue = "10",
                description = "Seconds to wait for a majority of the voters to store the floor (${DEFAULT-VALUE}).")
        private double waitSeconds;

        @Override
        public Integer call() throws IOException, InterruptedException {
            JsonNode answer = send(newOrder("floor").put("number", number));
            long deadlineNanos = System.nanoTime() + (long) (waitSeconds * 1e9);
            while (!answer.has("error") && answer.path("confirmed").asLong() < number
                    && System.nanoTime() < deadlineNanos) {
                Thread.sleep(20);
                answer = send(newOrder("status"));
            }
            if (!answer.has("error") && answer.path("confirmed").asLong() < number) {
                System.err.println("vetchrill: the floor " + number + " was ordered but not confirmed: no majority of "
                        + "the voters replied in time");
                return 1;
            }
            return printResult(answer, "confirmed: floor=" + number);
        }
    }

    @Command(name = "halt", mixinStandardHelpOptions = true,
            description = "Stop the rollout of a version: instances on which it is active keep it until a higher one "
                    + "is published, no other instance activates it.")
    static final class HaltCommand extends OrderCommand {
        @Parameters(index = "1", paramLabel = "NUMBER")
        private long number;

        @Override
        public Integer call() throws IOException {
            return printResult(send(newOrder("halt").put("number", number)), "halted: version=" + number);
        }
    }

    @Command(name = "status", mixinStandardHelpOptions = true,
            description = "Show the members of the fleet as known to one instance. Exit code 1 if it does not answer.")
    static final class StatusCommand implements Callable<Integer> {
        @Parameters(paramLabel = "ADDRESS",
                description = "The address on which the instance accepts peers, such as 10.0.0.4:7565.")
        private String address;

        @Override
        public Integer call() throws IOException {
            InetSocketAddress peer = PeersConfig.parseAddress(address);
            if (peer == null) {
                throw new UsageException("ADDRESS is " + address + ", " + PeersConfig.ADDRESS_FORMAT_MESSAGE);
            }
            MembershipMessage message = PeerClient.queryMembership(peer);
            System.out.printf("%-20s %-10s %5s %5s  %s%n", "name", "state", "life", "turn", "by");
            printMember(message.sender());
            message.updates().stream().sorted(Comparator.comparing(MemberInfo::name))
                    .forEach(StatusCommand::printMember);
            if (message.sequenceNumber() > 0) {
                System.out.println(message.sender().name() + " has a local health score of " + message.sequenceNumber()
                        + " of 8: it was recently slow or paused");
            }
            return 0;
        }

        private static void printMember(MemberInfo member) {
            System.out.printf("%-20s %-10s %5d %5d  %s%n", member.name(), member.state(), member.incarnation(),
                    member.refutations(), member.reportedBy());
        }
    }
}
