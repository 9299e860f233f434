package vetchrill.fuzz.targets;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import vetchrill.fuzz.Finding;
import vetchrill.fuzz.Target;
import vetchrill.protocol.Fields;
import vetchrill.protocol.FrameReader;
import vetchrill.protocol.Frames;
import vetchrill.transport.Limits;

/**
 * Frames of client stubs and the fields in them: however the bytes are cut the same frames come out, they are those
 * of a slow reader that was written apart, and what the program writes is read back as it was.
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

    /** Writes down what it is told, in words that compare. */
    private static final class Taker implements FrameReader.Handler {
        final List<String> told = new ArrayList<>();
        private final Fields fields = new Fields();

        @Override
        public boolean onFrame(int type, int stream, byte[] buf, int from, int to) {
            String wrong = fields.parse(buf, from, to);
            told.add("frame " + type + " " + stream + " " + Arrays.hashCode(Arrays.copyOfRange(buf, from, to)) + " "
                    + (wrong == null ? fields.text("rid") + " " + fields.wholeNumber("t0") + " " + fields.number("mem")
                    + " "
                    + fields.indexIn("method", List.of("look", "note")) + " " + (to - fields.bodyOffset()) : "bad"));
            if (wrong == null && (fields.bodyOffset() < from || fields.bodyOffset() > to)) {
                throw new Finding("fields end outside of their frame");
            }
            return true;
        }

        @Override
        public boolean onOversizedFrame(int type, int stream) {
            told.add("oversized " + type + " " + stream);
            return true;
        }

        @Override
        public void onMalformedInput(String reason) {
            told.add("broken");
        }

        @Override
        public void onInputEnded(boolean gone) {
            told.add("ended");
        }
    }

    /** As the connection reads: a buffer that grows, pieces of given sizes. */
    private static List<String> inPieces(byte[] input, SplittableRandom chance, boolean whole) {
        Taker taker = new Taker();
        FrameReader reader = new FrameReader(LIMITS, taker);
        byte[] buf = new byte[LIMITS.initialBufferBytes];
        int from = 0;
        int to = 0;
        int at = 0;
        while (at < input.length) {
            if (to == buf.length) {
                if (from > 0) {
                    System.arraycopy(buf, from, buf, 0, to - from);
                } else if (buf.length >= LIMITS.maxBufferedFrameBytes) {
                    throw new Finding("a frame that the reader neither takes nor refuses fills its buffer");
                } else {
                    buf = Arrays.copyOf(buf, Math.min(LIMITS.maxBufferedFrameBytes, 2 * buf.length));
                }
                to -= from;
                from = 0;
            }
            int piece = Math.min(buf.length - to, whole ? input.length - at : Math.min(input.length - at,
                    1 + chance.nextInt(chance.nextInt(3) == 0 ? 600 : 12)));
            System.arraycopy(input, at, buf, to, piece);
            at += piece;
            to += piece;
            while (from < to) {
                int took = reader.consume(buf, from, to);
                if (took < 0) {
                    return taker.told;
                }
                if (took == 0) {
                    break;
                }
                if (took > to - from) {
                    throw new Finding("the reader takes more than there is");
                }
                from += took;
            }
        }
        return taker.told;
    }

    /** The page of the protocol, read slowly: the whole input at once, one frame after the other. */
    private static List<String> reference(byte[] in) {
        List<String> told = new ArrayList<>();
        int at = 0;
        while (in.length - at >= 4) {
            long length = 0;
            for (int i = 0; i < 4; i++) {
                length = length * 256 + (in[at + i] & 0xff);
            }
            if (length < 5 || length > 262_144) {
                told.add("broken");
                return told;
            }
            if (in.length - at < 9) {
                return told;
            }
            int type = in[at + 4] & 0xff;
            int stream = (in[at + 5] & 0xff) << 24 | (in[at + 6] & 0xff) << 16 | (in[at + 7] & 0xff) << 8
                    | in[at + 8] & 0xff;
            if (length > LIMITS.maxBufferedFrameBytes - 4) {
                told.add("oversized " + type + " " + stream);
                at += (int) Math.min(4 + length, in.length - at);
                continue;
            }
            if (in.length - at < 4 + length) {
                return told;
            }
            if (type != 2 && type != 16) {
                told.add("broken");
                return told;
            }
            byte[] payload = Arrays.copyOfRange(in, at + 9, (int) (at + 4 + length));
            told.add("frame " + type + " " + stream + " " + Arrays.hashCode(payload) + " " + fields(payload));
            at += (int) (4 + length);
        }
        return told;
    }

    private static String fields(byte[] payload) {
        if (payload.length == 0) {
            return "bad";
        }
        List<String> names = new ArrayList<>();
        List<String> values = new ArrayList<>();
        int at = 1;
        for (int i = 0; i < (payload[0] & 0xff); i++) {
            for (List<String> part : List.of(names, values)) {
                int width = part == names ? 1 : 2;
                if (at + width > payload.length) {
                    return "bad";
                }
                int size = width == 1 ? payload[at] & 0xff : (payload[at] & 0xff) * 256 + (payload[at + 1] & 0xff);
                at += width;
                if (at + size > payload.length) {
                    return "bad";
                }
                part.add(new String(payload, at, size, StandardCharsets.ISO_8859_1));
                at += size;
            }
            if (names.indexOf(names.get(i)) != i) {
                return "bad";
            }
        }
        String rid = value(names, values, "rid");
        String t0 = value(names, values, "t0");
        long whole = t0 != null && t0.matches("[0-9]{1,18}") ? Long.parseLong(t0) : -1;
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
        return text + " " + whole + " " + number + " " + ("look".equals(method) ? 0 : "note".equals(method) ? 1 : -1)
                + " " + (payload.length - at);
    }

    private static String value(List<String> names, List<String> values, String name) {
        int at = names.indexOf(name);
        return at < 0 ? null : values.get(at);
    }

    @Override
    public void run(byte[] input) {
        List<String> whole = inPieces(input, null, true);
        List<String> pieces = inPieces(input, new SplittableRandom(Arrays.hashCode(input)), false);
        if (!whole.equals(pieces)) {
            throw new Finding("the same bytes, cut otherwise, are other frames");
        }
        if (!whole.equals(reference(input))) {
            throw new Finding("frames differ from those of the plain reader");
        }
        written(input);
    }

    /** What the program writes, read back by the rules of the page. */
    private static void written(byte[] input) {
        int stream = Arrays.hashCode(input);
        long away = stream & 0xfffff;
        boolean last = (stream & 1) == 1;
        byte[] denied = Frames.denied(stream, away, last);
        StringBuilder wanted = new StringBuilder("B");
        wanted.append((char) ((away > 0 ? 1 : 0) + (last ? 1 : 0)));
        if (away > 0) {
            String wait = Long.toString(away);
            wanted.append("\7backoff").append((char) 0).append((char) wait.length()).append(wait);
        }
        if (last) {
            wanted.append("\5final").append((char) 0).append((char) 1).append('1');
        }
        same(denied, 4, stream, wanted.toString().getBytes(StandardCharsets.ISO_8859_1));
        byte[] result = Arrays.copyOf(input, Math.min(input.length, 4_096));
        byte[] completed = Frames.completed(0, result, 0, result.length);
        Frames.setStream(completed, stream);
        byte[] body = new byte[result.length + 2];
        body[0] = 79;
        System.arraycopy(result, 0, body, 2, result.length);
        same(completed, 4, stream, body);
        same(Frames.terminated(stream), 4, stream, new byte[] {69, 0});
        same(Frames.healthCheckAnswer(stream, last), 32, stream, new byte[] {(byte) (last ? 79 : 69), 0});
        same(Frames.goAway(), 64, 0, new byte[0]);
    }

    private static void same(byte[] frame, int type, int stream, byte[] payload) {
        ByteArrayOutputStream wanted = new ByteArrayOutputStream();
        for (int number : new int[] {5 + payload.length, stream}) {
            for (int shift = 24; shift >= 0; shift -= 8) {
                wanted.write(number >>> shift);
            }
            if (wanted.size() == 4) {
                wanted.write(type);
            }
        }
        wanted.writeBytes(payload);
        if (!Arrays.equals(frame, wanted.toByteArray())) {
            throw new Finding("a frame of type " + type + " is not written as the page says");
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

    /** Frames taken apart and put together again, some of them changed inside and with their length set right. */
    @Override
    public byte[] mutate(byte[] input, SplittableRandom chance) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int at = 0;
        boolean changed = false;
        while (input.length - at >= 9 && out.size() < 3_000) {
            int length = (input[at] & 0xff) << 24 | (input[at + 1] & 0xff) << 16 | (input[at + 2] & 0xff) << 8
                    | input[at + 3] & 0xff;
            if (length < 5 || length > input.length - at - 4) {
                break;
            }
            byte[] payload = Arrays.copyOfRange(input, at + 9, at + 4 + length);
            int type = input[at + 4];
            int stream = chance.nextInt(4);
            switch (chance.nextInt(6)) {
                case 0 -> payload = Arrays.copyOf(payload, chance.nextInt(payload.length + 1));
                case 1 -> {
                    if (payload.length > 0) {
                        payload[chance.nextInt(payload.length)] = (byte) chance.nextInt();
                    }
                }
                case 2 -> type = new int[] {2, 16, 4, 64, 255}[chance.nextInt(5)];
                case 3 -> payload = Arrays.copyOf(payload, payload.length + chance.nextInt(300));
                default -> {
                    // Kept as it is.
                }
            }
            byte[] frame = vetchrill.standin.StubFrames.frame(type & 0xff, stream, payload);
            if (chance.nextInt(8) == 0) {
                // A length that lies by little, or about as much as it may.
                int lie = new int[] {frame.length - 5, frame.length - 3, 4, 5, 262_144, 262_145}[chance.nextInt(6)];
                for (int i = 0; i < 4; i++) {
                    frame[i] = (byte) (lie >>> 24 - 8 * i);
                }
            }
            out.writeBytes(frame);
            changed = true;
            at += 4 + length;
        }
        return changed ? out.toByteArray() : null;
    }

    @Override
    public List<String> words() {
        return List.of("method", "rid", "t0", "peer", "acct", "mem", "prio", "look", "note", "1e400", "-1", "NaN");
    }
}
