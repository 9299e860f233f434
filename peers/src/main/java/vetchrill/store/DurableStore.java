package vetchrill.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.zip.CRC32C;

/**
 * A durable key-value store of one instance: a write-ahead log and snapshots. Each commit is one frame with a checksum
 * and a commit number that grows by one, so a commit is there whole or not at all, and a missing one is detected.
 *
 * <p>When the log has grown to its maximum, the store starts the next log and, beside it, a snapshot of the same
 * number, written incrementally with the commits that follow (compaction). Until the snapshot has its end frame,
 * recovery uses the previous snapshot and all logs from that one's number on. Changes made while the snapshot is
 * written are in the new log as well, so the snapshot needs no copy of the entries at its start.
 *
 * <p>Frame format, big-endian: magic {@code VFRM}, size of the body, CRC-32C of number and body, commit number, body.
 * The first byte of a body is the kind of the frame. A file begins with a frame of kind H: format, owner, and the
 * number of the last commit before the file. Not thread-safe.
 */
public final class DurableStore implements Closeable {
    /** What recovery found on the disk, in the order of severity. */
    public enum RecoveryOutcome {
        /** No files. */
        EMPTY,
        /** All commits are intact. */
        WHOLE,
        /** The last commit was cut short; it was never acknowledged. */
        TORN,
        /** Acknowledged commits are missing or corrupt: the recovered entries may be of an earlier time. */
        DAMAGED,
        /** The files belong to an instance of another name; nothing of them is used. */
        FOREIGN
    }

    /** The commit would exceed the capacity; nothing of it was written. */
    public static final class StoreFullException extends IOException {
        private static final long serialVersionUID = 1;

        StoreFullException(long liveBytes) {
            super("the store is full: " + liveBytes + " bytes are in use");
        }
    }

    private static final int FRAME_HEADER_BYTES = 20;
    private static final int FRAME_CRC_OFFSET_BYTES = 8;
    /** Of the commit number, the first field that the checksum covers. */
    private static final int FRAME_NUMBER_OFFSET_BYTES = 12;
    /** {@code VFRM}. */
    private static final int FRAME_MAGIC = 0x5646524d;
    private static final String FORMAT = "VFACTS01";
    private static final byte HEADER_FRAME = 'H';
    private static final byte COMMIT_FRAME = 'G';
    private static final byte SNAPSHOT_FRAME = 'S';
    private static final byte SNAPSHOT_END_FRAME = 'E';
    private static final String LOG_SUFFIX = ".log";
    private static final String SNAPSHOT_SUFFIX = ".snap";
    private static final String FILE_NAME_PATTERN = "[0-9]{8}\\.(log|snap)";
    private static final int FILE_NUMBER_DIGITS = 8;
    /** Of damaged or foreign files that are kept for staff. */
    private static final String ASIDE_PREFIX = "aside-";
    private static final int SNAPSHOT_FRAME_BYTES = 64 << 10;
    /** Header and end frames of a log and its snapshot, and some for the framing of snapshot entries. */
    private static final int FRAMING_RESERVE_BYTES = 2 << 10;
    /** Size of an entry in a frame besides its key and value. */
    private static final int ENTRY_OVERHEAD_BYTES = 7;
    /** Bytes of the snapshot that are written for each byte of the log. */
    private static final long SNAPSHOT_TO_LOG_RATIO = 3;
    /** Smallest capacity: a quarter of it has to hold a log or a snapshot. */
    public static final long MIN_CAPACITY_BYTES = 1 << 16;

    /** The header of a file; {@code size} is that of its frame. */
    private record FileHeader(long precedingCommit, int size) {
    }

    /** An intact frame of a file; {@code nextOffset} is where the next one begins. */
    private record Frame(byte kind, long commitNumber, ByteBuffer body, int nextOffset) {
    }

