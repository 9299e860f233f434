package vetchrill.weigh;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.channels.Channels;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.apache.arrow.memory.RootAllocator;
import org.apache.arrow.vector.BigIntVector;
import org.apache.arrow.vector.VectorSchemaRoot;
import org.apache.arrow.vector.ipc.ArrowStreamWriter;
import org.apache.arrow.vector.types.pojo.ArrowType;
import org.apache.arrow.vector.types.pojo.Field;
import org.apache.arrow.vector.types.pojo.FieldType;
import org.apache.arrow.vector.types.pojo.Schema;
import org.apache.hadoop.conf.Configuration;
import org.apache.parquet.example.data.Group;
import org.apache.parquet.example.data.simple.SimpleGroupFactory;
import org.apache.parquet.hadoop.ParquetFileReader;
import org.apache.parquet.hadoop.ParquetWriter;
import org.apache.parquet.hadoop.example.ExampleParquetWriter;
import org.apache.parquet.hadoop.metadata.CompressionCodecName;
import org.apache.parquet.io.LocalInputFile;
import org.apache.parquet.io.LocalOutputFile;
import org.apache.parquet.schema.MessageType;
import org.apache.parquet.schema.PrimitiveType.PrimitiveTypeName;
import org.apache.parquet.schema.Types;

/** The same rows as columns of Arrow and of Parquet: size, cost of writing, and what is left of a file that is cut. */
public final class Weigh {
    private static final int ROWS = 200_000;
    private static final int PART = 4_096;
    private static final int COLUMNS = 14;

    private Weigh() {
    }

    public static void main(String[] args) throws IOException {
        long[][] rows = rows();
        Path folder = Files.createTempDirectory("weigh");
        for (int i = 0; i < 3; i++) {
            arrow(rows, folder.resolve("a.arrow"), i == 2);
            parquet(rows, folder.resolve("p" + i + ".parquet"), CompressionCodecName.UNCOMPRESSED, i == 2);
            parquet(rows, folder.resolve("s" + i + ".parquet"), CompressionCodecName.SNAPPY, i == 2);
        }
        Path cut = folder.resolve("cut.parquet");
        byte[] whole = Files.readAllBytes(folder.resolve("p2.parquet"));
        Files.write(cut, java.util.Arrays.copyOf(whole, whole.length * 9 / 10));
        try (ParquetFileReader reader = ParquetFileReader.open(new LocalInputFile(cut))) {
            System.out.println("parquet, cut at nine tenths: " + reader.getRecordCount() + " rows read");
        } catch (IOException | RuntimeException e) {
            System.out.println("parquet, cut at nine tenths: nothing read: " + e.getMessage());
        }
    }

    /** Times that grow, small numbers, hashes and nulls, as a capture has them. */
    private static long[][] rows() {
        SplittableRandom chance = new SplittableRandom(1);
        long[][] rows = new long[ROWS][COLUMNS];
        long at = 17_961_487_860_000L;
        for (long[] row : rows) {
            at += chance.nextInt(100);
            row[0] = at;
            row[1] = 100 + chance.nextInt(200);
            row[2] = chance.nextInt(3);
            row[3] = chance.nextInt(3);
            row[4] = chance.nextInt(170);
            row[5] = chance.nextInt(2) == 0 ? 0 : chance.nextInt(20_000) * 0x9E3779B97F4A7C15L;
            row[6] = 14_000 + chance.nextInt(30_000);
            row[7] = chance.nextInt(400);
            row[8] = at + row[1] + 20;
            row[9] = 400 + chance.nextInt(2_000);
            row[10] = row[8] + row[9];
            row[11] = 1 + chance.nextInt(2);
            row[12] = chance.nextInt(10) == 0 ? chance.nextInt(5_000) : 0;
        }
        return rows;
    }

    private static void tell(String what, long began, Path file, boolean told) throws IOException {
        if (told) {
            System.out.printf("%s: %.0f ns and %.1f bytes a row%n", what, (System.nanoTime() - began) / (double) ROWS,
                    Files.size(file) / (double) ROWS);
        }
    }

    private static void arrow(long[][] rows, Path file, boolean told) throws IOException {
        long began = System.nanoTime();
        List<Field> fields = new ArrayList<>();
        for (int c = 0; c < COLUMNS; c++) {
            // The widths of the capture's columns: eight bytes for times, stub and subject, fewer for the rest.
            fields.add(new Field("c" + c, new FieldType(false, new ArrowType.Int(64, true), null), null));
        }
        try (RootAllocator memory = new RootAllocator();
                VectorSchemaRoot root = VectorSchemaRoot.create(new Schema(fields), memory);
                var out = Files.newOutputStream(file)) {
            for (int from = 0; from < ROWS; from += PART) {
                int n = Math.min(PART, ROWS - from);
                for (int c = 0; c < COLUMNS; c++) {
                    BigIntVector column = (BigIntVector) root.getVector(c);
                    for (int i = 0; i < n; i++) {
                        column.setSafe(i, rows[from + i][c]);
                    }
                }
                root.setRowCount(n);
                ByteArrayOutputStream part = new ByteArrayOutputStream();
                try (ArrowStreamWriter writer = new ArrowStreamWriter(root, null, Channels.newChannel(part))) {
                    writer.start();
                    writer.writeBatch();
                    writer.end();
                }
                part.writeTo(out);
            }
        }
        tell("arrow, all columns of eight bytes", began, file, told);
    }

    private static void parquet(long[][] rows, Path file, CompressionCodecName codec, boolean told) throws IOException {
        long began = System.nanoTime();
        Types.MessageTypeBuilder schema = Types.buildMessage();
        for (int c = 0; c < COLUMNS; c++) {
            schema.required(PrimitiveTypeName.INT64).named("c" + c);
        }
        MessageType type = schema.named("rows");
        SimpleGroupFactory groups = new SimpleGroupFactory(type);
        try (ParquetWriter<Group> writer = ExampleParquetWriter.builder(new LocalOutputFile(file)).withType(type)
                .withConf(new Configuration(false)).withCompressionCodec(codec).build()) {
            for (long[] row : rows) {
                Group group = groups.newGroup();
                for (int c = 0; c < COLUMNS; c++) {
                    group.add(c, row[c]);
                }
                writer.write(group);
            }
        }
        tell("parquet, " + codec.name().toLowerCase(), began, file, told);
    }
}
