package vetchrill.tool;

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

@Command(name = "fleet", mixinStandardHelpOptions = true, description = "Speak to instances that hear each other.",
        subcommands = {FleetCommand.StatusCommand.class, FleetCommand.PublishCommand.class,
            FleetCommand.FloorCommand.class, FleetCommand.HaltCommand.class, FleetCommand.VersionsCommand.class})
final class FleetCommand {
    private FleetCommand() {
    }

    /** What is ordered from one instance, for all. */
    abstract static class OrderCommand implements Callable<Integer> {
        @Parameters(index = "0", paramLabel = "ADDRESS", description = "Where it listens to peers, as 10.0.0.4:7565.")
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

        /** 1 and a line where it was not done. */
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
            description = "What one instance holds of versions, floors and who decides by what.")
    static final class VersionsCommand extends OrderCommand {
        @Override
        public Integer call() throws IOException {
            JsonNode status = send(newOrder("status"));
            System.out.printf("%s decides by version %d; floor %d, confirmed %d; %s%n", status.path("name").asText(),
                    status.path("taken").asLong(), status.path("floor").asLong(), status.path("confirmed").asLong(),
                    status.path("barred").asBoolean() ? "SHUT OUT" : status.has("lease_ms") ? "lease for "
                            + status.path("lease_ms").asLong() + " ms" : "no lease");
            status.path("versions").forEach(each -> System.out.printf("version %d by %s, %s..., %d s old%s%n",
                    each.path("number").asLong(), each.path("author").asText(),
                    each.path("digest").asText().substring(0, 12), each.path("age_ms").asLong() / 1000,
                    each.path("stopped").asText().isEmpty() ? "" : ", STOPPED: " + each.path("stopped").asText()));
            status.path("keepers").forEach(each -> System.out.printf("keeper %s holds floor %d in life %d%n",
                    each.path("name").asText(), each.path("floor").asLong(), each.path("life").asLong()));
            status.path("instances").forEach(each -> System.out.printf("%-20s version %d, heard %d ms ago %s%n",
                    each.path("name").asText(), each.path("taken").asLong(), each.path("heard_ms").asLong(),
                    each.path("why").asText()));
            return status.has("error") ? 1 : 0;
        }
    }

    @Command(name = "publish", mixinStandardHelpOptions = true,
            description = "Publish settings as a new version: FILE is a configuration or the settings of one.")
    static final class PublishCommand extends OrderCommand {
        @Parameters(index = "1", paramLabel = "FILE")
        private Path file;

        @Option(names = "--number", description = "One above the highest known where not given.")
        private Long number;

        @Option(names = "--stage", paramLabel = "ZONE=SHARE",
                description = "Who may take it next, as reykjavik=0.1; =0.5 for half of all zones. All at once where "
                        + "none is given; the last should be =1.")
        private List<String> stages = List.of();

        @Option(names = "--hold-ms", defaultValue = "60000", description = "Between two stages (${DEFAULT-VALUE}).")
        private long holdMs;

        @Option(names = "--text", defaultValue = "", description = "Digest of the only program that may take it.")
        private String text;

        @Override
        public Integer call() throws IOException {
            JsonNode content;
            try {
                content = DeploymentReader.JSON.readTree(Files.readAllBytes(file));
            } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
                throw new UsageException(file + ":" + e.getLocation().getLineNr() + ": no JSON: "
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
            description = "From now on nothing is begun under this version; one lease after it is confirmed, nowhere.")
    static final class FloorCommand extends OrderCommand {
        @Parameters(index = "1", paramLabel = "NUMBER")
        private long number;

        @Option(names = "--wait", defaultValue = "10",
                description = "Seconds to wait until more than half of the keepers hold it (${DEFAULT-VALUE}).")
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
                System.err.println("vetchrill: the floor " + number + " is ordered and not confirmed: too few keepers "
                        + "were heard");
                return 1;
            }
            return printResult(answer, "confirmed: floor=" + number);
        }
    }

    @Command(name = "halt", mixinStandardHelpOptions = true,
            description = "Nobody else takes this version; who has it keeps it until a higher one is published.")
    static final class HaltCommand extends OrderCommand {
        @Parameters(index = "1", paramLabel = "NUMBER")
        private long number;

        @Override
        public Integer call() throws IOException {
            return printResult(send(newOrder("halt").put("number", number)), "halted: version=" + number);
        }
    }

    @Command(name = "status", mixinStandardHelpOptions = true,
            description = "What one instance holds of the others. Exit code 1 where it does not answer.")
    static final class StatusCommand implements Callable<Integer> {
        @Parameters(paramLabel = "ADDRESS", description = "Where it listens to peers, as 10.0.0.4:7565.")
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
                System.out.println(message.sender().name() + " distrusts itself by " + message.sequenceNumber()
                        + " of 8: it was slow or paused of late");
            }
            return 0;
        }

        private static void printMember(MemberInfo member) {
            System.out.printf("%-20s %-10s %5d %5d  %s%n", member.name(), member.state(), member.incarnation(),
                    member.refutations(),
                    member.reportedBy());
        }
    }
}