    private final Disk disk;
    private final String owner;
    private final long capacityBytes;
    private final long maxLiveBytes;
    private final long maxLogBytes;
    private final NavigableMap<String, byte[]> entries = new TreeMap<>();
    private long liveBytes;
    private long lastCommit;
    private RecoveryOutcome outcome = RecoveryOutcome.EMPTY;
    private String problem = "";
    /** Of the current log and the snapshot beside it. */
    private long fileNumber;
    private Disk.AppendFile logFile;
    private long logBytes;
    private Disk.AppendFile snapshotFile;
    private String lastSnapshotKey;
    /** The last commit before the current log. */
    private long precedingCommit;
    /** Bytes of the snapshot still to be written for what was committed to the log. */
    private long snapshotBytesDue;
    /** Damaged or foreign files were found, which are kept under another name for staff to examine. */
    private boolean setAsidePending;
    /** Of all files that are not set aside, by name. */
    private final Map<String, Long> fileSizes = new TreeMap<>();
    /** Files to delete: superseded by a complete snapshot, or abandoned. */
    private final List<String> obsoleteFiles = new ArrayList<>();

    /**
     * Recovers what is on the disk; writes nothing before the first commit. {@code capacityBytes} limits all files
     * together, apart from those set aside; less than a quarter of it is available for entries.
     */
    public DurableStore(Disk disk, String owner, long capacityBytes) throws IOException {
        if (capacityBytes < MIN_CAPACITY_BYTES) {
            throw new IllegalArgumentException("the capacity is below the minimum of " + MIN_CAPACITY_BYTES);
        }
        this.disk = disk;
        this.owner = owner;
        this.capacityBytes = capacityBytes;
        // The four quarters are for a snapshot, its log, and the next snapshot and log; an eighth of a snapshot's
        // quarter and a sixteenth of a log's are kept for framing.
        maxLiveBytes = capacityBytes / 4 - capacityBytes / 32;
        maxLogBytes = capacityBytes / 4 - capacityBytes / 64;
        recover();
    }

    // Recovery.

    private void recover() throws IOException {
        TreeMap<Long, byte[]> logs = new TreeMap<>();
        TreeMap<Long, byte[]> snapshots = new TreeMap<>();
        for (String name : disk.fileNames()) {
            if (name.matches(FILE_NAME_PATTERN)) {
                byte[] bytes = disk.readFile(name);
                fileSizes.put(name, (long) bytes.length);
                (name.endsWith(LOG_SUFFIX) ? logs : snapshots)
                        .put(Long.parseLong(name.substring(0, FILE_NUMBER_DIGITS)), bytes);
            }
        }
        if (logs.isEmpty() && snapshots.isEmpty()) {
            return;
        }
        fileNumber = Math.max(logs.isEmpty() ? 0 : logs.lastKey(), snapshots.isEmpty() ? 0 : snapshots.lastKey());
        outcome = RecoveryOutcome.WHOLE;
        long snapshotNumber = 0;
        for (long each : snapshots.descendingKeySet()) {
            if (outcome != RecoveryOutcome.FOREIGN && snapshotNumber == 0 && loadSnapshot(snapshots.get(each))) {
                snapshotNumber = each;
            }
        }
        boolean noEarlierCommits = true;
        for (byte[] each : snapshots.values()) {
            FileHeader header = readHeader(each);
            noEarlierCommits &= header == null || header.precedingCommit == 0;
        }
        replay(logs.tailMap(snapshotNumber, true), snapshotNumber > 0, noEarlierCommits);
        if (outcome == RecoveryOutcome.FOREIGN) {
            entries.clear();
            liveBytes = 0;
            lastCommit = 0;
        }
        setAsidePending = outcome == RecoveryOutcome.DAMAGED || outcome == RecoveryOutcome.FOREIGN;
    }

    /** Keeps the most severe problem only. */
    private void recordProblem(RecoveryOutcome newOutcome, String description) {
        if (newOutcome.compareTo(outcome) > 0) {
            outcome = newOutcome;
            problem = description;
        }
    }

    /** Replaces the entries by those of a snapshot; returns false, and changes none, if it has no end frame. */
    private boolean loadSnapshot(byte[] bytes) {
        FileHeader header = readHeader(bytes);
        if (header == null) {
            return false;
        }
        TreeMap<String, byte[]> loaded = new TreeMap<>();
        Frame frame = readFrame(bytes, header.size);
        while (frame != null && frame.kind == SNAPSHOT_FRAME) {
            for (Change each : decodeChanges(frame.body)) {
                loaded.put(each.key(), each.value());
            }
            frame = readFrame(bytes, frame.nextOffset);
        }
        if (frame == null || frame.kind != SNAPSHOT_END_FRAME) {
            return false;
        }
        entries.clear();
        liveBytes = 0;
        loaded.forEach(this::applyChange);
        lastCommit = frame.commitNumber;
        return true;
    }

