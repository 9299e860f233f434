package vetchrill.tool;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
import vetchrill.members.News;
import vetchrill.members.Word;
import vetchrill.peering.PeersOrder;
import vetchrill.peers.PeerStatus;

@Command(name = "fleet", mixinStandardHelpOptions = true, description = "Speak to instances that hear each other.",
        subcommands = FleetCommand.StatusCommand.class)
final class FleetCommand {
    private FleetCommand() {
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
            Word word = PeerStatus.of(at);
            System.out.printf("%-20s %-10s %5s %5s  %s%n", "name", "state", "life", "turn", "by");
            line(word.from());
            word.news().stream().sorted(Comparator.comparing(News::name)).forEach(StatusCommand::line);
            if (word.number() > 0) {
                System.out.println(word.from().name() + " distrusts itself by " + word.number()
                        + " of 8: it was slow or paused of late");
            }
            return 0;
        }

        private static void line(News news) {
            System.out.printf("%-20s %-10s %5d %5d  %s%n", news.name(), news.state(), news.life(), news.turn(),
                    news.by());
        }
    }
}
