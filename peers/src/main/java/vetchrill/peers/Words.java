package vetchrill.peers;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import vetchrill.members.News;
import vetchrill.members.Word;

/**
 * Words between instances as CBOR (RFC 8949), in arrays without names: kind, number, about, then the news of the
 * speaker and whatever goes along. What can't be read is refused whole.
 */
public final class Words {
    public static final int LONGEST = 256 << 10;
    private static final int LONGEST_NAME = 128;
    private static final int MOST_NEWS = 4_096;
    private static final CBORFactory CBOR = new CBORFactory();

    private Words() {
    }

    public static byte[] write(Word word) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(64 + 48 * (1 + word.news().size()));
        try (JsonGenerator out = CBOR.createGenerator(bytes)) {
            out.writeStartArray(null, 4 + word.news().size());
            out.writeNumber(word.kind().ordinal());
            out.writeNumber(word.number());
            out.writeString(word.about());
            write(out, word.from());
            for (News each : word.news()) {
                write(out, each);
            }
            out.writeEndArray();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return bytes.toByteArray();
    }

    private static void write(JsonGenerator out, News news) throws IOException {
        out.writeStartArray(null, 7);
        out.writeString(news.name());
        out.writeString(news.zone());
        out.writeNumber(news.life());
        out.writeNumber(news.nonce());
        out.writeNumber(news.turn());
        out.writeNumber(news.state().ordinal());
        out.writeString(news.by());
        out.writeEndArray();
    }

    /** Throws IOException, with one line, for what is no word. */
    public static Word read(byte[] buf, int from, int size) throws IOException {
        try (JsonParser in = CBOR.createParser(buf, from, size)) {
            want(in.nextToken() == JsonToken.START_ARRAY, "no list");
            Word.Kind kind = one(in, Word.Kind.values());
            long number = whole(in);
            String about = name(in);
            want(in.nextToken() == JsonToken.START_ARRAY, "no speaker");
            News speaker = news(in);
            want(!speaker.name().isEmpty() && speaker.life() > 0, "a speaker without a name or a life");
            List<News> news = new ArrayList<>();
            for (JsonToken token = in.nextToken(); token != JsonToken.END_ARRAY; token = in.nextToken()) {
                want(token == JsonToken.START_ARRAY && news.size() < MOST_NEWS, "news that are no list, or too many");
                news.add(news(in));
            }
            want(in.nextToken() == null, "more behind its end");
            return new Word(kind, speaker, number, about, news);
        }
    }

    private static News news(JsonParser in) throws IOException {
        News news = new News(name(in), name(in), whole(in), whole(in), whole(in), one(in, News.State.values()),
                name(in));
        want(news.life() >= 0 && news.turn() >= 0, "a life or a turn below 0");
        want(in.nextToken() == JsonToken.END_ARRAY, "news with more in them");
        return news;
    }

    private static String name(JsonParser in) throws IOException {
        want(in.nextToken() == JsonToken.VALUE_STRING, "no text where one stands");
        String text = in.getText();
        want(text.length() <= LONGEST_NAME, "a name of " + text.length() + " letters");
        return text;
    }

    private static long whole(JsonParser in) throws IOException {
        want(in.nextToken() == JsonToken.VALUE_NUMBER_INT, "no number where one stands");
        return in.getLongValue();
    }

    private static <T> T one(JsonParser in, T[] of) throws IOException {
        long at = whole(in);
        want(at >= 0 && at < of.length, "an unknown " + of.getClass().getComponentType().getSimpleName());
        return of[(int) at];
    }

    private static void want(boolean is, String wrong) throws IOException {
        if (!is) {
            throw new IOException(wrong);
        }
    }
}