    private void replay(NavigableMap<Long, byte[]> logs, boolean snapshotLoaded, boolean noEarlierCommits) {
        List<byte[]> contents = new ArrayList<>(logs.values());
        List<FileHeader> headers = new ArrayList<>();
        for (byte[] each : contents) {
            headers.add(readHeader(each));
        }
        for (int i = 0; i < contents.size() && outcome != RecoveryOutcome.FOREIGN; i++) {
            FileHeader header = headers.get(i);
            if (header == null) {
                // The header was never written completely, so nothing was committed to this log, unless there is an
                // intact commit in it: then it is damaged.
                long intactCommit = lastIntactCommit(contents.get(i), 0, lastCommit);
                if (intactCommit > 0) {
                    recordProblem(RecoveryOutcome.DAMAGED, "a log with commits up to " + intactCommit
                            + " has no header");
                } else if (i == contents.size() - 1) {
                    recordProblem(RecoveryOutcome.TORN, "a log has no header");
                }
                continue;
            }
            long lastValid = Long.MAX_VALUE;
            for (int j = i + 1; j < contents.size() && lastValid == Long.MAX_VALUE; j++) {
                lastValid = headers.get(j) == null ? Long.MAX_VALUE : headers.get(j).precedingCommit;
            }
            if (header.precedingCommit > lastCommit) {
                recordProblem(RecoveryOutcome.DAMAGED, "commits " + (lastCommit + 1) + " to " + header.precedingCommit
                        + " are missing");
                lastCommit = header.precedingCommit;
            }
            replay(contents.get(i), header, lastValid);
        }
        if (contents.isEmpty() && !snapshotLoaded) {
            // After a crash at the first start one of the first two files may exist without the other: nothing was
            // committed by then.
            recordProblem(noEarlierCommits ? RecoveryOutcome.TORN : RecoveryOutcome.DAMAGED,
                    "an incomplete snapshot, and no log");
        }
    }

    /** Commits past {@code lastValid} were never acknowledged: the next log reuses their numbers. */
    private void replay(byte[] bytes, FileHeader header, long lastValid) {
        int offset = header.size;
        long lastReplayed = header.precedingCommit;
        for (Frame frame = readFrame(bytes, offset);
                frame != null && frame.kind == COMMIT_FRAME && frame.commitNumber == lastReplayed + 1
                && frame.commitNumber <= lastValid; frame = readFrame(bytes, offset)) {
            lastReplayed = frame.commitNumber;
            offset = frame.nextOffset;
            // The snapshot may already contain some of these changes or later ones; replaying all of them in order
            // ends with the same entries.
            lastCommit = Math.max(lastCommit, lastReplayed);
            for (Change each : decodeChanges(frame.body)) {
                applyChange(each.key(), each.value());
            }
        }
        if (lastValid != Long.MAX_VALUE) {
            if (lastReplayed < lastValid) {
                recordProblem(RecoveryOutcome.DAMAGED, "commits " + (lastReplayed + 1) + " to " + lastValid
                        + " are corrupt");
                lastCommit = Math.max(lastCommit, lastValid);
            }
        } else if (offset < bytes.length) {
            long intactCommit = lastIntactCommit(bytes, offset, lastReplayed);
            if (intactCommit > 0) {
                recordProblem(RecoveryOutcome.DAMAGED, "commits " + (lastReplayed + 1) + " to " + intactCommit
                        + " are corrupt or follow a corrupt one");
                lastCommit = Math.max(lastCommit, intactCommit);
            } else {
                recordProblem(RecoveryOutcome.TORN, (bytes.length - offset) + " bytes of an incomplete commit");
            }
        }
    }

    /** The highest intact commit past {@code lastReplayed} at or behind {@code start}; 0 for none. */
    private static long lastIntactCommit(byte[] bytes, int start, long lastReplayed) {
        long highest = 0;
        for (int offset = start; offset + FRAME_HEADER_BYTES <= bytes.length; offset++) {
            // The first byte of the magic number.
            if (bytes[offset] == 'V') {
                Frame frame = readFrame(bytes, offset);
                if (frame != null && frame.kind == COMMIT_FRAME && frame.commitNumber > lastReplayed) {
                    highest = Math.max(highest, frame.commitNumber);
                    offset = frame.nextOffset - 1;
                }
            }
        }
        return highest;
    }

