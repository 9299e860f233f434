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
public final class Journal implements Closeable {
    /** What was met on the disk. */
    public enum Found {
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
    public static final class Full extends IOException {
        private static final long serialVersionUID = 1;

        Full(long live) {
            super("the store is full: " + live + " octets are held");
        }
    }

    private static final int HEAD = 20;
    private static final int MAGIC = 0x5646524d;
    private static final String FORMAT = "VFACTS01";
    private static final byte FIRST = 'H';
    private static final byte GROUP = 'G';
    private static final byte SLICE = 'S';
    private static final byte LAST = 'E';
    private static final String LOG = ".log";
    private static final String SNAP = ".snap";
    private static final String FILES = "[0-9]{8}\\.(log|snap)";
    private static final String ASIDE = "aside-";
    private static final int SLICE_BYTES = 64 << 10;
    /** Heads and ends of a log and its snapshot, and some for slices. */
    private static final int HEADS = 2 << 10;
    /** What a fact takes in a frame besides its key and value. */
    private static final int OVERHEAD = 7;
    /** Least that can be said to be a bound: four parts of it hold a log or a snapshot each. */
    public static final long LEAST_BOUND = 1 << 16;

    private record Head(long follows, int size) {
    }

    /** A frame as it lies in a file. */
    private record Frame(byte kind, long number, ByteBuffer body, int next) {
    }

    private final Disk disk;
    private final String owner;
    private final long bound;
    private final long mostLive;
    private final long mostLog;
    private final NavigableMap<String, byte[]> facts = new TreeMap<>();
    private long live;
    private long commits;
    private Found found = Found.EMPTY;
    private String why = "";
    /** Of the log that is written, and of the snapshot beside it. */
    private long number;
    private Disk.Out log;
    private long logBytes;
    private Disk.Out snap;
    private String snapAt;
    /** Commits before the log that is written. */
    private long follows;
    /** Octets of the snapshot that are due for what went to the log since. */
    private long owed;
    /** What lies there that must not be written over, as it may be of use to staff. */
    private boolean toPutAside;
    /** Octets of each file that counts. */
    private final Map<String, Long> sizes = new TreeMap<>();
    /** Files that no longer count, or never did. */
    private final List<String> abandoned = new ArrayList<>();

    /**
     * Reads what is there, and writes nothing before the first commit. {@code bound} is on all files together, in
     * octets; a quarter of it is the most that can be held.
     */
    public Journal(Disk disk, String owner, long bound) throws IOException {
        if (bound < LEAST_BOUND) {
            throw new IllegalArgumentException("a bound under " + LEAST_BOUND);
        }
        this.disk = disk;
        this.owner = owner;
        this.bound = bound;
        // A snapshot, the log after it, and their successors: of an eighth in each is kept for heads and slices.
        mostLive = bound / 4 - bound / 32;
        mostLog = bound / 4 - bound / 64;
        recover();
    }

    // What is there.

    private void recover() throws IOException {
        TreeMap<Long, byte[]> logs = new TreeMap<>();
        TreeMap<Long, byte[]> snaps = new TreeMap<>();
        for (String name : disk.names()) {
            if (name.matches(FILES)) {
                byte[] bytes = disk.read(name);
                sizes.put(name, (long) bytes.length);
                (name.endsWith(LOG) ? logs : snaps).put(Long.parseLong(name.substring(0, 8)), bytes);
            }
        }
        if (logs.isEmpty() && snaps.isEmpty()) {
            return;
        }
        number = Math.max(logs.isEmpty() ? 0 : logs.lastKey(), snaps.isEmpty() ? 0 : snaps.lastKey());
        found = Found.WHOLE;
        long from = 0;
        for (long each : snaps.descendingKeySet()) {
            if (found != Found.FOREIGN && from == 0 && snapshot(snaps.get(each))) {
                from = each;
            }
        }
        boolean first = true;
        for (byte[] each : snaps.values()) {
            Head head = head(each);
            first &= head == null || head.follows == 0;
        }
        replay(logs.tailMap(from, true), from > 0, first);
        if (found == Found.FOREIGN) {
            facts.clear();
            live = 0;
            commits = 0;
        }
        toPutAside = found == Found.DAMAGED || found == Found.FOREIGN;
    }

    private void broken(Found as, String what) {
        if (as.compareTo(found) > 0) {
            found = as;
            why = what;
        }
    }

