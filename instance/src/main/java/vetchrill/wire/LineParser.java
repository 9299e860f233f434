package vetchrill.wire;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** Reads one line at a time and walks over its fields in place, so that a line costs no garbage. */
final class LineParser {
    private final InputStream in;
    private byte[] buf = new byte[1 << 16];
    private int filled;
    private int lineStart;
    private int lineEnd;
    private int pos;
    private int nameEnd;
    private int keyStart;
    private int keyEnd;
    private int valueStart;
    private int valueEnd;
    private long number;

    LineParser(InputStream in) {
        this.in = in;
    }

    /** Goes to the next line; false at the end of the input. */
    boolean nextLine() throws IOException {
        int start = number == 0 ? 0 : lineEnd + 1;
        int at = start;
        while (true) {
            while (at < filled && buf[at] != '\n') {
                at++;
            }
            if (at < filled) {
                break;
            }
            int kept = filled - start;
            if (start > 0 && kept >= 0) {
                System.arraycopy(buf, start, buf, 0, kept);
            }
            filled = kept;
            at = kept;
            start = 0;
            if (filled == buf.length) {
                buf = java.util.Arrays.copyOf(buf, buf.length * 2);
            }
            int got = in.read(buf, filled, buf.length - filled);
            if (got < 0) {
                if (filled == 0) {
                    return false;
                }
                number++;
                throw fault("the input ends in the middle of a line");
            }
            filled += got;
        }
        number++;
        lineStart = start;
        lineEnd = at;
        pos = start;
        while (pos < lineEnd && buf[pos] != ' ') {
            pos++;
        }
        nameEnd = pos;
        return true;
    }

    WireFault fault(String reason) {
        return new WireFault(number, reason);
    }

    String name() {
        return new String(buf, lineStart, nameEnd - lineStart, StandardCharsets.UTF_8);
    }

    boolean nextField() {
        if (pos >= lineEnd) {
            return false;
        }
        keyStart = pos + 1;
        int at = keyStart;
        while (at < lineEnd && buf[at] != '=' && buf[at] != ' ') {
            at++;
        }
        if (at >= lineEnd || buf[at] != '=' || at == keyStart) {
            throw fault("a field without name=value in '" + name() + "'");
        }
        keyEnd = at;
        valueStart = at + 1;
        at = valueStart;
        while (at < lineEnd && buf[at] != ' ') {
            at++;
        }
        valueEnd = at;
        pos = at;
        return true;
    }

    boolean keyIs(String key) {
        return same(keyStart, keyEnd, key);
    }

    boolean valueIs(String value) {
        return same(valueStart, valueEnd, value);
    }

    private boolean same(int from, int to, String text) {
        if (to - from != text.length()) {
            return false;
        }
        for (int i = 0; i < text.length(); i++) {
            if (buf[from + i] != text.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    String text() {
        return new String(buf, valueStart, valueEnd - valueStart, StandardCharsets.UTF_8);
    }

    /** The value up to the end of the line. */
    String restOfLine() {
        valueEnd = lineEnd;
        pos = lineEnd;
        return text();
    }

    WireFault badValue(String wanted) {
        String key = new String(buf, keyStart, keyEnd - keyStart, StandardCharsets.UTF_8);
        return fault("'" + key + "' of '" + name() + "' should be " + wanted + ", not '" + text() + "'");
    }

    long whole() {
        int at = valueStart;
        boolean negative = at < valueEnd && buf[at] == '-';
        if (negative) {
            at++;
        }
        if (at == valueEnd) {
            throw badValue("a whole number");
        }
        long value = 0;
        for (; at < valueEnd; at++) {
            int digit = buf[at] - '0';
            if (digit < 0 || digit > 9 || value > (Long.MAX_VALUE - digit) / 10) {
                throw badValue("a whole number");
            }
            value = value * 10 + digit;
        }
        return negative ? -value : value;
    }

    double number() {
        return number(valueStart, valueEnd);
    }

    /** The value's parts between commas, as far as there are any; returns how many. */
    int row(double[] into) {
        int n = 0;
        int from = valueStart;
        while (from <= valueEnd && valueEnd > valueStart) {
            int to = from;
            while (to < valueEnd && buf[to] != ',') {
                to++;
            }
            if (n < into.length) {
                into[n++] = number(from, to);
            }
            from = to + 1;
        }
        return n;
    }

    private double number(int from, int to) {
        int at = from;
        boolean negative = at < to && buf[at] == '-';
        if (negative) {
            at++;
        }
        long digits = 0;
        long scale = 1;
        boolean point = false;
        boolean any = false;
        for (; at < to; at++) {
            byte c = buf[at];
            if (c == '.' && !point) {
                point = true;
            } else if (c >= '0' && c <= '9' && digits < 100_000_000_000_000_000L) {
                digits = digits * 10 + c - '0';
                scale = point ? scale * 10 : scale;
                any = true;
            } else {
                return unusualNumber(from, to);
            }
        }
        if (!any) {
            throw badValue("a number");
        }
        double value = (double) digits / scale;
        return negative ? -value : value;
    }

    private double unusualNumber(int from, int to) {
        try {
            double value = Double.parseDouble(new String(buf, from, to - from, StandardCharsets.UTF_8));
            if (Double.isFinite(value)) {
                return value;
            }
        } catch (NumberFormatException e) {
            throw badValue("a number");
        }
        throw badValue("a number");
    }

    /** Milliseconds as whole tenths, cut, so that nothing seems later than it is. */
    long tenths() {
        return (long) Math.floor(number() * 10 + 1e-6);
    }
}
