package vetchrill.peers;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.IOException;
import vetchrill.versions.VersionMessage;

/**
 * Encodes version messages between instances as CBOR (RFC 8949), by Jackson from the records' components. A message
 * that is malformed in any part is rejected as a whole.
 */
public final class VersionMessageCodec {
    private static final ObjectMapper CBOR = new ObjectMapper(new CBORFactory())
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);

    /**
     * A version message with the time of its sender and the position of the sender's audit log.
     *
     * @param hybridTime of the sender's {@link vetchrill.audit.HybridLogicalClock}
     * @param auditBlock the last block of its audit log; -1 for none, or if it has no audit log
     * @param auditDigest of that block, in hexadecimal digits; empty if it has no audit log
     */
    public record Envelope(@JsonProperty("hybrid") long hybridTime, @JsonProperty("block") long auditBlock,
            @JsonProperty("digest") String auditDigest, @JsonProperty("saying") VersionMessage message) {
        public Envelope {
            if (auditDigest == null || message == null || hybridTime < 0) {
                throw new IllegalArgumentException("an envelope without a digest or message, or with a negative time");
            }
        }
    }

    private VersionMessageCodec() {
    }

    public static byte[] encode(Envelope envelope) {
        try {
            return CBOR.writeValueAsBytes(envelope);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Throws IOException if the bytes are not a valid version message. */
    public static Envelope decode(byte[] buf, int from, int size) throws IOException {
        try {
            Envelope envelope = CBOR.readValue(buf, from, size, Envelope.class);
            if (envelope == null) {
                throw new IOException("not a version message");
            }
            return envelope;
        } catch (IllegalArgumentException e) {
            throw new IOException(e.getMessage());
        }
    }
}
