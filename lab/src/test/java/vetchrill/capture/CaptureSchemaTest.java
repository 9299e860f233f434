package vetchrill.capture;

import static org.testng.Assert.assertEquals;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.apache.arrow.memory.RootAllocator;
import org.apache.arrow.vector.ipc.ArrowStreamReader;
import org.apache.arrow.vector.types.pojo.Field;
import org.apache.arrow.vector.types.pojo.Schema;
import org.testng.annotations.Test;
import vetchrill.hcl.ConfigBlock;
import vetchrill.routing.Recorder;

/** The columns, their types and the metadata keys of a capture file, against formats/capture-schema.txt. */
@Test
public class CaptureSchemaTest {
    private static final int HEADER_BYTES = 16;

    private static Path resource(String name) {
        return Path.of("src/test/resources", name);
    }

    /** One line for each column and metadata key of each table in the file; read without the classes under test. */
    private static String schemas(byte[] all) throws IOException {
        TreeMap<Integer, String> tables = new TreeMap<>();
        ByteBuffer in = ByteBuffer.wrap(all);
        while (in.remaining() > 0) {
            byte[] magic = new byte[4];
            in.get(magic);
            assertEquals(new String(magic, StandardCharsets.US_ASCII), "VCAP");
            assertEquals(in.get(), 1, "version");
            int table = in.get();
            assertEquals(in.getShort(), 0, "reserved");
            int length = in.getInt();
            in.getInt();
            int from = in.position();
            try (RootAllocator allocator = new RootAllocator(16 << 20);
                    ArrowStreamReader reader = new ArrowStreamReader(new ByteArrayInputStream(all, from, length),
                            allocator)) {
                String text = text(table, reader.getVectorSchemaRoot().getSchema());
                String before = tables.put(table, text);
                assertEquals(text, before == null ? text : before);
            }
            in.position(from + length);
        }
        return String.join("", tables.values());
    }

    private static String text(int table, Schema schema) {
        StringBuilder text = new StringBuilder("table " + table + "\n");
        for (Field field : schema.getFields()) {
            text.append("  ").append(field.getName()).append(' ').append(field.getType())
                    .append(field.isNullable() ? " nullable" : " not null").append('\n');
        }
        Set<String> keys = new TreeSet<>(schema.getCustomMetadata().keySet());
        return text.append("  metadata ").append(String.join(" ", keys)).append('\n').toString();
    }

    private static String expected() throws IOException {
        return Files.readString(resource("formats/capture-schema.txt"));
    }

    public void writesTheListedColumns() throws Exception {
        Path folder = Files.createTempDirectory("captures");
        CaptureWriter writer =
                new CaptureWriter(CaptureConfig.readFrom(ConfigBlock.parse("o.hcl", "capture {\n directory = \""
                + folder + "\"\n zone = \"z\"\n kind = \"k\"\n"
                + " subject_key = \"000102030405060708090a0b0c0d0e0f\"\n}\n")),
                Map.of("name", "r1", "started", "1", "settings", "{}", "program", "1.0"));
        CaptureTest.put(writer, 1_000_000, 1, Recorder.COMPLETED);
        writer.put(writer.claimGaugeRow());
        writer.close();
        assertEquals(schemas(Files.readAllBytes(writer.file())), expected());
    }

    public void theStoredCaptureHasTheListedColumns() throws Exception {
        assertEquals(schemas(Files.readAllBytes(resource("captures/full/r1-1796149828304.vcap"))), expected());
    }
}
