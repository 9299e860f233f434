package vetchrill.tool;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.Test;

@Test(singleThreaded = true)
public class CommandTest {
    private record CommandResult(int code, String out, String err) {
    }

    private static CommandResult run(String... args) {
        PrintStream out = System.out;
        PrintStream err = System.err;
        ByteArrayOutputStream outBytes = new ByteArrayOutputStream();
        ByteArrayOutputStream errBytes = new ByteArrayOutputStream();
        System.setOut(new PrintStream(outBytes, true, StandardCharsets.UTF_8));
        System.setErr(new PrintStream(errBytes, true, StandardCharsets.UTF_8));
        try {
            int code = Vetchrill.run(args);
            return new CommandResult(code, outBytes.toString(StandardCharsets.UTF_8),
                    errBytes.toString(StandardCharsets.UTF_8));
        } finally {
            System.setOut(out);
            System.setErr(err);
        }
    }

    public void wrongUsagePrintsOneLineAndExitsWithTwo() {
        for (String[] args : new String[][] {{"fly"}, {"plan"}, {"plan", "limits"}, {"serve", "--wings"},
            {"--log-format", "xml", "try"}, {"plan", "limits", "f", "--json", "--html", "x"}}) {
            CommandResult result = run(args);
            assertEquals(result.code, 2, String.join(" ", args) + result.err);
            assertEquals(result.err.trim().lines().count(), 1, result.err);
            assertTrue(result.err.startsWith("vetchrill: "), result.err);
        }
    }

    public void everyInputErrorIsOneLineAndNoOutputIsWritten() throws IOException {
        Path fleet = Files.createTempFile("fleet", ".hcl");
        Path page = fleet.resolveSibling(fleet.getFileName() + ".html");
        Files.writeString(fleet, "kind \"k\" {\n  cores = -2\n  memory_mb = 1\n}\nzone \"z\" { relays = { q = 1 } }\n"
                + "group \"g\" {\n  slo_ms = 1\n  timeout_ms = 2\n}\nstubs \"s\" { count = 1 }\n");
        CommandResult result = run("plan", "limits", fleet.toString(), "--html", page.toString());
        assertEquals(result.code, 2);
        assertEquals(result.err, "vetchrill: " + fleet + ":2: cores: is -2, should be a number from 1 to 1024\n"
                + "vetchrill: " + fleet + ":5: relays: names kind 'q', which no kind block describes\n");
        assertFalse(Files.exists(page));
    }

    public void folderWithoutCapturesIsReportedInOneLine() throws IOException {
        Path empty = Files.createTempDirectory("none");
        CommandResult result = run("capture", empty.toString());
        assertEquals(result.code, 2);
        assertEquals(result.err, "vetchrill: " + empty + ": holds no exchange\n");
    }

    /** Guards against debug lines of the library that reads captures, which it logs for each of its buffers. */
    public void captureOutputHasNoLibraryLogLines() {
        CommandResult result = run("capture", "src/test/resources/captures/full");
        assertEquals(result.code, 0);
        assertEquals(result.out.lines().filter(line -> !line.startsWith("r") && !line.startsWith("file")
                && !line.startsWith("merged") && !line.startsWith("  ")).toList(), java.util.List.of());
    }

    public void everySubcommandPrintsUsage() {
        for (String name : new String[] {"serve", "wirehost", "try", "plan", "capture", "prove"}) {
            CommandResult result = run(name, "--help");
            assertEquals(result.code, 0, name);
            assertTrue(result.out.startsWith("Usage: vetchrill " + name), result.out);
        }
    }
}
