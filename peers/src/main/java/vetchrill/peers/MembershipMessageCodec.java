package vetchrill.peers;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import vetchrill.members.MemberInfo;
import vetchrill.members.MembershipMessage;

/**
 * Encodes membership messages as CBOR (RFC 8949). A message is an array: kind, sequence number, target, then the state
 * of the sender and the updates, each an array of its own. Kinds and states are encoded by ordinal. A message that is
 * malformed in any part is rejected as a whole.
 */
public final class MembershipMessageCodec {
    /** Maximum size of any frame between peers. */
    public static final int MAX_MESSAGE_BYTES = 256 << 10;
    private static final int MAX_NAME_CHARS = 128;
    private static final int MAX_UPDATES = 4_096;
    /** Fields of a message besides its updates. */
    private static final int MESSAGE_FIELDS = 4;
    private static final int UPDATE_FIELDS = 7;
    private static final int EXPECTED_HEADER_BYTES = 64;
    private static final int EXPECTED_UPDATE_BYTES = 48;
    private static final CBORFactory CBOR = new CBORFactory();

    private MembershipMessageCodec() {
    }

    public static byte[] encode(MembershipMessage message) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(EXPECTED_HEADER_BYTES
                + EXPECTED_UPDATE_BYTES * (1 + message.updates().size()));
        try (JsonGenerator generator = CBOR.createGenerator(bytes)) {
            generator.writeStartArray(null, MESSAGE_FIELDS + message.updates().size());
            generator.writeNumber(message.kind().ordinal());
            generator.writeNumber(message.sequenceNumber());
            generator.writeString(message.target());
            encode(generator, message.sender());
            for (MemberInfo each : message.updates()) {
                encode(generator, each);
            }
            generator.writeEndArray();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return bytes.toByteArray();
    }

    private static void encode(JsonGenerator generator, MemberInfo update) throws IOException {
        generator.writeStartArray(null, UPDATE_FIELDS);
        generator.writeString(update.name());
        generator.writeString(update.zone());
        generator.writeNumber(update.incarnation());
        generator.writeNumber(update.nonce());
        generator.writeNumber(update.refutations());
        generator.writeNumber(update.state().ordinal());
        generator.writeString(update.reportedBy());
        generator.writeEndArray();
    }

    /** Throws IOException with a message of one line if the bytes are not a valid membership message. */
    public static MembershipMessage decode(byte[] buf, int from, int size) throws IOException {
        try (JsonParser parser = CBOR.createParser(buf, from, size)) {
            require(parser.nextToken() == JsonToken.START_ARRAY, "not an array");
            MembershipMessage.Kind kind = readEnum(parser, MembershipMessage.Kind.values());
            long sequenceNumber = readLong(parser);
            String target = readName(parser);
            require(parser.nextToken() == JsonToken.START_ARRAY, "the sender is missing");
            MemberInfo sender = readUpdate(parser);
            require(!sender.name().isEmpty() && sender.incarnation() > 0, "the sender has no name or no incarnation");
            List<MemberInfo> updates = new ArrayList<>();
            for (JsonToken token = parser.nextToken(); token != JsonToken.END_ARRAY; token = parser.nextToken()) {
                require(token == JsonToken.START_ARRAY && updates.size() < MAX_UPDATES,
                        "an update that is not an array, or too many updates");
                updates.add(readUpdate(parser));
            }
            require(parser.nextToken() == null, "trailing data");
            return new MembershipMessage(kind, sender, sequenceNumber, target, updates);
        }
    }

    private static MemberInfo readUpdate(JsonParser parser) throws IOException {
        MemberInfo update = new MemberInfo(readName(parser), readName(parser), readLong(parser), readLong(parser),
                readLong(parser), readEnum(parser, MemberInfo.State.values()), readName(parser));
        require(update.incarnation() >= 0 && update.refutations() >= 0,
                "a negative incarnation or refutation counter");
        require(parser.nextToken() == JsonToken.END_ARRAY, "an update with too many fields");
        return update;
    }

    private static String readName(JsonParser parser) throws IOException {
        require(parser.nextToken() == JsonToken.VALUE_STRING, "text expected");
        String text = parser.getText();
        require(text.length() <= MAX_NAME_CHARS, "a name of " + text.length() + " characters");
        return text;
    }

    private static long readLong(JsonParser parser) throws IOException {
        require(parser.nextToken() == JsonToken.VALUE_NUMBER_INT, "integer expected");
        return parser.getLongValue();
    }

    private static <T> T readEnum(JsonParser parser, T[] values) throws IOException {
        long ordinal = readLong(parser);
        require(ordinal >= 0 && ordinal < values.length,
                "unknown " + values.getClass().getComponentType().getSimpleName());
        return values[(int) ordinal];
    }

    private static void require(boolean condition, String problem) throws IOException {
        if (!condition) {
            throw new IOException(problem);
        }
    }
}
