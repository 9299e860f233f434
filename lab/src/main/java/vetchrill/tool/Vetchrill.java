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

/** The one command line over the instance and the tools. */
@Command(name = "vetchrill", mixinStandardHelpOptions = true, version = "vetchrill 0.1.0",
        description = "An overload controller for each server of a fleet, and the tools around it.",
        synopsisSubcommandLabel = "COMMAND",
        subcommands = {ServeCommand.class, WirehostCommand.class, TryCommand.class, PlanCommand.class,
            CaptureCommand.class, ProveCommand.class, MeasureCommand.class, CostCommand.class,
            FleetCommand.class, MembersCommand.class, VersionsCommand.class,
            AuditCommand.class},
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {"0:done", "1:done, and what was asked about does not hold, or an input on the wire was wrong",
            "2:wrong usage or bad input: one line on standard error for each mistake", "70:the program failed"})
public final class Vetchrill {
    static final int EXIT_BAD_INPUT = 2;
    static final int EXIT_FAILED = 70;

    @Option(names = "--log-format", paramLabel = "text|json", scope = ScopeType.INHERIT, defaultValue = "text",
            description = "How log lines are written: ${DEFAULT-VALUE} where not given.")
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
            if (e instanceof ConfigErrors mistakes) {
                mistakes.messages.forEach(each -> commandLine.getErr().println("vetchrill: " + each));
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

    private static String oneLine(String text) {
        return text.replace('\n', ' ').replace('\r', ' ');
    }
}
