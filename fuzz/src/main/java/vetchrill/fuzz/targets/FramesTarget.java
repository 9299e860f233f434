package vetchrill.fuzz.targets;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import vetchrill.fuzz.InvariantViolation;
import vetchrill.fuzz.Target;
import vetchrill.protocol.Fields;
import vetchrill.protocol.FrameReader;
import vetchrill.protocol.Frames;
import vetchrill.transport.Limits;

/**
 * Frames of client stubs and the fields in them. Checks that the frames read do not depend on how the input is split,
 * that they equal those of a simple, independent reader, and that written frames are those that the protocol specifies.
 */
public final class FramesTarget implements Target {
    private static final Limits LIMITS = new Limits(64 << 20, 256);

    @Override
    public String name() {
        return "frames";
    }

    @Override
    public List<Class<?>> covers() {
        return List.of(FrameReader.class, Fields.class, Frames.class);
    }

    /** Records the events of the reader as text, so that they can be compared. */
    private static final class RecordingHandler implements FrameReader.Handler {
        final List<String> events = new ArrayList<>();
        private final Fields fields = new Fields();

        @Override
        public boolean onFrame(int type, int stream, byte[] buf, int from, int to) {
            String error = fields.parse(buf, from, to);
            events.add("frame " + type + " " + stream + " " + Arrays.hashCode(Arrays.copyOfRange(buf, from, to)) + " "
                    + (error == null ? fields.text("rid") + " " + fields.wholeNumber("t0") + " " + fields.number("mem")
                    + " "
                    + fields.indexIn("method", List.of("look", "note")) + " " + (to - fields.bodyOffset()) : "bad"));
            if (error == null && (fields.bodyOffset() < from || fields.bodyOffset() > to)) {
                throw new InvariantViolation("fields end outside their frame");
            }
            return true;
        }

        @Override
        public boolean onOversizedFrame(int type, int stream, int length) {
            events.add("oversized " + type + " " + stream + " " + length);
            return true;
        }

        @Override
        public void onMalformedInput(String reason) {
            events.add("broken");
        }

        @Override
        public void onInputEnded(boolean disconnected) {
            events.add("ended");
        }
    }

    /** Reads as a connection does, with a growing buffer, either the whole input at once or pieces of random sizes. */
    private static List<String> readInPieces(byte[] input, SplittableRandom random, boolean whole) {
        RecordingHandler handler = new RecordingHandler();
        FrameReader reader = new FrameReader(LIMITS, handler);
        byte[] buf = new byte[LIMITS.initialBufferBytes];
        int from = 0;
        int to = 0;
        int offset = 0;
        while (offset < input.length) {
            if (to == buf.length) {
                if (from > 0) {
                    System.arraycopy(buf, from, buf, 0, to - from);
                } else if (buf.length >= LIMITS.maxBufferedFrameBytes) {
                    throw new InvariantViolation("a frame fills the buffer, neither accepted nor rejected");
                } else {
                    buf = Arrays.copyOf(buf, Math.min(LIMITS.maxBufferedFrameBytes, 2 * buf.length));
                }
                to -= from;
                from = 0;
            }
            int piece = Math.min(buf.length - to, whole ? input.length - offset : Math.min(input.length - offset,
                    1 + random.nextInt(random.nextInt(3) == 0 ? 600 : 12)));
            System.arraycopy(input, offset, buf, to, piece);
            offset += piece;
            to += piece;
            while (from < to) {
                int consumed = reader.consume(buf, from, to);
                if (consumed < 0) {
                    return handler.events;
                }
                if (consumed == 0) {
                    break;
                }
                if (consumed > to - from) {
                    throw new InvariantViolation("the reader consumes more bytes than there are");
                }
                from += consumed;
            }
        }
        return handler.events;
    }

