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
 * The keys of the replies to orders, which operators' programs read. {@code status.json} is the status reply of the
 * build of commit 04d6cf3 for {@link #service}; it must not be regenerated.
 */
@Test
public class OrderReplyFormatTest {
    private static final String SELF = "instance-1";
    private static final String OTHER = "instance-2";

    private long now;
    private VersionService service;

    private static final class UnusedInstance implements VersionService.ManagedInstance {
        @Override
        public String validate(byte[] content) {
            return null;
        }

        @Override
        public void activate(Version version, byte[] content) {
            // Not needed here.
        }

        @Override
        public void updateLease(long minVersion, long until) {
            // Not needed here.
        }
    }

    /** Has the state of {@link FormatExamples#durableState}, and received a message from another instance. */
    @BeforeMethod
    public void createVersionService() throws Exception {
        now = 1_000_000;
        VersionsConfig config = new VersionsConfig(List.of(OTHER), List.of(SELF, OTHER, "instance-3"), 30_000, 5_000,
                100_000, true);
        InstanceStore store = new InstanceStore(FolderDisk.openReadOnly(FormatExamples.path("store")), SELF,
                DurableStore.MIN_CAPACITY_BYTES);
        service = new VersionService(config, SELF, "zone-a", "", 5, store, 1, () -> now,
                new HybridLogicalClock(() -> 1), null, new UnusedInstance());
        VersionMessageCodec.Envelope example = FormatExamples.envelope(VersionMessage.Kind.STATE);
        VersionMessage message = example.message();
        service.receive(new VersionMessageCodec.Envelope(example.hybridTime(), example.auditBlock(),
                example.auditDigest(), new VersionMessage(VersionMessage.Kind.STATE, OTHER, message.zone(), 6, 1, 0,
                message.state(), message.status(), null)));
        now += 5_000;
    }

    private String reply(String order) {
        return new String(service.handleOrder(order.getBytes(StandardCharsets.UTF_8)), StandardCharsets.UTF_8);
    }

    private JsonNode parsedReply(String order) throws IOException {
        return new ObjectMapper().readTree(reply(order));
    }

    public void statusReplyEqualsTheFile() throws IOException {
        assertEquals(reply("{\"order\":\"status\"}"), FormatExamples.text("status.json").strip());
    }

    public void publishFloorAndHaltAreExecuted() throws IOException {
        JsonNode published = parsedReply("{\"order\":\"publish\",\"content\":\"AQID\",\"number\":18,\"text\":\"\","
                + "\"stages\":[{\"zone\":\"zone-a\",\"share\":0.5}],\"hold_ms\":600}");
        assertFalse(published.has("error"), published.toString());
        assertEquals(published.path("published").asLong(), 18);
        JsonNode newest = published.path("versions").path(1);
        assertEquals(newest.path("number").asLong(), 18);
        assertEquals(newest.path("author").asText(), SELF);
        assertEquals(newest.path("digest").asText(),
                "039058c6f2c0cb492c533b0a4d14ef77cc0f78abccced5287d84a1a2011cfb81");
        JsonNode raised = parsedReply("{\"order\":\"floor\",\"number\":18}");
        assertFalse(raised.has("error"), raised.toString());
        assertEquals(raised.path("floor").asLong(), 18);
        JsonNode halted = parsedReply("{\"order\":\"halt\",\"number\":18}");
        assertFalse(halted.has("error"), halted.toString());
        assertFalse(halted.path("versions").path(1).path("stopped").asText().isEmpty(), halted.toString());
    }

    public void invalidOrdersAreAnsweredWithAnError() throws IOException {
        for (String order : List.of("{\"order\":\"nothing\"}", "{\"order\":\"publish\"}",
                "{\"order\":\"halt\",\"number\":99}", "no JSON")) {
            assertTrue(parsedReply(order).has("error"), order);
        }
    }

    /** The names are written to the audit log. */
    public void eventsHaveStableNames() {
        assertEquals(Arrays.stream(VersionManager.Event.values()).map(Enum::name).toList(), List.of("HEARD", "TAKEN",
                "REFUSED", "FORK", "STOPPED", "BEHIND", "BARRED", "FREE", "CONFIRMED", "DISK", "OLDER"));
    }
}
