package vetchrill.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The line protocol of {@link WireHost}: batches, fields, and the reports of invalid input. */
@Test
public class WireHostTest {
    private static final String BORN = "at instance=3\nborn salt=5 options={\"categories\":[{\"aimMs\":1000,"
            + "\"deadlineMs\":3000,\"effect\":\"free\",\"unheard\":[1]}],\"familyInfo\":{\"cores\":2}}\n";

    private static String reply(String input) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new WireHost(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), out).run();
        return out.toString(StandardCharsets.UTF_8);
    }

    public void emptyBatchesAreEchoed() throws IOException {
        assertEquals(reply("sync tsMs=8412.25 seq=1\ncommit\n"), "end seq=1\n");
    }

    public void fieldsComeInAnyOrderAndUnknownOnesAreSkipped() throws IOException {
        String reply = reply("sync seq=1 tsMs=8412.25\n" + BORN
                + "inbound novelty=x sizeKb=2.5 type=0 rid=4227996113120025\ncommit\n");
        assertTrue(reply.contains("begin rid=4227996113120025\n"), reply);
    }

    public void haltedInstanceCanBeCreatedAgainInTheSameBatch() throws IOException {
        String reply = reply("sync tsMs=1 seq=1\n" + BORN + "inbound rid=7 type=0\ncommit\n"
                + "sync tsMs=2 seq=2\nat instance=3\nhalt\n" + BORN + "inbound rid=8 type=0\ncommit\n");
        assertTrue(reply.contains("begin rid=8"), reply);
        assertEquals(reply.split("status ").length - 1, 2, "both incarnations report their health");
    }

    public void eventForAFinishedExchangeIsIgnored() throws IOException {
        reply("sync tsMs=1 seq=1\n" + BORN + "inbound rid=7 type=0\ncommit\nsync tsMs=2 seq=2\nat instance=3\n"
                + "run_over rid=7 disposition=completed costTimeMs=1\nclient_left rid=7\ncommit\n");
    }

    @DataProvider
    public Object[][] invalidInputs() {
        String open = "sync tsMs=1 seq=1\n";
        return new Object[][] {
            {"at instance=3\n", "line 1: 'at' outside of a batch"},
            {open + "at instance=3\nhalt\n", "line 3: 'halt' for an unknown instance: 3"},
            {open + BORN + "dance rid=1\n", "line 4: unknown message 'dance'"},
            {open + BORN + "inbound rid=x1 type=0\n", "line 4: 'rid' of 'inbound' should be a whole number, not 'x1'"},
            {open + BORN + "inbound rid=1 type=9\n", "line 4: 'inbound' without a known 'type'"},
            {open + BORN + "wants_call rid=5\n", "line 4: 'wants_call' with an 'rid' unknown to instance 3: 5"},
            {open + BORN + "run_over rid\n", "line 4: a field that is not key=value in 'run_over'"},
            {open + "at instance=3\nborn salt=1 options={\n", "line 3: options are not valid JSON: "},
            {open + "at instance=3\nborn salt=1 options={\"categories\":[{\"effect\":\"free\"}],"
                    + "\"customers\":{\"\":0}}\n", "line 3: customers is not a list"},
            {"sync tsMs=1.5.1 seq=1\n", "line 1: 'tsMs' of 'sync' should be a number, not '1.5.1'"},
            {open, "line 1: the input ends in the middle of a batch"},
            {open + "com", "line 2: the input ends in the middle of a line"},
        };
    }

    @Test(dataProvider = "invalidInputs")
    public void invalidInputIsReportedWithLineAndReason(String input, String message) {
        WireFormatException error = expectThrows(WireFormatException.class, () -> reply(input));
        assertTrue(error.getMessage().startsWith(message), error.getMessage());
    }

    public void longLinesAndManyBatchesPassThroughTheBuffer() throws IOException {
        StringBuilder input = new StringBuilder("sync tsMs=1 seq=0\n").append(BORN);
        for (int i = 1; i <= 2_000; i++) {
            input.append("inbound rid=").append(i).append(" type=0 routeKey=")
                    .append("k".repeat(i % 97 * 9)).append('\n');
        }
        String reply = reply(input.append("commit\nsync tsMs=2 seq=1\ncommit\n").toString());
        assertTrue(reply.endsWith("end seq=0\nend seq=1\n"));
        assertThrows(WireFormatException.class,
                () -> reply("sync tsMs=1 seq=0\n" + "x".repeat(200_000) + "\ncommit\n"));
    }
}