    /** Reference reader: applies the protocol specification to the whole input, one frame after the other. */
    private static List<String> readSlowly(byte[] in) {
        List<String> events = new ArrayList<>();
        int offset = 0;
        while (in.length - offset >= 4) {
            long length = 0;
            for (int i = 0; i < 4; i++) {
                length = length * 256 + (in[offset + i] & 0xff);
            }
            if (length < 5 || length > 262_144) {
                events.add("broken");
                return events;
            }
            if (in.length - offset < 9) {
                return events;
            }
            int type = in[offset + 4] & 0xff;
            if (type != 2 && type != 16) {
                events.add("broken");
                return events;
            }
            int stream = (in[offset + 5] & 0xff) << 24 | (in[offset + 6] & 0xff) << 16 | (in[offset + 7] & 0xff) << 8
                    | in[offset + 8] & 0xff;
            if (length > LIMITS.maxBufferedFrameBytes - 4) {
                events.add("oversized " + type + " " + stream + " " + length);
                offset += (int) Math.min(4 + length, in.length - offset);
                continue;
            }
            if (in.length - offset < 4 + length) {
                return events;
            }
            byte[] payload = Arrays.copyOfRange(in, offset + 9, (int) (offset + 4 + length));
            events.add("frame " + type + " " + stream + " " + Arrays.hashCode(payload) + " "
                    + readFieldsSlowly(payload));
            offset += (int) (4 + length);
        }
        return events;
    }

    private static String readFieldsSlowly(byte[] payload) {
        if (payload.length == 0) {
            return "bad";
        }
        List<String> names = new ArrayList<>();
        List<String> values = new ArrayList<>();
        int offset = 1;
        for (int i = 0; i < (payload[0] & 0xff); i++) {
            for (List<String> part : List.of(names, values)) {
                int width = part == names ? 1 : 2;
                if (offset + width > payload.length) {
                    return "bad";
                }
                int size = width == 1 ? payload[offset] & 0xff : (payload[offset] & 0xff) * 256
                        + (payload[offset + 1] & 0xff);
                offset += width;
                if (offset + size > payload.length) {
                    return "bad";
                }
                part.add(new String(payload, offset, size, StandardCharsets.ISO_8859_1));
                offset += size;
            }
            if (names.indexOf(names.get(i)) != i) {
                return "bad";
            }
        }
        String rid = value(names, values, "rid");
        String t0 = value(names, values, "t0");
        long wholeNumber = t0 != null && t0.matches("[0-9]{1,18}") ? Long.parseLong(t0) : -1;
        String mem = value(names, values, "mem");
        double number = Double.NaN;
        if (mem != null && mem.length() <= 32 && mem.matches("[0-9.e+-]+")) {
            try {
                double read = Double.parseDouble(mem);
                number = read >= 0 && !Double.isInfinite(read) ? read : Double.NaN;
            } catch (NumberFormatException e) {
                number = Double.NaN;
            }
        }
        String text = rid == null ? null : new String(rid.getBytes(StandardCharsets.ISO_8859_1),
                StandardCharsets.UTF_8);
        String method = value(names, values, "method");
        return text + " " + wholeNumber + " " + number + " "
                + ("look".equals(method) ? 0 : "note".equals(method) ? 1 : -1)
                + " " + (payload.length - offset);
    }

    private static String value(List<String> names, List<String> values, String name) {
        int index = names.indexOf(name);
        return index < 0 ? null : values.get(index);
    }

    @Override
    public void run(byte[] input) {
        List<String> whole = readInPieces(input, null, true);
        List<String> inPieces = readInPieces(input, new SplittableRandom(Arrays.hashCode(input)), false);
        if (!whole.equals(inPieces)) {
            throw new InvariantViolation("the same bytes, split differently, give different frames");
        }
        if (!whole.equals(readSlowly(input))) {
            throw new InvariantViolation("frames differ from those of the reference reader");
        }
        checkWriter(input);
    }

    /** Checks frames that the program writes against the protocol specification. */
    private static void checkWriter(byte[] input) {
        int stream = Arrays.hashCode(input);
        long retryAfter = stream & 0xfffff;
        boolean lastAnswer = (stream & 1) == 1;
        byte[] rejection = Frames.denied(stream, retryAfter, lastAnswer);
        StringBuilder expected = new StringBuilder("B");
        expected.append((char) ((retryAfter > 0 ? 1 : 0) + (lastAnswer ? 1 : 0)));
        if (retryAfter > 0) {
            String digits = Long.toString(retryAfter);
            expected.append("\7backoff").append((char) 0).append((char) digits.length()).append(digits);
        }
        if (lastAnswer) {
            expected.append("\5final").append((char) 0).append((char) 1).append('1');
        }
        checkFrame(rejection, 4, stream, expected.toString().getBytes(StandardCharsets.ISO_8859_1));
        byte[] result = Arrays.copyOf(input, Math.min(input.length, 4_096));
        byte[] completed = Frames.completed(0, result, 0, result.length);
        Frames.setStream(completed, stream);
        byte[] body = new byte[result.length + 2];
        body[0] = 79;
        System.arraycopy(result, 0, body, 2, result.length);
        checkFrame(completed, 4, stream, body);
        checkFrame(Frames.terminated(stream), 4, stream, new byte[] {69, 0});
        checkFrame(Frames.healthCheckAnswer(stream, lastAnswer), 32, stream,
                new byte[] {(byte) (lastAnswer ? 79 : 69), 0});
        checkFrame(Frames.goAway(), 64, 0, new byte[0]);
    }

