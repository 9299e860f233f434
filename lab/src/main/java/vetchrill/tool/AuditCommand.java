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
import vetchrill.auditing.Fleetwide;
import vetchrill.auditing.History;
import vetchrill.protocol.DeploymentReader;
import vetchrill.standin.AuditPlay;
import vetchrill.standin.AuditScript;

@Command(name = "audit", mixinStandardHelpOptions = true,
        description = "Read the records of all instances, dead ones too: who decided what, by which version.",
        subcommands = {AuditCommand.Collect.class, AuditCommand.Verify.class, AuditCommand.Who.class,
            AuditCommand.Timeline.class, AuditCommand.Stragglers.class, AuditCommand.Page.class,
            AuditCommand.Columns.class, AuditCommand.Play.class})
final class AuditCommand {
    private AuditCommand() {
    }

    private static String when(long hybrid) {
        return Instant.ofEpochMilli(HybridLogicalClock.toMillis(hybrid)).toString();
    }

    /** What all of them ask for. */
    abstract static class Reading implements Callable<Integer> {
        @Option(names = "--json", description = "A JSON object a line instead of text.")
        boolean json;

        Fleetwide fleet(List<Path> folders) throws IOException {
            for (Path each : folders) {
                if (!Files.isDirectory(each)) {
                    throw new BadUse("FOLDER is " + each + ", which is none");
                }
            }
            Fleetwide fleet = new Fleetwide(folders);
            if (fleet.histories.isEmpty()) {
                throw new BadUse("no record is in " + folders);
            }
            return fleet;
        }

        void line(String text, Object... keysAndValues) {
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
        void told(Fleetwide.Told each) {
            AuditEvent row = each.row();
            String answer = row.kind() != AuditEvent.Kind.OVER ? "" : switch (row.answer()) {
                case 1 -> " completed";
                case 2 -> " denied";
                case 3 -> " terminated";
                default -> " caller left";
            };
            line(String.format("%s %-12s life %016x %-8s version %d%s %s %s", when(row.hybridTime()), each.name(),
                    each.life(), row.kind(), row.version(), answer, row.text(), row.detail()).stripTrailing(),
                    "time", when(row.hybridTime()), "hybrid", row.hybridTime(), "instance", each.name(), "life",
                    String.format("%016x", each.life()), "kind", row.kind().name(), "id",
                    String.format("%016x", row.id()), "version", row.version(), "answer", answer.strip(), "text",
                    row.text(), "more", row.detail());
        }
    }

    /** Those that ask of whole records. */
    abstract static class OfFolders extends Reading {
        @Parameters(paramLabel = "FOLDER", arity = "1..*", description = "Looked through with all below.")
        private List<Path> folders;

        Fleetwide fleet() throws IOException {
            return fleet(folders);
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
                throw new BadUse("--to is " + to + ", which is there already");
            }
            long files = 0;
            int number = 0;
            for (History each : History.below(folders)) {
                Path into = to.resolve(String.format("%03d-%s", number++, each.name));
                Files.createDirectories(into);
                try (var all = Files.list(each.folder)) {
                    for (Path file : all.filter(path -> path.getFileName().toString().startsWith(each.name + "-")
                            && path.toString().endsWith(".audit")).toList()) {
                        Files.copy(file, into.resolve(file.getFileName()), StandardCopyOption.COPY_ATTRIBUTES);
                        files++;
                    }
                }
            }
            System.out.printf("collected: records=%d files=%d%n", number, files);
            return 0;
        }
    }

    @Command(name = "verify", mixinStandardHelpOptions = true,
            description = "Is each record whole, and what the others were told of it? Exit code 1 where not.")
    static final class Verify extends OfFolders {
        @Override
        public Integer call() throws IOException {
            Fleetwide fleet = fleet();
            fleet.read(null);
            long rows = 0;
            long leftOut = 0;
            int wrong = 0;
            for (History each : fleet.histories) {
                rows += each.rows;
                leftOut += each.leftOut;
                wrong += each.wrong.size();
                line(String.format("%-12s %8d rows, blocks %d to %d, %d lives, %d ended in order, %d left out, "
                        + "%d octets torn", each.name, each.rows, each.first(), each.next() - 1, each.lives, each.ends,
                        each.leftOut, each.torn), "instance", each.name, "rows", each.rows, "lives", each.lives,
                        "ended", each.ends, "left_out", each.leftOut, "torn", each.torn, "wrong", each.wrong);
                if (!json) {
                    each.wrong.forEach(what -> System.out.println("  " + what));
                }
            }
            List<String> forks = fleet.forks();
            forks.forEach(each -> line("fork: " + each, "fork", each));
            System.out.printf("verify: records=%d rows=%d left_out=%d wrong=%d forks=%d%n", fleet.histories.size(),
                    rows, leftOut, wrong, forks.size());
            return wrong + forks.size() == 0 ? 0 : 1;
        }
    }

