package vetchrill.capture;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.Channels;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.apache.arrow.flatbuf.Message;
import org.apache.arrow.vector.BigIntVector;
import org.apache.arrow.vector.FieldVector;
import org.apache.arrow.vector.Float4Vector;
import org.apache.arrow.vector.IntVector;
import org.apache.arrow.vector.TinyIntVector;
import org.apache.arrow.vector.VectorSchemaRoot;
import org.apache.arrow.vector.ipc.ArrowStreamWriter;
import org.apache.arrow.vector.types.FloatingPointPrecision;
import org.apache.arrow.vector.types.pojo.ArrowType;
import org.apache.arrow.vector.types.pojo.Field;
import org.apache.arrow.vector.types.pojo.Schema;

/**
 * The two tables of a capture in Arrow's columns, and how a part of a file is laid out: "VCAP", a byte for the
 * version, a byte for the table, two of zero, the length and the CRC-32C of what follows as big-endian numbers of
 * four bytes, then a whole Arrow stream of one batch. Each part has its schema and provenance in it, so that each can
 * be read alone.
 */
final class Parts {
    static final byte[] MAGIC = {'V', 'C', 'A', 'P'};
    static final int VERSION = 1;
    static final int HEAD = 16;
    static final byte EXCHANGES = 1;
    static final byte LOOKS = 2;
    /** Nothing follows: the recorder was closed. It has no rows, only its provenance with the last counts. */
    static final byte END = 3;
    static final int LONGEST = 64 << 20;
    private static final int CONTINUED = -1;

    static final List<String> EXCHANGE_COLUMNS = List.of("arrived", "heard", "group", "customer", "stub", "subject",
            "kb",
            "bytes", "begun", "took", "answered", "answer", "away", "give_up");
    static final List<String> LOOK_COLUMNS = List.of("at", "cpu", "runnable", "memory", "connections", "open",
            "running");

    private Parts() {
    }

    private static Field field(String name) {
        ArrowType type = switch (name) {
            case "group", "answer", "give_up" -> new ArrowType.Int(8, true);
            case "customer", "bytes", "connections", "open", "running", "heard", "took", "away" ->
                    new ArrowType.Int(32, true);
            case "kb", "cpu", "runnable", "memory" -> new ArrowType.FloatingPoint(FloatingPointPrecision.SINGLE);
            default -> new ArrowType.Int(64, true);
        };
        return new Field(name, new org.apache.arrow.vector.types.pojo.FieldType(false, type, null), null);
    }

    static Schema schema(byte table, Map<String, String> provenance) {
        List<Field> fields = new ArrayList<>();
        for (String name : table == LOOKS ? LOOK_COLUMNS : EXCHANGE_COLUMNS) {
            fields.add(field(name));
        }
        return new Schema(fields, provenance);
    }

    /** A filled column is set by row; values are checked by whoever reads them. */
    static void set(FieldVector column, int row, double value) {
        if (column instanceof BigIntVector longs) {
            longs.setSafe(row, (long) value);
        } else if (column instanceof IntVector ints) {
            ints.setSafe(row, (int) Math.max(Integer.MIN_VALUE, Math.min(Integer.MAX_VALUE, (long) value)));
        } else if (column instanceof TinyIntVector bytes) {
            bytes.setSafe(row, (byte) value);
        } else {
            ((Float4Vector) column).setSafe(row, (float) value);
        }
    }

    static void set(FieldVector column, int row, long value) {
        if (column instanceof BigIntVector longs) {
            longs.setSafe(row, value);
        } else {
            set(column, row, (double) value);
        }
    }

    /** One part, whole. */
    static byte[] write(VectorSchemaRoot rows, byte table) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(1 << 16);
        bytes.write(new byte[HEAD]);
        try (ArrowStreamWriter writer = new ArrowStreamWriter(rows, null, Channels.newChannel(bytes))) {
            writer.start();
            writer.writeBatch();
            writer.end();
        }
        byte[] part = bytes.toByteArray();
        java.util.zip.CRC32C sum = new java.util.zip.CRC32C();
        sum.update(part, HEAD, part.length - HEAD);
        System.arraycopy(MAGIC, 0, part, 0, MAGIC.length);
        part[4] = VERSION;
        part[5] = table;
        put(part, 8, part.length - HEAD);
        put(part, 12, (int) sum.getValue());
        return part;
    }

    /**
     * Whether each message of the Arrow stream in a part claims no more bytes than there are: the library makes room
     * for whatever is claimed before it reads any of it.
     */
    static boolean claimsWhatItHas(byte[] all, int from, int length) {
        ByteBuffer in = ByteBuffer.wrap(all, from, length).order(ByteOrder.LITTLE_ENDIAN);
        while (in.remaining() >= 4) {
            int size = in.getInt();
            if (size == CONTINUED) {
                if (in.remaining() < 4) {
                    return false;
                }
                size = in.getInt();
            }
            if (size == 0) {
                return true;
            }
            if (size < 0 || size > in.remaining()) {
                return false;
            }
            long body = Message.getRootAsMessage(in.slice().limit(size).order(ByteOrder.LITTLE_ENDIAN)).bodyLength();
            in.position(in.position() + size);
            if (body < 0 || body > in.remaining()) {
                return false;
            }
            in.position(in.position() + (int) body);
        }
        return true;
    }

    static void put(byte[] to, int at, int value) {
        to[at] = (byte) (value >> 24);
        to[at + 1] = (byte) (value >> 16);
        to[at + 2] = (byte) (value >> 8);
        to[at + 3] = (byte) value;
    }

    static int number(byte[] from, int at) {
        return (from[at] & 0xff) << 24 | (from[at + 1] & 0xff) << 16 | (from[at + 2] & 0xff) << 8 | from[at + 3] & 0xff;
    }
}