    /** Returns null if there is no valid header. Records it as a problem if format or owner are others. */
    private FileHeader readHeader(byte[] bytes) {
        Frame frame = readFrame(bytes, 0);
        if (frame == null || frame.kind != HEADER_FRAME) {
            return null;
        }
        byte[] format = new byte[FORMAT.length()];
        byte[] ownerBytes = new byte[frame.body.remaining() - format.length];
        frame.body.get(format).get(ownerBytes);
        if (!FORMAT.equals(new String(format, StandardCharsets.US_ASCII))) {
            recordProblem(RecoveryOutcome.DAMAGED, "unknown format " + new String(format, StandardCharsets.US_ASCII));
            return null;
        }
        String fileOwner = new String(ownerBytes, StandardCharsets.UTF_8);
        if (!fileOwner.equals(owner)) {
            recordProblem(RecoveryOutcome.FOREIGN, "it belongs to instance " + fileOwner);
        }
        return new FileHeader(frame.commitNumber, frame.nextOffset);
    }

    /** Returns null if there is no intact frame at that offset. */
    private static Frame readFrame(byte[] bytes, int offset) {
        if (bytes.length - offset < FRAME_HEADER_BYTES) {
            return null;
        }
        ByteBuffer buffer = ByteBuffer.wrap(bytes, offset, bytes.length - offset);
        if (buffer.getInt() != FRAME_MAGIC) {
            return null;
        }
        int size = buffer.getInt();
        int crc = buffer.getInt();
        if (size < 1 || size > buffer.remaining() - Long.BYTES) {
            return null;
        }
        CRC32C computed = new CRC32C();
        computed.update(bytes, offset + FRAME_NUMBER_OFFSET_BYTES, Long.BYTES + size);
        if ((int) computed.getValue() != crc) {
            return null;
        }
        long number = buffer.getLong();
        byte kind = buffer.get();
        return new Frame(kind, number, ByteBuffer.wrap(bytes, offset + FRAME_HEADER_BYTES + 1, size - 1),
                offset + FRAME_HEADER_BYTES + size);
    }

    private static List<Change> decodeChanges(ByteBuffer body) {
        List<Change> changes = new ArrayList<>();
        while (body.hasRemaining()) {
            byte[] key = new byte[body.getShort()];
            int size = body.getInt();
            body.get();
            byte[] value = size < 0 ? null : new byte[size];
            body.get(key);
            if (value != null) {
                body.get(value);
            }
            changes.add(new Change(new String(key, StandardCharsets.UTF_8), value));
        }
        return changes;
    }

    private static long entryBytes(String key, byte[] value) {
        return ENTRY_OVERHEAD_BYTES + key.getBytes(StandardCharsets.UTF_8).length + value.length;
    }

    private void applyChange(String key, byte[] value) {
        byte[] previous = value == null ? entries.remove(key) : entries.put(key, value);
        liveBytes += (value == null ? 0 : entryBytes(key, value)) - (previous == null ? 0 : entryBytes(key, previous));
    }

    // Commits.

    /**
     * Makes all of these changes atomically; they are on the disk when it returns. Throws StoreFullException if there
     * is no room or they would take more than half of a log, and IOException if the disk fails: the commit is void
     * then, whatever of it may be on the disk. With {@code mayUseReserve} the commit may use the last eighth of the
     * room for entries, which is kept free for changes that bind the instance, such as a voter's promises.
     */
    public void commit(List<Change> changes, boolean mayUseReserve) throws IOException {
        byte[] frame = encodeFrame(COMMIT_FRAME, lastCommit + 1, encodeChanges(changes));
        long growth = 0;
        for (Change each : changes) {
            byte[] previous = entries.get(each.key());
            growth += (each.value() == null ? 0 : entryBytes(each.key(), each.value()))
                    - (previous == null ? 0 : entryBytes(each.key(), previous));
        }
        if (growth > 0 && liveBytes + growth > (mayUseReserve ? maxLiveBytes : maxLiveBytes - maxLiveBytes / 8)
                || frame.length > maxLogBytes / 2) {
            throw new StoreFullException(liveBytes);
        }
        try {
            if (logFile == null) {
                startNextLog();
            } else if (logBytes + frame.length > maxLogBytes) {
                while (snapshotFile != null) {
                    writeSnapshotFrame();
                }
                startNextLog();
            }
            addFileBytes(fileNumber, LOG_SUFFIX, frame.length);
            logFile.write(frame);
            logFile.sync();
        } catch (IOException e) {
            // Whatever of it is on the disk is void: the next log begins with the number of this commit.
            close();
            throw e;
        }
        logBytes += frame.length;
        lastCommit++;
        for (Change each : changes) {
            applyChange(each.key(), each.value());
        }
        snapshotBytesDue += SNAPSHOT_TO_LOG_RATIO * frame.length;
        try {
            while (snapshotFile != null && snapshotBytesDue > 0) {
                writeSnapshotFrame();
            }
        } catch (IOException e) {
            close();
        }
    }

