package vetchrill.peers;

import com.fasterxml.jackson.annotation.JsonProperty;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.IOException;
import vetchrill.versions.VersionMessage;

/** Sayings between instances as CBOR (RFC 8949). What can't be read is refused whole. */
public final class VersionMessageCodec {
    private static final ObjectMapper CBOR = new ObjectMapper(new CBORFactory())
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);

    /**
     * What goes along with a saying.
     *
     * @param hybridTime the speaker's hybrid time
     * @param auditBlock how far its record has come; -1 for nothing, or where it keeps none
     * @param auditDigest of the record up to there
     */
    public record Envelope(@JsonProperty("hybrid") long hybridTime, @JsonProperty("block") long auditBlock,
            @JsonProperty("digest") String auditDigest, @JsonProperty("saying") VersionMessage message) {
        public Envelope {
            if (auditDigest == null || message == null || hybridTime < 0) {
                throw new IllegalArgumentException("no saying");
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

    /** Throws IOException, with one line, for what is none. */
    public static Envelope decode(byte[] buf, int from, int size) throws IOException {
        try {
            Envelope envelope = CBOR.readValue(buf, from, size, Envelope.class);
            if (envelope == null) {
                throw new IOException("no saying");
            }
            return envelope;
        } catch (IllegalArgumentException e) {
            throw new IOException(e.getMessage());
        }
    }
}
