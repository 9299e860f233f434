package vetchrill.fuzz.targets;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import vetchrill.fuzz.Finding;
import vetchrill.fuzz.Target;
import vetchrill.protocol.InterpreterLines;
import vetchrill.transport.Limits;

/** The interpreter's notices, cut anywhere; and the commands that go to it, read back. */
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

    private static final class Taker implements InterpreterLines.Handler {
        final List<String> told = new ArrayList<>();

        @Override
        public void onBanner(String state, long sinceStart) {
            told.add("banner " + state + " " + sinceStart);
        }

        @Override
        public void onValue(long number, String id, String end, long took, byte[] buf, int from, int to) {
            if (from < 0 || to < from || to > buf.length) {
                throw new Finding("a result outside of the buffer");
            }
            told.add("value " + number + " " + id + " " + end + " " + took + " "
                    + Arrays.hashCode(Arrays.copyOfRange(buf, from, to)));
        }

        @Override
        public void onGauges(String tag, double[] row) {
            told.add("gauges " + tag + " " + Arrays.toString(row));
        }

        @Override
        public void onError(String text) {
            told.add(text);
        }

        @Override
        public void onTrace(long number, String text) {
            told.add("remark " + number);
        }

        @Override
        public void onInputEnded(String why) {
            told.add("ended");
        }
    }

    private static List<String> inPieces(byte[] input, SplittableRandom chance) {
        Taker taker = new Taker();
        InterpreterLines lines = new InterpreterLines(LIMITS, taker);
        byte[] buf = new byte[0];
        int at = 0;
        while (at < input.length) {
            int piece = chance == null ? input.length : Math.min(input.length - at, 1 + chance.nextInt(40));
            int before = buf.length;
            buf = Arrays.copyOf(buf, before + piece);
            System.arraycopy(input, at, buf, before, piece);
            at += piece;
            int from = 0;
            while (from < buf.length) {
                int took = lines.consume(buf, from, buf.length);
                if (took < 0) {
                    return taker.told;
                }
                if (took == 0) {
                    break;
                }
                if (took > buf.length - from) {
                    throw new Finding("the reader takes more than there is");
                }
                from += took;
            }
            buf = Arrays.copyOfRange(buf, from, buf.length);
        }
        return taker.told;
    }

    @Override
    public void run(byte[] input) {
        List<String> whole = inPieces(input, null);
        if (!whole.equals(inPieces(input, new SplittableRandom(Arrays.hashCode(input))))) {
            throw new Finding("the same bytes, cut otherwise, are other notices");
        }
        byte[] body = Arrays.copyOf(input, Math.min(2_048, input.length));
        byte[] line = InterpreterLines.apply("00000000000000aa", "look", body);
        byte[] head = ("APPLY 00000000000000aa look " + body.length + "\r\n").getBytes(StandardCharsets.US_ASCII);
        byte[] wanted = Arrays.copyOf(head, head.length + body.length + 2);
        System.arraycopy(body, 0, wanted, head.length, body.length);
        wanted[wanted.length - 2] = '\r';
        wanted[wanted.length - 1] = '\n';
        if (!Arrays.equals(line, wanted)) {
            throw new Finding("a run is not asked for as the page says");
        }
        plainOnesAreRead(input);
    }

    /** Notices made from the input by the page must come out as they went in. */
    private static void plainOnesAreRead(byte[] input) {
        SplittableRandom chance = new SplittableRandom(Arrays.hashCode(input));
        StringBuilder text = new StringBuilder();
        List<String> wanted = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            int number = chance.nextInt(1_000_000);
            switch (chance.nextInt(4)) {
                case 0 -> {
                    String result = "x\r\nVALUE ".repeat(chance.nextInt(4));
                    text.append("VALUE ").append(number).append(" 00000000000000aa good ").append(number % 977)
                            .append(".5 ").append(result.length()).append("\r\n").append(result).append("\r\n");
                    wanted.add("value " + number + " 00000000000000aa good " + (number % 977 * 10 + 5) + " "
                            + Arrays.hashCode(result.getBytes(StandardCharsets.US_ASCII)));
                }
                case 1 -> {
                    text.append("TRACE ").append(number).append(" some words\r\n");
                    wanted.add("remark " + number);
                }
                case 2 -> {
                    text.append("TOPS t").append(number).append(" 0.5 2 0.25 1\r\n");
                    wanted.add("gauges t" + number + " [0.5, 2.0, 0.25, 1.0]");
                }
                default -> {
                    text.append("BANNER new ").append(number).append("\r\n");
                    wanted.add("banner new " + number * 10L);
                }
            }
        }
        byte[] bytes = text.toString().getBytes(StandardCharsets.US_ASCII);
        if (!inPieces(bytes, chance).equals(wanted)) {
            throw new Finding("plain notices are not read as they were written");
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
