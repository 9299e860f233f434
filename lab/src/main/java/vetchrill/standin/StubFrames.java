package vetchrill.standin;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/** Writes and reads frames as a client stub does, independently of the parsers of the module {@code instance}. */
public final class StubFrames {
    public static final int EXCHANGE = 2;
    public static final int ANSWER = 4;
    public static final int CHECK = 16;
    public static final int GO_AWAY = 64;
    public static final int COMPLETED = 79;
    public static final int DENIED = 66;
    public static final int TERMINATED = 69;

    /** A received frame; {@code fields} and {@code body} are those of an answer. */
    public record Frame(int type, int stream, int code, Map<String, String> fields, byte[] body) {
    }

    private StubFrames() {
    }

    /** Returns a complete frame with its length, type and stream number. */
    public static byte[] frame(int type, int stream, byte[] payload) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(payload.length + 9);
        DataOutputStream data = new DataOutputStream(bytes);
        try {
            data.writeInt(5 + payload.length);
            data.writeByte(type);
            data.writeInt(stream);
            data.write(payload);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return bytes.toByteArray();
    }

    /** Returns a payload of fields and a body; {@code fields} alternates between names and values. */
    public static byte[] payload(byte[] body, String... fields) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream data = new DataOutputStream(bytes);
        try {
            data.writeByte(fields.length / 2);
            for (int i = 0; i < fields.length; i += 2) {
                data.writeByte(fields[i].length());
                data.writeBytes(fields[i]);
                data.writeShort(fields[i + 1].length());
                data.writeBytes(fields[i + 1]);
            }
            data.write(body);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return bytes.toByteArray();
    }

    /** Reads the next frame; returns null at the end of the connection. */
    public static Frame read(DataInputStream in) throws IOException {
        int length;
        try {
            length = in.readInt();
        } catch (EOFException | SocketException e) {
            return null;
        }
        int type = in.readUnsignedByte();
        int stream = in.readInt();
        byte[] payload = in.readNBytes(length - 5);
        if (payload.length < length - 5) {
            return null;
        }
        Map<String, String> fields = new HashMap<>();
        int code = payload.length == 0 ? 0 : payload[0] & 0xff;
        int offset = 2;
        for (int i = 0; payload.length > 1 && i < (payload[1] & 0xff); i++) {
            int nameSize = payload[offset] & 0xff;
            String name = new String(payload, offset + 1, nameSize, StandardCharsets.ISO_8859_1);
            offset += 1 + nameSize;
            int valueSize = (payload[offset] & 0xff) << 8 | payload[offset + 1] & 0xff;
            fields.put(name, new String(payload, offset + 2, valueSize, StandardCharsets.ISO_8859_1));
            offset += 2 + valueSize;
        }
        return new Frame(type, stream, code, fields,
                payload.length <= offset ? new byte[0] : Arrays.copyOfRange(payload, offset, payload.length));
    }
}
