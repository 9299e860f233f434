package vetchrill.tool;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Instant;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import vetchrill.audit.HybridLogicalClock;
import vetchrill.audit.AuditEvent;
import vetchrill.auditing.AuditColumns;
import vetchrill.auditing.AuditPage;
import vetchrill.auditing.FleetAudit;
import vetchrill.auditing.InstanceAuditLog;
import vetchrill.protocol.DeploymentReader;
import vetchrill.standin.AuditScenario;
import vetchrill.standin.ScriptedAuditScenario;

@Command(name = "audit", mixinStandardHelpOptions = true,
        description = "Read the records of all instances, dead ones too: who decided what, by which version.",
        subcommands = {AuditCommand.Collect.class, AuditCommand.Verify.class, AuditCommand.Who.class,
            AuditCommand.Timeline.class, AuditCommand.Stragglers.class, AuditCommand.Page.class,
            AuditCommand.Columns.class, AuditCommand.Play.class})
final class AuditCommand {
    private AuditCommand() {
    }

    private static String formatTime(long hybridTime) {
        return Instant.ofEpochMilli(HybridLogicalClock.toMillis(hybridTime)).toString();
    }

    /** What all of them ask for. */
    abstract static class AuditQuery implements Callable<Integer> {
        @Option(names = "--json", description = "A JSON object a line instead of text.")
        boolean json;

        FleetAudit readFleet(List<Path> folders) throws IOException {
            for (Path each : folders) {
                if (!Files.isDirectory(each)) {
                    throw new UsageException("FOLDER is " + each + ", which is none");
                }
            }
            FleetAudit fleet = new FleetAudit(folders);
            if (fleet.logs.isEmpty()) {
                throw new UsageException("no record is in " + folders);
            }
            return fleet;
        }

        void print(String text, Object... keysAndValues) {
            if (!json) {
                System.out.println(text);
                return;
            }
            var node = DeploymentReader.JSON.createObjectNode();
            for (int i = 0; i < keysAndValues.length; i += 2) {
                node.putPOJO(keysAndValues[i].toString(), keysAndValues[i + 1]);
            }
            System.out.println(node);
        }

        /** Of rows as {@code who} and {@code timeline} print them. */
        void printEvent(FleetAudit.InstanceEvent located) {
            AuditEvent event = located.event();
            String answer = event.kind() != AuditEvent.Kind.OVER ? "" : switch (event.answer()) {
                case 1 -> " completed";
                case 2 -> " denied";
                case 3 -> " terminated";
                default -> " caller left";
            };
            print(String.format("%s %-12s life %016x %-8s version %d%s %s %s", formatTime(event.hybridTime()),
                    located.instance(),
                    located.processNonce(), event.kind(), event.version(), answer, event.text(), event.detail())
                    .stripTrailing(),
                    "time", formatTime(event.hybridTime()), "hybrid", event.hybridTime(), "instance",
                    located.instance(), "life",
                    String.format("%016x", located.processNonce()), "kind", event.kind().name(), "id",
                    String.format("%016x", event.id()), "version", event.version(), "answer", answer.strip(), "text",
                    event.text(), "more", event.detail());
        }
    }

    /** Those that ask of whole records. */
    abstract static class FoldersQuery extends AuditQuery {
        @Parameters(paramLabel = "FOLDER", arity = "1..*", description = "Looked through with all below.")
        private List<Path> folders;

        FleetAudit readFleet() throws IOException {
            return readFleet(folders);
        }
    }

    @Command(name = "collect", mixinStandardHelpOptions = true,
            description = "Copy the records of several folders into one, a folder for each, as they are.")
    static final class Collect implements Callable<Integer> {
        @Parameters(paramLabel = "FOLDER", arity = "1..*")
        private List<Path> folders;

        @Option(names = "--to", required = true, paramLabel = "FOLDER", description = "Must not be there yet.")
        private Path to;

