package vetchrill.planner;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.Test;

/** Guards the keys and values of the JSON that plans print with {@code --json}: other programs read them. */
@Test
public class JsonReportFormatTest {
    private static final Path EXPECTED = Path.of("src/test/resources/formats/plan-report.json");

    public void jsonOfReportsEqualsTheStoredText() throws IOException {
        Answer limits = new Answer("Limits of \"fleet\" <é>");
        limits.remark("first remark, with a \"quotation\" and a \\");
        limits.remark("second remark");
        limits.remark("first remark, with a \"quotation\" and a \\");
        Answer.Table table = limits.table("Limits", "limit", "now", "from", "to", "count", "large", "flag");
        table.row("cores of the fleet", 1.52, Double.NaN, Double.POSITIVE_INFINITY, 3, 5_000_000_000L, true);
        table.row("", -0.5, Double.NEGATIVE_INFINITY, 1e-9, -1, 0L, false);
        limits.table("Without rows", "a", "b");
        limits.chart("Chart, which JSON leaves out", "x", "y");
        Answer size = new Answer("Size");
        size.holds = false;
        assertEquals(Showing.json(List.of(limits, size)),
                Files.readString(EXPECTED, StandardCharsets.UTF_8));
        assertEquals(Showing.json(List.of()), "[ ]\n");
    }
}
