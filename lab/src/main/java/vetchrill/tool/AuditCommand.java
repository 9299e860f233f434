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

/** Commands that read the audit logs of a fleet, and one that tests them with real processes. */
@Command(name = "audit", mixinStandardHelpOptions = true,
        description = "Read the audit logs of all instances, including dead ones: which instance decided what, by "
                + "which version.",
        subcommands = {AuditCommand.Collect.class, AuditCommand.Verify.class, AuditCommand.Who.class,
            AuditCommand.Timeline.class, AuditCommand.Stragglers.class, AuditCommand.Page.class,
            AuditCommand.Columns.class, AuditCommand.Play.class})
final class AuditCommand {
    private AuditCommand() {
    }

    private static String formatTime(long hybridTime) {
        return Instant.ofEpochMilli(HybridLogicalClock.toMillis(hybridTime)).toString();
    }

    /** Base of the commands that read audit logs. */
    abstract static class AuditQuery implements Callable<Integer> {
        @Option(names = "--json", description = "Print one JSON object per line instead of text.")
        boolean json;

        FleetAudit readFleet(List<Path> folders) throws IOException {
            for (Path each : folders) {
                if (!Files.isDirectory(each)) {
                    throw new UsageException("FOLDER is " + each + ", which is not a folder");
                }
            }
            FleetAudit fleet = new FleetAudit(folders);
            if (fleet.logs.isEmpty()) {
                throw new UsageException("no audit log found in " + folders);
            }
            return fleet;
        }

        /** Prints the text, or with {@code --json} an object of the keys and values. */
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

        /** Prints one event, as {@code who} and {@code timeline} do. */
        void printEvent(FleetAudit.InstanceEvent located) {
            AuditEvent event = located.event();
            String answer = event.kind() != AuditEvent.Kind.OVER ? "" : switch (event.answer()) {
                case 1 -> " completed";
                case 2 -> " denied";
                case 3 -> " terminated";
                default -> " caller left";
            };
            print(String.format("%s %-12s life %016x %-8s version %d%s %s %s", formatTime(event.hybridTime()),
                    located.instance(), located.processNonce(), event.kind(), event.version(), answer,
                    event.text(), event.detail())
                    .stripTrailing(),
                    "time", formatTime(event.hybridTime()), "hybrid", event.hybridTime(),
                    "instance", located.instance(), "life", String.format("%016x", located.processNonce()),
                    "kind", event.kind().name(), "id", String.format("%016x", event.id()),
                    "version", event.version(), "answer", answer.strip(), "text", event.text(),
                    "more", event.detail());
        }
    }

    /** Base of the commands that read all audit logs below some folders. */
    abstract static class FoldersQuery extends AuditQuery {
        @Parameters(paramLabel = "FOLDER", arity = "1..*", description = "Searched recursively for audit logs.")
        private List<Path> folders;

        FleetAudit readFleet() throws IOException {
            return readFleet(folders);
        }
    }

    @Command(name = "collect", mixinStandardHelpOptions = true,
            description = "Copy the audit logs below several folders into one folder, unchanged, each into its own "
                    + "subfolder.")
    static final class Collect implements Callable<Integer> {
        @Parameters(paramLabel = "FOLDER", arity = "1..*")
        private List<Path> folders;

        @Option(names = "--to", required = true, paramLabel = "FOLDER", description = "Must not exist yet.")
        private Path to;

        @Override
        public Integer call() throws IOException {
            if (Files.exists(to)) {
                throw new UsageException("--to is " + to + ", which already exists");
            }
            long files = 0;
            int logCount = 0;
            for (InstanceAuditLog history : InstanceAuditLog.findIn(folders)) {
                Path destination = to.resolve(String.format("%03d-%s", logCount++, history.name));
                Files.createDirectories(destination);
                try (var all = Files.list(history.folder)) {
                    for (Path file : all.filter(path -> path.getFileName().toString().startsWith(history.name + "-")
                            && path.toString().endsWith(".audit")).toList()) {
                        Files.copy(file, destination.resolve(file.getFileName()), StandardCopyOption.COPY_ATTRIBUTES);
                        files++;
                    }
                }
            }
            System.out.printf("collected: records=%d files=%d%n", logCount, files);
            return 0;
        }
    }

