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
        Report firstReport = new Report("Limits of \"fleet\" <é>");
        firstReport.addRemark("first remark, with a \"quotation\" and a \\");
        firstReport.addRemark("second remark");
        firstReport.addRemark("first remark, with a \"quotation\" and a \\");
        Report.Table table = firstReport.addTable("Limits", "limit", "now", "from", "to", "count", "large", "flag");
        table.addRow("cores of the fleet", 1.52, Double.NaN, Double.POSITIVE_INFINITY, 3, 5_000_000_000L, true);
        table.addRow("", -0.5, Double.NEGATIVE_INFINITY, 1e-9, -1, 0L, false);
        firstReport.addTable("Without rows", "a", "b");
        firstReport.addChart("Chart, which JSON leaves out", "x", "y");
        Report secondReport = new Report("Size");
        secondReport.goalMet = false;
        assertEquals(ReportRenderer.toJson(List.of(firstReport, secondReport)),
                Files.readString(EXPECTED, StandardCharsets.UTF_8));
        assertEquals(ReportRenderer.toJson(List.of()), "[ ]\n");
    }
}
