package vetchrill.protocol;

import java.nio.charset.StandardCharsets;
import vetchrill.transport.Connection;
import vetchrill.transport.Limits;

/**
 * The line protocol of the interpreter: parses its notices and builds the commands to it. A VALUE line is followed by a
 * result of the length that it states, as an APPLY command is by the body of the exchange.
 */
public final class InterpreterLines implements Connection.InputHandler {
    /** Receives the notices of one link, on the reader's thread; times are in tenths of a millisecond. */
    public interface Handler {
        /** Called for the greeting after a connect, with the interpreter's state and the time since its start. */
        void onBanner(String state, long sinceStart);

        /** Called when a run has ended; its result is a slice of the buffer, valid during the call. */
        void onValue(long noticeNumber, String id, String runStatus, long runDuration, byte[] buf, int from, int to);

        /** Called with the gauges that a TOP command with this tag asked for. */
        void onGauges(String tag, double[] row);

        /** Called when the interpreter rejects a command. */
        void onError(String text);

        /** Called for a numbered remark; only its number matters, which counts among the notices read. */
        void onTrace(long noticeNumber, String text);

        /** Called once when the link is lost. */
        void onInputEnded(String reason);
    }

    private static final System.Logger LOG = System.getLogger("vetchrill.link");

    private final Limits limits;
    private final Handler handler;

    public InterpreterLines(Limits limits, Handler handler) {
        this.limits = limits;
        this.handler = handler;
    }

    /** The first command on a link; the interpreter resends the notices after {@code lastNoticeNumber}. */
    public static byte[] connect(long lastNoticeNumber) {
        return ("CONNECT " + lastNoticeNumber + "\r\n").getBytes(StandardCharsets.UTF_8);
    }

    /** Requests the gauges. */
    public static byte[] top(String tag) {
        return ("TOP " + tag + "\r\n").getBytes(StandardCharsets.UTF_8);
    }

    /** Requests a run of the exchange {@code id}. */
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
                        LOG.log(System.Logger.Level.ERROR, "invalid result length from the interpreter: {0}", length);
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
                default -> LOG.log(System.Logger.Level.DEBUG, "unknown notice from the interpreter: {0}", line);
            }
        } catch (NumberFormatException | ArrayIndexOutOfBoundsException | NegativeArraySizeException e) {
            LOG.log(System.Logger.Level.ERROR, "malformed notice from the interpreter: {0}", line);
            return -1;
        }
        return end + 1 - from;
    }

    @Override
    public void inputEnded(String reason, boolean disconnected) {
        handler.onInputEnded(reason);
    }

    /** Parses a time in milliseconds and returns it in tenths of a millisecond. */
    private static long parseTenthsMs(String millis) {
        return Math.round(Double.parseDouble(millis) * 10);
    }
}