    /** Starts the next log and, beside it, a snapshot of the current entries. */
    private void startNextLog() throws IOException {
        close();
        deleteObsoleteFiles();
        if (totalFileBytes() + liveBytes + FRAMING_RESERVE_BYTES > capacityBytes) {
            throw new IOException("no room for another snapshot until an older log can be deleted");
        }
        fileNumber++;
        precedingCommit = lastCommit;
        byte[] header = headerFrame();
        logBytes = header.length;
        lastSnapshotKey = null;
        snapshotBytesDue = 0;
        try {
            addFileBytes(fileNumber, LOG_SUFFIX, header.length);
            logFile = disk.create(fileName(fileNumber, LOG_SUFFIX));
            addFileBytes(fileNumber, SNAPSHOT_SUFFIX, header.length);
            snapshotFile = disk.create(fileName(fileNumber, SNAPSHOT_SUFFIX));
            logFile.write(header);
            logFile.sync();
            snapshotFile.write(header);
            disk.syncDirectory();
            // The snapshot is completed at once where, after several crashes in a row, there are so many logs that
            // they might exceed the capacity together; and beside damaged or foreign files, since no commit is valid
            // before there is a snapshot that does not depend on them.
            while (snapshotFile != null && (setAsidePending || totalFileBytes() > capacityBytes / 8 * 5)) {
                writeSnapshotFrame();
            }
        } catch (IOException e) {
            // Nothing was committed to this log.
            obsoleteFiles.add(fileName(fileNumber, LOG_SUFFIX));
            close();
            throw e;
        }
    }

    private void addFileBytes(long number, String suffix, long bytes) {
        fileSizes.merge(fileName(number, suffix), bytes, Long::sum);
    }

    private static String fileName(long number, String suffix) {
        return String.format("%08d%s", number, suffix);
    }

    /** Writes the next frame of the snapshot. The last one completes it and makes all older files obsolete. */
    private void writeSnapshotFrame() throws IOException {
        List<Change> batch = new ArrayList<>();
        long size = 0;
        Map.Entry<String, byte[]> entry = lastSnapshotKey == null ? entries.firstEntry()
                : entries.higherEntry(lastSnapshotKey);
        while (entry != null && size < SNAPSHOT_FRAME_BYTES) {
            batch.add(new Change(entry.getKey(), entry.getValue()));
            size += entryBytes(entry.getKey(), entry.getValue());
            lastSnapshotKey = entry.getKey();
            entry = entries.higherEntry(lastSnapshotKey);
        }
        if (!batch.isEmpty()) {
            byte[] frame = encodeFrame(SNAPSHOT_FRAME, lastCommit, encodeChanges(batch));
            addFileBytes(fileNumber, SNAPSHOT_SUFFIX, frame.length);
            snapshotFile.write(frame);
            snapshotBytesDue -= frame.length;
            return;
        }
        // Its number is that of the last commit before the log beside it, which has all later ones.
        byte[] endFrame = encodeFrame(SNAPSHOT_END_FRAME, precedingCommit, new byte[0]);
        addFileBytes(fileNumber, SNAPSHOT_SUFFIX, endFrame.length);
        snapshotFile.write(endFrame);
        snapshotFile.sync();
        disk.syncDirectory();
        snapshotFile.close();
        snapshotFile = null;
        snapshotBytesDue = 0;
        // All older files are obsolete now; those that can't be deleted at once are tried again later.
        for (String each : fileSizes.keySet()) {
            if (Long.parseLong(each.substring(0, FILE_NUMBER_DIGITS)) < fileNumber && !obsoleteFiles.contains(each)) {
                obsoleteFiles.add(each);
            }
        }
        if (setAsidePending) {
            setObsoleteFilesAside();
        }
        deleteObsoleteFiles();
    }