    /** Whether it is one with its end; then the facts are those of it. */
    private boolean snapshot(byte[] bytes) {
        Head head = head(bytes);
        if (head == null) {
            return false;
        }
        TreeMap<String, byte[]> held = new TreeMap<>();
        Frame frame = frame(bytes, head.size);
        while (frame != null && frame.kind == SLICE) {
            for (Change each : changes(frame.body)) {
                held.put(each.key(), each.value());
            }
            frame = frame(bytes, frame.next);
        }
        if (frame == null || frame.kind != LAST) {
            return false;
        }
        facts.clear();
        live = 0;
        held.forEach(this::hold);
        commits = frame.number;
        return true;
    }

    private void replay(NavigableMap<Long, byte[]> logs, boolean snapshot, boolean first) {
        List<byte[]> all = new ArrayList<>(logs.values());
        List<Head> heads = new ArrayList<>();
        for (byte[] each : all) {
            heads.add(head(each));
        }
        for (int i = 0; i < all.size() && found != Found.FOREIGN; i++) {
            Head head = heads.get(i);
            if (head == null) {
                // Its first write never came to the disk whole, and nothing was committed to it; else that shows.
                long later = later(all.get(i), 0, commits);
                if (later > 0) {
                    broken(Found.DAMAGED, "a log that holds commits up to " + later + " has no head");
                } else if (i == all.size() - 1) {
                    broken(Found.TORN, "a log without its head");
                }
                continue;
            }
            long until = Long.MAX_VALUE;
            for (int j = i + 1; j < all.size() && until == Long.MAX_VALUE; j++) {
                until = heads.get(j) == null ? Long.MAX_VALUE : heads.get(j).follows;
            }
            if (head.follows > commits) {
                broken(Found.DAMAGED, "commits " + (commits + 1) + " to " + head.follows + " are gone");
                commits = head.follows;
            }
            replay(all.get(i), head, until);
        }
        if (all.isEmpty() && !snapshot) {
            // Of the very first two files one may come to be without the other: nothing was committed by then.
            broken(first ? Found.TORN : Found.DAMAGED, "a snapshot without its end, and no log");
        }
    }

    /** Commits past {@code until} were never told to be there: the next log took their numbers. */
    private void replay(byte[] bytes, Head head, long until) {
        int at = head.size;
        long last = head.follows;
        for (Frame frame = frame(bytes, at); frame != null && frame.kind == GROUP && frame.number == last + 1
                && frame.number <= until; frame = frame(bytes, at)) {
            last = frame.number;
            at = frame.next;
            // Part of it may be in the snapshot, which is later in what it holds: done again it comes out the same.
            commits = Math.max(commits, last);
            for (Change each : changes(frame.body)) {
                hold(each.key(), each.value());
            }
        }
        if (until != Long.MAX_VALUE) {
            if (last < until) {
                broken(Found.DAMAGED, "commits " + (last + 1) + " to " + until + " are spoilt");
                commits = Math.max(commits, until);
            }
        } else if (at < bytes.length) {
            long later = later(bytes, at, last);
            if (later > 0) {
                broken(Found.DAMAGED, "commits " + (last + 1) + " to " + later + " are spoilt or follow what is");
                commits = Math.max(commits, later);
            } else {
                broken(Found.TORN, (bytes.length - at) + " octets of a commit that was not made");
            }
        }
    }

    /** The highest commit that is whole behind what is broken; 0 for none. */
    private static long later(byte[] bytes, int from, long last) {
        long highest = 0;
        for (int at = from; at + HEAD <= bytes.length; at++) {
            if (bytes[at] == 'V') {
                Frame frame = frame(bytes, at);
                if (frame != null && frame.kind == GROUP && frame.number > last) {
                    highest = Math.max(highest, frame.number);
                    at = frame.next - 1;
                }
            }
        }
        return highest;
    }

    /** Null where it has none. Marks the whole as foreign where it is another's. */
    private Head head(byte[] bytes) {
        Frame frame = frame(bytes, 0);
        if (frame == null || frame.kind != FIRST) {
            return null;
        }
        byte[] format = new byte[FORMAT.length()];
        byte[] name = new byte[frame.body.remaining() - format.length];
        frame.body.get(format).get(name);
        if (!FORMAT.equals(new String(format, StandardCharsets.US_ASCII))) {
            broken(Found.DAMAGED, "a format of " + new String(format, StandardCharsets.US_ASCII));
            return null;
        }
        String its = new String(name, StandardCharsets.UTF_8);
        if (!its.equals(owner)) {
            broken(Found.FOREIGN, "it belongs to " + its);
        }
        return new Head(frame.number, frame.next);
    }

