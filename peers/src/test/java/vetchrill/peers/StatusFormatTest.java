package vetchrill.peers;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import vetchrill.audit.HybridTime;
import vetchrill.store.FolderDisk;
import vetchrill.store.Journal;
import vetchrill.versions.Saying;
import vetchrill.versions.Terms;
import vetchrill.versions.Version;
import vetchrill.versions.Versions;

/**
 * The keys of the replies to orders, which programs of the operator read. {@code status.json} was written by the build
 * of commit 04d6cf3 for the instance of {@link #agreement}, after the message of {@link FormatExamples#envelope} and
 * half a second; it is not to be written again.
 */
@Test
public class StatusFormatTest {
    private static final String SELF = "instance-1";
    private static final String OTHER = "instance-2";

    private long now;
    private Agreement agreement;

    private static final class NoInstance implements Agreement.Instance {
        @Override
        public String tryOut(byte[] content) {
            return null;
        }

        @Override
        public void take(Version version, byte[] content) {
            // Nothing of it is asked for here.
        }

        @Override
        public void lease(long floor, long until) {
            // Nothing of it is asked for here.
        }
    }

    /** One that has the memory of {@link FormatExamples#memory}, and another that reports to it. */
    @BeforeMethod
    public void agreement() throws Exception {
        now = 1_000_000;
        Terms terms = new Terms(List.of(OTHER), List.of(SELF, OTHER, "instance-3"), 30_000, 5_000, 100_000, true);
        Store store = new Store(FolderDisk.read(FormatExamples.path("store")), SELF, Journal.LEAST_BOUND);
        agreement = new Agreement(terms, SELF, "zone-a", "", 5, store, 1, () -> now, new HybridTime(() -> 1), null,
                new NoInstance());
        Sayings.Envelope example = FormatExamples.envelope(Saying.Kind.STATE);
        Saying saying = example.saying();
        agreement.heard(new Sayings.Envelope(example.hybrid(), example.block(), example.digest(),
                new Saying(Saying.Kind.STATE, OTHER, saying.zone(), 6, 1, 0, saying.news(), saying.standing(), null)));
        now += 5_000;
    }

    private String reply(String order) {
        return new String(agreement.ordered(order.getBytes(StandardCharsets.UTF_8)), StandardCharsets.UTF_8);
    }

    private JsonNode json(String order) throws IOException {
        return new ObjectMapper().readTree(reply(order));
    }

    public void theStatusReplyIsThatOfTheFile() throws IOException {
        assertEquals(reply("{\"order\":\"status\"}"), FormatExamples.text("status.json").strip());
    }

    public void publishFloorAndHaltAreKnownOrders() throws IOException {
        JsonNode published = json("{\"order\":\"publish\",\"content\":\"AQID\",\"number\":18,\"text\":\"\","
                + "\"stages\":[{\"zone\":\"zone-a\",\"share\":0.5}],\"hold_ms\":600}");
        assertFalse(published.has("error"), published.toString());
        assertEquals(published.path("published").asLong(), 18);
        JsonNode newest = published.path("versions").path(1);
        assertEquals(newest.path("number").asLong(), 18);
        assertEquals(newest.path("author").asText(), SELF);
        assertEquals(newest.path("digest").asText(),
                "039058c6f2c0cb492c533b0a4d14ef77cc0f78abccced5287d84a1a2011cfb81");
        JsonNode raised = json("{\"order\":\"floor\",\"number\":18}");
        assertFalse(raised.has("error"), raised.toString());
        assertEquals(raised.path("floor").asLong(), 18);
        JsonNode halted = json("{\"order\":\"halt\",\"number\":18}");
        assertFalse(halted.has("error"), halted.toString());
        assertFalse(halted.path("versions").path(1).path("stopped").asText().isEmpty(), halted.toString());
    }

    public void whatIsNoOrderIsAnsweredByAnError() throws IOException {
        for (String order : List.of("{\"order\":\"nothing\"}", "{\"order\":\"publish\"}",
                "{\"order\":\"halt\",\"number\":99}", "no JSON")) {
            assertTrue(json(order).has("error"), order);
        }
    }

    /** They are the first text of the audit log's events. */
    public void theEventsHaveTheseNames() {
        assertEquals(Arrays.stream(Versions.Event.values()).map(Enum::name).toList(), List.of("HEARD", "TAKEN",
                "REFUSED", "FORK", "STOPPED", "BEHIND", "BARRED", "FREE", "CONFIRMED", "DISK", "OLDER"));
    }
}
