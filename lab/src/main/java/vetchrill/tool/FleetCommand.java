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
import vetchrill.peering.PeersOrder;
import vetchrill.peers.PeerClient;
import vetchrill.protocol.DeploymentReader;

@Command(name = "fleet", mixinStandardHelpOptions = true, description = "Speak to instances that hear each other.",
        subcommands = {FleetCommand.StatusCommand.class, FleetCommand.PublishCommand.class,
            FleetCommand.FloorCommand.class, FleetCommand.HaltCommand.class, FleetCommand.VersionsCommand.class})
final class FleetCommand {
    private FleetCommand() {
    }

    /** What is ordered from one instance, for all. */
    abstract static class Ordering implements Callable<Integer> {
        @Parameters(index = "0", paramLabel = "ADDRESS", description = "Where it listens to peers, as 10.0.0.4:7565.")
        private String address;

        JsonNode order(ObjectNode order) throws IOException {
            InetSocketAddress at = PeersOrder.address(address);
            if (at == null) {
                throw new BadUse("ADDRESS is " + address + ", " + PeersOrder.ADDRESS);
            }
            return DeploymentReader.JSON.readTree(PeerClient.sendOrder(at, order.toString().getBytes(
                    StandardCharsets.UTF_8)));
        }

        ObjectNode fresh(String what) {
            return DeploymentReader.JSON.createObjectNode().put("order", what);
        }

        /** 1 and a line where it was not done. */
        int done(JsonNode answer, String text) {
            if (answer.has("error")) {
                System.err.println("vetchrill: " + answer.path("name").asText() + ": "
                        + answer.path("error").asText());
                return 1;
            }
            System.out.println(text);
            return 0;
        }
    }

    @Command(name = "versions", mixinStandardHelpOptions = true,
            description = "What one instance holds of versions, floors and who decides by what.")
    static final class VersionsCommand extends Ordering {
        @Override
        public Integer call() throws IOException {
            JsonNode told = order(fresh("status"));
            System.out.printf("%s decides by version %d; floor %d, confirmed %d; %s%n", told.path("name").asText(),
                    told.path("taken").asLong(), told.path("floor").asLong(), told.path("confirmed").asLong(),
                    told.path("barred").asBoolean() ? "SHUT OUT" : told.has("lease_ms") ? "lease for "
                            + told.path("lease_ms").asLong() + " ms" : "no lease");
            told.path("versions").forEach(each -> System.out.printf("version %d by %s, %s..., %d s old%s%n",
                    each.path("number").asLong(), each.path("author").asText(),
                    each.path("digest").asText().substring(0, 12), each.path("age_ms").asLong() / 1000,
                    each.path("stopped").asText().isEmpty() ? "" : ", STOPPED: " + each.path("stopped").asText()));
            told.path("keepers").forEach(each -> System.out.printf("keeper %s holds floor %d in life %d%n",
                    each.path("name").asText(), each.path("floor").asLong(), each.path("life").asLong()));
            told.path("instances").forEach(each -> System.out.printf("%-20s version %d, heard %d ms ago %s%n",
                    each.path("name").asText(), each.path("taken").asLong(), each.path("heard_ms").asLong(),
                    each.path("why").asText()));
            return told.has("error") ? 1 : 0;
        }
    }

    @Command(name = "publish", mixinStandardHelpOptions = true,
            description = "Publish settings as a new version: FILE is a configuration or the settings of one.")
    static final class PublishCommand extends Ordering {
        @Parameters(index = "1", paramLabel = "FILE")
        private Path file;

        @Option(names = "--number", description = "One above the highest known where not given.")
        private Long number;

        @Option(names = "--stage", paramLabel = "ZONE=SHARE",
                description = "Who may take it next, as reykjavik=0.1; =0.5 for half of all zones. All at once where "
                        + "none is given; the last should be =1.")
        private List<String> stages = List.of();

        @Option(names = "--hold-ms", defaultValue = "60000", description = "Between two stages (${DEFAULT-VALUE}).")
        private long hold;

