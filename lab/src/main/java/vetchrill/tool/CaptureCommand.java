package vetchrill.tool;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
import vetchrill.capture.Capture;
import vetchrill.capture.CaptureMerge;

/** Summarises capture files. */
@Command(name = "capture", mixinStandardHelpOptions = true,
        description = "Summarise captures: each file, and all of them merged.")
final class CaptureCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FOLDER|FILE", description = "A folder of captures, or one capture file.")
    private Path path;

    @Override
    public Integer call() {
        List<Capture> captures = Files.isDirectory(path) ? Capture.readAll(path) : List.of(Capture.read(path));
        System.out.printf("%-28s %-6s %-12s %-8s %9s %7s %6s %s%n", "file", "relay", "zone", "kind", "exchanges",
                "looks", "lost", "end");
        for (Capture capture : captures) {
            System.out.printf("%-28s %-6s %-12s %-8s %9d %7d %6d %s%n", capture.file.getFileName(), capture.name,
                    capture.zone, capture.kind, capture.rows, capture.gaugeRows, capture.droppedRows,
                    capture.complete ? "complete"
                            : capture.cutBytes > 0 ? "cut, " + capture.cutBytes + " bytes ignored" : "cut");
        }
        CaptureMerge merged = new CaptureMerge(captures);
        System.out.printf("merged: %d exchanges in %.1f s, an estimated %.0f of them first attempts%n", merged.rows,
                (merged.to - merged.from) / 10_000.0, merged.firstAttempts());
        merged.remarks.forEach(remark -> System.out.println("  " + remark));
        return 0;
    }
}
