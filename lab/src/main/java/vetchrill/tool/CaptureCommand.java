package vetchrill.tool;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
import vetchrill.capture.Capture;
import vetchrill.capture.Merged;

@Command(name = "capture", mixinStandardHelpOptions = true,
        description = "Tell what captures hold: each file, and all of them merged.")
final class CaptureCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FOLDER|FILE", description = "A folder of captures, or one of them.")
    private Path where;

    @Override
    public Integer call() {
        List<Capture> captures = Files.isDirectory(where) ? Capture.readAll(where) : List.of(Capture.read(where));
        System.out.printf("%-28s %-6s %-12s %-8s %9s %7s %6s %s%n", "file", "relay", "zone", "kind", "exchanges",
                "looks",
                "lost", "end");
        for (Capture each : captures) {
            System.out.printf("%-28s %-6s %-12s %-8s %9d %7d %6d %s%n", each.file.getFileName(), each.name, each.zone,
                    each.kind, each.rows, each.looks, each.lost, each.whole ? "in its order"
                            : each.cutBytes > 0 ? "cut, " + each.cutBytes + " bytes left out" : "cut");
        }
        Merged merged = new Merged(captures);
        System.out.printf("merged: %d exchanges in %.1f s, %.0f of them first tries by estimate%n", merged.rows,
                (merged.to - merged.from) / 10_000.0, merged.firstTries());
        merged.remarks.forEach(each -> System.out.println("  " + each));
        return 0;
    }
}