        @Option(names = "--text", defaultValue = "", description = "Digest of the only program that may take it.")
        private String text;

        @Override
        public Integer call() throws IOException {
            JsonNode content;
            try {
                content = DeploymentReader.JSON.readTree(Files.readAllBytes(file));
            } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
                throw new BadUse(file + ":" + e.getLocation().getLineNr() + ": no JSON: " + e.getOriginalMessage());
            }
            JsonNode settings = content.has("settings") ? content.path("settings") : content;
            ObjectNode order = fresh("publish").put("hold_ms", hold).put("text", text);
            order.put("content", settings.toString().getBytes(StandardCharsets.UTF_8));
            if (number != null) {
                order.put("number", number);
            }
            for (String each : stages) {
                if (!each.matches("[^=]*=(0(\\.[0-9]+)?|1(\\.0+)?)")) {
                    throw new BadUse("--stage is " + each + ", should be a zone, = and a share from 0 to 1");
                }
                int at = each.indexOf('=');
                order.withArray("stages").addObject().put("zone", each.substring(0, at)).put("share",
                        Double.parseDouble(each.substring(at + 1)));
            }
            JsonNode answer = order(order);
            return done(answer, "published: version=" + answer.path("published").asLong());
        }
    }

    @Command(name = "floor", mixinStandardHelpOptions = true,
            description = "From now on nothing is begun under this version; one lease after it is confirmed, nowhere.")
    static final class FloorCommand extends Ordering {
        @Parameters(index = "1", paramLabel = "NUMBER")
        private long number;

        @Option(names = "--wait", defaultValue = "10",
                description = "Seconds to wait until more than half of the keepers hold it (${DEFAULT-VALUE}).")
        private double wait;

        @Override
        public Integer call() throws IOException, InterruptedException {
            JsonNode answer = order(fresh("floor").put("number", number));
            long end = System.nanoTime() + (long) (wait * 1e9);
            while (!answer.has("error") && answer.path("confirmed").asLong() < number && System.nanoTime() < end) {
                Thread.sleep(20);
                answer = order(fresh("status"));
            }
            if (!answer.has("error") && answer.path("confirmed").asLong() < number) {
                System.err.println("vetchrill: the floor " + number + " is ordered and not confirmed: too few keepers "
                        + "were heard");
                return 1;
            }
            return done(answer, "confirmed: floor=" + number);
        }
    }

    @Command(name = "halt", mixinStandardHelpOptions = true,
            description = "Nobody else takes this version; who has it keeps it until a higher one is published.")
    static final class HaltCommand extends Ordering {
        @Parameters(index = "1", paramLabel = "NUMBER")
        private long number;

        @Override
        public Integer call() throws IOException {
            return done(order(fresh("halt").put("number", number)), "halted: version=" + number);
        }
    }

    @Command(name = "status", mixinStandardHelpOptions = true,
            description = "What one instance holds of the others. Exit code 1 where it does not answer.")
    static final class StatusCommand implements Callable<Integer> {
        @Parameters(paramLabel = "ADDRESS", description = "Where it listens to peers, as 10.0.0.4:7565.")
        private String address;

        @Override
        public Integer call() throws IOException {
            InetSocketAddress at = PeersOrder.address(address);
            if (at == null) {
                throw new BadUse("ADDRESS is " + address + ", " + PeersOrder.ADDRESS);
            }
            MembershipMessage word = PeerClient.queryMembership(at);
            System.out.printf("%-20s %-10s %5s %5s  %s%n", "name", "state", "life", "turn", "by");
            line(word.sender());
            word.updates().stream().sorted(Comparator.comparing(MemberInfo::name)).forEach(StatusCommand::line);
            if (word.sequenceNumber() > 0) {
                System.out.println(word.sender().name() + " distrusts itself by " + word.sequenceNumber()
                        + " of 8: it was slow or paused of late");
            }
            return 0;
        }

        private static void line(MemberInfo news) {
            System.out.printf("%-20s %-10s %5d %5d  %s%n", news.name(), news.state(), news.incarnation(),
                    news.refutations(),
                    news.reportedBy());
        }
    }
}