    /** Null where there is no whole one. */
    private static Frame frame(byte[] bytes, int at) {
        if (bytes.length - at < HEAD) {
            return null;
        }
        ByteBuffer all = ByteBuffer.wrap(bytes, at, bytes.length - at);
        if (all.getInt() != MAGIC) {
            return null;
        }
        int size = all.getInt();
        int crc = all.getInt();
        if (size < 1 || size > all.remaining() - 8) {
            return null;
        }
        CRC32C check = new CRC32C();
        check.update(bytes, at + 12, 8 + size);
        if ((int) check.getValue() != crc) {
            return null;
        }
        long number = all.getLong();
        byte kind = all.get();
        return new Frame(kind, number, ByteBuffer.wrap(bytes, at + HEAD + 1, size - 1), at + HEAD + size);
    }

    private static List<Change> changes(ByteBuffer body) {
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

    private static long size(String key, byte[] value) {
        return OVERHEAD + key.getBytes(StandardCharsets.UTF_8).length + value.length;
    }

    private void hold(String key, byte[] value) {
        byte[] before = value == null ? facts.remove(key) : facts.put(key, value);
        live += (value == null ? 0 : size(key, value)) - (before == null ? 0 : size(key, before));
    }

    // What is done.

    /**
     * All of these changes or none, and on the disk when it returns. Throws Full where there is no room, and
     * IOException where the disk failed: the commit is not there then, whatever may lie on the disk of it.
     * {@code binding} may use what is kept free for such.
     */
    public void commit(List<Change> changes, boolean binding) throws IOException {
        byte[] frame = frame(GROUP, commits + 1, body(changes));
        long grows = 0;
        for (Change each : changes) {
            byte[] before = facts.get(each.key());
            grows += (each.value() == null ? 0 : size(each.key(), each.value()))
                    - (before == null ? 0 : size(each.key(), before));
        }
        if (grows > 0 && live + grows > (binding ? mostLive : mostLive - mostLive / 8) || frame.length > mostLog / 2) {
            throw new Full(live);
        }
        try {
            if (log == null) {
                next();
            } else if (logBytes + frame.length > mostLog) {
                while (snap != null) {
                    slice();
                }
                next();
            }
            wrote(number, LOG, frame.length);
            log.write(frame);
            log.sync();
        } catch (IOException e) {
            // What lies on the disk of it must not count: the next log begins with the number that this one had.
            close();
            throw e;
        }
        logBytes += frame.length;
        commits++;
        for (Change each : changes) {
            hold(each.key(), each.value());
        }
        owed += 3L * frame.length;
        try {
            while (snap != null && owed > 0) {
                slice();
            }
        } catch (IOException e) {
            close();
        }
    }

    /** Another log, and beside it another snapshot of what is held now. */
    private void next() throws IOException {
        close();
        giveUp();
        if (bytes() + live + HEADS > bound) {
            throw new IOException("no room for another snapshot before an older log could be given up");
        }
        number++;
        follows = commits;
        byte[] head = first();
        logBytes = head.length;
        snapAt = null;
        owed = 0;
        try {
            wrote(number, LOG, head.length);
            log = disk.create(name(number, LOG));
            wrote(number, SNAP, head.length);
            snap = disk.create(name(number, SNAP));
            log.write(head);
            log.sync();
            snap.write(head);
            disk.syncNames();
            // After losses in a row there are several logs, which are not to grow past the bound together; and beside
            // what is damaged or another's nothing counts before there is a snapshot that stands by itself.
            while (snap != null && (toPutAside || bytes() > bound / 8 * 5)) {
                slice();
            }
        } catch (IOException e) {
            // Nothing was committed to it.
            abandoned.add(name(number, LOG));
            close();
            throw e;
        }
    }

    private void wrote(long number, String kind, long octets) {
        sizes.merge(name(number, kind), octets, Long::sum);
    }

    private static String name(long number, String kind) {
        return String.format("%08d%s", number, kind);
    }

    /** One part of the snapshot; the last makes it count and what came before it superfluous. */
    private void slice() throws IOException {
        List<Change> part = new ArrayList<>();
        long size = 0;
        Map.Entry<String, byte[]> next = snapAt == null ? facts.firstEntry() : facts.higherEntry(snapAt);
        while (next != null && size < SLICE_BYTES) {
            part.add(new Change(next.getKey(), next.getValue()));
            size += size(next.getKey(), next.getValue());
            snapAt = next.getKey();
            next = facts.higherEntry(snapAt);
        }
        if (!part.isEmpty()) {
            byte[] frame = frame(SLICE, commits, body(part));
            wrote(number, SNAP, frame.length);
            snap.write(frame);
            owed -= frame.length;
            return;
        }
        // Its number is of the last commit before its log: all that came since stands there.
        byte[] last = frame(LAST, follows, new byte[0]);
        wrote(number, SNAP, last.length);
        snap.write(last);
        snap.sync();
        disk.syncNames();
        snap.close();
        snap = null;
        owed = 0;
        // From here on what came before is superfluous; what of it can't be given up now is by and by.
        for (String each : sizes.keySet()) {
            if (Long.parseLong(each.substring(0, 8)) < number && !abandoned.contains(each)) {
                abandoned.add(each);
            }
        }
        if (toPutAside) {
            putAside();
        }
        giveUp();
    }

    private void giveUp() throws IOException {
        for (String each : List.copyOf(abandoned)) {
            disk.delete(each);
            sizes.remove(each);
            abandoned.remove(each);
        }
    }

    private byte[] first() {
        byte[] name = owner.getBytes(StandardCharsets.UTF_8);
        ByteBuffer body = ByteBuffer.allocate(FORMAT.length() + name.length);
        body.put(FORMAT.getBytes(StandardCharsets.US_ASCII)).put(name);
        return frame(FIRST, commits, body.array());
    }

    /** What must not be written over, for staff to look at; of such there is one at a time. */
    private void putAside() throws IOException {
        for (String each : disk.names()) {
            if (each.startsWith(ASIDE)) {
                disk.delete(each);
            }
        }
        for (String each : List.copyOf(abandoned)) {
            disk.rename(each, ASIDE + each);
            sizes.remove(each);
            abandoned.remove(each);
        }
        disk.syncNames();
        toPutAside = false;
    }

    private static byte[] frame(byte kind, long number, byte[] body) {
        ByteBuffer frame = ByteBuffer.allocate(HEAD + 1 + body.length);
        frame.putInt(MAGIC).putInt(1 + body.length).putInt(0).putLong(number).put(kind).put(body);
        CRC32C crc = new CRC32C();
        crc.update(frame.array(), 12, 9 + body.length);
        return frame.putInt(8, (int) crc.getValue()).array();
    }

    private static byte[] body(List<Change> changes) {
        List<byte[]> keys = new ArrayList<>();
        int size = 0;
        for (Change each : changes) {
            byte[] key = each.key().getBytes(StandardCharsets.UTF_8);
            keys.add(key);
            size += OVERHEAD + key.length + (each.value() == null ? 0 : each.value().length);
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
    public boolean idle() throws IOException {
        if (snap == null) {
            return false;
        }
        try {
            slice();
        } catch (IOException e) {
            close();
            throw e;
        }
        return true;
    }

    // What is known.

    public Found found() {
        return found;
    }

    /** What is wrong with it; empty where nothing is. */
    public String why() {
        return why;
    }

    /** All that is held, by key; not to be changed. */
    public NavigableMap<String, byte[]> facts() {
        return Collections.unmodifiableNavigableMap(facts);
    }

    /** Commits made, over all starts. */
    public long commits() {
        return commits;
    }

    /** Octets of all files that count; such as were put aside come on top of it. */
    private long bytes() {
        long all = 0;
        for (long each : sizes.values()) {
            all += each;
        }
        return all;
    }

    /** What is begun is given up: what counts is on the disk. */
    @Override
    public void close() {
        if (snap != null) {
            abandoned.add(name(number, SNAP));
        }
        for (Disk.Out each : new Disk.Out[] {log, snap}) {
            try {
                if (each != null) {
                    each.close();
                }
            } catch (IOException e) {
                // Nothing that counts hangs on it.
            }
        }
        log = null;
        snap = null;
    }
}
