package vetchrill.tool;

import java.io.IOException;
import java.nio.file.NoSuchFileException;
import java.util.ServiceLoader;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.ScopeType;
import vetchrill.capture.CaptureException;
import vetchrill.hcl.ConfigErrors;
import vetchrill.wire.WireFormatException;

/** The command line of the instance and of all tools. */
@Command(name = "vetchrill", mixinStandardHelpOptions = true, version = "vetchrill 0.1.0",
        description = "An overload controller for each instance of a fleet, and its tools.",
        synopsisSubcommandLabel = "COMMAND",
        subcommands = {ServeCommand.class, WirehostCommand.class, TryCommand.class, PlanCommand.class,
            CaptureCommand.class, ProveCommand.class, MeasureCommand.class, CostCommand.class,
            FleetCommand.class, MembersCommand.class, VersionsCommand.class,
            AuditCommand.class},
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {"0:done",
            "1:done, but a check failed or a goal is not met, or input of the line protocol was invalid",
            "2:wrong usage or invalid input: one line on standard error for each error", "70:the program failed"})
public final class Vetchrill {
    static final int EXIT_BAD_INPUT = 2;
    static final int EXIT_FAILED = 70;

    @Option(names = "--log-format", paramLabel = "text|json", scope = ScopeType.INHERIT, defaultValue = "text",
            description = "Format of log lines (${DEFAULT-VALUE}).")
    void logFormat(String format) {
        if (!format.equals("text") && !format.equals("json")) {
            throw new CommandLine.ParameterException(new CommandLine(this),
                    "--log-format should be text or json, not " + format);
        }
        System.setProperty(ToolLog.FORMAT_PROPERTY, format);
    }

    public static void main(String[] args) {
        System.exit(run(args));
    }

    static int run(String... args) {
        CommandLine commandLine = new CommandLine(new Vetchrill());
        ServiceLoader.load(ToolCommand.class).forEach(commandLine::addSubcommand);
        commandLine.setParameterExceptionHandler((e, arguments) -> {
            commandLine.getErr().println("vetchrill: " + oneLine(e.getMessage()));
            return EXIT_BAD_INPUT;
        });
        commandLine.setExecutionExceptionHandler((e, command, parsed) -> {
            if (e instanceof ConfigErrors errors) {
                errors.messages.forEach(each -> commandLine.getErr().println("vetchrill: " + each));
                return EXIT_BAD_INPUT;
            }
            if (e instanceof CaptureException || e instanceof UsageException) {
                commandLine.getErr().println("vetchrill: " + oneLine(e.getMessage()));
                return EXIT_BAD_INPUT;
            }
            if (e instanceof NoSuchFileException) {
                commandLine.getErr().println("vetchrill: " + e.getMessage() + ": no such file");
                return EXIT_BAD_INPUT;
            }
            if (e instanceof WireFormatException) {
                commandLine.getErr().println("vetchrill: " + oneLine(e.getMessage()));
                return 1;
            }
            if (e instanceof IOException) {
                commandLine.getErr().println("vetchrill: " + oneLine(String.valueOf(e.getMessage())));
                return EXIT_FAILED;
            }
            e.printStackTrace();
            return EXIT_FAILED;
        });
        if (args.length == 0) {
            commandLine.usage(commandLine.getErr());
            return EXIT_BAD_INPUT;
        }
        return commandLine.execute(args);
    }

    /** Joins a message into one line, as each error is one line on standard error. */
    private static String oneLine(String text) {
        return text.replace('\n', ' ').replace('\r', ' ');
    }
}
