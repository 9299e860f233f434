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
 * The facts of one instance, in a log and snapshots of it. Each commit is one frame with a checksum and a number that
 * grows by one, so that a commit is there whole or not at all, and a hole shows. A log that has grown enough is
 * followed by the next one, and what is held is written beside it, a slice with each commit, as a snapshot: until that
 * has its end, the one before counts with all logs from its number on. What is changed while the snapshot is written
 * stands in the new log as well, so it needs no copy of what was held. Not for several threads.
 *
 * <p>Frames: {@code VFRM}, size of the body, CRC-32C of number and body, number, body (big-endian). A file begins with
 * a frame of kind H: format, owner, and the number of the last commit before it.
 */
public final class DurableStore implements Closeable {
    /** What was met on the disk. */
    public enum RecoveryOutcome {
        /** Nothing at all. */
        EMPTY,
        WHOLE,
        /** The last commit was cut short: nobody was told of it. */
        TORN,
        /** Commits that had been made are gone or spoilt: what is left may be of an earlier time. */
        DAMAGED,
        /** It belongs to another name. */
        FOREIGN
    }

    /** No room for more: nothing of the commit is there. */
    public static final class StoreFullException extends IOException {
        private static final long serialVersionUID = 1;

        StoreFullException(long liveBytes) {
            super("the store is full: " + liveBytes + " octets are held");
        }
    }

    private static final int FRAME_HEADER_BYTES = 20;
    private static final int FRAME_MAGIC = 0x5646524d;
    private static final String FORMAT = "VFACTS01";
    private static final byte HEADER_FRAME = 'H';
    private static final byte COMMIT_FRAME = 'G';
    private static final byte SNAPSHOT_FRAME = 'S';
    private static final byte SNAPSHOT_END_FRAME = 'E';
    private static final String LOG_SUFFIX = ".log";
    private static final String SNAPSHOT_SUFFIX = ".snap";
    private static final String FILE_NAME_PATTERN = "[0-9]{8}\\.(log|snap)";
    private static final String ASIDE_PREFIX = "aside-";
    private static final int SNAPSHOT_FRAME_BYTES = 64 << 10;
    /** Heads and ends of a log and its snapshot, and some for slices. */
    private static final int FRAMING_RESERVE_BYTES = 2 << 10;
    /** What a fact takes in a frame besides its key and value. */
    private static final int ENTRY_OVERHEAD_BYTES = 7;
    /** Least that can be said to be a bound: four parts of it hold a log or a snapshot each. */
    public static final long MIN_CAPACITY_BYTES = 1 << 16;

    private record FileHeader(long precedingCommit, int size) {
    }

    /** A frame as it lies in a file. */
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
    /** Of the log that is written, and of the snapshot beside it. */
    private long fileNumber;
    private Disk.AppendFile logFile;
    private long logBytes;
    private Disk.AppendFile snapshotFile;
    private String lastSnapshotKey;
    /** Commits before the log that is written. */
    private long precedingCommit;
    /** Octets of the snapshot that are due for what went to the log since. */
    private long snapshotBytesDue;
    /** What lies there that must not be written over, as it may be of use to staff. */
    private boolean setAsidePending;
    /** Octets of each file that counts. */
    private final Map<String, Long> fileSizes = new TreeMap<>();
    /** Files that no longer count, or never did. */
    private final List<String> obsoleteFiles = new ArrayList<>();

    /**
     * Reads what is there, and writes nothing before the first commit. {@code bound} is on all files together, in
     * octets; a quarter of it is the most that can be held.
     */
    public DurableStore(Disk disk, String owner, long capacityBytes) throws IOException {
        if (capacityBytes < MIN_CAPACITY_BYTES) {
            throw new IllegalArgumentException("a bound under " + MIN_CAPACITY_BYTES);
        }
        this.disk = disk;
        this.owner = owner;
        this.capacityBytes = capacityBytes;
        // A snapshot, the log after it, and their successors: of an eighth in each is kept for heads and slices.
        maxLiveBytes = capacityBytes / 4 - capacityBytes / 32;
        maxLogBytes = capacityBytes / 4 - capacityBytes / 64;
        recover();
    }

    // What is there.

