package vetchrill.capture;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.Channels;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32C;
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
import org.apache.arrow.vector.types.pojo.FieldType;
import org.apache.arrow.vector.types.pojo.Schema;

/**
 * The format of a capture file: a sequence of parts, each with rows of one of two tables.
 *
 * <p>A part is {@code VCAP}, one byte for the version, one for the table, two that are zero, the length and the CRC-32C
 * of the rest as big-endian integers of four bytes, then a complete Arrow stream of one batch. Each part contains its
 * schema and metadata, so it can be read without the others.
 */
final class CaptureFormat {
    static final byte[] MAGIC = {'V', 'C', 'A', 'P'};
    static final int VERSION = 1;
    static final int HEADER_BYTES = 16;
    static final int VERSION_OFFSET_BYTES = 4;
    static final int TABLE_OFFSET_BYTES = 5;
    /** Of the two bytes that are zero. */
    static final int RESERVED_OFFSET_BYTES = 6;
    static final int LENGTH_OFFSET_BYTES = 8;
    static final int CHECKSUM_OFFSET_BYTES = 12;
    // The tables.
    static final byte EXCHANGES = 1;
    static final byte GAUGES = 2;
    /** The last part of a file whose recorder was closed. It has no rows, only its metadata with the final counts. */
    static final byte END = 3;
    static final int MAX_PART_BYTES = 64 << 20;
    /** Precedes the length of a message in an Arrow stream. */
    private static final int CONTINUATION_MARKER = -1;

    static final List<String> EXCHANGE_COLUMNS = List.of("arrived", "heard", "group", "customer", "stub", "subject",
            "kb", "bytes", "begun", "took", "answered", "answer", "away", "give_up");
    static final List<String> GAUGE_COLUMNS = List.of("at", "cpu", "runnable", "memory", "connections", "open",
            "running");

    private CaptureFormat() {
    }

    /** Returns the column of that name with its type. */
    private static Field field(String name) {
        ArrowType type = switch (name) {
            case "group", "answer", "give_up" -> new ArrowType.Int(8, true);
            case "customer", "bytes", "connections", "open", "running", "heard", "took", "away" ->
                    new ArrowType.Int(32, true);
            case "kb", "cpu", "runnable", "memory" -> new ArrowType.FloatingPoint(FloatingPointPrecision.SINGLE);
            default -> new ArrowType.Int(64, true);
        };
        return new Field(name, new FieldType(false, type, null), null);
    }

    /** Returns the schema of a part; the end part has the columns of the exchanges. */
    static Schema schema(byte table, Map<String, String> metadata) {
        List<Field> fields = new ArrayList<>();
        for (String name : table == GAUGES ? GAUGE_COLUMNS : EXCHANGE_COLUMNS) {
            fields.add(field(name));
        }
        return new Schema(fields, metadata);
    }

    /** Sets a value of a column, converted to its type. The reader checks the range of values. */
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

    /** Returns one complete part with the given rows. */
    static byte[] encode(VectorSchemaRoot rows, byte table) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(1 << 16);
        bytes.write(new byte[HEADER_BYTES]);
        try (ArrowStreamWriter writer = new ArrowStreamWriter(rows, null, Channels.newChannel(bytes))) {
            writer.start();
            writer.writeBatch();
            writer.end();
        }
        byte[] part = bytes.toByteArray();
        CRC32C checksum = new CRC32C();
        checksum.update(part, HEADER_BYTES, part.length - HEADER_BYTES);
        System.arraycopy(MAGIC, 0, part, 0, MAGIC.length);
        part[VERSION_OFFSET_BYTES] = VERSION;
        part[TABLE_OFFSET_BYTES] = table;
        putInt(part, LENGTH_OFFSET_BYTES, part.length - HEADER_BYTES);
        putInt(part, CHECKSUM_OFFSET_BYTES, (int) checksum.getValue());
        return part;
    }

    /**
     * Whether no message of the Arrow stream in a part declares more bytes than there are. The library allocates the
     * declared lengths before it reads any data.
     */
    static boolean declaredLengthsFit(byte[] bytes, int offset, int length) {
        ByteBuffer in = ByteBuffer.wrap(bytes, offset, length).order(ByteOrder.LITTLE_ENDIAN);
        while (in.remaining() >= 4) {
            int messageBytes = in.getInt();
            if (messageBytes == CONTINUATION_MARKER) {
                if (in.remaining() < 4) {
                    return false;
                }
                messageBytes = in.getInt();
            }
            if (messageBytes == 0) {
                return true;
            }
            if (messageBytes < 0 || messageBytes > in.remaining()) {
                return false;
            }
            long bodyBytes = Message.getRootAsMessage(in.slice().limit(messageBytes).order(ByteOrder.LITTLE_ENDIAN))
                    .bodyLength();
            in.position(in.position() + messageBytes);
            if (bodyBytes < 0 || bodyBytes > in.remaining()) {
                return false;
            }
            in.position(in.position() + (int) bodyBytes);
        }
        return true;
    }

    static void putInt(byte[] bytes, int offset, int value) {
        bytes[offset] = (byte) (value >> 24);
        bytes[offset + 1] = (byte) (value >> 16);
        bytes[offset + 2] = (byte) (value >> 8);
        bytes[offset + 3] = (byte) value;
    }

    static int getInt(byte[] bytes, int offset) {
        return (bytes[offset] & 0xff) << 24 | (bytes[offset + 1] & 0xff) << 16 | (bytes[offset
                + 2] & 0xff) << 8 | bytes[offset + 3] & 0xff;
    }
}
