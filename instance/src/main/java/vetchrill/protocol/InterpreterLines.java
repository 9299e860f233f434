package vetchrill.protocol;

import java.nio.charset.StandardCharsets;
import vetchrill.transport.Connection;
import vetchrill.transport.Limits;

/** The lines of the interpreter: its notices read, commands to it written. */
public final class InterpreterLines implements Connection.Input {
    /** Who takes the notices; slices are good for the call only. */
    public interface Taker {
        void banner(String state, long sinceStart);

        void value(long number, String id, String end, long took, byte[] buf, int from, int to);

        void gauges(String tag, double[] row);

        void error(String text);

        /** A numbered remark. */
        void remark(long number, String text);

        void ended(String why);
    }

    private static final System.Logger LOG = System.getLogger("vetchrill.link");

    private final Limits limits;
    private final Taker taker;

    public InterpreterLines(Limits limits, Taker taker) {
        this.limits = limits;
        this.taker = taker;
    }

    public static byte[] connect(long lastRead) {
        return ("CONNECT " + lastRead + "\r\n").getBytes(StandardCharsets.UTF_8);
    }

    public static byte[] top(String tag) {
        return ("TOP " + tag + "\r\n").getBytes(StandardCharsets.UTF_8);
    }

    public static byte[] apply(String id, String group, byte[] body) {
        byte[] line = ("APPLY " + id + " " + group + " " + body.length + "\r\n").getBytes(StandardCharsets.UTF_8);
        byte[] whole = new byte[line.length + body.length + 2];
        System.arraycopy(line, 0, whole, 0, line.length);
        System.arraycopy(body, 0, whole, line.length, body.length);
        whole[whole.length - 2] = '\r';
        whole[whole.length - 1] = '\n';
        return whole;
    }

    @Override
    public int take(byte[] buf, int from, int to) {
        int end = from;
        while (end < to && buf[end] != '\n') {
            end++;
        }
        if (end == to) {
            return 0;
        }
        int bare = end > from && buf[end - 1] == '\r' ? end - 1 : end;
        String line = new String(buf, from, bare - from, StandardCharsets.UTF_8);
        String[] words = line.split(" ");
        try {
            switch (words[0]) {
                case "VALUE" -> {
                    int length = Integer.parseInt(words[5]);
                    if (length < 0 || length > limits.line / 2) {
                        LOG.log(System.Logger.Level.ERROR, "the interpreter tells of a result of {0} bytes", length);
                        return -1;
                    }
                    int after = end + 1 + length + 2;
                    if (after > to) {
                        return 0;
                    }
                    taker.value(Long.parseLong(words[1]), words[2], words[3], tenths(words[4]),
                            buf, end + 1, end + 1 + length);
                    return after - from;
                }
                case "TOPS" -> {
                    double[] row = new double[words.length - 2];
                    for (int i = 0; i < row.length; i++) {
                        row[i] = Double.parseDouble(words[i + 2]);
                    }
                    taker.gauges(words[1], row);
                }
                case "BANNER" -> taker.banner(words[1], tenths(words[2]));
                case "ERROR" -> taker.error(line);
                case "TRACE" -> taker.remark(Long.parseLong(words[1]), line);
                default -> LOG.log(System.Logger.Level.DEBUG, "skipped from the interpreter: {0}", line);
            }
        } catch (NumberFormatException | ArrayIndexOutOfBoundsException | NegativeArraySizeException e) {
            LOG.log(System.Logger.Level.ERROR, "can''t be read from the interpreter: {0}", line);
            return -1;
        }
        return end + 1 - from;
    }

    @Override
    public void ended(String why, boolean gone) {
        taker.ended(why);
    }

    private static long tenths(String millis) {
        return Math.round(Double.parseDouble(millis) * 10);
    }
}