    @Command(name = "who", mixinStandardHelpOptions = true,
            description = "Which instances decided an exchange, when and by which version. Exit code 1 for none.")
    static final class Who extends Reading {
        @Parameters(index = "0", paramLabel = "ID", description = "16 hexadecimal digits, as its stub sent them.")
        private String id;

        @Parameters(index = "1..*", paramLabel = "FOLDER", arity = "1..*")
        private List<Path> folders;

        @Override
        public Integer call() throws IOException {
            if (!id.matches("[0-9a-fA-F]{16}")) {
                throw new BadUse("ID is " + id + ", should be 16 hexadecimal digits");
            }
            List<Fleetwide.Told> all = fleet(folders).who(Long.parseUnsignedLong(id, 16));
            all.forEach(this::told);
            return all.isEmpty() ? 1 : 0;
        }
    }

    @Command(name = "timeline", mixinStandardHelpOptions = true,
            description = "Lives, versions taken and what staff was told, of all instances in hybrid time.")
    static final class Timeline extends OfFolders {
        @Override
        public Integer call() throws IOException {
            fleet().timeline().forEach(this::told);
            return 0;
        }
    }

    @Command(name = "columns", mixinStandardHelpOptions = true,
            description = "All rows of all records in one Arrow file.")
    static final class Columns extends OfFolders {
        @Option(names = "--to", required = true, paramLabel = "FILE", description = "Must not be there yet.")
        private Path to;

        @Override
        public Integer call() throws IOException {
            if (Files.exists(to)) {
                throw new BadUse("--to is " + to + ", which is there already");
            }
            System.out.println("columns: rows=" + AuditColumns.write(fleet(), to));
            return 0;
        }
    }

    @Command(name = "page", mixinStandardHelpOptions = true,
            description = "One HTML page: who decided by which version when, and what staff was told.")
    static final class Page extends OfFolders {
        @Option(names = "--to", required = true, paramLabel = "FILE")
        private Path to;

        @Override
        public Integer call() throws IOException {
            Files.writeString(to, AuditPage.of(fleet()));
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
                throw new BadUse("--processes should be 3 to 40, --keepers an odd number of them, "
                        + "--troubles 0 or more");
            }
            Path in = folder == null ? AuditPlay.folder() : Files.createDirectories(folder);
            AuditScript written = script == null ? null : new AuditScript(script);
            AuditPlay.Outcome one = written == null ? AuditPlay.play(processes, keepers, troubles, seed, in)
                    : written.play(in);
            one.wrong.forEach(System.out::println);
            System.out.printf("play: processes=%d faults=%d exchanges=%d unaccounted=%d misattributed=%d floors=%d "
                    + "below_floor=%d forks_found=%d disks_lost=%d; logs and records are in %s%n", one.processes,
                    one.faults, one.exchanges, one.unaccounted, one.misattributed, one.floors, one.belowFloor,
                    one.forks, one.disksLost, in);
            return one.ended && one.unaccounted + one.misattributed + one.belowFloor == 0 ? 0 : 1;
        }
    }

    @Command(name = "stragglers", mixinStandardHelpOptions = true,
            description = "Who began exchanges under a floor after it was confirmed, and until when. A lease long is "
                    + "what is promised; by hybrid time, so that a clock that stepped shows as well.")
    static final class Stragglers extends OfFolders {
        @Override
        public Integer call() throws IOException {
            for (Fleetwide.Below each : fleet().stragglers()) {
                line(String.format(Locale.ROOT, "%-12s began %d under the floor %d, the last %d ms after it was "
                        + "confirmed at %s", each.name(), each.count(), each.floor(), each.last() - each.confirmed(),
                        Instant.ofEpochMilli(each.confirmed())), "instance", each.name(), "floor", each.floor(),
                        "count", each.count(), "last_ms", each.last() - each.confirmed());
            }
            return 0;
        }
    }
}
