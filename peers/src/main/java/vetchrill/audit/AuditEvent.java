package vetchrill.audit;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;

/**
 * One line of a record. Which fields have a meaning depends on its kind; all of them are written, so that one shape is
 * read for all.
 *
 * @param kind what it tells
 * @param hybridTime see {@link HybridLogicalClock}
 * @param id of an exchange; else a number as the kind says
 * @param version by which it was decided, or that it is about
 * @param group and {@code customer}: places in the settings that the life names
 * @param answer as in the recorder: completed 1, denied 2, terminated 3, left 4
 * @param instanceTime tenths of a millisecond of the instance's own clock, which never steps
 * @param text a name, a digest or what staff was told
 * @param detail another text
 */
public record AuditEvent(Kind kind, long hybridTime, long id, long version, int group, int customer, int answer,
        long instanceTime,
        String text, String detail) {
    public enum Kind {
        /** A process begins: its name, number (id), and in {@code more} what it is. */
        LIFE,
        /** From here on what arrives is decided by that version, whose content has the digest in {@code text}. */
        TAKEN,
        /** A run was asked for. */
        BEGUN,
        /** The exchange is over: answered, and nothing of it runs any more. */
        OVER,
        /** Something that staff was told: {@code text} which, {@code more} of whom and why. */
        EVENT,
        /** Another instance, {@code text}, says that its record has come to block {@code id}, digest {@code more}. */
        HEAD,
        /** So many rows (id) found no room since the last of these. */
        LEFT_OUT,
        /** The process ended in its order. */
        END
    }

    private static final Kind[] KINDS = Kind.values();
    private static final int FIELD_COUNT = 10;

    static void write(JsonGenerator out, Kind kind, long hybridTime, long id, long version, int group, int customer,
            int answer, long instanceTime, String text, String detail) throws IOException {
        out.writeStartArray(null, FIELD_COUNT);
        out.writeNumber(kind.ordinal());
        out.writeNumber(hybridTime);
        out.writeNumber(id);
        out.writeNumber(version);
        out.writeNumber(group);
        out.writeNumber(customer);
        out.writeNumber(answer);
        out.writeNumber(instanceTime);
        out.writeString(text);
        out.writeString(detail);
        out.writeEndArray();
    }

    /** Null at the end. */
    static AuditEvent read(JsonParser in) throws IOException {
        JsonToken token = in.nextToken();
        if (token == null) {
            return null;
        }
        if (token != JsonToken.START_ARRAY) {
            throw new IOException("no row");
        }
        int kind = in.nextIntValue(-1);
        if (kind < 0 || kind >= KINDS.length) {
            throw new IOException("a row of an unknown kind");
        }
        AuditEvent event = new AuditEvent(KINDS[kind], in.nextLongValue(0), in.nextLongValue(0), in.nextLongValue(0),
                in.nextIntValue(0), in.nextIntValue(0), in.nextIntValue(0), in.nextLongValue(0), text(in), text(in));
        if (in.nextToken() != JsonToken.END_ARRAY) {
            throw new IOException("a row of another length");
        }
        return event;
    }

    private static String text(JsonParser in) throws IOException {
        String text = in.nextTextValue();
        return text == null ? "" : text;
    }
}
