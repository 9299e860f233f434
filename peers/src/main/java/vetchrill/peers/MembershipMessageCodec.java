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
 * Words between instances as CBOR (RFC 8949), in arrays without names: kind, number, about, then the news of the
 * speaker and whatever goes along. What can't be read is refused whole.
 */
public final class MembershipMessageCodec {
    public static final int MAX_MESSAGE_BYTES = 256 << 10;
    private static final int MAX_NAME_CHARS = 128;
    private static final int MAX_UPDATES = 4_096;
    private static final CBORFactory CBOR = new CBORFactory();

    private MembershipMessageCodec() {
    }

    public static byte[] encode(MembershipMessage message) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(64 + 48 * (1 + message.updates().size()));
        try (JsonGenerator generator = CBOR.createGenerator(bytes)) {
            generator.writeStartArray(null, 4 + message.updates().size());
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
        generator.writeStartArray(null, 7);
        generator.writeString(update.name());
        generator.writeString(update.zone());
        generator.writeNumber(update.incarnation());
        generator.writeNumber(update.nonce());
        generator.writeNumber(update.refutations());
        generator.writeNumber(update.state().ordinal());
        generator.writeString(update.reportedBy());
        generator.writeEndArray();
    }

    /** Throws IOException, with one line, for what is no word. */
    public static MembershipMessage decode(byte[] buf, int from, int size) throws IOException {
        try (JsonParser parser = CBOR.createParser(buf, from, size)) {
            require(parser.nextToken() == JsonToken.START_ARRAY, "no list");
            MembershipMessage.Kind kind = readEnum(parser, MembershipMessage.Kind.values());
            long sequenceNumber = readLong(parser);
            String target = readName(parser);
            require(parser.nextToken() == JsonToken.START_ARRAY, "no speaker");
            MemberInfo sender = readUpdate(parser);
            require(!sender.name().isEmpty() && sender.incarnation() > 0, "a speaker without a name or a life");
            List<MemberInfo> updates = new ArrayList<>();
            for (JsonToken token = parser.nextToken(); token != JsonToken.END_ARRAY; token = parser.nextToken()) {
                require(token == JsonToken.START_ARRAY && updates.size() < MAX_UPDATES,
                        "news that are no list, or too many");
                updates.add(readUpdate(parser));
            }
            require(parser.nextToken() == null, "more behind its end");
            return new MembershipMessage(kind, sender, sequenceNumber, target, updates);
        }
    }

    private static MemberInfo readUpdate(JsonParser parser) throws IOException {
        MemberInfo update = new MemberInfo(readName(parser), readName(parser), readLong(parser), readLong(parser),
                readLong(parser), readEnum(parser, MemberInfo.State.values()),
                readName(parser));
        require(update.incarnation() >= 0 && update.refutations() >= 0, "a life or a turn below 0");
        require(parser.nextToken() == JsonToken.END_ARRAY, "news with more in them");
        return update;
    }

    private static String readName(JsonParser parser) throws IOException {
        require(parser.nextToken() == JsonToken.VALUE_STRING, "no text where one stands");
        String text = parser.getText();
        require(text.length() <= MAX_NAME_CHARS, "a name of " + text.length() + " letters");
        return text;
    }

    private static long readLong(JsonParser parser) throws IOException {
        require(parser.nextToken() == JsonToken.VALUE_NUMBER_INT, "no number where one stands");
        return parser.getLongValue();
    }

    private static <T> T readEnum(JsonParser parser, T[] values) throws IOException {
        long ordinal = readLong(parser);
        require(ordinal >= 0 && ordinal < values.length, "an unknown " + values.getClass().getComponentType()
                .getSimpleName());
        return values[(int) ordinal];
    }

    private static void require(boolean condition, String problem) throws IOException {
        if (!condition) {
            throw new IOException(problem);
        }
    }
}
