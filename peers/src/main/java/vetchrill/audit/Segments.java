package vetchrill.audit;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.DataInputStream;
import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.zip.CRC32C;
import vetchrill.versions.Digests;

/**
 * The files of a record. A segment begins with a head of fixed size: format, the name of its instance, its number, the
 * number of its first block, the digest before it. Each block is its length, a CRC-32C of what follows, its digest
 * (SHA-256 of the digest before it and of its rows) and its rows, one CBOR item after the other (RFC 8742).
 */
public final class Segments {
    static final CBORFactory CBOR = new CBORFactory();
    static final byte[] FORMAT = "VAUDIT01".getBytes(StandardCharsets.US_ASCII);
    static final int DIGEST = 32;
    static final int NAME = 128;
    static final int HEAD = 8 + NAME + 8 + 8 + DIGEST;
    static final int BLOCK_HEAD = 4 + 4 + DIGEST;
    static final int LONGEST_BLOCK = 8 << 20;

    /** The head of one segment. */
    public record Head(String name, long number, long firstBlock, byte[] before) {
        byte[] bytes() {
            ByteBuffer head = ByteBuffer.allocate(HEAD);
            byte[] text = name.getBytes(StandardCharsets.UTF_8);
            head.put(FORMAT).put(text, 0, Math.min(NAME, text.length)).position(8 + NAME);
            return head.putLong(number).putLong(firstBlock).put(before).array();
        }

        static Head of(byte[] bytes) throws IOException {
            ByteBuffer head = ByteBuffer.wrap(bytes);
            byte[] format = new byte[FORMAT.length];
            byte[] name = new byte[NAME];
            byte[] before = new byte[DIGEST];
            head.get(format).get(name);
            if (!java.util.Arrays.equals(format, FORMAT)) {
                throw new IOException("no segment of a record, or of another format");
            }
            long number = head.getLong();
            long first = head.getLong();
            head.get(before);
            return new Head(new String(name, StandardCharsets.UTF_8).trim(), number, first, before);
        }
    }

    /** Who is told of a record in the order in which it was written. */
    public interface Reader {
        default void segment(Path file, Head head) {
        }

        /** A block whose checksum is right; {@code chained} where its digest follows from the one before. */
        default void block(Path file, long number, byte[] digest, boolean chained) {
        }

        void row(Row row) throws IOException;

        /** What follows can't be read: at a file's end a write that was torn, elsewhere damage. */
        default void broken(Path file, long at, long left, String why) {
        }
    }

    private Segments() {
    }

    static Path file(Path folder, String name, long number) {
        return folder.resolve(String.format("%s-%08d.audit", name, number));
    }

    /** All of a folder, by name and number. */
    public static List<Path> in(Path folder) throws IOException {
        try (var files = Files.list(folder)) {
            return new ArrayList<>(files.filter(each -> each.getFileName().toString().endsWith(".audit")).sorted()
                    .toList());
        }
    }

    static byte[] digest(byte[] before, byte[] rows, int size) {
        MessageDigest sha = Digests.sha256();
        sha.update(before);
        sha.update(rows, 0, size);
        return sha.digest();
    }

    static byte[] block(byte[] digest, byte[] rows, int size) {
        ByteBuffer block = ByteBuffer.allocate(BLOCK_HEAD + size);
        block.putInt(size).putInt(0).put(digest).put(rows, 0, size);
        CRC32C crc = new CRC32C();
        crc.update(block.array(), 8, DIGEST + size);
        return block.putInt(4, (int) crc.getValue()).array();
    }

    /** Reads one segment; how many octets of it are whole, and its last digest and block number. */
    public record End(long whole, byte[] digest, long nextBlock) {
    }

    public static End read(Path file, Reader reader) throws IOException {
        try (DataInputStream in = new DataInputStream(new BufferedInputStream(Files.newInputStream(file), 1 << 16))) {
            long left = Files.size(file);
            byte[] start = in.readNBytes(HEAD);
            if (start.length < HEAD) {
                reader.broken(file, 0, left, "the head is torn");
                return new End(0, new byte[DIGEST], 0);
            }
            Head head = Head.of(start);
            reader.segment(file, head);
            byte[] digest = head.before();
            long number = head.firstBlock();
            long at = HEAD;
            while (at < left) {
                String wrong = null;
                byte[] rows = null;
                byte[] its = new byte[DIGEST];
                try {
                    int size = in.readInt();
                    int crc = in.readInt();
                    if (size < 0 || size > LONGEST_BLOCK) {
                        wrong = "a block of " + size + " octets";
                    } else {
                        in.readFully(its);
                        rows = new byte[size];
                        in.readFully(rows);
                        CRC32C check = new CRC32C();
                        check.update(its);
                        check.update(rows);
                        wrong = (int) check.getValue() == crc ? null : "a block with a wrong checksum";
                    }
                } catch (EOFException e) {
                    wrong = "a block that is torn";
                }
                if (wrong != null) {
                    reader.broken(file, at, left - at, wrong);
                    return new End(at, digest, number);
                }
                byte[] should = digest(digest, rows, rows.length);
                reader.block(file, number, its, MessageDigest.isEqual(should, its));
                try (JsonParser parser = CBOR.createParser(rows)) {
                    for (Row row = Row.read(parser); row != null; row = Row.read(parser)) {
                        reader.row(row);
                    }
                }
                digest = its;
                number++;
                at += BLOCK_HEAD + rows.length;
            }
            return new End(at, digest, number);
        }
    }

    public static String hex(byte[] digest) {
        return HexFormat.of().formatHex(digest);
    }
}
