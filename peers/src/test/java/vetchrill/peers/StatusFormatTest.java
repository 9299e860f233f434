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
import vetchrill.audit.HybridLogicalClock;
import vetchrill.store.FolderDisk;
import vetchrill.store.DurableStore;
import vetchrill.versions.VersionMessage;
import vetchrill.versions.VersionsConfig;
import vetchrill.versions.Version;
import vetchrill.versions.VersionManager;

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
    private VersionService agreement;

    private static final class NoInstance implements VersionService.ManagedInstance {
        @Override
        public String validate(byte[] content) {
            return null;
        }

        @Override
        public void activate(Version version, byte[] content) {
            // Nothing of it is asked for here.
        }

        @Override
        public void updateLease(long floor, long until) {
            // Nothing of it is asked for here.
        }
    }

    /** One that has the memory of {@link FormatExamples#memory}, and another that reports to it. */
    @BeforeMethod
    public void agreement() throws Exception {
        now = 1_000_000;
        VersionsConfig terms = new VersionsConfig(List.of(OTHER), List.of(SELF, OTHER, "instance-3"), 30_000, 5_000,
                100_000, true);
        InstanceStore store = new InstanceStore(FolderDisk.openReadOnly(FormatExamples.path("store")), SELF,
                DurableStore.MIN_CAPACITY_BYTES);
        agreement = new VersionService(terms, SELF, "zone-a", "", 5, store, 1, () -> now,
                new HybridLogicalClock(() -> 1), null,
                new NoInstance());
        VersionMessageCodec.Envelope example = FormatExamples.envelope(VersionMessage.Kind.STATE);
        VersionMessage saying = example.message();
        agreement.receive(new VersionMessageCodec.Envelope(example.hybridTime(), example.auditBlock(),
                example.auditDigest(),
                new VersionMessage(VersionMessage.Kind.STATE, OTHER, saying.zone(), 6, 1, 0, saying.state(),
                saying.status(), null)));
        now += 5_000;
    }

    private String reply(String order) {
        return new String(agreement.handleOrder(order.getBytes(StandardCharsets.UTF_8)), StandardCharsets.UTF_8);
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
        assertEquals(Arrays.stream(VersionManager.Event.values()).map(Enum::name).toList(), List.of("HEARD", "TAKEN",
                "REFUSED", "FORK", "STOPPED", "BEHIND", "BARRED", "FREE", "CONFIRMED", "DISK", "OLDER"));
    }
}
