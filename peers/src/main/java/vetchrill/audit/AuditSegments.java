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
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.zip.CRC32C;
import vetchrill.versions.Digests;

/**
 * The file format of the audit log. A segment begins with a header of fixed size: format, the name of its instance, its
 * number, the number of its first block, and the digest of the block before that. Each block is the length of its
 * events, a CRC-32C of the rest, its digest (SHA-256 of the previous block's digest and of its events) and its events,
 * a CBOR sequence (RFC 8742). The digests chain all blocks of a log, so a later change of a block is detected.
 */
public final class AuditSegments {
    static final CBORFactory CBOR = new CBORFactory();
    static final byte[] FORMAT = "VAUDIT01".getBytes(StandardCharsets.US_ASCII);
    private static final int FORMAT_BYTES = 8;
    static final int DIGEST_BYTES = 32;
    static final int NAME_BYTES = 128;
    static final int HEADER_BYTES = FORMAT_BYTES + NAME_BYTES + 2 * Long.BYTES + DIGEST_BYTES;
    private static final int BLOCK_CRC_OFFSET_BYTES = Integer.BYTES;
    /** Of the digest, the first field of a block that its checksum covers. */
    private static final int BLOCK_DIGEST_OFFSET_BYTES = 2 * Integer.BYTES;
    static final int BLOCK_HEADER_BYTES = BLOCK_DIGEST_OFFSET_BYTES + DIGEST_BYTES;
    static final int MAX_BLOCK_BYTES = 8 << 20;

    /** The header of a segment; a name of more than {@link #NAME_BYTES} is cut off. */
    public record Header(String name, long number, long firstBlock, byte[] previousDigest) {
        byte[] encode() {
            ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES);
            byte[] text = name.getBytes(StandardCharsets.UTF_8);
            buffer.put(FORMAT).put(text, 0, Math.min(NAME_BYTES, text.length)).position(FORMAT_BYTES + NAME_BYTES);
            return buffer.putLong(number).putLong(firstBlock).put(previousDigest).array();
        }

        static Header decode(byte[] bytes) throws IOException {
            ByteBuffer buffer = ByteBuffer.wrap(bytes);
            byte[] format = new byte[FORMAT.length];
            byte[] name = new byte[NAME_BYTES];
            byte[] previousDigest = new byte[DIGEST_BYTES];
            buffer.get(format).get(name);
            if (!Arrays.equals(format, FORMAT)) {
                throw new IOException("not a segment of an audit log, or of another format");
            }
            long number = buffer.getLong();
            long firstBlock = buffer.getLong();
            buffer.get(previousDigest);
            return new Header(new String(name, StandardCharsets.UTF_8).trim(), number, firstBlock, previousDigest);
        }
    }

    /** Receives the content of a segment in the order in which it was written. */
    public interface Visitor {
        default void segment(Path file, Header header) {
        }

        /** A block with a valid checksum; {@code chained} if its digest follows from the previous block's. */
        default void block(Path file, long number, byte[] digest, boolean chained) {
        }

        void event(AuditEvent event) throws IOException;

        /** The rest of the file can't be read: a torn write if it is at the end of the log, else damage. */
        default void unreadable(Path file, long offset, long remaining, String problem) {
        }
    }

    private AuditSegments() {
    }

    static Path segmentPath(Path folder, String name, long number) {
        return folder.resolve(String.format("%s-%08d.audit", name, number));
    }

    /** All segments in a directory, sorted by name and number. */
    public static List<Path> filesIn(Path folder) throws IOException {
        try (var files = Files.list(folder)) {
            return new ArrayList<>(files.filter(each -> each.getFileName().toString().endsWith(".audit")).sorted()
                    .toList());
        }
    }

    /** The digest of the block whose events are the first {@code size} bytes of {@code payload}. */
    static byte[] chainedDigest(byte[] previousDigest, byte[] payload, int size) {
        MessageDigest sha = Digests.sha256();
        sha.update(previousDigest);
        sha.update(payload, 0, size);
        return sha.digest();
    }

    static byte[] encodeBlock(byte[] digest, byte[] payload, int size) {
        ByteBuffer block = ByteBuffer.allocate(BLOCK_HEADER_BYTES + size);
        block.putInt(size).putInt(0).put(digest).put(payload, 0, size);
        CRC32C crc = new CRC32C();
        crc.update(block.array(), BLOCK_DIGEST_OFFSET_BYTES, DIGEST_BYTES + size);
        return block.putInt(BLOCK_CRC_OFFSET_BYTES, (int) crc.getValue()).array();
    }

    /**
     * Where the intact part of a segment ends.
     *
     * @param intactBytes size of the intact part
     * @param digest of its last block, or that of the header if it has none
     * @param nextBlock number of the block after it
     */
    public record SegmentEnd(long intactBytes, byte[] digest, long nextBlock) {
    }

    /** Reads one segment, up to the first block that is torn or damaged. */
    public static SegmentEnd read(Path file, Visitor visitor) throws IOException {
        try (DataInputStream in = new DataInputStream(new BufferedInputStream(Files.newInputStream(file), 1 << 16))) {
            long fileBytes = Files.size(file);
            byte[] headerBytes = in.readNBytes(HEADER_BYTES);
            if (headerBytes.length < HEADER_BYTES) {
                visitor.unreadable(file, 0, fileBytes, "incomplete header");
                return new SegmentEnd(0, new byte[DIGEST_BYTES], 0);
            }
            Header header = Header.decode(headerBytes);
            visitor.segment(file, header);
            byte[] digest = header.previousDigest();
            long blockNumber = header.firstBlock();
            long offset = HEADER_BYTES;
            while (offset < fileBytes) {
                String problem = null;
                byte[] payload = null;
                byte[] storedDigest = new byte[DIGEST_BYTES];
                try {
                    int size = in.readInt();
                    int crc = in.readInt();
                    if (size < 0 || size > MAX_BLOCK_BYTES) {
                        problem = "a block of " + size + " bytes";
                    } else {
                        in.readFully(storedDigest);
                        payload = new byte[size];
                        in.readFully(payload);
                        CRC32C computed = new CRC32C();
                        computed.update(storedDigest);
                        computed.update(payload);
                        problem = (int) computed.getValue() == crc ? null : "a block with an invalid checksum";
                    }
                } catch (EOFException e) {
                    problem = "an incomplete block";
                }
                if (problem != null) {
                    visitor.unreadable(file, offset, fileBytes - offset, problem);
                    return new SegmentEnd(offset, digest, blockNumber);
                }
                byte[] expectedDigest = chainedDigest(digest, payload, payload.length);
                visitor.block(file, blockNumber, storedDigest, MessageDigest.isEqual(expectedDigest, storedDigest));
                try (JsonParser parser = CBOR.createParser(payload)) {
                    for (AuditEvent event = AuditEvent.read(parser); event != null; event = AuditEvent.read(parser)) {
                        visitor.event(event);
                    }
                }
                digest = storedDigest;
                blockNumber++;
                offset += BLOCK_HEADER_BYTES + payload.length;
            }
            return new SegmentEnd(offset, digest, blockNumber);
        }
    }

    public static String hex(byte[] digest) {
        return HexFormat.of().formatHex(digest);
    }
}