    private void recover() throws IOException {
        TreeMap<Long, byte[]> logs = new TreeMap<>();
        TreeMap<Long, byte[]> snapshots = new TreeMap<>();
        for (String name : disk.fileNames()) {
            if (name.matches(FILE_NAME_PATTERN)) {
                byte[] bytes = disk.readFile(name);
                fileSizes.put(name, (long) bytes.length);
                (name.endsWith(LOG_SUFFIX) ? logs : snapshots).put(Long.parseLong(name.substring(0, 8)), bytes);
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

    private void recordProblem(RecoveryOutcome newOutcome, String description) {
        if (newOutcome.compareTo(outcome) > 0) {
            outcome = newOutcome;
            problem = description;
        }
    }

    /** Whether it is one with its end; then the facts are those of it. */
    private boolean loadSnapshot(byte[] bytes) {
        FileHeader header = readHeader(bytes);
        if (header == null) {
            return false;
        }
        TreeMap<String, byte[]> loaded = new TreeMap<>();
        Frame frame = frame(bytes, header.size);
        while (frame != null && frame.kind == SNAPSHOT_FRAME) {
            for (Change each : decodeChanges(frame.body)) {
                loaded.put(each.key(), each.value());
            }
            frame = frame(bytes, frame.nextOffset);
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
                // Its first write never came to the disk whole, and nothing was committed to it; else that shows.
                long intactCommit = lastIntactCommit(contents.get(i), 0, lastCommit);
                if (intactCommit > 0) {
                    recordProblem(RecoveryOutcome.DAMAGED, "a log that holds commits up to " + intactCommit
                            + " has no head");
                } else if (i == contents.size() - 1) {
                    recordProblem(RecoveryOutcome.TORN, "a log without its head");
                }
                continue;
            }
            long lastValid = Long.MAX_VALUE;
            for (int j = i + 1; j < contents.size() && lastValid == Long.MAX_VALUE; j++) {
                lastValid = headers.get(j) == null ? Long.MAX_VALUE : headers.get(j).precedingCommit;
            }
            if (header.precedingCommit > lastCommit) {
                recordProblem(RecoveryOutcome.DAMAGED, "commits " + (lastCommit + 1) + " to " + header.precedingCommit
                        + " are gone");
                lastCommit = header.precedingCommit;
            }
            replay(contents.get(i), header, lastValid);
        }
        if (contents.isEmpty() && !snapshotLoaded) {
            // Of the very first two files one may come to be without the other: nothing was committed by then.
            recordProblem(noEarlierCommits ? RecoveryOutcome.TORN : RecoveryOutcome.DAMAGED,
                    "a snapshot without its end, and no log");
        }
    }

    /** Commits past {@code until} were never told to be there: the next log took their numbers. */
    private void replay(byte[] bytes, FileHeader header, long lastValid) {
        int offset = header.size;
        long lastReplayed = header.precedingCommit;
        for (Frame frame = frame(bytes, offset); frame != null && frame.kind == COMMIT_FRAME && frame.commitNumber
                == lastReplayed + 1
                && frame.commitNumber <= lastValid; frame = frame(bytes, offset)) {
            lastReplayed = frame.commitNumber;
            offset = frame.nextOffset;
            // Part of it may be in the snapshot, which is later in what it holds: done again it comes out the same.
            lastCommit = Math.max(lastCommit, lastReplayed);
            for (Change each : decodeChanges(frame.body)) {
                applyChange(each.key(), each.value());
            }
        }
        if (lastValid != Long.MAX_VALUE) {
            if (lastReplayed < lastValid) {
                recordProblem(RecoveryOutcome.DAMAGED, "commits " + (lastReplayed + 1) + " to " + lastValid
                        + " are spoilt");
                lastCommit = Math.max(lastCommit, lastValid);
            }
        } else if (offset < bytes.length) {
            long intactCommit = lastIntactCommit(bytes, offset, lastReplayed);
            if (intactCommit > 0) {
                recordProblem(RecoveryOutcome.DAMAGED, "commits " + (lastReplayed + 1) + " to " + intactCommit
                        + " are spoilt or follow what is");
                lastCommit = Math.max(lastCommit, intactCommit);
            } else {
                recordProblem(RecoveryOutcome.TORN, (bytes.length - offset) + " octets of a commit that was not made");
            }
        }
    }

    /** The highest commit that is whole behind what is broken; 0 for none. */
    private static long lastIntactCommit(byte[] bytes, int start, long lastReplayed) {
        long highest = 0;
        for (int offset = start; offset + FRAME_HEADER_BYTES <= bytes.length; offset++) {
            if (bytes[offset] == 'V') {
                Frame frame = frame(bytes, offset);
                if (frame != null && frame.kind == COMMIT_FRAME && frame.commitNumber > lastReplayed) {
                    highest = Math.max(highest, frame.commitNumber);
                    offset = frame.nextOffset - 1;
                }
            }
        }
        return highest;
    }

    /** Null where it has none. Marks the whole as foreign where it is another's. */
    private FileHeader readHeader(byte[] bytes) {
        Frame frame = frame(bytes, 0);
        if (frame == null || frame.kind != HEADER_FRAME) {
            return null;
        }
        byte[] format = new byte[FORMAT.length()];
        byte[] ownerBytes = new byte[frame.body.remaining() - format.length];
        frame.body.get(format).get(ownerBytes);
        if (!FORMAT.equals(new String(format, StandardCharsets.US_ASCII))) {
            recordProblem(RecoveryOutcome.DAMAGED, "a format of " + new String(format, StandardCharsets.US_ASCII));
            return null;
        }
        String fileOwner = new String(ownerBytes, StandardCharsets.UTF_8);
        if (!fileOwner.equals(owner)) {
            recordProblem(RecoveryOutcome.FOREIGN, "it belongs to " + fileOwner);
        }
        return new FileHeader(frame.commitNumber, frame.nextOffset);
    }

    /** Null where there is no whole one. */
    private static Frame frame(byte[] bytes, int offset) {
        if (bytes.length - offset < FRAME_HEADER_BYTES) {
            return null;
        }
        ByteBuffer buffer = ByteBuffer.wrap(bytes, offset, bytes.length - offset);
        if (buffer.getInt() != FRAME_MAGIC) {
            return null;
        }
        int size = buffer.getInt();
        int crc = buffer.getInt();
        if (size < 1 || size > buffer.remaining() - 8) {
            return null;
        }
        CRC32C computed = new CRC32C();
        computed.update(bytes, offset + 12, 8 + size);
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

    // What is done.

    /**
     * All of these changes or none, and on the disk when it returns. Throws Full where there is no room, and
     * IOException where the disk failed: the commit is not there then, whatever may lie on the disk of it.
     * {@code binding} may use what is kept free for such.
     */
    public void commit(List<Change> changes, boolean mayUseReserve) throws IOException {
        byte[] frame = frame(COMMIT_FRAME, lastCommit + 1, encodeChanges(changes));
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
            // What lies on the disk of it must not count: the next log begins with the number that this one had.
            close();
            throw e;
        }
        logBytes += frame.length;
        lastCommit++;
        for (Change each : changes) {
            applyChange(each.key(), each.value());
        }
        snapshotBytesDue += 3L * frame.length;
        try {
            while (snapshotFile != null && snapshotBytesDue > 0) {
                writeSnapshotFrame();
            }
        } catch (IOException e) {
            close();
        }
    }

    /** Another log, and beside it another snapshot of what is held now. */
    private void startNextLog() throws IOException {
        close();
        deleteObsoleteFiles();
        if (totalFileBytes() + liveBytes + FRAMING_RESERVE_BYTES > capacityBytes) {
            throw new IOException("no room for another snapshot before an older log could be given up");
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
            // After losses in a row there are several logs, which are not to grow past the bound together; and beside
            // what is damaged or another's nothing counts before there is a snapshot that stands by itself.
            while (snapshotFile != null && (setAsidePending || totalFileBytes() > capacityBytes / 8 * 5)) {
                writeSnapshotFrame();
            }
        } catch (IOException e) {
            // Nothing was committed to it.
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

    /** One part of the snapshot; the last makes it count and what came before it superfluous. */
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
            byte[] frame = frame(SNAPSHOT_FRAME, lastCommit, encodeChanges(batch));
            addFileBytes(fileNumber, SNAPSHOT_SUFFIX, frame.length);
            snapshotFile.write(frame);
            snapshotBytesDue -= frame.length;
            return;
        }
        // Its number is of the last commit before its log: all that came since stands there.
        byte[] endFrame = frame(SNAPSHOT_END_FRAME, precedingCommit, new byte[0]);
        addFileBytes(fileNumber, SNAPSHOT_SUFFIX, endFrame.length);
        snapshotFile.write(endFrame);
        snapshotFile.sync();
        disk.syncDirectory();
        snapshotFile.close();
        snapshotFile = null;
        snapshotBytesDue = 0;
        // From here on what came before is superfluous; what of it can't be given up now is by and by.
        for (String each : fileSizes.keySet()) {
            if (Long.parseLong(each.substring(0, 8)) < fileNumber && !obsoleteFiles.contains(each)) {
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
        return frame(HEADER_FRAME, lastCommit, body.array());
    }

    /** What must not be written over, for staff to look at; of such there is one at a time. */
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

    private static byte[] frame(byte kind, long number, byte[] body) {
        ByteBuffer frame = ByteBuffer.allocate(FRAME_HEADER_BYTES + 1 + body.length);
        frame.putInt(FRAME_MAGIC).putInt(1 + body.length).putInt(0).putLong(number).put(kind).put(body);
        CRC32C crc = new CRC32C();
        crc.update(frame.array(), 12, 9 + body.length);
        return frame.putInt(8, (int) crc.getValue()).array();
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

    /** A slice of a snapshot that is being written, for idle times; false where there is none. */
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

    // What is known.

    public RecoveryOutcome outcome() {
        return outcome;
    }

    /** What is wrong with it; empty where nothing is. */
    public String problem() {
        return problem;
    }

    /** All that is held, by key; not to be changed. */
    public NavigableMap<String, byte[]> entries() {
        return Collections.unmodifiableNavigableMap(entries);
    }

    /** Commits made, over all starts. */
    public long lastCommit() {
        return lastCommit;
    }

    /** Octets of all files that count; such as were put aside come on top of it. */
    private long totalFileBytes() {
        long total = 0;
        for (long each : fileSizes.values()) {
            total += each;
        }
        return total;
    }

    /** What is begun is given up: what counts is on the disk. */
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
                // Nothing that counts hangs on it.
            }
        }
        logFile = null;
        snapshotFile = null;
    }
}