    private void deleteObsoleteFiles() throws IOException {
        for (String each : List.copyOf(obsoleteFiles)) {
            disk.delete(each);
            fileSizes.remove(each);
            obsoleteFiles.remove(each);
        }
    }

    private byte[] headerFrame() {
        byte[] ownerBytes = owner.getBytes(StandardCharsets.UTF_8);
        ByteBuffer body = ByteBuffer.allocate(FORMAT.length() + ownerBytes.length);
        body.put(FORMAT.getBytes(StandardCharsets.US_ASCII)).put(ownerBytes);
        return encodeFrame(HEADER_FRAME, lastCommit, body.array());
    }

    /** Keeps the obsolete files under other names for staff to examine, in place of any set aside earlier. */
    private void setObsoleteFilesAside() throws IOException {
        for (String each : disk.fileNames()) {
            if (each.startsWith(ASIDE_PREFIX)) {
                disk.delete(each);
            }
        }
        for (String each : List.copyOf(obsoleteFiles)) {
            disk.rename(each, ASIDE_PREFIX + each);
            fileSizes.remove(each);
            obsoleteFiles.remove(each);
        }
        disk.syncDirectory();
        setAsidePending = false;
    }

    private static byte[] encodeFrame(byte kind, long number, byte[] body) {
        ByteBuffer frame = ByteBuffer.allocate(FRAME_HEADER_BYTES + 1 + body.length);
        frame.putInt(FRAME_MAGIC).putInt(1 + body.length).putInt(0).putLong(number).put(kind).put(body);
        CRC32C crc = new CRC32C();
        crc.update(frame.array(), FRAME_NUMBER_OFFSET_BYTES, Long.BYTES + 1 + body.length);
        return frame.putInt(FRAME_CRC_OFFSET_BYTES, (int) crc.getValue()).array();
    }

    private static byte[] encodeChanges(List<Change> changes) {
        List<byte[]> keys = new ArrayList<>();
        int size = 0;
        for (Change each : changes) {
            byte[] key = each.key().getBytes(StandardCharsets.UTF_8);
            keys.add(key);
            size += ENTRY_OVERHEAD_BYTES + key.length + (each.value() == null ? 0 : each.value().length);
        }
        ByteBuffer body = ByteBuffer.allocate(size);
        for (int i = 0; i < keys.size(); i++) {
            byte[] value = changes.get(i).value();
            body.putShort((short) keys.get(i).length).putInt(value == null ? -1 : value.length).put((byte) 0)
                    .put(keys.get(i));
            if (value != null) {
                body.put(value);
            }
        }
        return body.array();
    }

    /** Writes a frame of the unfinished snapshot, for idle times; returns false if there is none. */
    public boolean continueSnapshot() throws IOException {
        if (snapshotFile == null) {
            return false;
        }
        try {
            writeSnapshotFrame();
        } catch (IOException e) {
            close();
            throw e;
        }
        return true;
    }

    // State.

    public RecoveryOutcome outcome() {
        return outcome;
    }

    /** Describes the worst problem that recovery found; empty for none. */
    public String problem() {
        return problem;
    }

    /** All entries by key, unmodifiable. */
    public NavigableMap<String, byte[]> entries() {
        return Collections.unmodifiableNavigableMap(entries);
    }

    /** The number of the last commit, counted over all starts. */
    public long lastCommit() {
        return lastCommit;
    }

    /** Without the files that were set aside. */
    private long totalFileBytes() {
        long total = 0;
        for (long each : fileSizes.values()) {
            total += each;
        }
        return total;
    }

    /** Abandons an unfinished snapshot; all commits are on the disk already. */
    @Override
    public void close() {
        if (snapshotFile != null) {
            obsoleteFiles.add(fileName(fileNumber, SNAPSHOT_SUFFIX));
        }
        for (Disk.AppendFile each : new Disk.AppendFile[] {logFile, snapshotFile}) {
            try {
                if (each != null) {
                    each.close();
                }
            } catch (IOException e) {
                // Ignored: all acknowledged commits are synced.
            }
        }
        logFile = null;
        snapshotFile = null;
    }
}
