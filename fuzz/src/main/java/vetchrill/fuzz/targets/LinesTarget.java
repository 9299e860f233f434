package vetchrill.fuzz.targets;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import vetchrill.fuzz.InvariantViolation;
import vetchrill.fuzz.Target;
import vetchrill.protocol.InterpreterLines;
import vetchrill.transport.Limits;

/** Notices of the interpreter, split anywhere, and the commands that the instance writes to it. */
public final class LinesTarget implements Target {
    private static final Limits LIMITS = new Limits(64 << 20, 256);

    @Override
    public String name() {
        return "lines";
    }

    @Override
    public List<Class<?>> covers() {
        return List.of(InterpreterLines.class);
    }

    private static final class RecordingHandler implements InterpreterLines.Handler {
        final List<String> events = new ArrayList<>();

        @Override
        public void onBanner(String state, long sinceStart) {
            events.add("banner " + state + " " + sinceStart);
        }

        @Override
        public void onValue(long number, String id, String outcome, long duration, byte[] buf, int from, int to) {
            if (from < 0 || to < from || to > buf.length) {
                throw new InvariantViolation("a result is outside the buffer");
            }
            events.add("value " + number + " " + id + " " + outcome + " " + duration + " "
                    + Arrays.hashCode(Arrays.copyOfRange(buf, from, to)));
        }

        @Override
        public void onGauges(String tag, double[] values) {
            events.add("gauges " + tag + " " + Arrays.toString(values));
        }

        @Override
        public void onError(String text) {
            events.add(text);
        }

        @Override
        public void onTrace(long number, String text) {
            events.add("remark " + number);
        }

        @Override
        public void onInputEnded(String reason) {
            events.add("ended");
        }
    }

    private static List<String> readInPieces(byte[] input, SplittableRandom random) {
        RecordingHandler handler = new RecordingHandler();
        InterpreterLines lines = new InterpreterLines(LIMITS, handler);
        byte[] buf = new byte[0];
        int offset = 0;
        while (offset < input.length) {
            int piece = random == null ? input.length : Math.min(input.length - offset, 1 + random.nextInt(40));
            int before = buf.length;
            buf = Arrays.copyOf(buf, before + piece);
            System.arraycopy(input, offset, buf, before, piece);
            offset += piece;
            int from = 0;
            while (from < buf.length) {
                int consumed = lines.consume(buf, from, buf.length);
                if (consumed < 0) {
                    return handler.events;
                }
                if (consumed == 0) {
                    break;
                }
                if (consumed > buf.length - from) {
                    throw new InvariantViolation("the reader consumes more bytes than there are");
                }
                from += consumed;
            }
            buf = Arrays.copyOfRange(buf, from, buf.length);
        }
        return handler.events;
    }

    @Override
    public void run(byte[] input) {
        List<String> whole = readInPieces(input, null);
        if (!whole.equals(readInPieces(input, new SplittableRandom(Arrays.hashCode(input))))) {
            throw new InvariantViolation("the same bytes, split differently, give different notices");
        }
        byte[] body = Arrays.copyOf(input, Math.min(2_048, input.length));
        byte[] line = InterpreterLines.apply("00000000000000aa", "look", body);
        byte[] head = ("APPLY 00000000000000aa look " + body.length + "\r\n").getBytes(StandardCharsets.US_ASCII);
        byte[] expected = Arrays.copyOf(head, head.length + body.length + 2);
        System.arraycopy(body, 0, expected, head.length, body.length);
        expected[expected.length - 2] = '\r';
        expected[expected.length - 1] = '\n';
        if (!Arrays.equals(line, expected)) {
            throw new InvariantViolation("an APPLY command is not written as specified");
        }
        checkValidNotices(input);
    }

    /** Checks that valid notices, built with random numbers derived from the input, are read with the same values. */
    private static void checkValidNotices(byte[] input) {
        SplittableRandom random = new SplittableRandom(Arrays.hashCode(input));
        StringBuilder text = new StringBuilder();
        List<String> expected = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            int number = random.nextInt(1_000_000);
            switch (random.nextInt(4)) {
                case 0 -> {
                    String result = "x\r\nVALUE ".repeat(random.nextInt(4));
                    text.append("VALUE ").append(number).append(" 00000000000000aa good ").append(number % 977)
                            .append(".5 ").append(result.length()).append("\r\n").append(result).append("\r\n");
                    expected.add("value " + number + " 00000000000000aa good " + (number % 977 * 10 + 5) + " "
                            + Arrays.hashCode(result.getBytes(StandardCharsets.US_ASCII)));
                }
                case 1 -> {
                    text.append("TRACE ").append(number).append(" some words\r\n");
                    expected.add("remark " + number);
                }
                case 2 -> {
                    text.append("TOPS t").append(number).append(" 0.5 2 0.25 1\r\n");
                    expected.add("gauges t" + number + " [0.5, 2.0, 0.25, 1.0]");
                }
                default -> {
                    text.append("BANNER new ").append(number).append("\r\n");
                    expected.add("banner new " + number * 10L);
                }
            }
        }
        byte[] bytes = text.toString().getBytes(StandardCharsets.US_ASCII);
        if (!readInPieces(bytes, random).equals(expected)) {
            throw new InvariantViolation("valid notices are not read with the same values");
        }
    }

    @Override
    public List<byte[]> seeds() {
        return List.of("BANNER new 0\r\nTOPS 1 0.5 2 0.25 1\r\nVALUE 1 00000000000000aa good 12.5 4\r\nkept\r\n"
                .getBytes(StandardCharsets.US_ASCII),
                "TRACE 2 a remark\r\nERROR APPLY 00000000000000aa\r\nVALUE 3 00000000000000bb gone 0 0\r\n\r\n"
                .getBytes(StandardCharsets.US_ASCII));
    }

    @Override
    public List<String> words() {
        return List.of("VALUE ", "TOPS ", "BANNER ", "ERROR ", "TRACE ", " good ", " bad ", " cut ", "\r\n", " ",
                "99999999999999999999", "-1", "NaN", "1e309", "32768");
    }
}