        @Override
        public Integer call() throws IOException {
            if (Files.exists(to)) {
                throw new UsageException("--to is " + to + ", which is there already");
            }
            long files = 0;
            int recordCount = 0;
            for (InstanceAuditLog history : InstanceAuditLog.findIn(folders)) {
                Path destination = to.resolve(String.format("%03d-%s", recordCount++, history.name));
                Files.createDirectories(destination);
                try (var all = Files.list(history.folder)) {
                    for (Path file : all.filter(path -> path.getFileName().toString().startsWith(history.name + "-")
                            && path.toString().endsWith(".audit")).toList()) {
                        Files.copy(file, destination.resolve(file.getFileName()), StandardCopyOption.COPY_ATTRIBUTES);
                        files++;
                    }
                }
            }
            System.out.printf("collected: records=%d files=%d%n", recordCount, files);
            return 0;
        }
    }

    @Command(name = "verify", mixinStandardHelpOptions = true,
            description = "Is each record whole, and what the others were told of it? Exit code 1 where not.")
    static final class Verify extends FoldersQuery {
        @Override
        public Integer call() throws IOException {
            FleetAudit fleet = readFleet();
            fleet.read(null);
            long rows = 0;
            long leftOut = 0;
            int wrong = 0;
            for (InstanceAuditLog history : fleet.logs) {
                rows += history.eventCount;
                leftOut += history.omittedEvents;
                wrong += history.problems.size();
                print(String.format("%-12s %8d rows, blocks %d to %d, %d lives, %d ended in order, %d left out, "
                        + "%d octets torn", history.name, history.eventCount, history.firstBlock(),
                        history.nextBlock() - 1, history.processStarts, history.orderlyShutdowns,
                        history.omittedEvents, history.tornBytes), "instance", history.name, "rows", history.eventCount,
                        "lives", history.processStarts,
                        "ended", history.orderlyShutdowns, "left_out", history.omittedEvents, "torn", history.tornBytes,
                        "wrong", history.problems);
                if (!json) {
                    history.problems.forEach(what -> System.out.println("  " + what));
                }
            }
            List<String> forks = fleet.findInconsistencies();
            forks.forEach(history -> print("fork: " + history, "fork", history));
            System.out.printf("verify: records=%d rows=%d left_out=%d wrong=%d forks=%d%n", fleet.logs.size(),
                    rows, leftOut, wrong, forks.size());
            return wrong + forks.size() == 0 ? 0 : 1;
        }
    }

    @Command(name = "who", mixinStandardHelpOptions = true,
            description = "Which instances decided an exchange, when and by which version. Exit code 1 for none.")
    static final class Who extends AuditQuery {
        @Parameters(index = "0", paramLabel = "ID", description = "16 hexadecimal digits, as its stub sent them.")
        private String id;

        @Parameters(index = "1..*", paramLabel = "FOLDER", arity = "1..*")
        private List<Path> folders;

        @Override
        public Integer call() throws IOException {
            if (!id.matches("[0-9a-fA-F]{16}")) {
                throw new UsageException("ID is " + id + ", should be 16 hexadecimal digits");
            }
            List<FleetAudit.InstanceEvent> all = readFleet(folders).eventsOf(Long.parseUnsignedLong(id, 16));
            all.forEach(this::printEvent);
            return all.isEmpty() ? 1 : 0;
        }
    }

    @Command(name = "timeline", mixinStandardHelpOptions = true,
            description = "Lives, versions taken and what staff was told, of all instances in hybrid time.")
    static final class Timeline extends FoldersQuery {
        @Override
        public Integer call() throws IOException {
            readFleet().timeline().forEach(this::printEvent);
            return 0;
        }
    }

    @Command(name = "columns", mixinStandardHelpOptions = true,
            description = "All rows of all records in one Arrow file.")
    static final class Columns extends FoldersQuery {
        @Option(names = "--to", required = true, paramLabel = "FILE", description = "Must not be there yet.")
        private Path to;

