package vetchrill.protocol;

import java.nio.charset.StandardCharsets;
import vetchrill.transport.Connection;
import vetchrill.transport.Limits;

/** The lines of the interpreter: its notices read, commands to it written. */
public final class InterpreterLines implements Connection.InputHandler {
    /** Who takes the notices; slices are good for the call only. */
    public interface Handler {
        void onBanner(String state, long sinceStart);

        void onValue(long noticeNumber, String id, String outcome, long runTime, byte[] buf, int from, int to);

        void onGauges(String tag, double[] row);

        void onError(String text);

        /** A numbered remark. */
        void onTrace(long noticeNumber, String text);

        void onInputEnded(String reason);
    }

    private static final System.Logger LOG = System.getLogger("vetchrill.link");

    private final Limits limits;
    private final Handler handler;

    public InterpreterLines(Limits limits, Handler handler) {
        this.limits = limits;
        this.handler = handler;
    }

    public static byte[] connect(long lastNoticeNumber) {
        return ("CONNECT " + lastNoticeNumber + "\r\n").getBytes(StandardCharsets.UTF_8);
    }

    public static byte[] top(String tag) {
        return ("TOP " + tag + "\r\n").getBytes(StandardCharsets.UTF_8);
    }

    public static byte[] apply(String id, String group, byte[] body) {
        byte[] line = ("APPLY " + id + " " + group + " " + body.length + "\r\n").getBytes(StandardCharsets.UTF_8);
        byte[] command = new byte[line.length + body.length + 2];
        System.arraycopy(line, 0, command, 0, line.length);
        System.arraycopy(body, 0, command, line.length, body.length);
        command[command.length - 2] = '\r';
        command[command.length - 1] = '\n';
        return command;
    }

    @Override
    public int consume(byte[] buf, int from, int to) {
        int end = from;
        while (end < to && buf[end] != '\n') {
            end++;
        }
        if (end == to) {
            return 0;
        }
        int lineEnd = end > from && buf[end - 1] == '\r' ? end - 1 : end;
        String line = new String(buf, from, lineEnd - from, StandardCharsets.UTF_8);
        String[] words = line.split(" ");
        try {
            switch (words[0]) {
                case "VALUE" -> {
                    int length = Integer.parseInt(words[5]);
                    if (length < 0 || length > limits.maxLineBytes / 2) {
                        LOG.log(System.Logger.Level.ERROR, "the interpreter tells of a result of {0} bytes", length);
                        return -1;
                    }
                    int valueEnd = end + 1 + length + 2;
                    if (valueEnd > to) {
                        return 0;
                    }
                    handler.onValue(Long.parseLong(words[1]), words[2], words[3], parseTenthsMs(words[4]),
                            buf, end + 1, end + 1 + length);
                    return valueEnd - from;
                }
                case "TOPS" -> {
                    double[] row = new double[words.length - 2];
                    for (int i = 0; i < row.length; i++) {
                        row[i] = Double.parseDouble(words[i + 2]);
                    }
                    handler.onGauges(words[1], row);
                }
                case "BANNER" -> handler.onBanner(words[1], parseTenthsMs(words[2]));
                case "ERROR" -> handler.onError(line);
                case "TRACE" -> handler.onTrace(Long.parseLong(words[1]), line);
                default -> LOG.log(System.Logger.Level.DEBUG, "skipped from the interpreter: {0}", line);
            }
        } catch (NumberFormatException | ArrayIndexOutOfBoundsException | NegativeArraySizeException e) {
            LOG.log(System.Logger.Level.ERROR, "can''t be read from the interpreter: {0}", line);
            return -1;
        }
        return end + 1 - from;
    }

    @Override
    public void inputEnded(String reason, boolean disconnected) {
        handler.onInputEnded(reason);
    }

    private static long parseTenthsMs(String millis) {
        return Math.round(Double.parseDouble(millis) * 10);
    }
}