    private static void checkFrame(byte[] frame, int type, int stream, byte[] payload) {
        ByteArrayOutputStream expected = new ByteArrayOutputStream();
        for (int number : new int[] {5 + payload.length, stream}) {
            for (int shift = 24; shift >= 0; shift -= 8) {
                expected.write(number >>> shift);
            }
            if (expected.size() == 4) {
                expected.write(type);
            }
        }
        expected.writeBytes(payload);
        if (!Arrays.equals(frame, expected.toByteArray())) {
            throw new InvariantViolation("a frame of type " + type + " is not written as specified");
        }
    }

    @Override
    public List<byte[]> seeds() {
        byte[] exchange = vetchrill.standin.StubFrames.frame(2, 7, vetchrill.standin.StubFrames.payload(
                "body".getBytes(StandardCharsets.US_ASCII), "method", "look", "rid", "00000000000000aa", "t0",
                "1764576000123", "peer", "4", "acct", "acme", "mem", "24.5", "prio", "0.6250"));
        byte[] check = vetchrill.standin.StubFrames.frame(16, 1, vetchrill.standin.StubFrames.payload(new byte[0]));
        byte[] huge = new byte[20_000];
        System.arraycopy(new byte[] {0, 0, 78, 28, 2, 0, 0, 0, 9}, 0, huge, 0, 9);
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(exchange);
        all.writeBytes(check);
        all.writeBytes(exchange);
        ByteArrayOutputStream between = new ByteArrayOutputStream();
        between.writeBytes(exchange);
        between.writeBytes(huge);
        between.writeBytes(exchange);
        byte[] wide = vetchrill.standin.StubFrames.frame(2, 300, vetchrill.standin.StubFrames.payload(new byte[300],
                "method", "note", "rid", "x".repeat(200), "mem", "1"));
        return List.of(exchange, check, all.toByteArray(), huge, between.toByteArray(), wide, new byte[] {0, 4, 0, 1,
                2, 0, 0, 0, 1});
    }

    /**
     * Splits the input into frames, changes the type, the stream or the payload of some, and writes correct lengths
     * mostly.
     */
    @Override
    public byte[] mutate(byte[] input, SplittableRandom random) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int offset = 0;
        boolean changed = false;
        while (input.length - offset >= 9 && out.size() < 3_000) {
            int length = (input[offset] & 0xff) << 24 | (input[offset + 1] & 0xff) << 16 | (input[offset
                    + 2] & 0xff) << 8
                    | input[offset + 3] & 0xff;
            if (length < 5 || length > input.length - offset - 4) {
                break;
            }
            byte[] payload = Arrays.copyOfRange(input, offset + 9, offset + 4 + length);
            int type = input[offset + 4];
            int stream = random.nextInt(4);
            switch (random.nextInt(6)) {
                case 0 -> payload = Arrays.copyOf(payload, random.nextInt(payload.length + 1));
                case 1 -> {
                    if (payload.length > 0) {
                        payload[random.nextInt(payload.length)] = (byte) random.nextInt();
                    }
                }
                case 2 -> type = new int[] {2, 16, 4, 64, 255}[random.nextInt(5)];
                case 3 -> payload = Arrays.copyOf(payload, payload.length + random.nextInt(300));
                default -> {
                    // Left unchanged.
                }
            }
            byte[] frame = vetchrill.standin.StubFrames.frame(type & 0xff, stream, payload);
            if (random.nextInt(8) == 0) {
                // A false length: off by a few bytes, or close to the smallest or largest valid length.
                int falseLength = new int[] {frame.length - 5, frame.length - 3, 4, 5, 262_144,
                        262_145}[random.nextInt(6)];
                for (int i = 0; i < 4; i++) {
                    frame[i] = (byte) (falseLength >>> 24 - 8 * i);
                }
            }
            out.writeBytes(frame);
            changed = true;
            offset += 4 + length;
        }
        return changed ? out.toByteArray() : null;
    }

    @Override
    public List<String> words() {
        return List.of("method", "rid", "t0", "peer", "acct", "mem", "prio", "look", "note", "1e400", "-1", "NaN");
    }
}