        @Override
        public Integer call() throws IOException {
            if (Files.exists(to)) {
                throw new UsageException("--to is " + to + ", which is there already");
            }
            System.out.println("columns: rows=" + AuditColumns.write(readFleet(), to));
            return 0;
        }
    }

    @Command(name = "page", mixinStandardHelpOptions = true,
            description = "One HTML page: who decided by which version when, and what staff was told.")
    static final class Page extends FoldersQuery {
        @Option(names = "--to", required = true, paramLabel = "FILE")
        private Path to;

        @Override
        public Integer call() throws IOException {
            Files.writeString(to, AuditPage.render(readFleet()));
            return 0;
        }
    }

    @Command(name = "play", mixinStandardHelpOptions = true,
            description = "Start real instances on this machine, publish versions and raise floors while something "
                    + "breaks, and hold what stubs and interpreters counted against the records. Exit code 1 where "
                    + "they differ.")
    static final class Play implements Callable<Integer> {
        @Option(names = "--processes", defaultValue = "3", description = "(${DEFAULT-VALUE})")
        private int processes;

        @Option(names = "--keepers", defaultValue = "3", description = "(${DEFAULT-VALUE})")
        private int keepers;

        @Option(names = "--troubles", defaultValue = "4", description = "(${DEFAULT-VALUE})")
        private int troubles;

        @Option(names = "--seed", defaultValue = "1", description = "Of what breaks (${DEFAULT-VALUE}).")
        private long seed;

        @Option(names = "--script", paramLabel = "FILE",
                description = "What is played instead of what a seed draws, in HCL; see examples/audit.hcl.")
        private Path script;

        @Option(names = "--folder", paramLabel = "FOLDER", description = "Where logs and records are left.")
        private Path folder;

        @Override
        public Integer call() throws IOException, InterruptedException {
            if (processes < 3 || processes > 40 || keepers < 1 || keepers > processes || keepers % 2 == 0
                    || troubles < 0) {
                throw new UsageException("--processes should be 3 to 40, --keepers an odd number of them, "
                        + "--troubles 0 or more");
            }
            Path runFolder = folder == null ? AuditScenario.createFolder() : Files.createDirectories(folder);
            ScriptedAuditScenario auditScript = script == null ? null : new ScriptedAuditScenario(script);
            AuditScenario.Outcome outcome = auditScript == null ? AuditScenario.run(processes, keepers, troubles, seed,
                    runFolder)
                    : auditScript.run(runFolder);
            outcome.violations.forEach(System.out::println);
            System.out.printf("play: processes=%d faults=%d exchanges=%d unaccounted=%d misattributed=%d floors=%d "
                    + "below_floor=%d forks_found=%d disks_lost=%d; logs and records are in %s%n", outcome.processes,
                    outcome.faults, outcome.exchanges, outcome.unaccounted, outcome.misattributed,
                    outcome.minVersionsConfirmed, outcome.belowMinVersion,
                    outcome.inconsistencies, outcome.disksLost, runFolder);
            return outcome.allExitedCleanly && outcome.unaccounted + outcome.misattributed + outcome.belowMinVersion
                    == 0 ? 0 : 1;
        }
    }

    @Command(name = "stragglers", mixinStandardHelpOptions = true,
            description = "Who began exchanges under a floor after it was confirmed, and until when. A lease long is "
                    + "what is promised; by hybrid time, so that a clock that stepped shows as well.")
    static final class Stragglers extends FoldersQuery {
        @Override
        public Integer call() throws IOException {
            for (FleetAudit.Straggler each : readFleet().stragglers()) {
                print(String.format(Locale.ROOT, "%-12s began %d under the floor %d, the last %d ms after it was "
                        + "confirmed at %s", each.instance(), each.count(), each.minVersion(),
                        each.lastMs() - each.confirmedMs(),
                        Instant.ofEpochMilli(each.confirmedMs())), "instance", each.instance(), "floor",
                        each.minVersion(),
                        "count", each.count(), "last_ms", each.lastMs() - each.confirmedMs());
            }
            return 0;
        }
    }
}