    @Command(name = "verify", mixinStandardHelpOptions = true,
            description = "Check that each audit log is intact and matches what the instance reported to its peers. "
                    + "Exit code 1 if not.")
    static final class Verify extends FoldersQuery {
        @Override
        public Integer call() throws IOException {
            FleetAudit fleet = readFleet();
            fleet.read(null);
            long eventCount = 0;
            long omittedEvents = 0;
            int problemCount = 0;
            for (InstanceAuditLog history : fleet.logs) {
                eventCount += history.eventCount;
                omittedEvents += history.omittedEvents;
                problemCount += history.problems.size();
                print(String.format("%-12s %8d rows, blocks %d to %d, %d process starts, %d orderly shutdowns, "
                        + "%d omitted, %d torn bytes", history.name, history.eventCount, history.firstBlock(),
                        history.nextBlock() - 1, history.processStarts, history.orderlyShutdowns,
                        history.omittedEvents, history.tornBytes), "instance", history.name, "rows", history.eventCount,
                        "lives", history.processStarts, "ended", history.orderlyShutdowns,
                        "left_out", history.omittedEvents, "torn", history.tornBytes,
                        "wrong", history.problems);
                if (!json) {
                    history.problems.forEach(problem -> System.out.println("  " + problem));
                }
            }
            List<String> inconsistencies = fleet.findInconsistencies();
            inconsistencies.forEach(each -> print("fork: " + each, "fork", each));
            System.out.printf("verify: records=%d rows=%d left_out=%d wrong=%d forks=%d%n", fleet.logs.size(),
                    eventCount, omittedEvents, problemCount, inconsistencies.size());
            return problemCount + inconsistencies.size() == 0 ? 0 : 1;
        }
    }

    @Command(name = "who", mixinStandardHelpOptions = true,
            description = "Show which instances decided an exchange, when and by which version. Exit code 1 if none "
                    + "did.")
    static final class Who extends AuditQuery {
        @Parameters(index = "0", paramLabel = "ID", description = "The rid of the exchange: 16 hexadecimal digits.")
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
            description = "Show starts, version changes and operator notifications of all instances, in hybrid time.")
    static final class Timeline extends FoldersQuery {
        @Override
        public Integer call() throws IOException {
            readFleet().timeline().forEach(this::printEvent);
            return 0;
        }
    }

    @Command(name = "columns", mixinStandardHelpOptions = true,
            description = "Write all rows of all audit logs to one Arrow file.")
    static final class Columns extends FoldersQuery {
        @Option(names = "--to", required = true, paramLabel = "FILE", description = "Must not exist yet.")
        private Path to;

        @Override
        public Integer call() throws IOException {
            if (Files.exists(to)) {
                throw new UsageException("--to is " + to + ", which already exists");
            }
            System.out.println("columns: rows=" + AuditColumns.write(readFleet(), to));
            return 0;
        }
    }

    @Command(name = "page", mixinStandardHelpOptions = true,
            description = "Write an HTML page: which instance decided by which version when, and operator "
                    + "notifications.")
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
            description = "Start real instances on this machine, publish versions and raise floors while faults are "
                    + "injected, and compare the counts of stubs and interpreters with the audit logs. Exit code 1 "
                    + "if they differ.")
    static final class Play implements Callable<Integer> {
        @Option(names = "--processes", defaultValue = "3", description = "Number of instances (${DEFAULT-VALUE}).")
        private int processes;

        @Option(names = "--keepers", defaultValue = "3", description = "Number of voters (${DEFAULT-VALUE}).")
        private int keepers;

        @Option(names = "--troubles", defaultValue = "4", description = "Number of faults (${DEFAULT-VALUE}).")
        private int troubles;

        @Option(names = "--seed", defaultValue = "1", description = "Seed of the faults (${DEFAULT-VALUE}).")
        private long seed;

        @Option(names = "--script", paramLabel = "FILE",
                description = "Scenario to run instead of random faults (HCL); see examples/audit.hcl.")
        private Path script;

        @Option(names = "--folder", paramLabel = "FOLDER", description = "Where logs and audit logs are kept.")
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
                    runFolder) : auditScript.run(runFolder);
            outcome.violations.forEach(System.out::println);
            System.out.printf("play: processes=%d faults=%d exchanges=%d unaccounted=%d misattributed=%d floors=%d "
                    + "below_floor=%d forks_found=%d disks_lost=%d; logs and records are in %s%n", outcome.processes,
                    outcome.faults, outcome.exchanges, outcome.unaccounted, outcome.misattributed,
                    outcome.minVersionsConfirmed, outcome.belowMinVersion, outcome.inconsistencies,
                    outcome.disksLost, runFolder);
            return outcome.allExitedCleanly && outcome.unaccounted + outcome.misattributed + outcome.belowMinVersion
                    == 0 ? 0 : 1;
        }
    }

    @Command(name = "stragglers", mixinStandardHelpOptions = true,
            description = "Show which instances started exchanges below a floor after it was confirmed, and until "
                    + "when. The limit is one lease; times are hybrid times, so a clock that stepped shows too.")
    static final class Stragglers extends FoldersQuery {
        @Override
        public Integer call() throws IOException {
            for (FleetAudit.Straggler straggler : readFleet().stragglers()) {
                print(String.format(Locale.ROOT, "%-12s started %d exchanges below the floor %d, the last %d ms "
                        + "after it was confirmed at %s", straggler.instance(), straggler.count(),
                        straggler.minVersion(),
                        straggler.lastMs() - straggler.confirmedMs(),
                        Instant.ofEpochMilli(straggler.confirmedMs())), "instance", straggler.instance(), "floor",
                        straggler.minVersion(),
                        "count", straggler.count(), "last_ms", straggler.lastMs() - straggler.confirmedMs());
            }
            return 0;
        }
    }
}
