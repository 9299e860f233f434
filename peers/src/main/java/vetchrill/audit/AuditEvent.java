package vetchrill.audit;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;

/**
 * One event of the audit log. Which fields have a meaning depends on the kind; all of them are written, so that all
 * events have one format.
 *
 * @param hybridTime a timestamp of {@link HybridLogicalClock}
 * @param id of an exchange; else a number that depends on the kind
 * @param version the version that an exchange was decided by, or that the event is about
 * @param group index in the settings that the process was started with, as is {@code customer}
 * @param answer as in {@link vetchrill.routing.Recorder}: 1 completed, 2 denied, 3 terminated, 4 disconnected
 * @param instanceTime tenths of a millisecond of the instance's own clock, which never steps
 * @param text a name, a digest or the name of a notice, by kind
 * @param detail a second text, by kind
 */
public record AuditEvent(Kind kind, long hybridTime, long id, long version, int group, int customer, int answer,
        long instanceTime, String text, String detail) {
    /** Written to the disk by ordinal and to tables and pages by name, so neither may change. */
    public enum Kind {
        /** A process started: its nonce (id), its name (text), and its program and settings (detail). */
        LIFE,
        /** The version became active: exchanges that arrive from here on are decided by it. */
        TAKEN,
        /** A run was requested for the exchange for the first time. */
        BEGUN,
        /** The exchange was answered, and nothing of it runs any more. */
        OVER,
        /** A notice to staff: its name (text), and the instance that it is about and the reason (detail). */
        EVENT,
        /** Another instance (text) reported that its audit log has come to a block (id) with that digest (detail). */
        HEAD,
        /** So many events (id) were left out for lack of room since the last event of this kind. */
        LEFT_OUT,
        /** The process ended by an orderly shutdown. */
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

    /** Reads the next event; null at the end of the block. */
    static AuditEvent read(JsonParser in) throws IOException {
        JsonToken token = in.nextToken();
        if (token == null) {
            return null;
        }
        if (token != JsonToken.START_ARRAY) {
            throw new IOException("not an audit event");
        }
        int kind = in.nextIntValue(-1);
        if (kind < 0 || kind >= KINDS.length) {
            throw new IOException("an audit event of unknown kind");
        }
        AuditEvent event = new AuditEvent(KINDS[kind], in.nextLongValue(0), in.nextLongValue(0), in.nextLongValue(0),
                in.nextIntValue(0), in.nextIntValue(0), in.nextIntValue(0), in.nextLongValue(0), text(in), text(in));
        if (in.nextToken() != JsonToken.END_ARRAY) {
            throw new IOException("an audit event with a wrong number of fields");
        }
        return event;
    }

    private static String text(JsonParser in) throws IOException {
        String text = in.nextTextValue();
        return text == null ? "" : text;
    }
}
