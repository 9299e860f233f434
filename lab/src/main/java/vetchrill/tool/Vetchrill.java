package vetchrill.tool;

import java.io.IOException;
import java.nio.file.NoSuchFileException;
import java.util.ServiceLoader;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.ScopeType;
import vetchrill.capture.CaptureFault;
import vetchrill.hcl.Mistakes;
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
    static final int BAD = 2;
    static final int FAILED = 70;

    @Option(names = "--log-format", paramLabel = "text|json", scope = ScopeType.INHERIT, defaultValue = "text",
            description = "How log lines are written: ${DEFAULT-VALUE} where not given.")
    void logFormat(String format) {
        if (!format.equals("text") && !format.equals("json")) {
            throw new CommandLine.ParameterException(new CommandLine(this),
                    "--log-format should be text or json, not " + format);
        }
        System.setProperty(ToolLog.FORMAT, format);
    }

    public static void main(String[] args) {
        System.exit(run(args));
    }

    static int run(String... args) {
        CommandLine line = new CommandLine(new Vetchrill());
        ServiceLoader.load(ToolCommand.class).forEach(line::addSubcommand);
        line.setParameterExceptionHandler((e, given) -> {
            line.getErr().println("vetchrill: " + oneLine(e.getMessage()));
            return BAD;
        });
        line.setExecutionExceptionHandler((e, of, parsed) -> {
            if (e instanceof Mistakes mistakes) {
                mistakes.each.forEach(each -> line.getErr().println("vetchrill: " + each));
                return BAD;
            }
            if (e instanceof CaptureFault || e instanceof BadUse) {
                line.getErr().println("vetchrill: " + oneLine(e.getMessage()));
                return BAD;
            }
            if (e instanceof NoSuchFileException) {
                line.getErr().println("vetchrill: " + e.getMessage() + ": no such file");
                return BAD;
            }
            if (e instanceof WireFormatException) {
                line.getErr().println("vetchrill: " + oneLine(e.getMessage()));
                return 1;
            }
            if (e instanceof IOException) {
                line.getErr().println("vetchrill: " + oneLine(String.valueOf(e.getMessage())));
                return FAILED;
            }
            e.printStackTrace();
            return FAILED;
        });
        if (args.length == 0) {
            line.usage(line.getErr());
            return BAD;
        }
        return line.execute(args);
    }

    private static String oneLine(String text) {
        return text.replace('\n', ' ').replace('\r', ' ');
    }
}
